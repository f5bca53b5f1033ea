package mastdrift.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.WeightMode;

/** Discovery: knows of hosts late, tells gateways by period, and answers so many calls a second. */
final class Registry {

    private static final long CALL_WAITS = 1_000_000;  // what has waited longer is turned away

    private record Entry(Host host, long version) { }

    private final World world;
    private final Agenda agenda;
    private final Plan.Lists plan;
    private final Dice dice;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final long notice;
    private final long silentNotice;
    private final long add;
    private final long period;
    private final double callsPerMicro;
    private double freeAt;
    private long version;
    /** Times its usual delay. */
    double late = 1;
    /** Tells nothing and answers no call. */
    boolean down;

    Registry(World world, Agenda agenda, Plan.Lists plan, Dice dice) {
        this.world = world;
        this.agenda = agenda;
        this.plan = plan;
        this.dice = dice;
        notice = micros(dice.in(plan.noticeS()));
        silentNotice = micros(dice.in(plan.silentNoticeS()));
        add = micros(dice.in(plan.addS()));
        period = Math.max(1, (long) (1000 * dice.in(plan.periodMs())));
        callsPerMicro = dice.in(plan.callsPerS()) / 1e6;
    }

    private static long micros(double seconds) {
        return (long) (seconds * 1e6);
    }

    long period() {
        return period;
    }

    void begin(List<Machine> machines) {
        machines.forEach(machine -> set(machine, HostState.IN_SERVICE));
        agenda.in(dice.below((int) Math.min(Integer.MAX_VALUE, period)), this::turn);
    }

    private double weight(Machine machine) {
        double size = machine.build.cores() * machine.build.speed();
        return switch (world.plan().hosts().weights()) {
            case OFF -> 1;
            case NOMINAL, ROUGH -> machine.build.cores();
            case LIVE -> size / (1 + machine.held() / (double) machine.build.cores());
        };
    }

    private void set(Machine machine, HostState health) {
        Host host = new Host(machine.build.address(), machine.build.zone(), machine.build.cell(), machine.build.kind(),
                weight(machine), health, machine.born);
        entries.put(host.address(), new Entry(host, ++version));
    }

    /** Live weights, as they were at the beginning of a period. */
    private void turn() {
        if (world.plan().hosts().weights() == WeightMode.LIVE && !down) {
            for (Machine machine : world.machines()) {
                Entry known = entries.get(machine.build.address());
                if (known != null && known.host.state() == HostState.IN_SERVICE && machine.up) {
                    Host before = known.host;
                    double weight = weight(machine);
                    if (weight != before.weight()) {
                        entries.put(before.address(), new Entry(new Host(before.address(), before.zone(), before.cell(),
                                before.model(), weight, before.state(), before.startedAt()), ++version));
                    }
                }
            }
        }
        agenda.in(period, this::turn);
    }

    /** A host's process started, began to drain, or ended; {@code silently} if nothing told of it. */
    void changed(Machine machine, HostState health, boolean silently) {
        long after = health == HostState.IN_SERVICE ? add : silently ? silentNotice : notice;
        int generation = machine.generation;
        agenda.in((long) (after * late), () -> {
            if (machine.generation == generation) {
                set(machine, health);
            }
        });
    }

    /** All that it knows of. */
    List<Host> all() {
        return entries.values().stream().map(Entry::host).filter(host -> host.state() != HostState.TERMINATED).toList();
    }

    long version() {
        return version;
    }

    /** A call comes in: the whole list follows, or a failure. */
    void call(Node by, boolean subscribes) {
        world.meter().listCalls[world.meter().second(agenda.now())]++;
        Node.Life life = by.life();
        double begins = Math.max(agenda.now(), freeAt);
        if (down || begins - agenda.now() > CALL_WAITS) {
            agenda.in(CALL_WAITS, () -> by.list(life, ListUpdateType.FAILED, List.of()));
            return;
        }
        freeAt = begins + 1 / callsPerMicro;
        agenda.at((long) Math.ceil(freeAt), () -> {
            by.list(life, ListUpdateType.FULL, all());
            life.seen = version;
            if (subscribes) {
                life.subscribed = true;
            }
        });
    }

    /** What has changed since it was last told. */
    void tell(Node to) {
        Node.Life life = to.life();
        if (down || !life.subscribed || life.seen == version) {
            return;
        }
        List<Host> changes = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.version > life.seen) {
                changes.add(entry.host);
            }
        }
        life.seen = version;
        to.list(life, ListUpdateType.DELTA, changes);
    }
}
