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
final class FaultInjector implements AutoCloseable {

    private static final int LOG_POLL_MILLIS = 20;
    private static final int REPEATED_SIGNAL_MILLIS = 100;  // between the signals of a STOP fault
    private static final int UNLIST_DELAY_MILLIS = 1000;  // from a host's death until it is listed as terminated

    private final TestBed testBed;
    private final History history;
    private final long seed;
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final ExecutorService restartExecutor = Executors.newCachedThreadPool();
    private final List<Future<?>> restarts = new CopyOnWriteArrayList<>();
    private final Map<Integer, Long> startTimes = new HashMap<>();
    private final List<Fault> activeFaults = new ArrayList<>();
    private volatile Throwable failure;

    FaultInjector(TestBed testBed, History history, long seed) {
        this.testBed = testBed;
        this.history = history;
        this.seed = seed;
    }

    /** Schedules the faults; their times count from now. */
    void start(List<Fault> faults) {
        for (Fault fault : faults) {
            if (fault.restartState() == Fault.Back.OLDER) {
                schedule(fault.startMillis() / 2, () -> fault.processes()
                        .forEach(name -> testBed.processes().get(name).backUpData()));
            }
            if (fault.triggerPattern() == null) {
                schedule(fault.startMillis(), () -> inject(fault));
            } else {
                LogWatcher watcher = new LogWatcher(fault.triggerPattern(), testBed.processes().values().stream()
                        .map(process -> process.spec().log()).toList());
                schedule(LOG_POLL_MILLIS, () -> pollLog(fault, watcher));
            }
        }
    }

    private void pollLog(Fault fault, LogWatcher watcher) {
        if (watcher.matched()) {
            schedule(fault.startMillis(), () -> inject(fault));
        } else {
            schedule(LOG_POLL_MILLIS, () -> pollLog(fault, watcher));
        }
    }

    private void schedule(long delayMillis, Runnable action) {
        scheduler.schedule(() -> {
            try {
                action.run();
            } catch (RuntimeException e) {
                failure = e;
            }
        }, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void inject(Fault scheduled) {
        Fault fault = scheduled.processes().contains(TestBed.LEADER) ? scheduled.withProcess(testBed.leader())
                : scheduled;
        startTimes.put(fault.id(), History.now());
        activeFaults.add(fault);
        if (fault.kind().affectsLinks) {
            forEachLink(fault, link -> link.inject(fault));
        } else {
            fault.processes().forEach(name -> inject(fault, name));
        }
        if (fault.durationMillis() > 0) {
            schedule(fault.durationMillis(), () -> end(fault, false));
        }
    }

    private void inject(Fault fault, String name) {
        ManagedProcess process = testBed.processes().get(name);
        switch (fault.kind()) {
            case KILL -> {
                testBed.setExpectedDown(name, true);
                process.kill();
                if (name.startsWith("host-")) {
                    schedule(UNLIST_DELAY_MILLIS, () -> {
                        if (!testBed.processes().get(name).isAlive()) {
                            testBed.removeFromLists(name);
                        }
                    });
                }
            }
            case TERM -> {
                testBed.setExpectedDown(name, true);
                process.terminateAndWait();
            }
            case STOP -> {
                testBed.setExpectedDown(name, true);
                process.sendTerminate();
                schedule(REPEATED_SIGNAL_MILLIS, process::sendTerminate);
                schedule(2 * REPEATED_SIGNAL_MILLIS, process::sendHangUp);
                schedule(Math.round(fault.magnitude()), process::kill);
            }
            case HANG_UP -> process.sendHangUp();
            case FREEZE -> process.freeze();
            case REPLACE -> testBed.drain(name);
            case DISK_FULL -> testBed.setHook(name, "disk full");
            case CLOCK_JUMP -> testBed.setHook(name, "jump " + fault.magnitude());
            case CLOCK_RATE -> testBed.setHook(name, "rate " + fault.magnitude());
            case SYSTEM_CALL -> testBed.systemCalls().begin(fault, name);
            default -> throw new IllegalStateException(fault.kind() + " is a fault of links");
        }
    }

    private void forEachLink(Fault fault, java.util.function.Consumer<Link> action) {
        for (String from : fault.processes()) {
            for (String to : fault.targets()) {
                if (!from.equals(to)) {
                    testBed.links(from, to).forEach(action);
                }
            }
        }
    }

    /** Ends a fault. Of a link fault only the drawn share of links heals, the rest at the end of the run, unless
        {@code healsAll} is set. */
    private void end(Fault fault, boolean healsAll) {
        if (!activeFaults.remove(fault)) {
            return;
        }
        if (fault.kind().affectsLinks) {
            Dice dice = new Dice(seed, "heal#" + fault.id());
            boolean[] unhealed = {false};
            forEachLink(fault, link -> {
                if (healsAll || dice.unit() < fault.healShare()) {
                    link.heal();
                } else {
                    unhealed[0] = true;
                }
            });
            if (unhealed[0]) {
                activeFaults.add(fault);
                return;
            }
        } else {
            fault.processes().forEach(name -> end(fault, name));
        }
        history.add(startTimes.get(fault.id()), History.now(), "rig", "fault", fault.facts());
    }

    private void end(Fault fault, String name) {
        ManagedProcess process = testBed.processes().get(name);
        switch (fault.kind()) {
            case HANG_UP -> { }
            case KILL, TERM, STOP -> {
                process.kill();  // after TERM or STOP it may still be running
                switch (fault.restartState()) {
                    case EMPTY -> process.deleteData();
                    case OLDER -> process.restoreBackup();
                    default -> { }
                }
                if (fault.restartState() != Fault.Back.NEVER) {
                    restart(name);
                }
            }
            case FREEZE -> process.resume();
            case SYSTEM_CALL -> testBed.systemCalls().end(fault, name);
            case REPLACE -> {
                testBed.setExpectedDown(name, true);
                process.kill();
                testBed.removeFromLists(name);
                restart(name);
            }
            default -> testBed.setHook(name, "");
        }
    }

    /** Restarts on another thread, since a start may take long and must not delay other faults. */
    private void restart(String name) {
        restarts.add(restartExecutor.submit(() -> {
            testBed.restart(name);
            testBed.setExpectedDown(name, false);
        }));
    }

    /** Ends all active faults and starts no more. Throws IllegalStateException if a fault could not be injected. */
    void endAll() throws InterruptedException {
        try {
            scheduler.submit(() -> List.copyOf(activeFaults).forEach(fault -> end(fault, true))).get();
            for (Future<?> start : restarts) {
                start.get();
            }
        } catch (java.util.concurrent.ExecutionException e) {
            failure = e.getCause();
        }
        scheduler.shutdownNow();
        scheduler.awaitTermination(1, TimeUnit.MINUTES);
        if (failure != null) {
            throw new IllegalStateException("a fault could not be injected: " + failure, failure);
        }
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        restartExecutor.shutdownNow();
    }
}
