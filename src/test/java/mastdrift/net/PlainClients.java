package mastdrift.net;

import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.write;
import static mastdrift.net.RecordingHost.startThread;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Clients that do nothing unusual: each sends one small request every 50 ms on a kept connection. Counts what became of
    the requests. */
final class PlainClients {

    static final int DEADLINE_MILLIS = 2000;
    // An answer up to half a second after its time is late, not lost.
    static final int LOST_AFTER_MILLIS = DEADLINE_MILLIS + 500;
    /** The earliest time of the kill after SIGTERM: 0.7 s plus the longest deadline. */
    static final int KILL_AFTER_MILLIS = DEADLINE_MILLIS + 700;
    private static final int CLIENTS = 5;
    private static final int PAUSE_MILLIS = 50;
    // At SIGTERM a gateway closes its listening socket after 0.5 s: at its connection limit, connections that it never
    // accepted are reset then, and their requests failed without having been read.
    private static final int LISTENER_CLOSED_MILLIS = 1000;
    private static final int FIRST_NUMBER = 100_000;

    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger closedOnKept = new AtomicInteger();
    private final AtomicInteger excused = new AtomicInteger();
    private final AtomicLong slowestMillis = new AtomicLong();
    private final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
    private final Queue<String> events = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean ended;
    private volatile boolean killExpected;
    private volatile boolean awayExpected;
    private volatile long endExpectedAt;

    /** Starts clients of that gateway. */
    PlainClients(GatewayProcess gateway) {
        for (int i = 0; i < CLIENTS; i++) {
            int client = FIRST_NUMBER + i;
            threads.add(startThread(() -> run(gateway, client)));
        }
    }

    /** A request with an id of its own; a negative length is a body in chunks. The body is not part of it. */
    static String request(int client, int number, int length, String fields) {
        String id = "c" + client + "n" + number;
        return post("start", DEADLINE_MILLIS, "").replace("9b1f", id).replace("5c0f", "key" + id)
                .replace("7f3a", "object" + id).replace("Content-Length: 0", fields
                + (length < 0 ? "Transfer-Encoding: chunked" : "Content-Length: " + length));
    }

    private void run(GatewayProcess gateway, int client) throws Exception {
        int number = 0;
        while (!ended) {
            try (Socket socket = gateway.connect(LOST_AFTER_MILLIS)) {
                boolean first = true;
                while (!ended && sendOne(socket, request(client, number++, 2, "") + "ok", first)) {
                    first = false;
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                }
            } catch (IOException notConnected) {
                lost.incrementAndGet();
                excused.addAndGet(awayExpected ? 1 : 0);
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        }
    }

    /** Sends a request and reads its answer; whether the connection goes on. */
    private boolean sendOne(Socket socket, String request, boolean first) {
        long startedAt = System.nanoTime();
        Loopback.Message answer = null;
        try {
            write(socket, request);
            answer = Loopback.read(socket);
        } catch (IOException closed) {
            answer = null;
        }
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
        if (answer == null) {
            recordLoss(request, first, tookMillis);
            return false;
        }
        slowestMillis.accumulateAndGet(tookMillis, Math::max);
        statuses.computeIfAbsent(answer.status(), each -> new AtomicInteger()).incrementAndGet();
        return !"close".equals(answer.header("Connection"));
    }

    private void recordLoss(String request, boolean first, long tookMillis) {
        lost.incrementAndGet();
        boolean closed = tookMillis < LOST_AFTER_MILLIS;
        long sinceEndMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - endExpectedAt);
        boolean neverAccepted = first && closed && awayExpected && sinceEndMillis < LISTENER_CLOSED_MILLIS;
        if (!first && closed) {
            closedOnKept.incrementAndGet();
        } else if (killExpected || neverAccepted) {
            excused.incrementAndGet();
        } else {
            events.add((awayExpected ? sinceEndMillis + " ms after the end was announced, " : "") + "lost after " + tookMillis
                    + " ms on a " + (first ? "new" : "kept") + " connection: " + request.lines().skip(2).findFirst().orElse(""));
        }
    }

    /** Ends the clients and waits for them. */
    void end() throws InterruptedException {
        ended = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** Requests that got no answer in time, or whose connection was closed. */
    int lost() {
        return lost.get();
    }

    /** The process ends at some time from now on, and is away until another listens; if it is killed outright, what it
        has taken by then has no answer. */
    void expectEnd(boolean killed) {
        endExpectedAt = System.nanoTime();
        awayExpected = true;
        killExpected = killed;
    }

    /** Requests that were lost beyond any excuse: not on a kept connection that may have been closed before it was read,
        nor as the process was killed or was not there or never accepted the connection at its end. */
    int lostForGood() {
        return lost.get() - closedOnKept.get() - excused.get();
    }

    /** The time that the slowest answer took. */
    long slowestMillis() {
        return slowestMillis.get();
    }

    /** The requests that were lost beyond any excuse, a line each. */
    String events() {
        return String.join("\n", events);
    }

    /** What became of the requests, in a few words. */
    String summary() {
        int answered = statuses.values().stream().mapToInt(AtomicInteger::get).sum();
        return "answered " + answered + " " + new TreeMap<>(statuses) + ", lost " + lost + " (" + closedOnKept
                + " as a kept connection was closed, " + excused + " by a restart), slowest " + slowestMillis + " ms";
    }
}
