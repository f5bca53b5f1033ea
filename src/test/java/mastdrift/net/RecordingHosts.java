package mastdrift.net;

import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.hostList;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The hosts of a site in two zones, as many as the operators have. */
final class RecordingHosts implements AutoCloseable {

    private static final int HOSTS = 9;

    private final Queue<RecordingHost.Received> received = new ConcurrentLinkedQueue<>();
    private final List<RecordingHost> hosts = new ArrayList<>();

    RecordingHosts() throws IOException {
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new RecordingHost(received));
        }
    }

    /** The list of the hosts, in discovery's form. */
    String list() {
        List<String> entries = new ArrayList<>();
        for (RecordingHost host : hosts) {
            String zone = entries.size() % 2 == 0 ? "a" : "b";
            entries.add(hostEntry("s" + entries.size(), host.address(), zone, "in_service"));
        }
        return hostList(1, true, entries.toArray(String[]::new));
    }

    /** Settings under which no quota refuses a crowd, with the deadline of the plain clients. */
    static String settings() {
        return Loopback.SETTINGS.replace("\"quota_per_s\":1000.0", "\"quota_per_s\":100000.0")
                .replace("60000000", Integer.toString(PlainClients.DEADLINE_MILLIS * 1000));
    }

    @Override
    public void close() throws IOException {
        for (RecordingHost host : hosts) {
            host.close();
        }
    }
}
