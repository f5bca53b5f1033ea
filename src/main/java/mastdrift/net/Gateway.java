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
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import mastdrift.Balancer;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.LoadReportMode;
import mastdrift.Balancer.Settings;

/** Connects a {@link Balancer} to the network: supplies its clock and timers, tracks open requests and their attempts,
    and sees to it that each request gets exactly one final response. Used on the event loop's thread alone. */
final class Gateway implements Balancer.Actions {

    // A client's deadline counts from its send, and the response still has to reach it: this much of the time is
    // reserved.
    private static final long ANSWER_MARGIN_MICROS = 5_000;
    // A request that the balancer has left open for this long after its deadline is failed by the gateway.
    private static final long BACKSTOP_MICROS = 2_000;
    // Hosts answer probes ahead of their request queue, so a probe without a response by then has failed.
    private static final long PROBE_TIMEOUT_MICROS = 250_000;
    private static final long TALLY_SPAN_MICROS = 5_000_000;
    private static final long FIGURES_SPAN_MICROS = 200_000;  // metrics may lag by half a second
    private static final String[] PASSED_ON = {"X-Trace-Id", "Idempotency-Key"};

    // Before an attempt, a client's connection is read again if the last check is older than this: the client may have
    // disconnected while the event loop was delayed, or the loop may handle a host's event ahead of the client's.
    static final long CLIENT_CHECK_INTERVAL_MICROS = 50_000;

    /** The client of a request, which receives exactly one final response. */
    interface Client {
        /** Reads what has arrived on the connection; false if the client has disconnected. */
        boolean isConnected();

        /** Sends a host's complete response, which the caller releases. */
        void sendResponse(FullHttpResponse answer);

        /** Sends the start of a host's response, which the caller releases, and then the rest of its body from the
            relay. {@code onWritten} is told whether all of it was written, unless the client disconnects before. */
        void startStreaming(FullHttpResponse answer, BodyRelay rest, Consumer<Boolean> passed);

        /** Sends a refusal that asks the client to retry after so many microseconds. */
        void sendRefusal(long retryAfter);

        /** Sends a failure: a timeout if {@code late}, and otherwise a bad gateway. */
        void sendFailure(boolean late);
    }

    /** An accepted request, kept until both the request and all its attempts have ended. */
    final class Exchange {
        private final long id = nextId++;
        private final Client client;
        private final String className;
        private final FullHttpRequest message;
        private final String trace;
        private final BodyRelay rest;  // the rest of the body, null if the request is complete
        private final long kept;
        private long lookedAt = now();  // when the connection was last checked for a disconnect
        private final List<HostPool.Attempt> attempts = new ArrayList<>(2);
        private Future<?> backstop;
        private long due;  // on the gateway's clock
        private boolean coming;  // a part of the body has not arrived
        private boolean relaying;  // the body is being sent to a host and is not kept for a retry
        private boolean begun;  // the response has started to go out to the client
        private int out;  // attempts whose outcome has not been reported to the balancer
        private boolean late;
        private boolean ended;

        private Exchange(Client client, String className, FullHttpRequest message, BodyRelay rest, long kept) {
            this.client = client;
            this.className = className;
            this.message = message;
            trace = message.headers().get("X-Trace-Id");
            this.rest = rest;
            this.kept = kept;
            coming = rest != null;
        }

        private void startBackstop() {
            due = now() + kept;
            scheduleBackstop();
        }

        private void scheduleBackstop() {
            long left = Math.min(due, answerDeadline - ANSWER_MARGIN_MICROS) - now();
            backstop = loop.schedule(() -> overdue(this), left + BACKSTOP_MICROS, TimeUnit.MICROSECONDS);
        }

        /** Applies an earlier deadline of the gateway. The timer stays off while a body is in transit: that is bounded
            by the time limits on the connection that sends it. */
        private void boundBackstop() {
            if (!backstop.isDone()) {
                backstop.cancel(false);
                scheduleBackstop();
            }
        }

        /** Whether the body is being sent to a host, so that no other attempt can be made. */
        boolean isRequestStreaming() {
            return relaying;
        }

        /** The body has arrived, or the request has ended before: it counts as in flight, or no longer at all. */
        private void whole() {
            if (coming) {
                coming = false;
                incoming--;
                countInFlight();
            }
        }

        /** The client has disconnected and needs no response. */
        void clientLeft() {
            if (!ended) {
                tally.add(Tally.Count.DEPARTED);
                finish(this);
                if (rest != null || begun) {  // a streamed body has lost its source or its destination
                    attempts.forEach(HostPool.Attempt::cancel);
                }
                event(null, now -> module.clientLeft(now, id));
            }
        }
    }

    private final EventLoop loop;
    private final Balancer module;
    private final Consumer<String> out;
    private final HostPool hosts;
    private final Discovery discovery;
    private final Settings settings;
    private final Tally tally;
    private final EventLog log;
    private final LoopMonitor loopMonitor;
    private final int openMost;
    private final Map<Long, Exchange> ledger = new HashMap<>();
    private final Queue<Runnable> pendingEvents = new ArrayDeque<>();
    private final CompletableFuture<Void> firstListReceived = new CompletableFuture<>();
    private boolean inEvent;
    private long nextId = 1;
    private long answerDeadline = Long.MAX_VALUE;
    private int open;
    private int incoming;  // of the open requests, those whose body has not arrived yet
    private final LongSupplier nanoTime;
    private final long startedAt;
    private final HostStarts starts;

    /** Starts the balancer; must be called on the loop's thread. {@code nanoTime} counts from an arbitrary origin.
        {@code logOutput} receives log lines and must not block. */
    Gateway(Config config, EventLoop loop, LongSupplier nanoTime, Balancer module, Tally tally, int hostConnections,
            int openMost, Consumer<String> out) {
        this.loop = loop;
        this.nanoTime = nanoTime;
        startedAt = System.currentTimeMillis() * 1000 - nanoTime.getAsLong() / 1000;
        this.tally = tally;
        this.module = module;
        this.out = out;
        log = new EventLog(this::now, this::log);
        ThreadTimes times = new ThreadTimes();
        loop.parent().terminationFuture().addListener(ended -> times.close());
        loopMonitor = new LoopMonitor(this::now, times::read, tally, log);
        starts = new HostStarts(this::now, () -> System.currentTimeMillis() * 1000,
                () -> log.add(EventLog.Event.CLOCK_STEPPED, "unix_ms", System.currentTimeMillis(), "steady_ms", now() / 1000));
        settings = config.settings();
        this.openMost = Math.min(openMost, settings.limits().maxOpenRequests());
        hosts = new HostPool(loop, this::now, loopMonitor, settings.connections().dialTimeout(), settings.connections().idleTimeout(),
                settings.guarantees().drainGrace(), hostConnections, tally, log);
        discovery = new Discovery(loop, config.discovery(), config.known().rev(),
                list -> learn(list, list.all() ? ListUpdateType.FULL : ListUpdateType.DELTA), this::listFailed);
        PeriodicTask.schedule(loop, TALLY_SPAN_MICROS, this::logTally, this::log);
        module.start(now(), settings, this);
        learn(config.known(), ListUpdateType.CACHED);
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
        return startedAt + nanoTime.getAsLong() / 1000;
    }

    /** The log of unusual events, to which the client connections add theirs. */
    EventLog eventLog() {
        return log;
    }

    /** Measures how long the event loop's tasks take. */
    LoopMonitor loopMonitor() {
        return loopMonitor;
    }

    /** The counters for log and metrics, to which the client connections add theirs. */
    Tally tally() {
        return tally;
    }

    /** Starts to update those metrics that are polled from the balancer rather than counted. */
    void startGaugeUpdates() {
        PeriodicTask.schedule(loop, FIGURES_SPAN_MICROS, () -> tally.set(Tally.Gauge.HOSTS_EXCLUDED, module.excludedHostCount(now())), this::log);
    }

    /** Whether all requests and their attempts have ended and no resources are held for them. */
    boolean isIdle() {
        return open == 0 && incoming == 0 && ledger.isEmpty() && hosts.busy() == 0;
    }

    private void logTally() {
        String line = tally.line();
        if (!line.isEmpty()) {
            log(line);
        }
    }

    /** Sets the time, on the gateway's clock, by which all open and future requests are answered, since the process is
        about to end. Bodies that are being streamed may take longer. */
    void setAnswerDeadline(long at) {
        answerDeadline = at;
        ledger.values().stream().filter(exchange -> !exchange.ended).forEach(Exchange::boundBackstop);
    }

    /** Reduces idle connections to hosts: a successor process serves new requests from now on. */
    void retire() {
        hosts.retire();
    }

    /** Moves discovery to another address. */
    void setDiscoveryAddress(InetSocketAddress at) {
        log("discovery at " + NetUtil.toSocketAddressString(at));
        discovery.move(at);
    }

    // ---- events: dispatched one after the other, never nested

    private void event(Exchange exchange, LongConsumer event) {
        if (!loop.inEventLoop()) {
            tally.add(Tally.Count.OFF_LOOP);
            log.add(EventLog.Event.OFF_LOOP, "thread", Thread.currentThread().getName());
        }
        pendingEvents.add(() -> {
            try {
                event.accept(now());
            } catch (RuntimeException | Error fault) {  // an out-of-memory error may concern one request alone
                log("fault in an event: " + fault + Arrays.stream(fault.getStackTrace()).limit(1).toList());
                if (exchange != null && !exchange.ended) {
                    finish(exchange);
                    tally.add(exchange.className, Tally.Ended.FAILED);
                    exchange.client.sendFailure(false);
                    event(null, now -> module.clientLeft(now, exchange.id));
                }
            }
        });
        if (inEvent) {
            return;
        }
        inEvent = true;
        try {
            for (Runnable next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                next.run();
            }
        } finally {
            inEvent = false;  // otherwise no further event would be dispatched
        }
    }

    private void learn(HostList told, ListUpdateType form) {
        long begunAt = loopMonitor.begin();
        HostList list = told.withStarts(starts::place);
        if (form != ListUpdateType.CACHED) {
            starts.heard();
        }
        hosts.update(list);
        tally.set(Tally.Gauge.HOSTS_KNOWN, hosts.known());
        log("list " + list.rev() + ": " + list.entries().size() + (list.all() ? " hosts" : " changes"));
        event(null, now -> module.hostListReceived(now, form, list.entries().stream().map(HostList.Entry::host).toList()));
        loopMonitor.ended(LoopMonitor.Task.HOST_LIST, begunAt);
        if (form != ListUpdateType.CACHED) {
            firstListReceived.complete(null);
        }
    }

    private void listFailed(String cause) {
        log("discovery failed: " + cause);
        event(null, now -> module.hostListReceived(now, ListUpdateType.FAILED, List.of()));
        firstListReceived.complete(null);
    }

    private void countInFlight() {
        tally.set(Tally.Gauge.IN_FLIGHT, open - incoming);
    }

    /** Accepts a request, retaining its message. {@code timeLeft} counts from the request's last byte;
        {@code bodyRelay} is null if the request is complete. Returns null if the request was answered at once. */
    Exchange submit(Client client, FullHttpRequest message, BodyRelay rest, String className, String tenant, Long key,
            long left, boolean repeated, long work) {
        tally.add(Tally.Count.TAKEN);
        if (open >= openMost) {
            tally.add(Tally.Count.REFUSED_AT_BOUND);
            tally.add(className, Tally.Ended.REFUSED);
            client.sendRefusal(settings.limits().maxRetryAfter());
            return null;
        }
        long kept = Math.min(left, answerDeadline - now()) - ANSWER_MARGIN_MICROS;
        if (kept <= 0) {
            tally.add(Tally.Count.OVERDUE);
            tally.add(className, Tally.Ended.FAILED);
            client.sendFailure(true);
            return null;
        }
        Exchange exchange = new Exchange(client, className, message.retain(), rest, kept);
        open++;
        incoming += rest == null ? 0 : 1;
        countInFlight();
        tally.level(Tally.Level.OPEN_REQUESTS, open);
        ledger.put(exchange.id, exchange);
        exchange.startBackstop();
        boolean write = message.method().equals(HttpMethod.POST);
        event(exchange, now -> module.requestReceived(now,
                new Balancer.Request(exchange.id, className, tenant, key, kept, work, repeated, write)));
        return exchange.ended ? null : exchange;
    }

    /** Fails a request that the balancer has not answered by its deadline. */
    private void overdue(Exchange exchange) {
        if (!exchange.ended) {
            tally.add(Tally.Count.OVERDUE);
            finish(exchange);
            failed(exchange, "overdue");
            exchange.client.sendFailure(true);
            event(null, now -> module.clientLeft(now, exchange.id));
        }
    }

    private void failed(Exchange exchange, String reason) {
        tally.add(exchange.className, Tally.Ended.FAILED);
        log.add(EventLog.Event.REQUEST_FAILED, "trace", exchange.trace, "class", exchange.className, "reason", reason,
                "attempts", exchange.attempts.size(), "late_us", Math.max(0, now() - exchange.due));
    }

    private void finish(Exchange exchange) {
        exchange.ended = true;
        exchange.backstop.cancel(false);
        open--;
        exchange.whole();
        countInFlight();
        if (!exchange.relaying) {
            exchange.message.release();
        }
        if (exchange.rest != null) {
            exchange.rest.abandon();
        }
        exchange.attempts.forEach(HostPool.Attempt::withdraw);  // those that still wait for a connection are not needed
        forget(exchange);
    }

    private void forget(Exchange exchange) {
        if (exchange.ended && exchange.out == 0) {
            ledger.remove(exchange.id);
        }
    }

    private void resolved(Exchange exchange, int number, String uid, long elapsed, Outcome outcome,
            FullHttpResponse answer, LoadReport report) {
        exchange.late = outcome == Outcome.EXPIRED;
        tally.add(outcome);
        if (outcome != Outcome.DELIVERED && !exchange.ended) {
            log.add(EventLog.Event.ATTEMPT_FAILED, "trace", exchange.trace, "attempt", number, "host", uid, "outcome", outcome,
                    "after_us", elapsed);
        }
        if (outcome == Outcome.DELIVERED && !exchange.ended && !exchange.begun) {
            finish(exchange);
            tally.add(exchange.className, Tally.Ended.SERVED);
            exchange.client.sendResponse(answer);
        }
        event(exchange, now -> {
            exchange.out--;
            forget(exchange);
            module.attemptEnded(now, exchange.id, number, uid, outcome, elapsed, exchange.ended || exchange.begun, report);
        });
    }

    /** Streams the rest of the response to the client: from now on no other attempt can answer the request. */
    private void begun(Exchange exchange, int number, FullHttpResponse answer, BodyRelay rest) {
        if (exchange.ended || exchange.begun) {
            rest.abandon();
            exchange.attempts.get(number).cancel();
            return;
        }
        exchange.begun = true;
        exchange.backstop.cancel(false);
        event(exchange, now -> module.streamingStarted(now, exchange.id, number));
        exchange.client.startStreaming(answer, rest, whole -> {
            if (!exchange.ended) {
                finish(exchange);
                tally.add(exchange.className, whole ? Tally.Ended.SERVED : Tally.Ended.FAILED);
            }
        });
    }

    private LoadReport report(FullHttpResponse answer) {
        boolean given = answer != null && settings.capabilities().loadReportMode() == LoadReportMode.INLINE;
        return LoadReports.parse(given ? answer.headers().get("Endpoint-Load-Metrics") : null);
    }

    // ---- actions

    @Override
    public void send(long id, String uid, long timeout) {
        Exchange exchange = ledger.get(id);
        lookForDeparture(exchange);
        int number = exchange.attempts.size();
        boolean refused = exchange.ended || exchange.relaying || number >= settings.limits().maxAttempts();
        FullHttpRequest message = onward(exchange);
        exchange.attempts.add(hosts.send(uid, message, exchange.rest, refused ? 0 : timeout,
                new AttemptHandler(exchange, number, uid)));
        exchange.out++;  // not before: a send that threw an exception has no outcome
    }

    /** Checks, before an attempt starts, that the client has not disconnected. */
    private void lookForDeparture(Exchange exchange) {
        long now = now();
        if (exchange.ended || now - exchange.lookedAt < CLIENT_CHECK_INTERVAL_MICROS) {
            return;
        }
        exchange.lookedAt = now;
        if (!exchange.client.isConnected()) {
            exchange.clientLeft();
        }
    }

    /** Follows one attempt. Its elapsed time is the host's share: it starts at the last byte of a request that is
        relayed, and ends at the first bytes of a response that is streamed. */
    private final class AttemptHandler implements HostPool.Ended {

        private final Exchange exchange;
        private final int number;
        private final String uid;
        private long sentAt = now();
        private long begunAt;
        private LoadReport report;

        AttemptHandler(Exchange exchange, int number, String uid) {
            this.exchange = exchange;
            this.number = number;
            this.uid = uid;
        }

        @Override
        public boolean mayWrite() {
            lookForDeparture(exchange);
            return !exchange.ended && module.mayWrite(now(), exchange.id, number);
        }

        @Override
        public void relaying() {
            if (!exchange.ended) {
                exchange.relaying = true;
                exchange.message.release();
                exchange.backstop.cancel(false);
                event(exchange, now -> module.streamingStarted(now, exchange.id, number));
            }
        }

        @Override
        public void written() {
            tally.add(Tally.Count.ATTEMPTS_WRITTEN);
            if (exchange.rest != null && !exchange.ended) {
                sentAt = now();
                exchange.whole();
                exchange.startBackstop();
            }
        }

        @Override
        public void begun(FullHttpResponse answer, BodyRelay rest) {
            begunAt = now();
            report = report(answer);
            Gateway.this.begun(exchange, number, answer, rest);
        }

        @Override
        public void ended(Outcome outcome, FullHttpResponse answer) {
            long elapsed = (begunAt == 0 ? now() : begunAt) - sentAt;
            resolved(exchange, number, uid, elapsed, outcome, answer, report == null ? report(answer) : report);
        }
    }

    private static FullHttpRequest onward(Exchange exchange) {
        FullHttpRequest from = exchange.message;
        ByteBuf body = exchange.ended || exchange.relaying ? Unpooled.EMPTY_BUFFER : from.content().retainedDuplicate();
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(), body);
        for (String name : PASSED_ON) {
            if (from.headers().contains(name)) {
                message.headers().set(name, from.headers().get(name));
            }
        }
        if (exchange.rest != null) {  // keeps the framing that the client used
            HttpUtil.setTransferEncodingChunked(message, HttpUtil.isTransferEncodingChunked(from));
            if (HttpUtil.isContentLengthSet(from)) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, HttpUtil.getContentLength(from));
            }
        } else if (body.isReadable() || from.method().equals(HttpMethod.POST)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        if (from.headers().contains(HttpHeaderNames.CONTENT_TYPE)) {
            message.headers().set(HttpHeaderNames.CONTENT_TYPE, from.headers().get(HttpHeaderNames.CONTENT_TYPE));
        }
        return message;
    }

    @Override
    public void cancel(long id, int attempt) {
        Exchange exchange = ledger.get(id);
        if (exchange != null && attempt < exchange.attempts.size()) {
            exchange.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void refuse(long id, long retryAfter) {
        Exchange exchange = ledger.get(id);
        if (exchange != null && !exchange.ended && !exchange.begun) {
            finish(exchange);
            tally.add(exchange.className, Tally.Ended.REFUSED);
            log.add(EventLog.Event.REQUEST_REFUSED, "trace", exchange.trace, "class", exchange.className, "attempts",
                    exchange.attempts.size());
            exchange.client.sendRefusal(retryAfter);
        }
    }

    @Override
    public void fail(long id) {
        Exchange exchange = ledger.get(id);
        if (exchange != null && !exchange.ended && !exchange.begun) {
            finish(exchange);
            failed(exchange, exchange.late ? "attempt_late" : "no_further_attempt");
            exchange.client.sendFailure(exchange.late);
        }
    }

    @Override
    public void scheduleTimer(long at, String handle) {
        loop.schedule(() -> {
            long begunAt = loopMonitor.begin();
            event(null, now -> module.timerFired(now, handle));
            loopMonitor.ended(LoopMonitor.Task.TIMER, begunAt);
        }, Math.max(1, at - now()), TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(String uid) {
        boolean reports = settings.capabilities().loadReportMode() != LoadReportMode.OFF;
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                reports ? "/status/load" : "/health");
        long sentAt = now();
        hosts.send(uid, message, PROBE_TIMEOUT_MICROS, (outcome, answer) -> {
            long elapsed = now() - sentAt;
            LoadReport report = LoadReports.parse(answer == null || !reports ? null
                    : answer.content().toString(StandardCharsets.UTF_8));
            event(null, now -> module.probeEnded(now, uid, outcome, elapsed, report));
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
    public void closeIdleConnections(String uid) {
        hosts.closeIdle(uid);
    }

    /** Unsupported: the settings allow no messages between gateways, so the balancer sends none. */
    @Override
    public void sendToPeer(int peer, byte[] message) {
        throw new UnsupportedOperationException("messages between gateways are not supported");
    }

    @Override
    public void log(String line) {
        out.accept(line);
    }
}
