package mastdrift.net;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Takes a new configuration at each SIGHUP. Signals are handled on threads of their own, in any order: one reading goes on at a
    time and hands over what it read before the next begins, so that the newest holds. A file that can't be read at that
    moment (no descriptor left, a fault of the disk, half written) is read again for a while, or until a newer signal comes. */
final class Reloader {

    private static final int READ_TRIES = 20;
    private static final long READ_RETRY_MILLIS = 100;

    private final Supplier<InetSocketAddress> read;
    private final Consumer<InetSocketAddress> take;
    private final Consumer<String> failed;
    private final Pause pause;
    private final AtomicInteger signals = new AtomicInteger();

    /** Waits between two tries. */
    interface Pause {
        void millis(long millis) throws InterruptedException;
    }

    /** {@code read} throws IllegalArgumentException where the configuration can't be read, of which {@code failed} hears once
        the tries are over. */
    Reloader(Supplier<InetSocketAddress> read, Consumer<InetSocketAddress> take, Consumer<String> failed) {
        this(read, take, failed, TimeUnit.MILLISECONDS::sleep);
    }

    Reloader(Supplier<InetSocketAddress> read, Consumer<InetSocketAddress> take, Consumer<String> failed, Pause pause) {
        this.read = read;
        this.take = take;
        this.failed = failed;
        this.pause = pause;
    }

    /** One signal, on whichever thread. */
    void signalled() {
        int mine = signals.incrementAndGet();
        synchronized (this) {
            reload(mine);
        }
    }

    private void reload(int mine) {
        for (int tries = 1; true; tries++) {
            try {
                take.accept(read.get());
                return;
            } catch (IllegalArgumentException e) {
                if (tries == READ_TRIES || !waited() || signals.get() != mine) {
                    failed.accept(e.getMessage());
                    return;
                }
            }
        }
    }

    private boolean waited() {
        try {
            pause.millis(READ_RETRY_MILLIS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
