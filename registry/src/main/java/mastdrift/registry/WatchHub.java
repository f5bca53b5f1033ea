package mastdrift.registry;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import mastdrift.common.Clock;
import mastdrift.common.HttpServer;

/** The open watches of one list. Nothing is queued for a watcher: when its connection is writable it gets the changes
    since the revision that it has. Confined to its event loop except for {@link #scheduleUpdate}. */
final class WatchHub {

    /** Default limit of open watches; leaves room beyond a thousand gateways. A watch costs a socket and a revision. */
    static final int DEFAULT_MAX_WATCHES = 2000;
    private static final int BATCH_MILLIS = 5;  // changes within it are sent as one line
    private static final int KEEPALIVE_MILLIS = 2000;  // PROTOCOL: an empty line while nothing changes
    private static final long STALL_TIMEOUT_MICROS = 10_000_000;  // a watch that reads nothing for so long is closed
    private static final int MAX_CACHED_LINES = 64;  // most watchers have one of a few revisions

    /** An encoded line and the revision that its reader has after it. */
    private record CachedLine(long rev, HttpServer.SharedLine line) { }

    private final class Watcher {
        private final HttpServer.LineStream stream;
        private long rev;
        private long lastProgressAt;
        private long pendingBytes;

        Watcher(HttpServer.LineStream stream, long rev) {
            this.stream = stream;
            this.rev = rev;
            lastProgressAt = clock.monotonicMicros();
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final LongSupplier currentRevision;
    private final LongFunction<EndpointList.UpdateLine> updateSince;
    private final int maxWatches;
    private final Set<Watcher> watchers = new HashSet<>();
    // lines up to the newest revision, by the watcher's revision
    private final Map<Long, CachedLine> cachedLines = new HashMap<>();
    private long cachedRevision;
    private final AtomicBoolean updateScheduled = new AtomicBoolean();
    private volatile int watchCount;
    private volatile long cutCount;
    private volatile long sentLineCount;

    /** {@code updateSince} returns the line with the changes after a revision. */
    WatchHub(EventLoop loop, Clock clock, LongSupplier currentRevision,
            LongFunction<EndpointList.UpdateLine> updateSince, int maxWatches) {
        this.loop = loop;
        this.clock = clock;
        this.currentRevision = currentRevision;
        this.updateSince = updateSince;
        this.maxWatches = maxWatches;
        loop.scheduleWithFixedDelay(this::sendKeepalives, KEEPALIVE_MILLIS, KEEPALIVE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Schedules an update after a change of the list. May be called from any thread. */
    void scheduleUpdate() {
        if (updateScheduled.compareAndSet(false, true)) {
            loop.schedule(this::sendUpdates, BATCH_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    int watchCount() {
        return watchCount;
    }

    /** Number of watches closed because their clients read nothing. */
    long cutCount() {
        return cutCount;
    }

    /** Number of update lines sent to all watchers. */
    long sentLineCount() {
        return sentLineCount;
    }

    /** Opens a watch from a revision on, or responds 503 if there are too many. Called on the connection's event
        loop. */
    void watch(HttpServer.Exchange exchange, long from) {
        if (watchCount >= maxWatches) {
            exchange.respondJson(503, "{\"error\":\"too many watches\"}", "Retry-After", "1");
            return;
        }
        HttpServer.LineStream stream = exchange.startLineStream();
        loop.execute(() -> {
            CachedLine first = lineFor(from);
            Watcher watcher = new Watcher(stream, first.rev);
            stream.writeLine(first.line);
            watcher.pendingBytes = stream.bytesUntilWritable();
            watchers.add(watcher);
            watchCount = watchers.size();
            stream.onClose(() -> loop.execute(() -> {
                watchers.remove(watcher);
                watchCount = watchers.size();
            }));
            scheduleUpdate();  // a change since the first line was made
        });
    }

    /** Returns the line for a revision, encoded once for all watchers: after an outage a thousand of them ask for the
        same full list. */
    private CachedLine lineFor(long from) {
        long now = currentRevision.getAsLong();
        if (now != cachedRevision || cachedLines.size() >= MAX_CACHED_LINES) {
            cachedLines.values().forEach(cached -> cached.line.release());
            cachedLines.clear();
            cachedRevision = now;
        }
        return cachedLines.computeIfAbsent(from, revision -> {
            EndpointList.UpdateLine line = updateSince.apply(revision);
            return new CachedLine(line.rev(), new HttpServer.SharedLine(line.json()));
        });
    }

    private void sendUpdates() {
        updateScheduled.set(false);
        long now = currentRevision.getAsLong();
        for (Watcher watcher : watchers) {
            if (watcher.rev < now && watcher.stream.isWritable()) {
                CachedLine line = lineFor(watcher.rev);
                watcher.stream.writeLine(line.line);
                watcher.pendingBytes = watcher.stream.bytesUntilWritable();
                watcher.rev = line.rev;
                watcher.lastProgressAt = clock.monotonicMicros();
                sentLineCount++;
            }
        }
    }

    private void sendKeepalives() {
        long now = clock.monotonicMicros();
        for (Watcher watcher : Set.copyOf(watchers)) {
            if (watcher.stream.isWritable()) {
                watcher.stream.writeLine("");
                watcher.lastProgressAt = now;
            } else if (watcher.stream.bytesUntilWritable() < watcher.pendingBytes) {
                watcher.lastProgressAt = now;  // progress within a long line
                watcher.pendingBytes = watcher.stream.bytesUntilWritable();
            } else if (now - watcher.lastProgressAt > STALL_TIMEOUT_MICROS) {
                watcher.stream.abort();
                cutCount++;
            }
        }
        scheduleUpdate();  // for watchers that were not writable at the last update
    }
}
