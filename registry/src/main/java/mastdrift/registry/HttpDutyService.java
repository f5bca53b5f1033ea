package mastdrift.registry;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import mastdrift.common.Json;

/** {@link DutyService} over the list service's HTTP API. */
final class HttpDutyService implements DutyService {

    private final HttpReplicas replicas;

    HttpDutyService(HttpReplicas replicas) {
        this.replicas = replicas;
    }

    @Override
    public Answer acquire(String duty, String who, long span) throws IOException {
        return call(duty + "/acquire", Map.of("who", who, "span", span));
    }

    @Override
    public Answer hold(String duty, String who, long token) throws IOException {
        return call(duty + "/hold", Map.of("who", who, "token", token));
    }

    @Override
    public Answer release(String duty, String who, long token) throws IOException {
        return call(duty + "/release", Map.of("who", who, "token", token));
    }

    @Override
    public Answer record(String duty, String who, long token, String step, Map<String, Object> state) throws IOException {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("who", who);
        body.put("token", token);
        body.put("step", step);
        body.put("state", state);
        return call(duty + "/record", body);
    }

    @Override
    public Answer read(String duty) throws IOException {
        return call(duty, null);
    }

    private Answer call(String path, Map<String, Object> body) throws IOException {
        HttpReplicas.Answer answer = replicas.call(body == null ? "GET" : "POST", "/v1/duties/" + path, body);
        return new Answer(answer.yes(), Json.parse(answer.body()));
    }
}
