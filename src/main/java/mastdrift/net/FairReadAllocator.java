package mastdrift.net;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import java.util.function.LongSupplier;

/** Sizes the reads of connections so that none of them occupies the event loop for long in one turn: input that takes
    long to process, such as a body in chunks of one byte, is read in smaller pieces, and a turn ends once it has taken
    its time. Other input is read in the sizes in which it comes. */
final class FairReadAllocator extends DefaultMaxMessagesRecvByteBufAllocator {

    /** The time that a connection's reads should take in a turn of the loop. */
    static final long MAX_TURN_MICROS = 1_000;
    static final int MIN_READ_BYTES = 256;
    static final int INITIAL_READ_BYTES = 2 << 10;
    static final int MAX_READ_BYTES = 16 << 10;

    private final LongSupplier clock;

    /** The clock counts microseconds from an arbitrary origin. */
    FairReadAllocator(LongSupplier clock) {
        this.clock = clock;
    }

    @Override
    @SuppressWarnings("deprecation")  // the return type is Netty's
    public Handle newHandle() {
        return new FairHandle();
    }

    /** The state of one connection. */
    private final class FairHandle extends MaxMessageHandle {

        private int nextBytes = INITIAL_READ_BYTES;
        private long turnStartedAt;
        private long readStartedAt;
        private boolean smallRead;  // the last read of the turn left half of its buffer unused

        @Override
        public int guess() {
            readStartedAt = clock.getAsLong();
            turnStartedAt = totalBytesRead() == 0 ? readStartedAt : turnStartedAt;
            return nextBytes;
        }

        @Override
        public void lastBytesRead(int bytes) {
            smallRead = bytes < attemptedBytesRead() / 2;
            super.lastBytesRead(bytes);
        }

        /** The read has been processed. */
        @Override
        public boolean continueReading() {
            long now = clock.getAsLong();
            boolean filled = lastBytesRead() > 0 && lastBytesRead() == attemptedBytesRead();
            if (now - readStartedAt > MAX_TURN_MICROS) {
                nextBytes = Math.max(MIN_READ_BYTES, nextBytes / 2);
            } else if (filled && now - readStartedAt <= MAX_TURN_MICROS / 2) {
                nextBytes = Math.min(MAX_READ_BYTES, nextBytes * 2);
            }
            return now - turnStartedAt < MAX_TURN_MICROS && super.continueReading();
        }

        @Override
        public void readComplete() {
            if (smallRead) {
                nextBytes = Math.max(MIN_READ_BYTES, nextBytes / 2);
            }
        }
    }
}
