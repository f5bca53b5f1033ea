package mastdrift.rig;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import mastdrift.common.Clock;
import mastdrift.common.Disk;
import mastdrift.common.HttpServer;
import mastdrift.registry.Agent;
import mastdrift.registry.DutyCommands;
import mastdrift.registry.EndpointList;
import mastdrift.registry.FailureDetector;
import mastdrift.registry.MembershipClient;
import mastdrift.registry.RegistryState;
import mastdrift.registry.Replica;
import mastdrift.registry.ReplicaBootstrap;

/** Main class of an instrumented process: a replica, agent, member or duty candidate with a clock and a disk into which
    the rig injects faults through a hooks file while it runs; and, if asked, in a variant that is broken on purpose. */
public final class InstrumentedProcess {

    private static final int MAX_WATCHES = 2000;

    private InstrumentedProcess() { }

    /** Arguments: hooks file, variant or {@code none}, then {@code registry name folder listen raft name=peer...} or
        {@code agent folder listen replica...} or {@code member name zone folder listen address replica...} or
        {@code duty who term replica...}. */
    public static void main(String[] args) throws Exception {
        mastdrift.registry.Main.configureLogging();
        mastdrift.registry.Main.exitOnUncaughtException();
        FaultHooks hooks = new FaultHooks(Path.of(args[0]));
        List<String> roleArguments = Arrays.asList(args).subList(3, args.length);
        if (args[2].equals("registry")) {
            Map<String, ReplicaBootstrap.Address> peers = new LinkedHashMap<>();
            roleArguments.subList(4, roleArguments.size()).forEach(peer -> peers.put(peer.split("=")[0],
                    ReplicaBootstrap.Address.parse(peer.split("=")[1])));
            Replica replica = new Replica(new Replica.Config(roleArguments.get(0), Path.of(roleArguments.get(1)),
                    HttpServer.parseAddress(roleArguments.get(2)),
                    HttpServer.parseAddress(roleArguments.get(3)), peers, MAX_WATCHES), hooks,
                    brokenCatalogue(args[1], hooks), hooks.disk());
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    replica.close();
                } catch (IOException e) {
                    System.err.println(e);
                }
            }));
            replica.start();
        } else if (args[2].equals("member")) {
            List<String> replicas = roleArguments.subList(5, roleArguments.size());
            Agent agent = new Agent(new Agent.Config(Path.of(roleArguments.get(2)),
                    HttpServer.parseAddress(roleArguments.get(3)),
                    replicas.stream().map(HttpServer::parseAddress).toList(), null), hooks, hooks.disk());
            MembershipClient membership = new MembershipClient(new MembershipClient.Config(roleArguments.get(0), "agent",
                    roleArguments.get(1), roleArguments.get(4)
                    + "/v1/agent"), replicas, hooks, detector(args[1], roleArguments.get(0)),
                    !args[1].equals(BrokenVariants.INCARNATION_KEPT));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                membership.close();
                agent.close();
            }));
        } else if (args[2].equals("duty")) {
            DutyCommands.runDuty("roll", roleArguments.get(0), Long.parseLong(roleArguments.get(1)),
                    roleArguments.subList(2, roleArguments.size()), hooks, terminationLatch());
        } else {
            Agent agent = new Agent(new Agent.Config(Path.of(roleArguments.get(0)),
                    HttpServer.parseAddress(roleArguments.get(1)),
                    roleArguments.subList(2, roleArguments.size()).stream().map(HttpServer::parseAddress).toList(),
                    null), hooks, hooks.disk());
            Runtime.getRuntime().addShutdownHook(new Thread(agent::close));
        }
        Thread.currentThread().join();
    }

    /** A latch that opens at SIGTERM; the process exits 1 s later, so that the duty can be released. */
    private static CountDownLatch terminationLatch() {
        CountDownLatch latch = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            latch.countDown();
            try {
                Thread.sleep(1000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        return latch;
    }

    /** The injected faults of this process's clock and disk. The file has lines {@code disk full}, {@code jump MILLIS}
        or {@code rate R}; it is read again, at most every 20 ms, when the clock or the disk is used. */
    private static final class FaultHooks implements Clock {

        private static final long RELOAD_INTERVAL_NANOS = 20_000_000;

        private final Path file;
        private long reloadedAt;
        private double rate = 1;
        private long jumpMillis;
        private boolean diskFull;
        private long realNanos = System.nanoTime();  // real time of the last update
        private double shownNanos = realNanos;  // faulty time at that moment

        FaultHooks(Path file) {
            this.file = file;
        }

        private synchronized void update() {
            long now = System.nanoTime();
            shownNanos += (now - realNanos) * rate;
            realNanos = now;
            if (now - reloadedAt < RELOAD_INTERVAL_NANOS) {
                return;
            }
            reloadedAt = now;
            rate = 1;
            jumpMillis = 0;
            diskFull = false;
            try {
                for (String line : Files.exists(file) ? Files.readAllLines(file, StandardCharsets.UTF_8) : List.<String>of()) {
                    String[] words = line.split(" ");
                    switch (words[0]) {
                        case "disk" -> diskFull = true;
                        case "jump" -> jumpMillis = (long) Double.parseDouble(words[1]);
                        case "rate" -> rate = Double.parseDouble(words[1]);
                        default -> { }
                    }
                }
            } catch (IOException e) {
                System.err.println("hooks: " + e);
            }
        }

        @Override
        public synchronized long monotonicMicros() {
            update();
            return (long) (shownNanos / 1000);
        }

        @Override
        public synchronized long wallMillis() {
            update();
            return System.currentTimeMillis() + jumpMillis;
        }

        Disk disk() {
            return new Disk() {
                @Override
                protected void writeFully(FileChannel to, ByteBuffer all) throws IOException {
                    update();
                    if (diskFull) {
                        throw new IOException("No space left on device (by the rig)");
                    }
                    super.writeFully(to, all);
                }
            };
        }
    }

    /** The failure detector, with half a second between probes as in production. The broken variant has a fixed timeout
        of 1 s in place of one that adapts to a peer's pauses. */
    private static FailureDetector detector(String variant, String name) {
        return !variant.equals(BrokenVariants.FIXED_TIMEOUT) ? new FailureDetector(name, 500_000)
                : new FailureDetector(name, 500_000) {
            @Override
            protected boolean isSilent(double phi, long quiet) {
                return quiet > 1_000_000;
            }
        };
    }

    /** The replica's state machine, or a variant that is broken in one way that a checker has to find. */
    private static RegistryState brokenCatalogue(String name, Clock clock) {
        return switch (name) {
            case "none" -> new RegistryState();
            case "revision-reused" -> new RegistryState() {
                private boolean again;

                @Override
                protected long nextRevision() {
                    again = !again && rev() % 10 == 9;
                    return again ? rev() : super.nextRevision();
                }
            };
            case "lease-by-own-clock" -> new RegistryState() {
                private final long began = clock.wallMillis();
                private long logTime = -1;

                @Override
                protected boolean isLeaseExpired(String uid, long until) {
                    logTime = logTime < 0 ? ((Number) state().get("time")).longValue() : logTime;
                    return until <= logTime + clock.wallMillis() - began;
                }
            };
            case "watch-skips-on-resume" -> new RegistryState() {
                @Override
                public synchronized EndpointList.UpdateLine updateSince(long from) {
                    return super.updateSince(from > 0 && from + 2 < rev() ? from + 2 : from);
                }
            };
            case BrokenVariants.ONE_REMOVES -> new RegistryState() {
                @Override
                protected int scaledThreshold(int of, int watching) {
                    return 1;
                }
            };
            default -> throw new IllegalArgumentException("no variant " + name);
        };
    }
}
