package mastdrift;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import mastdrift.State.Server;

/**
 * What one gateway holds of zones as wholes, from all their hosts together: a zone is left once it owes answers and
 * others don't, and returned to by doubling. Slow and crowded zones answer, and so are never left; a gateway that
 * nobody answers is cut off itself, and leaves nobody. States and evidence: docs/zones.md. Times are in microseconds.
 */
final class Zones {

    /** AILING: it owes answers, but may not be left. */
    enum Standing { HEALTHY, AILING, LEFT, RETURNING }

    static final class Zone {
        final String name;
        Standing standing = Standing.HEALTHY;
        double part = 1;          // of its shares that is used
        private long answeredAt;  // by any of its hosts
        private long since;       // its standing
        private long turnAt;      // when the part doubles next
        private double distrust = 1;

        Zone(String name) {
            this.name = name;
        }
    }

    private static final int OWED = 4;                   // answers, of hosts that were asked since the zone's last one
    private static final int OWING = 3;                  // hosts: of fewer each goes for itself
    private static final double RIPE = 4;                // usual latencies after which an answer is owed
    private static final long RIPE_LEAST = 150_000;      // a new connection and a pause of the host's come before that
    private static final long RIPE_MOST = 1_000_000;
    private static final long CUT_AFTER = 1_000_000;     // without an answer from anybody
    private static final double FIRST = 0.25;            // part of a zone that returns
    private static final long TURN = 500_000;            // between two doublings
    private static final double DISTRUST_MOST = 8;       // times that span, of a zone that flaps
    private static final long FORGIVEN = 10_000_000;     // health after which distrust halves

    private final Map<String, Zone> zones = new LinkedHashMap<>();
    private final SplittableRandom random;
    private final Consumer<String> log;
    private long cutSince;  // when the first was sent that nobody answered; 0 while somebody does

    Zones(SplittableRandom random, Consumer<String> log) {
        this.random = random;
        this.log = log;
    }

    Zone of(String name) {
        return zones.computeIfAbsent(name, Zone::new);
    }

    /** Nobody answers this gateway since then; 0 while somebody does. */
    long cutSince() {
        return cutSince;
    }

    /** A host answered, whatever it said; true where that ends a time in which nobody did. */
    boolean answered(long now, Zone zone) {
        zone.answeredAt = now;
        if (zone.standing == Standing.AILING) {
            turn(now, zone, Standing.HEALTHY);
        } else if (zone.standing == Standing.LEFT) {
            comeBack(now, zone);
        }
        boolean ends = cutSince > 0;
        cutSince = 0;
        return ends;
    }

    /** The list tells of new hosts there, or its first ones answer: a small part first. */
    void comeBack(long now, Zone zone) {
        if (zone.standing == Standing.LEFT) {
            turn(now, zone, Standing.RETURNING);
            zone.part = FIRST / zone.distrust;
            zone.turnAt = now + turnSpan(zone);
        }
    }

    private long turnSpan(Zone zone) {
        return (long) (TURN * zone.distrust * (0.75 + 0.5 * random.nextDouble()));
    }

    private void turn(long now, Zone zone, Standing to) {
        zone.standing = to;
        zone.since = now;
    }

    /** Parts grow where nothing speaks against it, and trust comes back. */
    void refresh(long now) {
        for (Zone zone : zones.values()) {
            if (zone.standing == Standing.RETURNING && now >= zone.turnAt) {
                zone.part = Math.min(1, 2 * zone.part);
                zone.turnAt = now + turnSpan(zone);
                if (zone.part == 1) {
                    turn(now, zone, Standing.HEALTHY);
                }
            } else if (zone.standing == Standing.HEALTHY && now - zone.since > FORGIVEN && zone.distrust > 1) {
                zone.distrust /= 2;
                zone.since = now;
            }
        }
    }

    /** Looks whether a zone is lost, by what its hosts owe; {@code usual} is the longest usual latency. True if it is
        left from now on. */
    boolean lost(long now, Zone zone, Collection<Server> all, double usual) {
        long ripe = now - (long) Math.max(RIPE_LEAST, Math.min(RIPE_MOST, RIPE * usual));
        int owing = 0;
        int owed = 0;
        long first = now;
        for (Server server : all) {
            if (server.zone == zone && server.unanswered > 0 && server.unansweredSince > zone.answeredAt
                    && server.unansweredSince <= ripe) {
                owing++;
                owed += server.unanswered;
                first = Math.min(first, server.unansweredSince);
            }
        }
        if (owing < OWING || owed < OWED) {
            return false;
        }
        boolean others = false;
        boolean one = true;
        for (Zone other : zones.values()) {
            others |= other != zone && other.answeredAt > first;
            one &= other == zone || other.part >= 0.5;
        }
        if (!others) {
            lookAtOurselves(now, first, all);
        }
        if (!others || !one || zone.standing == Standing.LEFT) {
            if (zone.standing == Standing.HEALTHY) {
                turn(now, zone, Standing.AILING);
            }
            return false;
        }
        boolean flaps = zone.standing == Standing.RETURNING || zone.since > 0 && now - zone.since < FORGIVEN;
        zone.distrust = flaps ? Math.min(DISTRUST_MOST, 2 * zone.distrust) : zone.distrust;
        turn(now, zone, Standing.LEFT);
        zone.part = 0;
        log.accept("zone " + zone.name + " left: " + owing + " of its hosts owe answers, for " + (now - first) / 1000
                + " ms, while others give them");
        return true;
    }

    /** Nobody has answered since then. Hosts that are jammed may be as silent, but they accept connections: the gateway is
        cut off once that has lasted, and no connection to several hosts came up either. */
    private void lookAtOurselves(long now, long first, Collection<Server> all) {
        int undialled = 0;
        for (Server server : all) {
            undialled += server.dialFailedAt > first ? 1 : 0;
        }
        if (cutSince == 0 && now - first >= CUT_AFTER && undialled >= OWING) {
            cutSince = first;
            log.accept("cut off: nobody answers for " + (now - first) / 1000 + " ms, and " + undialled
                    + " hosts take no connection");
        }
    }
}
