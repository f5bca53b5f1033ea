package mastdrift.registry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import mastdrift.common.Json;

/** HTTP client of the list service that fails over between replicas, beginning with the one that answered last. Only
    for idempotent requests, as a request may be repeated at the next replica after a timeout. */
final class HttpReplicas {

    private static final int NOT_DONE = 503;
    private static final int NOT_KNOWN = 504;

    /** Response of a replica. */
    record Answer(int status, byte[] body) {

        boolean yes() {
            return status / 100 == 2;
        }
    }

    private final List<String> replicas;
    private final Duration within;
    private final HttpClient client;
    private int at;

    /** {@code timeout} applies to each replica that is tried. */
    HttpReplicas(List<String> replicas, Duration within) {
        this.replicas = List.copyOf(replicas);
        this.within = within;
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(within).build();
    }

    /** Throws IOException if no replica answers, or all answer 503 or 504. */
    Answer call(String method, String path, Map<String, Object> body) throws IOException {
        IOException last = null;
        for (int tries = 0; tries < replicas.size(); tries++) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + replicas.get(at) + path)).timeout(within)
                    .method(method, body == null ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofString(Json.encode(body))).build();
            try {
                HttpResponse<byte[]> answer = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
                if (answer.statusCode() != NOT_DONE && answer.statusCode() != NOT_KNOWN) {
                    Json.parse(answer.body());  // throws for a body that is not JSON
                    return new Answer(answer.statusCode(), answer.body());
                }
                last = new IOException(replicas.get(at) + " answers " + answer.statusCode());
            } catch (IOException e) {
                last = new IOException(replicas.get(at) + ": " + (e.getMessage() == null ? "no answer" : e.getMessage()), e);
            } catch (IllegalArgumentException e) {
                last = new IOException(replicas.get(at) + " answers with invalid JSON: " + e.getMessage(), e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
            at = (at + 1) % replicas.size();
        }
        throw last;
    }
}
