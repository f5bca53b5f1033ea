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
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
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
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.Outcome;

/** The pool of connections to hosts. Makes each attempt once, on the host that the caller chose, and reports its
    outcome. */
final class HostConnectionPool {

    static final String EXPIRES_HEADER = "X-Expires-In-Ms";
    // Part of the hosts' idle timeout after which an idle connection is no longer used: a request that is written later
    // could meet the host's close.
    private static final double IDLE_PART = 0.8;
    // Taken off the drain grace: the platform may suspend the process for 0.15 s between reading the clock and a write,
    // and a host list may have waited for as long before it was read.
    private static final long GRACE_SPARE_MICROS = 300_000;
    // How long a response that is aggregated may stall. A host sends the next piece at once; only a lost packet delays
    // it, and TCP sends that again after 200 ms.
    private static final long STALL_MICROS = 250_000;
    // How long a response that is streamed may stall: its host may produce it slowly, and no other host can be tried
    // any more.
    private static final long RELAY_STALL_MICROS = 5_000_000;
    // A response of unknown length that takes longer than this is streamed, since it may be a long one whose first
    // bytes the client waits for.
    private static final long OPEN_ENDED_HELD_MICROS = 50_000;
    // Idle timeout and sweep interval of a gateway that is about to end while its successor runs.
    private static final long RETIRED_IDLE_MICROS = 100_000;
    private static final long RETIRED_SWEEP_MICROS = 50_000;
    // Connecting is retried for 0.1 s in all where it failed for a lack on this machine.
    private static final int LOCAL_TRIES = 10;
    private static final long LOCAL_RETRY_MILLIS = 10;
    private static final int INTERIM_ANSWERS_MOST = 16;  // 1xx responses ahead of the final one
    // A host that sends a second response some milliseconds after the first would have it taken for the response to the
    // next request. For the period after such unexpected data, connections to that host are reused only after this
    // delay.
    private static final long STRAY_REST_MICROS = 50_000;
    private static final long STRAY_KEPT_MICROS = 60_000_000;

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

        /** A response that is too long to be aggregated has started. The listener consumes or abandons the relay of its
            body; {@link #onEnd} follows once the whole body has been read or can't be. */
        default void onResponseStart(FullHttpResponse answer, Relay rest) {
            rest.abandon();
        }

        /** The attempt has ended; called exactly once. The response is null where the host gave none or it was
            streamed. */
        void onEnd(Outcome outcome, FullHttpResponse answer);
    }

    /** A host of the list with its idle connections. Times are on the gateway's clock, in microseconds. */
    private static final class PooledHost {
        private InetSocketAddress at;
        private long born;
        private long sendUntil = Long.MAX_VALUE;
        private long strayUntil;  // until then idle connections are reused only after REUSE_DELAY_MICROS
        private final Deque<HostConnection> idle = new ArrayDeque<>();  // most recently used first
    }

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Bootstrap bootstrap;
    private long idleMost;
    private final long grace;
    private final int most;
    private final Map<String, PooledHost> peers = new HashMap<>();
    private final GatewayMetrics tally;
    private final EventLog log;
    private int connections;

    /** Creates a pool of at most {@code maxConnections} connections. The clock and all durations are in
        microseconds. */
    HostConnectionPool(EventLoop loop, LongSupplier clock, LoopMonitor monitor, long dialTimeout, long idle, long grace, int most,
            GatewayMetrics tally, EventLog log) {
        this.loop = loop;
        this.clock = clock;
        this.grace = Math.max(0, grace - GRACE_SPARE_MICROS);
        this.most = most;
        this.tally = tally;
        this.log = log;
        idleMost = (long) (idle * IDLE_PART);
        bootstrap = new Bootstrap().group(loop).channelFactory(TcpChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, ClientSide.readSizes())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, ClientSide.WRITE_SIZES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeout / 1000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ResponseDecoder answers = new ResponseDecoder();
                        Assembler assembler = new Assembler();
                        channel.pipeline().addLast(new HttpRequestEncoder(),
                                new MonitoredReads(monitor, LoopMonitor.Task.UPSTREAM_READ), answers, assembler,
                                new HostConnection(channel, answers, assembler));
                    }
                });
        long sweep = Math.min(idleMost / 8 + 1, 1_000_000);
        Periodic.every(loop, sweep, this::closeAged, log::fault);
    }

    /** Applies a host list. Idle connections to hosts that drain, are gone, have moved or have restarted are closed at
        once. */
    void update(HostList list) {
        Set<String> named = new HashSet<>();
        for (HostList.Entry entry : list.entries()) {
            Host host = entry.host();
            named.add(host.address());
            PooledHost peer = peers.computeIfAbsent(host.address(), uid -> new PooledHost());
            if (host.state() != HostState.IN_SERVICE) {
                leave(peer);
            } else {
                if (!entry.endpoint().equals(peer.at) || host.startedAt() != peer.born) {
                    closeIdle(peer);
                }
                peer.sendUntil = Long.MAX_VALUE;
            }
            peer.at = entry.endpoint();
            peer.born = host.startedAt();
            if (host.state() == HostState.TERMINATED) {
                peers.remove(host.address());
            }
        }
        if (list.full()) {
            peers.entrySet().removeIf(known -> {
                boolean gone = !named.contains(known.getKey());
                if (gone) {
                    leave(known.getValue());
                }
                return gone;
            });
        }
    }

    int knownHostCount() {
        return peers.size();
    }

    /** The number of connections that are being established or carry an attempt. */
    int busyConnectionCount() {
        return connections - peers.values().stream().mapToInt(peer -> peer.idle.size()).sum();
    }

    private void leave(PooledHost peer) {
        peer.sendUntil = Math.min(peer.sendUntil, clock.getAsLong() + grace);
        closeIdle(peer);
    }

    /** Sends a request, which it releases. The timeout, in microseconds, covers the whole attempt. */
    Attempt send(String uid, FullHttpRequest message, long timeout, AttemptListener ended) {
        return send(uid, message, null, timeout, ended);
    }

    /** Sends a request, which it releases, whose body continues in {@code bodyRelay}; null where the message is whole.
        With a relay the timeout, in microseconds, applies to each phase: connecting, a host that accepts no more of the
        body, and the response from the last byte sent on. Where the body waited for the connection, the later phases
        share what is left. */
    Attempt send(String uid, FullHttpRequest message, Relay rest, long timeout, AttemptListener ended) {
        Attempt attempt = new Attempt(message, rest, timeout, ended);
        PooledHost peer = peers.get(uid);
        if (peer == null || timeout <= 0) {
            attempt.end(Outcome.UNUSED, null);
            return attempt;
        }
        attempt.startTimer();
        HostConnection idle = takeIdle(peer);
        if (idle != null) {
            idle.write(attempt);
        } else if (connections >= most && !closeEldest()) {
            tally.increment(GatewayMetrics.Counter.HOST_NO_ROOM);
            attempt.end(Outcome.DIAL_FAILED, null);
        } else {
            dial(peer, attempt, 1);
        }
        return attempt;
    }

    private void dial(PooledHost peer, Attempt attempt, int tries) {
        InetSocketAddress at = peer.at;
        long born = peer.born;
        connections++;
        tally.increment(GatewayMetrics.Counter.HOST_DIALS);
        tally.recordPeak(GatewayMetrics.Peak.HOST_CONNECTIONS, connections);
        attempt.channel = Connector.connect(bootstrap, loop, at, new Connector.ConnectListener() {
            @Override
            public void connected(Channel channel) {
                channel.closeFuture().addListener(closed -> connections--);
                if (!attempt.over) {
                    HostConnection connection = channel.pipeline().get(HostConnection.class);
                    connection.peer = peer;
                    connection.at = at;
                    connection.born = born;
                    connection.writeLate(attempt);
                }
            }

            @Override
            public void failed(Throwable cause) {
                connections--;  // not by a close listener: where no descriptor was left there is no channel to close
                tally.increment(GatewayMetrics.Counter.HOST_DIALS_FAILED);
                log.add(EventLog.Event.DIAL_FAILED, "at", at, "cause", cause, "tries", tries);
                if (Connector.isLocalFailure(cause) && tries < LOCAL_TRIES) {
                    loop.schedule(() -> dialAgain(peer, attempt, tries + 1), LOCAL_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                } else {
                    attempt.end(Outcome.DIAL_FAILED, null);
                }
            }
        });
    }

    /** Connects again after a failure on this machine, unless the attempt has ended or the host may no longer be
        used. */
    private void dialAgain(PooledHost peer, Attempt attempt, int tries) {
        if (attempt.over) {
            return;
        }
        if (clock.getAsLong() < peer.sendUntil && connections < most) {
            dial(peer, attempt, tries);
        } else {
            attempt.end(Outcome.DIAL_FAILED, null);
        }
    }

    private HostConnection takeIdle(PooledHost peer) {
        long now = clock.getAsLong();
        long least = now < peer.strayUntil ? STRAY_REST_MICROS : 0;
        for (Iterator<HostConnection> each = peer.idle.iterator(); each.hasNext(); ) {
            HostConnection idle = each.next();
            if (now - idle.idleSince < least) {
                continue;  // the following ones have been idle for longer
            }
            each.remove();
            if (idle.channel.isActive() && now - idle.idleSince < idleMost) {
                return idle;
            }
            idle.channel.close();
        }
        return null;
    }

    private boolean closeEldest() {
        Optional<HostConnection> eldest = peers.values().stream().map(peer -> peer.idle.peekLast())
                .filter(Objects::nonNull).min(Comparator.comparingLong(idle -> idle.idleSince));
        eldest.ifPresent(idle -> {
            idle.peer.idle.remove(idle);
            idle.channel.close();
        });
        return eldest.isPresent();
    }

    private void closeAged() {
        long before = clock.getAsLong() - idleMost;
        for (PooledHost peer : peers.values()) {
            while (!peer.idle.isEmpty() && peer.idle.peekLast().idleSince <= before) {
                peer.idle.pollLast().channel.close();
            }
        }
    }

    /** Keeps idle connections only briefly from now on: this gateway is about to end, and its successor, which opens
        connections already, shares its bound on them. */
    void retire() {
        idleMost = Math.min(idleMost, RETIRED_IDLE_MICROS);
        Periodic.every(loop, RETIRED_SWEEP_MICROS, this::closeAged, log::fault);
    }

    void closeIdle(String uid) {
        if (peers.containsKey(uid)) {
            closeIdle(peers.get(uid));
        }
    }

    private static void closeIdle(PooledHost peer) {
        for (HostConnection idle = peer.idle.poll(); idle != null; idle = peer.idle.poll()) {
            idle.channel.close();
        }
    }

    /** One attempt of a request on one host. Times are on the gateway's clock, in microseconds. */
    final class Attempt {

        private final FullHttpRequest message;
        private final Relay rest;
        private long timeout;
        private final AttemptListener ended;
        private long ends;
        private long movedAt;  // when the host last accepted a part of the body, or none was waiting
        private Future<?> timer;
        private Future<?> stall;
        private long firstAt;  // when a response of unknown length was first seen, or 0
        private Channel channel;
        private boolean sending;
        private boolean written;
        private boolean over;

        private Attempt(FullHttpRequest message, Relay rest, long timeout, AttemptListener ended) {
            this.message = message;
            this.rest = rest;
            this.timeout = timeout;
            this.ended = ended;
        }

        private void startTimer() {
            stopTimers();
            ends = clock.getAsLong() + timeout;
            timer = loop.schedule(this::expire, timeout, TimeUnit.MICROSECONDS);
        }

        private void stopTimers() {
            if (timer != null) {
                timer.cancel(false);
            }
            if (stall != null) {
                stall.cancel(false);
            }
        }

        /** Fails the attempt if the host has accepted none of the waiting body for the timeout; otherwise checks again
            later. */
        private void awaitMove() {
            long now = clock.getAsLong();
            movedAt = rest.waits() ? movedAt : now;
            if (now - movedAt >= timeout) {
                stop(Outcome.DIAL_FAILED);
            } else {
                timer = loop.schedule(this::awaitMove, timeout - (now - movedAt), TimeUnit.MICROSECONDS);
            }
        }

        /** Ends the attempt and closes its connection, which tells the host to abandon the request. */
        void cancel() {
            stop(Outcome.REVOKED);
        }

        /** Cancels the attempt unless writing it has started. */
        void cancelIfUnsent() {
            if (!sending) {
                cancel();
            }
        }

        private void expire() {
            stop(sending ? Outcome.EXPIRED : Outcome.DIAL_FAILED);
        }

        private void stop(Outcome outcome) {
            if (!over) {
                end(outcome, null);
                Assembler assembler = channel.pipeline().get(Assembler.class);
                if (assembler != null) {
                    assembler.breakOff();  // or the close could pass for the end of a response that ends with it
                }
                Connector.close(channel);
            }
        }

        private void end(Outcome outcome, FullHttpResponse answer) {
            if (over) {
                return;
            }
            over = true;
            stopTimers();
            if (!sending) {
                message.release();
            }
            ended.onEnd(outcome, answer);
        }
    }

    /** Decodes responses. Rejects one with both a content length and chunked encoding, and one with neither on a
        persistent connection: where it ends would be a guess. */
    private static final class ResponseDecoder extends HttpResponseDecoder {

        private boolean begun;

        @Override
        protected HttpMessage createMessage(String[] line) {
            begun = true;
            return super.createMessage(line);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            boolean empty = super.isContentAlwaysEmpty(message);
            boolean length = HttpUtil.isContentLengthSet(message);
            boolean chunks = HttpUtil.isTransferEncodingChunked(message);
            boolean endsWithConnection = !length && !chunks && !HttpUtil.isKeepAlive(message);
            if (!empty && length == chunks && !endsWithConnection) {
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

        /** Whether a part of a response, or of invalid data, has been received. */
        boolean midway() {
            return begun || actualReadableBytes() > 0;
        }
    }

    /** One connection, which carries one attempt at a time. */
    private final class HostConnection extends SimpleChannelInboundHandler<Assembler.Part> {

        private final Channel channel;
        private final ResponseDecoder answers;
        private final Assembler assembler;
        private Relay relay;  // of the response that is being streamed, or null
        private PooledHost peer;
        private InetSocketAddress at;
        private long born;
        private Attempt attempt;
        private boolean answered;
        private boolean knownLong;  // whether the streamed response has a Content-Length
        private boolean keepAlive;
        private int interim;
        private long idleSince;

        HostConnection(Channel channel, ResponseDecoder answers, Assembler assembler) {
            this.channel = channel;
            this.answers = answers;
            this.assembler = assembler;
        }

        /** Writes an attempt that waited for this connection, unless the host may no longer be used or the caller
            withdraws. */
        private void writeLate(Attempt next) {
            if (clock.getAsLong() < peer.sendUntil && leadsToTheHost() && next.ended.mayWrite()) {
                write(next);
            } else {
                next.end(Outcome.UNUSED, null);
                channel.close();
            }
        }

        /** Whether the host has neither moved nor restarted since this connection was opened. */
        private boolean leadsToTheHost() {
            return at.equals(peer.at) && born == peer.born;
        }

        private void write(Attempt next) {
            long now = clock.getAsLong();
            next.channel = channel;
            attempt = next;
            next.sending = true;
            next.message.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(at))
                    .set(EXPIRES_HEADER, Math.max(1, (next.ends - now) / 1000));
            if (next.rest == null) {
                channel.writeAndFlush(next.message).addListener(done -> written(next, done.isSuccess()));
            } else {
                relay(next);
            }
        }

        private void written(Attempt mine, boolean whole) {
            mine.written = whole;
            if (whole) {
                mine.ended.onRequestWritten();
            } else {
                channel.close();
            }
        }

        private void relay(Attempt mine) {
            FullHttpRequest from = mine.message;
            HttpRequest head = new DefaultHttpRequest(from.protocolVersion(), from.method(), from.uri(), from.headers());
            channel.write(head);
            channel.writeAndFlush(new DefaultHttpContent(from.content()));
            mine.stopTimers();
            if (mine.rest.full() || mine.rest.over()) {  // reading was paused: the rest may have been received long ago
                mine.timeout = mine.ends - clock.getAsLong();
            }
            mine.movedAt = clock.getAsLong();
            mine.awaitMove();
            mine.ended.onRequestStreaming();
            mine.rest.writeTo(channel, whole -> {
                if (whole && !mine.over) {
                    mine.startTimer();
                }
                written(mine, whole);
            });
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (attempt != null && attempt.rest != null && !attempt.written) {
                attempt.movedAt = clock.getAsLong();
                attempt.rest.goOn();
            }
        }

        /** Doesn't return the connection to the pool: data may follow the response, which would be taken for the
            response to the next request. {@link #channelReadComplete} returns it. */
        @Override
        protected void channelRead0(ChannelHandlerContext context, Assembler.Part part) {
            FullHttpResponse answer = (FullHttpResponse) part.message();
            try {
                if (part.rest() == null) {
                    answered(answer);
                } else {
                    begun(answer, part.rest());
                }
            } finally {
                answer.release();
            }
        }

        private void answered(FullHttpResponse answer) {
            answers.begun = false;
            boolean whole = answer.decoderResult().isSuccess()
                    && !answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            if (whole && answer.status().codeClass() == HttpStatusClass.INFORMATIONAL && ++interim <= INTERIM_ANSWERS_MOST) {
                return;
            }
            whole &= answer.status().codeClass() != HttpStatusClass.INFORMATIONAL;
            Attempt mine = attempt;
            attempt = null;
            if (mine == null) {
                strayed();
            }
            answered = mine != null && !mine.over && mine.written && whole && HttpUtil.isKeepAlive(answer);
            idleSince = clock.getAsLong();
            if (!answered) {
                channel.close();
            }
            if (mine != null) {
                mine.end(whole ? outcome(answer) : Outcome.DROPPED, answer);
            }
        }

        /** Notes that the host sent data that belongs to no request. */
        private void strayed() {
            if (peer != null) {
                peer.strayUntil = clock.getAsLong() + STRAY_KEPT_MICROS;
            }
        }

        /** Streams a long response if it is a success and its request has been written completely. Otherwise ends the
            attempt, for which the status is enough. */
        private void begun(FullHttpResponse answer, Relay rest) {
            Attempt mine = attempt;
            if (mine == null || mine.over || !mine.written || outcome(answer) != Outcome.DELIVERED) {
                rest.abandon();
                channel.close();
                attempt = null;
                if (mine != null) {
                    mine.end(outcome(answer) == Outcome.DELIVERED ? Outcome.DROPPED : outcome(answer), null);
                }
                return;
            }
            mine.stopTimers();
            relay = rest;
            knownLong = HttpUtil.isContentLengthSet(answer);
            keepAlive = HttpUtil.isKeepAlive(answer);
            rest.onPace(() -> {
                channel.config().setAutoRead(!rest.full());
                if (!rest.full() && !mine.over) {
                    awaitMore(mine);  // waiting for the host again, with a full timeout
                }
            });
            mine.ended.onResponseStart(answer, rest);
            awaitMore(mine);
        }

        /** Ends the attempt if its streamed response is complete; otherwise restarts the stall timer. */
        private void relayed() {
            Attempt mine = attempt;
            if (relay.over()) {
                boolean whole = relay.whole();
                attempt = null;
                relay = null;
                answers.begun = false;
                answered = whole && keepAlive;
                idleSince = clock.getAsLong();
                mine.end(whole ? Outcome.DELIVERED : Outcome.DROPPED, null);
            } else {
                awaitMore(mine);
            }
        }

        private void awaitMore(Attempt mine) {
            if (mine.stall != null) {
                mine.stall.cancel(false);
            }
            mine.stall = loop.schedule(() -> {
                if (relay != null && relay.full()) {  // waiting for the client, not for the host
                    awaitMore(mine);
                } else {
                    mine.stop(Outcome.DROPPED);
                }
            }, patience(mine), TimeUnit.MICROSECONDS);
        }

        /** How long the next part of a response may take, in microseconds. A streamed response has until the request's
            deadline; one that is known to be long may take longer, as long as it makes progress. */
        private long patience(Attempt mine) {
            if (relay == null) {
                return STALL_MICROS;
            }
            boolean isLong = knownLong || assembler.bytes() > Assembler.HELD_BYTES_MOST;
            return isLong ? RELAY_STALL_MICROS : Math.max(STALL_MICROS, mine.ends - clock.getAsLong());
        }

        /** All received data has been read. Returns the connection to the pool if the response was complete and nothing
            followed it; closes it on data that belongs to no request; bounds the time for the rest of a partial
            response. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (relay != null) {
                relayed();
            }
            if (attempt != null) {
                if (relay == null && answers.midway()) {
                    awaitMore(attempt);
                    passOnOpenEnded(context, attempt);
                }
            } else if (answered && !answers.midway() && peer.sendUntil == Long.MAX_VALUE && leadsToTheHost()) {
                interim = 0;
                peer.idle.push(this);
            } else {
                if (answers.midway()) {
                    strayed();
                }
                channel.close();
            }
            answered = false;
        }

        /** Streams a response of unknown length once it has taken long enough. Called only when data has just arrived:
            a response that has stalled may still be fetched from another host. */
        private void passOnOpenEnded(ChannelHandlerContext context, Attempt mine) {
            if (assembler.holdsOpenEnded()) {
                long now = clock.getAsLong();
                mine.firstAt = mine.firstAt == 0 ? now : mine.firstAt;
                if (now - mine.firstAt >= OPEN_ENDED_HELD_MICROS) {
                    assembler.relay(context.pipeline().context(assembler));
                }
            }
        }

        private Outcome outcome(FullHttpResponse answer) {
            return switch (answer.status().code()) {
                case 200 -> Outcome.DELIVERED;
                case 503, 504 -> "1".equals(answer.headers().get("X-Never-Ran")) ? Outcome.SHED : Outcome.ERROR;
                default -> Outcome.ERROR;
            };
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event == TcpChannel.WriteDeferred.INSTANCE) {
                tally.increment(GatewayMetrics.Counter.WRITES_DEFERRED);
                log.add(EventLog.Event.WRITE_DEFERRED, "at", at);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (attempt != null) {
                attempt.end(attempt.written ? Outcome.DROPPED : Outcome.DIAL_FAILED, null);
            } else if (peer != null) {
                peer.idle.remove(this);
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
                log.add(EventLog.Event.UPSTREAM_FAILED, "at", at, "cause", cause, "written", attempt.written);
            }
            context.close();
        }
    }
}
