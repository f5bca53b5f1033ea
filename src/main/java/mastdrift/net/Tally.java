package mastdrift.net;

import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;
import mastdrift.Balancer.Outcome;

/** What a gateway did in a span of time, for one line of its log: sums and highest values, nothing for each request. */
final class Tally {

    /** What is counted, in the order of the line. */
    enum Count { TAKEN, SERVED, REFUSED, REFUSED_AT_BOUND, FAILED, OVERDUE, DEPARTED, CLIENTS_CAME, CLIENTS_PUSHED_OUT,
        HOST_DIALS, HOST_NO_ROOM }

    /** Of what the highest value is kept. */
    enum Level { OPEN_REQUESTS, CLIENT_CONNECTIONS, HOST_CONNECTIONS }

    private final Map<Count, Integer> counts = new EnumMap<>(Count.class);
    private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
    private final Map<Level, Integer> levels = new EnumMap<>(Level.class);

    void add(Count count) {
        counts.merge(count, 1, Integer::sum);
    }

    void add(Outcome outcome) {
        outcomes.merge(outcome, 1, Integer::sum);
    }

    void level(Level level, int value) {
        levels.merge(level, value, Math::max);
    }

    /** The sums since the last such line, those above 0, and begins anew; empty where nothing was counted. */
    String line() {
        String line = counts.isEmpty() && outcomes.isEmpty() ? "" : "counts " + text(counts) + "; attempts "
                + text(outcomes) + "; most at once " + text(levels);
        counts.clear();
        outcomes.clear();
        levels.clear();
        return line;
    }

    private static String text(Map<? extends Enum<?>, Integer> sums) {
        return sums.entrySet().stream().map(sum -> sum.getKey().name().toLowerCase() + "=" + sum.getValue())
                .collect(Collectors.joining(" "));
    }
}
