package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.discoveryServer;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.hostList;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import mastdrift.Balancer;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The gateway with a balancer that the test supplies. */
class GatewayTest {

    @TempDir
    private Path folder;

    private final EventLoop loop = Main.newEventLoop();
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final List<String> events = new CopyOnWriteArrayList<>();
    private Balancer.Actions actions;

    private boolean connected = true;
    private int connectionChecks;
    private final Gateway.Client client = new Gateway.Client() {
        @Override
        public void sendResponse(FullHttpResponse answer) {
            answers.add("served");
        }

        @Override
        public void startStreaming(FullHttpResponse answer, BodyRelay rest, Consumer<Boolean> passed) {
            answers.add("begun");
        }

        @Override
        public Gateway.ConnectionState checkConnection() {
            connectionChecks++;
            return connected ? Gateway.ConnectionState.CONNECTED : Gateway.ConnectionState.DISCONNECTED;
        }

        @Override
        public long connectedAsOf() {
            return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());  // as the gateway counts from its start
        }

        @Override
        public long requestSentAt() {
            throw new UnsupportedOperationException("no long body");
        }

        @Override
        public void sendRefusal(long retryAfter) {
            answers.add("refused");
        }

        @Override
        public void sendFailure(boolean late) {
            answers.add(late ? "late" : "failed");
        }
    };

    @AfterEach
    void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Submits one request, on which the balancer acts as given. */
    private void submit(long timeLeft, BiConsumer<Balancer.Actions, Long> onRequest) throws Exception {
        Balancer balancer = (Balancer) Proxy.newProxyInstance(getClass().getClassLoader(),
                new Class<?>[] {Balancer.class}, (proxy, method, arguments) -> {
                    events.add(method.getName());
                    if (method.getName().equals("start")) {
                        actions = (Balancer.Actions) arguments[2];
                    } else if (method.getName().equals("requestReceived")) {
                        onRequest.accept(actions, ((Balancer.Request) arguments[1]).id());
                        events.add("end of request");
                    }
                    return null;
                });
        try (Server discovery = discoveryServer()) {
            Config config = Config.read(environment(folder, discovery, hostList(1, true), SETTINGS));
            loop.submit(() -> {
                Gateway gateway = new Gateway(config, loop, System::nanoTime, balancer, config.newMetrics(), 8, 8,
                        new PrintStream(log, true, StandardCharsets.UTF_8)::println);
                FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
                gateway.submit(client, request, null, new RequestMemory(request, null, gateway.memory()), "read", "acme",
                        null, timeLeft, false, 0);
            }).sync();
        }
    }

    /** Guards against a gateway that hangs after an exception or a lack of memory in an event, and against a balancer
        that still counts the request, which has failed. */
    @ParameterizedTest
    @ValueSource(strings = {"module", "memory", "message"})
    void exceptionIsLoggedAndFailsItsRequest(String kind) throws Exception {
        submit(60_000_000, (balancerActions, id) -> {
            if (kind.equals("module")) {
                throw new IllegalStateException("on purpose");
            } else if (kind.equals("memory")) {
                throw new OutOfMemoryError("on purpose");
            }
            balancerActions.send(id + 1, "unheard", 1);
        });
        assertEquals("failed", Loopback.await(answers));
        assertEquals(List.of("start", "hostListReceived", "requestReceived", "clientLeft"), awaitEvents(4));
        assertTrue(log.toString(StandardCharsets.UTF_8).contains("fault"));
    }

    /** Guards against a request without a response: the gateway fails it at its deadline and tells the balancer. */
    @Test
    void failsRequestThatTheBalancerNeverAnswers() throws Exception {
        submit(50_000, (balancerActions, id) -> { });
        assertEquals("late", Loopback.await(answers));
        assertEquals(List.of("start", "hostListReceived", "requestReceived", "end of request", "clientLeft"),
                awaitEvents(5));
    }

    @Test
    void ignoresActionsAfterTheFinalResponse() throws Exception {
        submit(60_000_000, (balancerActions, id) -> {
            balancerActions.send(id, "unknown", 1_000_000);
            balancerActions.refuse(id, 0);
            balancerActions.fail(id);
            balancerActions.send(id, "unknown", 1_000_000);
        });
        assertEquals("refused", Loopback.await(answers));
        awaitEvents(6);
        assertNull(answers.peek());
    }

    /** Guards against nested events: an outcome that is known at once is reported after the current event, one per
        send. */
    @Test
    void doesNotNestEvents() throws Exception {
        submit(60_000_000, (balancerActions, id) -> {
            balancerActions.send(id, "unknown", 1_000_000);
            balancerActions.send(id, "unknown", 1_000_000);
        });
        assertEquals(List.of("start", "hostListReceived", "requestReceived", "end of request", "attemptEnded",
                "attemptEnded"), awaitEvents(6));
    }

    /** Guards against an attempt for a client that disconnected while the loop was delayed, or whose disconnect comes
        after a host's event in the same turn of the loop. */
    @Test
    void doesNotSendForClientThatDisconnectedSinceTheLastCheck() throws Exception {
        connected = false;
        submit(60_000_000, (balancerActions, id) -> {
            long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(2 * Gateway.CLIENT_CHECK_INTERVAL_MICROS);
            while (System.nanoTime() < until) {
                Thread.onSpinWait();
            }
            balancerActions.send(id, "unknown", 1_000_000);
        });
        assertEquals(List.of("start", "hostListReceived", "requestReceived", "end of request", "clientLeft",
                "attemptEnded"), awaitEvents(6));
        assertEquals(1, connectionChecks);
        assertNull(answers.peek());
    }

    private List<String> awaitEvents(int count) throws InterruptedException {
        for (int i = 0; events.size() < count && i < Loopback.WAIT_SECONDS * 100; i++) {
            Thread.sleep(10);
        }
        return events;
    }

    /** Guards against a sweep that ends at its first exception: no timeouts would be enforced from then on. */
    @Test
    void periodicTaskContinuesAfterAnException() throws Exception {
        BlockingQueue<String> faults = new LinkedBlockingQueue<>();
        CountDownLatch turns = new CountDownLatch(3);
        PeriodicTask.schedule(loop, 1_000, () -> {
            turns.countDown();
            throw new OutOfMemoryError("on purpose");
        }, faults::add);
        assertTrue(turns.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        assertTrue(Loopback.await(faults).contains("on purpose"));
    }

    /** Guards against counts that are missing in the log, or are logged twice. */
    @Test
    void logsEachCountOnce() {
        GatewayMetrics metrics = new GatewayMetrics(List.of());
        metrics.increment(GatewayMetrics.Counter.TAKEN);
        metrics.increment(GatewayMetrics.Counter.TAKEN);
        metrics.increment(Balancer.Outcome.SHED);
        metrics.recordPeak(GatewayMetrics.Peak.OPEN_REQUESTS, 2);
        metrics.recordPeak(GatewayMetrics.Peak.OPEN_REQUESTS, 1);
        assertEquals("counts taken=2; attempts shed=1; most at once open_requests=2", metrics.logLine());
        assertEquals("", metrics.logLine());
    }
}
