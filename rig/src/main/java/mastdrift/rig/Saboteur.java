package mastdrift.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import mastdrift.lab.Dice;

/** Injects and ends the faults of one run on a thread of its own, and records each in the history. */
final class Saboteur implements AutoCloseable {

    private static final int LOOK_MILLIS = 20;
    private static final int SIGNAL_AGAIN_MILLIS = 100;  // between the signals of a STOP fault
    private static final int UNLIST_MILLIS = 1000;  // from a host's death until it is listed as terminated

    private final Stage stage;
    private final History history;
    private final long seed;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    private final ExecutorService starts = Executors.newCachedThreadPool();
    private final List<Future<?>> starting = new CopyOnWriteArrayList<>();
    private final Map<Integer, Long> begun = new HashMap<>();
    private final List<Fault> open = new ArrayList<>();
    private volatile Throwable failure;

    Saboteur(Stage stage, History history, long seed) {
        this.stage = stage;
        this.history = history;
        this.seed = seed;
    }

    /** Schedules the faults; their times count from now. */
    void start(List<Fault> faults) {
        for (Fault fault : faults) {
            if (fault.back() == Fault.Back.OLDER) {
                in(fault.at() / 2, () -> fault.processes().forEach(name -> stage.programs().get(name).keepCopy()));
            }
            if (fault.when() == null) {
                in(fault.at(), () -> begin(fault));
            } else {
                LogWatch watch = new LogWatch(fault.when(), stage.programs().values().stream()
                        .map(program -> program.spec().log()).toList());
                in(LOOK_MILLIS, () -> look(fault, watch));
            }
        }
    }

    private void look(Fault fault, LogWatch watch) {
        if (watch.seen()) {
            in(fault.at(), () -> begin(fault));
        } else {
            in(LOOK_MILLIS, () -> look(fault, watch));
        }
    }

    private void in(long millis, Runnable what) {
        thread.schedule(() -> {
            try {
                what.run();
            } catch (RuntimeException e) {
                failure = e;
            }
        }, millis, TimeUnit.MILLISECONDS);
    }

    private void begin(Fault drawn) {
        Fault fault = drawn.processes().contains(Stage.LEADER) ? drawn.of(stage.leader()) : drawn;
        begun.put(fault.id(), History.now());
        open.add(fault);
        if (fault.kind().link) {
            each(fault, link -> link.begin(fault));
        } else {
            fault.processes().forEach(name -> begin(fault, name));
        }
        if (fault.span() > 0) {
            in(fault.span(), () -> end(fault, false));
        }
    }

    private void begin(Fault fault, String name) {
        Program program = stage.programs().get(name);
        switch (fault.kind()) {
            case KILL -> {
                stage.meant(name, true);
                program.kill();
                if (name.startsWith("host-")) {
                    in(UNLIST_MILLIS, () -> {
                        if (!stage.programs().get(name).alive()) {
                            stage.unlist(name);
                        }
                    });
                }
            }
            case TERM -> {
                stage.meant(name, true);
                program.term();
            }
            case STOP -> {
                stage.meant(name, true);
                program.terminate();
                in(SIGNAL_AGAIN_MILLIS, program::terminate);
                in(2 * SIGNAL_AGAIN_MILLIS, program::hangUp);
                in(Math.round(fault.size()), program::kill);
            }
            case HANG_UP -> program.hangUp();
            case FREEZE -> program.freeze();
            case REPLACE -> stage.drain(name);
            case DISK_FULL -> stage.hook(name, "disk full");
            case CLOCK_JUMP -> stage.hook(name, "jump " + fault.size());
            case CLOCK_RATE -> stage.hook(name, "rate " + fault.size());
            case SYSTEM_CALL -> stage.systemCalls().begin(fault, name);
            default -> throw new IllegalStateException(fault.kind() + " is a fault of links");
        }
    }

    private void each(Fault fault, java.util.function.Consumer<Link> what) {
        for (String from : fault.processes()) {
            for (String to : fault.others()) {
                if (!from.equals(to)) {
                    stage.links(from, to).forEach(what);
                }
            }
        }
    }

    /** Ends a fault. Of a link fault only the drawn share of links heals, the rest at the end of the run, unless {@code
        wholly} is set. */
    private void end(Fault fault, boolean wholly) {
        if (!open.remove(fault)) {
            return;
        }
        if (fault.kind().link) {
            Dice dice = new Dice(seed, "heal#" + fault.id());
            boolean[] left = {false};
            each(fault, link -> {
                if (wholly || dice.unit() < fault.heal()) {
                    link.heal();
                } else {
                    left[0] = true;
                }
            });
            if (left[0]) {
                open.add(fault);
                return;
            }
        } else {
            fault.processes().forEach(name -> end(fault, name));
        }
        history.add(begun.get(fault.id()), History.now(), "rig", "fault", fault.facts());
    }

    private void end(Fault fault, String name) {
        Program program = stage.programs().get(name);
        switch (fault.kind()) {
            case HANG_UP -> { }
            case KILL, TERM, STOP -> {
                program.kill();  // a process that is told to stop may be there still
                switch (fault.back()) {
                    case EMPTY -> program.wipe();
                    case OLDER -> program.older();
                    default -> { }
                }
                if (fault.back() != Fault.Back.NEVER) {
                    restart(name);
                }
            }
            case FREEZE -> program.wake();
            case SYSTEM_CALL -> stage.systemCalls().end(fault, name);
            case REPLACE -> {
                stage.meant(name, true);
                program.kill();
                stage.unlist(name);
                restart(name);
            }
            default -> stage.hook(name, "");
        }
    }

    /** Restarts on another thread, since a start may take long and must not delay other faults. */
    private void restart(String name) {
        starting.add(starts.submit(() -> {
            stage.restart(name);
            stage.meant(name, false);
        }));
    }

    /** Ends all active faults and starts no more. Throws IllegalStateException if a fault could not be injected. */
    void heal() throws InterruptedException {
        try {
            thread.submit(() -> List.copyOf(open).forEach(fault -> end(fault, true))).get();
            for (Future<?> start : starting) {
                start.get();
            }
        } catch (java.util.concurrent.ExecutionException e) {
            failure = e.getCause();
        }
        thread.shutdownNow();
        thread.awaitTermination(1, TimeUnit.MINUTES);
        if (failure != null) {
            throw new IllegalStateException("a fault could not be injected: " + failure, failure);
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
        starts.shutdownNow();
    }
}
