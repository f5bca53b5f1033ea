package mastdrift.lab;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mastdrift.Balancer;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;

/** A gateway: carries out what its module asks for and tells it what happens, as the real one does. */
final class Node {

    /** What it was told last of a host, and since when it knows of that state and that process. */
    record Told(HostState health, long at, long born) { }

    /** From a start to its end; what belongs to an earlier one is void. */
    final class Life implements Balancer.Actions {

        private final int brain;  // by which its module is known
        private Balancer module;
        private boolean over;
        boolean subscribed;
        long seen;
        private final Map<Long, World.Try> tries = new HashMap<>();
        private final Map<String, Told> told = new HashMap<>();
        private final Map<Machine, Deque<Link>> idle = new HashMap<>();

        Life(int brain) {
            this.brain = brain;
        }

        /** The process is gone, and all that it held. */
        private void end() {
            over = true;
            world.brains().stop(brain);
            idle.values().forEach(links -> links.forEach(Link::close));
            List.copyOf(tries.values()).forEach(world::broken);
        }

        @Override
        public void send(long id, String address, long timeout) {
            World.Try of = tries.get(id);
            Machine to = world.machine(address);
            if (over || of == null || to == null) {
                return;
            }
            if (!of.over && of.attempts.size() < world.plan().rules().maxAttempts()) {
                world.referee().sends(agenda.now(), of, to, Node.this);
                world.send(Node.this, of, to, timeout);
            } else {
                world.unsent(this, of, to);
            }
        }

        @Override
        public void cancel(long id, int attempt) {
            World.Try of = tries.get(id);
            if (!over && of != null && attempt < of.attempts.size()) {
                world.ended(of.attempts.get(attempt), Outcome.REVOKED);
            }
        }

        @Override
        public void refuse(long id, long retryAfter) {
            World.Try of = tries.get(id);
            if (!over && of != null && !of.over) {
                world.referee().refuses(agenda.now(), of);
                world.answered(of, World.Answer.REFUSED, retryAfter);
            }
        }

        @Override
        public void fail(long id) {
            World.Try of = tries.get(id);
            if (!over && of != null && !of.over) {
                world.answered(of, World.Answer.FAILED, 0);
            }
        }

        @Override
        public void scheduleTimer(long at, String handle) {
            agenda.at(Math.max(agenda.now() + 1, at), () -> {
                if (!over) {
                    module.timerFired(world.tick(), handle);
                }
            });
        }

        @Override
        public void probe(String address) {
            if (!over && world.machine(address) != null) {
                world.probe(Node.this, this, world.machine(address));
            }
        }

        @Override
        public void watchHostList(boolean active) {
            if (!over && active) {
                world.registry().call(Node.this, true);
            }
        }

        @Override
        public void fetchHostList() {
            if (!over) {
                world.registry().call(Node.this, false);
            }
        }

        @Override
        public void closeIdleConnections(String address) {
            Machine to = world.machine(address);
            if (!over && to != null) {
                dropIdle(to);
            }
        }

        private void dropIdle(Machine to) {
            Deque<Link> links = idle.remove(to);
            if (links != null) {
                links.forEach(Link::close);
            }
        }

        @Override
        public void sendToPeer(int peer, byte[] message) { }

        @Override
        public void log(String line) {
            world.log(Node.this, line);
        }

        boolean over() {
            return over;
        }

        void resolved(World.Attempt attempt, Outcome outcome, boolean requestOver, LoadReport report) {
            if (!over) {
                module.attemptEnded(world.tick(), attempt.of.id, attempt.number, attempt.machine.build.address(), outcome,
                        agenda.now() - attempt.sentAt, requestOver, report);
            }
        }

        void probed(Machine machine, Outcome outcome, long elapsed, LoadReport report) {
            if (!over) {
                module.probeEnded(world.tick(), machine.build.address(), outcome, elapsed, report);
            }
        }

        void forget(World.Try of) {
            if (of.over && of.attempts.stream().noneMatch(attempt -> attempt.out)) {
                tries.remove(of.id);
            }
        }
    }

    /** A connection to a host. */
    static final class Link {
        private final Machine to;
        private final int generation;
        private long idleSince;
        private boolean closed;

        Link(Machine to) {
            this.to = to;
            generation = to.generation;
            to.connections++;
        }

        /** The process that it was opened to still runs. */
        boolean whole() {
            return to.up && to.generation == generation;
        }

        void close() {
            if (!closed && to.generation == generation) {
                to.connections--;
            }
            closed = true;
        }
    }

    final int number;
    final String zone;
    /** How much of its zone's traffic it gets, beside the others'. */
    final double part;
    private final World world;
    private final Agenda agenda;
    private final long idleMost;
    private Life life;
    private boolean running;
    private int starts;
    private int successors;

    Node(World world, Agenda agenda, int number, String zone, double part) {
        this.world = world;
        this.agenda = agenda;
        this.number = number;
        this.zone = zone;
        this.part = part;
        idleMost = (long) (world.plan().hosts().idleS() * 1e6);
        life = new Life(number);
        life.over = true;
    }

    Life life() {
        return life;
    }

    boolean running() {
        return running;
    }

    Told told(String address) {
        return life.told.get(address);
    }

    /** The process serves from now on, from the list as it last stood. */
    void start() {
        begin(new Life(number));
    }

    /** A successor has started beside the process and takes all that comes from now on; the old one answers what it has, and
        ends after so long. */
    void succeed(long within, int gateways) {
        if (running) {
            Life old = life;
            begin(new Life(number + ++successors * gateways));
            agenda.in(within, () -> {
                if (!old.over) {
                    old.end();
                }
            });
        }
    }

    private void begin(Life mine) {
        running = true;
        life = mine;
        mine.module = world.brains().start(world.tick(), mine.brain, world.settings(this, starts++), mine);
        list(mine, ListUpdateType.CACHED, world.registry().all());
        mine.seen = world.registry().version();
        if (starts == 1) {
            mine.subscribed = true;  // the day finds it in service
        } else {
            world.registry().call(this, true);
        }
        poll(mine, world.listPhase(this));
    }

    private void poll(Life of, long in) {
        agenda.in(in, () -> {
            if (!of.over) {
                world.registry().tell(this);
                poll(of, world.registry().period());
            }
        });
    }

    /** Its process is gone, and all that it held. */
    void kill() {
        running = false;
        life.end();
    }

    void list(Life of, ListUpdateType form, List<Host> hosts) {
        if (of.over) {
            return;
        }
        Map<String, Told> before = Map.copyOf(of.told);
        if (form == ListUpdateType.FULL || form == ListUpdateType.CACHED) {
            of.told.replaceAll((address, told) -> new Told(HostState.TERMINATED, told.health == HostState.IN_SERVICE ? agenda.now() : told.at,
                    told.born));
        }
        for (Host host : hosts) {
            Told earlier = before.get(host.address());
            boolean same = earlier != null && earlier.health == host.state() && earlier.born == host.startedAt();
            of.told.put(host.address(), same ? earlier : new Told(host.state(), agenda.now(), host.startedAt()));
            if (host.state() != HostState.IN_SERVICE) {
                Machine machine = world.machine(host.address());
                if (machine != null) {
                    of.dropIdle(machine);
                }
            }
        }
        of.module.hostListReceived(world.tick(), form, hosts);
    }

    /** A request has come in whole. */
    void take(World.Try of, Balancer.Request request) {
        life.tries.put(of.id, of);
        life.module.requestReceived(world.tick(), request);
    }

    void departed(Life of, World.Try left) {
        if (!of.over) {
            of.module.clientLeft(world.tick(), left.id);
            of.forget(left);
        }
    }

    /** An open connection to that host, null where a new one is needed. */
    Link idleLink(Machine to) {
        Deque<Link> links = life.idle.get(to);
        while (links != null && !links.isEmpty()) {
            Link link = links.pollFirst();
            boolean reset = !link.whole() && !to.silent;  // as it hears of at once, unless nothing is heard at all
            if (!reset && agenda.now() - link.idleSince < idleMost) {
                return link;
            }
            link.close();
        }
        return null;
    }

    void keep(Life of, Link link) {
        if (of.over) {
            link.close();
        } else {
            link.idleSince = agenda.now();
            of.idle.computeIfAbsent(link.to, to -> new ArrayDeque<>()).addFirst(link);
        }
    }
}
