package mastdrift.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import mastdrift.lab.Dice;

/** Misbehaving clients that use up connections: some are idle, others stall in the middle of a request. Each connects
    again 1 s after the gateway has closed its connection. The history records how long each stalled client was kept.
    Confined to the load's event loop. */
final class BadClients {

    private static final String PARTIAL_REQUEST = "POST /api HTTP/1.1\r\nHost: service.internal\r\nContent-Le";
    private static final int RECONNECT_MILLIS = 1000;
    // More than half of the descriptors that the rig allows a gateway; that half is for clients.
    private static final int EXHAUSTING_CONNECTIONS_PER_GATEWAY = 600;

    private final EventLoop loop;
    private final int idleCount;
    private final boolean exhaustsDescriptors;
    private final int stalledCount;
    private final History history;
    private final Set<Channel> connections = new HashSet<>();
    private boolean closed;

    BadClients(EventLoop loop, RigPlan.Load plan, long seed, History history) {
        this.loop = loop;
        this.history = history;
        Dice dice = new Dice(seed, "bad-clients");
        idleCount = (int) Math.round(dice.in(plan.idleConnections()));
        stalledCount = (int) Math.round(dice.in(plan.stalledClients()));
        exhaustsDescriptors = dice.unit() < plan.exhaustionChance();
    }

    /** Whether idle connections use up all client descriptors of all gateways. */
    boolean exhaustsDescriptors() {
        return exhaustsDescriptors;
    }

    /** Connects all of them, spread evenly over the gateways. */
    void start(Map<String, InetSocketAddress> gateways) {
        List<String> names = List.copyOf(gateways.keySet());
        loop.execute(() -> {
            int idleTotal = idleCount + (exhaustsDescriptors ? EXHAUSTING_CONNECTIONS_PER_GATEWAY * names.size() : 0);
            for (int i = 0; i < idleTotal + stalledCount; i++) {
                String name = names.get(i % names.size());
                connect(name, gateways.get(name), i < idleTotal ? "" : PARTIAL_REQUEST);
            }
        });
    }

    private void connect(String gateway, InetSocketAddress address, String firstBytes) {
        if (closed) {
            return;
        }
        Channel channel = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .handler(new SimpleChannelInboundHandler<ByteBuf>() {

                    private long sentAt;

                    @Override
                    public void channelActive(ChannelHandlerContext context) {
                        sentAt = History.now();
                        if (!firstBytes.isEmpty()) {
                            context.writeAndFlush(Unpooled.copiedBuffer(firstBytes, StandardCharsets.US_ASCII));
                        }
                    }

                    @Override
                    protected void channelRead0(ChannelHandlerContext context, ByteBuf answer) { }

                    @Override
                    public void channelInactive(ChannelHandlerContext context) {
                        if (!firstBytes.isEmpty() && !closed) {
                            history.add(sentAt, History.now(), gateway, "stuck-client-ended", Map.of());
                        }
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        context.close();
                    }
                }).connect(address).channel();
        connections.add(channel);
        channel.closeFuture().addListener(ended -> {
            connections.remove(channel);
            loop.schedule(() -> connect(gateway, address, firstBytes), RECONNECT_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    /** Closes all connections. */
    void close() {
        loop.submit(() -> {
            closed = true;
            List.copyOf(connections).forEach(Channel::close);
        }).syncUninterruptibly();
    }
}
