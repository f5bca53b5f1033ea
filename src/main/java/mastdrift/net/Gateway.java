package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import mastdrift.Balancer;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.LoadReportMode;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Settings;

/** Connects a {@link Balancer} to the network: supplies its clock and timers, tracks open requests and their attempts,
    and sees to it that each request gets exactly one final response. Used on the event loop's thread alone. */
final class Gateway implements Balancer.Actions {

    // A client's deadline counts from its send, and the response still has to reach it: this much of the time is
    // reserved.
    private static final long RESPONSE_MARGIN_MICROS = 5_000;
    // A request that the balancer has left open for this long after its deadline is failed by the gateway.
    private static final long DEADLINE_GRACE_MICROS = 2_000;
    // Hosts answer probes ahead of their request queue, so a probe without a response by then has failed.
    private static final long PROBE_TIMEOUT_MICROS = 250_000;
    // Half a second after its deadline a response is lost; the platform may suspend the process for 0.15 s of it.
    private static final long STREAMED_LATENESS_MICROS = 250_000;
    private static final long COUNTS_LOG_INTERVAL_MICROS = 5_000_000;
    private static final long GAUGE_UPDATE_INTERVAL_MICROS = 200_000;  // metrics may lag by half a second
    private static final String[] FORWARDED_HEADERS = {"X-Trace-Id", "Idempotency-Key"};

    // Before an attempt, a client's connection is read again if the last check is older than this: the client may have
    // disconnected while the event loop was delayed, or the loop may handle a host's event ahead of the client's.
    static final long CLIENT_CHECK_INTERVAL_MICROS = 50_000;

    /** What is known of a client's connection. UNKNOWN: the client has sent more than may be held, behind which it may
        have disconnected. */
    enum ConnectionState { CONNECTED, DISCONNECTED, UNKNOWN }

    /** The client of a request, which receives exactly one final response. */
    interface Client {
        /** Reads what has arrived on the connection, and tells whether the client is connected. */
        ConnectionState checkConnection();

        /** The last time, on the gateway's clock, at which the client was known to be connected. */
        long connectedAsOf();

        /** Whether input may be left that has not been read: the client may have sent it, and disconnected, long ago if
            the process was suspended. */
        default boolean mayHaveUnreadInput() {
            return false;
        }

        /** The earliest time, on the gateway's clock, at which the last byte of the current request may have been sent,
            which has a long body. While that has not been read, it may wait in buffers of the system. */
        long requestSentAt();

        /** Sends a host's complete response, which the caller releases. */
        void sendResponse(FullHttpResponse response);

        /** Sends the start of a host's response, which the caller releases, and then the rest of its body from the
            relay. {@code onWritten} is told whether all of it was written, unless the client disconnects before. */
        void startStreaming(FullHttpResponse response, BodyRelay bodyRelay, Consumer<Boolean> onWritten);

        /** Sends a refusal that asks the client to retry after so many microseconds. */
        void sendRefusal(long retryAfter);

        /** Sends a failure: a timeout if {@code late}, and otherwise a bad gateway. */
        void sendFailure(boolean late);
    }

    /** An accepted request, kept until both the request and all its attempts have ended. */
    final class Exchange {
        private final long id = nextRequestId++;
        private final Client client;
        private final String className;
        private final FullHttpRequest request;
        private final String traceId;
        private final BodyRelay bodyRelay;  // the rest of the body, null if the request is complete
        private final RequestMemory memory;
        private final long timeBudget;  // from the last byte of the request, in microseconds
        private long clientCheckedAt;  // the client was known to be connected at that time
        private boolean inputUnread;  // more of the client's input may have arrived before the request was read
        private final List<HostConnectionPool.Attempt> attempts = new ArrayList<>(2);
        private Future<?> deadlineTimer;
        private long deadline;  // on the gateway's clock
        private boolean bodyIncomplete;  // a part of the body has not arrived
        private boolean requestStreaming;  // the body is being sent to a host and is not kept for a retry
        private boolean responseStreaming;  // the response has started to go out to the client
        private int streamingAttempt;  // the attempt whose response that is
        private int unresolvedAttempts;  // attempts whose outcome has not been reported to the balancer
        private boolean lastAttemptExpired;
        private boolean ended;

        private Exchange(Client client, String className, FullHttpRequest request, BodyRelay bodyRelay,
                RequestMemory memory, long timeBudget) {
            this.client = client;
            this.className = className;
            this.request = request;
            traceId = request.headers().get("X-Trace-Id");
            this.bodyRelay = bodyRelay;
            this.memory = memory;
            this.timeBudget = timeBudget;
            bodyIncomplete = bodyRelay != null;
            clientCheckedAt = client.connectedAsOf();
            inputUnread = client.mayHaveUnreadInput();
        }

        private void startDeadline() {
            deadline = (bodyRelay == null ? now() : client.requestSentAt()) + timeBudget;
            scheduleDeadlineTimer();
        }

        /** The deadline of a request whose body is passed on while it arrives: where it is not known when its last byte
            was sent, the response is late at the most, and not lost. */
        private long streamedDeadline() {
            return Math.min(now(), client.requestSentAt() + STREAMED_LATENESS_MICROS) + timeBudget;
        }

        /** When the request has to be answered. While its body is passed on, its client may not have sent the end. */
        private long answerDue() {
            long due = requestStreaming && bodyIncomplete ? streamedDeadline() : deadline;
            return Math.min(due, answerDeadline - RESPONSE_MARGIN_MICROS);
        }

        private void scheduleDeadlineTimer() {
            deadlineTimer = loop.schedule(() -> deadlineReached(this), answerDue() + DEADLINE_GRACE_MICROS - now(),
                    TimeUnit.MICROSECONDS);
        }

        /** Applies another deadline. The timer stays off while the response is being passed on. */
        private void rescheduleDeadlineTimer() {
            if (!deadlineTimer.isDone()) {
                deadlineTimer.cancel(false);
                scheduleDeadlineTimer();
            }
        }

        /** Whether the body is being sent to a host, so that no other attempt can be made. */
        boolean isRequestStreaming() {
            return requestStreaming;
        }

        /** Whether a host may have received the request, and run it even now. */
        boolean mayStillRun() {
            return attempts.stream().anyMatch(HostConnectionPool.Attempt::isWriteStarted);
        }

        /** Whether the request ends with this attempt, if it has not ended before. */
        private boolean endsWith(int attempt) {
            return ended || responseStreaming && attempt == streamingAttempt;
        }

        /** The body has arrived, or the request has ended before: it counts as in flight, or no longer at all. */
        private void bodyComplete() {
            if (bodyIncomplete) {
                bodyIncomplete = false;
                incompleteRequests--;
                updateInFlight();
            }
        }

        /** The client has disconnected and needs no response. */
        void clientLeft() {
            if (!ended) {
                metrics.increment(GatewayMetrics.Counter.DEPARTED);
                finish(this);
                if (bodyRelay != null || responseStreaming) {  // a streamed body has lost its source or its destination
                    attempts.forEach(HostConnectionPool.Attempt::cancel);
                }
                dispatch(null, now -> balancer.clientLeft(now, id));
            }
        }
    }

    private final EventLoop loop;
    private final Balancer balancer;
    private final Consumer<String> logOutput;
    private final HostConnectionPool hostPool;
    private final DiscoveryClient discovery;
    private final Settings settings;
    private final GatewayMetrics metrics;
    private final EventLog log;
    private final LoopMonitor loopMonitor;
    private final MessageMemory memory;
    private final ProcessMemory processMemory = new ProcessMemory();
    private final int maxOpenRequests;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final Queue<Runnable> pendingEvents = new ArrayDeque<>();
    private final CompletableFuture<Void> firstListReceived = new CompletableFuture<>();
    private boolean dispatching;
    private long nextRequestId = 1;
    private long answerDeadline = Long.MAX_VALUE;  // for all requests, set when the process is about to end
    private int openRequests;
    private int incompleteRequests;  // of the open requests, those whose body has not arrived yet
    private final LongSupplier nanoTime;
    private final long clockOffset;
    private final HostStartTimes hostStarts;

    /** Starts the balancer; must be called on the loop's thread. {@code nanoTime} counts from an arbitrary origin.
        {@code logOutput} receives log lines and must not block. */
    Gateway(Config config, EventLoop loop, LongSupplier nanoTime, Balancer balancer, GatewayMetrics metrics,
            int maxHostConnections, int maxOpenRequests, Consumer<String> logOutput) {
        this.loop = loop;
        this.nanoTime = nanoTime;
        clockOffset = System.currentTimeMillis() * 1000 - nanoTime.getAsLong() / 1000;
        this.metrics = metrics;
        this.balancer = balancer;
        memory = new MessageMemory(config.memoryMegabytes(), config.socketInherited(), maxHostConnections);
        this.logOutput = logOutput;
        log = new EventLog(this::now, this::log);
        ThreadTimes times = new ThreadTimes();
        loop.parent().terminationFuture().addListener(ended -> {
            times.close();
            processMemory.close();
        });
        loopMonitor = new LoopMonitor(this::now, times::read, metrics, log);
        hostStarts = new HostStartTimes(this::now, () -> System.currentTimeMillis() * 1000,
                () -> log.add(EventLog.Event.CLOCK_STEPPED, "unix_ms", System.currentTimeMillis(), "steady_ms",
                now() / 1000));
        settings = config.settings();
        this.maxOpenRequests = Math.min(maxOpenRequests, settings.limits().maxOpenRequests());
        hostPool = new HostConnectionPool(loop, this::now, loopMonitor, settings.connections().dialTimeout(),
                settings.connections().idleTimeout(),
                settings.guarantees().drainGrace(), maxHostConnections, memory.responses, metrics, log);
        discovery = new DiscoveryClient(loop, config.discoveryAddress(), config.initialHosts().revision(),
                list -> hostListReceived(list, list.full() ? ListUpdateType.FULL : ListUpdateType.DELTA),
                this::hostListFailed);
        PeriodicTask.schedule(loop, COUNTS_LOG_INTERVAL_MICROS, this::logCounts, this::log);
        balancer.start(now(), settings, this);
        hostListReceived(config.initialHosts(), ListUpdateType.CACHED);
        if (settings.listOnRequest()) {
            firstListReceived.complete(null);
        } else {
            discovery.watch(true);
        }
    }

    /** Completes with the first list from discovery, or with its first failure. Where lists are pushed, the rules count
        a list as known from the start of the process on, so that no client should be served by the configured, older
        list. */
    CompletableFuture<Void> firstListReceived() {
        return firstListReceived;
    }

    /** Microseconds since the Unix epoch as of the start, and steady from then on: clock changes do not affect it.
        Hosts' start times are given in Unix time. */
    long now() {
        return clockOffset + nanoTime.getAsLong() / 1000;
    }

    /** The log of unusual events, to which the client connections add theirs. */
    EventLog eventLog() {
        return log;
    }

    /** What is held for the messages of all connections. */
    MessageMemory memory() {
        return memory;
    }

    /** Notes how much memory is held, and how much the process has. */
    void recordMemory() {
        memory.sample();
        metrics.recordPeak(GatewayMetrics.Peak.HELD_KIB, memory.usedKibibytes());
        processMemory.recordPeaks(metrics);
    }

    /** Measures how long the event loop's tasks take. */
    LoopMonitor loopMonitor() {
        return loopMonitor;
    }

    /** The counters for log and metrics, to which the client connections add theirs. */
    GatewayMetrics metrics() {
        return metrics;
    }

    /** Starts to update those metrics that are polled from the balancer rather than counted. */
    void startGaugeUpdates() {
        PeriodicTask.schedule(loop, GAUGE_UPDATE_INTERVAL_MICROS,
                () -> metrics.setGauge(GatewayMetrics.Gauge.HOSTS_EXCLUDED, balancer.excludedHostCount(now())), this::log);
    }

    /** Whether all requests and their attempts have ended and no resources are held for them. */
    boolean isIdle() {
        return openRequests == 0 && incompleteRequests == 0 && exchanges.isEmpty() && hostPool.busyConnectionCount() == 0;
    }

    private void logCounts() {
        String line = metrics.logLine();
        if (!line.isEmpty()) {
            log(line);
        }
    }

    /** Sets the time, on the gateway's clock, by which all open and future requests are answered, since the process is
        about to end. Bodies that are being streamed may take longer. */
    void setAnswerDeadline(long deadline) {
        answerDeadline = deadline;
        exchanges.values().stream().filter(exchange -> !exchange.ended).forEach(Exchange::rescheduleDeadlineTimer);
    }

    /** Reduces idle connections to hosts: a successor process serves new requests from now on. */
    void retire() {
        hostPool.retire();
    }

    /** Moves discovery to another address. */
    void setDiscoveryAddress(InetSocketAddress address) {
        log("discovery at " + NetUtil.toSocketAddressString(address));
        discovery.setAddress(address);
    }

    // ---- events: dispatched one after the other, never nested

    /** Passes an event to the balancer with the time, at once or after the current event. An exception in it fails the
        exchange, if one is given. */
    private void dispatch(Exchange exchange, LongConsumer event) {
        if (!loop.inEventLoop()) {
            metrics.increment(GatewayMetrics.Counter.OFF_LOOP);
            log.add(EventLog.Event.OFF_LOOP, "thread", Thread.currentThread().getName());
        }
        pendingEvents.add(() -> {
            try {
                event.accept(now());
            } catch (RuntimeException | Error fault) {  // an out-of-memory error may concern one request alone
                log("fault in an event: " + fault + Arrays.stream(fault.getStackTrace()).limit(1).toList());
                if (exchange != null && !exchange.ended) {
                    finish(exchange);
                    metrics.increment(exchange.className, GatewayMetrics.RequestOutcome.FAILED);
                    exchange.client.sendFailure(false);
                    dispatch(null, now -> balancer.clientLeft(now, exchange.id));
                }
            }
        });
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            for (Runnable next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                next.run();
            }
        } finally {
            dispatching = false;  // otherwise no further event would be dispatched
        }
    }

    private void hostListReceived(HostList received, ListUpdateType type) {
        long startedAt = loopMonitor.taskStarted();
        HostList list = received.withStartTimes(hostStarts::toLocalClock);
        if (type != ListUpdateType.CACHED) {
            hostStarts.listReceived();
        }
        hostPool.update(list);
        metrics.setGauge(GatewayMetrics.Gauge.HOSTS_KNOWN, hostPool.knownHostCount());
        log("list " + list.revision() + ": " + list.entries().size() + (list.full() ? " hosts" : " changes"));
        dispatch(null, now -> balancer.hostListReceived(now, type,
                list.entries().stream().map(HostList.Entry::host).toList()));
        loopMonitor.taskEnded(LoopMonitor.Task.HOST_LIST, startedAt);
        if (type != ListUpdateType.CACHED) {
            firstListReceived.complete(null);
        }
    }

    private void hostListFailed(String cause) {
        log("discovery failed: " + cause);
        dispatch(null, now -> balancer.hostListReceived(now, ListUpdateType.FAILED, List.of()));
        firstListReceived.complete(null);
    }

    private void updateInFlight() {
        metrics.setGauge(GatewayMetrics.Gauge.IN_FLIGHT, openRequests - incompleteRequests);
    }

    /** Accepts a request, retaining its message, and its memory for as long as an attempt is writing it.
        {@code timeLeft} counts from the request's last byte; {@code bodyRelay} is null if the request is complete. Returns
        null if the request was answered at once. */
    Exchange submit(Client client, FullHttpRequest request, BodyRelay bodyRelay, RequestMemory memory, String className,
            String tenant, Long key, long timeLeft, boolean repeated, long work) {
        metrics.increment(GatewayMetrics.Counter.TAKEN);
        if (openRequests >= maxOpenRequests) {
            metrics.increment(GatewayMetrics.Counter.REFUSED_AT_BOUND);
            metrics.increment(className, GatewayMetrics.RequestOutcome.REFUSED);
            client.sendRefusal(settings.limits().maxRetryAfter());
            return null;
        }
        long timeBudget = Math.min(timeLeft, answerDeadline - now()) - RESPONSE_MARGIN_MICROS;
        if (timeBudget <= 0) {
            metrics.increment(GatewayMetrics.Counter.OVERDUE);
            metrics.increment(className, GatewayMetrics.RequestOutcome.FAILED);
            client.sendFailure(true);
            return null;
        }
        Exchange exchange = new Exchange(client, className, request.retain(), bodyRelay, memory, timeBudget);
        openRequests++;
        incompleteRequests += bodyRelay == null ? 0 : 1;
        updateInFlight();
        metrics.recordPeak(GatewayMetrics.Peak.OPEN_REQUESTS, openRequests);
        exchanges.put(exchange.id, exchange);
        exchange.startDeadline();
        boolean write = request.method().equals(HttpMethod.POST);
        dispatch(exchange, now -> balancer.requestReceived(now,
                new Balancer.Request(exchange.id, className, tenant, key, timeBudget, work, repeated, write)));
        return exchange.ended ? null : exchange;
    }

    /** Ends a request that is not answered by its deadline, unless that is later by now. */
    private void deadlineReached(Exchange exchange) {
        if (exchange.ended) {
            return;
        }
        if (now() < exchange.answerDue()) {
            exchange.scheduleDeadlineTimer();
            return;
        }
        if (exchange.requestStreaming) {  // its host takes the body too slowly
            exchange.attempts.forEach(HostConnectionPool.Attempt::expire);
        }
        deadlineExceeded(exchange);
    }

    /** Fails a request that the balancer has not answered by its deadline. */
    private void deadlineExceeded(Exchange exchange) {
        if (!exchange.ended && !exchange.responseStreaming) {
            metrics.increment(GatewayMetrics.Counter.OVERDUE);
            finish(exchange);
            recordFailure(exchange, "overdue");
            exchange.client.sendFailure(true);
            dispatch(null, now -> balancer.clientLeft(now, exchange.id));
        }
    }

    private void recordFailure(Exchange exchange, String reason) {
        metrics.increment(exchange.className, GatewayMetrics.RequestOutcome.FAILED);
        log.add(EventLog.Event.REQUEST_FAILED, "trace", exchange.traceId, "class", exchange.className, "reason", reason,
                "attempts", exchange.attempts.size(), "late_us", Math.max(0, now() - exchange.deadline));
    }

    /** Ends a request: cancels its timer and releases what is held for it. Its attempts may still be running. */
    private void finish(Exchange exchange) {
        exchange.ended = true;
        exchange.deadlineTimer.cancel(false);
        openRequests--;
        exchange.bodyComplete();
        updateInFlight();
        if (!exchange.requestStreaming) {
            exchange.request.release();
        }
        if (exchange.bodyRelay != null) {
            exchange.bodyRelay.abandon();
        }
        exchange.attempts.forEach(HostConnectionPool.Attempt::cancelIfUnsent);  // those that still wait for a connection are not needed
        removeIfDone(exchange);
    }

    private void removeIfDone(Exchange exchange) {
        if (exchange.ended && exchange.unresolvedAttempts == 0) {
            exchanges.remove(exchange.id);
        }
    }

    private void attemptEnded(Exchange exchange, int number, String hostId, long elapsed, Outcome outcome,
            FullHttpResponse response, LoadReport report) {
        exchange.lastAttemptExpired = outcome == Outcome.EXPIRED;
        metrics.increment(outcome);
        if (outcome != Outcome.DELIVERED && !exchange.ended) {
            log.add(EventLog.Event.ATTEMPT_FAILED, "trace", exchange.traceId, "attempt", number, "host", hostId,
                    "outcome", outcome, "after_us", elapsed);
        }
        if (outcome == Outcome.DELIVERED && !exchange.ended && !exchange.responseStreaming) {
            finish(exchange);
            metrics.increment(exchange.className, GatewayMetrics.RequestOutcome.SERVED);
            exchange.client.sendResponse(response);
        }
        dispatch(exchange, now -> {
            exchange.unresolvedAttempts--;
            removeIfDone(exchange);
            balancer.attemptEnded(now, exchange.id, number, hostId, outcome, elapsed,
                    exchange.endsWith(number), report);
        });
    }

    /** Streams the rest of the response to the client: from now on no other attempt can answer the request. */
    private void responseStarted(Exchange exchange, int number, FullHttpResponse response, BodyRelay bodyRelay) {
        if (exchange.ended || exchange.responseStreaming) {
            bodyRelay.abandon();
            exchange.attempts.get(number).cancel();
            return;
        }
        exchange.responseStreaming = true;
        exchange.streamingAttempt = number;
        exchange.deadlineTimer.cancel(false);
        dispatch(exchange, now -> balancer.streamingStarted(now, exchange.id, number));
        exchange.client.startStreaming(response, bodyRelay, complete -> {
            if (!exchange.ended) {
                finish(exchange);
                metrics.increment(exchange.className, complete ? GatewayMetrics.RequestOutcome.SERVED : GatewayMetrics.RequestOutcome.FAILED);
            }
        });
    }

    private LoadReport loadReport(FullHttpResponse response) {
        boolean inline = response != null && settings.capabilities().loadReportMode() == LoadReportMode.INLINE;
        return LoadReportParser.parse(inline ? response.headers().get(HostConnectionPool.LOAD_REPORT_HEADER) : null);
    }

    // ---- actions

    @Override
    public void send(long id, String hostId, long timeout) {
        Exchange exchange = exchanges.get(id);
        boolean verified = verifyClientConnected(exchange);
        int number = exchange.attempts.size();
        boolean rejected = exchange.ended || !verified || exchange.requestStreaming
                || number >= settings.limits().maxAttempts();
        FullHttpRequest request = upstreamRequest(exchange);
        // The module's time may be some milliseconds old: the attempt must end ahead of the request's deadline.
        long timeLeft = rejected ? 0 : Math.min(timeout, exchange.deadline - now());
        AttemptHandler handler = new AttemptHandler(exchange, number, hostId);
        try {
            exchange.attempts.add(hostPool.send(hostId, request, exchange.bodyRelay, timeLeft, handler));
        } catch (RuntimeException | Error fault) {  // a send that threw has no outcome
            handler.releaseRequest();
            throw fault;
        }
        exchange.unresolvedAttempts++;
    }

    /** Checks, before an attempt starts, that the client has not disconnected; otherwise ends the request. Where that
        can't be known the attempt must not start, unless more of a long body that is arriving is all that is unread. */
    private boolean verifyClientConnected(Exchange exchange) {
        long now = now();
        boolean recent = now - exchange.clientCheckedAt < CLIENT_CHECK_INTERVAL_MICROS;
        if (exchange.ended || exchange.requestStreaming || recent && !exchange.inputUnread) {
            return true;
        }
        exchange.inputUnread = false;
        switch (exchange.client.checkConnection()) {
            case CONNECTED -> exchange.clientCheckedAt = now;
            case DISCONNECTED -> exchange.clientLeft();
            case UNKNOWN -> {
                if (recent && exchange.bodyRelay != null) {
                    return true;
                }
                endUnverified(exchange);
                return false;
            }
        }
        return true;
    }

    /** Answers a request whose client may have disconnected, unless an attempt is under way that may still answer it.
        Without an attempt it is refused, as nothing of it has run. */
    private void endUnverified(Exchange exchange) {
        boolean attempted = exchange.mayStillRun();
        if (attempted && exchange.unresolvedAttempts > 0) {
            return;
        }
        metrics.increment(GatewayMetrics.Counter.CLIENTS_UNVERIFIED);
        finish(exchange);
        if (attempted) {
            recordFailure(exchange, "client_unverified");
            exchange.client.sendFailure(false);
        } else {
            metrics.increment(exchange.className, GatewayMetrics.RequestOutcome.REFUSED);
            exchange.client.sendRefusal(0);
        }
        dispatch(null, now -> balancer.clientLeft(now, exchange.id));
    }

    /** Follows one attempt. Its elapsed time is the host's share: it starts at the last byte of a request that is
        relayed, and ends at the first bytes of a response that is streamed. */
    private final class AttemptHandler implements HostConnectionPool.AttemptListener {

        private final Exchange exchange;
        private final int number;
        private final String hostId;
        private long sentAt = now();
        private long responseStartedAt;
        private LoadReport loadReport;
        private boolean holdsRequest = true;  // until it is written, or the attempt has ended

        AttemptHandler(Exchange exchange, int number, String hostId) {
            this.exchange = exchange;
            this.number = number;
            this.hostId = hostId;
            exchange.memory.retain();
        }

        private void releaseRequest() {
            if (holdsRequest) {
                holdsRequest = false;
                exchange.memory.release();
            }
        }

        @Override
        public boolean mayWrite() {
            return verifyClientConnected(exchange) && !exchange.ended && balancer.mayWrite(now(), exchange.id, number);
        }

        @Override
        public void onRequestStreaming() {
            if (!exchange.ended) {
                exchange.requestStreaming = true;
                exchange.request.release();
                if (exchange.bodyRelay.isComplete()) {
                    exchange.bodyComplete();
                }
                exchange.rescheduleDeadlineTimer();
                dispatch(exchange, now -> balancer.streamingStarted(now, exchange.id, number));
            }
        }

        @Override
        public long onRequestReceived() {
            if (!exchange.ended && exchange.bodyIncomplete) {
                exchange.deadline = exchange.streamedDeadline();
                exchange.bodyComplete();
                exchange.rescheduleDeadlineTimer();
            }
            return exchange.answerDue() - now();
        }

        @Override
        public void onRequestWritten() {
            metrics.increment(GatewayMetrics.Counter.ATTEMPTS_WRITTEN);
            releaseRequest();
            if (exchange.bodyRelay != null && !exchange.ended) {
                sentAt = now();
            }
        }

        @Override
        public boolean onResponseStalled() {
            AtomicBoolean giveUp = new AtomicBoolean(exchange.ended);
            dispatch(exchange, now -> giveUp.set(balancer.responseStalled(now, exchange.id, number)));
            return !giveUp.get();
        }

        @Override
        public void onResponseStart(FullHttpResponse response, BodyRelay bodyRelay) {
            responseStartedAt = now();
            loadReport = loadReport(response);
            Gateway.this.responseStarted(exchange, number, response, bodyRelay);
        }

        @Override
        public void onEnd(Outcome outcome, FullHttpResponse response) {
            releaseRequest();
            long elapsed = (responseStartedAt == 0 ? now() : responseStartedAt) - sentAt;
            attemptEnded(exchange, number, hostId, elapsed, outcome, response,
                    loadReport == null ? loadReport(response) : loadReport);
        }
    }

    private static FullHttpRequest upstreamRequest(Exchange exchange) {
        FullHttpRequest original = exchange.request;
        ByteBuf body = exchange.ended || exchange.requestStreaming ? Unpooled.EMPTY_BUFFER
                : original.content().retainedDuplicate();
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, original.method(), original.uri(),
                body);
        for (String name : FORWARDED_HEADERS) {
            if (original.headers().contains(name)) {
                request.headers().set(name, original.headers().get(name));
            }
        }
        if (exchange.bodyRelay != null) {  // keeps the framing that the client used
            HttpUtil.setTransferEncodingChunked(request, HttpUtil.isTransferEncodingChunked(original));
            if (HttpUtil.isContentLengthSet(original)) {
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, HttpUtil.getContentLength(original));
            }
        } else if (body.isReadable() || original.method().equals(HttpMethod.POST)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        EntityHeaders.copy(original, request);
        return request;
    }

    @Override
    public void cancel(long id, int attempt) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && attempt < exchange.attempts.size()) {
            exchange.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void refuse(long id, long retryAfter) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.ended && !exchange.responseStreaming) {
            finish(exchange);
            metrics.increment(exchange.className, GatewayMetrics.RequestOutcome.REFUSED);
            log.add(EventLog.Event.REQUEST_REFUSED, "trace", exchange.traceId, "class", exchange.className, "attempts",
                    exchange.attempts.size());
            exchange.client.sendRefusal(retryAfter);
        }
    }

    @Override
    public void fail(long id) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null && !exchange.ended && !exchange.responseStreaming) {
            finish(exchange);
            recordFailure(exchange, exchange.lastAttemptExpired ? "attempt_late" : "no_further_attempt");
            exchange.client.sendFailure(exchange.lastAttemptExpired);
        }
    }

    @Override
    public void scheduleTimer(long at, String handle) {
        loop.schedule(() -> {
            long startedAt = loopMonitor.taskStarted();
            dispatch(null, now -> balancer.timerFired(now, handle));
            loopMonitor.taskEnded(LoopMonitor.Task.TIMER, startedAt);
        }, Math.max(1, at - now()), TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(String hostId) {
        boolean wantsLoadReport = settings.capabilities().loadReportMode() != LoadReportMode.OFF;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                wantsLoadReport ? "/status/load" : "/health");
        long sentAt = now();
        hostPool.send(hostId, request, PROBE_TIMEOUT_MICROS, (outcome, response) -> {
            long elapsed = now() - sentAt;
            LoadReport loadReport = LoadReportParser.parse(response == null || !wantsLoadReport ? null
                    : response.content().toString(StandardCharsets.UTF_8));
            dispatch(null, now -> balancer.probeEnded(now, hostId, outcome, elapsed, loadReport));
        });
    }

    @Override
    public void watchHostList(boolean active) {
        discovery.watch(active);
    }

    @Override
    public void fetchHostList() {
        discovery.fetch();
    }

    @Override
    public void closeIdleConnections(String hostId) {
        hostPool.closeIdle(hostId);
    }

    /** Unsupported: the settings allow no messages between gateways, so the balancer sends none. */
    @Override
    public void sendToPeer(int peer, byte[] message) {
        throw new UnsupportedOperationException("messages between gateways are not supported");
    }

    @Override
    public void log(String line) {
        logOutput.accept(line);
    }
}
