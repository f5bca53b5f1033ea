package mastdrift.lab;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import mastdrift.Balancer;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.HostState;
import mastdrift.Balancer.ListUpdateType;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Settings;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Any version of the program, behind its {@code sim} command and the published wire; see WIRE, sections 3 to 12. */
final class Wire implements Brains {

    private static final int EXIT_SECONDS = 5;

    private final Process process;
    private final Writer out;
    private final BufferedReader in;
    private final StringBuilder batch = new StringBuilder();
    private final Map<String, Balancer.Actions> actions = new HashMap<>();
    private long batches;

    private Wire(Process process) {
        this.process = process;
        out = new BufferedWriter(new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8), 1 << 16);
        in = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8), 1 << 16);
    }

    /** A build that was made in that folder; throws IOException where its deploy file names no command. */
    static Source build(Path folder) throws IOException {
        TomlParseResult deploy = Toml.parse(folder.resolve("deploy/balancer.toml"));
        String command = deploy.getString("sim");
        if (command == null) {
            throw new IOException(folder + "/deploy/balancer.toml names no sim");
        }
        return command(folder, "/bin/sh", "-c", command);
    }

    /** A program that speaks the wire, started so in that folder. */
    static Source command(Path folder, String... command) {
        return () -> {
            try {
                return new Wire(new ProcessBuilder(command).directory(folder.toFile())
                        .redirectError(ProcessBuilder.Redirect.INHERIT).start());
            } catch (IOException e) {
                throw new IllegalStateException("can't start " + String.join(" ", command) + ": " + e.getMessage(), e);
            }
        };
    }

    private static String name(int gateway) {
        return "gateway/" + gateway;
    }

    @Override
    public Balancer start(long now, int gateway, Settings settings, Balancer.Actions then) {
        actions.put(name(gateway), then);
        line("init", gateway).append(' ').append(settings.seed()).append(' ').append(SettingsText.of(settings)).append('\n');
        return new Instance(gateway);
    }

    @Override
    public void stop(int gateway) {
        actions.remove(name(gateway));
        line("detach", gateway).append('\n');
    }

    private StringBuilder line(String verb, int gateway) {
        return batch.append(verb).append(" gateway/").append(gateway);
    }

    @Override
    public void turn(long now) {
        if (batch.length() == 0) {
            return;
        }
        String number = Long.toString(++batches);
        try {
            out.append("tick ").append(Long.toString(now)).append(' ').append(number).append('\n').append(batch)
                    .append("your_turn\n").flush();
            batch.setLength(0);
            for (String line = in.readLine(); !("end " + number).equals(line); line = in.readLine()) {
                if (line == null) {
                    throw new IllegalStateException("the program behind the wire has ended");
                }
                act(line);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void act(String line) {
        String[] parts = line.split(" ", 3);
        Balancer.Actions asker = parts.length > 1 ? actions.get(parts[1]) : null;
        if (asker == null) {
            return;  // a gateway that died within this batch
        }
        String[] rest = parts.length > 2 ? parts[2].split(" ") : new String[0];
        switch (parts[0]) {
            case "place" -> asker.send(Long.parseLong(rest[0]), rest[1], rest.length > 2 ? Long.parseLong(rest[2]) : 0);
            case "abort_attempt" -> asker.cancel(Long.parseLong(rest[0]), Integer.parseInt(rest[1]));
            case "decline" -> asker.refuse(Long.parseLong(rest[0]), rest.length > 1 ? Long.parseLong(rest[1]) : 0);
            case "error" -> asker.fail(Long.parseLong(rest[0]));
            case "after" -> asker.scheduleTimer(Long.parseLong(rest[0]), rest[1]);
            case "poll" -> asker.probe(rest[0]);
            case "watch" -> asker.watchHostList(rest[0].equals("1"));
            case "pull" -> asker.fetchHostList();
            case "free_links" -> asker.closeIdleConnections(rest[0]);
            case "notify" -> asker.sendToPeer(rest[0].equals("*") ? -1 : Integer.parseInt(rest[0]),
                    HexFormat.of().parseHex(rest[1]));
            case "log" -> asker.log(parts.length > 2 ? parts[2] : "");
            default -> throw new IllegalStateException("unexpected on the wire: " + line);
        }
    }

    @Override
    public void close() {
        try {
            out.close();
            if (!process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (IOException e) {
            process.destroyForcibly();
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }

    /** Prints what one instance is told. */
    private final class Instance implements Balancer {

        private final int gateway;

        Instance(int gateway) {
            this.gateway = gateway;
        }

        @Override
        public void start(long now, Settings settings, Actions asked) {
            throw new IllegalStateException("started once, by its init");
        }

        @Override
        public void hostListReceived(long now, ListUpdateType form, List<Host> hosts) {
            line("discovery", gateway).append(' ').append(form.name().toLowerCase(Locale.ROOT)).append(" 0 ")
                    .append(hosts.size()).append('\n');
            for (Host host : hosts) {
                batch.append("entry ").append(host.cell()).append(' ').append(host.address()).append(' ').append(host.zone())
                        .append(' ').append(host.weight()).append(' ').append(host.model()).append(' ')
                        .append(host.state() == HostState.IN_SERVICE ? 'U' : host.state() == HostState.TERMINATING ? 'L' : 'D').append(' ')
                        .append(host.startedAt() == 0 ? "-" : Long.toString(host.startedAt())).append('\n');
            }
        }

        @Override
        public void requestReceived(long now, Request request) {
            int marks = (request.work() > 0 ? 1 : 0) + (request.repeated() ? 2 : 0) + (request.write() ? 4 : 0);
            line("call", gateway).append(' ').append(request.id()).append(' ').append(request.className()).append(' ')
                    .append(request.tenant() == null ? "-" : request.tenant()).append(' ')
                    .append(request.key() == null ? "-" : request.key().toString()).append(' ').append(request.left())
                    .append(' ').append(request.work() > 0 ? Long.toString(request.work()) : "-").append(' ').append(marks)
                    .append('\n');
        }

        @Override
        public void streamingStarted(long now, long id, int attempt) {
            throw new UnsupportedOperationException("no class of the lab streams");
        }

        @Override
        public void attemptEnded(long now, long id, int attempt, String address, Outcome outcome, long elapsed, boolean over,
                LoadReport report) {
            line("resolved", gateway).append(' ').append(id).append(' ').append(attempt).append(' ').append(address)
                    .append(' ').append(word(outcome)).append(' ').append(elapsed).append(over ? " 1 " : " 0 ")
                    .append(pairs(report)).append('\n');
        }

        @Override
        public void clientLeft(long now, long id) {
            line("gone", gateway).append(' ').append(id).append('\n');
        }

        @Override
        public void probeEnded(long now, String address, Outcome outcome, long elapsed, LoadReport report) {
            line("echo", gateway).append(' ').append(address).append(' ').append(word(outcome)).append(' ').append(elapsed)
                    .append(' ').append(pairs(report)).append('\n');
        }

        @Override
        public void timerFired(long now, String handle) {
            line("timer", gateway).append(' ').append(handle).append('\n');
        }

        /** Not on the wire. */
        @Override
        public int excludedHostCount(long now) {
            return 0;
        }
    }

    private static String word(Outcome outcome) {
        return switch (outcome) {
            case ERROR -> "app_error";
            default -> outcome.name().toLowerCase(Locale.ROOT);
        };
    }

    private static String pairs(LoadReport report) {
        Map<String, Double> named = new java.util.LinkedHashMap<>();
        named.put("active", report.activeRequests());
        named.put("waiting", report.queuedRequests());
        named.put("cpu", report.cpuUtilization());
        named.put("avg_ms", report.averageServiceMillis());
        named.put("rps", report.requestsPerSecond());
        named.put("err_rps", report.errorsPerSecond());
        String text = named.entrySet().stream().filter(pair -> !pair.getValue().isNaN())
                .map(pair -> pair.getKey() + ":" + pair.getValue()).collect(Collectors.joining(","));
        return text.isEmpty() ? "-" : text;
    }
}
