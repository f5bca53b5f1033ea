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
final class RegistryHttpClient {

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Response of a replica. */
    record Response(int status, byte[] body) {

        boolean isSuccess() {
            return status / 100 == 2;
        }
    }

    private final List<String> replicas;
    private final Duration timeout;
    private final HttpClient client;
    private int current;

    /** {@code timeout} applies to each replica that is tried. */
    RegistryHttpClient(List<String> replicas, Duration timeout) {
        this.replicas = List.copyOf(replicas);
        this.timeout = timeout;
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(timeout).build();
    }

    /** Throws IOException if no replica answers, or all answer 503 or 504. */
    Response call(String method, String path, Map<String, Object> body) throws IOException {
        IOException lastFailure = null;
        for (int attempt = 0; attempt < replicas.size(); attempt++) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + replicas.get(current) + path))
                    .timeout(timeout)
                    .method(method, body == null ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofString(Json.encode(body))).build();
            try {
                HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
                if (response.statusCode() != SERVICE_UNAVAILABLE && response.statusCode() != GATEWAY_TIMEOUT) {
                    Json.parse(response.body());  // throws for a body that is not JSON
                    return new Response(response.statusCode(), response.body());
                }
                lastFailure = new IOException(replicas.get(current) + " answers " + response.statusCode());
            } catch (IOException e) {
                lastFailure = new IOException(replicas.get(current) + ": " + (e.getMessage() == null ? "no answer"
                        : e.getMessage()), e);
            } catch (IllegalArgumentException e) {
                lastFailure = new IOException(replicas.get(current) + " answers with invalid JSON: " + e.getMessage(),
                        e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
            current = (current + 1) % replicas.size();
        }
        throw lastFailure;
    }
}
