package mastdrift.lab;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.stream.Stream;
import mastdrift.Balancer.Outcome;

/**
 * A host: its cores are shared evenly among the requests in work, up to one core each; the rest wait in a room, and what
 * finds that full is turned away unseen. Times are in microseconds, work in microseconds on one core of speed 1.
 */
public final class Machine {

    /** What it is made of, drawn once a day. Spans in microseconds. */
    public record Build(String address, String zone, int cell, String kind, int cores, double speed, int slots, int room,
            double coldFrom, long coldSpan, double errorPart, int connectionsMost, double chokeAt, long chokeOver,
            double chokeSlower, double chokeBelow, long chokeRest, double keyGain, int keysMost) {
        /** Another of the same make. */
        Build at(String other) {
            return new Build(other, zone, cell, kind, cores, speed, slots, room, coldFrom, coldSpan, errorPart,
                    connectionsMost, chokeAt, chokeOver, chokeSlower, chokeBelow, chokeRest, keyGain, keysMost);
        }
    }

    /** A request in work, waiting or hung. */
    public static final class Job {
        private final long key;
        private final double work;
        private final Consumer<Outcome> answer;
        private double finish;
        private boolean dropped;
        private boolean stopped;

        /** The answer is told once, on the thread of the agenda. */
        public Job(long key, double work, Consumer<Outcome> answer) {
            this.key = key;
            this.work = work;
            this.answer = answer;
        }

        /** Nobody waits for it any more; it is never begun where hosts {@code stop} what was cancelled. */
        public void drop(boolean stop) {
            dropped = true;
            stopped = stop;
        }
    }

    private record Arrival(long at, double work, boolean informed) { }

    private static final long COLD_STEP = 20_000;  // so often speeds are looked at anew while warming
    private static final double BUSY_KEEP = 100_000;  // time constant of the busy figure
    private static final double FALL_SLACK = 1.1;

    final Build build;
    /** Of its process; unlike after each start, so that old connections are known. */
    int generation;
    int connections;
    /** The start of its process as it is told, 0 for long ago. */
    long born;
    boolean up = true;
    /** It takes nothing new. */
    public boolean leaving;
    boolean hung;
    /** It takes part in nothing, as if its cable were pulled. */
    boolean silent;
    /** The part that a neighbour takes. */
    double taken;
    /** Whether its fall was the gateways' doing is asked of whom it fell. */
    public Consumer<Double> fell = part -> { };

    private final Agenda agenda;
    private final Dice dice;
    private final PriorityQueue<Job> working = new PriorityQueue<>((a, b) -> Double.compare(a.finish, b.finish));
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final Deque<Arrival> pressed = new ArrayDeque<>();
    private final Map<Long, Boolean> keys;
    private double pressedWork;
    private double virtual;  // work done for each request in work since the beginning
    private long updated;
    private long plan;  // the newest completion that was put in the agenda; older ones are void
    private long crowdedSince = -1;
    private long chokedUntil = -1;
    private boolean choked;
    private double busy;
    private double done;  // work that was answered
    private double lost;  // work for which nobody waited, or that ended with the process
    private long served;
    private long fallSpan = Long.MAX_VALUE;
    private double fallMultiple = Double.MAX_VALUE;

    /** Up and warm, at the agenda's present. */
    public Machine(Build build, Agenda agenda, Dice dice) {
        this.build = build;
        this.agenda = agenda;
        this.dice = dice;
        keys = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > build.keysMost;
            }
        };
    }

    /** In work or waiting. */
    public int held() {
        return working.size() + waiting.size();
    }

    /** In its room. */
    public int waitingNow() {
        return waiting.size();
    }

    /** The part of its cores in work of late. */
    public double busy() {
        settle();
        return busy;
    }

    double done() {
        return done;
    }

    double lost() {
        return lost;
    }

    long served() {
        return served;
    }

    boolean choked() {
        return choked;
    }

    double warmth() {
        return born == 0 || build.coldSpan <= 0 ? 1
                : build.coldFrom + (1 - build.coldFrom) * Math.min(1, (agenda.now() - born) / (double) build.coldSpan);
    }

    /** Work a microsecond that it can do now. */
    double capacity() {
        return hung || !up ? 0 : build.cores * build.speed * warmth() * (1 - taken) / (choked ? build.chokeSlower : 1);
    }

    private double perJob() {
        int count = working.size();
        return count == 0 ? 0 : capacity() / Math.max(build.cores, count);
    }

    /** Brings what is done up to now; before any change of who is in work and how fast. */
    void settle() {
        long now = agenda.now();
        double span = now - updated;
        if (span > 0) {
            double weight = 1 - Math.exp(-span / BUSY_KEEP);
            busy += weight * (Math.min(1, working.size() / (double) build.cores) - busy);
            virtual += span * perJob();
            updated = now;
        }
    }

    /** Puts the next completion in the agenda; after any such change. */
    void schedule() {
        long mine = ++plan;
        double rate = perJob();
        if (rate <= 0) {
            return;
        }
        double left = Math.max(0, working.peek().finish - virtual);
        long span = (long) Math.ceil(left / rate);
        long step = warmth() < 1 ? Math.min(span, COLD_STEP) : span;
        agenda.in(Math.max(1, step), () -> {
            if (mine == plan) {
                complete();
            }
        });
    }

    private void complete() {
        settle();
        while (!working.isEmpty() && working.peek().finish <= virtual + 1e-6) {
            Job job = working.poll();
            served++;
            done += job.dropped ? 0 : job.work;
            lost += job.dropped ? job.work : 0;
            keys.put(job.key, true);
            job.answer.accept(dice.chance(build.errorPart) ? Outcome.ERROR : Outcome.DELIVERED);
            begin();
        }
        crowd();
        schedule();
    }

    private void begin() {
        while (working.size() < build.slots && !waiting.isEmpty()) {
            Job next = waiting.poll();
            if (!next.stopped) {
                work(next);
            }
        }
    }

    private void work(Job job) {
        double gain = keys.containsKey(job.key) ? 1 - build.keyGain : 1;
        job.finish = virtual + job.work * gain;
        working.add(job);
    }

    /** Takes a request, or turns it away; {@code informed} tells whether the sender knew of its start. */
    public void arrive(Job job, boolean informed) {
        settle();
        crowd();
        press(job, informed);
        if (!up) {
            job.answer.accept(Outcome.DROPPED);
            return;
        }
        if (leaving || working.size() >= build.slots && waiting.size() >= build.room) {
            job.answer.accept(Outcome.SHED);
            return;
        }
        if (working.size() < build.slots) {
            work(job);
        } else {
            waiting.add(job);
        }
        crowd();
        schedule();
    }

    /** What is sent to a cold host within the span counts against a multiple of its capacity: see WIRE, rule 4. */
    private void press(Job job, boolean informed) {
        if (warmth() >= 1 || !up) {
            pressed.clear();
            pressedWork = 0;
            return;
        }
        long now = agenda.now();
        pressed.add(new Arrival(now, job.work, informed));
        pressedWork += job.work;
        while (pressed.peek().at < now - fallSpan) {
            pressedWork -= pressed.poll().work;
        }
        double capacity = build.cores * build.speed * warmth();
        if (pressedWork > fallMultiple * capacity * fallSpan * FALL_SLACK) {
            double knew = pressed.stream().filter(Arrival::informed).mapToDouble(Arrival::work).sum() / pressedWork;
            end();
            fell.accept(knew);
        }
    }

    /** From when on a press ends it: over so many times its capacity, within that span. */
    public void fallsAt(double multiple, long span) {
        fallMultiple = multiple;
        fallSpan = span;
    }

    /** Holding too many for a while makes it slower, until it has shed most of them or has rested. */
    private void crowd() {
        long now = agenda.now();
        double held = held() / (double) build.cores;
        if (choked) {
            if (held < build.chokeAt * build.chokeBelow || now >= chokedUntil) {
                choked = false;
                crowdedSince = -1;
            }
        } else if (held <= build.chokeAt) {
            crowdedSince = -1;
        } else if (crowdedSince < 0) {
            crowdedSince = now;
        } else if (now - crowdedSince >= build.chokeOver) {
            choked = true;
            chokedUntil = now + build.chokeOver + build.chokeRest * 4;
        }
    }

    /** The process ends: its connections with it, and all that it held. */
    public void end() {
        settle();
        up = false;
        generation++;
        connections = 0;
        plan++;
        List<Job> all = Stream.concat(working.stream(), waiting.stream()).toList();
        working.clear();
        waiting.clear();
        pressed.clear();
        pressedWork = 0;
        choked = false;
        crowdedSince = -1;
        all.forEach(job -> {
            lost += job.work;
            job.answer.accept(Outcome.DROPPED);
        });
    }

    /** A new process, cold and with no key warm. */
    public void start() {
        settle();
        up = true;
        leaving = false;
        hung = false;
        silent = false;
        generation++;
        born = Math.max(1, agenda.now());
        keys.clear();
        updated = agenda.now();
    }
}
