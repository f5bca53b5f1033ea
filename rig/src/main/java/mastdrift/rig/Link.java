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
    private record Trouble(Fault.Kind kind, double size, double spread) { }

    // The system completes one connection more than this for a listener that accepts none.
    private static final int BACKLOG = 8;
    private static final int FILL_MOST = BACKLOG + 4;
    private static final int FILL_LOOK_MILLIS = 20;
    private static final int TRICKLE_MILLIS = 20;

    private final EventLoop loop;
    private final InetSocketAddress at;
    private final InetSocketAddress to;
    private final DoubleSupplier unit;
    private final Set<Pair> pairs = new HashSet<>();
    private final List<Channel> fillers = new ArrayList<>();
    private final Set<SocketAddress> fillerAddresses = new HashSet<>();
    private Channel server;
    private Trouble there;
    private Trouble back;
    private boolean down;  // no new connection is established
    private boolean refusing;

    private Link(EventLoop loop, InetSocketAddress at, InetSocketAddress to, DoubleSupplier unit) {
        this.loop = loop;
        this.at = at;
        this.to = to;
        this.unit = unit;
    }

    /** Opens a link that listens at {@code at} and relays to {@code to}; {@code unit} draws from [0, 1) for delays.
        Fails if the address is taken. */
    static Link open(EventLoop loop, InetSocketAddress at, InetSocketAddress to, DoubleSupplier unit) {
        Link link = new Link(loop, at, to, unit);
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
                        accepted(channel);
                    }
                }).bind(at);
        server = bound.channel();
        return bound;
    }

    private void accepted(Channel caller) {
        if (refusing || fillerAddresses.contains(caller.remoteAddress())) {
            reset(caller);
            return;
        }
        Pair pair = new Pair(caller, down);
        pairs.add(pair);
        pair.turn();
    }

    /** Injects the fault into one direction or both, in place of any earlier fault there. */
    void begin(Fault fault) {
        loop.submit(() -> {
            Trouble trouble = new Trouble(fault.kind(), fault.size(), fault.spread());
            if (fault.kind() == Fault.Kind.REFUSE) {
                refusing = true;
                server.close();
                List.copyOf(pairs).forEach(Pair::reset);
                return;
            }
            there = fault.way() == Way.BACK ? there : trouble;
            back = fault.way() == Way.THERE ? back : trouble;
            pairs.forEach(Pair::turn);
            if (fault.kind() == Fault.Kind.CUT) {
                down = true;
                server.config().setAutoRead(false);
                fill(0);
            }
        }).syncUninterruptibly();
    }

    /** Ends all faults; bytes that were held back are delivered now. */
    void heal() {
        loop.submit(() -> {
            there = null;
            back = null;
            boolean wasDown = down;
            down = false;
            if (refusing) {
                refusing = false;
                listen();
            }
            if (wasDown) {
                server.config().setAutoRead(true);
                fillers.forEach(Channel::close);
                fillers.clear();
            }
            List.copyOf(pairs).forEach(Pair::turn);
        }).syncUninterruptibly();
    }

    /** Fills the listener's backlog, so that the system drops further SYNs and connections time out, as with a machine
        that is cut off. Opens one connection after the other until one is not established. */
    private void fill(int tries) {
        if (!down || tries >= FILL_MOST) {
            return;
        }
        ChannelFuture dialled = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .handler(new ChannelInboundHandlerAdapter()).connect(at);
        fillers.add(dialled.channel());
        loop.schedule(() -> {
            if (dialled.isSuccess()) {
                fillerAddresses.add(dialled.channel().localAddress());
                fill(tries + 1);
            }
        }, FILL_LOOK_MILLIS, TimeUnit.MILLISECONDS);
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
            List.copyOf(pairs).forEach(Pair::reset);
        }).syncUninterruptibly();
    }

    /** A connection that was accepted from the caller, and the one to the target that it is relayed to. */
    private final class Pair {

        private final Channel caller;
        private final boolean stray;  // completed by the system during a cut; reset when the cut ends
        private final Flow there;
        private Flow back;
        private Channel called;

        Pair(Channel caller, boolean stray) {
            this.caller = caller;
            this.stray = stray;
            there = new Flow(this, true, caller);
            caller.pipeline().addLast(there);
            caller.closeFuture().addListener(ended -> ended());
        }

        void dial() {
            ChannelFuture dialled = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 30_000)
                    .handler(new ChannelInboundHandlerAdapter()).connect(to);
            called = dialled.channel();
            dialled.addListener(done -> {
                if (!done.isSuccess()) {
                    reset();
                    return;
                }
                back = new Flow(this, false, called);
                called.pipeline().addLast(back);
                called.closeFuture().addListener(ended -> ended());
                there.to = called;
                back.to = caller;
                turn();
            });
        }

        /** Applies the link's faults after one has begun or ended, or the connection to the target is established. */
        void turn() {
            if (called == null && stray && !down) {
                reset();
                return;
            }
            if (called == null && !stray && (Link.this.there == null || Link.this.there.kind != Fault.Kind.SILENT)) {
                dial();
            }
            there.turn(Link.this.there);
            if (back != null) {
                back.turn(Link.this.back);
            }
        }

        void reset() {
            Link.reset(caller);
            if (called != null) {
                Link.reset(called);
            }
            pairs.remove(this);
        }

        /** One of the two connections was closed: delivers its pending bytes and closes the other, unless a fault
            blocks them. */
        private void ended() {
            if (!caller.isActive() && called != null && !there.holds()) {
                there.flushThenClose();
            }
            if (called != null && !called.isActive() && back != null && !back.holds()) {
                back.flushThenClose();
            }
            if (!caller.isActive() && (called == null || !called.isActive())) {
                pairs.remove(this);
            }
        }
    }

    /** One direction of a relayed connection. */
    private final class Flow extends ChannelInboundHandlerAdapter {

        private final Pair pair;
        private final boolean forth;
        private final Channel from;
        private final Deque<ByteBuf> late = new ArrayDeque<>();
        private Channel to;
        private Trouble trouble;
        private double left;  // until a stall or reset
        private long lastDue;
        private boolean dripping;

        Flow(Pair pair, boolean forth, Channel from) {
            this.pair = pair;
            this.forth = forth;
            this.from = from;
        }

        boolean holds() {
            return trouble != null && (trouble.kind == Fault.Kind.CUT || trouble.kind == Fault.Kind.SILENT);
        }

        void turn(Trouble next) {
            trouble = next;
            left = next == null ? 0 : next.size;
            if (to != null) {
                if (!holds() && !from.isActive()) {
                    flushThenClose();
                }
                from.config().setAutoRead(!holds() && to.isWritable());
                if (next == null || next.kind != Fault.Kind.TRICKLE && next.kind != Fault.Kind.STALL) {
                    release();
                }
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf piece = (ByteBuf) message;
            if (to == null || !to.isActive()) {
                piece.release();
            } else if (trouble == null) {
                late.add(piece);
                release();
            } else {
                pass(piece);
            }
        }

        private void pass(ByteBuf piece) {
            switch (trouble.kind) {
                case DELAY -> {
                    double varied = trouble.size * (1 + trouble.spread * (2 * unit.getAsDouble() - 1));
                    lastDue = Math.max(lastDue, System.nanoTime() + (long) (varied * 1e6));
                    late.add(piece);
                    loop.schedule(this::one, lastDue - System.nanoTime(), TimeUnit.NANOSECONDS);
                }
                case TRICKLE -> {
                    late.add(piece);
                    drip();
                }
                case STALL, RESET -> {
                    int passed = (int) Math.min(left, piece.readableBytes());
                    left -= passed;
                    to.writeAndFlush(piece.readRetainedSlice(passed));
                    if (trouble.kind == Fault.Kind.RESET && left <= 0) {
                        piece.release();
                        pair.reset();
                    } else if (piece.isReadable()) {
                        late.add(piece);
                    } else {
                        piece.release();
                    }
                }
                default -> late.add(piece);  // blocked: it was received before reading stopped
            }
        }

        private void one() {
            ByteBuf piece = late.poll();
            if (piece != null) {
                to.writeAndFlush(piece);
            }
        }

        private void drip() {
            if (dripping) {
                return;
            }
            dripping = true;
            loop.schedule(() -> {
                dripping = false;
                if (trouble == null || trouble.kind != Fault.Kind.TRICKLE) {
                    return;
                }
                int bytes = (int) Math.max(1, trouble.size * TRICKLE_MILLIS / 1000);
                while (bytes > 0 && !late.isEmpty()) {
                    ByteBuf first = late.peek();
                    int part = Math.min(bytes, first.readableBytes());
                    to.write(first.readRetainedSlice(part));
                    bytes -= part;
                    if (!first.isReadable()) {
                        late.poll().release();
                    }
                }
                to.flush();
                if (!late.isEmpty()) {
                    drip();
                }
            }, TRICKLE_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void release() {
            for (ByteBuf piece = late.poll(); piece != null; piece = late.poll()) {
                to.write(piece);
            }
            to.flush();
        }

        /** Writes the pending bytes, and then closes the destination. */
        void flushThenClose() {
            if (to != null && to.isActive()) {
                release();
                to.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER).addListener(done -> to.close());
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            Flow other = forth ? pair.back : pair.there;  // bytes written to this channel are read by the opposite flow
            if (other != null && other.to != null) {
                other.from.config().setAutoRead(!other.holds() && other.to.isWritable());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            pair.reset();
        }
    }
}
