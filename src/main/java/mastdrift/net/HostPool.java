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

/** Connections to hosts. Carries out what it is told on the host that it is told, once, and says how that ended. */
final class HostPool {

    static final String EXPIRES = "X-Expires-In-Ms";
    // Of the time after which hosts close idle connections: a request written in the rest might meet that close.
    private static final double IDLE_PART = 0.8;
    // The platform may hold the process up for 0.15 s between a look at the clock and a write, and a list may have waited as
    // long before it was read: drains are kept with this to spare.
    private static final long GRACE_SPARE_MICROS = 300_000;
    // Of an answer that is held whole, the next piece comes at once but for a lost packet, which is sent again after
    // 200 ms: one that stalls for longer won't end.
    private static final long STALL_MICROS = 250_000;
    // A long one that is being relayed may be read and written slowly, and can't be had from another host any more.
    private static final long RELAY_STALL_MICROS = 5_000_000;
    // An answer whose length is not told, and that comes for longer, may be a long one, of which the first bytes count.
    private static final long OPEN_ENDED_HELD_MICROS = 50_000;
    // A gateway that leaves beside its successor keeps connections for so long, and looks so often.
    private static final long RETIRED_IDLE_MICROS = 100_000;
    private static final long RETIRED_SWEEP_MICROS = 50_000;
    // A dial that fails for a reason of this machine's is made again, so often and after such a pause: for a tenth of a second.
    private static final int LOCAL_TRIES = 10;
    private static final long LOCAL_RETRY_MILLIS = 10;
    private static final int INTERIM_ANSWERS_MOST = 16;  // 1xx answers ahead of the real one
    // A second answer may come some milliseconds behind the first, and would pass for that to the next request: where a host
    // has been seen to send such a stray, its connections rest for a while behind each answer.
    private static final long STRAY_REST_MICROS = 50_000;
    private static final long STRAY_KEPT_MICROS = 60_000_000;

    /** Hears how an attempt ended, exactly once; the answer is there where the host gave one. */
    interface Ended {
        /** Whether the attempt, whose connection has come up after a wait, may still be written. */
        default boolean mayWrite() {
            return true;
        }

        /** The attempt's last byte has been written, which its end may precede. */
        default void written() { }

        /** The request goes out piece by piece from now on and can't be sent again. */
        default void relaying() { }

        /** An answer that is too long to be held has begun; the rest is to be taken or abandoned. The end comes once all
            of it has been read, or won't be. */
        default void begun(FullHttpResponse answer, BodyRelay rest) {
            rest.abandon();
        }

        void ended(Outcome outcome, FullHttpResponse answer);
    }

    private static final class Peer {
        private InetSocketAddress at;
        private long born;
        private long sendUntil = Long.MAX_VALUE;
        private long strayUntil;  // so long its connections rest
        private final Deque<Connection> idle = new ArrayDeque<>();  // the most recently used first
    }

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Bootstrap bootstrap;
    private long idleMost;
    private final long grace;
    private final int most;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Tally tally;
    private final EventLog log;
    private int connections;

    /** Holds {@code most} connections; spans are in microseconds. */
    HostPool(EventLoop loop, LongSupplier clock, LoopMonitor monitor, long dialTimeout, long idle, long grace, int most,
            Tally tally, EventLog log) {
        this.loop = loop;
        this.clock = clock;
        this.grace = Math.max(0, grace - GRACE_SPARE_MICROS);
        this.most = most;
        this.tally = tally;
        this.log = log;
        idleMost = (long) (idle * IDLE_PART);
        bootstrap = new Bootstrap().group(loop).channelFactory(TcpChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, DownstreamServer.receiveBufferAllocator())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, DownstreamServer.WRITE_WATER_MARK)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeout / 1000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Answers answers = new Answers();
                        MessageAggregator assembler = new MessageAggregator();
                        channel.pipeline().addLast(new HttpRequestEncoder(),
                                new ReadTimingHandler(monitor, LoopMonitor.Task.UPSTREAM_READ), answers, assembler,
                                new Connection(channel, answers, assembler));
                    }
                });
        long sweep = Math.min(idleMost / 8 + 1, 1_000_000);
        PeriodicTask.schedule(loop, sweep, this::closeAged, log::fault);
    }

    /** Hosts that leave, are gone or have started anew lose their idle connections at once. */
    void update(HostList list) {
        Set<String> named = new HashSet<>();
        for (HostList.Entry entry : list.entries()) {
            Host host = entry.host();
            named.add(host.address());
            Peer peer = peers.computeIfAbsent(host.address(), uid -> new Peer());
            if (host.state() != HostState.IN_SERVICE) {
                leave(peer);
            } else {
                if (!entry.at().equals(peer.at) || host.startedAt() != peer.born) {
                    closeIdle(peer);
                }
                peer.sendUntil = Long.MAX_VALUE;
            }
            peer.at = entry.at();
            peer.born = host.startedAt();
            if (host.state() == HostState.TERMINATED) {
                peers.remove(host.address());
            }
        }
        if (list.all()) {
            peers.entrySet().removeIf(known -> {
                boolean gone = !named.contains(known.getKey());
                if (gone) {
                    leave(known.getValue());
                }
                return gone;
            });
        }
    }

    int known() {
        return peers.size();
    }

    /** Connections that are coming up, or that an attempt is out on. */
    int busy() {
        return connections - peers.values().stream().mapToInt(peer -> peer.idle.size()).sum();
    }

    private void leave(Peer peer) {
        peer.sendUntil = Math.min(peer.sendUntil, clock.getAsLong() + grace);
        closeIdle(peer);
    }

    /** Sends the message, which it releases, and waits for as long as the timeout. */
    Attempt send(String uid, FullHttpRequest message, long timeout, Ended ended) {
        return send(uid, message, null, timeout, ended);
    }

    /** Likewise with a rest, null where there is none: then the timeout is for each part of the way, the connection, a
        host that takes nothing more, and the answer from the last byte on. Where the rest waited for the connection, the
        other parts have what is left of it. */
    Attempt send(String uid, FullHttpRequest message, BodyRelay rest, long timeout, Ended ended) {
        Attempt attempt = new Attempt(message, rest, timeout, ended);
        Peer peer = peers.get(uid);
        if (peer == null || timeout <= 0) {
            attempt.end(Outcome.UNUSED, null);
            return attempt;
        }
        attempt.startTimer();
        Connection idle = takeIdle(peer);
        if (idle != null) {
            idle.write(attempt);
        } else if (connections >= most && !closeEldest()) {
            tally.add(Tally.Count.HOST_NO_ROOM);
            attempt.end(Outcome.DIAL_FAILED, null);
        } else {
            dial(peer, attempt, 1);
        }
        return attempt;
    }

    private void dial(Peer peer, Attempt attempt, int tries) {
        InetSocketAddress at = peer.at;
        long born = peer.born;
        connections++;
        tally.add(Tally.Count.HOST_DIALS);
        tally.level(Tally.Level.HOST_CONNECTIONS, connections);
        attempt.channel = Dialer.dial(bootstrap, loop, at, new Dialer.Result() {
            @Override
            public void connected(Channel channel) {
                channel.closeFuture().addListener(closed -> connections--);
                if (!attempt.over) {
                    Connection connection = channel.pipeline().get(Connection.class);
                    connection.peer = peer;
                    connection.at = at;
                    connection.born = born;
                    connection.writeLate(attempt);
                }
            }

            @Override
            public void failed(Throwable cause) {
                connections--;  // here: where no descriptor was left there is no channel that would close
                tally.add(Tally.Count.HOST_DIALS_FAILED);
                log.add(EventLog.Event.DIAL_FAILED, "at", at, "cause", cause, "tries", tries);
                if (Dialer.isLocal(cause) && tries < LOCAL_TRIES) {
                    loop.schedule(() -> dialAgain(peer, attempt, tries + 1), LOCAL_RETRY_MILLIS, TimeUnit.MILLISECONDS);
                } else {
                    attempt.end(Outcome.DIAL_FAILED, null);
                }
            }
        });
    }

    /** The machine lacked something for a moment, of which the host knows nothing; the attempt may have ended meanwhile. */
    private void dialAgain(Peer peer, Attempt attempt, int tries) {
        if (attempt.over) {
            return;
        }
        if (clock.getAsLong() < peer.sendUntil && connections < most) {
            dial(peer, attempt, tries);
        } else {
            attempt.end(Outcome.DIAL_FAILED, null);
        }
    }

    private Connection takeIdle(Peer peer) {
        long now = clock.getAsLong();
        long least = now < peer.strayUntil ? STRAY_REST_MICROS : 0;
        for (Iterator<Connection> each = peer.idle.iterator(); each.hasNext(); ) {
            Connection idle = each.next();
            if (now - idle.idleSince < least) {
                continue;  // those behind it have rested for longer
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
        Optional<Connection> eldest = peers.values().stream().map(peer -> peer.idle.peekLast())
                .filter(Objects::nonNull).min(Comparator.comparingLong(idle -> idle.idleSince));
        eldest.ifPresent(idle -> {
            idle.peer.idle.remove(idle);
            idle.channel.close();
        });
        return eldest.isPresent();
    }

    private void closeAged() {
        long before = clock.getAsLong() - idleMost;
        for (Peer peer : peers.values()) {
            while (!peer.idle.isEmpty() && peer.idle.peekLast().idleSince <= before) {
                peer.idle.pollLast().channel.close();
            }
        }
    }

    /** This gateway is about to end, and its successor opens connections already: both have one bound on them. */
    void retire() {
        idleMost = Math.min(idleMost, RETIRED_IDLE_MICROS);
        PeriodicTask.schedule(loop, RETIRED_SWEEP_MICROS, this::closeAged, log::fault);
    }

    void closeIdle(String uid) {
        if (peers.containsKey(uid)) {
            closeIdle(peers.get(uid));
        }
    }

    private static void closeIdle(Peer peer) {
        for (Connection idle = peer.idle.poll(); idle != null; idle = peer.idle.poll()) {
            idle.channel.close();
        }
    }

    /** One send: its message until it is written, and who hears of its end. */
    final class Attempt {

        private final FullHttpRequest message;
        private final BodyRelay rest;
        private long timeout;
        private final Ended ended;
        private long ends;
        private long movedAt;  // when the host last took a piece of the rest, or none was there
        private Future<?> timer;
        private Future<?> stall;
        private long firstAt;  // when an answer of which the length is not told was first seen, 0 before
        private Channel channel;
        private boolean sending;
        private boolean written;
        private boolean over;

        private Attempt(FullHttpRequest message, BodyRelay rest, long timeout, Ended ended) {
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

        /** While its rest goes out: ends where the host takes nothing of what there is. */
        private void awaitMove() {
            long now = clock.getAsLong();
            movedAt = rest.hasUnwrittenData() ? movedAt : now;
            if (now - movedAt >= timeout) {
                stop(Outcome.DIAL_FAILED);
            } else {
                timer = loop.schedule(this::awaitMove, timeout - (now - movedAt), TimeUnit.MICROSECONDS);
            }
        }

        /** Stops waiting: the connection closes, by which the host hears of it. */
        void cancel() {
            stop(Outcome.REVOKED);
        }

        /** Cancels it unless it has begun to be written. */
        void withdraw() {
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
                MessageAggregator assembler = channel.pipeline().get(MessageAggregator.class);
                if (assembler != null) {
                    assembler.abort();  // or the close might pass for the end of an answer that is told by it
                }
                Dialer.close(channel);
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
            ended.ended(outcome, answer);
        }
    }

    /** Reads answers; one whose length is told twice, or not at all while its connection is to be kept, can't be told from
        a broken or a longer one. */
    private static final class Answers extends HttpResponseDecoder {

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
                throw new IllegalArgumentException("an answer with no length, or with two");
            }
            return empty;
        }

        /** A line without a colon would pass for a header with no value. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("a header without a colon");
            }
            return super.splitHeaderName(line, start, length);
        }

        /** Whether an answer, or what comes in place of one, has begun and not ended. */
        boolean midway() {
            return begun || actualReadableBytes() > 0;
        }
    }

    /** One connection, which carries one attempt at a time. */
    private final class Connection extends SimpleChannelInboundHandler<MessageAggregator.AggregatedMessage> {

        private final Channel channel;
        private final Answers answers;
        private final MessageAggregator assembler;
        private BodyRelay relay;  // of the answer that is being passed on
        private Peer peer;
        private InetSocketAddress at;
        private long born;
        private Attempt attempt;
        private boolean answered;
        private boolean knownLong;  // that answer, by the length that it tells
        private boolean keepAlive;
        private int interim;
        private long idleSince;

        Connection(Channel channel, Answers answers, MessageAggregator assembler) {
            this.channel = channel;
            this.answers = answers;
            this.assembler = assembler;
        }

        /** What bounded the attempt when it was asked for may have moved on while it waited for this connection. */
        private void writeLate(Attempt next) {
            if (clock.getAsLong() < peer.sendUntil && leadsToTheHost() && next.ended.mayWrite()) {
                write(next);
            } else {
                next.end(Outcome.UNUSED, null);
                channel.close();
            }
        }

        /** Not to where it was before it moved, or to the process that was there before it started anew. */
        private boolean leadsToTheHost() {
            return at.equals(peer.at) && born == peer.born;
        }

        private void write(Attempt next) {
            long now = clock.getAsLong();
            next.channel = channel;
            attempt = next;
            next.sending = true;
            next.message.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(at))
                    .set(EXPIRES, Math.max(1, (next.ends - now) / 1000));
            if (next.rest == null) {
                channel.writeAndFlush(next.message).addListener(done -> written(next, done.isSuccess()));
            } else {
                relay(next);
            }
        }

        private void written(Attempt mine, boolean whole) {
            mine.written = whole;
            if (whole) {
                mine.ended.written();
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
            if (mine.rest.isFull() || mine.rest.isFinished()) {  // reading has paused: what is to come may be there since long
                mine.timeout = mine.ends - clock.getAsLong();
            }
            mine.movedAt = clock.getAsLong();
            mine.awaitMove();
            mine.ended.relaying();
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
                attempt.rest.resumeWriting();
            }
        }

        /** The connection isn't offered again from here: behind the answer there may be more, which would be taken for
            the answer to the next request. */
        @Override
        protected void channelRead0(ChannelHandlerContext context, MessageAggregator.AggregatedMessage part) {
            FullHttpResponse answer = (FullHttpResponse) part.message();
            try {
                if (part.bodyRelay() == null) {
                    answered(answer);
                } else {
                    begun(answer, part.bodyRelay());
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

        /** Something came that belongs to no request. */
        private void strayed() {
            if (peer != null) {
                peer.strayUntil = clock.getAsLong() + STRAY_KEPT_MICROS;
            }
        }

        /** A long answer is passed on if it is one of a request that has been sent whole; what else there is to a long
            one says its status. */
        private void begun(FullHttpResponse answer, BodyRelay rest) {
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
            rest.onFullChange(() -> {
                channel.config().setAutoRead(!rest.isFull());
                if (!rest.isFull() && !mine.over) {
                    awaitMore(mine);  // the host's turn again, for as long as at first
                }
            });
            mine.ended.begun(answer, rest);
            awaitMore(mine);
        }

        /** Ends the attempt once its answer has been read to the end, and otherwise sees to it that this comes. */
        private void relayed() {
            Attempt mine = attempt;
            if (relay.isFinished()) {
                boolean whole = relay.isComplete();
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
                if (relay != null && relay.isFull()) {  // the client's turn, not the host's
                    awaitMore(mine);
                } else {
                    mine.stop(Outcome.DROPPED);
                }
            }, patience(mine), TimeUnit.MICROSECONDS);
        }

        /** How long the next piece of an answer may take, in microseconds. One that is passed on is bound by its request's
            deadline up to the last byte until it is known to be long: behind that, it may go on only while it comes. */
        private long patience(Attempt mine) {
            if (relay == null) {
                return STALL_MICROS;
            }
            boolean isLong = knownLong || assembler.bytes() > MessageAggregator.MAX_AGGREGATED_BYTES;
            return isLong ? RELAY_STALL_MICROS : Math.max(STALL_MICROS, mine.ends - clock.getAsLong());
        }

        /** All that came has been read: a connection is good for the next request if nothing came but the answer. What
            comes while none is out belongs to nobody, and what has begun must end. */
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

        /** Only on what has just come: an answer that has stopped may yet be had from another host. */
        private void passOnOpenEnded(ChannelHandlerContext context, Attempt mine) {
            if (assembler.hasPartialBodyOfUnknownLength()) {
                long now = clock.getAsLong();
                mine.firstAt = mine.firstAt == 0 ? now : mine.firstAt;
                if (now - mine.firstAt >= OPEN_ENDED_HELD_MICROS) {
                    assembler.startRelay(context.pipeline().context(assembler));
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
                tally.add(Tally.Count.WRITES_DEFERRED);
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

        /** A break, or an answer that can't be read: the end of the connection tells the attempt. */
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
