package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discoveryServer;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.hostList;
import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.response;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import mastdrift.net.Loopback.GatewayNode;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Ids of requests that come again. */
class RequestIdsTest {

    @TempDir
    private Path folder;

    private final AtomicLong clock = new AtomicLong(5_000_000_000L);

    /** Guards against a request that runs twice: its id comes again while its first run, whose client has left, may go
        on at a host. */
    @ParameterizedTest
    @ValueSource(strings = {"once", "start"})
    void idOfClientThatHasLeftDoesNotRunAgain(String type) throws Exception {
        try (Server discovery = discoveryServer(); Server host = new Server(message -> { });
                GatewayNode node = new GatewayNode(environment(folder, discovery,
                        hostList(1, true, hostEntry("s1", host.address(), "a", "in_service")), SETTINGS))) {
            Socket client = node.connect();
            write(client, post(type, 20_000, "x"));
            await(host.received);
            client.close();
            while (node.server.gateway().metrics().count(GatewayMetrics.Counter.DEPARTED) == 0) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            assertEquals(409, node.sendRequest(post(type, 20_000, "x")).status());
            assertTrue(host.received.isEmpty());
        }
    }

    /** An id is free again once its request has been answered, or where no host has received it. */
    @Test
    void idOfAnsweredRequestIsFree() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        try (Server discovery = discoveryServer(); Server host = new Server(message -> {
            runs.incrementAndGet();
            write(message.socket(), response("200 OK", "ok"));
        }); GatewayNode node = new GatewayNode(environment(folder, discovery,
                hostList(1, true, hostEntry("s1", host.address(), "a", "in_service")), SETTINGS))) {
            Message first = node.sendRequest(post("once", 20_000, "x"));
            assertEquals(200, first.status());
            assertEquals(200, node.sendRequest(post("once", 20_000, "x")).status());
            assertEquals(2, runs.get());
        }
    }

    /** Guards against an id that runs at both processes of an upgrade. */
    @Test
    void processesOfOneGatewayShareTheirIds() throws Exception {
        RequestIds predecessor = RequestIds.shared(folder, clock::get);
        RequestIds successor = RequestIds.shared(folder, clock::get);
        assertTrue(predecessor.claim("a"));
        assertFalse(successor.claim("a"));
        assertTrue(successor.claim("b"));
        assertFalse(predecessor.claim("b"));
        predecessor.release("a");
        assertTrue(successor.claim("a"));
    }

    /** Guards against an id that runs at both processes since one of them could not open the file for a moment. */
    @Test
    void idsAreSharedThoughTheFileCanNotBeOpenedAtFirst() throws Exception {
        Path file = folder.resolve("request-ids-1");
        Files.createDirectory(file);  // in place of the file
        List<String> log = new ArrayList<>();
        RequestIds late = Main.sharedRequestIds(folder.toString(), clock::get, line -> {
            log.add(line);
            file.toFile().delete();
        });
        assertTrue(RequestIds.shared(folder, clock::get).claim("a"));
        assertFalse(late.claim("a"));
        assertEquals(1, log.size());
    }

    @Test
    void retainedIdIsFreeAfterTheTimeInWhichItMayRun() {
        RequestIds ids = RequestIds.ofThisProcess(clock::get);
        assertTrue(ids.claim("a"));
        clock.addAndGet(RequestIds.RETENTION_MICROS - 1_000_000);
        ids.retain("a");
        clock.addAndGet(RequestIds.RETENTION_MICROS - 1_000_000);
        assertFalse(ids.claim("a"));
        clock.addAndGet(2_000_000);
        assertTrue(ids.claim("a"));
    }

    /** Compares the table with a set, below the number of ids that it has room for. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void takesEachIdOnce(long seed) {
        RequestIds ids = RequestIds.ofThisProcess(clock::get);
        Set<String> taken = new HashSet<>();
        Random random = new Random(seed);
        for (int i = 0; i < 20_000; i++) {
            String id = Integer.toHexString(random.nextInt(6_000));
            if (random.nextInt(3) > 0) {
                assertEquals(taken.add(id), ids.claim(id));
            } else {
                taken.remove(id);
                ids.release(id);
            }
        }
    }

    /** Guards against memory that grows under ever new ids. */
    @Test
    void forgetsTheOldestIdsWhereThereIsNoRoom() {
        RequestIds ids = RequestIds.ofThisProcess(clock::get);
        for (int i = 0; i < 500_000; i++) {
            clock.addAndGet(100);
            assertTrue(ids.claim("id" + i));
        }
        assertFalse(ids.claim("id499999"));
    }
}
