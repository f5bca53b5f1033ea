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

/** The socket that clients connect to, and the one owner of whether it accepts. A call that fails says nothing of those who
    wait in the queue: accepting goes on some milliseconds later, where the library would rest for a second. The system
    accepts connections, and what is written on them, before the program does: a close would reset those that it has not taken
    from the system by then. Used on its event loop. */
final class Listener extends NioServerSocketChannel {

    /** Between a call that failed and the next. */
    static final long RETRY_MILLIS = 5;
    private static final int TRIES_AT_ONCE = 8;
    // So often the queue is tried again at the end, before it is given up.
    private static final int LAST_TRIES = 100;

    // Behind a pause the loop has looked at the queue by then.
    private static final long LOOKED_MILLIS = 1;
    // By then the selector has heard that nothing is wanted.
    private static final long REARM_MILLIS = 1;

    private final LongSupplier clock;
    private final Consumer<Exception> failures;
    private final LongConsumer accepted;
    private boolean wanted = true;
    private boolean resting;
    private boolean rearming;
    private boolean watched;  // the selector has told of a connection since it was last asked to
    private boolean looking;  // though the selector has told of nothing
    private long lookedAt;
    private boolean draining;  // the queue has been met with a connection and not with its end
    private boolean blocked;  // connections may lie in the queue that came during a pause
    private long blockedSince;

    /** To be bound; {@code failures} hears of each call that failed. The clock runs in microseconds from any origin. */
    Listener(LongSupplier clock, Consumer<Exception> failures) {
        this(clock, failures, begunAt -> { });
    }

    /** Likewise; {@code accepted} hears behind each look at the queue when that look began. */
    Listener(LongSupplier clock, Consumer<Exception> failures, LongConsumer accepted) {
        this.clock = clock;
        this.failures = failures;
        this.accepted = accepted;
    }

    /** One that others have bound, and may hold as well. */
    Listener(ServerSocketChannel passed, LongSupplier clock, Consumer<Exception> failures, LongConsumer accepted) {
        super(passed);
        this.clock = clock;
        this.failures = failures;
        this.accepted = accepted;
    }

    /** Whether connections are to be accepted from now on. */
    void accept(boolean accepts) {
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
            // The loop looks at all sockets before it comes to what one of its tasks has put off.
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

    /** What has not been met by now came later; while some are met the queue tells its end itself. */
    private void unblockUnlessPaused() {
        if (accepts() && !draining) {
            blocked = false;
        }
    }

    /** To be called now and then: looks at the queue where the selector has not told of anything since it was asked to. The
        system may have had no memory to watch this socket, of which the JDK tells nobody. */
    void lookUnwatched() {
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

    /** Has the selector watch the socket anew. */
    private void rearm() {
        rearming = true;
        apply();
        eventLoop().schedule(() -> {
            rearming = false;
            apply();
        }, REARM_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A call that fails, or finds nothing where the system has told of a connection, is made again at once a few times; only
        then accepting rests. {@code into} holds what this turn of the loop has taken before. */
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

    /** One connection, if there is one; how many were taken. */
    private int take(List<Object> into) throws IOException {
        SocketChannel accepted = javaChannel().accept();
        if (accepted == null) {
            draining = false;
            blocked = false;
            return 0;
        }
        draining = true;
        TcpChannel connection = TcpChannel.accepted(this, accepted);
        connection.mayHaveWaited(blocked ? clock.getAsLong() - blockedSince : 0);
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
        }, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Takes what the system has accepted, up to {@code most} connections, and closes behind the last of it. */
    void closeBehindTheLast(int most) {
        closeBehindTheLast(most, LAST_TRIES);
    }

    private void closeBehindTheLast(int most, int tries) {
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
            eventLoop().schedule(() -> closeBehindTheLast(left, tries - 1), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            close();
        }
    }
}
