package mastdrift.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import mastdrift.Balancer;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;

/**
 * Connects the simulator to balancers: reads batches of events line by line, runs one {@link Balancer} for each gateway
 * that the simulator names, and prints the actions of all at the end of a batch.
 */
final class Adapter {

    private static final LoadReport NO_REPORT = loadReport(new double[] {
        Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN});
    /** Names in a load report, in the order of the components of {@link LoadReport}. */
    private static final List<String> REPORT_NAMES =
            List.of("active", "waiting", "cpu", "avg_ms", "rps", "err_rps");

    private final BufferedReader in;
    private final Writer out;
    private final PrintStream err;
    private final Supplier<Balancer> balancerFactory;
    private final Map<String, Balancer> balancers = new HashMap<>();
    private final StringBuilder output = new StringBuilder();
    private long now;

    Adapter(BufferedReader in, Writer out, PrintStream err, Supplier<Balancer> balancerFactory) {
        this.in = in;
        this.out = out;
        this.err = err;
        this.balancerFactory = balancerFactory;
    }

    /** Serves batches until the input ends: {@code tick}, the events, {@code your_turn}. */
    void run() throws IOException {
        String batch = null;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.isEmpty()) {
                continue;
            }
            FieldReader fields = new FieldReader(line);
            String tag = fields.string("a message name");
            if (tag.equals("tick")) {
                now = fields.number("the clock");
                batch = fields.string("the batch number");
            } else if (batch == null) {
                throw fields.expected("a tick line first");
            } else if (tag.equals("your_turn")) {
                out.append(output).append("end ").append(batch).append('\n').flush();
                output.setLength(0);
                batch = null;
            } else {
                handleEvent(tag, fields);
            }
        }
        if (batch != null) {
            throw new MalformedLineException("end of input", "your_turn, to end batch " + batch);
        }
    }

    /** Runs one event; messages of an unknown name are ignored. */
    private void handleEvent(String tag, FieldReader fields) throws IOException {
        switch (tag) {
            case "init", "detach", "discovery", "call", "under_way", "resolved", "gone", "timer", "echo",
                    "from_peer" -> { }
            default -> {
                return;
            }
        }
        String instance = fields.string("an instance");
        Runnable event = tag.equals("init") ? parseInit(instance, fields) : parseEvent(tag, instance, fields);
        try {
            event.run();
        } catch (IllegalArgumentException e) {
            if (tag.equals("init")) {
                throw fields.expected("settings that the balancer can run with: " + e.getMessage());
            }
            panic(instance, e);
        } catch (RuntimeException e) {
            panic(instance, e);
        }
    }

    /** Reports an exception of a balancer to the simulator and on standard error. */
    private void panic(String instance, RuntimeException e) {
        String text = String.valueOf(e).replace('\n', ' ');
        err.println("fault in " + instance + ": " + text);
        output.append("panic ").append(instance).append(' ').append(text).append('\n');
    }

    private Runnable parseInit(String instance, FieldReader fields) {
        long seed = fields.number("the seed");
        Balancer.Settings settings = parseSettings(fields, seed);
        Balancer balancer = balancerFactory.get();
        balancers.put(instance, balancer);
        return () -> balancer.start(now, settings, new ActionPrinter(instance));
    }

    private static Balancer.Settings parseSettings(FieldReader fields, long seed) {
        SettingsParser facts = SettingsParser.fromPairs(fields);
        try {
            return facts.toSettings(seed);
        } catch (IllegalArgumentException e) {
            throw fields.expected(e.getMessage());
        }
    }

    /** Parses an event completely before the balancer gets it, so that a malformed line changes nothing. */
    private Runnable parseEvent(String tag, String instance, FieldReader fields) throws IOException {
        Balancer balancer = balancers.get(instance);
        if (tag.equals("detach")) {
            balancers.remove(instance);
            return () -> { };
        }
        if (balancer == null) {
            throw fields.expected("an instance that was started");
        }
        switch (tag) {
            case "discovery":
                ListUpdateType updateType = parseUpdateType(fields);
                List<Host> hosts = parseHosts(fields);
                return () -> balancer.hostListReceived(now, updateType, hosts);
            case "call":
                Balancer.Request request = parseRequest(fields);
                return () -> balancer.requestReceived(now, request);
            case "under_way":
                long streamingId = fields.number("a request id");
                int attempt = (int) fields.number("an attempt number");
                return () -> balancer.streamingStarted(now, streamingId, attempt);
            case "resolved":
                return parseAttemptEnded(balancer, fields);
            case "gone":
                long id = fields.number("a request id");
                return () -> balancer.clientLeft(now, id);
            case "timer":
                String handle = fields.string("a timer handle");
                return () -> balancer.timerFired(now, handle);
            case "from_peer":
                int peer = (int) fields.number("a peer's number");
                byte[] message = fields.bytes("a message");
                return () -> balancer.peerMessageReceived(now, peer, message);
            default:
                return parseProbeEnded(balancer, fields);
        }
    }

    /** Flags are a sum of 1 (the expected work is known), 2 (a client's repeat) and 4 (a write). */
    private static Balancer.Request parseRequest(FieldReader fields) {
        long id = fields.number("a request id");
        String className = fields.string("a class");
        String tenant = fields.optionalString();
        String tenantName = tenant == null || tenant.equals("0") ? null : tenant;
        Long key = fields.numberOrNull("a key");
        long left = fields.number("the time left");
        long expectedWork = fields.number("the expected work", 0);
        long flags = fields.number("a sum of flags", 0);
        return new Balancer.Request(id, className, tenantName, key, left, (flags & 1) != 0 ? expectedWork : 0,
                (flags & 2) != 0, (flags & 4) != 0);
    }

    private Runnable parseAttemptEnded(Balancer balancer, FieldReader fields) {
        long id = fields.number("a request id");
        int attempt = (int) fields.number("an attempt number");
        String host = fields.string("a host");
        Outcome outcome = parseOutcome(fields);
        long elapsed = fields.number("the elapsed time");
        boolean requestEnded = fields.bool("over");
        LoadReport report = parseLoadReport(fields);
        return () -> balancer.attemptEnded(now, id, attempt, host, outcome, elapsed, requestEnded, report);
    }

    private Runnable parseProbeEnded(Balancer balancer, FieldReader fields) {
        String host = fields.string("a host");
        Outcome outcome = parseOutcome(fields);
        long elapsed = fields.number("the elapsed time");
        LoadReport report = parseLoadReport(fields);
        return () -> balancer.probeEnded(now, host, outcome, elapsed, report);
    }

    private static Outcome parseOutcome(FieldReader fields) {
        String word = fields.string("an outcome");
        return switch (word) {
            case "delivered" -> Outcome.DELIVERED;
            case "app_error" -> Outcome.ERROR;
            case "shed" -> Outcome.SHED;
            case "expired" -> Outcome.EXPIRED;
            case "dial_failed" -> Outcome.DIAL_FAILED;
            case "dropped" -> Outcome.DROPPED;
            case "revoked" -> Outcome.REVOKED;
            case "unused" -> Outcome.UNUSED;
            default -> throw fields.expected("a known outcome, not " + word);
        };
    }

    private static ListUpdateType parseUpdateType(FieldReader fields) {
        String word = fields.string("the type of the list update");
        return switch (word) {
            case "delta" -> ListUpdateType.DELTA;
            case "full" -> ListUpdateType.FULL;
            case "cached" -> ListUpdateType.CACHED;
            case "failed" -> ListUpdateType.FAILED;
            default -> throw fields.expected("delta, full, cached or failed, not " + word);
        };
    }

    /** Parses the rest of a list message and the entry lines that follow it. */
    private List<Host> parseHosts(FieldReader fields) throws IOException {
        fields.number("a list version", 0);
        long count = fields.number("the number of entries", 0);
        List<Host> hosts = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String line = in.readLine();
            if (line == null) {
                throw new MalformedLineException("end of input", "an entry line");
            }
            hosts.add(parseHost(new FieldReader(line)));
        }
        return hosts;
    }

    private static Host parseHost(FieldReader fields) {
        if (!fields.string("entry").equals("entry")) {
            throw fields.expected("an entry line");
        }
        int cell = (int) fields.number("a cell number", 0);
        String address = fields.string("a host");
        String zone = fields.string("a zone");
        double weight = fields.decimal("a weight", 1);
        String model = fields.string("a host model");
        String stateCode = fields.string("a health");
        HostState state = switch (stateCode) {
            case "U" -> HostState.IN_SERVICE;
            case "L" -> HostState.TERMINATING;
            case "D" -> HostState.TERMINATED;
            default -> throw fields.expected("a health of U, L or D, not " + stateCode);
        };
        return new Host(address, zone, cell, model, weight, state, fields.number("a start time", 0));
    }

    /** Parses {@code name:value,...}; unknown names are ignored. */
    private static LoadReport parseLoadReport(FieldReader fields) {
        String text = fields.optionalString();
        if (text == null) {
            return NO_REPORT;
        }
        double[] values = new double[REPORT_NAMES.size()];
        java.util.Arrays.fill(values, Double.NaN);
        for (String pair : text.split(",")) {
            int colon = pair.indexOf(':');
            if (colon < 0) {
                throw fields.expected("a load report of name:value pairs");
            }
            int index = REPORT_NAMES.indexOf(pair.substring(0, colon));
            if (index >= 0) {
                values[index] = fields.parseDecimal(pair.substring(colon + 1), pair.substring(0, colon));
            }
        }
        return loadReport(values);
    }

    private static LoadReport loadReport(double[] values) {
        return new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]);
    }

    /** Appends one instance's actions to the output of the batch. */
    private final class ActionPrinter implements Balancer.Actions {

        private final String instance;

        ActionPrinter(String instance) {
            this.instance = instance;
        }

        private StringBuilder startLine(String verb) {
            return output.append(verb).append(' ').append(instance).append(' ');
        }

        @Override
        public void send(long id, String address, long timeout) {
            startLine("place").append(id).append(' ').append(address).append(' ').append(timeout).append('\n');
        }

        @Override
        public void cancel(long id, int attempt) {
            startLine("abort_attempt").append(id).append(' ').append(attempt).append('\n');
        }

        @Override
        public void refuse(long id, long retryAfter) {
            startLine("decline").append(id).append(' ').append(retryAfter).append('\n');
        }

        @Override
        public void fail(long id) {
            startLine("error").append(id).append('\n');
        }

        @Override
        public void scheduleTimer(long at, String handle) {
            startLine("after").append(at).append(' ').append(handle).append('\n');
        }

        @Override
        public void probe(String address) {
            startLine("poll").append(address).append('\n');
        }

        @Override
        public void watchHostList(boolean active) {
            startLine("watch").append(active ? "1\n" : "0\n");
        }

        @Override
        public void fetchHostList() {
            output.append("pull ").append(instance).append('\n');
        }

        @Override
        public void closeIdleConnections(String address) {
            startLine("free_links").append(address).append('\n');
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            startLine("notify").append(peer < 0 ? "*" : "" + peer).append(' ').append(FieldReader.hex(message))
                    .append('\n');
        }

        @Override
        public void log(String text) {
            startLine("log").append(text.replace('\n', ' ')).append('\n');
        }
    }
}
