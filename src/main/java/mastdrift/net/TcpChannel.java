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

/** A TCP connection that survives system call failures which do not concern the connection itself: a read that a signal
    interrupted, and a write for which the system had no memory at that moment. */
final class TcpChannel extends NioSocketChannel {

    /** Delay before a write is repeated that failed for lack of memory. */
    static final long WRITE_RETRY_MILLIS = 2;
    // The JDK returns a code below this one for an interrupted read, which Netty would take for the end of the stream.
    private static final int END_OF_STREAM = -1;
    private static final int NOTHING_READ = 0;
    // The JDK reports ENOBUFS and ENOMEM by the system's message alone.
    private static final List<String> SHORTAGE_MESSAGES = List.of("no buffer space available",
            "cannot allocate memory");
    // System calls that set up an accepted connection may fail though the connection is sound; closing it would lose
    // its client's request.
    private static final int MAX_ADOPT_TRIES = 100;

    private long maxAcceptQueueMicros;
    private boolean readingUnprompted;
    private boolean lastReadFilled;
    private boolean inputDrained;

    /** A channel that is not connected yet. */
    TcpChannel() { }

    private TcpChannel(Channel parent, SocketChannel accepted) {
        super(parent, accepted);
    }

    /** Creates an accepted connection's channel; if that fails, closes the connection and throws ChannelException. */
    static TcpChannel adopt(Channel parent, SocketChannel connection) throws IOException {
        for (int tries = 1; true; tries++) {
            try {
                return new TcpChannel(parent, connection);
            } catch (ChannelException failure) {
                if (tries >= MAX_ADOPT_TRIES || !connection.isOpen()) {
                    connection.close();
                    throw failure;
                }
            }
        }
    }

    /** Sets the longest time that the connection may have waited in the accept queue while accepting was paused. */
    void maxAcceptQueueMicros(long micros) {
        maxAcceptQueueMicros = micros;
    }

    /** The longest time, in microseconds, that the connection may have waited in the accept queue. */
    long maxAcceptQueueMicros() {
        return maxAcceptQueueMicros;
    }

    /** Reads what has arrived, including the end of the connection, without waiting for the event loop's next turn.
        Does nothing while reading is paused. Must be called on the loop's thread. */
    void readNow() {
        if (config().isAutoRead()) {
            readOnce();
        }
    }

    /** Whether the current read comes from {@link #readNow} rather than from the selector. */
    boolean isReadingUnprompted() {
        return readingUnprompted;
    }

    /** Reads once, also while reading is paused. Must be called on the loop's thread. */
    void readOnce() {
        if (isActive()) {
            readingUnprompted = true;
            try {
                unsafe().read();
            } finally {
                readingUnprompted = false;
            }
        }
    }

    /** Whether the last read found no more input: had the peer closed the connection before, it would have been told. */
    boolean isInputDrained() {
        return inputDrained;
    }

    /** Whether more input may be waiting in the socket: the last read got as much as it asked for. */
    boolean mayHaveUnreadInput() {
        return lastReadFilled;
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        int room = into.writableBytes();
        int read = super.doReadBytes(into);
        lastReadFilled = read == room;
        inputDrained = read <= 0;
        return read < END_OF_STREAM ? NOTHING_READ : read;
    }

    /** Repeats a write that failed for lack of memory a moment later. */
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

    /** Whether the system lacked memory or buffers for a moment, which does not concern the connection itself. */
    static boolean isShortage(IOException failure) {
        String text = String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT);
        return SHORTAGE_MESSAGES.stream().anyMatch(text::contains);
    }

    /** The user event that a pipeline gets each time that a write is deferred. */
    enum WriteDeferred { INSTANCE }
}
