package mastdrift.net;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** The log of what is out of the ordinary, a line an event: {@code event=name key=value ...}. Of each kind of event only so
    many lines a second are written, so that trouble does not fill the log; how many were left out stands in the next line of
    that kind. Used on the gateway's event loop alone. */
final class EventLog {

    /** The kinds of events. */
    enum Event {
        /** The system did not hand over a connection; accepting goes on after a pause. */
        ACCEPT_FAILED,
        /** A connection to a host did not come up. */
        DIAL_FAILED,
        /** A connection to a host broke, or what came on it could not be read. */
        UPSTREAM_FAILED,
        /** An attempt ended with no answer that could be passed on. */
        ATTEMPT_FAILED,
        /** A request was answered with a refusal. */
        REQUEST_REFUSED,
        /** A request was answered as failed. */
        REQUEST_FAILED,
        /** A client's connection ended while a request on it was not answered. */
        CLIENT_GONE,
        /** A write met a shortage of the system's and is made again. */
        WRITE_DEFERRED,
        /** Discovery could not be asked. */
        DISCOVERY_FAILED,
        /** The event loop was late by more than a hold-up that the platform allows. */
        LOOP_LATE,
        /** A callback came on a thread other than the event loop's, which is a fault of the program. */
        OFF_LOOP,
        /** The real-time clock was stepped, or is off from that of the machines whose starts are told. */
        CLOCK_STEPPED
    }

    private static final long SPAN_MICROS = 1_000_000;
    private static final int LINES_A_SPAN = 5;

    private static final class Written {
        private long since;
        private int lines;
        private long leftOut;
    }

    private final LongSupplier clock;
    private final Consumer<String> out;
    private final Map<Event, Written> written = new EnumMap<>(Event.class);

    /** The clock runs in microseconds from any origin. */
    EventLog(LongSupplier clock, Consumer<String> out) {
        this.clock = clock;
        this.out = out;
    }

    /** Keys and their values in turn; a value that is null is left out with its key. */
    void add(Event event, Object... facts) {
        Written mine = written.computeIfAbsent(event, each -> new Written());
        long now = clock.getAsLong();
        if (mine.lines == 0 || now - mine.since >= SPAN_MICROS) {
            mine.since = now;
            mine.lines = 0;
        }
        if (++mine.lines > LINES_A_SPAN) {
            mine.leftOut++;
            return;
        }
        out.accept(line(event, mine.leftOut, facts));
        mine.leftOut = 0;
    }

    /** A fault of the program itself, in words. */
    void fault(String text) {
        out.accept(text);
    }

    private static String line(Event event, long leftOut, Object... facts) {
        StringBuilder line = new StringBuilder("event=").append(event.name().toLowerCase(Locale.ROOT));
        for (int i = 0; i + 1 < facts.length; i += 2) {
            if (facts[i + 1] != null) {
                line.append(' ').append(facts[i]).append('=').append(value(facts[i + 1]));
            }
        }
        if (leftOut > 0) {
            line.append(" left_out=").append(leftOut);
        }
        return line.toString();
    }

    private static String value(Object value) {
        if (value instanceof Enum<?> name) {
            return name.name().toLowerCase(Locale.ROOT);
        }
        String text = value.toString();
        return text.indexOf(' ') < 0 ? text : '"' + text.replace('"', '\'') + '"';
    }
}
