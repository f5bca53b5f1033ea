package mastdrift.lab;

import java.util.List;

/** What came of one day. */
record Result(String build, String day, long seed, double figure, double whole, double worstWindow, double worstClass,
        long offered, long served, long late, long refused, long failed, long attempts, long probes, long dials,
        long listCalls, double wasted, long crossed, long far, long intoNothing, double leftMs, List<Referee.Breach> breaches, List<Meter.Window> windows, List<int[]> loads) {

    static Result of(String build, Plan plan, long seed, World world) {
        Meter meter = world.meter();
        double done = world.machines().stream().mapToDouble(Machine::done).sum();
        double lost = world.machines().stream().mapToDouble(Machine::lost).sum();
        List<Meter.Window> windows = meter.windows();
        return new Result(build, plan.name(), seed, meter.figure(done, lost), meter.whole(), meter.worstWindow(),
                meter.worstClass(), windows.stream().mapToLong(Meter.Window::offered).sum(), meter.ended(Meter.End.SERVED),
                meter.ended(Meter.End.LATE), meter.ended(Meter.End.REFUSED), meter.ended(Meter.End.FAILED),
                Meter.sum(meter.attempts), Meter.sum(meter.probes), Meter.sum(meter.dials), Meter.sum(meter.listCalls),
                lost / Math.max(1, done + lost), Meter.sum(meter.crossZone), Meter.sum(meter.farZone), meter.intoNothing(),
                meter.leftMs(), world.referee().breaches(), windows, meter.loads);
    }

    boolean held() {
        return breaches.isEmpty();
    }
}
