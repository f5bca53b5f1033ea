package mastdrift.net;

/** The memory that a gateway holds for the messages of all its connections: the one owner of its bounds. Together with
    what the connections may hold beside, they stay below the direct memory that the deploy file's {@code run} allows. */
final class MessageMemory {

    /** What clients have sent and the gateway has not decoded. */
    final MemoryPool readAhead = new MemoryPool(6L << 20);
    /** Long bodies on their way to hosts. */
    final MemoryPool uploads = new MemoryPool(6L << 20);
    /** Requests that are being read, wait for their turn or are open. */
    final MemoryPool requests = new MemoryPool(10L << 20);
    /** Responses that are being read, and bodies on their way to clients. */
    final MemoryPool responses = new MemoryPool(8L << 20);

    /** What is held at the moment, in KiB. */
    int usedKibibytes() {
        long bytes = readAhead.usedBytes() + uploads.usedBytes() + requests.usedBytes() + responses.usedBytes();
        return (int) (bytes >> 10);
    }
}
