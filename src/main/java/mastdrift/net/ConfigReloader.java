package mastdrift.net;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Reloads the configuration at each SIGHUP. Signals are handled on threads of their own, in any order: reloads run one
    after the other, each applying what it read before the next one reads, so that the newest configuration wins. A file
    that can't be read (no descriptor left, a disk error, half written) is retried for a while, or until a newer signal
    arrives. */
final class ConfigReloader {

    private static final int READ_TRIES = 20;
    private static final long READ_RETRY_MILLIS = 100;

    private final Supplier<InetSocketAddress> read;
    private final Consumer<InetSocketAddress> take;
    private final Consumer<String> failed;
    private final Sleeper pause;
    private final AtomicInteger signals = new AtomicInteger();

    /** Pauses between two attempts to read. */
    interface Sleeper {
        void sleep(long millis) throws InterruptedException;
    }

    /** {@code reader} throws IllegalArgumentException where the configuration can't be read; once the attempts are used
        up, {@code onFailure} gets its message. */
    ConfigReloader(Supplier<InetSocketAddress> read, Consumer<InetSocketAddress> take, Consumer<String> failed) {
        this(read, take, failed, TimeUnit.MILLISECONDS::sleep);
    }

    ConfigReloader(Supplier<InetSocketAddress> read, Consumer<InetSocketAddress> take, Consumer<String> failed, Sleeper pause) {
        this.read = read;
        this.take = take;
        this.failed = failed;
        this.pause = pause;
    }

    /** Handles one signal, on any thread. */
    void signalReceived() {
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
            pause.sleep(READ_RETRY_MILLIS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
