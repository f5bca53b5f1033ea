package mastdrift.common;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AcceptRetryTest {

    /** Guards against a one-second pause in accepting, and an unhandled exception, after each failed accept. */
    @Test
    void failedAcceptPausesAcceptingBrieflyAndIsNotPropagated() {
        EmbeddedChannel channel = new EmbeddedChannel(new AcceptRetry());
        channel.freezeTime();
        channel.pipeline().fireExceptionCaught(new IOException("Too many open files"));
        assertFalse(channel.config().isAutoRead());
        channel.advanceTimeBy(AcceptRetry.RETRY_MILLIS, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertTrue(channel.config().isAutoRead());
        channel.checkException();
    }
}
