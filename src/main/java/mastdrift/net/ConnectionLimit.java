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
    last those that are sending a request. Connections with a request in progress are not closed. Used on one event
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
    private static final long LOOKED_MILLIS = 1;

    private final EventLoop loop;
    private final int most;
    private final Consumer<Boolean> accept;
    private final Runnable pushedOut;
    private final Set<C> all = new HashSet<>();
    private final LinkedHashSet<C> withoutRequest = new LinkedHashSet<>();  // those without a first request, oldest first
    private final LinkedHashSet<C> idle = new LinkedHashSet<>();  // longest idle first
    private final LinkedHashSet<C> lingering = new LinkedHashSet<>();  // in a lingering close, oldest first
    private final Set<C> unlooked = new HashSet<>();
    private C newest;  // null if that one has been closed
    private boolean making;
    private boolean accepting = true;

    /** Allows about {@code maxConnections} connections. {@code acceptSwitch} is told when to accept more and when not
        to; {@code onEvicted} runs for each connection that is closed for the limit. */
    ConnectionLimit(EventLoop loop, int most, Consumer<Boolean> accept, Runnable pushedOut) {
        this.loop = loop;
        this.most = most;
        this.accept = accept;
        this.pushedOut = pushedOut;
    }

    int size() {
        return all.size();
    }

    /** How many more connections may be accepted. */
    int remainingCapacity() {
        return Math.max(0, most - all.size());
    }

    List<C> all() {
        return List.copyOf(all);
    }

    /** Connections without a request in progress, beginning with those that never sent one, oldest first. */
    List<C> awaitingRequest() {
        return Stream.concat(withoutRequest.stream(), idle.stream()).toList();
    }

    boolean hasSentNoRequest(C connection) {
        return withoutRequest.contains(connection);
    }

    /** Adds a connection that has been accepted. */
    void add(C connection) {
        all.add(connection);
        withoutRequest.add(connection);
        unlooked.add(connection);
        newest = connection;
        // A timer that one of the loop's tasks sets runs only after the loop has processed all sockets.
        loop.execute(() -> loop.schedule(() -> looked(connection), LOOKED_MILLIS, TimeUnit.MILLISECONDS));
        if (all.size() > most && !lingering.isEmpty()) {
            C eldest = lingering.iterator().next();
            lingering.remove(eldest);  // its close is reported only later, and the next new connection has to close another
            eldest.close();
        }
        enforce();
    }

    private void looked(C connection) {
        unlooked.remove(connection);
        enforce();
    }

    /** A request has been read on the connection. */
    void requestReceived(C connection) {
        withoutRequest.remove(connection);
        idle.remove(connection);
    }

    /** The connection has no request in progress and waits for the next. */
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
        unlooked.remove(connection);
        lingering.remove(connection);
        enforce();
    }

    /** Closes connections in excess of the limit, and stops accepting while there are too many. A new connection is not
        closed before its first read, since a request may wait in its socket: while only such could be closed, no more
        are accepted. Lingering connections do not count, as a new connection replaces them. */
    void enforce() {
        if (making) {
            return;
        }
        making = true;  // closing a connection calls this method again
        try {
            makeRoom();
        } finally {
            making = false;
        }
        accepts(!over());
    }

    private boolean over() {
        return all.size() - lingering.size() > most;
    }

    private void makeRoom() {
        while (over()) {
            C first = first();
            if (first == null || unlooked.contains(first) || first.hasUnprocessedInput()) {
                return;
            }
            pushedOut.run();
            first.closeGracefully();
            requestReceived(first);  // it may have closed by itself without being removed yet: not to be chosen again
        }
    }

    /** The connection to close next; null if all have requests in progress. */
    private C first() {
        C eldest = null;  // first connection that is sending a request
        for (Set<C> waiting : List.of(withoutRequest, idle)) {
            for (C connection : waiting) {
                if (connection != newest && !connection.isSendingRequest()) {
                    return connection;
                }
                eldest = eldest == null ? connection : eldest;
            }
        }
        return awaitingRequest(newest) && !newest.isSendingRequest() ? newest : eldest;
    }

    private boolean awaitingRequest(C connection) {
        return withoutRequest.contains(connection) || idle.contains(connection);
    }

    private void accepts(boolean wanted) {
        if (accepting != wanted) {
            accepting = wanted;
            accept.accept(wanted);
        }
    }
}
