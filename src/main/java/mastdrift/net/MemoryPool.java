package mastdrift.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.Queue;

/** Counts the memory that a gateway holds for one purpose over all its connections, overhead included, against a bound.
    At the bound, those who fill the pool stop reading from their peers. What has to be held whole is reserved ahead, in
    the order of the requests for it: messages that are held in part and wait for each other's memory would never end.
    A reservation needs room in its pool alone. Used on one event loop's thread. */
final class MemoryPool {

    /** Memory that is set aside, or waited for. */
    final class Reservation {

        private final long bytes;
        private final Runnable onGranted;
        private boolean granted;
        private boolean released;

        private Reservation(long bytes, Runnable onGranted) {
            this.bytes = bytes;
            this.onGranted = onGranted;
        }

        boolean isGranted() {
            return granted;
        }

        /** Returns the memory, or gives up waiting for it. Has no effect if that was done before. */
        void release() {
            if (released) {
                return;
            }
            released = true;
            if (granted) {
                add(-bytes);
            } else {
                waiting.remove(this);
                grantWaiting();
            }
        }
    }

    /** What one holder has of the pool, which changes as it takes and releases memory. */
    final class Holding {

        private long bytes;

        /** The holder has that much from now on. */
        void set(long held) {
            long change = held - bytes;
            bytes = held;
            add(change);
        }
    }

    private final long maxBytes;
    private final BufferBudget budget;  // of all pools together
    private long usedBytes;
    private final Queue<Reservation> waiting = new ArrayDeque<>();

    /** A pool for memory that counts towards that budget as well. */
    MemoryPool(long maxBytes, BufferBudget budget) {
        this.maxBytes = maxBytes;
        this.budget = budget;
    }

    /** A pool with a bound of its own only. */
    MemoryPool(long maxBytes) {
        this(maxBytes, BufferBudget.unlimited());
    }

    /** Starts to count what one holder has, which is nothing at first. */
    Holding newHolding() {
        return new Holding();
    }

    /** Counts memory that is held from now on; a negative number is memory that was released. */
    void add(long bytes) {
        usedBytes += bytes;
        budget.changed(bytes);
        if (bytes < 0) {
            grantWaiting();
        }
    }

    /** Writes a message that holds that many bytes, and counts them until the channel has written it or is closed. */
    ChannelFuture write(Channel channel, Object message, int bytes) {
        add(bytes);
        return channel.write(message).addListener(written -> add(-bytes));
    }

    /** Reserves memory; {@code onGranted} runs once it is there, unless that is at once. */
    Reservation reserve(long bytes, Runnable onGranted) {
        Reservation reservation = new Reservation(bytes, onGranted);
        if (waiting.isEmpty() && usedBytes + bytes <= maxBytes) {
            grant(reservation);
        } else {
            waiting.add(reservation);
        }
        return reservation;
    }

    private void grant(Reservation reservation) {
        reservation.granted = true;
        usedBytes += reservation.bytes;
    }

    private void grantWaiting() {
        for (Reservation next = waiting.peek(); next != null && usedBytes + next.bytes <= maxBytes;
                next = waiting.peek()) {
            waiting.remove();
            grant(next);
            next.onGranted.run();
        }
    }

    /** Whether more than half of the pool is free, and the budget of all pools is not used up. */
    boolean isAmple() {
        return usedBytes < maxBytes / 2 && !budget.isUsedUp();
    }

    /** Whether this pool, or the budget of all, is used up: only what a connection needs to go on should be taken. */
    boolean isExhausted() {
        return usedBytes >= maxBytes || budget.isUsedUp();
    }

    boolean isUnused() {
        return usedBytes == 0;
    }

    long usedBytes() {
        return usedBytes;
    }
}
