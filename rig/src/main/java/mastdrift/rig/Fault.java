package mastdrift.rig;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One fault as drawn by a seed. Times are milliseconds from the start of the load.
 *
 * @param id its index in the schedule, from 0
 * @param startMillis when it starts; with {@code triggerPattern}, how long after the log line was seen
 * @param durationMillis how long it lasts, 0 for one without an end
 * @param processes the affected processes; of a link fault, those that open the connections
 * @param targets the processes that a link fault's connections lead to; empty for other faults
 * @param magnitude milliseconds, bytes or bytes per second, depending on the kind
 * @param jitter the fraction by which a delay varies
 * @param restartState the data folder with which a killed process is started again
 * @param triggerPattern a regular expression that a log line of some process has to match first; null for none
 * @param healShare the share of links that heal at its end; the others heal when all faults end
 * @param systemCall the failing call, null for other kinds
 */
record Fault(int id, Kind kind, long startMillis, long durationMillis,
        List<String> processes, List<String> targets, Link.Way direction, double magnitude,
        double jitter, Back restartState, String triggerPattern, double healShare, SystemCall systemCall) {

    /** The kind of a fault, which affects either links or processes. */
    enum Kind {
        /** No bytes pass in one or both directions, and no new connection is established; open connections go on after
            it. */
        CUT(true),
        /** Connections are accepted, but nothing passes. */
        SILENT(true),
        /** All bytes are delayed by so many milliseconds as the magnitude, varied by the jitter. */
        DELAY(true),
        /** At most so many bytes pass per second as the magnitude. */
        TRICKLE(true),
        /** After so many more bytes as the magnitude, nothing passes on a connection. */
        STALL(true),
        /** After so many more bytes as the magnitude, a connection is reset. */
        RESET(true),
        /** New connections are refused, and those that are open are reset. */
        REFUSE(true),
        KILL(false), TERM(false), FREEZE(false),
        /** SIGTERM, then SIGKILL as early as the platform may send it: the longest deadline and 0.7 s later. */
        STOP(false),
        /** SIGHUP. */
        HANG_UP(false),
        /** A host is drained, and at the end of the fault replaced by a cold one. */
        REPLACE(false),
        /** The process's writes to files fail as on a full disk. */
        DISK_FULL(false),
        /** The process's Unix time is off by so many milliseconds as the magnitude. */
        CLOCK_JUMP(false),
        /** The process's monotonic clock runs at so many times its speed as the magnitude. */
        CLOCK_RATE(false),
        /** System calls of the process fail; the magnitude is the error's argument. */
        SYSTEM_CALL(false);

        final boolean affectsLinks;

        Kind(boolean affectsLinks) {
            this.affectsLinks = affectsLinks;
        }
    }

    /** With which data folder a process is started again: as it was left, empty, a copy from before the fault, or
        never. */
    enum Back { KEEP, EMPTY, OLDER, NEVER }

    /** The same fault for the given process, in place of the leader's placeholder; for no process if it is null. */
    Fault withProcess(String process) {
        return new Fault(id, kind, startMillis, durationMillis, process == null ? List.of() : List.of(process), targets,
                direction, magnitude, jitter, restartState, triggerPattern, healShare, systemCall);
    }

    /** The fields for the history. */
    Map<String, Object> facts() {
        Map<String, Object> facts = new TreeMap<>();
        facts.put("id", id);
        facts.put("kind", kind.name().toLowerCase(java.util.Locale.ROOT));
        facts.put("processes", processes);
        if (kind.affectsLinks) {
            facts.put("others", targets);
            facts.put("way", direction.name().toLowerCase(java.util.Locale.ROOT));
        }
        if (magnitude != 0) {
            facts.put("size", magnitude);
        }
        if (systemCall != null) {
            facts.put("system_call", systemCall.toRuleLine(Math.round(magnitude)));
            facts.put("call", systemCall.call().name().toLowerCase(java.util.Locale.ROOT));
            facts.put("rate", systemCall.rate());
        }
        return facts;
    }
}
