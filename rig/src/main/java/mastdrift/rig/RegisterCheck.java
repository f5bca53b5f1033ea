package mastdrift.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import mastdrift.rig.History.Event;

/** Checks that reads, writes and compare-and-sets of each entry of the list service are linearizable as those of a
    register with a revision: events {@code read}, {@code put}, {@code cas} with {@code key}, {@code value},
    {@code rev}, {@code if_rev}, {@code ok}. */
final class RegisterCheck implements Check {

    static final long MAX_SEARCH_STEPS = 5_000_000;
    private static final long UNKNOWN_REVISION = -1;  // of a write whose outcome is unknown

    /** An entry: its value, null if there is no entry, and the revision of the write that made it. */
    record Register(String value, long rev) {

        boolean mayHaveRevision(long other) {
            return rev == UNKNOWN_REVISION || rev == other;
        }
    }

    private record Call(Event event) implements Linearizability.Call<Register> {
        @Override
        public long start() {
            return event.start();
        }

        @Override
        public long end() {
            return event.end();
        }

        @Override
        public Optional<Register> after(Register now) {
            String value = event.text("value");
            long rev = event.number("rev", UNKNOWN_REVISION);
            boolean ok = Boolean.TRUE.equals(event.facts().get("ok"));
            return switch (event.op()) {
                case "read" -> java.util.Objects.equals(value, now.value) && now.mayHaveRevision(rev)
                        ? Optional.of(new Register(value, rev)) : Optional.empty();
                case "put" -> !event.isKnown() ? Optional.of(new Register(value, UNKNOWN_REVISION))
                        : rev > now.rev ? Optional.of(new Register(value, rev)) : Optional.empty();
                case "cas" -> {
                    long expected = event.number("if_rev", 0);
                    if (!event.isKnown()) {
                        yield now.mayHaveRevision(expected) ? Optional.of(new Register(value, UNKNOWN_REVISION))
                                : Optional.empty();
                    }
                    if (ok) {
                        yield now.mayHaveRevision(expected) && rev > now.rev ? Optional.of(new Register(value, rev))
                                : Optional.empty();
                    }
                    yield now.rev != expected ? Optional.of(now) : Optional.empty();
                }
                default -> Optional.empty();
            };
        }
    }

    @Override
    public Verdict evaluate(History history) {
        Map<String, List<Call>> byKey = new HashMap<>();
        for (Event event : history.events()) {
            boolean read = event.op().equals("read");
            if ((read && event.isKnown() || event.op().equals("put") || event.op().equals("cas"))
                    && !"refused".equals(event.text("outcome"))) {
                byKey.computeIfAbsent(event.text("key"), key -> new ArrayList<>()).add(new Call(event));
            }
        }
        List<String> breaches = new ArrayList<>();
        boolean[] undecided = {false};
        byKey.forEach((key, calls) -> {
            Set<String> read = calls.stream().filter(call -> call.event.op().equals("read"))
                    .map(call -> String.valueOf(call.event.text("value"))).collect(Collectors.toSet());
            switch (Linearizability.check(calls, call -> read.contains(((Call) call).event.text("value")),
                    new Register(null, 0), MAX_SEARCH_STEPS)) {
                case NO -> breaches.add(calls.size() + " calls on " + key + " can't be put in one order");
                case OUT_OF_BUDGET -> undecided[0] = true;
                default -> { }
            }
        });
        return new Verdict("linearizable", breaches, undecided[0]);
    }
}
