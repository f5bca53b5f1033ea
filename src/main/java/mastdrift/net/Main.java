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
import java.nio.file.NoSuchFileException;
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

/** One real gateway: wires its parts, reads its configuration again at SIGHUP, and ends them at SIGTERM. */
public final class Main {

    // Of the descriptors: for the program's own files (some 20), discovery, and connections that come and go.
    private static final int RESERVED_DESCRIPTORS = 48;
    // Requests are answered long before; what is being passed on in pieces may last, and is owed its rest while it comes.
    private static final int STOP_SECONDS = 30;
    // An agent on this machine answers at once; while it is silent there is nothing to hear.
    private static final long FIRST_LIST_MILLIS = 300;
    // The address may be held by a process that is about to end, and the system may lack a socket for a moment: five seconds.
    private static final int LISTEN_TRIES = 50;
    private static final long LISTEN_RETRY_MILLIS = 100;
    private static final int READ_TRIES = 20;
    // The end of the process waits so long for an output that takes no lines; it comes before the platform's SIGKILL.
    private static final long LOG_FLUSH_MILLIS = 100;
    private static final String REHEARSE = "rehearse";

    /** The library's log, made when it is first asked for: that takes longer than a signal may be left unheard. */
    private static final class LibraryLog {
        // Kept, since a logger that nobody holds forgets its level.
        private static final Logger LOGGER = Logger.getLogger("io.netty");
    }

    private Main() { }

    /** Runs until SIGTERM, or with {@code rehearse} until the rehearsal's end, by which the build learns what classes a
        start loads; exits with status 2 where the configuration can't be run with. */
    public static void main(String[] args) {
        // First of all, or the signal would end the program. One that comes during the start is heard after it.
        CompletableFuture<ConfigReloader> reloader = new CompletableFuture<>();
        onHangUp(() -> reloader.thenAccept(ConfigReloader::signalReceived));
        // The library logs a failed accept; out of descriptors the log's own files can't be opened, and the error that
        // comes of it would end the loop's thread and with it the gateway.
        LibraryLog.LOGGER.setLevel(Level.OFF);
        // A connection whose options can't be set is as good as another, and its client's request is owed an answer.
        System.setProperty("io.netty.bootstrap.closeOnSetOptionFailure", "false");
        EventLoop loop = loop();
        Lifecycle life = new Lifecycle();
        try {
            Config config = config();
            ServerSocketChannel passed = config.socketInherited() ? passed() : null;
            GatewayMetrics tally = config.newMetrics();
            InetSocketAddress admin = config.adminAddress() == null ? null
                    : AdminServer.start(config.adminAddress(), loop(), life, tally).address();
            boolean build = List.of(args).contains(REHEARSE);
            LogWriter log = LogWriter.startOn(FileDescriptor.out, () -> tally.increment(GatewayMetrics.Counter.LOG_LINES_DROPPED));
            ClassPreloader.load();
            WarmUp.run(config, admin, build, loop(), log);
            if (build) {
                log.flush(LOG_FLUSH_MILLIS);
                System.exit(0);  // a halt would leave no archive
            }
            if (admin != null) {
                log.accept("operators may call " + admin);
            }
            ClientSide clients = prepare(config, loop, System::nanoTime, life, tally, log);
            reloader.complete(reloader(clients.gateway(), loop));
            // Before the first request can come: from then on an end without this would lose what was taken.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(loop, clients, log)));
            awaitFirstList(clients.gateway(), FIRST_LIST_MILLIS);
            listen(clients, config, passed, loop, life, log);
        } catch (IllegalArgumentException | CompletionException e) {
            Throwable cause = e instanceof CompletionException ? e.getCause() : e;
            LogWriter errors = LogWriter.startOn(FileDescriptor.err, () -> { });
            errors.accept("can't start: " + cause.getMessage());
            end(errors, 2);  // there is nothing to finish
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the process with that status, once the log is written or its output has taken nothing for a moment. */
    private static void end(LogWriter log, int status) {
        try {
            log.flush(LOG_FLUSH_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(status);
    }

    /** As the file has it; one that can't be opened for a moment is tried again. Throws IllegalArgumentException. */
    private static Config config() {
        for (int tries = 1; true; tries++) {
            try {
                return Config.read(System.getenv());
            } catch (IllegalArgumentException e) {
                boolean unread = e.getCause() instanceof FileSystemException && !(e.getCause() instanceof NoSuchFileException);
                if (!unread || tries == READ_TRIES) {
                    throw e;
                }
                rest();
            }
        }
    }

    /** The only way to hear a signal that is not the end of the program; javac warns of the package, whatever is asked. */
    private static void onHangUp(Runnable then) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> then.run());
    }

    /** Takes from the configuration where discovery is; one that can't be read changes nothing. */
    private static ConfigReloader reloader(Gateway gateway, EventLoop loop) {
        return new ConfigReloader(() -> Config.discoveryAddress(System.getenv()), discovery -> {
            gateway.tally().increment(GatewayMetrics.Counter.RELOADS_OK);
            handOver(loop, () -> gateway.discoverAt(discovery), gateway::log);
        }, cause -> {
            gateway.tally().increment(GatewayMetrics.Counter.RELOADS_FAILED);
            gateway.log("configuration not taken: " + cause);
        });
    }

    /** Has the loop do it. Where the system fails to wake the loop up, the task is in its queue all the same, and is done as
        soon as the loop turns by itself. */
    private static void handOver(EventLoop loop, Runnable task, Consumer<String> log) {
        try {
            loop.execute(task);
        } catch (InternalError notWoken) {
            log.accept("the event loop was not woken: " + notWoken.getMessage());
        }
    }

    static EventLoop loop() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /** The connections that clients may hold, and as many to hosts. */
    static int connectionsMost(int sockets) {
        return Math.max(8, (Math.min(sockets, 1 << 16) - RESERVED_DESCRIPTORS) / 2);
    }

    /** Of clients' connections an eighth is for answering those that come beyond the requests held. */
    static int openMost(int connectionsMost) {
        return connectionsMost - connectionsMost / 8;
    }

    /** The listening socket that the platform has passed on; throws IllegalArgumentException where there is none. */
    private static ServerSocketChannel passed() {
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel passed) {
                return passed;
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("the passed socket can't be used: " + e.getMessage(), e);
        }
        throw new IllegalArgumentException("descriptor 0 is no listening socket, though NODE_PASSED_SOCKET is set");
    }

    /** Starts a gateway on the loop that nobody reaches yet; the clock runs in nanoseconds from any origin. Throws
        IllegalArgumentException for settings it can't run with. */
    static ClientSide prepare(Config config, EventLoop loop, LongSupplier nanoTime, Lifecycle life, GatewayMetrics tally,
            Consumer<String> out) {
        int most = connectionsMost(config.maxSockets());
        return CompletableFuture.supplyAsync(() -> {
            Gateway gateway = new Gateway(config, loop, nanoTime, new HeadroomBalancer(), tally, most, openMost(most), out);
            if (config.adminAddress() != null) {
                gateway.keepFigures();
            }
            return new ClientSide(loop, gateway, config.settings(), most, life);
        }, loop).join();
    }

    /** Waits for what discovery has told before this process began, but no longer: it may be away. */
    static void awaitFirstList(Gateway gateway, long millis) {
        gateway.heard().completeOnTimeout(null, millis, TimeUnit.MILLISECONDS).join();
    }

    /** Lets clients come, on the passed socket where there is one; throws IllegalArgumentException where that can't be. */
    static void listen(ClientSide clients, Config config, ServerSocketChannel passed, EventLoop loop, Lifecycle life,
            Consumer<String> out) {
        ChannelFuture listening = begin(clients, config, passed);
        for (int tries = 1; !listening.isSuccess() && tries < LISTEN_TRIES; tries++) {
            out.accept("not listening yet on " + config.listenAddress() + ": " + listening.cause().getMessage());
            rest();
            listening = begin(clients, config, passed);
        }
        if (!listening.isSuccess()) {
            throw new IllegalArgumentException("no listening on " + config.listenAddress() + ": "
                    + listening.cause().getMessage(), listening.cause());
        }
        out.accept("listening on " + clients.address());
        life.markStarted(() -> loop.execute(clients::drainOrNot));
    }

    private static ChannelFuture begin(ClientSide clients, Config config, ServerSocketChannel passed) {
        return (passed == null ? clients.listen(config.listenAddress()) : clients.accept(passed)).awaitUninterruptibly();
    }

    private static void rest() {
        try {
            TimeUnit.MILLISECONDS.sleep(LISTEN_RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The virtual machine would end with the signal's status: what was asked for has been done, so 0. */
    private static void stop(EventLoop loop, ClientSide clients, LogWriter log) {
        log.accept("stopping");
        CountDownLatch answered = new CountDownLatch(1);
        handOver(loop, () -> clients.stop(answered::countDown), log);
        try {
            boolean all = answered.await(STOP_SECONDS, TimeUnit.SECONDS);
            log.accept(all ? "stopped" : "stopped with requests unanswered");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        end(log, 0);
    }
}
