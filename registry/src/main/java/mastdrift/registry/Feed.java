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
final class Feed {

    /** Default limit of open watches; leaves room beyond a thousand gateways. A watch costs a socket and a revision. */
    static final int WATCHES_MOST = 2000;
    private static final int GATHER_MILLIS = 5;  // changes within it are sent as one line
    private static final int ALIVE_MILLIS = 2000;  // PROTOCOL: an empty line while nothing changes
    private static final long SLOW_MICROS = 10_000_000;  // a watch that reads nothing for so long is closed
    private static final int LINES_MOST = 64;  // most watchers have one of a few revisions

    /** An encoded line and the revision that its reader has after it. */
    private record Told(long rev, HttpServer.SharedLine line) { }

    private final class Watcher {
        private final HttpServer.LineStream lines;
        private long rev;
        private long tookAt;
        private long behind;

        Watcher(HttpServer.LineStream lines, long rev) {
            this.lines = lines;
            this.rev = rev;
            tookAt = clock.monotonicMicros();
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final LongSupplier newest;
    private final LongFunction<Listing.Line> since;
    private final int most;
    private final Set<Watcher> watchers = new HashSet<>();
    private final Map<Long, Told> lines = new HashMap<>();  // lines up to the newest revision, by the watcher's revision
    private long linesAt;
    private final AtomicBoolean asked = new AtomicBoolean();
    private volatile int count;
    private volatile long cut;
    private volatile long told;

    /** {@code updateSince} returns the line with the changes after a revision. */
    Feed(EventLoop loop, Clock clock, LongSupplier newest, LongFunction<Listing.Line> since, int most) {
        this.loop = loop;
        this.clock = clock;
        this.newest = newest;
        this.since = since;
        this.most = most;
        loop.scheduleWithFixedDelay(this::alive, ALIVE_MILLIS, ALIVE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Schedules an update after a change of the list. May be called from any thread. */
    void changed() {
        if (asked.compareAndSet(false, true)) {
            loop.schedule(this::tell, GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    int count() {
        return count;
    }

    /** Number of watches closed because their clients read nothing. */
    long cut() {
        return cut;
    }

    /** Number of update lines sent to all watchers. */
    long told() {
        return told;
    }

    /** Opens a watch from a revision on, or responds 503 if there are too many. Called on the connection's event loop.
        */
    void watch(HttpServer.Exchange call, long from) {
        if (count >= most) {
            call.respondJson(503, "{\"error\":\"too many watches\"}", "Retry-After", "1");
            return;
        }
        HttpServer.LineStream lines = call.startLineStream();
        loop.execute(() -> {
            Told first = line(from);
            Watcher watcher = new Watcher(lines, first.rev);
            lines.writeLine(first.line);
            watcher.behind = lines.bytesUntilWritable();
            watchers.add(watcher);
            count = watchers.size();
            lines.onClose(() -> loop.execute(() -> {
                watchers.remove(watcher);
                count = watchers.size();
            }));
            changed();  // a change since the first line was made
        });
    }

    /** Returns the line for a revision, encoded once for all watchers: after an outage a thousand of them ask for the
        same full list. */
    private Told line(long from) {
        long now = newest.getAsLong();
        if (now != linesAt || lines.size() >= LINES_MOST) {
            lines.values().forEach(told -> told.line.release());
            lines.clear();
            linesAt = now;
        }
        return lines.computeIfAbsent(from, at -> {
            Listing.Line line = since.apply(at);
            return new Told(line.rev(), new HttpServer.SharedLine(line.text()));
        });
    }

    private void tell() {
        asked.set(false);
        long now = newest.getAsLong();
        for (Watcher watcher : watchers) {
            if (watcher.rev < now && watcher.lines.isWritable()) {
                Told line = line(watcher.rev);
                watcher.lines.writeLine(line.line);
                watcher.behind = watcher.lines.bytesUntilWritable();
                watcher.rev = line.rev;
                watcher.tookAt = clock.monotonicMicros();
                told++;
            }
        }
    }

    private void alive() {
        long now = clock.monotonicMicros();
        for (Watcher watcher : Set.copyOf(watchers)) {
            if (watcher.lines.isWritable()) {
                watcher.lines.writeLine("");
                watcher.tookAt = now;
            } else if (watcher.lines.bytesUntilWritable() < watcher.behind) {
                watcher.tookAt = now;  // progress within a long line
                watcher.behind = watcher.lines.bytesUntilWritable();
            } else if (now - watcher.tookAt > SLOW_MICROS) {
                watcher.lines.abort();
                cut++;
            }
        }
        changed();  // for watchers that were not writable at the last update
    }
}
