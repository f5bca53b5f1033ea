package mastdrift.net;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Limits the number of client connections and chooses which one is closed when the limit is exceeded: first those in a
    lingering close, then those that never sent a request, then the longest idle, then the newest connection itself, and
    last those that are sending a request. Connections whose request is being handled are not closed. Used on one event
    loop's thread.

    @param <C> a client's connection */
final class ConnectionLimit<C extends ConnectionLimit.Evictable> {

    /** A connection that may have to be closed. */
    interface Evictable {

        /** Whether a part of a request, or unprocessed input, has arrived. */
        boolean isSendingRequest();

        /** Whether input has been read and not been processed. */
        boolean hasUnprocessedInput();

        /** Starts a lingering close, which ends when the client closes its side, or after a while. */
        void closeGracefully();

        /** Closes the connection at once. */
        void close();
    }

    // By this time after a connection was accepted, the loop has read its first input.
    private static final long FIRST_READ_MILLIS = 1;

    private final EventLoop loop;
    private final int maxConnections;
    private final Consumer<Boolean> acceptSwitch;
    private final Runnable onEvicted;
    private final Set<C> all = new HashSet<>();
    // Those without a first request, oldest first.
    private final LinkedHashSet<C> withoutRequest = new LinkedHashSet<>();
    private final LinkedHashSet<C> idle = new LinkedHashSet<>();  // longest idle first
    private final LinkedHashSet<C> lingering = new LinkedHashSet<>();  // in a lingering close, oldest first
    private final Set<C> notYetRead = new HashSet<>();  // their first input may wait in the socket
    private C newest;  // null if that one has been closed
    private boolean enforcing;
    private boolean accepting = true;

    /** Allows about {@code maxConnections} connections. {@code acceptSwitch} is told when to accept more and when not
        to; {@code onEvicted} runs for each connection that is closed for the limit. */
    ConnectionLimit(EventLoop loop, int maxConnections, Consumer<Boolean> acceptSwitch, Runnable onEvicted) {
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.acceptSwitch = acceptSwitch;
        this.onEvicted = onEvicted;
    }

    int size() {
        return all.size();
    }

    /** How many more connections may be accepted. */
    int remainingCapacity() {
        return Math.max(0, maxConnections - all.size());
    }

    List<C> all() {
        return List.copyOf(all);
    }

    /** Connections that have no request being handled, beginning with those that never sent one, oldest first. */
    List<C> awaitingRequest() {
        return Stream.concat(withoutRequest.stream(), idle.stream()).toList();
    }

    /** Whether no whole request has been read on the connection yet. */
    boolean hasSentNoRequest(C connection) {
        return withoutRequest.contains(connection);
    }

    /** Adds a connection that has been accepted. */
    void add(C connection) {
        all.add(connection);
        withoutRequest.add(connection);
        notYetRead.add(connection);
        newest = connection;
        // A timer that one of the loop's tasks sets runs only after the loop has processed all sockets.
        loop.execute(() -> loop.schedule(() -> firstReadDone(connection), FIRST_READ_MILLIS, TimeUnit.MILLISECONDS));
        if (all.size() > maxConnections && !lingering.isEmpty()) {
            C oldest = lingering.iterator().next();
            // Its close is reported only later, and the next new connection has to close another.
            lingering.remove(oldest);
            oldest.close();
        }
        enforce();
    }

    private void firstReadDone(C connection) {
        notYetRead.remove(connection);
        enforce();
    }

    /** A request has been read on the connection. */
    void requestReceived(C connection) {
        withoutRequest.remove(connection);
        idle.remove(connection);
    }

    /** The connection's requests have been answered and it waits for the next. */
    void becameIdle(C connection) {
        idle.add(connection);
        enforce();
    }

    /** The connection is in a lingering close. */
    void startedLingering(C connection) {
        requestReceived(connection);
        lingering.add(connection);
        enforce();
    }

    /** Removes a connection that has been closed. */
    void remove(C connection) {
        requestReceived(connection);
        all.remove(connection);
        newest = newest == connection ? null : newest;
        notYetRead.remove(connection);
        lingering.remove(connection);
        enforce();
    }

    /** Closes connections in excess of the limit, and stops accepting while there are too many. A new connection is not
        closed before its first read, since a request may wait in its socket: while only such could be closed, no more
        are accepted. Lingering connections do not count, as a new connection replaces them. */
    void enforce() {
        if (enforcing) {
            return;
        }
        enforcing = true;  // closing a connection calls this method again
        try {
            evictExcess();
        } finally {
            enforcing = false;
        }
        setAccepting(!isExceeded());
    }

    private boolean isExceeded() {
        return all.size() - lingering.size() > maxConnections;
    }

    private void evictExcess() {
        while (isExceeded()) {
            C candidate = nextToEvict();
            if (candidate == null || notYetRead.contains(candidate) || candidate.hasUnprocessedInput()) {
                return;
            }
            onEvicted.run();
            candidate.closeGracefully();
            // It may have closed by itself without being removed yet: not to be chosen again.
            requestReceived(candidate);
        }
    }

    /** The connection to close next; null if all have requests that are being handled. */
    private C nextToEvict() {
        C oldestSending = null;  // first connection that is sending a request
        for (Set<C> group : List.of(withoutRequest, idle)) {
            for (C connection : group) {
                if (connection != newest && !connection.isSendingRequest()) {
                    return connection;
                }
                oldestSending = oldestSending == null ? connection : oldestSending;
            }
        }
        return awaitingRequest(newest) && !newest.isSendingRequest() ? newest : oldestSending;
    }

    private boolean awaitingRequest(C connection) {
        return withoutRequest.contains(connection) || idle.contains(connection);
    }

    private void setAccepting(boolean wanted) {
        if (accepting != wanted) {
            accepting = wanted;
            acceptSwitch.accept(wanted);
        }
    }
}
