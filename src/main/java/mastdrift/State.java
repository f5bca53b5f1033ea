package mastdrift;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What one gateway's module remembers: plain data without a decision, all of which are in Balance.java. */
final class State {

    private State() { }

    private static long age(long now, long at) {
        return at == 0 ? Memory.NEVER : now - at;
    }

    private static long at(long then, long age) {
        return age < 0 ? 0 : Math.max(1, then - age);
    }

    /** The keys used last, up to so many; the sessions come in the order of their last use. */
    static Memory.Keys keys(long now, Map<Long, Session> sessions, Map<Server, Integer> places, int most) {
        int skipped = Math.max(0, sessions.size() - most);
        int count = 0;
        long[] keys = new long[Math.min(most, sessions.size())];
        int[] hosts = new int[keys.length];
        long[] ages = new long[keys.length];
        for (Map.Entry<Long, Session> entry : sessions.entrySet()) {
            Integer place = places.get(entry.getValue().server());
            if (skipped-- <= 0 && place != null) {
                keys[count] = entry.getKey();
                hosts[count] = place;
                ages[count++] = now - entry.getValue().at();
            }
        }
        Memory.Keys newestFirst = new Memory.Keys(new long[count], new int[count], new long[count]);
        for (int i = 0; i < count; i++) {
            newestFirst.keys()[i] = keys[count - 1 - i];
            newestFirst.hosts()[i] = hosts[count - 1 - i];
            newestFirst.ages()[i] = ages[count - 1 - i];
        }
        return newestFirst;
    }

    /** Sums over servers alike in kind. */
    static final class Pool {
        double latency;
        double samples;
        double delivered;
        double warm;
        double rate;
        double cpu;
        double size = 1;
        int reports;
        double weightMost;  // in the list: of the host that holds least
        boolean heard;  // a report since the sizes were last turned

        void clear() {
            latency = samples = delivered = warm = 0;
        }

        void recall(Memory.KnownKind earlier) {
            rate = earlier.rate();
            cpu = earlier.cpu();
            reports = earlier.reports();
            size = earlier.size();
            weightMost = Math.max(weightMost, earlier.weightMost());
        }
    }

    static final class Server {
        Balancer.Host host;
        Pool kind;
        final long[] sampleAt;
        final double[] sample;
        int samples;
        final List<Attempt> out = new ArrayList<>();
        double ownP95;
        int ownCount;
        int ownFailures;
        double respTime;
        double serving = 1;
        double share;
        boolean inSet;
        double queue;
        long queueAt;
        double probeTrip;
        boolean probing;
        long answeredAt;
        int unanswered;
        long sentAt;
        long usedAt;
        double recent;
        long unansweredSince;
        boolean down;
        long coldSince;
        long coldSpan;
        double coldCredit;
        double idle = 1;  // times its part while cold, as the list tells it idle
        long creditAt;
        int delivered;
        long overtook;  // what was sent before this was overtaken by an answer: lost
        double least = Double.MAX_VALUE;
        int leastOf;
        double wait;
        long waitAt;

        Server(int kept) {
            sampleAt = new long[kept];
            sample = new double[kept];
        }

        Memory.KnownHost memory(long now) {
            int kept = Math.min(samples, sample.length);
            long[] ages = new long[kept];
            double[] values = new double[kept];
            for (int i = 0; i < kept; i++) {
                ages[i] = now - sampleAt[(samples - 1 - i) % sample.length];
                values[i] = sample[(samples - 1 - i) % sample.length];
            }
            return new Memory.KnownHost(host.address(), host.born(), ages, values,
                    new Memory.Standing(share, inSet, probeTrip, recent, age(now, answeredAt), down),
                    new Memory.Queue(queue, age(now, queueAt), wait, age(now, waitAt)),
                    new Memory.Warming(age(now, coldSince), coldSpan, coldCredit, age(now, creditAt), idle));
        }

        /** What held at that moment. */
        void recall(long then, Memory.KnownHost earlier) {
            samples = Math.min(earlier.samples().length, sample.length);
            for (int i = 0; i < samples; i++) {
                sampleAt[samples - 1 - i] = then - earlier.sampleAges()[i];
                sample[samples - 1 - i] = earlier.samples()[i];
            }
            share = earlier.standing().share();
            inSet = earlier.standing().inSet();
            probeTrip = earlier.standing().probeTrip();
            recent = earlier.standing().recent();
            answeredAt = at(then, earlier.standing().answered());
            down = earlier.standing().down();
            queue = earlier.queue().told();
            queueAt = at(then, earlier.queue().toldAge());
            wait = earlier.queue().waiting();
            waitAt = at(then, earlier.queue().waitAge());
            coldSince = at(then, earlier.warming().since());
            coldSpan = earlier.warming().span();
            coldCredit = earlier.warming().credit();
            creditAt = at(then, earlier.warming().creditAge());
            idle = earlier.warming().idle();
        }
    }

    static final class Attempt {
        final Server server;
        final int cls;
        final long sentAt;
        boolean out = true;
        long idle;  // of the connection it was sent on, 0 for a new one or one not known
        boolean neverRan;
        boolean streaming;  // its age is not the host's doing

        Attempt(Server server, int cls, long sentAt) {
            this.server = server;
            this.cls = cls;
            this.sentAt = sentAt;
        }
    }

    static final class Held {
        final long id;
        final Balancer.RequestClass type;
        final int cls;
        final long key;
        final boolean keyed;
        final long since;
        final long ends;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean streaming;
        boolean within;  // its tenant's share

        Held(Balancer.Request request, Balancer.RequestClass type, int cls, long key, long now) {
            id = request.id();
            this.type = type;
            this.cls = cls;
            this.key = key;
            keyed = request.key() != null;
            since = now;
            ends = now + request.left();
        }
    }

    /** Where a key was served last. */
    record Session(Server server, long at) { }
}
