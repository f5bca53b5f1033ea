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
final class HttpEntryService implements StaleEntrySweeper.EntryService {

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final RegistryHttpClient replicas;
    private final String duty;

    HttpEntryService(RegistryHttpClient replicas, String duty) {
        this.replicas = replicas;
        this.duty = duty;
    }

    @Override
    public List<Map<String, Object>> list() throws IOException {
        List<Map<String, Object>> result = new ArrayList<>();
        Object entries = Json.parse(replicas.call("GET", "/v1/entries", null).body()).get("entries");
        for (Object each : entries instanceof List<?> list ? list : List.of()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            ((Map<?, ?>) each).forEach((key, value) -> entry.put(key.toString(), value));
            result.add(entry);
        }
        return result;
    }

    @Override
    public boolean acceptsConnection(String endpoint) {
        InetSocketAddress address = HttpServer.parseAddress(endpoint);
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public boolean remove(String uid, long rev, long token) throws IOException {
        return replicas.call("DELETE", "/v1/entries/" + uid + "?now=1&if_rev=" + rev + "&duty=" + duty + "&token="
                + token, null)
                .isSuccess();
    }
}
