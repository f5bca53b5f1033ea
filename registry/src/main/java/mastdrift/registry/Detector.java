package mastdrift.registry;

import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * What one process makes of the members that it watches: whom it should call, and whom it does not hear. Decides alone, with no
 * socket and no clock of its own, so that the same code runs in simulated time and in a process. Times are microseconds of one
 * monotonic clock.
 */
public class Detector {

    /** Whom a watcher does not hear, and whether it hears nobody: then it speaks of itself alone. */
    record Opinion(Set<String> silent, boolean deaf) { }

    private static final int FEW = 2;  // of so few silent ones, all may be
    private static final int PAUSES = 3;  // without a turn: this process was stopped itself

    private final String name;
    private final long every;
    private final Map<String, Suspicion> subjects = new TreeMap<>();
    private final Map<String, Members.Member> members = new TreeMap<>();
    private long view = -1;
    private long turnedAt = -1;

    /** {@code every} is the pause between two calls of the same member. */
    public Detector(String name, long every) {
        this.name = name;
        this.every = every;
    }

    long view() {
        return view;
    }

    /** Takes over a newer view; an older one is passed over. True if it is newer. */
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

    /** The member of that name in the present view; null where it is not in it. */
    Members.Member member(String of) {
        return members.get(of);
    }

    /** Whom to call now. A process that was stopped for a while begins anew: what it did not hear meanwhile says nothing. */
    Set<String> turn(long now) {
        if (turnedAt >= 0 && now - turnedAt > PAUSES * every) {
            subjects.values().forEach(suspicion -> suspicion.startedAnew(now));
        }
        turnedAt = now;
        return new TreeSet<>(subjects.keySet());
    }

    /** It has answered. */
    void heard(long now, String subject) {
        Suspicion suspicion = subjects.get(subject);
        if (suspicion != null) {
            suspicion.heard(now);
        }
    }

    /** Whether a subject of that suspicion, which has said nothing for so long, counts as silent. */
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

    /** How suspect each subject is, for staff. */
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
