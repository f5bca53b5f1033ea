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

/** The socket that clients connect to, and the one owner of whether it accepts. A call that fails says nothing of those who
    wait in the queue: accepting goes on some milliseconds later, where the library would rest for a second. The system
    accepts connections, and what is written on them, before the program does: a close would reset those that it has not taken
    from the system by then. Used on its event loop. */
final class Listener extends NioServerSocketChannel {

    /** Between a call that failed and the next. */
    static final long RETRY_MILLIS = 5;
    // So often the queue is tried again at the end, before it is given up.
    private static final int LAST_TRIES = 100;

    private final Consumer<Exception> failures;
    private boolean wanted = true;
    private boolean resting;

    /** To be bound; {@code failures} hears of each call that failed. */
    Listener(Consumer<Exception> failures) {
        this.failures = failures;
    }

    /** One that others have bound, and may hold as well. */
    Listener(ServerSocketChannel passed, Consumer<Exception> failures) {
        super(passed);
        this.failures = failures;
    }

    /** Whether connections are to be accepted from now on. */
    void accept(boolean accepts) {
        wanted = accepts;
        apply();
    }

    private void apply() {
        config().setAutoRead(wanted && !resting);
    }

    @Override
    protected int doReadMessages(List<Object> into) throws Exception {
        try {
            return take(into);
        } catch (IOException | ChannelException failure) {
            if (!isOpen()) {
                throw failure;
            }
            failures.accept(failure);
            rest();
            return 0;
        }
    }

    /** One connection, if there is one; how many were taken. */
    private int take(List<Object> into) throws IOException {
        SocketChannel accepted = javaChannel().accept();
        if (accepted == null) {
            return 0;
        }
        into.add(TcpChannel.accepted(this, accepted));
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
