package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator.Handle;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** How much of a connection's input is read in a turn of the event loop, on the test's own clock. */
class FairReadAllocatorTest {

    private final AtomicLong clock = new AtomicLong();
    private final Handle handle = new FairReadAllocator(clock::get).newHandle();
    private final ChannelConfig config = new EmbeddedChannel().config();

    /** Plays a turn in which the socket has that much input, which takes that long to process; returns what was read. */
    private int readTurn(int available, double microsPerByte) {
        int read = 0;
        handle.reset(config);
        do {
            int size = handle.guess();
            int bytes = Math.min(size, available - read);
            handle.attemptedBytesRead(size);
            handle.lastBytesRead(bytes);
            if (bytes == 0) {
                break;
            }
            handle.incMessagesRead(1);
            read += bytes;
            clock.addAndGet((long) (bytes * microsPerByte));
        } while (handle.continueReading());
        handle.readComplete();
        return read;
    }

    /** Guards against a loop that is occupied by connections whose input takes long to process. */
    @Test
    void turnsOfSlowInputBecomeShort() {
        int bytes = 0;
        for (int turn = 0; turn < 20; turn++) {
            long startedAt = clock.get();
            bytes = readTurn(1 << 20, 1);
            assertTrue(turn < 5 || clock.get() - startedAt <= 2 * FairReadAllocator.MAX_TURN_MICROS);
        }
        assertTrue(bytes >= FairReadAllocator.MIN_READ_BYTES);
    }

    @Test
    void readsOfFastInputBecomeLong() {
        for (int turn = 0; turn < 5; turn++) {
            readTurn(1 << 20, 0.001);
        }
        assertEquals(FairReadAllocator.MAX_READ_BYTES, handle.guess());
    }

    @Test
    void readsOfSmallInputBecomeShort() {
        for (int turn = 0; turn < 10; turn++) {
            assertEquals(100, readTurn(100, 0.001));
        }
        assertEquals(FairReadAllocator.MIN_READ_BYTES, handle.guess());
    }
}
