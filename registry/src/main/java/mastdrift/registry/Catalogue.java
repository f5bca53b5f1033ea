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
 * The state that replicas agree on: entries, revisions and leases, changed by commands of the log alone and in its order, so
 * that it is the same on all. It reads no clock: time is what the leader's ticks in the log say, in milliseconds since the
 * first of them.
 */
public class Catalogue {

    /** What came of a command: the answer for its caller, and news for staff. */
    public record Applied(int status, Map<String, Object> answer, List<String> news) {

        /** As it travels through the log's answers. */
        String text() {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("status", status);
            all.put("answer", answer);
            return Json.encode(all);
        }
    }

    /** How an entry is kept: for so long without renewal (0: for ever), until when, and whether that has passed and it was
        kept all the same. */
    private record Lease(long span, long until, boolean stale) { }

    /** Entries of a zone that left by their leases, and when. */
    private record Lapsed(long at) { }

    /** A tick counts for no more: a leader that was frozen does not let leases lapse by what it slept through. */
    static final long TICK_MOST = 2000;
    /** So long an entry that is removed in service stays as {@code terminating}. */
    static final long LEAVING_MILLIS = 3000;
    static final double LAPSE_SHARE = 0.15;
    /** More than a service changes between two backups. */
    static final long RESTORED_JUMP = 1_000_000;
    private static final int FORMAT = 1;

    private final Listing listing = new Listing();
    private final Duties duties = new Duties();
    private final Members processes = new Members(this::mark);
    private final Evacuations evacuations = new Evacuations(listing, this::nextRevision);
    private final Map<String, Lease> leases = new HashMap<>();
    private final Map<String, Deque<Lapsed>> lapsed = new HashMap<>();  // by zone, the last term's
    private final Map<String, Long> leaving = new TreeMap<>();  // when those that were removed are gone
    private final Map<String, Map<String, Object>> members = new TreeMap<>();
    private long time;
    private long reign;
    private double lapseShare = LAPSE_SHARE;

    /** Commands as they stand in the log. */
    public static Map<String, Object> command(String name, Object... facts) {
        Map<String, Object> command = new LinkedHashMap<>();
        command.put("do", name);
        for (int i = 0; i < facts.length; i += 2) {
            command.put(facts[i].toString(), facts[i + 1]);
        }
        return command;
    }

    /** Carries out the next command of the log. What is wrong with one is its answer; nothing is thrown. */
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

    /** A read takes a place in the log, behind every write that was acknowledged before it. */
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

    /** A write on entries may name the duty for which it is made, and the token: once that is not the newest, it does
        nothing, however late it comes. */
    protected boolean fenced(Map<String, Object> command) {
        return command.containsKey("token") && List.of("put", "drain", "remove", "evacuate", "return").contains(command.get("do"))
                && !duties.current(Objects.toString(command.get("duty")), number(command, "token", 0));
    }

    /** Reports that it takes of so many watchers, where {@link Members#WATCHERS} would need {@code of}. */
    protected int mark(int of, int watching) {
        return Math.max(1, (int) Math.ceil((double) of * watching / Members.WATCHERS));
    }

    /** The revision of the next change. */
    protected long nextRevision() {
        return listing.rev() + 1;
    }

    /** Whether a write that asks for a revision meets it; {@code if_rev} 0 asks for no entry at all. */
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

    /** One in service leaves by {@code terminating}, unless the caller says {@code now}. */
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

    /** A leader has come: it can't know for how long there was none, so every lease has its full term again. */
    private Applied reign(Map<String, Object> command, List<String> news) {
        reign = Math.max(reign, number(command, "term", 0));
        lapseShare = command.get("lapse_share") instanceof Number share ? share.doubleValue() : lapseShare;
        duties.reign(time);
        leases.replaceAll((uid, lease) -> lease.span == 0 ? lease : new Lease(lease.span, time + lease.span, lease.stale));
        return new Applied(200, Map.of("term", reign), news);
    }

    /** A service that has no entries takes over those of a backup. Gateways may have seen more since it was made: revisions go
        on far beyond, and everybody is told the whole list. */
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

    /** A replica's folder is the one that is counted under its name, with that mark. */
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

    /** What is known of replicas' folders, by their names. */
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

    /** Whether a lease that runs until then is over. */
    protected boolean lapses(String uid, long until) {
        return until <= time;
    }

    /** Those whose leases are over go, unless within one term too large a part of the zone would: then it is more likely
        that they can't reach us than that they are dead, and they stay, marked. */
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
                        + " would lapse within one term; they stay");
            }
        }
    }

    public synchronized long rev() {
        return listing.rev();
    }

    public synchronized int size() {
        return listing.size();
    }

    /** Of the leases: how many are over and were kept all the same. */
    public synchronized long stale() {
        return leases.values().stream().filter(Lease::stale).count();
    }

    /** A line of discovery with what changed after that revision, 0 for all. */
    public synchronized Listing.Line since(long from) {
        return listing.since(from);
    }

    /** Of the changes of duties. */
    public synchronized long dutiesRev() {
        return duties.rev();
    }

    /** A line with the duties that changed after that revision, 0 for all. */
    public synchronized Listing.Line dutiesSince(long from) {
        return duties.since(from);
    }

    /** A duty as it stands; null where nobody ever asked for it. */
    public synchronized Map<String, Object> duty(String name) {
        return duties.shown(name);
    }

    /** What staff and writers see of an entry; null where there is none. */
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

    /** All of them, likewise. */
    public synchronized List<Map<String, Object>> shown() {
        return listing.entries().stream().map(entry -> entry(entry.uid())).toList();
    }

    /** Zones that are out, or on their way. */
    public synchronized int zonesMoved() {
        return evacuations.count();
    }

    public synchronized long viewNumber() {
        return processes.view();
    }

    public synchronized int memberCount() {
        return processes.present().size();
    }

    /** The newest view that this replica has; its number alone for one who has it already. */
    public synchronized Map<String, Object> view(long after) {
        return processes.view() == after ? Map.of("view", after) : processes.shown();
    }

    /** All state, for a snapshot. */
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

    /** Takes over what {@link #state} gave, in place of all that there is. Throws IllegalArgumentException for anything
        else, and then nothing has changed. */
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
