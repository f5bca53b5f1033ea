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

/** Operators' calls to one gateway, as its second address takes them: see docs/operations.md. */
final class Calls {

    /** Nobody answers there, or nobody knows where. */
    static final class NoAnswer extends Exception {
        private static final long serialVersionUID = 1L;

        NoAnswer(String why) {
            super(why);
        }
    }

    /** What a gateway said. */
    record Answer(int status, String body) {
        boolean yes() {
            return status >= 200 && status < 300;
        }
    }

    private static final Duration PATIENCE = Duration.ofSeconds(2);

    private final String address;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(PATIENCE).build();

    /** An address and port; throws IllegalArgumentException for what is none. */
    Calls(String address) {
        if (!address.matches("[^:/\\s]+:\\d{1,5}")) {
            throw new IllegalArgumentException("expected address:port, not " + address);
        }
        this.address = address;
    }

    /** Where operators call: as given, else as the environment says, else as the file that it names says. */
    static Calls to(String given, Map<String, String> environment) throws NoAnswer {
        String file = environment.get("NODE_CONFIG");
        if (given != null) {
            return new Calls(given);
        }
        if (environment.containsKey("NODE_ADMIN")) {
            return new Calls(environment.get("NODE_ADMIN"));
        }
        if (file == null) {
            throw new NoAnswer("no --admin is given, and neither NODE_ADMIN nor NODE_CONFIG is set");
        }
        try {
            Object admin = JSON.std.mapFrom(Files.readAllBytes(Path.of(file))).get("admin");
            if (admin instanceof String there && !there.isEmpty()) {
                return new Calls(there);
            }
        } catch (IOException e) {
            throw new NoAnswer("can't read " + file + ": " + e.getMessage());
        }
        throw new NoAnswer(file + " names no admin, so nothing listens for operators");
    }

    String address() {
        return address;
    }

    Answer get(String path) throws NoAnswer {
        return call(HttpRequest.newBuilder().GET(), path);
    }

    Answer post(String path) throws NoAnswer {
        return call(HttpRequest.newBuilder().POST(HttpRequest.BodyPublishers.noBody()), path);
    }

    private Answer call(HttpRequest.Builder request, String path) throws NoAnswer {
        try {
            HttpResponse<String> answer = client.send(request.uri(URI.create("http://" + address + path))
                    .timeout(PATIENCE).build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(answer.statusCode(), answer.body().strip());
        } catch (IOException e) {
            throw new NoAnswer("no answer from " + address + ": " + (e.getMessage() == null ? e.toString() : e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new NoAnswer("interrupted");
        }
    }
}
