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
public class Catalogue {

    /** Result of a command: an HTTP status and body for the caller, and lines to log. */
    public record Applied(int status, Map<String, Object> answer, List<String> news) {

        /** The form in which Raft replies carry it. */
        String text() {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("status", status);
            all.put("answer", answer);
            return Json.encode(all);
        }
    }

    /** Lease of an entry: its duration (0: it never expires), its expiry in log time, and whether the entry was kept
        although the lease expired. */
    private record Lease(long span, long until, boolean stale) { }

    /** An entry of a zone that was removed because its lease expired, with the log time of the removal. */
    private record Lapsed(long at) { }

    /** Longest time that one tick may add, so that a leader's pause doesn't expire leases. */
    static final long TICK_MOST = 2000;
    /** How long an entry that is removed while in service stays listed as {@code terminating}. */

    static final long LEAVING_MILLIS = 3000;
    /** Largest part of a zone whose entries may be removed by expiry within one lease duration. */
    static final double LAPSE_SHARE = 0.15;
    /** Added to the revision on restore; more changes than a service makes between two backups. */
    static final long RESTORED_JUMP = 1_000_000;
    private static final int FORMAT = 1;

    private final Listing listing = new Listing();
    private final Duties duties = new Duties();
    private final Members processes = new Members(this::mark);
    private final Evacuations evacuations = new Evacuations(listing, this::nextRevision);
    private final Map<String, Lease> leases = new HashMap<>();
    private final Map<String, Deque<Lapsed>> lapsed = new HashMap<>();  // by zone, within the last lease duration
    private final Map<String, Long> leaving = new TreeMap<>();  // log time at which a draining entry is removed
    private final Map<String, Map<String, Object>> members = new TreeMap<>();
    private long time;
    private long reign;
    private double lapseShare = LAPSE_SHARE;

    /** Builds a command as it is stored in the log; {@code facts} are keys and values in turn. */
    public static Map<String, Object> command(String name, Object... facts) {
        Map<String, Object> command = new LinkedHashMap<>();
        command.put("do", name);
        for (int i = 0; i < facts.length; i += 2) {
            command.put(facts[i].toString(), facts[i + 1]);
        }
        return command;
    }

    /** Applies the next command of the log. An invalid command gets an error result; nothing is thrown. */
    public synchronized Applied apply(Map<String, Object> command) {
        List<String> news = new ArrayList<>();
        try {
            if (fenced(command)) {
                return no(412, "a newer token of duty " + command.get("duty") + " was granted", news);
            }
            return switch (Objects.toString(command.get("do"))) {
                case "put" -> put(command, news);
                case "renew" -> renew(command, news);
                case "drain" -> drain(command, news);
                case "remove" -> remove(command, news);
                case "tick" -> tick(number(command, "elapsed", 0), news);
                case "reign" -> reign(command, news);
                case "member" -> member(command, news);
                case "read" -> read(command, news);
                case "restore" -> fromBackup((Map<?, ?>) command.get("state"), news);
                default -> {
                    Applied applied = duties.apply(command, time, news);
                    applied = applied == null ? processes.apply(command, time, news) : applied;
                    applied = applied == null ? evacuations.apply(command, time, news) : applied;
                    yield applied == null ? no(400, "unknown command " + command.get("do"), news) : applied;
                }
            };
        } catch (IllegalArgumentException | ClassCastException e) {
            return no(400, e.getMessage(), news);
        }
    }

    static long number(Map<String, Object> command, String name, long otherwise) {
        return command.get(name) instanceof Number number ? number.longValue() : otherwise;
    }

    /** Reads in log order, so it sees every write acknowledged before it. */
    private Applied read(Map<String, Object> command, List<String> news) {
        Map<String, Object> found = switch (Objects.toString(command.get("what"))) {
            case "entry" -> entry(Objects.toString(command.get("name")));
            case "duty" -> duties.shown(Objects.toString(command.get("name")));
            case "members" -> processes.shown();
            case "zones" -> evacuations.shown(time);
            case "list" -> Json.parse(listing.whole().text());
            case "state" -> state();
            default -> throw new IllegalArgumentException("what: expected entry, duty, members, zones, list or state");
        };
        return found == null ? no(404, "no " + command.get("what") + " " + command.get("name"), news)
                : new Applied(200, found, news);
    }

    private static Applied no(int status, String error, List<String> news, Object... more) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("error", error);
        for (int i = 0; i < more.length; i += 2) {
            answer.put(more[i].toString(), more[i + 1]);
        }
        return new Applied(status, answer, news);
    }

    private Applied yes(String uid, List<String> news) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("uid", uid);
        answer.put("rev", listing.revision(uid));
        return new Applied(200, answer, news);
    }

    /** Whether a write carries a fencing token that is no longer the newest of its duty; such a write has no effect. */
    protected boolean fenced(Map<String, Object> command) {
        return command.containsKey("token") && List.of("put", "drain", "remove", "evacuate", "return").contains(command.get("do"))
                && !duties.current(Objects.toString(command.get("duty")), number(command, "token", 0));
    }

    /** Scales a threshold meant for {@link MembershipState#WATCHERS_PER_MEMBER} watchers to the actual number of
        watchers. */
    protected int mark(int of, int watching) {
        return Math.max(1, (int) Math.ceil((double) of * watching / Members.WATCHERS));
    }

    /** Returns the revision for the next change. */
    protected long nextRevision() {
        return listing.rev() + 1;
    }

    /** Whether the optional {@code if_rev} of a write matches the entry; 0 requires that there is no entry. */
    private boolean meets(Map<String, Object> command, String uid) {
        return !command.containsKey("if_rev") || number(command, "if_rev", 0) == listing.revision(uid);
    }

    private Applied put(Map<String, Object> command, List<String> news) {
        Entry entry = Entry.of((Map<?, ?>) command.get("entry"));
        if (entry.state().equals(Entry.TERMINATED)) {
            return no(400, "state: an entry that is gone is removed, not put", news);
        }
        if (!meets(command, entry.uid())) {
            return no(409, "its revision is another", news, "rev", listing.revision(entry.uid()));
        }
        long span = number(command, "lease_ms", 0);
        leases.put(entry.uid(), new Lease(span, span == 0 ? Long.MAX_VALUE : time + span, false));
        leaving.remove(entry.uid());
        Entry listed = evacuations.listed(entry, time);
        if (!listed.equals(listing.get(entry.uid()))) {
            listing.put(listed, nextRevision());
        }
        return yes(entry.uid(), news);
    }

    private Applied renew(Map<String, Object> command, List<String> news) {
        List<Object> unknown = new ArrayList<>();
        for (Object uid : (List<?>) command.get("uids")) {
            Lease lease = leases.get(uid);
            if (lease == null) {
                unknown.add(uid);
            } else if (lease.span > 0) {
                if (lease.stale) {
                    news.add("stale-back " + uid);
                }
                leases.put(uid.toString(), new Lease(lease.span, time + lease.span, false));
            }
        }
        return new Applied(200, Map.of("unknown", unknown), news);
    }

    private Applied drain(Map<String, Object> command, List<String> news) {
        String uid = Objects.toString(command.get("uid"));
        Entry entry = listing.get(uid);
        if (entry == null) {
            return no(404, "no entry " + uid, news);
        }
        if (!meets(command, uid)) {
            return no(409, "its revision is another", news, "rev", listing.revision(uid));
        }
        evacuations.forget(uid);
        if (entry.state().equals(Entry.IN_SERVICE)) {
            listing.put(entry.in(Entry.TERMINATING), nextRevision());
        }
        return yes(uid, news);
    }

    /** Removes an entry; one in service is listed as {@code terminating} first, unless {@code now} is set. */
    private Applied remove(Map<String, Object> command, List<String> news) {
        String uid = Objects.toString(command.get("uid"));
        if (listing.get(uid) == null) {
            return no(404, "no entry " + uid, news);
        }
        if (!meets(command, uid)) {
            return no(409, "its revision is another", news, "rev", listing.revision(uid));
        }
        if (Boolean.TRUE.equals(command.get("now"))) {
            gone(uid);
        } else {
            drain(command, news);
            leaving.putIfAbsent(uid, time + LEAVING_MILLIS);
        }
        return new Applied(200, Map.of("uid", uid, "rev", listing.rev()), news);
    }

    private void gone(String uid) {
        leases.remove(uid);
        leaving.remove(uid);
        evacuations.forget(uid);
        listing.remove(uid, nextRevision());
    }

    /** A new leader took over. How long there was none is unknown, so every lease gets its full duration again. */
    private Applied reign(Map<String, Object> command, List<String> news) {
        reign = Math.max(reign, number(command, "term", 0));
        lapseShare = command.get("lapse_share") instanceof Number share ? share.doubleValue() : lapseShare;
        duties.reign(time);
        leases.replaceAll((uid, lease) -> lease.span == 0 ? lease : new Lease(lease.span, time + lease.span, lease.stale));
        return new Applied(200, Map.of("term", reign), news);
    }

    /** Restores a backup into a service without entries. Gateways may have seen revisions later than the backup, so
        revisions continue far beyond it and every watcher gets the full list. */
    private Applied fromBackup(Map<?, ?> backup, List<String> news) {
        if (listing.size() > 0) {
            return no(409, "the list is not empty: a backup is restored into a new service", news);
        }
        Map<String, Object> copy = new LinkedHashMap<>();
        backup.forEach((key, value) -> copy.put(key.toString(), value));
        copy.put("members", members());
        long now = time;
        long reigns = reign;
        restore(copy);
        time = now;
        reign = reigns;
        long jumped = listing.rev() + RESTORED_JUMP;
        listing.advance(jumped);
        listing.floor(jumped);
        leases.replaceAll((uid, lease) -> lease.span == 0 ? lease : new Lease(lease.span, time + lease.span, false));
        leaving.replaceAll((uid, at) -> time + LEAVING_MILLIS);
        lapsed.clear();
        duties.reign(time);
        evacuations.rebase(time);
        processes.jump();
        news.add("restored entries=" + listing.size() + " rev=" + jumped);
        return new Applied(200, Map.of("rev", jumped, "entries", listing.size()), news);
    }

    /** Records the id and generation of a replica's folder under the replica's name. */
    private Applied member(Map<String, Object> command, List<String> news) {
        String name = Objects.toString(command.get("name"));
        Map<String, Object> next = Map.of("id", Objects.toString(command.get("id")), "mark", number(command, "mark", 0),
                "http", Objects.toString(command.get("http"), ""));
        Map<String, Object> before = members.put(name, next);
        if (before == null || !before.get("id").equals(next.get("id"))) {
            news.add("replica " + next.get("id"));
        }
        return new Applied(200, Map.of("name", name), news);
    }

    /** The recorded id, generation and HTTP address of each replica, by name. */
    public synchronized Map<String, Object> members() {
        return new TreeMap<>(members);
    }

    private Applied tick(long elapsed, List<String> news) {
        time += Math.max(0, Math.min(TICK_MOST, elapsed));
        for (String uid : List.copyOf(leaving.keySet())) {
            if (leaving.get(uid) <= time) {
                gone(uid);
            }
        }
        evacuations.tick(time, news);
        duties.tick(time, news);
        processes.tick(time, news);
        Map<String, List<String>> due = new TreeMap<>();
        leases.forEach((uid, lease) -> {
            if (lapses(uid, lease.until)) {
                due.computeIfAbsent(listing.get(uid).zone(), z -> new ArrayList<>()).add(uid);
            }
        });
        due.forEach((zone, uids) -> lapse(zone, uids, news));
        return new Applied(200, Map.of("time", time), news);
    }

    /** Whether a lease with that expiry has expired. */
    protected boolean lapses(String uid, long until) {
        return until <= time;
    }

    /** Removes entries with expired leases, unless too large a part of the zone would go within one lease duration:
        then the hosts more likely can't reach the service than are dead, and the entries stay, marked as stale. */
    private void lapse(String zone, List<String> uids, List<String> news) {
        uids.sort(null);
        long term = uids.stream().mapToLong(uid -> leases.get(uid).span).max().orElse(0);
        Deque<Lapsed> before = lapsed.computeIfAbsent(zone, z -> new ArrayDeque<>());
        while (!before.isEmpty() && before.peek().at < time - term) {
            before.poll();
        }
        long size = listing.entries().stream().filter(entry -> entry.zone().equals(zone)).count() + before.size();
        boolean few = before.size() + uids.size() <= Math.max(1, lapseShare * size);
        for (String uid : uids) {
            Lease lease = leases.get(uid);
            if (few) {
                before.add(new Lapsed(time));
                gone(uid);
                news.add("lapsed " + uid + " of zone " + zone);
            } else if (!lease.stale) {
                leases.put(uid, new Lease(lease.span, lease.until, true));
                news.add("stale " + uid + " of zone " + zone + ": " + uids.size() + " of " + size
                        + " would expire within one lease duration; they stay");
            }
        }
    }

    public synchronized long rev() {
        return listing.rev();
    }

    public synchronized int size() {
        return listing.size();
    }

    /** Number of entries that were kept although their leases expired. */
    public synchronized long stale() {
        return leases.values().stream().filter(Lease::stale).count();
    }

    /** Discovery line with the changes after a revision; 0 for the full list. */
    public synchronized Listing.Line since(long from) {
        return listing.since(from);
    }

    /** Revision of the duties. */
    public synchronized long dutiesRev() {
        return duties.rev();
    }

    /** Line with the duties that changed after a revision; 0 for all. */
    public synchronized Listing.Line dutiesSince(long from) {
        return duties.since(from);
    }

    /** Describes a duty; null if it was never acquired or ordered. */
    public synchronized Map<String, Object> duty(String name) {
        return duties.shown(name);
    }

    /** Describes an entry with its revision and lease; null if there is none. */
    public synchronized Map<String, Object> entry(String uid) {
        Entry entry = listing.get(uid);
        if (entry == null) {
            return null;
        }
        Lease lease = leases.get(uid);
        Map<String, Object> shown = entry.target();
        shown.put("rev", listing.revision(uid));
        shown.put("lease_ms", lease.span);
        shown.put("stale", lease.stale);
        return shown;
    }

    /** Describes all entries. */
    public synchronized List<Map<String, Object>> shown() {
        return listing.entries().stream().map(entry -> entry(entry.uid())).toList();
    }

    /** Number of zones that are evacuated, being evacuated or returning. */
    public synchronized int zonesMoved() {
        return evacuations.count();
    }

    public synchronized long viewNumber() {
        return processes.view();
    }

    public synchronized int memberCount() {
        return processes.present().size();
    }

    /** This replica's newest membership view; only its number if the caller has that one already. */
    public synchronized Map<String, Object> view(long after) {
        return processes.view() == after ? Map.of("view", after) : processes.shown();
    }

    /** The whole state, for snapshots and backups. */
    public synchronized Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("format", FORMAT);
        state.put("rev", listing.rev());
        state.put("floor", listing.floor());
        state.put("time", time);
        state.put("reign", reign);
        state.put("lapse_share", lapseShare);
        state.put("entries", listing.entries().stream().map(entry -> {
            Lease lease = leases.get(entry.uid());
            Map<String, Object> one = entry.target();
            one.put("rev", listing.revision(entry.uid()));
            one.put("span", lease.span);
            one.put("until", lease.until);
            one.put("stale", lease.stale);
            return one;
        }).toList());
        List<Map<String, Object>> left = new ArrayList<>();
        listing.leftAfter(0).forEach((at, entries) -> entries.forEach(entry -> {
            Map<String, Object> one = entry.target();
            one.put("rev", at);
            left.add(one);
        }));
        state.put("left", left);
        state.put("leaving", new TreeMap<>(leaving));
        Map<String, Object> recent = new TreeMap<>();
        lapsed.forEach((zone, times) -> recent.put(zone, times.stream().map(Lapsed::at).toList()));
        state.put("lapsed", recent);
        state.put("duties", duties.state());
        state.put("members", members());
        state.put("processes", processes.state());
        state.put("evacuations", evacuations.state());
        return state;
    }

    /** Replaces the whole state by one that {@link #state} returned. Throws IllegalArgumentException for anything else
        and then changes nothing. */
    public synchronized void restore(Map<String, Object> state) {
        if (number(state, "format", 0) != FORMAT || !(state.get("entries") instanceof List<?> entries)
                || !(state.get("left") instanceof List<?> left) || !(state.get("leaving") instanceof Map<?, ?> going)
                || !(state.get("lapsed") instanceof Map<?, ?> recent)) {
            throw new IllegalArgumentException("not a snapshot of format " + FORMAT);
        }
        List<Map<?, ?>> all = new ArrayList<>();
        entries.forEach(each -> all.add((Map<?, ?>) each));
        all.forEach(Entry::of);
        left.forEach(each -> Entry.of((Map<?, ?>) each));
        listing.clear();
        leases.clear();
        lapsed.clear();
        leaving.clear();
        for (Map<?, ?> each : all) {
            Entry entry = Entry.of(each);
            listing.put(entry, ((Number) each.get("rev")).longValue());
            leases.put(entry.uid(), new Lease(((Number) each.get("span")).longValue(),
                    ((Number) each.get("until")).longValue(), Boolean.TRUE.equals(each.get("stale"))));
        }
        for (Object each : left) {
            Map<?, ?> one = (Map<?, ?>) each;
            listing.addLeft(Entry.of(one), ((Number) one.get("rev")).longValue());
        }
        going.forEach((uid, at) -> leaving.put(uid.toString(), ((Number) at).longValue()));
        recent.forEach((zone, times) -> {
            Deque<Lapsed> then = new ArrayDeque<>();
            ((List<?>) times).forEach(at -> then.add(new Lapsed(((Number) at).longValue())));
            lapsed.put(zone.toString(), then);
        });
        members.clear();
        if (state.get("members") instanceof Map<?, ?> known) {
            known.forEach((name, member) -> members.put(name.toString(), Map.of("id", ((Map<?, ?>) member).get("id"), "mark",
                    ((Number) ((Map<?, ?>) member).get("mark")).longValue(), "http",
                    Objects.toString(((Map<?, ?>) member).get("http"), ""))));
        }
        duties.restore((Map<?, ?>) state.get("duties"));
        processes.restore((Map<?, ?>) state.get("processes"));
        evacuations.restore((Map<?, ?>) state.get("evacuations"));
        listing.floor(number(state, "floor", 0));
        listing.advance(number(state, "rev", 0));
        time = number(state, "time", 0);
        reign = number(state, "reign", 0);
        lapseShare = ((Number) state.get("lapse_share")).doubleValue();
    }
}
