package mastdrift.rig;

import java.util.List;

/** A checker: verifies an invariant against a recorded history. */
interface Check {

    /** The result of a check; {@code undecided} if the search ran out of its budget. */
    record Verdict(String check, List<String> breaches, boolean undecided) {

        static Verdict of(String check, List<String> breaches) {
            return new Verdict(check, breaches, false);
        }

        boolean held() {
            return breaches.isEmpty() && !undecided;
        }

        @Override
        public String toString() {
            return check + ": " + (undecided ? "undecided, the search ran out of its budget" : breaches.isEmpty() ? "held"
                    : breaches.size() + " broken, first: " + breaches.get(0));
        }
    }

    Verdict evaluate(History history);
}
