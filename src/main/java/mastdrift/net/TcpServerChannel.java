package mastdrift.net;

import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/** The listening socket for clients, which alone decides whether connections are accepted. After a failed accept call,
    which says nothing about the connections in the queue, accepting continues some milliseconds later; Netty would
    pause for a second. The system completes connections, and receives data on them, before the program accepts them:
    closing the socket would reset those that are still in the queue. Used on its event loop's thread. */
final class TcpServerChannel extends NioServerSocketChannel {

    /** Pause after a failed accept call. */
    static final long ACCEPT_RETRY_MILLIS = 5;
    private static final int MAX_IMMEDIATE_TRIES = 8;
    // Failed accept calls after which the queue is given up when the socket is to be closed.
    private static final int MAX_CLOSING_TRIES = 100;

    // By this time after a pause, the loop has accepted from the queue.
    private static final long QUEUE_READ_MILLIS = 1;
    // By this time the selector has processed that the socket is not to be watched.
    private static final long SELECTOR_REARM_MILLIS = 1;

    private final LongSupplier clock;
    private final Consumer<Exception> onFailure;
    private final LongConsumer onAcceptEnded;
    private boolean acceptingRequested = true;
    private boolean backingOff;  // accepting is paused after a failed call
    private boolean rearmingSelector;  // accepting is off for a moment, so that the selector registers it anew
    private boolean selectorNotified;  // the selector has reported a connection since accepting last began
    private boolean polling;  // accepting without a report of the selector
    private long polledAt;  // the last call of pollUnlessNotified
    private boolean queueNotEmpty;  // the last accept call found a connection, so more may follow
    private boolean mayHaveQueued;  // the queue may hold connections that arrived during a pause
    private long queuedSince;  // when the earliest of these connections may have arrived

    /** A socket to be bound. {@code onFailure} receives the exception of each failed accept call; the clock counts
        microseconds from an arbitrary origin. */
    TcpServerChannel(LongSupplier clock, Consumer<Exception> onFailure) {
        this(clock, onFailure, startedAt -> { });
    }

    /** As above; {@code onAcceptEnded} receives, after each round of accept calls, the time at which it started. */
    TcpServerChannel(LongSupplier clock, Consumer<Exception> onFailure, LongConsumer onAcceptEnded) {
        this.clock = clock;
        this.onFailure = onFailure;
        this.onAcceptEnded = onAcceptEnded;
    }

    /** A socket that was bound by another process, which may still hold it. */
    TcpServerChannel(ServerSocketChannel inherited, LongSupplier clock, Consumer<Exception> onFailure,
            LongConsumer onAcceptEnded) {
        super(inherited);
        this.clock = clock;
        this.onFailure = onFailure;
        this.onAcceptEnded = onAcceptEnded;
    }

    /** Starts or stops accepting connections. */
    void setAccepting(boolean accepting) {
        acceptingRequested = accepting;
        updateAutoRead();
    }

    private boolean isAccepting() {
        return acceptingRequested && !backingOff && !rearmingSelector;
    }

    private void updateAutoRead() {
        boolean accepting = isAccepting();
        selectorNotified &= accepting && config().isAutoRead();
        if (!accepting) {
            markPaused();
        } else if (mayHaveQueued && isRegistered()) {
            // A timer that one of the loop's tasks sets runs only after the loop has processed all sockets.
            eventLoop().execute(() -> eventLoop().schedule(this::clearPauseMark, QUEUE_READ_MILLIS,
                    TimeUnit.MILLISECONDS));
        }
        config().setAutoRead(accepting);
    }

    /** From now on, connections wait in the queue. */
    private void markPaused() {
        if (!mayHaveQueued) {
            mayHaveQueued = true;
            queuedSince = clock.getAsLong();
        }
    }

    /** Connections that have not been accepted by now arrived after the pause. While some are being accepted, the mark
        is cleared when the queue is found empty. */
    private void clearPauseMark() {
        if (isAccepting() && !queueNotEmpty) {
            mayHaveQueued = false;
        }
    }

    /** To be called periodically: accepts from the queue if the selector has reported nothing since accepting began.
        The system may have lacked the memory to watch this socket, which the JDK does not report. */
    void pollUnlessNotified() {
        long now = clock.getAsLong();
        if (!selectorNotified && isAccepting() && isActive()) {
            boolean hadQueued = mayHaveQueued;
            mayHaveQueued = true;
            queuedSince = hadQueued ? queuedSince : polledAt;
            queueNotEmpty = false;
            polling = true;
            unsafe().read();
            polling = false;
            mayHaveQueued &= hadQueued;
        }
        polledAt = now;
    }

    /** Makes the selector watch the socket again. */
    private void rearmSelector() {
        rearmingSelector = true;
        updateAutoRead();
        eventLoop().schedule(() -> {
            rearmingSelector = false;
            updateAutoRead();
        }, SELECTOR_REARM_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Accepts one connection. A call that fails, or finds none although the selector reported one, is repeated at once
        a few times before accepting pauses. {@code into} holds the connections that this turn of the loop has accepted
        before. */
    @Override
    protected int doReadMessages(List<Object> into) throws Exception {
        long startedAt = clock.getAsLong();
        selectorNotified |= !polling;
        try {
            int accepted = acceptWithRetries(into);
            if (accepted > 0 && polling && !rearmingSelector) {
                rearmSelector();
            }
            return accepted;
        } finally {
            onAcceptEnded.accept(startedAt);
        }
    }

    private int acceptWithRetries(List<Object> into) throws Exception {
        boolean firstOfTurn = into.isEmpty();
        for (int tries = 1; true; tries++) {
            try {
                int accepted = acceptOne(into);
                if (accepted > 0 || !firstOfTurn || tries == MAX_IMMEDIATE_TRIES) {
                    return accepted;
                }
            } catch (IOException | ChannelException failure) {
                if (!isOpen()) {
                    throw failure;
                }
                onFailure.accept(failure);
                if (tries == MAX_IMMEDIATE_TRIES) {
                    backOff();
                    return 0;
                }
            }
        }
    }

    /** Accepts one connection if there is one; returns the number accepted. */
    private int acceptOne(List<Object> into) throws IOException {
        SocketChannel accepted = javaChannel().accept();
        if (accepted == null) {
            queueNotEmpty = false;
            mayHaveQueued = false;
            return 0;
        }
        queueNotEmpty = true;
        TcpChannel connection = TcpChannel.adopt(this, accepted);
        connection.maxAcceptQueueMicros(mayHaveQueued ? clock.getAsLong() - queuedSince : 0);
        into.add(connection);
        return 1;
    }

    private void backOff() {
        if (backingOff) {
            return;
        }
        backingOff = true;
        updateAutoRead();
        eventLoop().schedule(() -> {
            backingOff = false;
            updateAutoRead();
        }, ACCEPT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Accepts the connections in the queue, up to {@code maxConnections}, and closes the socket after the last. */
    void drainAndClose(int maxConnections) {
        drainAndClose(maxConnections, MAX_CLOSING_TRIES);
    }

    private void drainAndClose(int maxConnections, int triesLeft) {
        if (!isOpen()) {
            return;
        }
        List<Object> accepted = new ArrayList<>();
        boolean failed = false;
        try {
            while (accepted.size() < maxConnections && acceptOne(accepted) > 0) {
                continue;
            }
        } catch (IOException | ChannelException failure) {
            onFailure.accept(failure);
            failed = true;
        }
        accepted.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
        int remaining = maxConnections - accepted.size();
        if (failed && remaining > 0 && triesLeft > 1) {
            eventLoop().schedule(() -> drainAndClose(remaining, triesLeft - 1), ACCEPT_RETRY_MILLIS,
                    TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }
}
