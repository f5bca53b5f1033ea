package mastdrift.registry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mastdrift.common.HttpServer;
import mastdrift.common.Json;

/** Entries over the list service's HTTP API; hosts are probed by a TCP connection. */
final class HttpEntries implements Sweep.Entries {

    private static final int DIAL_MILLIS = 500;

    private final HttpReplicas replicas;
    private final String duty;

    HttpEntries(HttpReplicas replicas, String duty) {
        this.replicas = replicas;
        this.duty = duty;
    }

    @Override
    public List<Map<String, Object>> all() throws IOException {
        List<Map<String, Object>> all = new ArrayList<>();
        Object entries = Json.parse(replicas.call("GET", "/v1/entries", null).body()).get("entries");
        for (Object each : entries instanceof List<?> list ? list : List.of()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            ((Map<?, ?>) each).forEach((key, value) -> entry.put(key.toString(), value));
            all.add(entry);
        }
        return all;
    }

    @Override
    public boolean answers(String endpoint) {
        InetSocketAddress at = HttpServer.parseAddress(endpoint);
        try (Socket socket = new Socket()) {
            socket.connect(at, DIAL_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public boolean remove(String uid, long rev, long token) throws IOException {
        return replicas.call("DELETE", "/v1/entries/" + uid + "?now=1&if_rev=" + rev + "&duty=" + duty + "&token=" + token, null)
                .yes();
    }
}
