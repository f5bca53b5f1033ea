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
public class FailureDetector {

    /** The watched members that don't answer, and whether none does, which points to a fault of the watcher itself. */
    record Observation(Set<String> silentMembers, boolean hearsNobody) { }

    private static final int MAX_SUBJECTS_ALL_DOWN = 2;  // with so few subjects, all of them may be down
    private static final int MAX_ROUND_INTERVALS = 3;  // after more, this process itself was paused

    private final String name;
    private final long callIntervalMicros;
    private final Map<String, PhiAccrualEstimator> subjects = new TreeMap<>();
    private final Map<String, MembershipState.Member> members = new TreeMap<>();
    private long view = -1;
    private long lastRoundAt = -1;

    /** {@code callIntervalMicros} is the time between two calls of the same member. */
    public FailureDetector(String name, long callIntervalMicros) {
        this.name = name;
        this.callIntervalMicros = callIntervalMicros;
    }

    long view() {
        return view;
    }

    /** Adopts a view if it is newer than the present one; returns whether it was. */
    boolean updateView(long now, long newView, Collection<MembershipState.Member> present) {
        if (newView <= view) {
            return false;
        }
        view = newView;
        members.clear();
        present.forEach(member -> members.put(member.name(), member));
        Set<String> watched = MembershipState.assignWatchers(present).entrySet().stream()
                .filter(each -> each.getValue().contains(name))
                .map(Map.Entry::getKey).collect(Collectors.toSet());
        subjects.keySet().retainAll(watched);
        watched.forEach(subject -> subjects.computeIfAbsent(subject, s -> new PhiAccrualEstimator(now,
                callIntervalMicros)));
        return true;
    }

    /** The member of a name in the current view; null if there is none. */
    MembershipState.Member member(String memberName) {
        return members.get(memberName);
    }

    /** Starts a round and returns the members to call. After a pause of this process, silence is measured from now on,
        as answers missed meanwhile mean nothing. */
    Set<String> startRound(long now) {
        if (lastRoundAt >= 0 && now - lastRoundAt > MAX_ROUND_INTERVALS * callIntervalMicros) {
            subjects.values().forEach(estimator -> estimator.restart(now));
        }
        lastRoundAt = now;
        return new TreeSet<>(subjects.keySet());
    }

    /** A member has answered. */
    void answerReceived(long now, String subject) {
        PhiAccrualEstimator estimator = subjects.get(subject);
        if (estimator != null) {
            estimator.answerReceived(now);
        }
    }

    /** Whether a member with that phi, silent for that time, counts as silent. */
    protected boolean isSilent(double phi, long silence) {
        return phi > PhiAccrualEstimator.SILENT_PHI;
    }

    Observation observe(long now) {
        Set<String> silent = new TreeSet<>();
        subjects.forEach((subject, estimator) -> {
            if (isSilent(estimator.phi(now), estimator.silence(now))) {
                silent.add(subject);
            }
        });
        return new Observation(silent, silent.size() > MAX_SUBJECTS_ALL_DOWN && silent.size() == subjects.size());
    }

    /** Phi of each watched member, rounded, for status output. */
    Map<String, Double> phiBySubject(long now) {
        Map<String, Double> values = new TreeMap<>();
        subjects.forEach((subject, estimator) -> values.put(subject, Math.round(10 * Math.min(99,
                estimator.phi(now))) / 10.0));
        return values;
    }

    @Override
    public String toString() {
        return name + " at view " + view + " watches " + Objects.toString(subjects.keySet());
    }
}
