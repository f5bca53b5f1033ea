package mastdrift.rig;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** All checkers, by their names in plans. */
final class Checks {

    private static final Map<String, Supplier<Check>> ALL = new TreeMap<>(Map.of(
            "rules", RulesCheck::new,
            "linearizable", RegisterCheck::new,
            "watches", WatchCheck::new,
            "acknowledged", AcknowledgedCheck::new,
            "holders", HolderCheck::new,
            "views", ViewCheck::new,
            "members", MemberCheck::new,
            "roll", RollCheck::new));
    static final List<String> NAMES = List.copyOf(ALL.keySet());

    private Checks() { }

    static List<Check.Verdict> evaluate(List<String> names, History history) {
        return names.stream().map(name -> ALL.get(name).get().evaluate(history)).toList();
    }
}
