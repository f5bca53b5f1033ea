package mastdrift.rig;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import mastdrift.common.HttpServer;
import mastdrift.common.Json;

/** A replacement for the platform's discovery service (PROTOCOL, "Discovery"). It has one address for each gateway, and
    lists hosts there with the addresses of that gateway's links. Confined to its event loop. */
final class DiscoveryServer implements AutoCloseable {

    private static final int KEEP_ALIVE_SECONDS = 2;

    /** A host in the list, without its address, which differs between gateways. */
    record Entry(String uid, String zone, String state, long bootMs, long rev) { }

    /** Gives the address and port at which a gateway reaches a host. */
    interface EndpointResolver {
        String endpoint(String gateway, String host);
    }

    private record Watcher(String gateway, HttpServer.LineStream lines) { }

    private final EventLoop loop;
    private final EndpointResolver resolver;
    private final boolean hidesDrains;
    private final History history;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private long rev;

    /** With {@code hidesDrains} gateways are not told of drains, though the history records them as told: a broken
        variant. */
    DiscoveryServer(EventLoop loop, EndpointResolver resolver, boolean hidesDrains, History history) {
        this.hidesDrains = hidesDrains;
        this.loop = loop;
        this.resolver = resolver;
        this.history = history;
        loop.scheduleWithFixedDelay(() -> watchers.forEach(watcher -> watcher.lines.writeLine("")), KEEP_ALIVE_SECONDS,
                KEEP_ALIVE_SECONDS, TimeUnit.SECONDS);
    }

    /** Listens at that address for the gateway. */
    void serve(String gateway, InetSocketAddress address) throws IOException {
        servers.add(HttpServer.listen(loop, address, call -> handle(gateway, call)));
    }

    /** Changes an entry and sends it to all watches. */
    void update(String uid, String zone, String state, long bootMs) {
        loop.submit(() -> {
            rev++;
            Entry entry = new Entry(uid, zone, state, bootMs, rev);
            entries.put(uid, entry);
            long now = History.now();
            history.add(now, now, "discovery", "listed", Map.of("host", uid, "state", state, "rev", rev));
            for (Watcher watcher : watchers) {
                watcher.lines.writeLine(toJson(watcher.gateway, rev, false, List.of(entry)));
            }
        }).syncUninterruptibly();
    }

    /** The full list with the gateway's own addresses. */
    Map<String, Object> fullList(String gateway) {
        return loop.submit(() -> toMap(gateway, rev, true, currentEntries())).syncUninterruptibly().getNow();
    }

    private List<Entry> currentEntries() {
        return entries.values().stream().filter(entry -> !entry.state.equals("terminated")).toList();
    }

    private void handle(String gateway, HttpServer.Exchange call) {
        if (!call.path().equals("/v1/endpoints")) {
            call.respond(404, "text/plain", "not known here\n");
        } else if (!"1".equals(call.queryParameter("watch"))) {
            call.respondJson(200, toJson(gateway, rev, true, currentEntries()));
        } else {
            long from = call.queryLong("from", 0);
            HttpServer.LineStream lines = call.startLineStream();
            boolean full = from == 0 || from > rev;
            lines.writeLine(toJson(gateway, rev, full, full ? currentEntries()
                    : entries.values().stream().filter(entry -> entry.rev > from).toList()));
            Watcher watcher = new Watcher(gateway, lines);
            watchers.add(watcher);
            lines.onClose(() -> watchers.remove(watcher));
        }
    }

    private String toJson(String gateway, long revision, boolean all, List<Entry> listed) {
        return Json.encode(toMap(gateway, revision, all, listed));
    }

    private Map<String, Object> toMap(String gateway, long revision, boolean all, List<Entry> listed) {
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("rev", revision);
        list.put("all", all);
        list.put("targets", listed.stream().map(entry -> target(entry.uid, resolver.endpoint(gateway, entry.uid),
                entry.zone,
                hidesDrains && entry.state.equals("terminating") ? "in_service" : entry.state, entry.bootMs)).toList());
        return list;
    }

    /** An entry in the form of the discovery protocol. */
    static Map<String, Object> target(String uid, String endpoint, String zone, String state, long bootMs) {
        Map<String, Object> target = new LinkedHashMap<>();
        target.put("uid", uid);
        target.put("endpoint", endpoint);
        target.put("az", zone);
        target.put("model", "std");
        target.put("pod_group", 0);
        target.put("state", state);
        target.put("capacity_hint", 1.0);
        target.put("boot_ms", bootMs);
        return target;
    }

    @Override
    public void close() {
        servers.forEach(HttpServer::close);
    }
}
