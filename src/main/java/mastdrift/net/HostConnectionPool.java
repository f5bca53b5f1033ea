package mastdrift.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.Outcome;

/** The pool of connections to hosts. Makes each attempt once, on the host that the caller chose, and reports its
    outcome. */
final class HostConnectionPool {

    static final String EXPIRES_HEADER = "X-Expires-In-Ms";
    static final String LOAD_REPORT_HEADER = "Endpoint-Load-Metrics";
    private static final String NEVER_RAN_HEADER = "X-Never-Ran";
    /** The headers of the platform that responses are read for. */
    static final List<String> RESPONSE_HEADERS = List.of(LOAD_REPORT_HEADER, NEVER_RAN_HEADER);
    // Part of the hosts' idle timeout after which an idle connection is no longer used: a request that is written later
    // could meet the host's close.
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;
    // Taken off the drain grace: the platform may suspend the process for 0.15 s between reading the clock and a write,
    // and a host list may have waited for as long before it was read.
    private static final long DRAIN_GRACE_MARGIN_MICROS = 300_000;
    // How long a response may pause before any of it is passed on until the listener is told: longer than TCP takes to
    // send a lost packet again, 200 ms.
    private static final long STALL_TIMEOUT_MICROS = 250_000;
    // A response of unknown length that takes longer than this is streamed, since it may be a long one whose first
    // bytes the client waits for.
    private static final long MAX_AGGREGATION_MICROS = 50_000;
    // The start of such a response is passed on after this time at the latest: one that is held back for 2 s is lost.
    private static final long MAX_HOLD_MICROS = 1_000_000;
    // Idle timeout and sweep interval of a gateway that is about to end while its successor runs.
    private static final long RETIRED_IDLE_TIMEOUT_MICROS = 100_000;
    private static final long RETIRED_SWEEP_INTERVAL_MICROS = 50_000;
    // The system would grow the send buffer to megabytes and report it writable only once a third of it is free: a host
    // that reads slowly would seem to read nothing for longer than a request's time.
    private static final int SEND_BUFFER_BYTES = 32 << 10;
    // Connecting is retried for 0.1 s in all where it failed for a lack on this machine.
    private static final int MAX_CONNECT_TRIES = 10;
    private static final long CONNECT_RETRY_MILLIS = 10;
    private static final int MAX_INTERIM_RESPONSES = 16;  // 1xx responses ahead of the final one
    // A host that sends a second response some milliseconds after the first would have it taken for the response to the
    // next request. For the period after such unexpected data, connections to that host are reused only after this
    // delay.
    private static final long REUSE_DELAY_MICROS = 50_000;
    private static final long REUSE_DELAY_PERIOD_MICROS = 60_000_000;

    /** Receives the events of one attempt. */
    interface AttemptListener {
        /** Whether the attempt may still be written, asked when its new connection has been established. */
        default boolean mayWrite() {
            return true;
        }

        /** The last byte of the request has been written. The attempt may have ended before. */
        default void onRequestWritten() { }

        /** The request is streamed from now on and can't be sent again. */
        default void onRequestStreaming() { }

        /** The client has sent the whole body of a request that is streamed: its time runs. Returns how much of it is
            left, in microseconds. */
        default long onRequestReceived() {
            return Long.MAX_VALUE;
        }

        /** The host's response has begun and paused for a while before any of it was passed on. Called again for each
            further pause. Returns whether to go on waiting for it until the attempt's timeout; otherwise the attempt
            ends as dropped. */
        default boolean onResponseStalled() {
            return false;
        }

        /** A response that is too long to be aggregated has started. The listener consumes or abandons the relay of its
            body; {@link #onEnd} follows once the whole body has been read or can't be. */
        default void onResponseStart(FullHttpResponse response, BodyRelay bodyRelay) {
            bodyRelay.abandon();
        }

        /** The attempt has ended; called exactly once. The response is null where the host gave none or it was
            streamed. */
        void onEnd(Outcome outcome, FullHttpResponse response);
    }

    /** A host of the list with its idle connections. Times are on the gateway's clock, in microseconds. */
    private static final class PooledHost {
        private InetSocketAddress address;
        private long startedAt;
        private long sendDeadline = Long.MAX_VALUE;
        private long reuseDelayedUntil;  // until then idle connections are reused only after REUSE_DELAY_MICROS
        private final Deque<HostConnection> idleConnections = new ArrayDeque<>();  // most recently used first
    }

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Bootstrap bootstrap;
    private long idleTimeout;
    private final long drainGrace;
    private final int maxConnections;
    private final MemoryPool responseMemory;
    private final Map<String, PooledHost> hosts = new HashMap<>();
    private final GatewayMetrics metrics;
    private final EventLog log;
    private int connectionCount;

    /** Creates a pool of at most {@code maxConnections} connections, whose responses are counted in
        {@code responseMemory}. The clock and all durations are in microseconds. */
    HostConnectionPool(EventLoop loop, LongSupplier clock, LoopMonitor monitor, long connectTimeout,
            long hostIdleTimeout, long drainGrace, int maxConnections, MemoryPool responseMemory, GatewayMetrics metrics,
            EventLog log) {
        this.loop = loop;
        this.clock = clock;
        this.drainGrace = Math.max(0, drainGrace - DRAIN_GRACE_MARGIN_MICROS);
        this.maxConnections = maxConnections;
        this.responseMemory = responseMemory;
        this.metrics = metrics;
        this.log = log;
        idleTimeout = (long) (hostIdleTimeout * IDLE_TIMEOUT_FRACTION);
        bootstrap = new Bootstrap().group(loop).channelFactory(TcpChannel::new)
                .option(ChannelOption.ALLOCATOR, MessageBuffers.ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new BoundedReadAllocator(new FairReadAllocator(clock), responseMemory))
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, DownstreamServer.WRITE_WATER_MARK)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeout / 1000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ResponseDecoder decoder = new ResponseDecoder();
                        MessageAggregator aggregator = new MessageAggregator(responseMemory, false);
                        channel.pipeline().addLast(new HttpRequestEncoder(),
                                new ReadTimingHandler(monitor, LoopMonitor.Task.UPSTREAM_READ), decoder, aggregator,
                                new HostConnection(channel, decoder, aggregator));
                    }
                });
        long sweepInterval = Math.min(idleTimeout / 8 + 1, 1_000_000);
        PeriodicTask.schedule(loop, sweepInterval, this::closeExpiredIdle, log::fault);
    }

    /** Applies a host list. Idle connections to hosts that drain, are gone, have moved or have restarted are closed at
        once. */
    void update(HostList list) {
        Set<String> listed = new HashSet<>();
        for (HostList.Entry entry : list.entries()) {
            Host host = entry.host();
            listed.add(host.address());
            PooledHost pooled = hosts.computeIfAbsent(host.address(), address -> new PooledHost());
            if (host.state() != HostState.IN_SERVICE) {
                drain(pooled);
            } else {
                if (!entry.endpoint().equals(pooled.address) || host.startedAt() != pooled.startedAt) {
                    closeIdle(pooled);
                }
                pooled.sendDeadline = Long.MAX_VALUE;
            }
            pooled.address = entry.endpoint();
            pooled.startedAt = host.startedAt();
            if (host.state() == HostState.TERMINATED) {
                hosts.remove(host.address());
            }
        }
        if (list.full()) {
            hosts.entrySet().removeIf(known -> {
                boolean gone = !listed.contains(known.getKey());
                if (gone) {
                    drain(known.getValue());
                }
                return gone;
            });
        }
    }

    int knownHostCount() {
        return hosts.size();
    }

    /** The number of connections that are being established or carry an attempt. */
    int busyConnectionCount() {
        return connectionCount - hosts.values().stream().mapToInt(host -> host.idleConnections.size()).sum();
    }

    private void drain(PooledHost host) {
        host.sendDeadline = Math.min(host.sendDeadline, clock.getAsLong() + drainGrace);
        closeIdle(host);
    }

    /** Sends a request, which it releases. The timeout, in microseconds, covers the whole attempt. */
    Attempt send(String hostId, FullHttpRequest request, long timeout, AttemptListener listener) {
        return send(hostId, request, null, timeout, listener);
    }

    /** Sends a request, which it releases, whose body continues in {@code bodyRelay}; null where the message is whole.
        With a relay the timeout, in microseconds, applies to each phase: connecting, a host that accepts no more of the
        body, and what follows once the whole body has been read from the client: there the listener may shorten it. */
    Attempt send(String hostId, FullHttpRequest request, BodyRelay bodyRelay, long timeout, AttemptListener listener) {
        Attempt attempt = new Attempt(request, bodyRelay, timeout, listener);
        PooledHost host = hosts.get(hostId);
        if (host == null || timeout <= 0) {
            attempt.finish(Outcome.UNUSED, null);
            return attempt;
        }
        attempt.startTimer();
        HostConnection idle = takeIdle(host);
        if (idle != null) {
            idle.write(attempt);
        } else if (connectionCount >= maxConnections && !closeOldestIdle()) {
            metrics.increment(GatewayMetrics.Counter.HOST_NO_ROOM);
            attempt.finish(Outcome.DIAL_FAILED, null);
        } else {
            connect(host, attempt, 1);
        }
        return attempt;
    }

    private void connect(PooledHost host, Attempt attempt, int tries) {
        InetSocketAddress address = host.address;
        long startedAt = host.startedAt;
        connectionCount++;
        metrics.increment(GatewayMetrics.Counter.HOST_DIALS);
        metrics.recordPeak(GatewayMetrics.Peak.HOST_CONNECTIONS, connectionCount);
        attempt.channel = Connector.connect(bootstrap, loop, address, new Connector.ConnectListener() {
            @Override
            public void connected(Channel channel) {
                channel.closeFuture().addListener(closed -> connectionCount--);
                if (!attempt.finished) {
                    HostConnection connection = channel.pipeline().get(HostConnection.class);
                    connection.host = host;
                    connection.address = address;
                    connection.hostStartedAt = startedAt;
                    connection.writeIfAllowed(attempt);
                }
            }

            @Override
            public void failed(Throwable cause) {
                connectionCount--;  // not in a close listener: without a free descriptor there is no channel to close
                metrics.increment(GatewayMetrics.Counter.HOST_DIALS_FAILED);
                log.add(EventLog.Event.DIAL_FAILED, "at", address, "cause", cause, "tries", tries);
                if (Connector.isLocalFailure(cause) && tries < MAX_CONNECT_TRIES) {
                    loop.schedule(() -> retryConnect(host, attempt, tries + 1), CONNECT_RETRY_MILLIS,
                            TimeUnit.MILLISECONDS);
                } else {
                    attempt.finish(Outcome.DIAL_FAILED, null);
                }
            }
        });
    }

    /** Connects again after a failure on this machine, unless the attempt has ended or the host may no longer be
        used. */
    private void retryConnect(PooledHost host, Attempt attempt, int tries) {
        if (attempt.finished) {
            return;
        }
        if (clock.getAsLong() < host.sendDeadline && connectionCount < maxConnections) {
            connect(host, attempt, tries);
        } else {
            attempt.finish(Outcome.DIAL_FAILED, null);
        }
    }

    private HostConnection takeIdle(PooledHost host) {
        long now = clock.getAsLong();
        long minIdle = now < host.reuseDelayedUntil ? REUSE_DELAY_MICROS : 0;
        for (Iterator<HostConnection> iterator = host.idleConnections.iterator(); iterator.hasNext(); ) {
            HostConnection idle = iterator.next();
            if (now - idle.idleSince < minIdle) {
                continue;  // the following ones have been idle for longer
            }
            iterator.remove();
            if (idle.channel.isActive() && now - idle.idleSince < idleTimeout) {
                return idle;
            }
            idle.channel.close();
        }
        return null;
    }

    private boolean closeOldestIdle() {
        Optional<HostConnection> oldest = hosts.values().stream().map(host -> host.idleConnections.peekLast())
                .filter(Objects::nonNull).min(Comparator.comparingLong(idle -> idle.idleSince));
        oldest.ifPresent(idle -> {
            idle.host.idleConnections.remove(idle);
            idle.channel.close();
        });
        return oldest.isPresent();
    }

    private void closeExpiredIdle() {
        long idleSinceLimit = clock.getAsLong() - idleTimeout;
        for (PooledHost host : hosts.values()) {
            while (!host.idleConnections.isEmpty() && host.idleConnections.peekLast().idleSince <= idleSinceLimit) {
                host.idleConnections.pollLast().channel.close();
            }
        }
    }

    /** Keeps idle connections only briefly from now on: this gateway is about to end, and its successor, which opens
        connections already, shares its bound on them. */
    void retire() {
        idleTimeout = Math.min(idleTimeout, RETIRED_IDLE_TIMEOUT_MICROS);
        PeriodicTask.schedule(loop, RETIRED_SWEEP_INTERVAL_MICROS, this::closeExpiredIdle, log::fault);
    }

    void closeIdle(String hostId) {
        if (hosts.containsKey(hostId)) {
            closeIdle(hosts.get(hostId));
        }
    }

    private static void closeIdle(PooledHost host) {
        for (HostConnection idle = host.idleConnections.poll(); idle != null; idle = host.idleConnections.poll()) {
            idle.channel.close();
        }
    }

    /** One attempt of a request on one host. Times are on the gateway's clock, in microseconds. */
    final class Attempt {

        private final FullHttpRequest request;
        private final BodyRelay bodyRelay;
        private long timeout;
        private final AttemptListener listener;
        private long deadline;
        private long lastProgressAt;  // when the host last accepted a part of the body, or none was waiting
        private Future<?> timeoutTimer;
        private Future<?> stallTimer;
        private long responseSeenAt;  // when a response of unknown length was first seen, or 0
        private Channel channel;
        private boolean writeStarted;
        private boolean requestWritten;
        private boolean stalled;  // its response has begun and paused before any of it was passed on
        private boolean finished;

        private Attempt(FullHttpRequest request, BodyRelay bodyRelay, long timeout, AttemptListener listener) {
            this.request = request;
            this.bodyRelay = bodyRelay;
            this.timeout = timeout;
            this.listener = listener;
        }

        private void startTimer() {
            stopTimers();
            deadline = clock.getAsLong() + timeout;
            timeoutTimer = loop.schedule(this::expire, timeout, TimeUnit.MICROSECONDS);
        }

        private void stopTimers() {
            if (timeoutTimer != null) {
                timeoutTimer.cancel(false);
            }
            cancelStallTimer();
        }

        private void cancelStallTimer() {
            if (stallTimer != null) {
                stallTimer.cancel(false);
            }
        }

        /** The body has been read to its end: from then on its client waits for the response. */
        private void requestReceived() {
            if (!finished) {
                timeout = Math.max(1, Math.min(timeout, listener.onRequestReceived()));
                startTimer();
            }
        }

        /** Fails the attempt if the host has accepted none of the waiting body for so long that an answer would be too
            late, if the client has sent the whole body by now; otherwise checks again later. */
        private void checkWriteProgress() {
            long now = clock.getAsLong();
            lastProgressAt = bodyRelay.hasUnwrittenData() ? lastProgressAt : now;
            long timeLeft = timeout + ResponseReadTimer.MAX_LATENESS_MICROS - (now - lastProgressAt);
            if (timeLeft <= 0) {
                abort(Outcome.DIAL_FAILED);
            } else {
                timeoutTimer = loop.schedule(this::checkWriteProgress, timeLeft, TimeUnit.MICROSECONDS);
            }
        }

        /** Ends the attempt and closes its connection, which tells the host to abandon the request. */
        void cancel() {
            abort(Outcome.REVOKED);
        }

        /** Cancels the attempt unless writing it has started. */
        void cancelIfUnsent() {
            if (!writeStarted) {
                cancel();
            }
        }

        /** Whether anything of the request may have reached its host. */
        boolean isWriteStarted() {
            return writeStarted;
        }

        /** Ends the attempt as late, unless the start of a response that may be a long one has come in time. */
        void expire() {
            HostConnection connection = writeStarted ? channel.pipeline().get(HostConnection.class) : null;
            if (connection == null || !connection.passOnRecentPart(this)) {
                abort(writeStarted ? Outcome.EXPIRED : Outcome.DIAL_FAILED);
            }
        }

        private void abort(Outcome outcome) {
            if (!finished) {
                finish(outcome, null);
                MessageAggregator assembler = channel.pipeline().get(MessageAggregator.class);
                if (assembler != null) {
                    assembler.abort();  // or the close could pass for the end of a response that ends with it
                }
                Connector.close(channel);
            }
        }

        private void finish(Outcome outcome, FullHttpResponse response) {
            if (finished) {
                return;
            }
            finished = true;
            stopTimers();
            if (!writeStarted) {
                request.release();
            }
            listener.onEnd(outcome, response);
        }
    }

    /** Decodes responses. Rejects one with a transfer coding that the gateway can't decode, one with both a content
        length and chunked encoding, and one with neither on a persistent connection: where it ends would be a guess. */
    private static final class ResponseDecoder extends HttpResponseDecoder {

        private boolean responseStarted;

        ResponseDecoder() {
            super(new HttpDecoderConfig().setHeadersFactory(UsedHeaders.FACTORY).setTrailersFactory(UsedHeaders.FACTORY));
        }

        @Override
        protected HttpMessage createMessage(String[] line) {
            responseStarted = true;
            return super.createMessage(line);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            TransferCoding.requireSupported(message);
            boolean empty = super.isContentAlwaysEmpty(message);
            boolean hasLength = HttpUtil.isContentLengthSet(message);
            boolean isChunked = HttpUtil.isTransferEncodingChunked(message);
            boolean endsWithConnection = !hasLength && !isChunked && !HttpUtil.isKeepAlive(message);
            if (!empty && hasLength == isChunked && !endsWithConnection) {
                throw new IllegalArgumentException("a response with no length, or with a length and chunks");
            }
            return empty;
        }

        /** Rejects a line without a colon, which the base class takes for a header with no value. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("a header line without a colon");
            }
            return super.splitHeaderName(line, start, length);
        }

        /** The memory of what has been received and not been decoded. */
        int heldBytes() {
            return actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
        }

        /** Whether a part of a response, or of invalid data, has been received. */
        boolean hasPartialInput() {
            return responseStarted || actualReadableBytes() > 0;
        }
    }

    /** One connection to a host, which carries one attempt at a time. */
    private final class HostConnection extends SimpleChannelInboundHandler<MessageAggregator.AggregatedMessage> {

        private final Channel channel;
        private final ResponseDecoder decoder;
        private final MessageAggregator aggregator;
        private final MemoryPool.Holding undecoded = responseMemory.newHolding();
        private BodyRelay responseRelay;  // of the response that is being streamed, or null
        private ResponseReadTimer responseTimer;  // of the same response
        private PooledHost host;
        private InetSocketAddress address;
        private long hostStartedAt;
        private Attempt attempt;
        private boolean responseComplete;
        private boolean keepAlive;
        private int interimResponses;
        private long idleSince;
        private long lastReadAt;

        HostConnection(Channel channel, ResponseDecoder decoder, MessageAggregator aggregator) {
            this.channel = channel;
            this.decoder = decoder;
            this.aggregator = aggregator;
        }

        /** Writes an attempt that waited for this connection, unless the host may no longer be used or the caller
            withdraws. */
        private void writeIfAllowed(Attempt next) {
            if (clock.getAsLong() < host.sendDeadline && isCurrent() && next.listener.mayWrite()) {
                write(next);
            } else {
                next.finish(Outcome.UNUSED, null);
                channel.close();
            }
        }

        /** Whether the host has neither moved nor restarted since this connection was opened. */
        private boolean isCurrent() {
            return address.equals(host.address) && hostStartedAt == host.startedAt;
        }

        private void write(Attempt next) {
            long now = clock.getAsLong();
            next.channel = channel;
            attempt = next;
            next.writeStarted = true;
            next.request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(address))
                    .set(EXPIRES_HEADER, Math.max(1, (next.deadline - now) / 1000));
            if (next.bodyRelay == null) {
                channel.writeAndFlush(next.request).addListener(done -> requestWritten(next, done.isSuccess()));
            } else {
                streamRequest(next);
            }
        }

        private void requestWritten(Attempt sent, boolean complete) {
            sent.requestWritten = complete;
            if (complete) {
                sent.listener.onRequestWritten();
            } else {
                channel.close();
            }
        }

        private void streamRequest(Attempt sent) {
            FullHttpRequest request = sent.request;
            HttpRequest head = new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(),
                    request.headers());
            channel.write(head);
            sent.bodyRelay.writeAhead(channel, request.content());
            sent.stopTimers();
            sent.listener.onRequestStreaming();
            if (sent.bodyRelay.isComplete()) {
                sent.requestReceived();
            } else {
                sent.lastProgressAt = clock.getAsLong();
                sent.bodyRelay.onComplete(sent::requestReceived);
                sent.checkWriteProgress();
            }
            sent.bodyRelay.writeTo(channel, complete -> requestWritten(sent, complete));
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (attempt != null && attempt.bodyRelay != null && !attempt.requestWritten) {
                attempt.lastProgressAt = clock.getAsLong();
                attempt.bodyRelay.resumeWriting();
            }
        }

        /** Doesn't return the connection to the pool: data may follow the response, which would be taken for the
            response to the next request. {@link #channelReadComplete} returns it. */
        @Override
        protected void channelRead0(ChannelHandlerContext context, MessageAggregator.AggregatedMessage part) {
            FullHttpResponse response = (FullHttpResponse) part.message();
            try {
                if (part.bodyRelay() == null) {
                    responseReceived(response);
                } else {
                    startStreaming(response, part.bodyRelay());
                }
            } finally {
                response.release();
            }
        }

        private void responseReceived(FullHttpResponse response) {
            decoder.responseStarted = false;
            boolean valid = response.decoderResult().isSuccess()
                    && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            if (valid && response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                    && ++interimResponses <= MAX_INTERIM_RESPONSES) {
                return;
            }
            valid &= response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
            Attempt current = attempt;
            attempt = null;
            if (current == null) {
                unexpectedDataReceived();
            } else if (!valid) {
                log.add(EventLog.Event.UPSTREAM_FAILED, "at", address, "cause", response.decoderResult().cause(),
                        "written", current.requestWritten);
            }
            responseComplete = current != null && !current.finished && current.requestWritten && valid
                    && HttpUtil.isKeepAlive(response);
            idleSince = clock.getAsLong();
            if (!responseComplete) {
                channel.close();
            }
            if (current != null) {
                current.finish(valid ? outcome(response) : Outcome.DROPPED, response);
            }
        }

        /** Notes that the host sent data that belongs to no request. */
        private void unexpectedDataReceived() {
            if (host != null) {
                host.reuseDelayedUntil = clock.getAsLong() + REUSE_DELAY_PERIOD_MICROS;
            }
        }

        /** Streams a long response if it is a success and its request has been written completely. Otherwise ends the
            attempt, for which the status is enough. */
        private void startStreaming(FullHttpResponse response, BodyRelay bodyRelay) {
            Attempt current = attempt;
            if (current == null || current.finished || !current.requestWritten
                    || outcome(response) != Outcome.DELIVERED) {
                bodyRelay.abandon();
                channel.close();
                attempt = null;
                if (current != null) {
                    current.finish(outcome(response) == Outcome.DELIVERED ? Outcome.DROPPED : outcome(response), null);
                }
                return;
            }
            current.stopTimers();
            long now = clock.getAsLong();
            boolean seenBefore = current.responseSeenAt != 0;
            responseRelay = bodyRelay;
            responseTimer = new ResponseReadTimer(seenBefore ? current.responseSeenAt : now,
                    seenBefore ? lastReadAt : now, aggregator.bytes(),
                    HttpUtil.isContentLengthSet(response), current.deadline);
            keepAlive = HttpUtil.isKeepAlive(response);
            ResponseReadTimer timer = responseTimer;
            bodyRelay.onFullChange(() -> relayFullChanged(current, timer, bodyRelay.isFull()));
            current.listener.onResponseStart(response, bodyRelay);
            scheduleResponseCheck(current);
        }

        /** Stops reading from the host while the client takes no more, and does not time the host meanwhile. */
        private void relayFullChanged(Attempt current, ResponseReadTimer timer, boolean full) {
            channel.config().setAutoRead(!full);
            timer.setPaused(full, clock.getAsLong());
            if (!current.finished) {
                scheduleResponseCheck(current);
            }
        }

        /** Ends the attempt if its streamed response is complete; otherwise extends its time. */
        private void responseDataStreamed() {
            Attempt current = attempt;
            if (responseRelay.isFinished()) {
                boolean complete = responseRelay.isComplete();
                // The client may still have to take some of it: that no longer concerns this connection.
                responseRelay.onFullChange(() -> { });
                channel.config().setAutoRead(true);
                attempt = null;
                responseRelay = null;
                decoder.responseStarted = false;
                responseComplete = complete && keepAlive;
                idleSince = clock.getAsLong();
                current.finish(complete ? Outcome.DELIVERED : Outcome.DROPPED, null);
            } else {
                responseTimer.dataReceived(clock.getAsLong(), aggregator.bytes(),
                        ((TcpChannel) channel).mayHaveUnreadInput());
                scheduleResponseCheck(current);
            }
        }

        /** Schedules the end of a streamed response, in place of what was scheduled before; not while reading is
            paused. */
        private void scheduleResponseCheck(Attempt current) {
            current.cancelStallTimer();
            if (!responseTimer.isPaused()) {
                current.stallTimer = loop.schedule(() -> cutOffIfExpired(current),
                        responseTimer.expiresAt() - clock.getAsLong(), TimeUnit.MICROSECONDS);
            }
        }

        /** Ends a streamed response that is too slow; its client sees that it is incomplete. */
        private void cutOffIfExpired(Attempt current) {
            long now = clock.getAsLong();
            if (now < responseTimer.expiresAt()) {
                scheduleResponseCheck(current);
                return;
            }
            metrics.increment(GatewayMetrics.Counter.RESPONSES_CUT_OFF);
            log.add(EventLog.Event.RESPONSE_CUT_OFF, "at", address, "bytes", aggregator.bytes(), "silent_us",
                    now - lastReadAt, "past_deadline_us", now - current.deadline);
            current.abort(Outcome.DROPPED);
        }

        /** Restarts the time after which a response counts as stalled of which nothing was passed on. */
        private void startStallTimer(Attempt current) {
            current.cancelStallTimer();
            current.stallTimer = loop.schedule(() -> responseStalled(current), STALL_TIMEOUT_MICROS,
                    TimeUnit.MICROSECONDS);
        }

        private void responseStalled(Attempt current) {
            long now = clock.getAsLong();
            if (!current.stalled) {
                current.stalled = true;
                metrics.increment(GatewayMetrics.Counter.RESPONSES_STALLED);
                log.add(EventLog.Event.RESPONSE_STALLED, "at", address, "bytes", aggregator.bytes(), "silent_us",
                        now - lastReadAt, "past_deadline_us", now - current.deadline);
            }
            if (!current.listener.onResponseStalled()) {
                current.abort(Outcome.DROPPED);
            } else if (isPartHeldBack(current) && now - current.responseSeenAt >= MAX_HOLD_MICROS) {
                passOnPart();
            } else if (!current.finished) {
                startStallTimer(current);
            }
        }

        /** Whether a part of a response of unknown length has been read for the attempt and not been passed on. */
        private boolean isPartHeldBack(Attempt current) {
            return mayStream(current) && aggregator.hasPartialBodyOfUnknownLength();
        }

        private boolean mayStream(Attempt current) {
            return attempt == current && responseRelay == null && current.requestWritten && !current.finished;
        }

        private void passOnPart() {
            aggregator.startRelay(channel.pipeline().context(aggregator));
        }

        /** Passes on what has come of a response of unknown length; false if there is nothing, or its host has paused
            for too long to go on. */
        private boolean passOnRecentPart(Attempt current) {
            boolean recent = clock.getAsLong() - lastReadAt < ResponseReadTimer.MAX_PAUSE_MICROS;
            if (!recent || !isPartHeldBack(current)) {
                return false;
            }
            passOnPart();
            return true;
        }

        /** All received data has been read. Returns the connection to the pool if the response was complete and nothing
            followed it; closes it on data that belongs to no request; bounds the time for the rest of a partial
            response. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            lastReadAt = clock.getAsLong();
            undecoded.set(decoder.heldBytes());
            if (responseRelay != null) {
                responseDataStreamed();
            }
            if (attempt != null) {
                if (responseRelay == null && decoder.hasPartialInput()) {
                    startStallTimer(attempt);
                    streamIfSlow(attempt);
                }
            } else if (responseComplete && !decoder.hasPartialInput() && host.sendDeadline == Long.MAX_VALUE
                    && isCurrent()) {
                interimResponses = 0;
                host.idleConnections.push(this);
            } else {
                if (decoder.hasPartialInput()) {
                    unexpectedDataReceived();
                }
                channel.close();
            }
            responseComplete = false;
        }

        /** Streams a response of unknown length once it has taken long enough, and any while memory is short. Called
            only when data has just arrived: a response that has stalled may still be fetched from another host. */
        private void streamIfSlow(Attempt current) {
            boolean memoryShort = responseMemory.isExhausted() && mayStream(current) && aggregator.hasPartialBody();
            if (memoryShort) {
                passOnPart();
            } else if (aggregator.hasPartialBodyOfUnknownLength()) {
                long now = clock.getAsLong();
                current.responseSeenAt = current.responseSeenAt == 0 ? now : current.responseSeenAt;
                if (now - current.responseSeenAt >= MAX_AGGREGATION_MICROS) {
                    passOnPart();
                }
            }
        }

        private Outcome outcome(FullHttpResponse response) {
            return switch (response.status().code()) {
                case 200 -> Outcome.DELIVERED;
                case 503, 504 -> "1".equals(response.headers().get(NEVER_RAN_HEADER)) ? Outcome.SHED : Outcome.ERROR;
                default -> Outcome.ERROR;
            };
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event == TcpChannel.WriteDeferred.INSTANCE) {
                metrics.increment(GatewayMetrics.Counter.WRITES_DEFERRED);
                log.add(EventLog.Event.WRITE_DEFERRED, "at", address);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            undecoded.set(0);
            if (attempt != null) {
                attempt.finish(attempt.requestWritten ? Outcome.DROPPED : Outcome.DIAL_FAILED, null);
            } else if (host != null) {
                host.idleConnections.remove(this);
            }
        }

        /** Closes the connection on an I/O error or an invalid response; {@link #channelInactive} then ends the
            attempt. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof DecoderException
                    || cause instanceof PrematureChannelClosureException)) {
                log.fault("fault at a host's connection: " + cause);
            } else if (attempt != null) {
                log.add(EventLog.Event.UPSTREAM_FAILED, "at", address, "cause", cause, "written",
                        attempt.requestWritten);
            }
            context.close();
        }
    }
}
