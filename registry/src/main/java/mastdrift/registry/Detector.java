package mastdrift.registry;

import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Failure detector of one process: which members to call, and which of them don't answer. Has no sockets and no clock,
 * so the same code runs in simulated time and in production. Times are microseconds of one monotonic clock.
 */
public class Detector {

    /** The watched members that don't answer, and whether none does, which points to a fault of the watcher itself. */
    record Opinion(Set<String> silent, boolean deaf) { }

    private static final int FEW = 2;  // with so few subjects, all of them may be down
    private static final int PAUSES = 3;  // after more, this process itself was paused

    private final String name;
    private final long every;
    private final Map<String, Suspicion> subjects = new TreeMap<>();
    private final Map<String, Members.Member> members = new TreeMap<>();
    private long view = -1;
    private long turnedAt = -1;

    /** {@code callInterval} is the time between two calls of the same member. */
    public Detector(String name, long every) {
        this.name = name;
        this.every = every;
    }

    long view() {
        return view;
    }

    /** Adopts a view if it is newer than the present one; returns whether it was. */
    boolean take(long now, long number, Collection<Members.Member> present) {
        if (number <= view) {
            return false;
        }
        view = number;
        members.clear();
        present.forEach(member -> members.put(member.name(), member));
        Set<String> mine = Members.watching(present).entrySet().stream().filter(each -> each.getValue().contains(name))
                .map(Map.Entry::getKey).collect(Collectors.toSet());
        subjects.keySet().retainAll(mine);
        mine.forEach(subject -> subjects.computeIfAbsent(subject, s -> new Suspicion(now, every)));
        return true;
    }

    /** The member of a name in the current view; null if there is none. */
    Members.Member member(String of) {
        return members.get(of);
    }

    /** Starts a round and returns the members to call. After a pause of this process, silence is measured from now on,
        as answers missed meanwhile mean nothing. */
    Set<String> turn(long now) {
        if (turnedAt >= 0 && now - turnedAt > PAUSES * every) {
            subjects.values().forEach(suspicion -> suspicion.startedAnew(now));
        }
        turnedAt = now;
        return new TreeSet<>(subjects.keySet());
    }

    /** A member has answered. */
    void heard(long now, String subject) {
        Suspicion suspicion = subjects.get(subject);
        if (suspicion != null) {
            suspicion.heard(now);
        }
    }

    /** Whether a member with that phi, silent for that time, counts as silent. */
    protected boolean silent(double phi, long quiet) {
        return phi > Suspicion.SILENT;
    }

    Opinion opinion(long now) {
        Set<String> silent = new TreeSet<>();
        subjects.forEach((subject, suspicion) -> {
            if (silent(suspicion.phi(now), suspicion.quiet(now))) {
                silent.add(subject);
            }
        });
        return new Opinion(silent, silent.size() > FEW && silent.size() == subjects.size());
    }

    /** Phi of each watched member, rounded, for status output. */
    Map<String, Double> phi(long now) {
        Map<String, Double> all = new TreeMap<>();
        subjects.forEach((subject, suspicion) -> all.put(subject, Math.round(10 * Math.min(99, suspicion.phi(now))) / 10.0));
        return all;
    }

    @Override
    public String toString() {
        return name + " at view " + view + " watches " + Objects.toString(subjects.keySet());
    }
}
