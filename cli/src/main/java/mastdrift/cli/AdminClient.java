package mastdrift.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;

/** Calls the admin address of one gateway, where operators query and control it; see docs/operations.md. */
final class AdminClient {

    /** The gateway did not answer, or its admin address could not be determined. */
    static final class GatewayUnreachableException extends Exception {
        private static final long serialVersionUID = 1L;

        GatewayUnreachableException(String message) {
            super(message);
        }
    }

    /** The response of a gateway. */
    record Response(int status, String body) {
        boolean isSuccess() {
            return status >= 200 && status < 300;
        }
    }

    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final String address;
    private final HttpClient httpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT).build();

    /** Throws IllegalArgumentException if {@code address} is not of the form {@code host:port}. */
    AdminClient(String address) {
        if (!address.matches("[^:/\\s]+:\\d{1,5}")) {
            throw new IllegalArgumentException("expected address:port, not " + address);
        }
        this.address = address;
    }

    /** Returns a client for the admin address, which is taken from the command line option (null if absent), else from
        NODE_ADMIN, else from {@code admin} in the configuration file that NODE_CONFIG names. */
    static AdminClient create(String adminOption, Map<String, String> environment) throws GatewayUnreachableException {
        String configFile = environment.get("NODE_CONFIG");
        if (adminOption != null) {
            return new AdminClient(adminOption);
        }
        if (environment.containsKey("NODE_ADMIN")) {
            return new AdminClient(environment.get("NODE_ADMIN"));
        }
        if (configFile == null) {
            throw new GatewayUnreachableException(
                    "--admin is not given, and neither NODE_ADMIN nor NODE_CONFIG is set");
        }
        try {
            Object admin = JSON.std.mapFrom(Files.readAllBytes(Path.of(configFile))).get("admin");
            if (admin instanceof String adminAddress && !adminAddress.isEmpty()) {
                return new AdminClient(adminAddress);
            }
        } catch (IOException e) {
            throw new GatewayUnreachableException("can't read " + configFile + ": " + e.getMessage());
        }
        throw new GatewayUnreachableException(configFile + " names no admin address, so the gateway has none");
    }

    String address() {
        return address;
    }

    Response get(String path) throws GatewayUnreachableException {
        return send(HttpRequest.newBuilder().GET(), path);
    }

    Response post(String path) throws GatewayUnreachableException {
        return send(HttpRequest.newBuilder().POST(HttpRequest.BodyPublishers.noBody()), path);
    }

    private Response send(HttpRequest.Builder request, String path) throws GatewayUnreachableException {
        try {
            HttpResponse<String> response = httpClient.send(request.uri(URI.create("http://" + address + path))
                    .timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
            return new Response(response.statusCode(), response.body().strip());
        } catch (IOException e) {
            throw new GatewayUnreachableException("no answer from " + address + ": "
                    + (e.getMessage() == null ? e.toString() : e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new GatewayUnreachableException("interrupted");
        }
    }
}
