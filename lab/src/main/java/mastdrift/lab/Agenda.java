package mastdrift.lab;

import java.util.PriorityQueue;

/** What is to happen, in the order of time and, within one microsecond, in that in which it was put in. */
public final class Agenda {

    private record Entry(long at, long order, Runnable what) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            int first = Long.compare(at, other.at);
            return first != 0 ? first : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(1 << 12);
    private long order;
    private long now;

    /** Microseconds of the day's clock, which only goes forward. */
    public long now() {
        return now;
    }

    /** At that time, or now where it has passed. */
    public void at(long when, Runnable what) {
        entries.add(new Entry(Math.max(now, when), order++, what));
    }

    public void in(long span, Runnable what) {
        at(now + span, what);
    }

    /** When the next is due; {@code Long.MAX_VALUE} where nothing is. */
    public long next() {
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().at;
    }

    /** Plays all that is due by then, what comes of it included, and sets the clock to it. */
    public void runUntil(long until) {
        while (!entries.isEmpty() && entries.peek().at <= until) {
            Entry due = entries.poll();
            now = due.at;
            due.what.run();
        }
        now = until;
    }
}
