package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests the log writer on outputs that block, fail or accept only parts of lines. */
class LogWriterTest {

    private static final long FLUSH_MILLIS = TimeUnit.SECONDS.toMillis(Loopback.WAIT_SECONDS);

    private final AtomicInteger dropped = new AtomicInteger();
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    /** The write method of an output. */
    private interface Output {
        int write(ByteBuffer bytes) throws IOException;
    }

    private LogWriter writer(Output output) {
        return LogWriter.start(new WritableByteChannel() {
            @Override
            public int write(ByteBuffer bytes) throws IOException {
                return output.write(bytes);
            }

            @Override
            public boolean isOpen() {
                return true;
            }

            @Override
            public void close() { }
        }, dropped::incrementAndGet);
    }

    private int writePart(ByteBuffer bytes, int maxBytes) {
        int count = Math.min(maxBytes, bytes.remaining());
        byte[] part = new byte[count];
        bytes.get(part);
        written.writeBytes(part);
        return count;
    }

    private List<String> lines() {
        return written.toString(StandardCharsets.UTF_8).lines().toList();
    }

    /** Guards against a log that ends with the first line for which there is no memory. */
    @Test
    void goesOnAfterALineForWhichThereIsNoMemory() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        LogWriter writer = writer(bytes -> {
            if (calls.getAndIncrement() == 0) {
                throw new OutOfMemoryError("on purpose");
            }
            return writePart(bytes, Integer.MAX_VALUE);
        });
        writer.accept("first");
        writer.accept("second");
        assertTrue(writer.flush(Loopback.WAIT_SECONDS * 1000L));
        assertEquals(1, dropped.get());
        assertEquals("second", lines().get(lines().size() - 1));
    }

    /** Guards against callers that are blocked by the output, and against queued lines that use up the memory
        meanwhile. */
    @Test
    void queuedLinesAreBoundedAndDroppedOnesReported() throws Exception {
        CountDownLatch outputUnblocked = new CountDownLatch(1);
        LogWriter writer = writer(bytes -> {
            try {
                outputUnblocked.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            return writePart(bytes, Integer.MAX_VALUE);
        });
        int total = 3 * LogWriter.MAX_QUEUED_CHARS / 1000;
        for (int i = 0; i < total; i++) {
            writer.accept(String.format("%01000d", i));
        }
        assertFalse(writer.flush(1));
        int queued = total - dropped.get();
        assertTrue(queued > 0 && queued <= LogWriter.MAX_QUEUED_CHARS / 1000, "kept " + queued);
        outputUnblocked.countDown();
        assertTrue(writer.flush(FLUSH_MILLIS));
        writer.accept("the next");
        assertTrue(writer.flush(FLUSH_MILLIS));
        assertEquals(queued + 2, lines().size());
        assertEquals(1, lines().stream().filter(("event=log_lines_dropped lines=" + dropped.get())::equals).count());
        assertEquals("the next", lines().get(queued + 1));
    }

    /** Guards against a log that ends for good after a failed write, and against lines that run into each other. */
    @Test
    void failedLineIsReportedAndTheNextStartsOnANewLine() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        LogWriter writer = writer(bytes -> {
            if (calls.incrementAndGet() == 2) {
                return writePart(bytes, 3);
            }
            if (calls.get() == 3) {
                throw new IOException("No space left on device");
            }
            return writePart(bytes, Integer.MAX_VALUE);
        });
        for (String line : List.of("first", "second", "third")) {
            writer.accept(line);
        }
        assertTrue(writer.flush(FLUSH_MILLIS));
        assertEquals(List.of("first", "sec", "event=log_lines_dropped lines=1", "third"), lines());
        assertEquals(1, dropped.get());
    }

    /** Guards against incomplete lines where the output accepts some bytes, or none for a moment. */
    @Test
    void lineWrittenInPartsIsComplete() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        LogWriter writer = writer(bytes -> calls.incrementAndGet() % 2 == 0 ? 0 : writePart(bytes, 4));
        writer.accept("two\nlines are one");
        assertTrue(writer.flush(FLUSH_MILLIS));
        assertEquals(List.of("two lines are one"), lines());
        assertEquals(0, dropped.get());
    }
}
