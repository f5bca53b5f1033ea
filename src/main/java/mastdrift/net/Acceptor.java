package mastdrift.net;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;

/** Calls accept on a thread of its own. The JDK makes the call again without end where the system says that a connection was
    aborted, so that it may not return for as long as the system goes on saying so; the event loop waits for it only for a
    moment. Used on the loop's thread. */
final class Acceptor {

    private static final long PATIENCE_MILLIS = 20;

    private final BiConsumer<SocketChannel, Throwable> late;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(call -> {
        Thread made = new Thread(call, "acceptor");
        made.setDaemon(true);
        return made;
    });
    private boolean stuck;

    /** {@code late} hears, on the thread that accepts, what became of a call that had not returned in time: a connection, a
        failure, or neither where there was none. */
    Acceptor(BiConsumer<SocketChannel, Throwable> late) {
        this.late = late;
    }

    /** Whether a call has not returned; until its end has been heard no other is made. */
    boolean stuck() {
        return stuck;
    }

    /** The next connection; null where there is none, or where the call has not returned yet. */
    SocketChannel accept(ServerSocketChannel socket) throws IOException {
        if (stuck) {
            return null;
        }
        CompletableFuture<SocketChannel> call = CompletableFuture.supplyAsync(() -> call(socket), thread);
        try {
            return call.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException notYet) {
            stuck = true;
            call.whenComplete(late);
            return null;
        } catch (ExecutionException failed) {
            throw cause(failed);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    /** The end of the call that was stuck has been heard. */
    void heard() {
        stuck = false;
    }

    private static SocketChannel call(ServerSocketChannel socket) {
        try {
            return socket.accept();
        } catch (IOException failure) {
            throw new CompletionException(failure);
        }
    }

    /** What the call itself failed with. */
    static IOException cause(Throwable failed) {
        Throwable cause = failed.getCause();
        return cause instanceof IOException failure ? failure : new IOException(cause);
    }

    /** Ends the thread, once a call that it is in has returned. */
    void close() {
        thread.shutdown();
    }
}
