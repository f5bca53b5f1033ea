package mastdrift.net;

/** The memory that a gateway holds for the messages of all its connections: the one owner of its bounds. At a bound,
    what a connection needs to go on with one message is still granted. All bounds together, with what the virtual machine
    takes besides, stay below the memory limit of the process, or of the two processes of an upgrade. */
final class MessageMemory {

    private static final long MEGABYTE = 1 << 20;
    // What a process has resident besides its heap and its buffers for messages: the virtual machine, classes and code.
    private static final long VIRTUAL_MACHINE_BYTES = 60 * MEGABYTE;
    private static final int PROCESSES_OF_AN_UPGRADE = 2;
    // What a connection of a client and its connection to a host may hold though the budget is used up: a read, an
    // undecoded head, and a part of a body in a relay and on its way out, each on both sides.
    private static final long RESERVED_CONNECTION_BYTES = 16 << 10;
    private static final long MIN_BUFFER_BYTES = 8 * MEGABYTE;
    private static final long READ_AHEAD_BYTES = 6 * MEGABYTE;
    private static final long UPLOAD_BYTES = 6 * MEGABYTE;
    private static final long RESPONSE_BYTES = 8 * MEGABYTE;
    private static final long HEAD_BYTES = 6 * MEGABYTE;
    private static final long MIN_REQUEST_BYTES = 4 * MEGABYTE;
    private static final long MAX_REQUEST_BYTES = 10 * MEGABYTE;
    // Of what is left to the buffers beside a usual heap, the part for bodies of requests.
    private static final int REQUEST_DIVISOR = 3;
    // What the heap takes beside all connections that a process may have, without lists of thousands of hosts.
    private static final long USUAL_HEAP_BYTES = 26 * MEGABYTE;

    private final BufferBudget budget;
    /** What clients have sent and the gateway has not decoded. */
    final MemoryPool readAhead;
    /** Long bodies on their way to hosts, until they are written. */
    final MemoryPool uploads;
    /** Bodies of requests that are being read, wait for their turn, are open or are being written to a host. */
    final MemoryPool requests;
    /** Responses that are being read, and bodies on their way to clients, until they are written. */
    final MemoryPool responses;
    /** Heads of requests, for as long as the requests are held. They are in the heap. */
    final MemoryPool heads = new MemoryPool(HEAD_BYTES);

    /** Memory for a process with that limit, which it shares with another during an upgrade if {@code shared}. */
    MessageMemory(int limitMegabytes, boolean shared, int maxConnections) {
        long available = limitMegabytes * MEGABYTE / (shared ? PROCESSES_OF_AN_UPGRADE : 1) - VIRTUAL_MACHINE_BYTES
                - maxConnections * RESERVED_CONNECTION_BYTES;
        long requestBytes = Math.max(MIN_REQUEST_BYTES,
                Math.min(MAX_REQUEST_BYTES, (available - USUAL_HEAP_BYTES) / REQUEST_DIVISOR));
        // What is reserved for requests is taken later, whatever is allocated by then.
        budget = new BufferBudget(available - requestBytes, MIN_BUFFER_BYTES, MessageBuffers::allocatedBytes,
                Runtime.getRuntime()::totalMemory);
        readAhead = new MemoryPool(READ_AHEAD_BYTES, budget);
        uploads = new MemoryPool(UPLOAD_BYTES, budget);
        requests = new MemoryPool(requestBytes, budget);
        responses = new MemoryPool(RESPONSE_BYTES, budget);
    }

    /** Whether a connection that holds a request should hold no further one. */
    boolean isShortForRequests() {
        return heads.isExhausted() || requests.isExhausted();
    }

    /** To be called periodically: looks at what is allocated, also where nothing else changes. */
    void sample() {
        budget.sample();
    }

    /** What is held at the moment, in KiB. */
    int usedKibibytes() {
        long bytes = readAhead.usedBytes() + uploads.usedBytes() + requests.usedBytes() + responses.usedBytes()
                + heads.usedBytes();
        return (int) (bytes >> 10);
    }
}
