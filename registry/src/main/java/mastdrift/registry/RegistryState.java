package mastdrift.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import mastdrift.common.Json;

/**
 * The replicated state: entries with revisions and leases, duties, membership and zone evacuations. It changes only
 * through commands applied in log order, so it is the same on all replicas. It reads no clock: log time is the sum of
 * the leader's ticks, in milliseconds since the first.
 */
public class RegistryState {

    /** Result of a command: an HTTP status and body for the caller, and lines to log. */
    public record CommandResult(int status, Map<String, Object> answer, List<String> logLines) {

        /** The form in which Raft replies carry it. */
        String toJson() {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("status", status);
            fields.put("answer", answer);
            return Json.encode(fields);
        }
    }

    /** Lease of an entry: its duration (0: it never expires), its expiry in log time, and whether the entry was kept
        although the lease expired. */
    private record Lease(long durationMillis, long expiresAt, boolean stale) { }

    /** An entry of a zone that was removed because its lease expired, with the log time of the removal. */
    private record Expiration(long time) { }

    /** Longest time that one tick may add, so that a leader's pause doesn't expire leases. */
    static final long MAX_TICK_MILLIS = 2000;
    /** How long an entry that is removed while in service stays listed as {@code terminating}. */
    static final long REMOVAL_DRAIN_MILLIS = 3000;
    /** Largest part of a zone whose entries may be removed by expiry within one lease duration. */
    static final double MAX_EXPIRED_FRACTION = 0.15;
    /** Added to the revision on restore; more changes than a service makes between two backups. */
    static final long RESTORE_REVISION_GAP = 1_000_000;
    private static final int SNAPSHOT_FORMAT = 1;

    private final EndpointList endpoints = new EndpointList();
    private final DutyTable duties = new DutyTable();
    private final MembershipState membership = new MembershipState(this::scaledThreshold);
    private final ZoneEvacuations evacuations = new ZoneEvacuations(endpoints, this::nextRevision);
    private final Map<String, Lease> leases = new HashMap<>();
    // by zone, within the last lease duration
    private final Map<String, Deque<Expiration>> recentExpirations = new HashMap<>();
    private final Map<String, Long> removalTimes = new TreeMap<>();  // log time at which a draining entry is removed
    private final Map<String, Map<String, Object>> replicas = new TreeMap<>();
    private long logTimeMillis;
    private long leaderTerm;
    private double maxExpiredFraction = MAX_EXPIRED_FRACTION;

    /** Builds a command as it is stored in the log; {@code fields} are keys and values in turn. */
    public static Map<String, Object> command(String type, Object... fields) {
        Map<String, Object> command = new LinkedHashMap<>();
        command.put("do", type);
        for (int i = 0; i < fields.length; i += 2) {
            command.put(fields[i].toString(), fields[i + 1]);
        }
        return command;
    }

    /** Applies the next command of the log. An invalid command gets an error result; nothing is thrown. */
    public synchronized CommandResult apply(Map<String, Object> command) {
        List<String> logLines = new ArrayList<>();
        try {
            if (isFenced(command)) {
                return errorResult(412, "a newer token of duty " + command.get("duty") + " was granted", logLines);
            }
            return switch (Objects.toString(command.get("do"))) {
                case "put" -> put(command, logLines);
                case "renew" -> renew(command, logLines);
                case "drain" -> drain(command, logLines);
                case "remove" -> remove(command, logLines);
                case "tick" -> tick(longField(command, "elapsed", 0), logLines);
                case "reign" -> startTerm(command, logLines);
                case "member" -> recordReplica(command, logLines);
                case "read" -> read(command, logLines);
                case "restore" -> restoreBackup((Map<?, ?>) command.get("state"), logLines);
                default -> {
                    CommandResult applied = duties.apply(command, logTimeMillis, logLines);
                    applied = applied == null ? membership.apply(command, logTimeMillis, logLines) : applied;
                    applied = applied == null ? evacuations.apply(command, logTimeMillis, logLines) : applied;
                    yield applied == null ? errorResult(400, "unknown command " + command.get("do"), logLines)
                            : applied;
                }
            };
        } catch (IllegalArgumentException | ClassCastException e) {
            return errorResult(400, e.getMessage(), logLines);
        }
    }

    static long longField(Map<String, Object> command, String field, long defaultValue) {
        return command.get(field) instanceof Number number ? number.longValue() : defaultValue;
    }

    /** Reads in log order, so it sees every write acknowledged before it. */
    private CommandResult read(Map<String, Object> command, List<String> logLines) {
        Map<String, Object> result = switch (Objects.toString(command.get("what"))) {
            case "entry" -> entry(Objects.toString(command.get("name")));
            case "duty" -> duties.describe(Objects.toString(command.get("name")));
            case "members" -> membership.describe();
            case "zones" -> evacuations.describeZones(logTimeMillis);
            case "list" -> Json.parse(endpoints.fullUpdate().json());
            case "state" -> state();
            default -> throw new IllegalArgumentException("what: expected entry, duty, members, zones, list or state");
        };
        return result == null ? errorResult(404, "no " + command.get("what") + " " + command.get("name"), logLines)
                : new CommandResult(200, result, logLines);
    }

    private static CommandResult errorResult(int status, String error, List<String> logLines, Object... fields) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("error", error);
        for (int i = 0; i < fields.length; i += 2) {
            answer.put(fields[i].toString(), fields[i + 1]);
        }
        return new CommandResult(status, answer, logLines);
    }

    private CommandResult entryResult(String uid, List<String> logLines) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("uid", uid);
        answer.put("rev", endpoints.revisionOf(uid));
        return new CommandResult(200, answer, logLines);
    }

    /** Whether a write carries a fencing token that is no longer the newest of its duty; such a write has no effect. */
    protected boolean isFenced(Map<String, Object> command) {
        return command.containsKey("token") && List.of("put", "drain", "remove", "evacuate", "return")
                .contains(command.get("do"))
                && !duties.isCurrentToken(Objects.toString(command.get("duty")), longField(command, "token", 0));
    }

    /** Scales a threshold meant for {@link MembershipState#WATCHERS_PER_MEMBER} watchers to the actual number of
        watchers. */
    protected int scaledThreshold(int threshold, int watcherCount) {
        return Math.max(1, (int) Math.ceil((double) threshold * watcherCount / MembershipState.WATCHERS_PER_MEMBER));
    }

    /** Returns the revision for the next change. */
    protected long nextRevision() {
        return endpoints.rev() + 1;
    }

    /** Whether the optional {@code if_rev} of a write matches the entry; 0 requires that there is no entry. */
    private boolean revisionMatches(Map<String, Object> command, String uid) {
        return !command.containsKey("if_rev") || longField(command, "if_rev", 0) == endpoints.revisionOf(uid);
    }

    private CommandResult put(Map<String, Object> command, List<String> logLines) {
        Entry entry = Entry.parse((Map<?, ?>) command.get("entry"));
        if (entry.state().equals(Entry.TERMINATED)) {
            return errorResult(400, "state: an entry that is gone is removed, not put", logLines);
        }
        if (!revisionMatches(command, entry.uid())) {
            return errorResult(409, "its revision is another", logLines, "rev", endpoints.revisionOf(entry.uid()));
        }
        long leaseMillis = longField(command, "lease_ms", 0);
        leases.put(entry.uid(), new Lease(leaseMillis, leaseMillis == 0 ? Long.MAX_VALUE : logTimeMillis + leaseMillis,
                false));
        removalTimes.remove(entry.uid());
        Entry effective = evacuations.effectiveEntry(entry, logTimeMillis);
        if (!effective.equals(endpoints.get(entry.uid()))) {
            endpoints.put(effective, nextRevision());
        }
        return entryResult(entry.uid(), logLines);
    }

    private CommandResult renew(Map<String, Object> command, List<String> logLines) {
        List<Object> unknown = new ArrayList<>();
        for (Object uid : (List<?>) command.get("uids")) {
            Lease lease = leases.get(uid);
            if (lease == null) {
                unknown.add(uid);
            } else if (lease.durationMillis > 0) {
                if (lease.stale) {
                    logLines.add("stale-back " + uid);
                }
                leases.put(uid.toString(), new Lease(lease.durationMillis, logTimeMillis + lease.durationMillis,
                        false));
            }
        }
        return new CommandResult(200, Map.of("unknown", unknown), logLines);
    }

    private CommandResult drain(Map<String, Object> command, List<String> logLines) {
        String uid = Objects.toString(command.get("uid"));
        Entry entry = endpoints.get(uid);
        if (entry == null) {
            return errorResult(404, "no entry " + uid, logLines);
        }
        if (!revisionMatches(command, uid)) {
            return errorResult(409, "its revision is another", logLines, "rev", endpoints.revisionOf(uid));
        }
        evacuations.release(uid);
        if (entry.state().equals(Entry.IN_SERVICE)) {
            endpoints.put(entry.withState(Entry.TERMINATING), nextRevision());
        }
        return entryResult(uid, logLines);
    }

    /** Removes an entry; one in service is listed as {@code terminating} first, unless {@code now} is set. */
    private CommandResult remove(Map<String, Object> command, List<String> logLines) {
        String uid = Objects.toString(command.get("uid"));
        if (endpoints.get(uid) == null) {
            return errorResult(404, "no entry " + uid, logLines);
        }
        if (!revisionMatches(command, uid)) {
            return errorResult(409, "its revision is another", logLines, "rev", endpoints.revisionOf(uid));
        }
        if (Boolean.TRUE.equals(command.get("now"))) {
            removeEntry(uid);
        } else {
            drain(command, logLines);
            removalTimes.putIfAbsent(uid, logTimeMillis + REMOVAL_DRAIN_MILLIS);
        }
        return new CommandResult(200, Map.of("uid", uid, "rev", endpoints.rev()), logLines);
    }

    private void removeEntry(String uid) {
        leases.remove(uid);
        removalTimes.remove(uid);
        evacuations.release(uid);
        endpoints.remove(uid, nextRevision());
    }

    /** A new leader took over. How long there was none is unknown, so every lease gets its full duration again. */
    private CommandResult startTerm(Map<String, Object> command, List<String> logLines) {
        leaderTerm = Math.max(leaderTerm, longField(command, "term", 0));
        maxExpiredFraction = command.get("lapse_share") instanceof Number share ? share.doubleValue()
                : maxExpiredFraction;
        duties.extendLeases(logTimeMillis);
        leases.replaceAll((uid, lease) -> lease.durationMillis == 0 ? lease
                : new Lease(lease.durationMillis, logTimeMillis + lease.durationMillis, lease.stale));
        return new CommandResult(200, Map.of("term", leaderTerm), logLines);
    }

    /** Restores a backup into a service without entries. Gateways may have seen revisions later than the backup, so
        revisions continue far beyond it and every watcher gets the full list. */
    private CommandResult restoreBackup(Map<?, ?> backup, List<String> logLines) {
        if (endpoints.size() > 0) {
            return errorResult(409, "the list is not empty: a backup is restored into a new service", logLines);
        }
        Map<String, Object> snapshot = new LinkedHashMap<>();
        backup.forEach((key, value) -> snapshot.put(key.toString(), value));
        snapshot.put("members", replicas());
        long currentTime = logTimeMillis;
        long currentTerm = leaderTerm;
        restore(snapshot);
        logTimeMillis = currentTime;
        leaderTerm = currentTerm;
        long newRev = endpoints.rev() + RESTORE_REVISION_GAP;
        endpoints.advanceTo(newRev);
        endpoints.compactTo(newRev);
        leases.replaceAll((uid, lease) -> lease.durationMillis == 0 ? lease
                : new Lease(lease.durationMillis, logTimeMillis + lease.durationMillis, false));
        removalTimes.replaceAll((uid, at) -> logTimeMillis + REMOVAL_DRAIN_MILLIS);
        recentExpirations.clear();
        duties.extendLeases(logTimeMillis);
        evacuations.finishTransitions(logTimeMillis);
        membership.skipViews();
        logLines.add("restored entries=" + endpoints.size() + " rev=" + newRev);
        return new CommandResult(200, Map.of("rev", newRev, "entries", endpoints.size()), logLines);
    }

    /** Records the id and generation of a replica's folder under the replica's name. */
    private CommandResult recordReplica(Map<String, Object> command, List<String> logLines) {
        String name = Objects.toString(command.get("name"));
        Map<String, Object> replica = Map.of("id", Objects.toString(command.get("id")), "mark",
                longField(command, "mark", 0),
                "http", Objects.toString(command.get("http"), ""));
        Map<String, Object> previous = replicas.put(name, replica);
        if (previous == null || !previous.get("id").equals(replica.get("id"))) {
            logLines.add("replica " + replica.get("id"));
        }
        return new CommandResult(200, Map.of("name", name), logLines);
    }

    /** The recorded id, generation and HTTP address of each replica, by name. */
    public synchronized Map<String, Object> replicas() {
        return new TreeMap<>(replicas);
    }

    private CommandResult tick(long elapsed, List<String> logLines) {
        logTimeMillis += Math.max(0, Math.min(MAX_TICK_MILLIS, elapsed));
        for (String uid : List.copyOf(removalTimes.keySet())) {
            if (removalTimes.get(uid) <= logTimeMillis) {
                removeEntry(uid);
            }
        }
        evacuations.tick(logTimeMillis, logLines);
        duties.tick(logTimeMillis, logLines);
        membership.tick(logTimeMillis, logLines);
        Map<String, List<String>> expiredByZone = new TreeMap<>();
        leases.forEach((uid, lease) -> {
            if (isLeaseExpired(uid, lease.expiresAt)) {
                expiredByZone.computeIfAbsent(endpoints.get(uid).zone(), z -> new ArrayList<>()).add(uid);
            }
        });
        expiredByZone.forEach((zone, uids) -> expireLeases(zone, uids, logLines));
        return new CommandResult(200, Map.of("time", logTimeMillis), logLines);
    }

    /** Whether a lease with that expiry has expired. */
    protected boolean isLeaseExpired(String uid, long expiresAt) {
        return expiresAt <= logTimeMillis;
    }

    /** Removes entries with expired leases, unless too large a part of the zone would go within one lease duration:
        then the hosts more likely can't reach the service than are dead, and the entries stay, marked as stale. */
    private void expireLeases(String zone, List<String> uids, List<String> logLines) {
        uids.sort(null);
        long longestLease = uids.stream().mapToLong(uid -> leases.get(uid).durationMillis).max().orElse(0);
        Deque<Expiration> recent = recentExpirations.computeIfAbsent(zone, z -> new ArrayDeque<>());
        while (!recent.isEmpty() && recent.peek().time < logTimeMillis - longestLease) {
            recent.poll();
        }
        long zoneSize = endpoints.entries().stream().filter(entry -> entry.zone().equals(zone)).count() + recent.size();
        boolean withinLimit = recent.size() + uids.size() <= Math.max(1, maxExpiredFraction * zoneSize);
        for (String uid : uids) {
            Lease lease = leases.get(uid);
            if (withinLimit) {
                recent.add(new Expiration(logTimeMillis));
                removeEntry(uid);
                logLines.add("lapsed " + uid + " of zone " + zone);
            } else if (!lease.stale) {
                leases.put(uid, new Lease(lease.durationMillis, lease.expiresAt, true));
                logLines.add("stale " + uid + " of zone " + zone + ": " + uids.size() + " of " + zoneSize
                        + " would expire within one lease duration; they stay");
            }
        }
    }

    public synchronized long rev() {
        return endpoints.rev();
    }

    public synchronized int size() {
        return endpoints.size();
    }

    /** Number of entries that were kept although their leases expired. */
    public synchronized long staleCount() {
        return leases.values().stream().filter(Lease::stale).count();
    }

    /** Discovery line with the changes after a revision; 0 for the full list. */
    public synchronized EndpointList.UpdateLine updateSince(long revision) {
        return endpoints.updateSince(revision);
    }

    /** Revision of the duties. */
    public synchronized long dutyRev() {
        return duties.rev();
    }

    /** Line with the duties that changed after a revision; 0 for all. */
    public synchronized EndpointList.UpdateLine dutyUpdateSince(long revision) {
        return duties.updateSince(revision);
    }

    /** Describes a duty; null if it was never acquired or ordered. */
    public synchronized Map<String, Object> duty(String name) {
        return duties.describe(name);
    }

    /** Describes an entry with its revision and lease; null if there is none. */
    public synchronized Map<String, Object> entry(String uid) {
        Entry entry = endpoints.get(uid);
        if (entry == null) {
            return null;
        }
        Lease lease = leases.get(uid);
        Map<String, Object> fields = entry.toTarget();
        fields.put("rev", endpoints.revisionOf(uid));
        fields.put("lease_ms", lease.durationMillis);
        fields.put("stale", lease.stale);
        return fields;
    }

    /** Describes all entries. */
    public synchronized List<Map<String, Object>> entries() {
        return endpoints.entries().stream().map(entry -> entry(entry.uid())).toList();
    }

    /** Number of zones that are evacuated, being evacuated or returning. */
    public synchronized int evacuatedZoneCount() {
        return evacuations.count();
    }

    public synchronized long viewNumber() {
        return membership.view();
    }

    public synchronized int memberCount() {
        return membership.present().size();
    }

    /** This replica's newest membership view; only its number if the caller has that one already. */
    public synchronized Map<String, Object> membershipView(long knownView) {
        return membership.view() == knownView ? Map.of("view", knownView) : membership.describe();
    }

    /** The whole state, for snapshots and backups. */
    public synchronized Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("format", SNAPSHOT_FORMAT);
        state.put("rev", endpoints.rev());
        state.put("floor", endpoints.compactedRevision());
        state.put("time", logTimeMillis);
        state.put("reign", leaderTerm);
        state.put("lapse_share", maxExpiredFraction);
        state.put("entries", endpoints.entries().stream().map(entry -> {
            Lease lease = leases.get(entry.uid());
            Map<String, Object> fields = entry.toTarget();
            fields.put("rev", endpoints.revisionOf(entry.uid()));
            fields.put("span", lease.durationMillis);
            fields.put("until", lease.expiresAt);
            fields.put("stale", lease.stale);
            return fields;
        }).toList());
        List<Map<String, Object>> removed = new ArrayList<>();
        endpoints.removedAfter(0).forEach((at, entries) -> entries.forEach(entry -> {
            Map<String, Object> fields = entry.toTarget();
            fields.put("rev", at);
            removed.add(fields);
        }));
        state.put("left", removed);
        state.put("leaving", new TreeMap<>(removalTimes));
        Map<String, Object> expirations = new TreeMap<>();
        recentExpirations.forEach((zone, times) -> expirations.put(zone, times.stream().map(Expiration::time)
                .toList()));
        state.put("lapsed", expirations);
        state.put("duties", duties.state());
        state.put("members", replicas());
        state.put("processes", membership.state());
        state.put("evacuations", evacuations.state());
        return state;
    }

    /** Replaces the whole state by one that {@link #state} returned. Throws IllegalArgumentException for anything else
        and then changes nothing. */
    public synchronized void restore(Map<String, Object> state) {
        if (longField(state, "format", 0) != SNAPSHOT_FORMAT || !(state.get("entries") instanceof List<?> entries)
                || !(state.get("left") instanceof List<?> removed)
                || !(state.get("leaving") instanceof Map<?, ?> removals)
                || !(state.get("lapsed") instanceof Map<?, ?> expirations)) {
            throw new IllegalArgumentException("not a snapshot of format " + SNAPSHOT_FORMAT);
        }
        List<Map<?, ?>> entryMaps = new ArrayList<>();
        entries.forEach(each -> entryMaps.add((Map<?, ?>) each));
        entryMaps.forEach(Entry::parse);
        removed.forEach(each -> Entry.parse((Map<?, ?>) each));
        endpoints.clear();
        leases.clear();
        recentExpirations.clear();
        removalTimes.clear();
        for (Map<?, ?> each : entryMaps) {
            Entry entry = Entry.parse(each);
            endpoints.put(entry, ((Number) each.get("rev")).longValue());
            leases.put(entry.uid(), new Lease(((Number) each.get("span")).longValue(),
                    ((Number) each.get("until")).longValue(), Boolean.TRUE.equals(each.get("stale"))));
        }
        for (Object each : removed) {
            Map<?, ?> fields = (Map<?, ?>) each;
            endpoints.addRemoved(Entry.parse(fields), ((Number) fields.get("rev")).longValue());
        }
        removals.forEach((uid, at) -> removalTimes.put(uid.toString(), ((Number) at).longValue()));
        expirations.forEach((zone, times) -> {
            Deque<Expiration> zoneExpirations = new ArrayDeque<>();
            ((List<?>) times).forEach(at -> zoneExpirations.add(new Expiration(((Number) at).longValue())));
            recentExpirations.put(zone.toString(), zoneExpirations);
        });
        replicas.clear();
        if (state.get("members") instanceof Map<?, ?> replicaMap) {
            replicaMap.forEach((name, member) -> replicas.put(name.toString(),
                    Map.of("id", ((Map<?, ?>) member).get("id"), "mark",
                    ((Number) ((Map<?, ?>) member).get("mark")).longValue(), "http",
                    Objects.toString(((Map<?, ?>) member).get("http"), ""))));
        }
        duties.restore((Map<?, ?>) state.get("duties"));
        membership.restore((Map<?, ?>) state.get("processes"));
        evacuations.restore((Map<?, ?>) state.get("evacuations"));
        endpoints.compactTo(longField(state, "floor", 0));
        endpoints.advanceTo(longField(state, "rev", 0));
        logTimeMillis = longField(state, "time", 0);
        leaderTerm = longField(state, "reign", 0);
        maxExpiredFraction = ((Number) state.get("lapse_share")).doubleValue();
    }
}
