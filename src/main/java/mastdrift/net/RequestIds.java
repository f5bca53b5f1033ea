package mastdrift.net;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.LongSupplier;

/** The ids of requests that are open, or that may still run at a host though their client has left: an id that comes
    again must not run twice. A table of fixed size; in a file it is shared by the two processes of one gateway during
    an upgrade, which claim ids by atomic operations. Not a guarantee: where too many ids fall on one part of the table,
    the oldest is forgotten. */
final class RequestIds {

    /** How long the id of a request that may still run is kept, in microseconds: hosts hang for up to 23 s. */
    static final long RETENTION_MICROS = 30_000_000;
    private static final String FILE_NAME = "request-ids-1";
    private static final int BUCKETS = 2048;
    private static final int BUCKET_SLOTS = 16;
    private static final int TABLE_BYTES = BUCKETS * BUCKET_SLOTS * Long.BYTES;
    // A slot holds the upper bits of an id's hash and, below them, the tenth of a second in which it was claimed.
    private static final int TIME_BITS = 20;
    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    private static final long TICK_MICROS = 100_000;
    private static final long RETENTION_TICKS = RETENTION_MICROS / TICK_MICROS;
    private static final VarHandle SLOTS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer table;
    private final LongSupplier steadyMicros;

    private RequestIds(ByteBuffer table, LongSupplier steadyMicros) {
        this.table = table;
        this.steadyMicros = steadyMicros;
    }

    /** A table of this process alone. The clock counts microseconds from an arbitrary origin. */
    static RequestIds ofThisProcess(LongSupplier steadyMicros) {
        return new RequestIds(ByteBuffer.allocateDirect(TABLE_BYTES), steadyMicros);
    }

    /** A table in a file of that folder, shared by the processes that have it there. The clock is the machine's
        monotonic one. */
    static RequestIds shared(Path folder, LongSupplier steadyMicros) throws IOException {
        try (FileChannel file = FileChannel.open(folder.resolve(FILE_NAME), StandardOpenOption.CREATE,
                StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            allocate(file);
            return new RequestIds(file.map(FileChannel.MapMode.READ_WRITE, 0, TABLE_BYTES), steadyMicros);
        }
    }

    /** Fills a new file: an access to a mapped page for which the file system has no room would be a fault of the
        virtual machine. */
    private static void allocate(FileChannel file) throws IOException {
        for (long size = file.size(); size < TABLE_BYTES; ) {
            size += file.write(ByteBuffer.allocate((int) (TABLE_BYTES - size)), size);
        }
    }

    /** Claims an id; false if it is taken. */
    boolean claim(String id) {
        long hash = hash(id);
        while (true) {
            int oldest = 0;
            long oldestValue = 0;
            long oldestAge = -1;
            for (int slot = 0; slot < BUCKET_SLOTS; slot++) {
                long value = read(hash, slot);
                long age = age(value);
                if (age < RETENTION_TICKS && isOf(value, hash)) {
                    return false;
                }
                if (age > oldestAge) {
                    oldest = slot;
                    oldestValue = value;
                    oldestAge = age;
                }
            }
            // If the other process has changed the slot, it may have claimed the same id.
            if (replace(hash, oldest, oldestValue, entry(hash))) {
                return true;
            }
        }
    }

    /** Gives an id free: nothing of its request runs any more, or ever did. */
    void release(String id) {
        long hash = hash(id);
        for (int slot = 0; slot < BUCKET_SLOTS; slot++) {
            long value = read(hash, slot);
            if (isOf(value, hash)) {
                replace(hash, slot, value, 0);
            }
        }
    }

    /** Keeps an id for the time in which its request may still run. */
    void retain(String id) {
        long hash = hash(id);
        for (int slot = 0; slot < BUCKET_SLOTS; slot++) {
            long value = read(hash, slot);
            if (isOf(value, hash)) {
                replace(hash, slot, value, entry(hash));
            }
        }
    }

    private static int offset(long hash, int slot) {
        return ((int) (hash & BUCKETS - 1) * BUCKET_SLOTS + slot) * Long.BYTES;
    }

    private long read(long hash, int slot) {
        return (long) SLOTS.getVolatile(table, offset(hash, slot));
    }

    private boolean replace(long hash, int slot, long expected, long value) {
        return SLOTS.compareAndSet(table, offset(hash, slot), expected, value);
    }

    private long tick() {
        return steadyMicros.getAsLong() / TICK_MICROS & TIME_MASK;
    }

    private long entry(long hash) {
        return hash & ~TIME_MASK | tick();
    }

    private static boolean isOf(long value, long hash) {
        return value != 0 && (value & ~TIME_MASK) == (hash & ~TIME_MASK);
    }

    /** The age of an entry in ticks; more than any for an empty one. */
    private long age(long value) {
        return value == 0 ? TIME_MASK + 1 : tick() - (value & TIME_MASK) & TIME_MASK;
    }

    /** A number that stands for the id. */
    static long hash(String id) {
        long hash = 0xCBF29CE484222325L;  // FNV-1a
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001B3L;
        }
        hash = (hash ^ hash >>> 32) * 0x9E3779B97F4A7C15L;  // spreads the upper bits, which identify the id
        return hash ^ hash >>> 29;
    }
}
