package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** A TCP connection that outlasts failures of system calls which say nothing of the connection itself: a read that a signal
    interrupted, and a write for which the system had no memory at that moment. */
final class TcpChannel extends NioSocketChannel {

    /** Between two tries of a write that met a shortage. */
    static final long WRITE_RETRY_MILLIS = 2;
    // The JDK tells of an interrupted read by a code of its own below that of the stream's end, which the library would take
    // for the end.
    private static final int END_OF_STREAM = -1;
    private static final int NOTHING_READ = 0;
    // The JDK hands on ENOBUFS and ENOMEM by the system's text alone.
    private static final List<String> SHORTAGES = List.of("no buffer space available", "cannot allocate memory");
    // A new connection is set up by some calls that may fail though it is sound; whoever is dropped here loses its request.
    private static final int ADOPT_TRIES = 100;

    private long mayHaveWaited;
    private boolean readAhead;

    /** One that is to be connected. */
    TcpChannel() { }

    private TcpChannel(Channel parent, SocketChannel accepted) {
        super(parent, accepted);
    }

    /** Takes over a connection that the system has accepted; throws ChannelException, and closes it, where that fails. */
    static TcpChannel accepted(Channel parent, SocketChannel connection) throws IOException {
        for (int tries = 1; true; tries++) {
            try {
                return new TcpChannel(parent, connection);
            } catch (ChannelException failure) {
                if (tries >= ADOPT_TRIES || !connection.isOpen()) {
                    connection.close();
                    throw failure;
                }
            }
        }
    }

    /** How long it may have lain in the system's queue while nothing was accepted, in microseconds. */
    void mayHaveWaited(long span) {
        mayHaveWaited = span;
    }

    long mayHaveWaited() {
        return mayHaveWaited;
    }

    /** Reads what there is by now, the end of the connection among it, ahead of the loop's next turn; on the loop. Unless
        reading has paused. */
    void readNow() {
        if (isActive() && config().isAutoRead()) {
            readAhead = true;
            try {
                unsafe().read();
            } finally {
                readAhead = false;
            }
        }
    }

    /** Whether what is being read was not told by the selector: it is {@link #readNow} that reads. */
    boolean readsAhead() {
        return readAhead;
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        int read = super.doReadBytes(into);
        return read < END_OF_STREAM ? NOTHING_READ : read;
    }

    /** What a failed write leaves in the buffer is written a moment later. */
    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
        try {
            super.doWrite(buffer);
        } catch (IOException failure) {
            if (!isShortage(failure)) {
                throw failure;
            }
            pipeline().fireUserEventTriggered(WriteDeferred.INSTANCE);
            eventLoop().schedule(() -> unsafe().flush(), WRITE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Whether the system lacked memory or buffers for a moment, which is no fault of the connection. */
    static boolean isShortage(IOException failure) {
        String text = String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT);
        return SHORTAGES.stream().anyMatch(text::contains);
    }

    /** Told to the pipeline each time that a write is put off. */
    enum WriteDeferred { INSTANCE }
}
