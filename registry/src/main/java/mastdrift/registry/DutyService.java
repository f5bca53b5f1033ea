package mastdrift.registry;

import java.io.IOException;
import java.util.Map;

/** Duty operations of the list service. Each call ends within a time far shorter than a lease and throws IOException if
    its outcome is unknown. */
interface DutyService {

    /** The service's response: whether it was a success, and its body. */
    record Response(boolean success, Map<String, Object> body) {

        long token() {
            return body.get("token") instanceof Number token ? token.longValue() : 0;
        }
    }

    /** Acquires a duty, or keeps the candidate's place in its queue; token 0 means not granted. */
    Response acquire(String duty, String candidate, long leaseMillis) throws IOException;

    Response renew(String duty, String candidate, long token) throws IOException;

    Response release(String duty, String candidate, long token) throws IOException;

    /** Records a step of the work by its id, and the state after it. */
    Response record(String duty, String candidate, long token, String step, Map<String, Object> state)
            throws IOException;

    /** Reads a duty with its state and its orders, consistently with the log. */
    Response read(String duty) throws IOException;
}
