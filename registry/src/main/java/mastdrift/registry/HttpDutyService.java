package mastdrift.registry;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import mastdrift.common.Json;

/** {@link DutyService} over the list service's HTTP API. */
final class HttpDutyService implements DutyService {

    private final RegistryHttpClient replicas;

    HttpDutyService(RegistryHttpClient replicas) {
        this.replicas = replicas;
    }

    @Override
    public Response acquire(String duty, String candidate, long leaseMillis) throws IOException {
        return call(duty + "/acquire", Map.of("who", candidate, "span", leaseMillis));
    }

    @Override
    public Response renew(String duty, String candidate, long token) throws IOException {
        return call(duty + "/hold", Map.of("who", candidate, "token", token));
    }

    @Override
    public Response release(String duty, String candidate, long token) throws IOException {
        return call(duty + "/release", Map.of("who", candidate, "token", token));
    }

    @Override
    public Response record(String duty, String candidate, long token, String step, Map<String, Object> state)
            throws IOException {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("who", candidate);
        body.put("token", token);
        body.put("step", step);
        body.put("state", state);
        return call(duty + "/record", body);
    }

    @Override
    public Response read(String duty) throws IOException {
        return call(duty, null);
    }

    private Response call(String path, Map<String, Object> body) throws IOException {
        RegistryHttpClient.Response response = replicas.call(body == null ? "GET" : "POST", "/v1/duties/" + path, body);
        return new Response(response.isSuccess(), Json.parse(response.body()));
    }
}
