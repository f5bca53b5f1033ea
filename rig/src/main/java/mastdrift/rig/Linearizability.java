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

    private record Tried<S>(BitSet done, S state) { }

    private final List<Call<S>> calls;
    private final long budget;
    private final Set<Tried<S>> tried = new HashSet<>();
    private long steps;

    private Linearizability(List<? extends Call<S>> calls, long budget) {
        this.calls = new ArrayList<>(calls);
        this.calls.sort((a, b) -> Long.compare(a.start(), b.start()));
        this.budget = budget;
    }

    /** Tries at most {@code budget} steps. */
    static <S> Answer of(List<? extends Call<S>> calls, S start, long budget) {
        Linearizability<S> search = new Linearizability<>(calls, budget);
        boolean found = search.search(start);
        return found ? Answer.YES : search.steps >= budget ? Answer.OUT_OF_BUDGET : Answer.NO;
    }

    /** Searches first without the calls of unknown outcome whose effect nobody has {@code seen}, since an order without
        them is valid and found much faster. Only if there is none, searches with all calls. */
    static <S> Answer of(List<? extends Call<S>> calls, Predicate<Call<S>> seen, S start, long budget) {
        List<? extends Call<S>> fewer = calls.stream().filter(call -> call.end() != History.NEVER || seen.test(call)).toList();
        return of(fewer, start, budget) == Answer.YES ? Answer.YES : of(calls, start, budget);
    }

    /** A level of the search: the state reached, the call that led to it, and the next call to try. */
    private static final class Frame<S> {
        private final S state;
        private final int taken;  // the call that led here from the level above; -1 at the root
        private int next;

        Frame(S state, int taken) {
            this.state = state;
            this.taken = taken;
        }
    }

    private boolean search(S start) {
        BitSet done = new BitSet(calls.size());
        int[] known = {(int) calls.stream().filter(call -> call.end() != History.NEVER).count()};
        List<Frame<S>> path = new ArrayList<>();
        path.add(new Frame<>(start, -1));
        while (!path.isEmpty()) {
            if (known[0] == 0) {
                return true;
            }
            Frame<S> frame = path.get(path.size() - 1);
            if (!step(frame, path, done, known)) {
                path.remove(path.size() - 1);
                if (frame.taken >= 0) {
                    done.clear(frame.taken);
                    known[0] += calls.get(frame.taken).end() == History.NEVER ? 0 : 1;
                }
            }
            if (steps >= budget) {
                return false;
            }
        }
        return false;
    }

    /** Appends the next possible call to the order and adds its frame to the path; false if there is none. */
    private boolean step(Frame<S> frame, List<Frame<S>> path, BitSet done, int[] known) {
        long firstEnd = firstEnd(done);
        for (int i = Math.max(frame.next, done.nextClearBit(0)); i < calls.size() && calls.get(i).start() <= firstEnd; i++) {
            if (done.get(i)) {
                continue;
            }
            steps++;
            Optional<S> after = calls.get(i).after(frame.state);
            if (after.isPresent()) {
                done.set(i);
                if (tried.add(new Tried<>((BitSet) done.clone(), after.get()))) {
                    frame.next = i + 1;
                    known[0] -= calls.get(i).end() == History.NEVER ? 0 : 1;
                    path.add(new Frame<>(after.get(), i));
                    return true;
                }
                done.clear(i);
            }
        }
        return false;
    }

    /** The earliest end of the calls not ordered yet: none that started later may come next. */
    private long firstEnd(BitSet done) {
        long first = Long.MAX_VALUE;
        for (int i = done.nextClearBit(0); i < calls.size() && calls.get(i).start() <= first; i = done.nextClearBit(i + 1)) {
            first = Math.min(first, calls.get(i).end());
        }
        return first;
    }
}
