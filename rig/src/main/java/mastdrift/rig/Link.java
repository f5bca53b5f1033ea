package mastdrift.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/** A TCP relay for the connections from one process to another, which injects network faults into one or both
    directions. All state of a link is confined to one event loop. */
final class Link implements AutoCloseable {

    /** From the connecting process to the accepting one, back, or both. */
    enum Way { THERE, BACK, BOTH }

    /** The active fault of one direction. */
    private record Impairment(Fault.Kind kind, double magnitude, double jitter) { }

    // The system completes one connection more than this for a listener that accepts none.
    private static final int BACKLOG = 8;
    private static final int MAX_FILLERS = BACKLOG + 4;
    private static final int FILL_CHECK_MILLIS = 20;
    private static final int TRICKLE_INTERVAL_MILLIS = 20;

    private final EventLoop loop;
    private final InetSocketAddress listenAddress;
    private final InetSocketAddress targetAddress;
    private final DoubleSupplier random;
    private final Set<RelayedConnection> connections = new HashSet<>();
    private final List<Channel> fillers = new ArrayList<>();
    private final Set<SocketAddress> fillerAddresses = new HashSet<>();
    private Channel server;
    private Impairment forward;
    private Impairment backward;
    private boolean cut;  // no new connection is established
    private boolean refusing;

    private Link(EventLoop loop, InetSocketAddress listenAddress, InetSocketAddress targetAddress,
            DoubleSupplier random) {
        this.loop = loop;
        this.listenAddress = listenAddress;
        this.targetAddress = targetAddress;
        this.random = random;
    }

    /** Opens a link; {@code random} draws from [0, 1) for delays. Fails if the address to listen on is taken. */
    static Link open(EventLoop loop, InetSocketAddress listenAddress, InetSocketAddress targetAddress,
            DoubleSupplier random) {
        Link link = new Link(loop, listenAddress, targetAddress, random);
        link.listen().syncUninterruptibly();
        return link;
    }

    private ChannelFuture listen() {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        onAccept(channel);
                    }
                }).bind(listenAddress);
        server = bound.channel();
        return bound;
    }

    private void onAccept(Channel downstream) {
        if (refusing || fillerAddresses.contains(downstream.remoteAddress())) {
            reset(downstream);
            return;
        }
        RelayedConnection connection = new RelayedConnection(downstream, cut);
        connections.add(connection);
        connection.faultChanged();
    }

    /** Injects the fault into one direction or both, in place of any earlier fault there. */
    void inject(Fault fault) {
        loop.submit(() -> {
            Impairment impairment = new Impairment(fault.kind(), fault.magnitude(), fault.jitter());
            if (fault.kind() == Fault.Kind.REFUSE) {
                refusing = true;
                server.close();
                List.copyOf(connections).forEach(RelayedConnection::reset);
                return;
            }
            forward = fault.direction() == Way.BACK ? forward : impairment;
            backward = fault.direction() == Way.THERE ? backward : impairment;
            connections.forEach(RelayedConnection::faultChanged);
            if (fault.kind() == Fault.Kind.CUT) {
                cut = true;
                server.config().setAutoRead(false);
                fillBacklog(0);
            }
        }).syncUninterruptibly();
    }

    /** Ends all faults; bytes that were held back are delivered now. */
    void heal() {
        loop.submit(() -> {
            forward = null;
            backward = null;
            boolean wasCut = cut;
            cut = false;
            if (refusing) {
                refusing = false;
                listen();
            }
            if (wasCut) {
                server.config().setAutoRead(true);
                fillers.forEach(Channel::close);
                fillers.clear();
            }
            List.copyOf(connections).forEach(RelayedConnection::faultChanged);
        }).syncUninterruptibly();
    }

    /** Fills the listener's backlog, so that the system drops further SYNs and connections time out, as with a machine
        that is cut off. Opens one connection after the other until one is not established. */
    private void fillBacklog(int openFillers) {
        if (!cut || openFillers >= MAX_FILLERS) {
            return;
        }
        ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .handler(new ChannelInboundHandlerAdapter()).connect(listenAddress);
        fillers.add(connecting.channel());
        loop.schedule(() -> {
            if (connecting.isSuccess()) {
                fillerAddresses.add(connecting.channel().localAddress());
                fillBacklog(openFillers + 1);
            }
        }, FILL_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void reset(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (io.netty.channel.ChannelException e) {
            // already closed
        }
        channel.close();
    }

    @Override
    public void close() {
        loop.submit(() -> {
            fillers.forEach(Channel::close);
            server.close();
            List.copyOf(connections).forEach(RelayedConnection::reset);
        }).syncUninterruptibly();
    }

    /** A connection that was accepted from the caller, and the one to the target that it is relayed to. */
    private final class RelayedConnection {

        private final Channel downstream;
        private final boolean acceptedDuringCut;  // completed by the system during a cut; reset when the cut ends
        private final Flow forward;
        private Flow backward;
        private Channel upstream;

        RelayedConnection(Channel downstream, boolean acceptedDuringCut) {
            this.downstream = downstream;
            this.acceptedDuringCut = acceptedDuringCut;
            forward = new Flow(this, true, downstream);
            downstream.pipeline().addLast(forward);
            downstream.closeFuture().addListener(ended -> onHalfClosed());
        }

        void connectUpstream() {
            ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 30_000)
                    .handler(new ChannelInboundHandlerAdapter()).connect(targetAddress);
            upstream = connecting.channel();
            connecting.addListener(done -> {
                if (!done.isSuccess()) {
                    reset();
                    return;
                }
                backward = new Flow(this, false, upstream);
                upstream.pipeline().addLast(backward);
                upstream.closeFuture().addListener(ended -> onHalfClosed());
                forward.destination = upstream;
                backward.destination = downstream;
                faultChanged();
            });
        }

        /** Applies the link's faults after one has begun or ended, or the connection to the target is established. */
        void faultChanged() {
            if (upstream == null && acceptedDuringCut && !cut) {
                reset();
                return;
            }
            if (upstream == null && !acceptedDuringCut
                    && (Link.this.forward == null || Link.this.forward.kind != Fault.Kind.SILENT)) {
                connectUpstream();
            }
            forward.setImpairment(Link.this.forward);
            if (backward != null) {
                backward.setImpairment(Link.this.backward);
            }
        }

        void reset() {
            Link.reset(downstream);
            if (upstream != null) {
                Link.reset(upstream);
            }
            connections.remove(this);
        }

        /** One of the two connections was closed: delivers its pending bytes and closes the other, unless a fault
            blocks them. */
        private void onHalfClosed() {
            if (!downstream.isActive() && upstream != null && !forward.isBlocked()) {
                forward.flushThenClose();
            }
            if (upstream != null && !upstream.isActive() && backward != null && !backward.isBlocked()) {
                backward.flushThenClose();
            }
            if (!downstream.isActive() && (upstream == null || !upstream.isActive())) {
                connections.remove(this);
            }
        }
    }

    /** One direction of a relayed connection. */
    private final class Flow extends ChannelInboundHandlerAdapter {

        private final RelayedConnection connection;
        private final boolean isForward;
        private final Channel source;
        private final Deque<ByteBuf> pending = new ArrayDeque<>();
        private Channel destination;
        private Impairment impairment;
        private double bytesLeft;  // until a stall or reset
        private long lastDueNanos;
        private boolean trickleScheduled;

        Flow(RelayedConnection connection, boolean isForward, Channel source) {
            this.connection = connection;
            this.isForward = isForward;
            this.source = source;
        }

        boolean isBlocked() {
            return impairment != null && (impairment.kind == Fault.Kind.CUT || impairment.kind == Fault.Kind.SILENT);
        }

        void setImpairment(Impairment next) {
            impairment = next;
            bytesLeft = next == null ? 0 : next.magnitude;
            if (destination != null) {
                if (!isBlocked() && !source.isActive()) {
                    flushThenClose();
                }
                source.config().setAutoRead(!isBlocked() && destination.isWritable());
                if (next == null || next.kind != Fault.Kind.TRICKLE && next.kind != Fault.Kind.STALL) {
                    writePending();
                }
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            if (destination == null || !destination.isActive()) {
                bytes.release();
            } else if (impairment == null) {
                pending.add(bytes);
                writePending();
            } else {
                applyImpairment(bytes);
            }
        }

        private void applyImpairment(ByteBuf bytes) {
            switch (impairment.kind) {
                case DELAY -> {
                    double delayMillis = impairment.magnitude
                            * (1 + impairment.jitter * (2 * random.getAsDouble() - 1));
                    lastDueNanos = Math.max(lastDueNanos, System.nanoTime() + (long) (delayMillis * 1e6));
                    pending.add(bytes);
                    loop.schedule(this::writeNext, lastDueNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
                }
                case TRICKLE -> {
                    pending.add(bytes);
                    trickle();
                }
                case STALL, RESET -> {
                    int passed = (int) Math.min(bytesLeft, bytes.readableBytes());
                    bytesLeft -= passed;
                    destination.writeAndFlush(bytes.readRetainedSlice(passed));
                    if (impairment.kind == Fault.Kind.RESET && bytesLeft <= 0) {
                        bytes.release();
                        connection.reset();
                    } else if (bytes.isReadable()) {
                        pending.add(bytes);
                    } else {
                        bytes.release();
                    }
                }
                default -> pending.add(bytes);  // blocked: it was received before reading stopped
            }
        }

        private void writeNext() {
            ByteBuf bytes = pending.poll();
            if (bytes != null) {
                destination.writeAndFlush(bytes);
            }
        }

        private void trickle() {
            if (trickleScheduled) {
                return;
            }
            trickleScheduled = true;
            loop.schedule(() -> {
                trickleScheduled = false;
                if (impairment == null || impairment.kind != Fault.Kind.TRICKLE) {
                    return;
                }
                int budget = (int) Math.max(1, impairment.magnitude * TRICKLE_INTERVAL_MILLIS / 1000);
                while (budget > 0 && !pending.isEmpty()) {
                    ByteBuf first = pending.peek();
                    int count = Math.min(budget, first.readableBytes());
                    destination.write(first.readRetainedSlice(count));
                    budget -= count;
                    if (!first.isReadable()) {
                        pending.poll().release();
                    }
                }
                destination.flush();
                if (!pending.isEmpty()) {
                    trickle();
                }
            }, TRICKLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void writePending() {
            for (ByteBuf bytes = pending.poll(); bytes != null; bytes = pending.poll()) {
                destination.write(bytes);
            }
            destination.flush();
        }

        /** Writes the pending bytes, and then closes the destination. */
        void flushThenClose() {
            if (destination != null && destination.isActive()) {
                writePending();
                destination.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
                        .addListener(done -> destination.close());
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            // Bytes written to this channel are read by the opposite flow.
            Flow other = isForward ? connection.backward : connection.forward;
            if (other != null && other.destination != null) {
                other.source.config().setAutoRead(!other.isBlocked() && other.destination.isWritable());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            connection.reset();
        }
    }
}
