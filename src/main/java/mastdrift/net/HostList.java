package mastdrift.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongBiFunction;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.HostState;

/** A host list from discovery: all hosts where {@code full}, and otherwise the entries that changed. */
record HostList(long revision, boolean full, List<Entry> entries) {

    /** A host as the balancer knows it, by its uid, and the address at which this gateway reaches it. */
    record Entry(Host host, InetSocketAddress endpoint) { }

    /** Reads a list from parsed JSON; throws IllegalArgumentException for anything else. */
    static HostList parse(Object json) {
        if (!(json instanceof Map<?, ?> root && root.get("targets") instanceof List<?> targets
                && root.get("rev") instanceof Number revision && root.get("all") instanceof Boolean full)) {
            throw new IllegalArgumentException("expected a list with rev, all and targets");
        }
        List<Entry> entries = new ArrayList<>();
        for (Object target : targets) {
            entries.add(parseEntry(target instanceof Map<?, ?> object ? object : Map.of()));
        }
        return new HostList(revision.longValue(), full, entries);
    }

    private static Entry parseEntry(Map<?, ?> target) {
        String uid = Config.stringValue(target, "uid");
        String state = Config.stringValue(target, "state");
        HostState hostState = switch (state) {
            case "in_service" -> HostState.IN_SERVICE;
            case "terminating" -> HostState.TERMINATING;
            case "terminated" -> HostState.TERMINATED;
            default -> throw new IllegalArgumentException("expected a known state of " + uid + ", not " + state);
        };
        if (uid.isEmpty()) {
            throw new IllegalArgumentException("expected a uid");
        }
        // In microseconds of Unix time, which Gateway converts to its own clock.
        long startedAt = Math.multiplyExact(number(target, "boot_ms", 0).longValue(), 1000L);
        return new Entry(new Host(uid, Config.stringValue(target, "az"), number(target, "pod_group", 0).intValue(),
                Config.stringValue(target, "model"), number(target, "capacity_hint", 1).doubleValue(), hostState,
                startedAt),
                Config.parseAddress(Config.stringValue(target, "endpoint")));
    }

    /** Returns this list with the hosts' start times converted to another clock. */
    HostList withStartTimes(ToLongBiFunction<String, Long> conversion) {
        return new HostList(revision, full, entries.stream().map(entry -> {
            Host host = entry.host;
            return new Entry(new Host(host.address(), host.zone(), host.cell(), host.model(), host.weight(),
                    host.state(), conversion.applyAsLong(host.address(), host.startedAt())), entry.endpoint);
        }).toList());
    }

    private static Number number(Map<?, ?> target, String name, int defaultValue) {
        return target.get(name) instanceof Number value ? value : defaultValue;
    }
}
