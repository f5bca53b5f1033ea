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

    private final List<InetSocketAddress> applied = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();

    /** Guards against an old configuration that replaces a newer one: the handler of the first signal has read the file
        and is delayed before it applies the result; the second signal arrives meanwhile. */
    @Test
    void newestConfigurationWinsInAnyOrderOfHandlers() throws Exception {
        Queue<InetSocketAddress> fileContents = new ArrayDeque<>(List.of(OLDER, NEWER));
        CountDownLatch firstHasRead = new CountDownLatch(1);
        CountDownLatch secondHasArrived = new CountDownLatch(1);
        ConfigReloader reloader = new ConfigReloader(fileContents::remove, read -> {
            if (read == OLDER) {
                firstHasRead.countDown();
                await(secondHasArrived);
            }
            applied.add(read);
        }, failures::add);
        Thread first = new Thread(reloader::signalReceived);
        first.start();
        await(firstHasRead);
        Thread second = new Thread(reloader::signalReceived);
        second.start();
        while (second.getState() != Thread.State.BLOCKED && second.isAlive()) {
            Thread.onSpinWait();
        }
        secondHasArrived.countDown();
        first.join();
        second.join();
        assertEquals(List.of(OLDER, NEWER), applied);
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

    private static Supplier<InetSocketAddress> readerFailing(int times) {
        int[] reads = {0};
        return () -> {
            if (++reads[0] <= times) {
                throw new IllegalArgumentException("too many open files");
            }
            return NEWER;
        };
    }

    @Test
    void fileThatFailsTemporarilyIsReadAgain() {
        new ConfigReloader(readerFailing(3), applied::add, failures::add, millis -> { }).signalReceived();
        assertEquals(List.of(NEWER), applied);
        assertEquals(List.of(), failures);
    }

    @Test
    void unreadableFileIsReportedOnceAndChangesNothing() {
        new ConfigReloader(readerFailing(Integer.MAX_VALUE), applied::add, failures::add, millis -> { })
                .signalReceived();
        assertEquals(List.of(), applied);
        assertEquals(List.of("too many open files"), failures);
    }
}
