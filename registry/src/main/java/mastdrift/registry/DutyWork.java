package mastdrift.registry;

import java.io.IOException;
import java.util.Map;

/** The work of a duty, step by step; what is known of it is in the log alone. Decides from what it is given and keeps
    nothing, so that a successor goes on where the one before it was. */
interface DutyWork {

    /** A step: its id, which no other step has, what it does and to whom. */
    record Step(String id, String what, Map<String, Object> facts) { }

    /** The next step; null where there is nothing to do now. What staff ordered is in the duty as it was read. */
    Step next(Map<String, Object> duty) throws IOException;

    /** Carries it out, harmlessly also if it was carried out before; whoever is acted on is told the token. Returns the state
        after it. {@code mayAct} says whether the duty is still held: asked before each effect. */
    Map<String, Object> act(Step step, Map<String, Object> state, long token, Held mayAct) throws IOException;

    /** Throws {@link Lost} once the duty is no more held. */
    interface Held {
        void check() throws Lost;
    }

    /** The duty is another's by now. */
    final class Lost extends IOException {
        private static final long serialVersionUID = 1L;

        Lost(String message) {
            super(message);
        }
    }
}
