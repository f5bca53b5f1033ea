package mastdrift.net;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/** Writes the log on a thread of its own, so that an output that blocks (a pipe that nobody reads, a disk that hangs)
    delays nothing but the log. Lines wait in a bounded queue. A line is dropped if the queue is full or the output
    fails; the number of dropped lines is written ahead of the next line. Thread-safe. */
final class LogWriter implements Consumer<String> {

    /** Bound of the queue, in characters. */
    static final int MAX_QUEUED_CHARS = 256 << 10;
    private static final int ENTRY_OVERHEAD_CHARS = 64;  // counted for each line, so that empty lines are bounded too
    private static final long WRITE_RETRY_MILLIS = 10;  // pause while a non-blocking output accepts nothing

    /** A line to be written, or where the line is null a marker that releases a caller of {@link #flush}. */
    private record Entry(String line, CountDownLatch reached) {

        int chars() {
            return line == null ? 0 : line.length() + ENTRY_OVERHEAD_CHARS;
        }
    }

    private final WritableByteChannel output;
    private final Runnable onDrop;
    private final Queue<Entry> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queuedChars = new AtomicInteger();
    private final AtomicLong dropped = new AtomicLong();
    private final Thread thread = new Thread(this::run, "log-writer");
    // Used on the writer's thread only.
    private long droppedReported;
    private boolean incompleteLine;  // the output ends with an incomplete line

    private LogWriter(WritableByteChannel output, Runnable onDrop) {
        this.output = output;
        this.onDrop = onDrop;
    }

    /** Starts a writer to that output; {@code onDrop} runs for each dropped line, on any thread. */
    static LogWriter start(WritableByteChannel output, Runnable onDrop) {
        LogWriter writer = new LogWriter(output, onDrop);
        writer.thread.setDaemon(true);
        writer.thread.start();
        return writer;
    }

    /** Starts a writer to standard output or error, as {@link #start} does. */
    static LogWriter startOn(FileDescriptor descriptor, Runnable onDrop) {
        return start(new FileOutputStream(descriptor).getChannel(), onDrop);
    }

    /** Queues a line, or drops it if the queue is full; never blocks. */
    @Override
    public void accept(String line) {
        Entry entry = new Entry(line.replace('\n', ' '), null);
        if (queuedChars.addAndGet(entry.chars()) > MAX_QUEUED_CHARS) {
            queuedChars.addAndGet(-entry.chars());
            drop();
            return;
        }
        enqueue(entry);
    }

    /** Waits until all lines queued so far are written or dropped, at most that long; returns whether they are. */
    boolean flush(long millis) throws InterruptedException {
        CountDownLatch reached = new CountDownLatch(1);
        enqueue(new Entry(null, reached));
        return reached.await(millis, TimeUnit.MILLISECONDS);
    }

    private void enqueue(Entry entry) {
        queue.add(entry);
        LockSupport.unpark(thread);
    }

    private void drop() {
        dropped.incrementAndGet();
        onDrop.run();
    }

    private void run() {
        while (true) {
            Entry entry = queue.poll();
            if (entry == null) {
                LockSupport.park(this);
            } else if (entry.line != null) {
                writeLineIfPossible(entry.line);
                queuedChars.addAndGet(-entry.chars());
            } else {
                entry.reached.countDown();
            }
        }
    }

    private void writeLine(String line) {
        long droppedNow = dropped.get();
        if (droppedNow > droppedReported && write("event=log_lines_dropped lines=" + (droppedNow - droppedReported))) {
            droppedReported = droppedNow;
        }
        if (!write(line)) {
            drop();
        }
    }

    /** Writes a line, or drops it if there is no memory for that: the lines after it are written. */
    private void writeLineIfPossible(String line) {
        try {
            writeLine(line);
        } catch (OutOfMemoryError noMemory) {
            drop();
        }
    }

    private boolean write(String line) {
        ByteBuffer bytes = StandardCharsets.UTF_8.encode((incompleteLine ? "\n" : "") + line + "\n");
        try {
            while (bytes.hasRemaining()) {
                if (output.write(bytes) == 0) {
                    LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(WRITE_RETRY_MILLIS));
                }
            }
            incompleteLine = false;
            return true;
        } catch (IOException failure) {
            incompleteLine |= bytes.position() > 0;
            return false;
        }
    }
}
