package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** When input that was read in a turn of the event loop is delivered. */
class ReadAheadHandlerTest {

    private static final int MAX_TURN_READS = 16;

    private final EmbeddedChannel channel =
            new EmbeddedChannel(new ReadAheadHandler(new MemoryPool(1 << 20), () -> true, () -> 0));

    private void read(int pieces) {
        Object[] all = new Object[pieces];
        for (int i = 0; i < pieces; i++) {
            all[i] = Unpooled.copiedBuffer("x", StandardCharsets.US_ASCII);
        }
        channel.writeInbound(all);
    }

    private int deliveredBytes() {
        int bytes = 0;
        for (ByteBuf next = channel.readInbound(); next != null; next = channel.readInbound()) {
            bytes += next.readableBytes();
            next.release();
        }
        return bytes;
    }

    @Test
    void deliversAfterTheEventsOfATurnThatReadAll() {
        channel.freezeTime();
        read(MAX_TURN_READS - 1);
        assertEquals(MAX_TURN_READS - 1, deliveredBytes());
    }

    /** Reads of one byte reach the limit of a turn; the client's disconnect may be found in the next. */
    @Test
    void waitsForTheNextTurnAtTheReadLimit() {
        channel.freezeTime();
        read(MAX_TURN_READS);
        assertNull(channel.readInbound());
        read(3);
        assertEquals(MAX_TURN_READS + 3, deliveredBytes());
    }

    @Test
    void doesNotDeliverInputOfClientThatDisconnectsInTheNextTurn() {
        channel.freezeTime();
        read(MAX_TURN_READS);
        channel.close();
        channel.runPendingTasks();
        assertNull(channel.readInbound());
    }

    @Test
    void deliversSoonIfNoInputFollows() {
        channel.freezeTime();
        read(MAX_TURN_READS);
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        channel.runPendingTasks();
        assertEquals(MAX_TURN_READS, deliveredBytes());
    }

    /** Guards against one client that occupies the loop: what takes long to process is delivered over several turns. */
    @Test
    void deliversInPartsWhileTheReceiverTakesLong() {
        AtomicLong clock = new AtomicLong(1);
        EmbeddedChannel slow = new EmbeddedChannel(new ReadAheadHandler(new MemoryPool(1 << 20), () -> true, clock::get),
                new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        clock.addAndGet(2 * FairReadAllocator.MAX_TURN_MICROS);
                        context.fireChannelRead(message);
                    }
                });
        slow.freezeTime();
        slow.writeInbound(Unpooled.wrappedBuffer(new byte[16 << 10]));
        int turns = 0;
        for (int received = 0; received < 16 << 10; turns++) {
            ByteBuf part = slow.readInbound();
            assertTrue(part.readableBytes() <= 2 << 10);
            assertNull(slow.readInbound());
            received += part.readableBytes();
            part.release();
            slow.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            slow.runScheduledPendingTasks();
            slow.runPendingTasks();
        }
        assertEquals(8, turns);
    }
}
