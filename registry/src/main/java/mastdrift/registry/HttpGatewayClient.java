package mastdrift.registry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Gateways over HTTP, at their admin addresses. */
final class HttpGatewayClient implements RollingRestart.GatewayClient {

    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);
    private static final int REPLACE_TIMEOUT_SECONDS = 30;
    private static final int PRECONDITION_FAILED = 412;

    private final String duty;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(REQUEST_TIMEOUT)
            .build();

    HttpGatewayClient(String duty) {
        this.duty = duty;
    }

    private HttpResponse<String> call(String admin, String method, String path) throws IOException {
        try {
            return client.send(HttpRequest.newBuilder(URI.create("http://" + admin + path)).timeout(REQUEST_TIMEOUT)
                    .method(method, HttpRequest.BodyPublishers.noBody()).build(), HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    @Override
    public RollingRestart.GatewayStatus status(String admin) throws IOException {
        HttpResponse<String> status = call(admin, "GET", "/status");
        double served = 0;
        double failed = 0;
        double inFlight = 0;
        for (String line : call(admin, "GET", "/status/metrics").body().lines().toList()) {
            String[] parts = line.split(" ");
            if (line.startsWith("#") || parts.length < 2) {
                continue;
            }
            double value = Double.parseDouble(parts[parts.length - 1]);
            if (line.startsWith("edge_node_in_flight")) {
                inFlight += value;
            } else if (line.startsWith("edge_node_requests_total")) {
                served += line.contains("outcome=\"served\"") ? value : 0;
                failed += line.contains("outcome=\"served\"") ? 0 : value;
            }
        }
        return new RollingRestart.GatewayStatus(status.statusCode() == 200, status.headers().firstValue("X-Process")
                .orElse(""), inFlight, served,
                failed);
    }

    @Override
    public void standby(String admin, String process, long token) throws IOException {
        changeMode(admin, "/standby", process, token);
    }

    @Override
    public void active(String admin, String process, long token) throws IOException {
        changeMode(admin, "/active", process, token);
    }

    private void changeMode(String admin, String path, String process, long token) throws IOException {
        int status = call(admin, "POST", path + "?duty=" + duty + "&token=" + token + "&process=" + process)
                .statusCode();
        if (status == PRECONDITION_FAILED) {
            throw new DutyWork.LeaseLostException(admin + " has seen a newer token, or is another process");
        }
        if (status / 100 != 2) {
            throw new IOException(admin + path + " answers " + status);
        }
    }

    @Override
    public void replace(String name, String processId, String command) throws IOException {
        Process process = new ProcessBuilder("sh", "-c", command, "replace", name, processId).inheritIO().start();
        try {
            if (!process.waitFor(REPLACE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
                throw new IOException("replacing " + name + " took over " + REPLACE_TIMEOUT_SECONDS + " s");
            }
            if (process.exitValue() != 0) {
                throw new IOException("replacing " + name + " ended with status " + process.exitValue());
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
