package mastdrift.registry;

import java.io.IOException;
import java.util.Map;

/** The work of a duty, step by step. Implementations keep no state of their own: everything is in the duty's state in
    the log, so that a successor continues where its predecessor stopped. */
interface DutyWork {

    /** A step: its unique id, the kind of action and its parameters. */
    record Step(String id, String what, Map<String, Object> parameters) { }

    /** Returns the next step; null if there is nothing to do now. {@code duty} includes the operators' orders. */
    Step next(Map<String, Object> duty) throws IOException;

    /** Executes a step idempotently and returns the state after it. The target of an action gets the fencing token;
        {@code leaseCheck} has to be called before each effect. */
    Map<String, Object> act(Step step, Map<String, Object> state, long token, LeaseCheck leaseCheck) throws IOException;

    /** Throws {@link LeaseLostException} once the duty is no longer held. */
    interface LeaseCheck {
        void check() throws LeaseLostException;
    }

    /** Thrown when the lease on the duty expired or went to another process. */
    final class LeaseLostException extends IOException {
        private static final long serialVersionUID = 1L;

        LeaseLostException(String message) {
            super(message);
        }
    }
}
