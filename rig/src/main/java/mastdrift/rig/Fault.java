package mastdrift.rig;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One fault as a seed drew it. Times are milliseconds from the beginning of the load.
 *
 * @param id its place in the plan, from 0
 * @param at when it begins; with {@code when}, how long after the event was seen
 * @param span how long it lasts, 0 where it has no end
 * @param processes whom it befalls, or the callers of the links
 * @param others the called of the links, empty for a process's fault
 * @param size milliseconds, bytes or bytes a second, as the kind has it
 * @param spread the part by which a delay varies
 * @param back with which folder a process is started again
 * @param when an expression that a line of some process's log has to hold first; null for none
 * @param heal the part of the links that heal at its end; the rest only when all is healed
 * @param systemCall what fails, null for other kinds
 */
record Fault(int id, Kind kind, long at, long span, List<String> processes, List<String> others, Link.Way way, double size,
        double spread, Back back, String when, double heal, SystemCall systemCall) {

    /** What goes wrong; {@code link} between processes, or with a process itself. */
    enum Kind {
        /** No bytes one way or both, and no new connection comes up; after it, those of before go on. */
        CUT(true),
        /** Connections are accepted and stay silent. */
        SILENT(true),
        /** Each piece is late by size milliseconds, more or less by the spread. */
        DELAY(true),
        /** Size bytes a second. */
        TRICKLE(true),
        /** After size more bytes of a connection nothing goes on. */
        STALL(true),
        /** After size more bytes a connection is reset. */
        RESET(true),
        /** New connections are refused, and those that are open are reset. */
        REFUSE(true),
        KILL(false), TERM(false), FREEZE(false),
        /** SIGTERM, and SIGKILL as early as the platform may send it: 0.7 s and the longest deadline later. */
        STOP(false),
        /** SIGHUP. */
        HANG_UP(false),
        /** A host of the list is drained, and is gone and back cold after the span. */
        REPLACE(false),
        /** The process's files can't be written: full. */
        DISK_FULL(false),
        /** Its Unix time jumps by size milliseconds, for the span. */
        CLOCK_JUMP(false),
        /** Its clocks run at size times their speed, for the span. */
        CLOCK_RATE(false),
        /** System calls of the process fail; the size is the error's argument. */
        SYSTEM_CALL(false);

        final boolean link;

        Kind(boolean link) {
            this.link = link;
        }
    }

    /** With what a process comes back: its folder as left, an empty one, a copy from before the fault, or not at all. */
    enum Back { KEEP, EMPTY, OLDER, NEVER }

    /** The same with one process, the leader of the moment; nobody where there is none. */
    Fault of(String process) {
        return new Fault(id, kind, at, span, process == null ? List.of() : List.of(process), others, way, size, spread, back,
                when, heal, systemCall);
    }

    /** For the history. */
    Map<String, Object> facts() {
        Map<String, Object> facts = new TreeMap<>();
        facts.put("id", id);
        facts.put("kind", kind.name().toLowerCase(java.util.Locale.ROOT));
        facts.put("processes", processes);
        if (kind.link) {
            facts.put("others", others);
            facts.put("way", way.name().toLowerCase(java.util.Locale.ROOT));
        }
        if (size != 0) {
            facts.put("size", size);
        }
        if (systemCall != null) {
            facts.put("system_call", systemCall.rule(Math.round(size)));
            facts.put("call", systemCall.call().name().toLowerCase(java.util.Locale.ROOT));
            facts.put("rate", systemCall.rate());
        }
        return facts;
    }
}
