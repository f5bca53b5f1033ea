package mastdrift.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import mastdrift.Balancer.Settings;

/** The HTTP server that clients connect to: accepts connections, drains them for a standby and closes them for a
    graceful shutdown. Used on the event loop's thread alone. */
final class DownstreamServer {

    private static final int ACCEPT_BACKLOG = 1024;
    // The system would grow the send buffer to megabytes and report it writable only once a third of it is free: a
    // client that reads 64 kB a second would seem to read nothing for longer than the write timeout.
    private static final int SEND_BUFFER_BYTES = 128 << 10;
    /** The system would grow it to megabytes, in which requests wait unseen. */
    static final int RECEIVE_BUFFER_BYTES = 128 << 10;
    // At a shutdown, new connections arrive for a while until the load balancer in front has noticed it.
    static final long SHUTDOWN_ACCEPT_MILLIS = 500;
    // At a shutdown, open connections are served for up to MAX_SHUTDOWN_SERVE_MICROS, since other gateways may be down
    // as well. All requests are answered within the longest deadline plus SHUTDOWN_ANSWER_MICROS, before the process
    // may be killed.
    private static final long MAX_SHUTDOWN_SERVE_MICROS = 1_500_000;
    private static final long SHUTDOWN_ANSWER_MICROS = 400_000;
    // Longer deadlines do not delay the kill further.
    private static final long MAX_SHUTDOWN_DEADLINE_MICROS = 3_000_000;
    /** Kept small, since hundreds of connections may each hold a read and a write of this size. */
    static final WriteBufferWaterMark WRITE_WATER_MARK = new WriteBufferWaterMark(16 << 10, 32 << 10);
    private static final long SWEEP_INTERVAL_MICROS = LoopMonitor.CHECK_INTERVAL_MICROS;
    // A drain has to free this gateway of clients within 4 s. New connections arrive until the load balancer in front
    // has noticed it: from DRAIN_CLOSE_MILLIS on responses close their connections, and at DRAIN_IDLE_CLOSE_MILLIS idle
    // connections are closed.
    private static final long DRAIN_CLOSE_MILLIS = 500;
    private static final long DRAIN_IDLE_CLOSE_MILLIS = 1500;
    private final EventLoop loop;
    private final Gateway gateway;
    private final Lifecycle lifecycle;
    private final RequestParser requestParser;
    private final ConnectionLimit<ClientConnection> connections;
    private final MessageMemory memory;
    private final RequestIdClaims requestIds;
    private TcpServerChannel serverChannel;
    private boolean sweepScheduled;
    private boolean accepting = true;  // false once a successor process accepts
    private boolean socketInherited;  // a successor process accepts from the same socket
    private boolean closeAfterResponse;  // each response closes its connection
    private boolean drained;  // clients have had the time to leave: idle connections are closed soon
    private Future<?> drainTimer;
    private Runnable onStopped;

    /** Serves about {@code maxConnections} connections at a time. */
    DownstreamServer(EventLoop loop, Gateway gateway, Settings settings, int maxConnections, Lifecycle lifecycle,
            RequestIds requestIds) {
        this.loop = loop;
        this.gateway = gateway;
        this.lifecycle = lifecycle;
        memory = gateway.memory();
        this.requestIds = new RequestIdClaims(requestIds);
        connections = new ConnectionLimit<>(loop, maxConnections, this::setAccepting,
                () -> gateway.metrics().increment(GatewayMetrics.Counter.CLIENTS_PUSHED_OUT));
        requestParser = new RequestParser(settings);
    }

    Gateway gateway() {
        return gateway;
    }

    ConnectionLimit<ClientConnection> connections() {
        return connections;
    }

    RequestIdClaims requestIds() {
        return requestIds;
    }

    RequestParser requestParser() {
        return requestParser;
    }

    boolean isReady() {
        return lifecycle.isReady();
    }

    /** Whether each response closes its connection. */
    boolean closesAfterResponse() {
        return closeAfterResponse;
    }

    /** Whether clients have had the time to leave, so that idle connections are closed soon. */
    boolean isDrained() {
        return drained;
    }

    /** Whether connections are being closed for a shutdown. */
    boolean isStopping() {
        return onStopped != null;
    }

    /** Whether no input of clients is held that was read ahead of its turn. */
    boolean hasNoReadAheadData() {
        return memory.readAhead.isUnused();
    }

    InetSocketAddress address() {
        return serverChannel.localAddress();
    }

    /** Binds the address and accepts connections. */
    ChannelFuture listen(InetSocketAddress address) {
        return trackListener(bootstrap().channelFactory(() ->
                new TcpServerChannel(gateway::now, this::acceptFailed, this::acceptEnded))
                .bind(address));
    }

    /** Accepts connections from a listening socket that predecessor and successor processes share. */
    ChannelFuture listenOnInherited(ServerSocketChannel inherited) {
        socketInherited = true;
        return trackListener(bootstrap().channelFactory(() ->
                new TcpServerChannel(inherited, gateway::now, this::acceptFailed, this::acceptEnded))
                .register());
    }

    /** Keeps the channel of an attempt to listen; one that failed has none and may be repeated. */
    private ChannelFuture trackListener(ChannelFuture started) {
        if (started.channel() instanceof TcpServerChannel listener) {
            serverChannel = listener;
        }
        if (!sweepScheduled) {
            sweepScheduled = true;
            PeriodicTask.schedule(loop, SWEEP_INTERVAL_MICROS, this::sweep, gateway::log);
        }
        return started;
    }

    private void setAccepting(boolean wanted) {
        serverChannel.setAccepting(wanted && accepting);
    }

    private void acceptEnded(long startedAt) {
        gateway.loopMonitor().taskEnded(LoopMonitor.Task.ACCEPT, startedAt);
    }

    private void acceptFailed(Exception cause) {
        gateway.metrics().increment(GatewayMetrics.Counter.ACCEPTS_FAILED);
        gateway.eventLog().add(EventLog.Event.ACCEPT_FAILED, "cause", cause);
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap().group(loop)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.ALLOCATOR, MessageBuffers.ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadAheadHandler.receiveBufferAllocator(memory.readAhead))
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new ClientConnection(DownstreamServer.this, channel).addTo(channel.pipeline());
                    }
                });
    }

    /** Starts a drain at a standby and ends it when the gateway becomes active again. Called on the loop's thread after
        each change of the lifecycle state. */
    void lifecycleStateChanged() {
        if (lifecycle.state() == Lifecycle.State.STANDBY && drainTimer == null) {
            gateway.log("standby");
            drainTimer = loop.schedule(() -> {
                closeAfterResponse = true;
                drainTimer = loop.schedule(() -> {
                    drained = true;
                    closeIdle();
                }, DRAIN_IDLE_CLOSE_MILLIS - DRAIN_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
            }, DRAIN_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        } else if (lifecycle.state() == Lifecycle.State.ACTIVE && drainTimer != null) {
            gateway.log("active");
            drainTimer.cancel(false);
            drainTimer = null;
            closeAfterResponse = false;
            drained = false;
        }
    }

    /** Shuts down gracefully: serves for a moment more, then answers the requests that were accepted and closes all
        connections. {@code callback} runs once that is done. */
    void stop(Runnable callback) {
        lifecycle.stop();
        if (serverChannel == null) {  // not listening yet: there are no clients
            callback.run();
            return;
        }
        if (drainTimer != null) {
            drainTimer.cancel(false);
        }
        long longestDeadline = requestParser.longestDeadline();
        gateway.setAnswerDeadline(gateway.now() + shutdownAnswerMicros(longestDeadline));
        if (socketInherited) {
            // The successor accepts from now on. The socket is descriptor 0 and stays open: if it were closed, the
            // virtual machine would redirect the descriptors and the log would be lost.
            closeAfterResponse = true;
            accepting = false;
            serverChannel.setAccepting(false);
            gateway.retire();
        } else {
            loop.schedule(() -> serverChannel.drainAndClose(connections.remainingCapacity()), SHUTDOWN_ACCEPT_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        loop.schedule(() -> {
            closeAfterResponse = true;
            closeIdle();
            onStopped = callback;
            notifyIfStopped();
        }, shutdownServeMicros(longestDeadline), TimeUnit.MICROSECONDS);
        loop.schedule(() -> connections.awaitingRequest().forEach(ClientConnection::closeGracefully),
                shutdownAnswerMicros(longestDeadline), TimeUnit.MICROSECONDS);
    }

    /** From the start of a shutdown until all requests are answered: less than until the kill, which comes 0.7 s plus
        the longest deadline after the start. */
    static long shutdownAnswerMicros(long longestDeadline) {
        return SHUTDOWN_ANSWER_MICROS + Math.min(longestDeadline, MAX_SHUTDOWN_DEADLINE_MICROS);
    }

    /** From the start of a shutdown until connections close and no request is accepted: leaves the last request a third
        of the time until all are answered. */
    static long shutdownServeMicros(long longestDeadline) {
        return Math.min(MAX_SHUTDOWN_SERVE_MICROS, shutdownAnswerMicros(longestDeadline) * 2 / 3);
    }

    /** Closes connections without a request. Those that are sending one are closed after its response. */
    private void closeIdle() {
        connections.awaitingRequest().stream().filter(connection -> !connection.isSendingRequest())
                .forEach(ClientConnection::closeGracefully);
    }

    /** Periodic checks: the event loop's lateness, connections that no selector event has announced, and timeouts. */
    private void sweep() {
        LoopMonitor monitor = gateway.loopMonitor();
        monitor.check();
        gateway.recordMemory();
        long now = monitor.taskStarted();
        if (serverChannel != null) {
            serverChannel.pollUnlessNotified();
        }
        connections.all().forEach(connection -> connection.enforceTimeouts(now));
        connections.enforce();  // input that prevented an eviction may have been processed since
        monitor.taskEnded(LoopMonitor.Task.SWEEP, now);
    }

    /** Calls back once the shutdown has begun to close connections and the last one is closed. */
    void notifyIfStopped() {
        if (onStopped != null && connections.size() == 0) {
            onStopped.run();
        }
    }
}
