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

/** The stand-in for the platform's discovery (PROTOCOL, "Discovery"): one address for each gateway, at which hosts have the
    addresses of that gateway's links. On its event loop alone. */
final class Lists implements AutoCloseable {

    private static final int ALIVE_SECONDS = 2;

    /** A host as the list has it; the address is each gateway's own. */
    record Entry(String uid, String zone, String state, long bootMs, long rev) { }

    /** How one gateway reaches a host. */
    interface Reach {
        String endpoint(String gateway, String host);
    }

    private record Watcher(String gateway, HttpServer.LineStream lines) { }

    private final EventLoop loop;
    private final Reach reach;
    private final boolean hides;
    private final History history;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private long rev;

    /** {@code hides} tells gateways nothing of drains, though the history has it that they were told. */
    Lists(EventLoop loop, Reach reach, boolean hides, History history) {
        this.hides = hides;
        this.loop = loop;
        this.reach = reach;
        this.history = history;
        loop.scheduleWithFixedDelay(() -> watchers.forEach(watcher -> watcher.lines.writeLine("")), ALIVE_SECONDS, ALIVE_SECONDS,
                TimeUnit.SECONDS);
    }

    /** Answers that gateway there. */
    void serve(String gateway, InetSocketAddress at) throws IOException {
        servers.add(HttpServer.listen(loop, at, call -> handle(gateway, call)));
    }

    /** A change, told to all that watch. */
    void put(String uid, String zone, String state, long bootMs) {
        loop.submit(() -> {
            rev++;
            Entry entry = new Entry(uid, zone, state, bootMs, rev);
            entries.put(uid, entry);
            long now = History.now();
            history.add(now, now, "discovery", "listed", Map.of("host", uid, "state", state, "rev", rev));
            for (Watcher watcher : watchers) {
                watcher.lines.writeLine(list(watcher.gateway, rev, false, List.of(entry)));
            }
        }).syncUninterruptibly();
    }

    /** The whole list as a gateway has it. */
    Map<String, Object> whole(String gateway) {
        return loop.submit(() -> object(gateway, rev, true, present())).syncUninterruptibly().getNow();
    }

    private List<Entry> present() {
        return entries.values().stream().filter(entry -> !entry.state.equals("terminated")).toList();
    }

    private void handle(String gateway, HttpServer.Exchange call) {
        if (!call.path().equals("/v1/endpoints")) {
            call.respond(404, "text/plain", "not known here\n");
        } else if (!"1".equals(call.queryParameter("watch"))) {
            call.respondJson(200, list(gateway, rev, true, present()));
        } else {
            long from = call.queryLong("from", 0);
            HttpServer.LineStream lines = call.startLineStream();
            boolean whole = from == 0 || from > rev;
            lines.writeLine(list(gateway, rev, whole, whole ? present()
                    : entries.values().stream().filter(entry -> entry.rev > from).toList()));
            Watcher watcher = new Watcher(gateway, lines);
            watchers.add(watcher);
            lines.onClose(() -> watchers.remove(watcher));
        }
    }

    private String list(String gateway, long at, boolean all, List<Entry> of) {
        return Json.encode(object(gateway, at, all, of));
    }

    private Map<String, Object> object(String gateway, long at, boolean all, List<Entry> of) {
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("rev", at);
        list.put("all", all);
        list.put("targets", of.stream().map(entry -> target(entry.uid, reach.endpoint(gateway, entry.uid), entry.zone,
                hides && entry.state.equals("terminating") ? "in_service" : entry.state, entry.bootMs)).toList());
        return list;
    }

    /** An entry as the protocol has it. */
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
