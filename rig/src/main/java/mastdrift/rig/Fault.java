package mastdrift.rig;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One fault as drawn by a seed. Times are milliseconds from the start of the load.
 *
 * @param id its index in the schedule, from 0
 * @param at when it starts; with {@code when}, how long after the log line was seen
 * @param span how long it lasts, 0 for one without an end
 * @param processes the affected processes; of a link fault, those that open the connections
 * @param others the processes that a link fault's connections lead to; empty for other faults
 * @param size milliseconds, bytes or bytes per second, depending on the kind
 * @param spread the fraction by which a delay varies
 * @param back the data folder with which a killed process is started again
 * @param when a regular expression that a log line of some process has to match first; null for none
 * @param heal the share of links that heal at its end; the others heal when all faults end
 * @param systemCall the failing call, null for other kinds
 */
record Fault(int id, Kind kind, long at, long span, List<String> processes, List<String> others, Link.Way way, double size,
        double spread, Back back, String when, double heal, SystemCall systemCall) {

    /** The kind of a fault; {@code link} is true if it affects links, false if it affects processes. */
    enum Kind {
        /** No bytes pass in one or both directions, and no new connection is established; open connections go on after
            it. */
        CUT(true),
        /** Connections are accepted, but nothing passes. */
        SILENT(true),
        /** All bytes are delayed by size milliseconds, varied by the spread. */
        DELAY(true),
        /** At most size bytes pass per second. */
        TRICKLE(true),
        /** After size more bytes nothing passes on a connection. */
        STALL(true),
        /** After size more bytes a connection is reset. */
        RESET(true),
        /** New connections are refused, and those that are open are reset. */
        REFUSE(true),
        KILL(false), TERM(false), FREEZE(false),
        /** SIGTERM, then SIGKILL as early as the platform may send it: the longest deadline and 0.7 s later. */
        STOP(false),
        /** SIGHUP. */
        HANG_UP(false),
        /** A host is drained, and after the span replaced by a cold one. */
        REPLACE(false),
        /** The process's writes to files fail as on a full disk. */
        DISK_FULL(false),
        /** The process's Unix time is off by size milliseconds for the span. */
        CLOCK_JUMP(false),
        /** The process's monotonic clock runs at size times its speed for the span. */
        CLOCK_RATE(false),
        /** System calls of the process fail; the size is the error's argument. */
        SYSTEM_CALL(false);

        final boolean link;

        Kind(boolean link) {
            this.link = link;
        }
    }

    /** With which data folder a process is started again: as it was left, empty, a copy from before the fault, or
        never. */
    enum Back { KEEP, EMPTY, OLDER, NEVER }

    /** The same fault for the given process, in place of the leader's placeholder; for no process if it is null. */
    Fault of(String process) {
        return new Fault(id, kind, at, span, process == null ? List.of() : List.of(process), others, way, size, spread, back,
                when, heal, systemCall);
    }

    /** The fields for the history. */
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
