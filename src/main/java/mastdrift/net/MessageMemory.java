package mastdrift.net;

/** The memory that a gateway holds for the messages of all its connections: the one owner of its bounds. At a bound,
    what a connection needs to go on with one message is still granted. */
final class MessageMemory {

    /** What clients have sent and the gateway has not decoded. */
    final MemoryPool readAhead = new MemoryPool(6L << 20);
    /** Long bodies on their way to hosts, until they are written. */
    final MemoryPool uploads = new MemoryPool(6L << 20);
    /** Bodies of requests that are being read, wait for their turn, are open or are being written to a host. */
    final MemoryPool requests = new MemoryPool(10L << 20);
    /** Responses that are being read, and bodies on their way to clients, until they are written. */
    final MemoryPool responses = new MemoryPool(8L << 20);
    /** Heads of requests, for as long as the requests are held. They are in the heap. */
    final MemoryPool heads = new MemoryPool(6L << 20);

    /** Whether a connection that holds a request should hold no further one. */
    boolean isShortForRequests() {
        return heads.isExhausted() || requests.isExhausted();
    }

    /** What is held at the moment, in KiB. */
    int usedKibibytes() {
        long bytes = readAhead.usedBytes() + uploads.usedBytes() + requests.usedBytes() + responses.usedBytes()
                + heads.usedBytes();
        return (int) (bytes >> 10);
    }
}
