package mastdrift.net;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** The log of unusual events, one line each: {@code event=name key=value ...}. The lines of each kind of event are
    limited per second, so that a fault doesn't flood the log; the next line of that kind has the number of those left
    out. Not thread-safe: used on the gateway's event loop only. */
final class EventLog {

    /** The kinds of events; their lower-cased names are the values of {@code event}. */
    enum Event {
        /** A call to accept failed; accepting goes on after a pause. */
        ACCEPT_FAILED,
        /** A connection to a host could not be established. */
        DIAL_FAILED,
        /** A connection to a host failed, or the data from it was invalid. */
        UPSTREAM_FAILED,
        /** An attempt ended without a response for the client. */
        ATTEMPT_FAILED,
        /** A host's response began and then paused for long before any of it was passed on. */
        RESPONSE_STALLED,
        /** A response that was being passed on was given up, since its host paused or sent it too slowly. */
        RESPONSE_CUT_OFF,
        /** A request was refused. */
        REQUEST_REFUSED,
        /** A request failed, and its client got an error response. */
        REQUEST_FAILED,
        /** A request came with an id that is taken. */
        ID_TAKEN,
        /** A client connection ended while a request on it was unanswered. */
        CLIENT_GONE,
        /** The system lacked the memory for a write, which is retried. */
        WRITE_DEFERRED,
        /** A request to discovery failed. */
        DISCOVERY_FAILED,
        /** The event loop was late by more than the platform's suspensions explain. */
        LOOP_LATE,
        /** A callback ran on another thread than the event loop's, which is a bug of the program. */
        OFF_LOOP,
        /** The real-time clock was stepped, or differs from that of the machines whose start times are listed. */
        CLOCK_STEPPED
    }

    private static final long INTERVAL_MICROS = 1_000_000;
    private static final int MAX_LINES_PER_INTERVAL = 5;

    /** The lines of one kind of event in the current interval. */
    private static final class IntervalLines {
        private long intervalStart;
        private int lines;
        private long leftOut;
    }

    private final LongSupplier clock;
    private final Consumer<String> output;
    private final Map<Event, IntervalLines> intervalLines = new EnumMap<>(Event.class);

    /** Creates a log on a clock in microseconds from any origin. */
    EventLog(LongSupplier clock, Consumer<String> output) {
        this.clock = clock;
        this.output = output;
    }

    /** Logs an event with alternating keys and values; a pair whose value is null is left out. */
    void add(Event event, Object... keysAndValues) {
        IntervalLines current = intervalLines.computeIfAbsent(event, each -> new IntervalLines());
        long now = clock.getAsLong();
        if (current.lines == 0 || now - current.intervalStart >= INTERVAL_MICROS) {
            current.intervalStart = now;
            current.lines = 0;
        }
        if (++current.lines > MAX_LINES_PER_INTERVAL) {
            current.leftOut++;
            return;
        }
        output.accept(line(event, current.leftOut, keysAndValues));
        current.leftOut = 0;
    }

    /** Logs a bug of the program as a line of text, without a limit. */
    void fault(String text) {
        output.accept(text);
    }

    private static String line(Event event, long leftOut, Object... keysAndValues) {
        StringBuilder line = new StringBuilder("event=").append(event.name().toLowerCase(Locale.ROOT));
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            if (keysAndValues[i + 1] != null) {
                line.append(' ').append(keysAndValues[i]).append('=').append(formatValue(keysAndValues[i + 1]));
            }
        }
        if (leftOut > 0) {
            line.append(" left_out=").append(leftOut);
        }
        return line.toString();
    }

    private static String formatValue(Object value) {
        if (value instanceof Enum<?> constant) {
            return constant.name().toLowerCase(Locale.ROOT);
        }
        String text = value.toString();
        return text.indexOf(' ') < 0 ? text : '"' + text.replace('"', '\'') + '"';
    }
}
