package mastdrift;

import java.util.List;

/**
 * The decision module of a gateway: the gateway reports events by the methods below, and the module answers with
 * {@link Actions}. It decides where requests are sent, and which of them are refused or retried.
 *
 * <p>Units: all times and time spans are microseconds on the gateway's own clock, which must not run backwards. The
 * caller owns the clock and passes {@code now} with each event.
 *
 * <p>Threading: one instance for each gateway, driven by one thread. Actions are called within the event that causes
 * them. Instances share nothing.
 *
 * <p>Order: the caller calls {@link #start} first and delivers a host list at the same time, then every event as it
 * happens, exactly one {@link #attemptEnded} for each send, and each timer once, at or after the time that was asked
 * for. Outcomes and departures of requests that have ended already are allowed and ignored.
 */
public interface Balancer {

    /** Whether requests of a class may be repeated. */
    enum Idempotency {
        /** May run any number of times. */
        SAFE,
        /** Carries a key by which the hosts of a {@link DedupScope} drop repeats for the deduplication window. */
        KEYED,
        /** Must not run more than once. */
        UNSAFE
    }

    /** The hosts that drop repeats of each other's keyed requests: all, those of a zone, or those of a cell. */
    enum DedupScope { ALL, ZONE, CELL }

    /** A host's state in the list; only hosts that are in service get new requests. */
    enum HostState { IN_SERVICE, TERMINATING, TERMINATED }

    /** Contents of a list update: changed hosts, all hosts, all hosts from a cache of unknown age, or none, as the list
        request or the watch failed. */
    enum ListUpdateType { DELTA, FULL, CACHED, FAILED }

    /** How an attempt or a probe ended. */
    enum Outcome {
        DELIVERED(false), ERROR(false), SHED(true), EXPIRED(false), DIAL_FAILED(true), DROPPED(false),
        REVOKED(false), UNUSED(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether this outcome proves that the attempt had no effect. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /** Meaning of the weights in the list: none, registered size, approximate size, or size divided by present load. */
    enum WeightMode { OFF, NOMINAL, ROUGH, LIVE }

    /** Where hosts send load reports: with outcomes and probes, with probes only, or nowhere. */
    enum LoadReportMode { INLINE, ON_PROBE, OFF }

    /** A class of requests. An answer within {@code latencyTarget} earns {@code value}, a later one that part of it
        which {@code lateValueFraction} tells. The target grows by {@code targetWorkFactor} times the request's own
        work. {@code deadline} counts from a request's arrival. {@code dedupScope} and {@code dedupWindow} apply to
        KEYED only. */
    record RequestClass(String name, long latencyTarget, double targetWorkFactor, long deadline, double value,
            double lateValueFraction, Idempotency idempotency, DedupScope dedupScope, long dedupWindow,
            boolean streaming) { }

    /** A tenant, its fraction of the service, and its quota in requests per second over all gateways. */
    record Tenant(String name, double fraction, double quotaPerSecond) { }

    /** What the gateway and its site allow; {@code maxRetryAfter} is 0 where clients get no Retry-After. */
    record Limits(boolean mayCancel, boolean mayProbe, boolean mayHedge, boolean mayMessagePeers, int maxAttempts,
            int maxOpenRequests, boolean sendsRetryAfter, long maxRetryAfter) { }

    /** Connections to hosts: time allowed to open one, idle time after which it is closed, attempts that one carries
        at the same time. */
    record ConnectionSettings(long dialTimeout, long idleTimeout, int streamsPerConnection) { }

    /** CPU time that this instance may use in a second; the mean time per request is 0 where it isn't limited. */
    record CpuBudget(long timePerSecond, double timePerRequest) { }

    /** Parameters of the guarantees that the gateway gives. {@code drainGrace} is the time in which sends to a draining
        host must end, and {@code listRequestDeadline} is 0 where the registry pushes. A host that starts has
        {@code coldCapacityFraction} of its capacity, and all of it after {@code warmUpTime}; in any
        {@code overloadWindow} it must not get more than {@code overloadMultiple} times what it can serve. */
    record Guarantees(long answerSlack, long drainGrace, long listRequestDeadline, double coldCapacityFraction,
            long warmUpTime, double overloadMultiple, long overloadWindow) { }

    /** Weights of the parts of the score. */
    record ScoreWeights(double overall, double worstWindow, double worstClass, double worstTenant) { }

    /** What is subtracted from the score, each for a full unit; 0 for what costs nothing. */
    record Penalties(double crossZone, double wastedWork, double connection, double handshake, double origin,
            double probe, double peerMessage, double lateFailure, double moves, double registryMode, double fleet) { }

    /** How served requests are valued: {@code overQuotaValueFraction} is the part of the value that a request over its
        tenant's quota earns; {@code valueByWork} weighs requests by their work. */
    record Scoring(ScoreWeights weights, Penalties penalties, double overQuotaValueFraction, boolean valueByWork) { }

    /** This instance's place: its index among the gateways and their number, its zone and all zones, the host models,
        and the tiers with the index of the one that it sends to. */
    record Topology(int instanceIndex, int gatewayCount, String zone, List<String> zones, List<String> hostModels,
            int tierIndex, List<String> tiers) { }

    /** What hosts and clients do: whether hosts serve a recent key with less work and pass deadlines on, which load
        reports they send, and whether clients mark their repeats. */
    record Capabilities(boolean hostsCacheKeys, boolean hostsPropagateDeadlines, LoadReportMode loadReportMode,
            List<String> loadReportFields, boolean clientsMarkRetries) { }

    /** All settings of one instance; {@code clockResolution} is the shortest time between two different times, and
        {@code seed} seeds all random choices. */
    record Settings(List<RequestClass> classes, List<Tenant> tenants, Limits limits, ConnectionSettings connections,
            CpuBudget cpu, Guarantees guarantees, Scoring scoring, Topology topology, Capabilities capabilities,
            boolean listOnRequest, WeightMode weightMode, String serviceType, long clockResolution, long seed) { }

    /** One entry of the host list; {@code startedAt} is the start of its process, 0 for long ago. */
    record Host(String address, String zone, int cell, String model, double weight, HostState state,
            long startedAt) { }

    /** A client's request.
     *
     * @param id unique among the requests of this instance
     * @param className name of a {@link RequestClass} of the settings
     * @param tenant name of its tenant, or null
     * @param key of the object that it reads or writes, or null; a host that served it lately may have it cached
     * @param left time until the client gives up this try
     * @param work expected work, 0 where the client gave no hint
     * @param repeated whether the client marked it as a repeat
     * @param write whether it changes something
     */
    record Request(long id, String className, String tenant, Long key, long left, long work, boolean repeated,
            boolean write) {
        /** A first try without a hint of its work. */
        public Request(long id, String className, String tenant, Long key, long left) {
            this(id, className, tenant, key, left, 0, false, false);
        }
    }

    /** A host's report of its own load; NaN for each value that it doesn't give. */
    record LoadReport(double activeRequests, double queuedRequests, double cpuUtilization, double averageServiceMillis,
            double requestsPerSecond, double errorsPerSecond) { }

    /** What the module asks of its gateway. */
    interface Actions {
        /** Sends a request to a host, to be answered within {@code timeout} microseconds. The attempts of a request are
            numbered from 0 in the order of these calls. */
        void send(long id, String address, long timeout);

        /** Stops waiting for one attempt. */
        void cancel(long id, int attempt);

        /** Final answer: refused, and a new try does no harm. A Retry-After of {@code retryAfter} is sent along unless
            that is 0. */
        void refuse(long id, long retryAfter);

        /** Final answer: failed; whether the request had an effect is unknown. */
        void fail(long id);

        /** Asks for {@link Balancer#timerFired} with this handle at or after a time. */
        void scheduleTimer(long at, String handle);

        /** Sends a health check to a host; answered by {@link Balancer#probeEnded}. */
        void probe(String address);

        /** Starts or ends a watch of the host list; answered by {@link Balancer#hostListReceived}. */
        void watchHostList(boolean active);

        /** Requests the whole host list once; answered by {@link Balancer#hostListReceived}. */
        void fetchHostList();

        /** Closes this gateway's idle connections to a host. */
        void closeIdleConnections(String address);

        /** Sends up to 256 bytes to the gateway with this index, or to all for a number below 0. */
        void sendToPeer(int peer, byte[] message);

        /** Writes a line to the operator's log. */
        void log(String line);
    }

    /** Starts the instance.
     *
     * @throws IllegalArgumentException for settings that it can't run with
     */
    void start(long now, Settings settings, Actions actions);

    /** The host list or changes of it have come, or could not be had: FAILED carries no hosts. */
    void hostListReceived(long now, ListUpdateType updateType, List<Host> hosts);

    /** A client's request has come in. It is owed exactly one final answer: that of an attempt, or a call of
        {@link Actions#refuse} or {@link Actions#fail}. */
    void requestReceived(long now, Request request);

    /** An attempt's answer has begun to stream, or its request, too long to be buffered, has begun to go out in pieces:
        no other attempt can follow, and the attempt's age says nothing about the host. May be called twice. */
    void streamingStarted(long now, long id, int attempt);

    /** An attempt's answer has begun and then paused for a while, and none of it has been passed on. Called again for
        each further pause. Returns whether to give the attempt up, which then ends as DROPPED. */
    default boolean responseStalled(long now, long id, int attempt) {
        return false;
    }

    /** An attempt has ended.
     *
     * @param attempt number of the attempt, as counted by {@link Actions#send}
     * @param elapsed time since the send; for a streaming attempt, from the request's last byte to the answer's first
     * @param requestEnded whether the request has ended, by this outcome or earlier
     * @param report the host's load report, all NaN where there is none
     */
    void attemptEnded(long now, long id, int attempt, String address, Outcome outcome, long elapsed,
            boolean requestEnded, LoadReport report);

    /** Whether an attempt whose connection has been opened only now may still be written. The client may have left
        since the send, the deadline or the deduplication window may have passed, or the host may be draining. Changes
        no state; an attempt that isn't written is reported as UNUSED. */
    default boolean mayWrite(long now, long id, int attempt) {
        return true;
    }

    /** The client has left: the request needs no answer any more. */
    void clientLeft(long now, long id);

    /** A probe has ended; {@code elapsed} is the time since {@link Actions#probe}. */
    void probeEnded(long now, String address, Outcome outcome, long elapsed, LoadReport report);

    /** A message from the gateway with index {@code peer}; ignored by default. */
    default void peerMessageReceived(long now, int peer, byte[] message) { }

    /** A timer of {@link Actions#scheduleTimer} is due. */
    void timerFired(long now, String handle);

    /** Number of listed hosts that get no new requests at present. Changes no decision. */
    int excludedHostCount(long now);
}
