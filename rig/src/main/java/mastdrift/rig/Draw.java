package mastdrift.rig;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.regex.Pattern;
import mastdrift.common.Range;
import mastdrift.lab.Dice;

/** Draws the faults of one seed. The same plan, process names and seed give the same faults on any machine. */
final class Draw {

    // The platform sends SIGKILL no earlier than the longest deadline, counted as 3 s at most, plus 0.7 s after
    // SIGTERM.
    private static final long KILL_BEHIND_MILLIS = 700;
    private static final long LONGEST_COUNTED_MILLIS = 3000;

    private Draw() { }

    static List<Fault> faults(RigPlan plan, List<String> names, long seed) {
        List<Fault> faults = new ArrayList<>();
        long earliestKill = Math.min(plan.load().deadlineMs(seed), LONGEST_COUNTED_MILLIS) + KILL_BEHIND_MILLIS;
        for (int t = 0; t < plan.faults().size(); t++) {
            RigPlan.Trouble trouble = plan.faults().get(t);
            Dice dice = new Dice(seed, plan.name() + "#" + t);
            boolean drawn = trouble.chance() >= 1 || dice.unit() < trouble.chance();
            for (int i = 0; drawn && i < trouble.times(); i++) {
                faults.add(fault(faults.size(), trouble, names, dice, earliestKill));
            }
        }
        return faults;
    }

    private static Fault fault(int id, RigPlan.Trouble trouble, List<String> names, Dice dice, long earliestKill) {
        long at = millis(trouble.atS(), dice);
        long span = millis(trouble.forS(), dice);
        double size = trouble.kind() == Fault.Kind.STOP ? earliestKill : dice.in(trouble.size());
        boolean link = trouble.kind().link;
        String process = link ? trouble.from() : trouble.process();
        List<String> first = process.equals(Stage.LEADER) ? List.of(process) : matching(names, process);
        List<String> chosen = trouble.pick() == 0 ? first : some(first, trouble.pick(), dice);
        return new Fault(id, trouble.kind(), at, span, chosen, link ? matching(names, trouble.to()) : List.of(),
                trouble.way(), size, trouble.spread(), trouble.back(), trouble.when(), trouble.heal(), trouble.systemCall());
    }

    private static long millis(Range seconds, Dice dice) {
        return Math.round(dice.in(seconds) * 1000);
    }

    private static List<String> some(List<String> all, int count, Dice dice) {
        List<String> shuffled = new ArrayList<>(all);
        Collections.shuffle(shuffled, new Random(dice.below(Integer.MAX_VALUE)));
        List<String> some = new ArrayList<>(shuffled.subList(0, Math.min(count, shuffled.size())));
        Collections.sort(some);
        return some;
    }

    /** The names that match the pattern, in which {@code *} stands for any text and {@code |} separates alternatives.
        */
    static List<String> matching(List<String> names, String pattern) {
        StringBuilder expression = new StringBuilder();
        for (char c : pattern.toCharArray()) {
            expression.append(c == '*' ? ".*" : c == '|' ? "|" : Pattern.quote(String.valueOf(c)));
        }
        Pattern compiled = Pattern.compile(expression.toString());
        return names.stream().filter(name -> compiled.matcher(name).matches()).toList();
    }
}
