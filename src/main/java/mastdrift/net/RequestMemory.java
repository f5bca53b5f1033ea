package mastdrift.net;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Iterator;
import java.util.Map;

/** The memory of one request that has been read: its head, and its body or the part of it that came ahead of a relay.
    Counted until the request has been answered and no attempt is writing it any more. */
final class RequestMemory {

    // What a request's objects and its place in the queue take.
    private static final long REQUEST_OVERHEAD_BYTES = 2 << 10;
    // What a header takes besides the characters of its value.
    private static final long HEADER_OVERHEAD_BYTES = 128;

    private final MessageMemory pools;
    private final MemoryPool.Reservation reservation;  // for the body, or null if it had none
    private final long headBytes;
    private final long bodyBytes;
    private int holders = 1;
    private boolean released;

    /** Counts a request; its body is counted by the reservation if there is one. */
    RequestMemory(FullHttpRequest request, MemoryPool.Reservation reservation, MessageMemory pools) {
        this.pools = pools;
        this.reservation = reservation;
        headBytes = headBytes(request);
        bodyBytes = request.content().capacity();
        pools.heads.add(headBytes);
        pools.requests.add(reservation == null ? bodyBytes : 0);
    }

    private static long headBytes(FullHttpRequest request) {
        long bytes = REQUEST_OVERHEAD_BYTES + request.uri().length();
        Iterator<Map.Entry<CharSequence, CharSequence>> headers = request.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            bytes += HEADER_OVERHEAD_BYTES + headers.next().getValue().length();
        }
        return bytes;
    }

    /** What the request takes, overhead included. */
    long heldBytes() {
        return headBytes + bodyBytes;
    }

    /** Adds a holder, which has to release the memory as well. One that comes after the last has gone has nothing of
        it: the request has ended, and its attempt is not going to be written. */
    void retain() {
        holders++;
    }

    /** Returns the memory if this is the last holder. Has no effect after that. */
    void release() {
        holders--;
        if (holders != 0 || released) {
            return;
        }
        released = true;
        pools.heads.add(-headBytes);
        if (reservation == null) {
            pools.requests.add(-bodyBytes);
        } else {
            reservation.release();
        }
    }
}
