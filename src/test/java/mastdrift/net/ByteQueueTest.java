package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a queue of bytes holds, and what that takes. */
class ByteQueueTest {

    /** Guards against memory that grows with the number of pieces: each of them in a buffer of its own. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 100, 1000, 5000, 16384})
    void takesLittleMoreMemoryThanBytes(int pieceBytes) {
        ByteQueue queue = new ByteQueue();
        for (int added = 0; added < 200_000; added += pieceBytes) {
            queue.add(Unpooled.wrappedBuffer(new byte[pieceBytes]));
        }
        assertTrue(queue.heldBytes() <= queue.readableBytes() * 1.5 + (8 << 10), queue.heldBytes() + "");
        queue.clear();
        assertEquals(0, queue.heldBytes());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void returnsTheBytesInOrder(long seed) {
        Random random = new Random(seed);
        ByteQueue queue = new ByteQueue();
        ByteArrayOutputStream added = new ByteArrayOutputStream();
        ByteArrayOutputStream polled = new ByteArrayOutputStream();
        for (int i = 0; i < 2000; i++) {
            byte[] bytes = new byte[random.nextInt(random.nextBoolean() ? 10 : 10_000)];
            random.nextBytes(bytes);
            added.writeBytes(bytes);
            ByteBuf piece = Unpooled.buffer(bytes.length + random.nextInt(100)).writeBytes(bytes);
            if (random.nextBoolean()) {
                queue.add(piece);
            } else {
                queue.addWhole(piece);
            }
            if (random.nextInt(4) == 0) {
                drain(queue, polled);
            }
            assertEquals(added.size() - polled.size(), queue.readableBytes());
        }
        while (!queue.isEmpty()) {
            drain(queue, polled);
        }
        assertArrayEquals(added.toByteArray(), polled.toByteArray());
        assertEquals(0, queue.heldBytes());
    }

    private static void drain(ByteQueue queue, ByteArrayOutputStream into) {
        ByteBuf next = queue.poll();
        if (next != null) {
            byte[] bytes = new byte[next.readableBytes()];
            next.readBytes(bytes);
            into.writeBytes(bytes);
            next.release();
        }
    }

    /** Guards against a few bytes that hold a large buffer of a read. */
    @Test
    void copiesBuffersThatAreMostlyUnused() {
        ByteQueue queue = new ByteQueue();
        ByteBuf read = Unpooled.buffer(16 << 10).writeZero(10);
        queue.addWhole(read);
        assertEquals(0, read.refCnt());
        assertTrue(queue.heldBytes() <= 2 << 10);
        queue.clear();
    }
}
