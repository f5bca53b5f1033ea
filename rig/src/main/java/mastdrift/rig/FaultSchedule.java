package mastdrift.rig;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.regex.Pattern;
import mastdrift.common.Range;
import mastdrift.lab.Dice;

/** Draws the faults of one seed. The same plan, process names and seed give the same faults on any machine. */
final class FaultSchedule {

    // The platform sends SIGKILL no earlier than the longest deadline, counted as 3 s at most, plus 0.7 s after
    // SIGTERM.
    private static final long KILL_AFTER_DEADLINE_MILLIS = 700;
    private static final long MAX_COUNTED_DEADLINE_MILLIS = 3000;

    private FaultSchedule() { }

    static List<Fault> draw(RigPlan plan, List<String> names, long seed) {
        List<Fault> faults = new ArrayList<>();
        long earliestKill = Math.min(plan.load().deadlineMillis(seed), MAX_COUNTED_DEADLINE_MILLIS)
                + KILL_AFTER_DEADLINE_MILLIS;
        for (int index = 0; index < plan.faults().size(); index++) {
            RigPlan.FaultSpec spec = plan.faults().get(index);
            Dice dice = new Dice(seed, plan.name() + "#" + index);
            boolean happens = spec.chance() >= 1 || dice.unit() < spec.chance();
            for (int i = 0; happens && i < spec.repetitions(); i++) {
                faults.add(drawFault(faults.size(), spec, names, dice, earliestKill));
            }
        }
        return faults;
    }

    private static Fault drawFault(int id, RigPlan.FaultSpec spec, List<String> names, Dice dice, long earliestKill) {
        long startMillis = millis(spec.startSeconds(), dice);
        long durationMillis = millis(spec.durationSeconds(), dice);
        double magnitude = spec.kind() == Fault.Kind.STOP ? earliestKill : dice.in(spec.magnitude());
        boolean affectsLinks = spec.kind().affectsLinks;
        String process = affectsLinks ? spec.from() : spec.process();
        List<String> candidates = process.equals(TestBed.LEADER) ? List.of(process) : matching(names, process);
        List<String> affected = spec.sampleSize() == 0 ? candidates : sample(candidates, spec.sampleSize(), dice);
        return new Fault(id, spec.kind(), startMillis, durationMillis, affected,
                affectsLinks ? matching(names, spec.to()) : List.of(),
                spec.direction(), magnitude, spec.jitter(), spec.restartState(), spec.triggerPattern(),
                spec.healShare(), spec.systemCall());
    }

    private static long millis(Range seconds, Dice dice) {
        return Math.round(dice.in(seconds) * 1000);
    }

    private static List<String> sample(List<String> all, int count, Dice dice) {
        List<String> shuffled = new ArrayList<>(all);
        Collections.shuffle(shuffled, new Random(dice.below(Integer.MAX_VALUE)));
        List<String> sample = new ArrayList<>(shuffled.subList(0, Math.min(count, shuffled.size())));
        Collections.sort(sample);
        return sample;
    }

    /** The names that match the pattern, in which {@code *} stands for any text and {@code |} separates
        alternatives. */
    static List<String> matching(List<String> names, String pattern) {
        StringBuilder expression = new StringBuilder();
        for (char c : pattern.toCharArray()) {
            expression.append(c == '*' ? ".*" : c == '|' ? "|" : Pattern.quote(String.valueOf(c)));
        }
        Pattern compiled = Pattern.compile(expression.toString());
        return names.stream().filter(name -> compiled.matcher(name).matches()).toList();
    }
}
