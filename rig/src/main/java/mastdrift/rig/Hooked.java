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
import mastdrift.registry.RegistryState;
import mastdrift.registry.FailureDetector;
import mastdrift.registry.DutyCommands;
import mastdrift.registry.EndpointList;
import mastdrift.registry.MembershipClient;
import mastdrift.registry.ReplicaBootstrap;
import mastdrift.registry.Replica;

/** Starts a process of ours with the rig's clock and disk in place of the machine's, which a file of hooks makes wrong while
    it runs; and, where asked, in a variant that is broken on purpose. */
public final class Hooked {

    private static final int WATCHES_MOST = 2000;

    private Hooked() { }

    /** Arguments: file of hooks, variant or {@code none}, then {@code registry name folder listen raft name=peer...} or
        {@code agent folder listen replica...} or {@code member name zone folder listen address replica...} or
        {@code duty who term replica...}. */
    public static void main(String[] args) throws Exception {
        mastdrift.registry.Main.configureLogging();
        mastdrift.registry.Main.exitOnUncaughtException();
        Hooks hooks = new Hooks(Path.of(args[0]));
        List<String> rest = Arrays.asList(args).subList(3, args.length);
        if (args[2].equals("registry")) {
            Map<String, ReplicaBootstrap.Address> peers = new LinkedHashMap<>();
            rest.subList(4, rest.size()).forEach(peer -> peers.put(peer.split("=")[0],
                    ReplicaBootstrap.Address.parse(peer.split("=")[1])));
            Replica replica = new Replica(new Replica.Config(rest.get(0), Path.of(rest.get(1)), HttpServer.parseAddress(rest.get(2)),
                    HttpServer.parseAddress(rest.get(3)), peers, WATCHES_MOST), hooks, variant(args[1], hooks), hooks.disk());
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    replica.close();
                } catch (IOException e) {
                    System.err.println(e);
                }
            }));
            replica.start();
        } else if (args[2].equals("member")) {
            List<String> replicas = rest.subList(5, rest.size());
            Agent agent = new Agent(new Agent.Config(Path.of(rest.get(2)), HttpServer.parseAddress(rest.get(3)),
                    replicas.stream().map(HttpServer::parseAddress).toList(), null), hooks, hooks.disk());
            MembershipClient membership = new MembershipClient(new MembershipClient.Config(rest.get(0), "agent", rest.get(1), rest.get(4)
                    + "/v1/agent"), replicas, hooks, detector(args[1], rest.get(0)), !args[1].equals(Variants.INCARNATION_KEPT));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                membership.close();
                agent.close();
            }));
        } else if (args[2].equals("duty")) {
            DutyCommands.runDuty("roll", rest.get(0), Long.parseLong(rest.get(1)), rest.subList(2, rest.size()), hooks, end());
        } else {
            Agent agent = new Agent(new Agent.Config(Path.of(rest.get(0)), HttpServer.parseAddress(rest.get(1)),
                    rest.subList(2, rest.size()).stream().map(HttpServer::parseAddress).toList(), null), hooks, hooks.disk());
            Runtime.getRuntime().addShutdownHook(new Thread(agent::close));
        }
        Thread.currentThread().join();
    }

    /** Opens at SIGTERM, and gives a little time then. */
    private static CountDownLatch end() {
        CountDownLatch end = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            end.countDown();
            try {
                Thread.sleep(1000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        return end;
    }

    /** What makes this process's clock and disk wrong: a file with {@code disk full}, {@code jump MILLIS} or {@code rate R}
        on its lines, looked at whenever time is asked. */
    private static final class Hooks implements Clock {

        private static final long LOOK_NANOS = 20_000_000;

        private final Path file;
        private long lookedAt;
        private double rate = 1;
        private long jump;
        private boolean full;
        private long real = System.nanoTime();  // as far as the wrong clock has been reckoned
        private double shown = real;

        Hooks(Path file) {
            this.file = file;
        }

        private synchronized void look() {
            long now = System.nanoTime();
            shown += (now - real) * rate;
            real = now;
            if (now - lookedAt < LOOK_NANOS) {
                return;
            }
            lookedAt = now;
            rate = 1;
            jump = 0;
            full = false;
            try {
                for (String line : Files.exists(file) ? Files.readAllLines(file, StandardCharsets.UTF_8) : List.<String>of()) {
                    String[] words = line.split(" ");
                    switch (words[0]) {
                        case "disk" -> full = true;
                        case "jump" -> jump = (long) Double.parseDouble(words[1]);
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
            look();
            return (long) (shown / 1000);
        }

        @Override
        public synchronized long wallMillis() {
            look();
            return System.currentTimeMillis() + jump;
        }

        Disk disk() {
            return new Disk() {
                @Override
                protected void writeFully(FileChannel to, ByteBuffer all) throws IOException {
                    look();
                    if (full) {
                        throw new IOException("No space left on device (by the rig)");
                    }
                    super.writeFully(to, all);
                }
            };
        }
    }

    /** Half a second between calls, as in service; the wrong one takes nobody's pauses into account. */
    private static FailureDetector detector(String variant, String name) {
        return !variant.equals(Variants.FIXED_TIME_OUT) ? new FailureDetector(name, 500_000) : new FailureDetector(name, 500_000) {
            @Override
            protected boolean isSilent(double phi, long quiet) {
                return quiet > 1_000_000;
            }
        };
    }

    /** Broken on purpose, each in one way that a checker has to find. */
    private static RegistryState variant(String name, Clock clock) {
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
            case Variants.ONE_REMOVES -> new RegistryState() {
                @Override
                protected int scaledThreshold(int of, int watching) {
                    return 1;
                }
            };
            default -> throw new IllegalArgumentException("no variant " + name);
        };
    }
}
