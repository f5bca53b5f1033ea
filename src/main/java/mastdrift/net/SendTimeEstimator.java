package mastdrift.net;

import java.util.ArrayDeque;
import java.util.Deque;

/** Tells when a client may have sent its input, or left, at the earliest. The input may lie unread in the buffers of
    the system, here and on the client's machine, from the last time on at which a read found no more of it. These
    buffers are bounded: a byte can't have been sent before the one that is so far ahead of it was read. Positions count
    the bytes of the connection, times are in microseconds on the gateway's clock. Used on one event loop's thread. */
final class SendTimeEstimator {

    /** What the system buffers of a connection at most: the limit to which Linux grows a send buffer, and a receive
        buffer of {@link DownstreamServer#RECEIVE_BUFFER_BYTES}, which it doubles. */
    static final long MAX_UNREAD_BYTES = (4 << 20) + 2 * DownstreamServer.RECEIVE_BUFFER_BYTES;
    // Times of reading are kept for every so many bytes.
    private static final long HISTORY_STEP_BYTES = 256 << 10;
    // Input that was sent within this time counts as sent at its start: small pieces take no memory each.
    private static final long RESOLUTION_MICROS = 10_000;

    /** A position up to which input had been read, or delivered, and a time that belongs to it. */
    private record Mark(long position, long time) { }

    private final Deque<Mark> reads = new ArrayDeque<>();  // when these positions had been read, while not drained
    private final Deque<Mark> undelivered = new ArrayDeque<>();  // the send times of what was read, by its end
    private long readPosition;
    private long deliveredPosition;
    private long deliveredSentAt;  // of the last byte that was delivered
    private long undrainedSince;  // since then no read has found the socket empty, 0 if the last one has

    /** Input was read. */
    void read(int bytes, long now) {
        undrainedSince = undrainedSince == 0 ? now : undrainedSince;
        readPosition += bytes;
        long sentAt = earliestSendTime(readPosition, now);
        boolean merged = !undelivered.isEmpty() && sentAt - undelivered.peekLast().time < RESOLUTION_MICROS;
        undelivered.add(new Mark(readPosition, merged ? undelivered.removeLast().time : sentAt));
        if (reads.isEmpty() || readPosition - reads.peekLast().position >= HISTORY_STEP_BYTES) {
            reads.add(new Mark(readPosition, now));
        }
        forgetOldReads();
    }

    /** Keeps one mark that is further back than the buffers of the system reach. */
    private void forgetOldReads() {
        Mark first = reads.remove();
        while (!reads.isEmpty() && reads.element().position <= readPosition - MAX_UNREAD_BYTES) {
            first = reads.remove();
        }
        reads.addFirst(first);
    }

    /** A read has found no more input. Unless {@code reading} goes on, what comes after this time is not seen. */
    void drained(boolean reading, long now) {
        undrainedSince = reading ? 0 : now;
        reads.clear();
    }

    /** Reading stops: what comes from now on is not seen. */
    void readingStopped(long now) {
        undrainedSince = undrainedSince == 0 ? now : undrainedSince;
    }

    /** How many of the bytes that were read and are to be delivered next count as sent at the same time. */
    int nextDeliveryBytes() {
        return (int) (undelivered.element().position - deliveredPosition);
    }

    /** So many bytes that were read have been delivered. */
    void delivered(int bytes) {
        deliveredPosition += bytes;
        while (!undelivered.isEmpty() && undelivered.peek().position < deliveredPosition) {
            undelivered.remove();
        }
        deliveredSentAt = undelivered.isEmpty() ? deliveredSentAt : undelivered.peek().time;
        while (!undelivered.isEmpty() && undelivered.peek().position == deliveredPosition) {
            undelivered.remove();
        }
    }

    /** Whether the last read has found no more input, and reading goes on. */
    boolean isDrained() {
        return undrainedSince == 0;
    }

    /** The last time at which all that had arrived was read, the end of the connection included. */
    long drainedAsOf(long now) {
        return undrainedSince == 0 ? now : undrainedSince;
    }

    /** The earliest time at which the byte that was delivered last may have been sent. */
    long deliveredSentAt() {
        return deliveredSentAt;
    }

    /** The earliest time at which the byte may have been sent that is so many bytes behind what was delivered; no later
        than {@code now}. */
    long sendTimeOf(long bytesAhead, long now) {
        long position = deliveredPosition + bytesAhead;
        for (Mark mark : undelivered) {
            if (mark.position >= position) {
                return mark.time;
            }
        }
        return earliestSendTime(position, now);
    }

    private long earliestSendTime(long position, long now) {
        long sentAt = drainedAsOf(now);
        long precedingPosition = position - MAX_UNREAD_BYTES;
        if (precedingPosition > readPosition) {
            return now;
        }
        for (Mark mark : reads) {
            if (mark.position <= precedingPosition) {
                sentAt = Math.max(sentAt, mark.time);
            }
        }
        return sentAt;
    }
}
