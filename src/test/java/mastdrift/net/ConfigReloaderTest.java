package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** Tests the order of concurrent reloads and the retries of a file that can't be read. */
class ConfigReloaderTest {

    private static final InetSocketAddress OLDER = new InetSocketAddress(1);
    private static final InetSocketAddress NEWER = new InetSocketAddress(2);

    private final List<InetSocketAddress> taken = new ArrayList<>();
    private final List<String> failed = new ArrayList<>();

    /** Guards against an old configuration that replaces a newer one: the handler of the first signal has read the file
        and is delayed before it applies the result; the second signal arrives meanwhile. */
    @Test
    void theNewestConfigurationHoldsWhateverOrderHandlersRunIn() throws Exception {
        Queue<InetSocketAddress> file = new ArrayDeque<>(List.of(OLDER, NEWER));
        CountDownLatch firstHasRead = new CountDownLatch(1);
        CountDownLatch secondIsThere = new CountDownLatch(1);
        ConfigReloader reloader = new ConfigReloader(file::remove, read -> {
            if (read == OLDER) {
                firstHasRead.countDown();
                await(secondIsThere);
            }
            taken.add(read);
        }, failed::add);
        Thread first = new Thread(reloader::signalReceived);
        first.start();
        await(firstHasRead);
        Thread second = new Thread(reloader::signalReceived);
        second.start();
        while (second.getState() != Thread.State.BLOCKED && second.isAlive()) {
            Thread.onSpinWait();
        }
        secondIsThere.countDown();
        first.join();
        second.join();
        assertEquals(List.of(OLDER, NEWER), taken);
    }

    private static void await(CountDownLatch latch) {
        try {
            if (!latch.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("timed out waiting for the other handler");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static Supplier<InetSocketAddress> failing(int times) {
        int[] reads = {0};
        return () -> {
            if (++reads[0] <= times) {
                throw new IllegalArgumentException("too many open files");
            }
            return NEWER;
        };
    }

    @Test
    void aFileThatCannotBeReadForAMomentIsReadAgain() {
        new ConfigReloader(failing(3), taken::add, failed::add, millis -> { }).signalReceived();
        assertEquals(List.of(NEWER), taken);
        assertEquals(List.of(), failed);
    }

    @Test
    void aFileThatStaysUnreadableIsToldOnceAndChangesNothing() {
        new ConfigReloader(failing(Integer.MAX_VALUE), taken::add, failed::add, millis -> { }).signalReceived();
        assertEquals(List.of(), taken);
        assertEquals(List.of("too many open files"), failed);
    }
}
