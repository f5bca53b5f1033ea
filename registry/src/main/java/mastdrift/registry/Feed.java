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

/** Watches of one list. A watcher is only ever behind by a revision, from which it is told what changed when it can take
    it: nothing is queued for it. On its event loop but for {@link #changed}. */
final class Feed {

    /** So many watch at most where nothing else is said: each costs a socket and a revision, and a gateway more is to find
        room beside a thousand others. */
    static final int WATCHES_MOST = 2000;
    private static final int GATHER_MILLIS = 5;  // changes that come within are one line
    private static final int ALIVE_MILLIS = 2000;  // PROTOCOL: an empty line as long as nothing changes
    private static final long SLOW_MICROS = 10_000_000;  // who takes nothing at all for so long is cut
    private static final int LINES_MOST = 64;  // kept: most readers are equally far behind

    /** A line, and the revision that it brings its reader to. */
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
    private final Map<Long, Told> lines = new HashMap<>();  // of the newest revision, by where their readers stand
    private long linesAt;
    private final AtomicBoolean asked = new AtomicBoolean();
    private volatile int count;
    private volatile long cut;
    private volatile long told;

    /** {@code since} gives the line of what changed after a revision; at most so many watch. */
    Feed(EventLoop loop, Clock clock, LongSupplier newest, LongFunction<Listing.Line> since, int most) {
        this.loop = loop;
        this.clock = clock;
        this.newest = newest;
        this.since = since;
        this.most = most;
        loop.scheduleWithFixedDelay(this::alive, ALIVE_MILLIS, ALIVE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The list has changed; from any thread. */
    void changed() {
        if (asked.compareAndSet(false, true)) {
            loop.schedule(this::tell, GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    int count() {
        return count;
    }

    /** Of watchers that took nothing for too long. */
    long cut() {
        return cut;
    }

    /** Of lines to all watchers together. */
    long told() {
        return told;
    }

    /** Answers with a watch from that revision on, or at once that there are too many. From the call's own loop. */
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
            changed();  // what came between both looks
        });
    }

    /** Made once for all who stand there: after an outage a thousand come back for the same whole list. */
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
                watcher.tookAt = now;  // a long line, of which it takes part after part
                watcher.behind = watcher.lines.bytesUntilWritable();
            } else if (now - watcher.tookAt > SLOW_MICROS) {
                watcher.lines.abort();
                cut++;
            }
        }
        changed();  // those who could take nothing then
    }
}
