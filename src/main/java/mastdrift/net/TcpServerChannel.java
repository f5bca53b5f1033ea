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
    private static final int TRIES_AT_ONCE = 8;
    // Failed accept calls after which the queue is given up when the socket is to be closed.
    private static final int LAST_TRIES = 100;

    // By this time after a pause, the loop has accepted from the queue.
    private static final long LOOKED_MILLIS = 1;
    // By this time the selector has processed that the socket is not to be watched.
    private static final long REARM_MILLIS = 1;

    private final LongSupplier clock;
    private final Consumer<Exception> failures;
    private final LongConsumer accepted;
    private boolean wanted = true;
    private boolean resting;
    private boolean rearming;
    private boolean watched;  // the selector has reported a connection since accepting last began
    private boolean looking;  // accepting without a report of the selector
    private long lookedAt;
    private boolean draining;  // the last accept call found a connection, so more may follow
    private boolean blocked;  // the queue may hold connections that arrived during a pause
    private long blockedSince;

    /** A socket to be bound. {@code onFailure} receives the exception of each failed accept call; the clock counts
        microseconds from an arbitrary origin. */
    TcpServerChannel(LongSupplier clock, Consumer<Exception> failures) {
        this(clock, failures, begunAt -> { });
    }

    /** As above; {@code onAcceptEnded} receives, after each round of accept calls, the time at which it started. */
    TcpServerChannel(LongSupplier clock, Consumer<Exception> failures, LongConsumer accepted) {
        this.clock = clock;
        this.failures = failures;
        this.accepted = accepted;
    }

    /** A socket that was bound by another process, which may still hold it. */
    TcpServerChannel(ServerSocketChannel passed, LongSupplier clock, Consumer<Exception> failures, LongConsumer accepted) {
        super(passed);
        this.clock = clock;
        this.failures = failures;
        this.accepted = accepted;
    }

    /** Starts or stops accepting connections. */
    void setAccepting(boolean accepts) {
        wanted = accepts;
        apply();
    }

    private boolean accepts() {
        return wanted && !resting && !rearming;
    }

    private void apply() {
        boolean accepts = accepts();
        watched &= accepts && config().isAutoRead();
        if (!accepts) {
            block();
        } else if (blocked && isRegistered()) {
            // A timer that one of the loop's tasks sets runs only after the loop has processed all sockets.
            eventLoop().execute(() -> eventLoop().schedule(this::unblockUnlessPaused, LOOKED_MILLIS, TimeUnit.MILLISECONDS));
        }
        config().setAutoRead(accepts);
    }

    private void block() {
        if (!blocked) {
            blocked = true;
            blockedSince = clock.getAsLong();
        }
    }

    /** Connections that have not been accepted by now arrived after the pause. While some are being accepted, the mark
        is cleared when the queue is found empty. */
    private void unblockUnlessPaused() {
        if (accepts() && !draining) {
            blocked = false;
        }
    }

    /** To be called periodically: accepts from the queue if the selector has reported nothing since accepting began.
        The system may have lacked the memory to watch this socket, which the JDK does not report. */
    void pollUnlessNotified() {
        long now = clock.getAsLong();
        if (!watched && accepts() && isActive()) {
            boolean wasBlocked = blocked;
            blocked = true;
            blockedSince = wasBlocked ? blockedSince : lookedAt;
            draining = false;
            looking = true;
            unsafe().read();
            looking = false;
            blocked &= wasBlocked;
        }
        lookedAt = now;
    }

    /** Makes the selector watch the socket again. */
    private void rearm() {
        rearming = true;
        apply();
        eventLoop().schedule(() -> {
            rearming = false;
            apply();
        }, REARM_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Accepts one connection. A call that fails, or finds none although the selector reported one, is repeated at once
        a few times before accepting pauses. {@code into} holds the connections that this turn of the loop has accepted
        before. */
    @Override
    protected int doReadMessages(List<Object> into) throws Exception {
        long begunAt = clock.getAsLong();
        watched |= !looking;
        try {
            int taken = acceptWithRetries(into);
            if (taken > 0 && looking && !rearming) {
                rearm();
            }
            return taken;
        } finally {
            accepted.accept(begunAt);
        }
    }

    private int acceptWithRetries(List<Object> into) throws Exception {
        boolean told = into.isEmpty();
        for (int tries = 1; true; tries++) {
            try {
                int taken = take(into);
                if (taken > 0 || !told || tries == TRIES_AT_ONCE) {
                    return taken;
                }
            } catch (IOException | ChannelException failure) {
                if (!isOpen()) {
                    throw failure;
                }
                failures.accept(failure);
                if (tries == TRIES_AT_ONCE) {
                    rest();
                    return 0;
                }
            }
        }
    }

    /** Accepts one connection if there is one; returns the number accepted. */
    private int take(List<Object> into) throws IOException {
        SocketChannel accepted = javaChannel().accept();
        if (accepted == null) {
            draining = false;
            blocked = false;
            return 0;
        }
        draining = true;
        TcpChannel connection = TcpChannel.adopt(this, accepted);
        connection.maxAcceptQueueMicros(blocked ? clock.getAsLong() - blockedSince : 0);
        into.add(connection);
        return 1;
    }

    private void rest() {
        if (resting) {
            return;
        }
        resting = true;
        apply();
        eventLoop().schedule(() -> {
            resting = false;
            apply();
        }, ACCEPT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Accepts the connections in the queue, up to {@code maxConnections}, and closes the socket after the last. */
    void drainAndClose(int most) {
        drainAndClose(most, LAST_TRIES);
    }

    private void drainAndClose(int most, int tries) {
        if (!isOpen()) {
            return;
        }
        List<Object> accepted = new ArrayList<>();
        boolean failed = false;
        try {
            while (accepted.size() < most && take(accepted) > 0) {
                continue;
            }
        } catch (IOException | ChannelException failure) {
            failures.accept(failure);
            failed = true;
        }
        accepted.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
        int left = most - accepted.size();
        if (failed && left > 0 && tries > 1) {
            eventLoop().schedule(() -> drainAndClose(left, tries - 1), ACCEPT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }
}
