package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bounds on the memory that is held for messages. */
class MemoryPoolTest {

    private static final int POOL_BYTES = 100_000;

    private final MemoryPool pool = new MemoryPool(POOL_BYTES);

    @Test
    void grantsInTheOrderOfTheRequests() {
        List<String> granted = new ArrayList<>();
        MemoryPool.Reservation first = pool.reserve(80_000, () -> granted.add("first"));
        assertTrue(first.isGranted());
        MemoryPool.Reservation large = pool.reserve(60_000, () -> granted.add("large"));
        pool.reserve(10_000, () -> granted.add("small"));
        assertEquals(List.of(), granted);  // the small one does not pass the large one, which would wait for ever
        first.release();
        assertEquals(List.of("large", "small"), granted);
        first.release();
        assertEquals(70_000, pool.usedBytes());
        large.release();
        assertEquals(10_000, pool.usedBytes());
    }

    /** Guards against reservations that wait behind one that has been given up. */
    @Test
    void grantsWhatWaitedBehindOneThatIsGivenUp() {
        List<String> granted = new ArrayList<>();
        pool.reserve(80_000, () -> { });
        MemoryPool.Reservation large = pool.reserve(60_000, () -> granted.add("large"));
        pool.reserve(10_000, () -> granted.add("small"));
        large.release();
        assertEquals(List.of("small"), granted);
        assertEquals(90_000, pool.usedBytes());
    }

    /** Guards against reservations above the bound, and memory that is never returned. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void neverReservesMoreThanItHas(long seed) {
        Random random = new Random(seed);
        List<MemoryPool.Reservation> open = new ArrayList<>();
        for (int i = 0; i < 5000; i++) {
            if (open.isEmpty() || random.nextInt(3) < 2 && open.size() < 40) {
                open.add(pool.reserve(1 + random.nextInt(64 << 10), () -> { }));
            } else {
                open.remove(random.nextInt(open.size())).release();
            }
            assertTrue(pool.usedBytes() <= POOL_BYTES);
            assertTrue(open.isEmpty() || open.stream().anyMatch(MemoryPool.Reservation::isGranted));
        }
        open.forEach(MemoryPool.Reservation::release);
        assertTrue(pool.isUnused());
    }

    private final List<Object> events = new ArrayList<>();

    private EmbeddedChannel requestChannel() {
        return new EmbeddedChannel(new HttpRequestDecoder(), new MessageAggregator(pool, true),
                new ChannelInboundHandlerAdapter() {
                    @Override
                    public void userEventTriggered(ChannelHandlerContext context, Object event) {
                        events.add(event);
                    }
                });
    }

    private static Object text(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private static String head(int length) {
        return "POST / HTTP/1.1\r\nContent-Length: " + length + "\r\n\r\n";
    }

    /** Guards against memory that is used up by clients that stop half way: their bodies are reserved whole, and later
        ones wait until they get theirs. */
    @Test
    void bodiesWaitUntilTheirMemoryIsThere() {
        EmbeddedChannel first = requestChannel();
        EmbeddedChannel second = requestChannel();
        EmbeddedChannel small = requestChannel();
        first.writeInbound(text(head(60_000) + "x".repeat(5_000)));
        second.writeInbound(text(head(60_000)));
        small.writeInbound(text(head(1_000) + "x".repeat(1_000)));
        assertEquals(List.of(MessageAggregator.Event.MEMORY_NEEDED), events);
        MessageAggregator.AggregatedMessage served = small.readInbound();
        assertEquals(1_000, served.message().content().readableBytes());
        served.message().release();
        first.close();
        assertEquals(MessageAggregator.Event.MEMORY_GRANTED, events.get(1));
        second.writeInbound(text("x".repeat(60_000)));
        MessageAggregator.AggregatedMessage late = second.readInbound();
        assertEquals(60_000, late.message().content().readableBytes());
        late.message().release();
        late.memory().release();
        assertTrue(pool.isUnused());
    }

    @Test
    void requestThatWaitsForMemoryCanBeRefused() {
        MemoryPool.Reservation others = pool.reserve(90_000, () -> { });
        EmbeddedChannel channel = requestChannel();
        channel.writeInbound(text(head(60_000) + "x".repeat(100)));
        MessageAggregator aggregator = channel.pipeline().get(MessageAggregator.class);
        aggregator.refuseForMemory(channel.pipeline().context(aggregator));
        MessageAggregator.AggregatedMessage refused = channel.readInbound();
        assertFalse(refused.message().decoderResult().isSuccess());
        refused.message().release();
        refused.memory().release();
        others.release();
        assertTrue(pool.isUnused());
    }

    /** Guards against relays that take all memory where many hosts or clients read slowly. */
    @Test
    void relaysHoldLittleWhileThePoolIsExhausted() {
        BodyRelay relay = new BodyRelay(pool, BodyRelay.MAX_BUFFERED_BYTES);
        relay.add(Unpooled.wrappedBuffer(new byte[5_000]));
        assertFalse(relay.isFull());
        pool.add(POOL_BYTES);
        relay.add(Unpooled.wrappedBuffer(new byte[10]));
        assertTrue(relay.isFull());
        relay.abandon();
        pool.add(-POOL_BYTES);
        assertTrue(pool.isUnused());
    }
}
