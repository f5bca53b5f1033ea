package mastdrift;

import java.util.ArrayList;
import java.util.List;

/** The state of one gateway's balancer: plain data. All decisions are in {@link HeadroomBalancer}. Times are in
    microseconds. */
final class BalancerState {

    private BalancerState() { }

    /** Statistics over all servers of one host model. */
    static final class Pool {
        /** Sum of the servers' own p95, each times its number of samples. */
        double latency;
        double samples;
        /** Answers since the last refresh from warm servers. */
        double delivered;
        double warm;
        /** Moving average of what one warm server answers in a second. */
        double rate;
        /** Moving average of the reported utilization, 0 to 1. */
        double cpu;
        /** Factor on the shares, where the list carries no sizes. */
        double size = 1;
        int reports;
        /** Highest weight in the list, which is that of the least loaded host. */
        double weightMost;
        /** Whether a load report came since the relative sizes were last changed. */
        boolean heard;

        /** Clears what each refresh sums up anew. */
        void clear() {
            latency = samples = delivered = warm = 0;
        }
    }

    /** One process of a host, as long as the list has it. */
    static final class Server {
        Balancer.Host host;
        Pool kind;
        /** Ring buffers of latency samples, as multiples of the class's typical latency. */
        final long[] sampleAt;
        final double[] sample;
        /** Samples taken so far, also those that were overwritten. */
        int samples;
        /** Attempts without an outcome, the earliest first. */
        final List<Attempt> out = new ArrayList<>();
        /** Of the samples that are recent enough: the 95th percentile, and how many there are. */
        double ownP95;
        int ownCount;
        int ownFailures;
        /** The estimate resp_time(s), as a multiple of the typical latency. */
        double respTime;
        /** Fraction of attempts that don't fail. */
        double serving = 1;
        /** Present share of the traffic, relative to other servers. */
        double share;
        /** Whether the server is in S*, the set whose response time is at most theta. */
        boolean inSet;
        double queue;
        long queueAt;
        /** Round trip of the last probe, as a multiple of the typical latency. */
        double probeTrip;
        boolean probing;
        long answeredAt;
        /** Attempts sent since the last answer, without those that stream, and when the first was sent. */
        int unanswered;
        long sentAt;
        long usedAt;
        /** Attempts sent lately; decays with each refresh. */
        double recent;
        long unansweredSince;
        boolean down;
        /** When the host started, while it is cold; 0 for a warm one. */
        long coldSince;
        long coldSpan;
        /** Attempts that may be sent while the host is cold. */
        double coldCredit;
        /** Factor on the cold rate; above 1 where lists showed the cold host idle. */
        double idle = 1;
        long creditAt;
        /** Answers since the last refresh. */
        int delivered;
        /** Latest send time of an answered attempt; what was sent earlier and is in flight may be lost. */
        long overtook;
        /** Shortest answer since the queue wait was last set, and the number of answers compared. */
        double least = Double.MAX_VALUE;
        int leastOf;
        /** Estimated time in the server's queue, and when it was estimated. */
        double wait;
        long waitAt;

        Server(int kept) {
            sampleAt = new long[kept];
            sample = new double[kept];
        }
    }

    /** One attempt of a request at a server. */
    static final class Attempt {
        final Server server;
        final int cls;
        final long sentAt;
        /** Whether its outcome is still awaited. */
        boolean out = true;
        /** How long its connection had been idle; 0 for a new connection or where that is unknown. */
        long idle;
        /** Whether its outcome proves that it had no effect. */
        boolean neverRan;
        /** Whether its request or answer is streamed, so that its age says nothing about the host. */
        boolean streaming;

        Attempt(Server server, int cls, long sentAt) {
            this.server = server;
            this.cls = cls;
            this.sentAt = sentAt;
        }
    }

    /** A request that is owed a final answer. */
    static final class Held {
        final long id;
        final Balancer.RequestClass type;
        final int cls;
        /** The client's key, or a random one. */
        final long key;
        final boolean keyed;
        final long since;
        final long ends;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean streaming;
        /** Whether it is within its tenant's quota; false without a tenant. */
        boolean within;

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

    /** The server that requests of one key were last sent to. */
    record Session(Server server, long at) { }
}
