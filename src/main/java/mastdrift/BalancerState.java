package mastdrift;

import java.util.ArrayList;
import java.util.List;

/** The state of one gateway's balancer: plain data. All decisions are in {@link HeadroomBalancer}. Times are in
    microseconds. */
final class BalancerState {

    private BalancerState() { }

    /** Statistics over all servers of one host model. */
    static final class ModelStats {
        /** Sum of the servers' own p95, each times its number of samples. */
        double weightedP95Sum;
        double sampleCount;
        /** Answers since the last refresh from warm servers. */
        double deliveredCount;
        double warmServers;
        /** Moving average of what one warm server answers in a second. */
        double deliveredPerSecond;
        /** Moving average of the reported utilization, 0 to 1. */
        double cpuUtilization;
        /** Factor on the shares, where the list carries no sizes. */
        double relativeSize = 1;
        int reportCount;
        /** Highest weight in the list, which is that of the least loaded host. */
        double maxWeight;
        /** Whether a load report came since the relative sizes were last changed. */
        boolean reportedSinceResize;

        /** Clears what each refresh sums up anew. */
        void resetSums() {
            weightedP95Sum = sampleCount = deliveredCount = warmServers = 0;
        }
    }

    /** One process of a host, as long as the list has it. */
    static final class Server {
        Balancer.Host host;
        ModelStats modelStats;
        /** Ring buffers of latency samples, as multiples of the class's typical latency. */
        final long[] sampleTimes;
        final double[] sampleValues;
        /** Samples taken so far, also those that were overwritten. */
        int sampleCount;
        /** Attempts without an outcome, the earliest first. */
        final List<Attempt> inFlight = new ArrayList<>();
        /** 95th percentile of the recent samples, the number of them, and the number of recent failures. */
        double ownP95;
        int ownSampleCount;
        int ownFailureCount;
        /** The estimate resp_time(s), as a multiple of the typical latency. */
        double responseTime;
        /** Fraction of attempts that don't fail. */
        double successFraction = 1;
        /** Present share of the traffic, relative to other servers. */
        double share;
        /** Whether the server is in S*: in service, not down, and with a response time below theta. */
        boolean eligible;
        double reportedQueue;
        long queueReportedAt;
        /** Round trip of the last probe, as a multiple of the typical latency. */
        double probeRoundTrip;
        boolean probePending;
        long lastAnswerAt;
        /** Attempts sent since the last answer, without those that stream. */
        int unansweredSends;
        long lastSendAt;
        long lastDeliveryAt;
        /** Attempts sent lately; decays with each refresh. */
        double recentSends;
        /** When the first of the unanswered attempts was sent. */
        long unansweredSince;
        boolean down;
        /** When the host started, while it is cold; 0 for a warm one. */
        long coldSince;
        long coldDuration;
        /** Attempts that may be sent while the host is cold. */
        double coldBudget;
        /** Factor on the cold rate; above 1 where lists showed the cold host idle. */
        double coldRateFactor = 1;
        long coldBudgetUpdatedAt;
        /** Answers since the last refresh. */
        int deliveredCount;
        /** An attempt in flight that was sent before this was overtaken by an answer and counts as lost: the latest
            send time of an answered attempt less its elapsed time. */
        long overtakenSentAt;
        /** Shortest answer since the queue wait was last set, and the number of answers compared. */
        double shortestAnswer = Double.MAX_VALUE;
        int answersCompared;
        /** Estimated time in the server's queue, and when it was estimated. */
        double queueWait;
        long queueWaitAt;

        Server(int sampleCapacity) {
            sampleTimes = new long[sampleCapacity];
            sampleValues = new double[sampleCapacity];
        }
    }

    /** One attempt of a request at a server. */
    static final class Attempt {
        final Server server;
        final int classIndex;
        final long sentAt;
        /** Whether its outcome is still awaited. */
        boolean pending = true;
        /** How long its connection had been idle; 0 for a new connection or where that is unknown. */
        long connectionIdleTime;
        /** Whether its outcome proves that it had no effect. */
        boolean neverRan;
        /** Whether its request is streamed or its answer has begun to come in pieces, so that its age says nothing about
            the host. */
        boolean streaming;

        Attempt(Server server, int classIndex, long sentAt) {
            this.server = server;
            this.classIndex = classIndex;
            this.sentAt = sentAt;
        }
    }

    /** A request that is owed a final answer. */
    static final class OpenRequest {
        final long id;
        final Balancer.RequestClass requestClass;
        final int classIndex;
        /** The client's key, or a random one. */
        final long key;
        final boolean hasKey;
        final long arrivedAt;
        final long expiresAt;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean streaming;
        /** Whether it is within its tenant's quota; false without a tenant. */
        boolean withinQuota;

        OpenRequest(Balancer.Request request, Balancer.RequestClass requestClass, int classIndex, long key, long now) {
            id = request.id();
            this.requestClass = requestClass;
            this.classIndex = classIndex;
            this.key = key;
            hasKey = request.key() != null;
            arrivedAt = now;
            expiresAt = now + request.left();
        }
    }

    /** Token bucket for a tenant's quota at this gateway. Only admitted requests take a token: clients whose
        requests are refused try again, and these tries must not use up the quota of a quiet tenant. */
    static final class TenantQuota {
        /** Requests that a tenant may save up, however small its quota. */
        private static final double MIN_BURST_REQUESTS = 6;
        private final double requestsPerSecond;
        double tokens;
        private long refilledAt;

        TenantQuota(double requestsPerSecond, long now) {
            this.requestsPerSecond = requestsPerSecond;
            tokens = Math.max(requestsPerSecond, MIN_BURST_REQUESTS);
            refilledAt = now;
        }

        /** Adds the tokens earned since the last call; returns whether a request is within the quota. */
        boolean refillAndCheck(long now) {
            tokens = Math.min(Math.max(requestsPerSecond, MIN_BURST_REQUESTS),
                    tokens + requestsPerSecond * (now - refilledAt) / 1e6);
            refilledAt = now;
            return tokens >= 1;
        }
    }

    /** The server that requests of one key were last sent to. */
    record Session(Server server, long lastUsedAt) { }
}
