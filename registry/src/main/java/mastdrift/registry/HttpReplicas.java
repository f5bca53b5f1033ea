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

/** The list service by its calls: the replica that answered last, then the others in turn. For calls that are harmless when made
    twice, so that the next replica may be asked after one that is silent. */
final class HttpReplicas {

    private static final int NOT_DONE = 503;
    private static final int NOT_KNOWN = 504;

    /** What a replica said. */
    record Answer(int status, byte[] body) {

        boolean yes() {
            return status / 100 == 2;
        }
    }

    private final List<String> replicas;
    private final Duration within;
    private final HttpClient client;
    private int at;

    /** A call ends within {@code within} for each replica. */
    HttpReplicas(List<String> replicas, Duration within) {
        this.replicas = List.copyOf(replicas);
        this.within = within;
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(within).build();
    }

    /** Throws IOException where no replica answers, or none says what came of it. */
    Answer call(String method, String path, Map<String, Object> body) throws IOException {
        IOException last = null;
        for (int tries = 0; tries < replicas.size(); tries++) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + replicas.get(at) + path)).timeout(within)
                    .method(method, body == null ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofString(Json.encode(body))).build();
            try {
                HttpResponse<byte[]> answer = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
                if (answer.statusCode() != NOT_DONE && answer.statusCode() != NOT_KNOWN) {
                    Json.parse(answer.body());  // what is no JSON is no answer
                    return new Answer(answer.statusCode(), answer.body());
                }
                last = new IOException(replicas.get(at) + " answers " + answer.statusCode());
            } catch (IOException e) {
                last = new IOException(replicas.get(at) + ": " + (e.getMessage() == null ? "no answer" : e.getMessage()), e);
            } catch (IllegalArgumentException e) {
                last = new IOException(replicas.get(at) + " answers nonsense: " + e.getMessage(), e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
            at = (at + 1) % replicas.size();
        }
        throw last;
    }
}
