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

/** Drives the module: its clock, its timers, the ledger of requests and attempts, and one final answer a request.
    Everything happens on the event loop's thread. */
final class Gateway implements Balancer.Actions {

    // The time left counts from the client's send and the answer has to travel: so much of it is kept back.
    private static final long ANSWER_MARGIN_MICROS = 5_000;
    // A request still open so long after the module's time for it is failed, whatever the module thinks.
    private static final long BACKSTOP_MICROS = 2_000;
    // A probe is answered beside the queue: no answer by then is none.
    private static final long PROBE_TIMEOUT_MICROS = 250_000;
    private static final long TALLY_SPAN_MICROS = 5_000_000;
    private static final long FIGURES_SPAN_MICROS = 200_000;  // figures may lag by half a second
    private static final String[] PASSED_ON = {"X-Trace-Id", "Idempotency-Key"};

    // What a client sends behind its request, its end among it, is looked at before an attempt where the last look is older:
    // the loop may have been held up since, or have met a host's event ahead of the client's.
    static final long LOOK_AFTER_MICROS = 50_000;

    /** Where the one final answer goes. */
    interface Client {
        /** Looks at what has come on the connection by now; false where the client has gone. */
        boolean present();

        /** With a host's answer, which the caller releases. */
        void served(FullHttpResponse answer);

        /** With a host's answer that has begun, which the caller releases, and a rest to be written; {@code passed} hears
            whether all has been, unless the client departs before. */
        void begun(FullHttpResponse answer, Relay rest, Consumer<Boolean> passed);

        void refused(long retryAfter);

        void failed(boolean late);
    }

    /** A request that was taken, until it has ended and all its attempts have. */
    final class Exchange {
        private final long id = nextId++;
        private final Client client;
        private final String className;
        private final FullHttpRequest message;
        private final String trace;
        private final Relay rest;  // of its body, null where the message is whole
        private final long kept;
        private long lookedAt = now();  // for the client's departure
        private final List<HostConnectionPool.Attempt> attempts = new ArrayList<>(2);
        private Future<?> backstop;
        private long due;  // on the gateway's clock
        private boolean coming;  // the rest
        private boolean relaying;  // the message has gone out and is not kept
        private boolean begun;  // the answer
        private int out;
        private boolean late;
        private boolean ended;

        private Exchange(Client client, String className, FullHttpRequest message, Relay rest, long kept) {
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
            long left = Math.min(due, answerBy - ANSWER_MARGIN_MICROS) - now();
            backstop = loop.schedule(() -> overdue(this), left + BACKSTOP_MICROS, TimeUnit.MICROSECONDS);
        }

        /** The gateway's own end has come closer. Not where the backstop is off: in the midst of a body the time is that of
            who sends it. */
        private void boundBackstop() {
            if (!backstop.isDone()) {
                backstop.cancel(false);
                scheduleBackstop();
            }
        }

        /** Whether its body is on its way to a host, so that nothing more can be sent for it. */
        boolean relays() {
            return relaying;
        }

        /** All of it is there and its time counts, or its end makes that of no matter. */
        private void whole() {
            if (coming) {
                coming = false;
                incoming--;
                countInFlight();
            }
        }

        /** The client went away: nothing more is owed. */
        void departed() {
            if (!ended) {
                tally.increment(GatewayMetrics.Counter.DEPARTED);
                finish(this);
                if (rest != null || begun) {  // what comes or goes in pieces has lost its other end
                    attempts.forEach(HostConnectionPool.Attempt::cancel);
                }
                event(null, now -> module.clientLeft(now, id));
            }
        }
    }

    private final EventLoop loop;
    private final Balancer module;
    private final Consumer<String> out;
    private final HostConnectionPool hosts;
    private final DiscoveryClient discovery;
    private final Settings settings;
    private final GatewayMetrics tally;
    private final EventLog log;
    private final LoopMonitor monitor;
    private final int openMost;
    private final Map<Long, Exchange> ledger = new HashMap<>();
    private final Queue<Runnable> events = new ArrayDeque<>();
    private final CompletableFuture<Void> heard = new CompletableFuture<>();
    private boolean inEvent;
    private long nextId = 1;
    private long answerBy = Long.MAX_VALUE;
    private int open;
    private int incoming;  // of those that are open: requests of which a rest is to come, not taken before
    private final LongSupplier nanoTime;
    private final long startedAt;
    private final HostStartTimes starts;

    /** Starts the module; on the loop's thread. The clock runs in nanoseconds from any origin.
        {@code out} takes lines of the log, and must not block. */
    Gateway(Config config, EventLoop loop, LongSupplier nanoTime, Balancer module, GatewayMetrics tally, int hostConnections,
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
        monitor = new LoopMonitor(this::now, times::read, tally, log);
        starts = new HostStartTimes(this::now, () -> System.currentTimeMillis() * 1000,
                () -> log.add(EventLog.Event.CLOCK_STEPPED, "unix_ms", System.currentTimeMillis(), "steady_ms", now() / 1000));
        settings = config.settings();
        this.openMost = Math.min(openMost, settings.limits().maxOpenRequests());
        hosts = new HostConnectionPool(loop, this::now, monitor, settings.connections().dialTimeout(), settings.connections().idleTimeout(),
                settings.guarantees().drainGrace(), hostConnections, tally, log);
        discovery = new DiscoveryClient(loop, config.discoveryAddress(), config.initialHosts().revision(),
                list -> learn(list, list.full() ? ListUpdateType.FULL : ListUpdateType.DELTA), this::listFailed);
        Periodic.every(loop, TALLY_SPAN_MICROS, this::logTally, this::log);
        module.start(now(), settings, this);
        learn(config.initialHosts(), ListUpdateType.CACHED);
        if (settings.listOnRequest()) {
            heard.complete(null);
        } else {
            discovery.watch(true);
        }
    }

    /** Done once discovery has told its first list, or that it won't now. Where lists are pushed what it has counts as told
        from the start of the process on, so that nobody should be served by the list of before. */
    CompletableFuture<Void> heard() {
        return heard;
    }

    /** Microseconds; runs on evenly from the Unix time at the start, in which hosts' starts are told. */
    long now() {
        return startedAt + nanoTime.getAsLong() / 1000;
    }

    /** What is out of the ordinary; the clients' side adds its part. */
    EventLog events() {
        return log;
    }

    /** Hears how long the loop's tasks take. */
    LoopMonitor monitor() {
        return monitor;
    }

    /** What is counted for the log; the clients' side adds its part. */
    GatewayMetrics tally() {
        return tally;
    }

    /** Keeps the figures fresh that are not counted but looked at. */
    void keepFigures() {
        Periodic.every(loop, FIGURES_SPAN_MICROS, () -> tally.setGauge(GatewayMetrics.Gauge.HOSTS_EXCLUDED, module.excludedHostCount(now())), this::log);
    }

    /** Whether all that was taken, and every attempt at it, has ended and nothing is held for it any more. */
    boolean owesNothing() {
        return open == 0 && incoming == 0 && ledger.isEmpty() && hosts.busyConnectionCount() == 0;
    }

    private void logTally() {
        String line = tally.logLine();
        if (!line.isEmpty()) {
            log(line);
        }
    }

    /** All requests, those that are open and those that come, are answered by then, on the gateway's clock: the process is
        about to end. What is being passed on in pieces may last longer. */
    void answerBy(long at) {
        answerBy = at;
        ledger.values().stream().filter(exchange -> !exchange.ended).forEach(Exchange::boundBackstop);
    }

    /** A successor takes over what comes from now on. */
    void retire() {
        hosts.retire();
    }

    /** Discovery is to be asked at another address. */
    void discoverAt(InetSocketAddress at) {
        log("discovery at " + NetUtil.toSocketAddressString(at));
        discovery.setAddress(at);
    }

    // ---- events: one after the other, never one inside another

    private void event(Exchange exchange, LongConsumer event) {
        if (!loop.inEventLoop()) {
            tally.increment(GatewayMetrics.Counter.OFF_LOOP);
            log.add(EventLog.Event.OFF_LOOP, "thread", Thread.currentThread().getName());
        }
        events.add(() -> {
            try {
                event.accept(now());
            } catch (RuntimeException | Error fault) {  // memory may run out for one request and be there for the next
                log("fault in an event: " + fault + Arrays.stream(fault.getStackTrace()).limit(1).toList());
                if (exchange != null && !exchange.ended) {
                    finish(exchange);
                    tally.increment(exchange.className, GatewayMetrics.RequestOutcome.FAILED);
                    exchange.client.failed(false);
                    event(null, now -> module.clientLeft(now, exchange.id));
                }
            }
        });
        if (inEvent) {
            return;
        }
        inEvent = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                next.run();
            }
        } finally {
            inEvent = false;  // or no event would ever be heard again
        }
    }

    private void learn(HostList told, ListUpdateType form) {
        long begunAt = monitor.taskStarted();
        HostList list = told.withStartTimes(starts::toLocalClock);
        if (form != ListUpdateType.CACHED) {
            starts.listReceived();
        }
        hosts.update(list);
        tally.setGauge(GatewayMetrics.Gauge.HOSTS_KNOWN, hosts.knownHostCount());
        log("list " + list.revision() + ": " + list.entries().size() + (list.full() ? " hosts" : " changes"));
        event(null, now -> module.hostListReceived(now, form, list.entries().stream().map(HostList.Entry::host).toList()));
        monitor.taskEnded(LoopMonitor.Task.HOST_LIST, begunAt);
        if (form != ListUpdateType.CACHED) {
            heard.complete(null);
        }
    }

    private void listFailed(String cause) {
        log("discovery failed: " + cause);
        event(null, now -> module.hostListReceived(now, ListUpdateType.FAILED, List.of()));
        heard.complete(null);
    }

    private void countInFlight() {
        tally.setGauge(GatewayMetrics.Gauge.IN_FLIGHT, open - incoming);
    }

    /** Takes a request, which keeps its message; the time left counts from its last byte, and the rest is null where that
        has come. Null where it was answered at once. */
    Exchange take(Client client, FullHttpRequest message, Relay rest, String className, String tenant, Long key,
            long left, boolean repeated, long work) {
        tally.increment(GatewayMetrics.Counter.TAKEN);
        if (open >= openMost) {
            tally.increment(GatewayMetrics.Counter.REFUSED_AT_BOUND);
            tally.increment(className, GatewayMetrics.RequestOutcome.REFUSED);
            client.refused(settings.limits().maxRetryAfter());
            return null;
        }
        long kept = Math.min(left, answerBy - now()) - ANSWER_MARGIN_MICROS;
        if (kept <= 0) {
            tally.increment(GatewayMetrics.Counter.OVERDUE);
            tally.increment(className, GatewayMetrics.RequestOutcome.FAILED);
            client.failed(true);
            return null;
        }
        Exchange exchange = new Exchange(client, className, message.retain(), rest, kept);
        open++;
        incoming += rest == null ? 0 : 1;
        countInFlight();
        tally.recordPeak(GatewayMetrics.Peak.OPEN_REQUESTS, open);
        ledger.put(exchange.id, exchange);
        exchange.startBackstop();
        boolean write = message.method().equals(HttpMethod.POST);
        event(exchange, now -> module.requestReceived(now,
                new Balancer.Request(exchange.id, className, tenant, key, kept, work, repeated, write)));
        return exchange.ended ? null : exchange;
    }

    /** The module owes an answer in time, and this keeps the promise where it doesn't. */
    private void overdue(Exchange exchange) {
        if (!exchange.ended) {
            tally.increment(GatewayMetrics.Counter.OVERDUE);
            finish(exchange);
            failed(exchange, "overdue");
            exchange.client.failed(true);
            event(null, now -> module.clientLeft(now, exchange.id));
        }
    }

    private void failed(Exchange exchange, String reason) {
        tally.increment(exchange.className, GatewayMetrics.RequestOutcome.FAILED);
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
        exchange.attempts.forEach(HostConnectionPool.Attempt::cancelIfUnsent);  // one that still waits for its connection is for nobody
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
        tally.increment(outcome);
        if (outcome != Outcome.DELIVERED && !exchange.ended) {
            log.add(EventLog.Event.ATTEMPT_FAILED, "trace", exchange.trace, "attempt", number, "host", uid, "outcome", outcome,
                    "after_us", elapsed);
        }
        if (outcome == Outcome.DELIVERED && !exchange.ended && !exchange.begun) {
            finish(exchange);
            tally.increment(exchange.className, GatewayMetrics.RequestOutcome.SERVED);
            exchange.client.served(answer);
        }
        event(exchange, now -> {
            exchange.out--;
            forget(exchange);
            module.attemptEnded(now, exchange.id, number, uid, outcome, elapsed, exchange.ended || exchange.begun, report);
        });
    }

    /** The answer's rest goes to the client as it comes: the attempt is the client's from now on. */
    private void begun(Exchange exchange, int number, FullHttpResponse answer, Relay rest) {
        if (exchange.ended || exchange.begun) {
            rest.abandon();
            exchange.attempts.get(number).cancel();
            return;
        }
        exchange.begun = true;
        exchange.backstop.cancel(false);
        event(exchange, now -> module.streamingStarted(now, exchange.id, number));
        exchange.client.begun(answer, rest, whole -> {
            if (!exchange.ended) {
                finish(exchange);
                tally.increment(exchange.className, whole ? GatewayMetrics.RequestOutcome.SERVED : GatewayMetrics.RequestOutcome.FAILED);
            }
        });
    }

    private LoadReport report(FullHttpResponse answer) {
        boolean given = answer != null && settings.capabilities().loadReportMode() == LoadReportMode.INLINE;
        return LoadReportParser.parse(given ? answer.headers().get("Endpoint-Load-Metrics") : null);
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
                new Course(exchange, number, uid)));
        exchange.out++;  // only now: of what could not be sent there is no outcome
    }

    /** An attempt that is about to begin is not for a client that has gone. */
    private void lookForDeparture(Exchange exchange) {
        long now = now();
        if (exchange.ended || now - exchange.lookedAt < LOOK_AFTER_MICROS) {
            return;
        }
        exchange.lookedAt = now;
        if (!exchange.client.present()) {
            exchange.departed();
        }
    }

    /** What becomes of one attempt. Its elapsed time is the host's: up to the answer's first bytes where that is passed
        on, and from the last byte of a request that is relayed. */
    private final class Course implements HostConnectionPool.AttemptListener {

        private final Exchange exchange;
        private final int number;
        private final String uid;
        private long sentAt = now();
        private long begunAt;
        private LoadReport report;

        Course(Exchange exchange, int number, String uid) {
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
        public void onRequestStreaming() {
            if (!exchange.ended) {
                exchange.relaying = true;
                exchange.message.release();
                exchange.backstop.cancel(false);
                event(exchange, now -> module.streamingStarted(now, exchange.id, number));
            }
        }

        @Override
        public void onRequestWritten() {
            tally.increment(GatewayMetrics.Counter.ATTEMPTS_WRITTEN);
            if (exchange.rest != null && !exchange.ended) {
                sentAt = now();
                exchange.whole();
                exchange.startBackstop();
            }
        }

        @Override
        public void onResponseStart(FullHttpResponse answer, Relay rest) {
            begunAt = now();
            report = report(answer);
            Gateway.this.begun(exchange, number, answer, rest);
        }

        @Override
        public void onEnd(Outcome outcome, FullHttpResponse answer) {
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
        if (exchange.rest != null) {  // framed as it came
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
            tally.increment(exchange.className, GatewayMetrics.RequestOutcome.REFUSED);
            log.add(EventLog.Event.REQUEST_REFUSED, "trace", exchange.trace, "class", exchange.className, "attempts",
                    exchange.attempts.size());
            exchange.client.refused(retryAfter);
        }
    }

    @Override
    public void fail(long id) {
        Exchange exchange = ledger.get(id);
        if (exchange != null && !exchange.ended && !exchange.begun) {
            finish(exchange);
            failed(exchange, exchange.late ? "attempt_late" : "no_further_attempt");
            exchange.client.failed(exchange.late);
        }
    }

    @Override
    public void scheduleTimer(long at, String handle) {
        loop.schedule(() -> {
            long begunAt = monitor.taskStarted();
            event(null, now -> module.timerFired(now, handle));
            monitor.taskEnded(LoopMonitor.Task.TIMER, begunAt);
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
            LoadReport report = LoadReportParser.parse(answer == null || !reports ? null
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

    /** The settings allow no messages between gateways; the module sends none. */
    @Override
    public void sendToPeer(int peer, byte[] message) {
        throw new UnsupportedOperationException("gateways share nothing");
    }

    @Override
    public void log(String line) {
        out.accept(line);
    }
}
