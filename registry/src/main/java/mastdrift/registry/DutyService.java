package mastdrift.registry;

import java.io.IOException;
import java.util.Map;

/** The list service as one who takes up duties calls it. Each call ends within a bound that is far under a term; throws
    IOException where it is not known what came of it. */
interface DutyService {

    /** The service's answer: yes or no, and what it said. */
    record Answer(boolean yes, Map<String, Object> body) {

        long token() {
            return body.get("token") instanceof Number token ? token.longValue() : 0;
        }
    }

    /** Asks for it, or keeps the place in the queue; the span is in milliseconds. */
    Answer acquire(String duty, String who, long span) throws IOException;

    Answer hold(String duty, String who, long token) throws IOException;

    Answer release(String duty, String who, long token) throws IOException;

    /** A step of the work, by its id, and the state after it. */
    Answer record(String duty, String who, long token, String step, Map<String, Object> state) throws IOException;

    /** As the log has it; its state, and orders by staff. */
    Answer read(String duty) throws IOException;
}
