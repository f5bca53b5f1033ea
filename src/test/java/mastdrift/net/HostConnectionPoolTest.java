package mastdrift.net;

import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.hostEntry;
import static mastdrift.net.Loopback.hostList;
import static mastdrift.net.Loopback.hostResponding;
import static mastdrift.net.Loopback.response;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import mastdrift.Balancer.Outcome;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the pool of connections to hosts, on a clock that the test sets. */
class HostConnectionPoolTest {

    private static final long CONNECT_TIMEOUT_MICROS = 20_000_000;
    private static final long IDLE_TIMEOUT_MICROS = 5_000_000;
    private static final long DRAIN_GRACE_MICROS = 250_000;
    private static final long ATTEMPT_TIMEOUT_MICROS = 60_000_000;
    private static final long SHORT_TIMEOUT_MICROS = 400_000;
    private static final long MAX_HOLD_MICROS = 1_000_000;
    private static final int MAX_TRICKLED_PIECES = 500;

    private final EventLoop loop = Main.newEventLoop();
    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final BlockingQueue<BodyRelay> started = new LinkedBlockingQueue<>();  // streamed responses
    private boolean clientReads = true;  // whether clients take what is passed on of a streamed response
    private Server host1;
    private Server host2;

    @BeforeEach
    void open() throws Exception {
        host1 = hostResponding("1");
        host2 = hostResponding("2");
    }

    @AfterEach
    void close() throws Exception {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        host1.close();
        host2.close();
    }

    private <T> T callOnLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private HostConnectionPool newPool(int maxConnections) throws Exception {
        return callOnLoop(() -> {
            GatewayMetrics metrics = new GatewayMetrics(List.of());
            EventLog log = new EventLog(clock::get, line -> { });
            HostConnectionPool pool = new HostConnectionPool(loop, clock::get,
                    new LoopMonitor(clock::get, () -> null, metrics, log), CONNECT_TIMEOUT_MICROS, IDLE_TIMEOUT_MICROS,
                    DRAIN_GRACE_MICROS, maxConnections, new MemoryPool(1 << 20), metrics, log);
            update(pool, hostList(1, true, hostEntry("s1", host1.address(), "a", "in_service"),
                    hostEntry("s2", host2.address(), "a", "in_service")));
            return pool;
        });
    }

    private static void update(HostConnectionPool pool, String json) throws Exception {
        pool.update(HostList.parse(JSON.std.anyFrom(json)));
    }

    private HostConnectionPool.Attempt send(HostConnectionPool pool, String hostId) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
        return pool.send(hostId, request, ATTEMPT_TIMEOUT_MICROS, (outcome, response) -> outcomes.add(outcome));
    }

    private Outcome outcomeOfRequest(HostConnectionPool pool, String hostId) throws Exception {
        callOnLoop(() -> send(pool, hostId));
        return await(outcomes);
    }

    @Test
    void connectionIsReused() throws Exception {
        HostConnectionPool pool = newPool(10);
        assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
        assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
        assertEquals(1, host1.acceptedConnections.size());
    }

    /** Guards against a gateway and its successor that together hold more connections than one may. */
    @Test
    void retiredPoolClosesIdleConnectionsSoon() throws Exception {
        HostConnectionPool pool = newPool(10);
        assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
        callOnLoop(() -> {
            pool.retire();
            return null;
        });
        clock.addAndGet(IDLE_TIMEOUT_MICROS / 10);
        assertNotNull(await(host1.closedConnections));
        assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
    }

    /** Guards against a request on an idle connection that the host is about to close, which ends with a reset. */
    @Test
    void expiredIdleConnectionIsNotReused() throws Exception {
        HostConnectionPool pool = newPool(10);
        assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
        clock.addAndGet(IDLE_TIMEOUT_MICROS * 9 / 10);
        assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
        assertEquals(2, host1.acceptedConnections.size());
        assertNotNull(await(host1.closedConnections));
    }

    @Test
    void closeIdleClosesIdleConnections() throws Exception {
        HostConnectionPool pool = newPool(10);
        outcomeOfRequest(pool, "s1");
        callOnLoop(() -> {
            pool.closeIdle("s1");
            return null;
        });
        assertNotNull(await(host1.closedConnections));
    }

    /** Guards against a request that is sent after the drain grace since it waited for its connection meanwhile. */
    @Test
    void attemptWaitingForAConnectionIsNotSentAfterTheDrainGrace() throws Exception {
        HostConnectionPool pool = newPool(10);
        callOnLoop(() -> {
            send(pool, "s1");
            update(pool, hostList(2, false, hostEntry("s1", host1.address(), "a", "terminating")));
            clock.addAndGet(DRAIN_GRACE_MICROS);
            return null;
        });
        assertEquals(Outcome.UNUSED, await(outcomes));
        assertTrue(host1.received.isEmpty());
    }

    @Test
    void removedHostGetsNoRequests() throws Exception {
        HostConnectionPool pool = newPool(10);
        outcomeOfRequest(pool, "s1");
        callOnLoop(() -> {
            update(pool, hostList(2, true, hostEntry("s2", host2.address(), "a", "in_service")));
            return null;
        });
        assertEquals(Outcome.UNUSED, outcomeOfRequest(pool, "s1"));
        assertNotNull(await(host1.closedConnections));
        assertEquals(1, host1.received.size());
    }

    /** Guards against exceeding the bound of connections: idle ones are closed to make room, those in use are kept. */
    @Test
    void oldestIdleConnectionIsClosedAtTheBound() throws Exception {
        HostConnectionPool pool = newPool(1);
        assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
        callOnLoop(() -> {
            send(pool, "s2");
            send(pool, "s1");
            return null;
        });
        assertEquals(Outcome.DIAL_FAILED, await(outcomes));
        assertEquals(Outcome.DELIVERED, await(outcomes));
        assertNotNull(await(host1.closedConnections));
    }

    @Test
    void cancelledAttemptEndsOnceAndIsNotSent() throws Exception {
        HostConnectionPool pool = newPool(10);
        callOnLoop(() -> {
            HostConnectionPool.Attempt attempt = send(pool, "s1");
            attempt.cancel();
            attempt.cancel();
            return null;
        });
        assertEquals(Outcome.REVOKED, await(outcomes));
        assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s2"));
        assertTrue(host1.received.isEmpty() && outcomes.isEmpty());
    }

    private HostConnectionPool poolWithHost(Server host) throws Exception {
        HostConnectionPool pool = newPool(10);
        callOnLoop(() -> {
            update(pool, hostList(2, false, hostEntry("s1", host.address(), "a", "in_service")));
            return null;
        });
        return pool;
    }

    /** Guards against data behind a response that is taken for the response to the next request: it ends the
        connection. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK~Content-Length: 1~~1", "noise", "HTTP/1.1 200 OK~Content-Length: 9~~"})
    void connectionWithDataBehindTheResponseIsNotReused(String extraData) throws Exception {
        try (Server host = new Server(m -> write(m.socket(), response("200 OK", "1")
                + extraData.replace("~", "\r\n")))) {
            HostConnectionPool pool = poolWithHost(host);
            assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
            assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
            assertEquals(2, host.acceptedConnections.size());
        }
    }

    /** Guards against the same where the data arrives later, while the connection is idle. */
    @Test
    void dataOnAnIdleConnectionClosesIt() throws Exception {
        try (Server host = hostResponding("1")) {
            HostConnectionPool pool = poolWithHost(host);
            assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
            write(await(host.received).socket(), "H");
            assertNotNull(await(host.closedConnections));
            assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
        }
    }

    /** Guards against a second response that arrives some milliseconds later and is taken for the response to the next
        request: connections to a host that has sent unexpected data are reused only after a delay. */
    @Test
    void reuseIsDelayedAfterUnexpectedData() throws Exception {
        try (Server host = hostResponding("1")) {
            HostConnectionPool pool = poolWithHost(host);
            assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
            assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
            assertEquals(1, host.acceptedConnections.size());
            write(await(host.received).socket(), response("200 OK", "2"));
            assertNotNull(await(host.closedConnections));
            assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
            assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
            assertEquals(3, host.acceptedConnections.size());
            clock.addAndGet(50_000);
            assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
            assertEquals(3, host.acceptedConnections.size());
        }
    }

    /** Guards against a request that waits until its deadline for the end of an invalid response, and against one that
        is served with a response that may be incomplete. Each may have run on the host, and the connection can't be
        reused. */
    @ParameterizedTest
    @ValueSource(strings = {"noise~~", "HTTP/1.1 2x0 OK~Content-Length: 1~~1", "ICY 200 OK~Content-Length: 1~~1",
        "HTTP/1.1 200 OK~no colon here~Content-Length: 1~~1", "HTTP/1.1 200 OK~Content-Length: 9~~part",
        "HTTP/1.1 200 OK~~1", "HTTP/1.1 200 OK~Content-Le", "HTTP/1.1 200 OK~Content-Length: 3000000000~~1",
        "HTTP/1.1 200 OK~Content-Length: 1~Content-Length: 2~~12", "HTTP/1.1 200 OK~Content-Length: -1~~1",
        "HTTP/1.1 200 OK~Content-Length: 1~Transfer-Encoding: chunked~~1~1~0~~",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~1~zz~1~0~~",
        "HTTP/1.1 101 Switching Protocols~Upgrade: other~Connection: upgrade~~HTTP/1.1 200 OK~Content-Length: 1~~1"})
    void invalidResponseIsADroppedAttempt(String invalid) throws Exception {
        try (Server host = new Server(m -> write(m.socket(), invalid.replace("~", "\r\n")))) {
            HostConnectionPool pool = poolWithHost(host);
            assertEquals(Outcome.DROPPED, outcomeOfRequest(pool, "s1"));
            assertNotNull(await(host.closedConnections));
        }
    }

    /** A host whose response the test sends piece by piece, in chunks or up to the end of the connection. */
    private static final class SlowResponse {

        // Over the time for which a gateway once waited for the next piece.
        private static final int PAUSE_MILLIS = 400;
        private final Socket socket;
        private final boolean chunked;
        private final long deadline;  // of its request, on the gateway's clock

        SlowResponse(Message request, String framing, long deadline) throws Exception {
            this.deadline = deadline;
            socket = request.socket();
            chunked = framing.contains("chunked");
            write(socket, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
        }

        void sendPiece(int length) throws Exception {
            String piece = "x".repeat(length);
            write(socket, chunked ? Integer.toHexString(length) + "\r\n" + piece + "\r\n" : piece);
        }

        void pause() throws Exception {
            Thread.sleep(PAUSE_MILLIS);
        }

        void end() throws Exception {
            if (chunked) {
                write(socket, "0\r\n\r\n");
            } else {
                socket.close();
            }
        }
    }

    /** Sends a request whose response the test sends; it waits for a response that has stalled. */
    private SlowResponse sendSlowRequest(HostConnectionPool pool, Server host, String framing, long timeout)
            throws Exception {
        long deadline = clock.get() + timeout;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
        callOnLoop(() -> pool.send("s1", request, timeout, new HostConnectionPool.AttemptListener() {
            @Override
            public boolean onResponseStalled() {
                return true;
            }

            @Override
            public void onResponseStart(FullHttpResponse response, BodyRelay bodyRelay) {
                if (clientReads) {
                    bodyRelay.abandon();
                }
                started.add(bodyRelay);
            }

            @Override
            public void onEnd(Outcome outcome, FullHttpResponse response) {
                outcomes.add(outcome);
            }
        }));
        return new SlowResponse(await(host.received), framing, deadline);
    }

    /** The same with a response that is being streamed. */
    private SlowResponse startSlowResponse(HostConnectionPool pool, Server host, String framing) throws Exception {
        SlowResponse response = sendSlowRequest(pool, host, framing, ATTEMPT_TIMEOUT_MICROS);
        while (started.isEmpty()) {
            response.sendPiece(1);
            clock.addAndGet(10_000);
            Thread.sleep(1);
        }
        return response;
    }

    /** Guards against cutting off a long response of unknown length whose host pauses past the request's deadline and
        before 64 KiB of it have come, when the gateway waited 0.25 s for each piece. */
    @ParameterizedTest
    @ValueSource(strings = {"Transfer-Encoding: chunked", "Connection: close"})
    void longResponseOfUnknownLengthMayPausePastItsDeadline(String framing) throws Exception {
        try (Server host = new Server(message -> { })) {
            SlowResponse response = startSlowResponse(poolWithHost(host), host, framing);
            clock.set(response.deadline + 100_000);
            response.sendPiece(50_000);
            response.pause();
            response.sendPiece(50_000);
            response.pause();
            response.end();
            assertEquals(Outcome.DELIVERED, await(outcomes));
        }
    }

    /** Guards against a response of unknown length that goes on for ever, a few bytes at a time. */
    @Test
    void responseThatTricklesInEndsAfterItsDeadline() throws Exception {
        try (Server host = new Server(message -> { })) {
            SlowResponse response = startSlowResponse(poolWithHost(host), host, "Transfer-Encoding: chunked");
            clock.set(response.deadline + 500_000);
            for (int i = 0; i < MAX_TRICKLED_PIECES && outcomes.isEmpty(); i++) {
                response.sendPiece(1);
                Thread.sleep(10);
            }
            assertEquals(Outcome.DROPPED, outcomes.poll());
        }
    }

    /** Guards against a long response of unknown length that fails at its request's deadline, though its first bytes
        came in time: they were held back, in case the rest would come at once. */
    @Test
    void startOfAResponseIsPassedOnAtItsDeadline() throws Exception {
        try (Server host = new Server(message -> { })) {
            SlowResponse response = sendSlowRequest(poolWithHost(host), host, "Transfer-Encoding: chunked",
                    SHORT_TIMEOUT_MICROS);
            response.sendPiece(1);
            assertNotNull(await(started));
            response.sendPiece(100_000);
            response.end();
            assertEquals(Outcome.DELIVERED, await(outcomes));
        }
    }

    /** Guards against the start of a long response that is held back until its host goes on after a long pause. */
    @Test
    void startOfAResponseIsPassedOnDuringALongPause() throws Exception {
        try (Server host = new Server(message -> { })) {
            SlowResponse response = sendSlowRequest(poolWithHost(host), host, "Transfer-Encoding: chunked",
                    ATTEMPT_TIMEOUT_MICROS);
            response.sendPiece(1);
            while (started.isEmpty() && clock.get() < response.deadline) {
                response.pause();
                clock.addAndGet(MAX_HOLD_MICROS);
            }
            assertEquals(1, started.size());
            response.end();
            assertEquals(Outcome.DELIVERED, await(outcomes));
        }
    }

    /** Guards against a request that waits for the client of an earlier one: its connection was reused while reading was
        paused, since that client had not taken the end of its response. */
    @Test
    void connectionIsReadAgainAfterAResponseThatItsClientDoesNotTake() throws Exception {
        clientReads = false;
        try (Server host = new Server(message -> { })) {
            HostConnectionPool pool = poolWithHost(host);
            SlowResponse response = startSlowResponse(pool, host, "Transfer-Encoding: chunked");
            response.sendPiece(20_000);
            response.pause();
            String lastPiece = "x".repeat(14_000);  // fills the relay
            write(response.socket, Integer.toHexString(lastPiece.length()) + "\r\n" + lastPiece
                    + "\r\n0\r\n\r\n");
            assertEquals(Outcome.DELIVERED, await(outcomes));
            assertTrue(callOnLoop(started.remove()::isFull));
            callOnLoop(() -> send(pool, "s1"));
            write(await(host.received).socket(), response("200 OK", "1"));
            assertEquals(Outcome.DELIVERED, await(outcomes));
            assertEquals(1, host.acceptedConnections.size());
        }
    }

    @Test
    void endlessInterimResponsesAreADroppedAttempt() throws Exception {
        try (Server host = new Server(m -> {
            while (true) {
                write(m.socket(), "HTTP/1.1 102 Processing\r\n\r\n");
            }
        })) {
            assertEquals(Outcome.DROPPED, outcomeOfRequest(poolWithHost(host), "s1"));
        }
    }

    @Test
    void interimResponsesAreSkipped() throws Exception {
        try (Server host = new Server(m -> write(m.socket(), "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                + "HTTP/1.1 102 Processing\r\n\r\n" + response("200 OK", "1")))) {
            HostConnectionPool pool = poolWithHost(host);
            assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
            assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
            assertEquals(1, host.acceptedConnections.size());
        }
    }

    /** Guards against a request that is sent to the old address of a host that has moved, which may be another host's
        now. */
    @Test
    void connectionToAHostsOldAddressIsNotReused() throws Exception {
        try (Server oldHost = new Server(message -> { })) {
            HostConnectionPool pool = poolWithHost(oldHost);
            callOnLoop(() -> send(pool, "s1"));
            Message openRequest = await(oldHost.received);
            callOnLoop(() -> {
                update(pool, hostList(3, false, hostEntry("s1", host1.address(), "a", "in_service")));
                return null;
            });
            write(openRequest.socket(), response("200 OK", "1"));
            assertEquals(Outcome.DELIVERED, await(outcomes));
            assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s1"));
            assertEquals(1, host1.received.size());
        }
    }

    /** Guards against failed connection attempts that use up the bound of connections. */
    @Test
    void failedConnectDoesNotCountAgainstTheBound() throws Exception {
        HostConnectionPool pool = newPool(1);
        host1.close();
        assertEquals(Outcome.DIAL_FAILED, outcomeOfRequest(pool, "s1"));
        assertEquals(Outcome.DELIVERED, outcomeOfRequest(pool, "s2"));
    }
}
