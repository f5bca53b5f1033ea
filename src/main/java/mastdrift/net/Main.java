package mastdrift.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.FileDescriptor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.FileSystemException;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import mastdrift.HeadroomBalancer;

/** The gateway process: creates and connects its parts, reloads its configuration at SIGHUP, and shuts down gracefully
    at SIGTERM. */
public final class Main {

    // Descriptors for the program's own files (some 20), discovery, and connections that are being opened or closed.
    private static final int RESERVED_DESCRIPTORS = 48;
    // Requests are answered long before; bodies that are being streamed may take longer and are finished while they
    // make progress.
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 30;
    // An agent on this machine answers at once; a longer wait for one that does not would be in vain.
    private static final long FIRST_LIST_TIMEOUT_MILLIS = 300;
    // For five seconds: the address may be in use by a process that is about to end, or the system may lack a socket.
    private static final int LISTEN_TRIES = 50;
    private static final long RETRY_MILLIS = 100;
    private static final int CONFIG_READ_TRIES = 20;
    private static final int REQUEST_ID_TRIES = 10;
    // At its end the process waits this long for a log output that takes no lines; the platform's SIGKILL comes later.
    private static final long LOG_FLUSH_TIMEOUT_MILLIS = 100;
    // Names the folder that is the same for a process and its successor.
    private static final String SHARED_FOLDER_VARIABLE = "TMPDIR";
    private static final String REHEARSE_ARGUMENT = "rehearse";

    /** Netty's logger, created on first use: creating it takes longer than a signal may stay without a handler. */
    private static final class LibraryLog {
        // A strong reference, since a logger that is garbage-collected loses its level.
        private static final Logger LOGGER = Logger.getLogger("io.netty");
    }

    private Main() { }

    /** Runs until SIGTERM. With the argument {@code rehearse}, runs the rehearsal only, from which the build learns
        which classes are loaded at a start. Exits with status 2 if the configuration is invalid. */
    public static void main(String[] args) {
        // First of all, since without a handler the signal would end the process. A signal during the start is handled
        // after it.
        CompletableFuture<ConfigReloader> reloader = new CompletableFuture<>();
        onHangupSignal(() -> reloader.thenAccept(ConfigReloader::signalReceived));
        // Netty logs a failed accept. Without free descriptors the logger can't open its own files, and the resulting
        // error would end the loop's thread and with it the gateway.
        LibraryLog.LOGGER.setLevel(Level.OFF);
        // A connection whose socket options can't be set is still usable, and its client's request needs a response.
        System.setProperty("io.netty.bootstrap.closeOnSetOptionFailure", "false");
        EventLoop loop = newEventLoop();
        Lifecycle lifecycle = new Lifecycle();
        try {
            Config config = readConfig();
            ServerSocketChannel inheritedSocket = config.socketInherited() ? inheritedSocket() : null;
            GatewayMetrics metrics = config.newMetrics();
            InetSocketAddress adminAddress = config.adminAddress() == null ? null
                    : AdminServer.start(config.adminAddress(), newEventLoop(), lifecycle, metrics).address();
            boolean rehearseOnly = List.of(args).contains(REHEARSE_ARGUMENT);
            LogWriter log = LogWriter.startOn(FileDescriptor.out, () -> metrics.increment(GatewayMetrics.Counter.LOG_LINES_DROPPED));
            ClassPreloader.load();
            WarmUp.run(config, adminAddress, rehearseOnly, newEventLoop(), log);
            if (rehearseOnly) {
                log.flush(LOG_FLUSH_TIMEOUT_MILLIS);
                System.exit(0);  // a halt would not write the archive of classes
            }
            if (adminAddress != null) {
                log.accept("operators may call " + adminAddress);
            }
            DownstreamServer server = createServer(config, loop, System::nanoTime, lifecycle, metrics, log);
            reloader.complete(createReloader(server.gateway(), loop));
            // Before the first request can arrive: from then on an end without this would lose accepted requests.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(loop, server, log)));
            awaitFirstList(server.gateway(), FIRST_LIST_TIMEOUT_MILLIS);
            listen(server, config, inheritedSocket, loop, lifecycle, log);
        } catch (IllegalArgumentException | CompletionException e) {
            Throwable cause = e instanceof CompletionException ? e.getCause() : e;
            LogWriter errors = LogWriter.startOn(FileDescriptor.err, () -> { });
            errors.accept("can't start: " + cause.getMessage());
            halt(errors, 2);  // no requests to finish
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Halts the process with that status once the log is written, or its output has taken nothing for a moment. */
    private static void halt(LogWriter log, int status) {
        try {
            log.flush(LOG_FLUSH_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(status);
    }

    /** Reads the configuration, again if the file can't be opened for a moment. Throws IllegalArgumentException if it
        is invalid. */
    private static Config readConfig() {
        for (int tries = 1; true; tries++) {
            try {
                return Config.read(System.getenv());
            } catch (IllegalArgumentException e) {
                boolean unreadable = e.getCause() instanceof FileSystemException
                        && !(e.getCause() instanceof NoSuchFileException);
                if (!unreadable || tries == CONFIG_READ_TRIES) {
                    throw e;
                }
                sleepBeforeRetry();
            }
        }
    }

    /** Handles SIGHUP. The JDK has no supported interface for that, and javac's warning about this one can't be turned
        off. */
    private static void onHangupSignal(Runnable handler) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> handler.run());
    }

    /** Reloads the address of discovery from the configuration; one that can't be read changes nothing. */
    private static ConfigReloader createReloader(Gateway gateway, EventLoop loop) {
        return new ConfigReloader(() -> Config.discoveryAddress(System.getenv()), discovery -> {
            gateway.metrics().increment(GatewayMetrics.Counter.RELOADS_OK);
            executeOn(loop, () -> gateway.setDiscoveryAddress(discovery), gateway::log);
        }, cause -> {
            gateway.metrics().increment(GatewayMetrics.Counter.RELOADS_FAILED);
            gateway.log("configuration not taken: " + cause);
        });
    }

    /** Runs a task on the event loop. If the system fails to wake the loop up, the task is in the loop's queue all the
        same and runs at its next turn. */
    private static void executeOn(EventLoop loop, Runnable task, Consumer<String> log) {
        try {
            loop.execute(task);
        } catch (InternalError notWoken) {
            log.accept("the event loop was not woken: " + notWoken.getMessage());
        }
    }

    /** Creates an event loop with a thread of its own. */
    static EventLoop newEventLoop() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /** The maximum of client connections, which is also that of connections to hosts. */
    static int maxConnections(int sockets) {
        return Math.max(8, (Math.min(sockets, 1 << 16) - RESERVED_DESCRIPTORS) / 2);
    }

    /** The maximum of open requests. An eighth of the client connections is left to refuse further requests on. */
    static int maxOpenRequests(int maxConnections) {
        return maxConnections - maxConnections / 8;
    }

    /** The listening socket that the process inherited as descriptor 0; throws IllegalArgumentException if there is
        none. */
    private static ServerSocketChannel inheritedSocket() {
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel inherited) {
                return inherited;
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("the passed socket can't be used: " + e.getMessage(), e);
        }
        throw new IllegalArgumentException("descriptor 0 is no listening socket, though NODE_PASSED_SOCKET is set");
    }

    /** Creates a gateway and its server, which does not listen yet, on the loop. {@code nanoTime} counts from an
        arbitrary origin. Throws IllegalArgumentException for invalid settings. */
    static DownstreamServer createServer(Config config, EventLoop loop, LongSupplier nanoTime, Lifecycle lifecycle,
            GatewayMetrics metrics, Consumer<String> logOutput) {
        int maxConnections = maxConnections(config.maxSockets());
        RequestIds requestIds = requestIds(config, () -> nanoTime.getAsLong() / 1000, logOutput);
        return CompletableFuture.supplyAsync(() -> {
            Gateway gateway = new Gateway(config, loop, nanoTime, new HeadroomBalancer(), metrics, maxConnections,
                    maxOpenRequests(maxConnections), logOutput);
            if (config.adminAddress() != null) {
                gateway.startGaugeUpdates();
            }
            return new DownstreamServer(loop, gateway, config.settings(), maxConnections, lifecycle, requestIds);
        }, loop).join();
    }

    /** The ids of requests, which a process shares with its successor where it may have one: both are one gateway. */
    private static RequestIds requestIds(Config config, LongSupplier steadyMicros, Consumer<String> logOutput) {
        String folder = System.getenv(SHARED_FOLDER_VARIABLE);
        return config.socketInherited() && folder != null ? sharedRequestIds(folder, steadyMicros, logOutput)
                : RequestIds.ofThisProcess(steadyMicros);
    }

    /** The ids in a file of that folder, which is opened again if that fails for a moment; those of this process alone
        if it can't be used. */
    static RequestIds sharedRequestIds(String folder, LongSupplier steadyMicros, Consumer<String> logOutput) {
        for (int tries = 1; true; tries++) {
            try {
                return RequestIds.shared(Path.of(folder), steadyMicros);
            } catch (IOException | InvalidPathException e) {
                logOutput.accept("request ids are not shared with another process: " + e);
                if (tries == REQUEST_ID_TRIES || e instanceof InvalidPathException) {
                    return RequestIds.ofThisProcess(steadyMicros);
                }
                sleepBeforeRetry();
            }
        }
    }

    /** Waits for the first list from discovery, but no longer than the timeout, since discovery may be down. */
    static void awaitFirstList(Gateway gateway, long timeoutMillis) {
        gateway.firstListReceived().completeOnTimeout(null, timeoutMillis, TimeUnit.MILLISECONDS).join();
    }

    /** Starts to accept clients, on the inherited socket if there is one. Throws IllegalArgumentException if that
        fails. */
    static void listen(DownstreamServer server, Config config, ServerSocketChannel inheritedSocket, EventLoop loop,
            Lifecycle lifecycle, Consumer<String> logOutput) {
        ChannelFuture listening = startListening(server, config, inheritedSocket);
        for (int tries = 1; !listening.isSuccess() && tries < LISTEN_TRIES; tries++) {
            logOutput.accept("not listening yet on " + config.listenAddress() + ": " + listening.cause().getMessage());
            sleepBeforeRetry();
            listening = startListening(server, config, inheritedSocket);
        }
        if (!listening.isSuccess()) {
            throw new IllegalArgumentException("no listening on " + config.listenAddress() + ": "
                    + listening.cause().getMessage(), listening.cause());
        }
        logOutput.accept("listening on " + server.address());
        lifecycle.markStarted(() -> loop.execute(server::lifecycleStateChanged));
    }

    private static ChannelFuture startListening(DownstreamServer server, Config config,
            ServerSocketChannel inheritedSocket) {
        return (inheritedSocket == null ? server.listen(config.listenAddress()) : server.listenOnInherited(inheritedSocket))
                .awaitUninterruptibly();
    }

    private static void sleepBeforeRetry() {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Shuts down gracefully and exits with status 0: by itself, the virtual machine would exit with the signal's
        status. */
    private static void stop(EventLoop loop, DownstreamServer server, LogWriter log) {
        log.accept("stopping");
        CountDownLatch answered = new CountDownLatch(1);
        executeOn(loop, () -> server.stop(answered::countDown), log);
        try {
            boolean allAnswered = answered.await(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            log.accept(allAnswered ? "stopped" : "stopped with requests unanswered");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        halt(log, 0);
    }
}
