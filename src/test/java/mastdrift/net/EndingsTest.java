package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.tell;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import mastdrift.net.Loopback.LateHost;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is owed in the instant in which a process, a connection, an attempt, a list or a client ends. */
class EndingsTest {

    @TempDir
    private Path folder;

    private static String up(String uid, String address) {
        return entry(uid, address, "a", "in_service");
    }

    private Node node(Server discovery, String settings, String... entries) throws Exception {
        return new Node(environment(folder, discovery, list(1, true, entries), settings));
    }

    private static void until(BooleanSupplier holds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Loopback.WAIT_SECONDS);
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "never came about");
            Thread.sleep(5);
        }
    }

    private static void untilLogged(Node node, String text) throws InterruptedException {
        until(() -> node.log.toString(StandardCharsets.UTF_8).contains(text));
    }

    /** Every exchange has ended once, and nothing is held for it. */
    private static void assertNothingIsOwed(Node node) throws Exception {
        until(() -> {
            try {
                return node.loop.submit(() -> node.clients.gateway().owesNothing()).get();
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Guards against a second effect: the idempotency window is looked at when a further attempt is decided, and the
        connection for it may come up after the window. */
    @Test
    void aFurtherAttemptIsNotWrittenOnceItsWindowIsOver() throws Exception {
        String settings = SETTINGS.replace("\"dedup_window\":60000000", "\"dedup_window\":5000000");
        try (Server discovery = discovery(); Server first = new Server(message -> { }); LateHost late = new LateHost();
                Node node = node(discovery, settings, up("s1", first.address()))) {
            Socket client = node.connect();
            write(client, post("start", 20_000, "x"));
            Message taken = await(first.received);
            tell(await(discovery.received).socket(), list(2, false, up("s2", late.address())));
            untilLogged(node, "list 2");
            taken.socket().close();  // it may have run
            until(() -> counted(node, Tally.Count.HOST_DIALS) == 2);
            node.jump(5_000);
            assertEquals(-1, late.open().getInputStream().read());
            assertEquals(502, Loopback.read(client).status());
            assertNothingIsOwed(node);
        }
    }

    /** Guards against work for nobody: a request whose client has left while its first connection was coming up is not
        written on it, whether or not the settings let attempts be called off. */
    @ParameterizedTest
    @CsvSource({"true, false", "true, true", "false, false", "false, true"})
    void whatAClientLeftBehindIsNotSentOn(boolean cancel, boolean reset) throws Exception {
        String settings = SETTINGS.replace("\"cancel\":true", "\"cancel\":" + cancel)
                .replace("\"dial_timeout\":20000000", "\"dial_timeout\":600000000");
        try (Server discovery = discovery(); LateHost late = new LateHost();
                Node node = node(discovery, settings, up("s1", late.address()))) {
            Socket client = node.connect();
            write(client, read(60_000));
            until(() -> counted(node, Tally.Count.HOST_DIALS) == 1);
            if (reset) {
                client.setSoLinger(true, 0);
            }
            client.close();
            until(() -> counted(node, Tally.Count.DEPARTED) == 1);
            assertNothingIsOwed(node);  // the connection is not waited for either
            assertEquals(0, counted(node, Tally.Count.ATTEMPTS_WRITTEN));
        }
    }

    private static long counted(Node node, Tally.Count count) {
        return node.clients.gateway().tally().sum(count);
    }
}
