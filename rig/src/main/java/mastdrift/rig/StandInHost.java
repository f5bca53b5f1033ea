package mastdrift.rig;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import mastdrift.Balancer.Outcome;
import mastdrift.common.HttpServer;
import mastdrift.common.Json;
import mastdrift.common.Range;
import mastdrift.lab.Agenda;
import mastdrift.lab.Dice;
import mastdrift.lab.Machine;

/** Main class of a simulated host: the simulator's model of a machine, run in real time behind a real socket. It speaks
    the protocol of hosts and records each request that it starts; it exits when its standard input is closed. */
public final class StandInHost {

    private static final int CONGESTION_REQUESTS_PER_CORE = 7;
    private static final int TICK_MILLIS = 5;
    private static final int WARM_UP_CALLS = 400;
    private static final String WARM_UP_PREFIX = "warming-";

    private final EventLoop loop;
    private final Agenda agenda = new Agenda();
    private final long startedAt = System.nanoTime() / 1000;
    private final Machine machine;
    private final Dice dice;
    private final Range workMs;
    private final String name;
    private final BufferedWriter events;
    private long wakeUpNumber;

    private StandInHost(EventLoop loop, String name, int cores, Range workMs, long seed, boolean cold, Path events)
            throws IOException {
        this.loop = loop;
        this.name = name;
        this.workMs = workMs;
        this.events = Files.newBufferedWriter(events, StandardCharsets.UTF_8, StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
        dice = new Dice(seed, name);
        machine = new Machine(new Machine.Build(name, "", 0, "std", cores, 1, 8 * cores, 20 * cores, 0.5, 3_000_000, 0,
                600 * cores, CONGESTION_REQUESTS_PER_CORE, 1_500_000, 2, 0.4, 2_000_000, 0.3, 12 * cores), agenda,
                dice);
        machine.fallsAt(4, 1_000_000);
        machine.fell = part -> {
            record("fell", "part", part);
            machine.start();
        };
        if (cold) {
            machine.end();
            machine.start();
        }
    }

    /** Arguments: name, address, cores, minimum and maximum work in milliseconds, seed, whether it is cold, file of
        events. */
    public static void main(String[] args) throws IOException {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        StandInHost host = new StandInHost(loop, args[0], Integer.parseInt(args[2]),
                new Range(Double.parseDouble(args[3]), Double.parseDouble(args[4])), Long.parseLong(args[5]),
                Boolean.parseBoolean(args[6]), Path.of(args[7]));
        warmUp(loop, host, args[1].substring(0, args[1].lastIndexOf(':')));
        HttpServer.listen(loop, HttpServer.parseAddress(args[1]), host::handle);
        loop.scheduleWithFixedDelay(host::runDueEvents, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        System.out.println("listening on " + args[1]);
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.equals("drain")) {
                loop.execute(() -> host.machine.leaving = true);
            }
        }
        System.exit(0);
    }

    /** Sends requests to itself at another port until the virtual machine has compiled the code, so that latencies are
        those of the gateways. These requests have a prefix in their ids and are not recorded. */
    private static void warmUp(EventLoop loop, StandInHost host, String address) throws IOException {
        try (HttpServer server = HttpServer.listen(loop, new InetSocketAddress(address, 0), host::handle)) {
            for (int i = 0; i < WARM_UP_CALLS; i++) {
                HttpURLConnection call = (HttpURLConnection) URI.create("http://" + address + ":" + server.port()
                        + "/api").toURL().openConnection();
                call.setRequestProperty("X-Trace-Id", WARM_UP_PREFIX + i);
                call.getInputStream().readAllBytes();
            }
        }
    }

    /** Runs the model's events that are due, and schedules itself for the next. */
    private void runDueEvents() {
        agenda.runUntil(System.nanoTime() / 1000 - startedAt);
        long next = agenda.next();
        if (next != Long.MAX_VALUE) {
            long number = ++wakeUpNumber;
            loop.schedule(() -> {
                if (number == wakeUpNumber) {
                    runDueEvents();
                }
            }, Math.max(0, next - agenda.now()), TimeUnit.MICROSECONDS);
        }
    }

    private void handle(HttpServer.Exchange call) {
        runDueEvents();
        switch (call.path()) {
            case "/health" -> call.respond(200, "text/plain", "well\n");
            case "/status/load" -> call.respond(200, "text/plain", loadReport());
            default -> handleRequest(call);
        }
        runDueEvents();
    }

    private String loadReport() {
        return String.format(Locale.ROOT, "TEXT rps=%d, waiting=%d, cpu=%.2f", machine.held(), machine.waitingNow(),
                machine.busy());
    }

    private void handleRequest(HttpServer.Exchange call) {
        String trace = call.header("X-Trace-Id");
        if (trace == null) {
            call.respond(404, "text/plain", "no id\n");
            return;
        }
        long key = call.header("Idempotency-Key") == null ? trace.hashCode() : call.header("Idempotency-Key").hashCode();
        boolean draining = machine.leaving;
        long[] beganAt = {System.nanoTime() / 1000};
        double work = trace.startsWith(WARM_UP_PREFIX) ? 1 : dice.in(workMs) * 1000 * dice.noise(1);
        Machine.Job job = new Machine.Job(key, work, outcome -> {
            switch (outcome) {
                case DELIVERED -> call.respond(200, "text/plain", responseBody(trace));
                case SHED -> call.respond(503, "text/plain", "full\n", "X-Never-Ran", "1");
                default -> call.channel().close();
            }
            if (outcome == Outcome.SHED) {
                beganAt[0] = 0;
            }
        });
        call.channel().closeFuture().addListener(ended -> job.drop(true));
        machine.arrive(job, true);
        if (beganAt[0] != 0) {
            record("begin", "trace", trace, "key", call.header("Idempotency-Key"), "leaving", draining);
        } else {
            record("shed", "trace", trace, "leaving", draining);
        }
    }

    /** The response body for the request with that id, by which the client knows that the response is its own. */
    static String responseBody(String trace) {
        return "done " + trace;
    }

    private void record(String op, Object... facts) {
        if (facts[1].toString().startsWith(WARM_UP_PREFIX)) {
            return;
        }
        Map<String, Object> event = new LinkedHashMap<>();
        long now = System.nanoTime() / 1000;
        event.put("start", now);
        event.put("end", now);
        event.put("by", name);
        event.put("op", op);
        for (int i = 0; i < facts.length; i += 2) {
            if (facts[i + 1] != null) {
                event.put(facts[i].toString(), facts[i + 1]);
            }
        }
        try {
            events.write(Json.encode(event) + "\n");
            events.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
