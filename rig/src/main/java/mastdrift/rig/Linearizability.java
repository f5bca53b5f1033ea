package mastdrift.rig;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Checks whether concurrent calls are linearizable: whether there is an order in which each takes effect between its
 * start and its end. The search is Wing and Gong's ("Testing and Verifying Concurrent Objects", 1993) with Lowe's cache
 * of visited configurations (2017): the set of calls ordered so far and the state that they lead to.
 */
final class Linearizability<S> {

    /** A call; {@code end} is {@link History#NEVER} if its outcome is unknown: it may have taken effect at any time
        after its start, or never. */
    interface Call<S> {
        long start();

        long end();

        /** The state after the call, or empty if its result is impossible in this state. */
        Optional<S> after(S state);
    }

    enum Answer { YES, NO, OUT_OF_BUDGET }

    private record Configuration<S>(BitSet linearized, S state) { }

    private final List<Call<S>> calls;
    private final long budget;
    private final Set<Configuration<S>> visited = new HashSet<>();
    private long steps;

    private Linearizability(List<? extends Call<S>> calls, long budget) {
        this.calls = new ArrayList<>(calls);
        this.calls.sort((a, b) -> Long.compare(a.start(), b.start()));
        this.budget = budget;
    }

    /** Searches for an order from the state {@code start}, in at most {@code budget} steps. */
    static <S> Answer check(List<? extends Call<S>> calls, S start, long budget) {
        Linearizability<S> search = new Linearizability<>(calls, budget);
        boolean found = search.search(start);
        return found ? Answer.YES : search.steps >= budget ? Answer.OUT_OF_BUDGET : Answer.NO;
    }

    /** Searches first without the calls of unknown outcome whose effect nobody has {@code seen}, since an order without
        them is valid and found much faster. Only if there is none, searches with all calls. */
    static <S> Answer check(List<? extends Call<S>> calls, Predicate<Call<S>> seen, S start, long budget) {
        List<? extends Call<S>> observed = calls.stream().filter(call -> call.end() != History.NEVER || seen.test(call))
                .toList();
        return check(observed, start, budget) == Answer.YES ? Answer.YES : check(calls, start, budget);
    }

    /** A level of the search: the state reached, the call that led to it, and the next call to try. */
    private static final class Frame<S> {
        private final S state;
        private final int callIndex;  // the call that led here from the level above; -1 at the root
        private int next;

        Frame(S state, int callIndex) {
            this.state = state;
            this.callIndex = callIndex;
        }
    }

    private boolean search(S start) {
        BitSet linearized = new BitSet(calls.size());
        int[] unplacedKnown = {(int) calls.stream().filter(call -> call.end() != History.NEVER).count()};
        List<Frame<S>> path = new ArrayList<>();
        path.add(new Frame<>(start, -1));
        while (!path.isEmpty()) {
            if (unplacedKnown[0] == 0) {
                return true;
            }
            Frame<S> frame = path.get(path.size() - 1);
            if (!placeNext(frame, path, linearized, unplacedKnown)) {
                path.remove(path.size() - 1);
                if (frame.callIndex >= 0) {
                    linearized.clear(frame.callIndex);
                    unplacedKnown[0] += calls.get(frame.callIndex).end() == History.NEVER ? 0 : 1;
                }
            }
            if (steps >= budget) {
                return false;
            }
        }
        return false;
    }

    /** Appends the next possible call to the order and adds its frame to the path; false if there is none. */
    private boolean placeNext(Frame<S> frame, List<Frame<S>> path, BitSet linearized, int[] unplacedKnown) {
        long firstEnd = earliestEnd(linearized);
        for (int i = Math.max(frame.next, linearized.nextClearBit(0)); i < calls.size()
                && calls.get(i).start() <= firstEnd; i++) {
            if (linearized.get(i)) {
                continue;
            }
            steps++;
            Optional<S> after = calls.get(i).after(frame.state);
            if (after.isPresent()) {
                linearized.set(i);
                if (visited.add(new Configuration<>((BitSet) linearized.clone(), after.get()))) {
                    frame.next = i + 1;
                    unplacedKnown[0] -= calls.get(i).end() == History.NEVER ? 0 : 1;
                    path.add(new Frame<>(after.get(), i));
                    return true;
                }
                linearized.clear(i);
            }
        }
        return false;
    }

    /** The earliest end of the calls not ordered yet: none that started later may come next. */
    private long earliestEnd(BitSet linearized) {
        long first = Long.MAX_VALUE;
        for (int i = linearized.nextClearBit(0); i < calls.size()
                && calls.get(i).start() <= first; i = linearized.nextClearBit(i + 1)) {
            first = Math.min(first, calls.get(i).end());
        }
        return first;
    }
}
