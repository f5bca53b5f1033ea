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

    private static final int MAX_READ_TRIES = 20;
    private static final long READ_RETRY_MILLIS = 100;

    private final Supplier<InetSocketAddress> reader;
    private final Consumer<InetSocketAddress> onRead;
    private final Consumer<String> onFailure;
    private final Sleeper sleeper;
    private final AtomicInteger signalCount = new AtomicInteger();

    /** Pauses between two attempts to read. */
    interface Sleeper {
        void sleep(long millis) throws InterruptedException;
    }

    /** {@code reader} throws IllegalArgumentException where the configuration can't be read; once the attempts are used
        up, {@code onFailure} gets its message. */
    ConfigReloader(Supplier<InetSocketAddress> reader, Consumer<InetSocketAddress> onRead, Consumer<String> onFailure) {
        this(reader, onRead, onFailure, TimeUnit.MILLISECONDS::sleep);
    }

    ConfigReloader(Supplier<InetSocketAddress> reader, Consumer<InetSocketAddress> onRead, Consumer<String> onFailure,
            Sleeper sleeper) {
        this.reader = reader;
        this.onRead = onRead;
        this.onFailure = onFailure;
        this.sleeper = sleeper;
    }

    /** Handles one signal, on any thread. */
    void signalReceived() {
        int signal = signalCount.incrementAndGet();
        synchronized (this) {
            reload(signal);
        }
    }

    private void reload(int signal) {
        for (int tries = 1; true; tries++) {
            try {
                onRead.accept(reader.get());
                return;
            } catch (IllegalArgumentException e) {
                if (tries == MAX_READ_TRIES || !pauseBeforeRetry() || signalCount.get() != signal) {
                    onFailure.accept(e.getMessage());
                    return;
                }
            }
        }
    }

    private boolean pauseBeforeRetry() {
        try {
            sleeper.sleep(READ_RETRY_MILLIS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
