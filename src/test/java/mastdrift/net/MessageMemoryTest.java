package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is counted of the memory for messages, and what happens when it is used up. */
class MessageMemoryTest {

    private static final int POOL_BYTES = 100_000;
    private static final int MIN_BUFFER_BYTES = 50_000;
    private static final long MEGABYTE = 1 << 20;

    private final AtomicLong bufferBytes = new AtomicLong();
    private final AtomicLong heapBytes = new AtomicLong();
    private final BufferBudget budget = new BufferBudget(1_000_000, MIN_BUFFER_BYTES, bufferBytes::get, heapBytes::get);
    private final MemoryPool pool = new MemoryPool(POOL_BYTES, budget);

    /** A channel whose writes end only when the test says so. */
    private static final class SlowChannel extends ChannelOutboundHandlerAdapter {
        private final List<ChannelPromise> promises = new ArrayList<>();
        private int bytes;

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            bytes += message instanceof HttpContent content ? content.content().readableBytes() : 0;
            ReferenceCountUtil.release(message);
            promises.add(promise);
        }

        void endFirst() {
            promises.remove(0).setSuccess();
        }
    }

    private void useUpBudget() {
        bufferBytes.set(1_000_000);
        budget.sample();
    }

    private static ByteBuf buffer(int bytes) {
        return Unpooled.wrappedBuffer(new byte[bytes]);
    }

    /** Guards against output that no pool counts, since its peer does not take it. */
    @Test
    void relayCountsWhatItsChannelHasNotWritten() {
        SlowChannel writes = new SlowChannel();
        EmbeddedChannel channel = new EmbeddedChannel(writes);
        BodyRelay relay = new BodyRelay(pool, BodyRelay.MAX_BUFFERED_BYTES);
        relay.writeAhead(channel, buffer(7_000));
        relay.writeTo(channel, written -> { });
        relay.add(buffer(5_000));
        relay.resumeWriting();
        assertEquals(12_000, writes.bytes);
        assertEquals(12_000, pool.usedBytes());
        writes.endFirst();
        assertEquals(5_000, pool.usedBytes());
        relay.abandon();
        writes.endFirst();
        assertTrue(pool.isUnused());
    }

    /** Guards against hundreds of bodies that each give their channel as much as it takes though memory is used up. */
    @Test
    void relayGivesItsChannelLittleWhileMemoryIsUsedUp() {
        useUpBudget();
        SlowChannel writes = new SlowChannel();
        EmbeddedChannel channel = new EmbeddedChannel(writes);
        BodyRelay relay = new BodyRelay(pool, BodyRelay.MAX_BUFFERED_BYTES);
        relay.writeTo(channel, written -> { });
        for (int i = 0; i < 5; i++) {
            relay.add(buffer(5_000));
        }
        assertEquals(5_000, writes.bytes);
        assertTrue(relay.isFull());
        writes.endFirst();
        assertEquals(10_000, writes.bytes);
    }

    /** Guards against a budget that refuses what has to be served, or that is never free again. */
    @Test
    void usedUpBudgetExhaustsAllPoolsUntilMemoryIsFree() {
        MemoryPool other = new MemoryPool(POOL_BYTES, budget);
        useUpBudget();
        assertTrue(pool.isExhausted() && other.isExhausted());
        assertFalse(pool.isAmple());
        assertTrue(pool.reserve(60_000, () -> { }).isGranted());
        bufferBytes.set(0);
        budget.sample();
        assertFalse(other.isExhausted());
        heapBytes.set(5_000_000);  // a heap over the budget leaves the buffers what they need
        budget.sample();
        assertFalse(other.isExhausted());
        bufferBytes.set(MIN_BUFFER_BYTES);
        budget.sample();
        assertTrue(other.isExhausted());
    }

    /** Guards against heads of long fields, and small bodies, that no pool counts while their requests wait. */
    @Test
    void requestCountsUntilItsLastHolderReleasesIt() {
        MessageMemory memory = new MessageMemory(128, false, 488);
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + "u".repeat(3_000),
                buffer(2_000));
        request.headers().set("X-Trace-Id", "i".repeat(7_000));
        RequestMemory held = new RequestMemory(request, null, memory);
        assertTrue(held.heldBytes() >= 12_000);
        assertEquals(2_000, memory.requests.usedBytes());
        assertTrue(memory.heads.usedBytes() >= 10_000);
        held.retain();
        held.release();
        assertEquals(2_000, memory.requests.usedBytes());
        held.release();
        held.release();
        assertTrue(memory.requests.isUnused() && memory.heads.isUnused());
    }

    /** Guards against memory that is returned twice: an attempt may still be put to a request that has ended. */
    @Test
    void requestIsReturnedOnceThoughAnotherHolderComesLater() {
        MessageMemory memory = new MessageMemory(128, false, 488);
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/", buffer(2_000));
        RequestMemory held = new RequestMemory(request, null, memory);
        held.release();
        held.retain();
        held.release();
        assertEquals(0, memory.requests.usedBytes());
        assertEquals(0, memory.heads.usedBytes());
    }

    /** Guards against reservations for bodies that pass the limit together. */
    @ParameterizedTest
    @CsvSource({"96, false, 104, 4", "128, false, 488, 10", "128, false, 104, 10", "192, false, 488, 10", "128, true, 488, 4",
        "192, true, 104, 4", "1048576, false, 32744, 10"})
    void reservesForRequestsByTheLimit(int limitMegabytes, boolean shared, int connections, long reservedMegabytes) {
        MessageMemory memory = new MessageMemory(limitMegabytes, shared, connections);
        assertTrue(memory.requests.reserve(reservedMegabytes * MEGABYTE, () -> { }).isGranted());
        assertFalse(memory.requests.reserve(MEGABYTE, () -> { }).isGranted());
    }

    /** Guards against a few undecoded bytes that hold a large buffer of a read. */
    @Test
    void partsOfALargeBufferDoNotHoldIt() {
        ByteQueue queue = new ByteQueue();
        ByteBuf read = UnpooledByteBufAllocator.DEFAULT.heapBuffer(16 << 10).writeZero(10_000);
        queue.addWhole(read);
        ByteBuf part = queue.poll(6_000);
        ByteBuf rest = queue.poll(6_000);
        assertEquals(0, read.refCnt());
        assertEquals(6_000, part.readableBytes());
        assertEquals(4_000, rest.readableBytes());
        assertTrue(rest.capacity() < 6_000);
        assertNotSame(read, part);
        part.release();
        rest.release();
    }

    /** Guards against hundreds of reads of full size though memory is used up. */
    @Test
    @SuppressWarnings("deprecation")  // the type of the handle is Netty's
    void readsAreSmallWhileMemoryIsUsedUp() {
        var handle = new BoundedReadAllocator(new FixedRecvByteBufAllocator(16 << 10), pool).newHandle();
        assertEquals(16 << 10, handle.guess());
        useUpBudget();
        assertEquals(BoundedReadAllocator.SHORT_READ_BYTES, handle.guess());
        ByteBuf allocated = handle.allocate(UnpooledByteBufAllocator.DEFAULT);
        assertEquals(BoundedReadAllocator.SHORT_READ_BYTES, allocated.capacity());
        allocated.release();
        handle.reset(new EmbeddedChannel().config());
        assertFalse(handle.continueReading());
    }

    @Test
    void parsesTheResidentMemory() {
        assertEquals(59412, ProcessMemory.parse("VmPeak:\t 2640692 kB\nVmHWM:\t   60000 kB\nVmRSS:\t   59412 kB\nThreads:\t16\n"));
        assertEquals(0, ProcessMemory.parse("Name:\tjava\n"));
    }
}
