package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** When input that was read in a turn of the event loop is delivered. */
class ReadAheadHandlerTest {

    private static final int READS_OF_A_TURN = 16;

    private final EmbeddedChannel channel = new EmbeddedChannel(new ReadAheadHandler(new ReadAheadHandler.MemoryBudget(1 << 20), () -> true,
            () -> 0));

    private void read(int pieces) {
        Object[] all = new Object[pieces];
        for (int i = 0; i < pieces; i++) {
            all[i] = Unpooled.copiedBuffer("x", StandardCharsets.US_ASCII);
        }
        channel.writeInbound(all);
    }

    private int passedOn() {
        int bytes = 0;
        for (ByteBuf next = channel.readInbound(); next != null; next = channel.readInbound()) {
            bytes += next.readableBytes();
            next.release();
        }
        return bytes;
    }

    @Test
    void aTurnThatReadAllIsPassedOnBehindItsEvents() {
        channel.freezeTime();
        read(READS_OF_A_TURN - 1);
        assertEquals(READS_OF_A_TURN - 1, passedOn());
    }

    /** Reads of one byte reach the limit of a turn; the client's disconnect may be found in the next. */
    @Test
    void aTurnThatMayHaveLeftSomethingWaitsForTheNext() {
        channel.freezeTime();
        read(READS_OF_A_TURN);
        assertNull(channel.readInbound());
        read(3);
        assertEquals(READS_OF_A_TURN + 3, passedOn());
    }

    @Test
    void whoLeftWithinTheNextTurnIsNotPassedOn() {
        channel.freezeTime();
        read(READS_OF_A_TURN);
        channel.close();
        channel.runPendingTasks();
        assertNull(channel.readInbound());
    }

    @Test
    void whereNothingFollowsItIsPassedOnSoon() {
        channel.freezeTime();
        read(READS_OF_A_TURN);
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        channel.runPendingTasks();
        assertEquals(READS_OF_A_TURN, passedOn());
    }
}
