package mastdrift.registry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import mastdrift.common.Clock;
import mastdrift.common.Disk;
import mastdrift.common.HttpServer;
import mastdrift.common.Json;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands for the list service. Exit status: 0 success, 1 refused by the service, 2 wrong usage, 3 no replica
    answers. */
public final class RegistryCommands {

    static final int EXIT_SUCCESS = 0;
    static final int EXIT_REFUSED = 1;
    static final int EXIT_NO_ANSWER = 3;

    private RegistryCommands() { }

    /** Starts a replica of the list service. */
    @Command(name = "registry", mixinStandardHelpOptions = true,
            description = "Starts a replica of the list service; without peers it is the whole service.",
            subcommands = {RegistryStatus.class, RegistryMembers.class, Backup.class, Restore.class})
    public static final class Registry implements Callable<Integer> {

        @Option(names = "--name", defaultValue = "registry-1",
                description = "name of this replica (default: ${DEFAULT-VALUE})")
        private String name;

        @Option(names = "--folder", paramLabel = "DIR", description = "directory of its files; required")
        private Path folder;

        @Option(names = "--listen", paramLabel = "ADDRESS:PORT", defaultValue = "127.0.0.1:9400",
                description = "address of the HTTP API (default: ${DEFAULT-VALUE})")
        private String listen;

        @Option(names = "--raft", paramLabel = "ADDRESS:PORT", defaultValue = "127.0.0.1:9401",
                description = "address for other replicas (default: ${DEFAULT-VALUE})")
        private String raft;

        @Option(names = "--peer", paramLabel = "NAME=RAFT/HTTP",
                description = "a replica with its Raft and HTTP addresses; repeat for each replica, this one included "
                        + "(default: a single replica)")
        private Map<String, String> peers = new LinkedHashMap<>();

        @Option(names = "--watches", paramLabel = "N", defaultValue = "" + WatchHub.DEFAULT_MAX_WATCHES,
                description = "maximum number of open watches (default: ${DEFAULT-VALUE})")
        private int maxWatches;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            List<String> errors = new ArrayList<>();
            if (folder == null) {
                errors.add("--folder is required");
            }
            if (!peers.isEmpty() && !peers.containsKey(name)) {
                errors.add("--peer: " + name + ", this replica, is missing");
            }
            if (peers.size() % 2 == 0 && !peers.isEmpty()) {
                errors.add("--peer: expected an odd number of replicas, not " + peers.size());
            }
            if (!errors.isEmpty()) {
                throw new CommandLine.ParameterException(spec.commandLine(),
                        String.join(System.lineSeparator(), errors));
            }
            Map<String, ReplicaBootstrap.Address> addresses = new LinkedHashMap<>();
            peers.forEach((peer, address) -> addresses.put(peer, ReplicaBootstrap.Address.parse(address)));
            addresses.putIfAbsent(name, new ReplicaBootstrap.Address(raft, listen));
            Main.exitOnUncaughtException();
            Replica replica = new Replica(new Replica.Config(name, folder, HttpServer.parseAddress(listen),
                    HttpServer.parseAddress(raft), addresses,
                    maxWatches), Clock.SYSTEM, new RegistryState(), new Disk());
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    replica.close();
                } catch (IOException e) {
                    System.err.println(e);
                }
            }));
            replica.start();
            replica.await();
            return EXIT_SUCCESS;
        }
    }

    /** Starts an agent. */
    @Command(name = "agent", mixinStandardHelpOptions = true,
            description = "Starts an agent, which serves discovery to gateways from the list service.")
    public static final class StartAgent implements Callable<Integer> {

        @Option(names = "--folder", paramLabel = "DIR", required = true,
                description = "directory in which the last list is saved")
        private Path folder;

        @Option(names = "--listen", paramLabel = "ADDRESS:PORT", defaultValue = "127.0.0.1:8500",
                description = "address that gateways call (default: ${DEFAULT-VALUE})")
        private String listen;

        @Option(names = "--member", paramLabel = "NAME", description = "joins the membership under this name")
        private String name;

        @Option(names = "--zone", defaultValue = "", description = "the member's zone")
        private String zone;

        @Option(names = "--address", paramLabel = "ADDRESS:PORT",
                description = "address that other members call (default: that of --listen)")
        private String address;

        @Option(names = "--registry", paramLabel = "ADDRESS:PORT", split = ",", defaultValue = "127.0.0.1:9400",
                description = "addresses of the replicas (default: ${DEFAULT-VALUE})")
        private List<String> registry;

        @Override
        public Integer call() throws Exception {
            List<InetSocketAddress> replicas = registry.stream().map(HttpServer::parseAddress).toList();
            Main.exitOnUncaughtException();
            MembershipClient.Config member = name == null ? null : new MembershipClient.Config(name, "agent", zone,
                    (address == null ? listen : address) + "/v1/agent");
            Agent agent = new Agent(new Agent.Config(folder, HttpServer.parseAddress(listen), replicas, member),
                    Clock.SYSTEM, new Disk());
            Runtime.getRuntime().addShutdownHook(new Thread(agent::close));
            Thread.currentThread().join();
            return EXIT_SUCCESS;
        }
    }

    /** Thrown when no replica answers in time. */
    static final class NoAnswerException extends Exception {
        private static final long serialVersionUID = 1L;

        NoAnswerException(String message) {
            super(message);
        }
    }

    /** Options that all commands share, and the request to the service. */
    static final class ServiceConnection {

        private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);

        @Option(names = "--registry", paramLabel = "ADDRESS:PORT", split = ",", defaultValue = "127.0.0.1:9400",
                description = "addresses of the replicas, tried in turn (default: ${DEFAULT-VALUE})")
        private List<String> registry;

        @Option(names = "--json", description = "print JSON")
        private boolean json;

        @Spec(Spec.Target.MIXEE)
        private CommandSpec spec;

        /** Response of a replica. */
        record Response(int status, Map<String, Object> body) {
            boolean isSuccess() {
                return status / 100 == 2;
            }
        }

        Response call(String method, String path, String body) throws NoAnswerException, InterruptedException {
            HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
            StringBuilder causes = new StringBuilder();
            for (String address : registry) {
                HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(REQUEST_TIMEOUT)
                        .method(method, body == null ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body)).build();
                try {
                    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
                    if (response.statusCode() != 503) {
                        return new Response(response.statusCode(), Json.parse(response.body()));
                    }
                    causes.append("; ").append(address).append(": ").append(response.body());
                } catch (IOException | IllegalArgumentException e) {
                    causes.append("; ").append(address).append(": ").append(e.getMessage() == null ? "no answer"
                            : e.getMessage());
                }
            }
            throw new NoAnswerException("no replica answers" + causes);
        }

        /** Prints the response as JSON if asked for, else the line, or the error on standard error; returns the exit
            status. */
        int print(Response response, String line) {
            if (json) {
                spec.commandLine().getOut().println(Json.encode(response.body()));
            } else if (response.isSuccess()) {
                spec.commandLine().getOut().println(line);
            } else {
                spec.commandLine().getErr().println(response.body().get("error"));
            }
            return response.isSuccess() ? EXIT_SUCCESS : EXIT_REFUSED;
        }
    }

    /** Base of commands that call the service; maps failures to exit statuses. */
    abstract static class ServiceCommand implements Callable<Integer> {

        @Mixin
        private ServiceConnection service;

        @Spec
        private CommandSpec spec;

        abstract int execute(ServiceConnection service) throws NoAnswerException, InterruptedException;

        @Override
        public Integer call() throws InterruptedException {
            try {
                return execute(service);
            } catch (NoAnswerException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return EXIT_NO_ANSWER;
            } catch (IllegalArgumentException e) {
                throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage(), e);
            }
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "Shows the leader, the revision and the number of entries.")
    static final class RegistryStatus extends ServiceCommand {
        @Override
        int execute(ServiceConnection service) throws NoAnswerException, InterruptedException {
            ServiceConnection.Response response = service.call("GET", "/v1/registry", null);
            Map<String, Object> body = response.body();
            return service.print(response, body.get("name") + ": leader " + body.get("leader") + ", term "
                    + body.get("term")
                    + ", revision " + body.get("rev") + ", " + body.get("entries") + " entries, " + body.get("stale")
                    + " stale, " + body.get("watches") + " watches");
        }
    }

    @Command(name = "members", mixinStandardHelpOptions = true,
            description = "Lists the replicas with their current ids.")
    static final class RegistryMembers extends ServiceCommand {
        @Override
        int execute(ServiceConnection service) throws NoAnswerException, InterruptedException {
            ServiceConnection.Response response = service.call("GET", "/v1/registry", null);
            StringBuilder lines = new StringBuilder();
            if (response.body().get("members") instanceof Map<?, ?> members && response.body()
                    .get("ids") instanceof List<?> ids) {
                members.forEach((name, member) -> {
                    Object id = ((Map<?, ?>) member).get("id");
                    lines.append(name).append("  ").append(id).append(ids.contains(id) ? "" : "  not counted")
                            .append(name.equals(response.body().get("leader")) ? "  leads" : "")
                            .append(System.lineSeparator());
                });
            }
            return service.print(response, lines.toString().stripTrailing());
        }
    }

    @Command(name = "backup", mixinStandardHelpOptions = true, description = "Writes the whole state to a file.")
    static final class Backup extends ServiceCommand {

        @Parameters(index = "0", paramLabel = "FILE")
        private Path file;

        @Override
        int execute(ServiceConnection service) throws NoAnswerException, InterruptedException {
            ServiceConnection.Response response = service.call("GET", "/v1/backup", null);
            if (response.isSuccess()) {
                try {
                    new Disk().write(file, Json.encode(response.body())
                            .getBytes(java.nio.charset.StandardCharsets.UTF_8));
                } catch (IOException e) {
                    throw new IllegalArgumentException("can't write " + file + ": " + e.getMessage(), e);
                }
            }
            return service.print(response, file + ": revision " + response.body().get("rev"));
        }
    }

    @Command(name = "restore", mixinStandardHelpOptions = true,
            description = "Restores a backup into a service that has no entries; revisions continue far beyond it.")
    static final class Restore extends ServiceCommand {

        @Parameters(index = "0", paramLabel = "FILE")
        private Path file;

        @Override
        int execute(ServiceConnection service) throws NoAnswerException, InterruptedException {
            byte[] content;
            try {
                content = new Disk().read(file);
            } catch (IOException e) {
                throw new IllegalArgumentException(e.getMessage(), e);
            }
            if (content == null) {
                throw new IllegalArgumentException(file + " does not exist");
            }
            ServiceConnection.Response response = service.call("POST", "/v1/restore",
                    new String(content, java.nio.charset.StandardCharsets.UTF_8));
            return service.print(response, response.body().get("entries") + " entries, at revision " + response.body()
                    .get("rev"));
        }
    }

    /** Commands for the endpoint list. */
    @Command(name = "endpoints", mixinStandardHelpOptions = true, description = "The list of hosts and its entries.",
            subcommands = {ListAll.class, Watch.class, Put.class, Drain.class, Remove.class})
    public static final class Endpoints implements Runnable {

        @Spec
        private CommandSpec spec;

        @Override
        public void run() {
            throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
        }
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists all entries, one per line.")
    static final class ListAll extends ServiceCommand {
        @Override
        int execute(ServiceConnection service) throws NoAnswerException, InterruptedException {
            ServiceConnection.Response response = service.call("GET", "/v1/entries", null);
            StringBuilder lines = new StringBuilder();
            if (response.body().get("entries") instanceof List<?> entries) {
                for (Object each : entries) {
                    Map<?, ?> entry = (Map<?, ?>) each;
                    lines.append(String.format(Locale.ROOT, "%-20s %-22s zone %-10s %-12s revision %s%s%n",
                            entry.get("uid"),
                            entry.get("endpoint"), entry.get("az"), entry.get("state"), entry.get("rev"),
                            Boolean.TRUE.equals(entry.get("stale")) ? "  stale" : ""));
                }
            }
            return service.print(response, lines + "revision " + response.body().get("rev"));
        }
    }

    @Command(name = "watch", mixinStandardHelpOptions = true, description = "Prints each change as a line of JSON.")
    static final class Watch extends ServiceCommand {

        @Option(names = "--from", paramLabel = "REVISION", defaultValue = "0",
                description = "only changes after it (default: the full list first)")
        private long from;

        @Option(names = "--lines", paramLabel = "N", defaultValue = "0",
                description = "end after so many lines (default: never)")
        private int lines;

        @Override
        int execute(ServiceConnection service) throws NoAnswerException, InterruptedException {
            HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + service.registry.get(0)
                    + "/v1/endpoints?watch=1&from=" + from)).build();
            try {
                java.util.stream.Stream<String> received = client.send(request, HttpResponse.BodyHandlers.ofLines())
                        .body()
                        .filter(line -> !line.isBlank());
                (lines > 0 ? received.limit(lines) : received).forEach(service.spec.commandLine().getOut()::println);
                return EXIT_SUCCESS;
            } catch (IOException | java.io.UncheckedIOException e) {
                throw new NoAnswerException(service.registry.get(0) + ": " + e.getMessage());
            }
        }
    }

    @Command(name = "put", mixinStandardHelpOptions = true,
            description = "Adds a host to the list, or changes its entry.")
    static final class Put extends ServiceCommand {

        @Parameters(index = "0", paramLabel = "UID")
        private String uid;

        @Parameters(index = "1", paramLabel = "ADDRESS:PORT")
        private String endpoint;

        @Option(names = "--zone", defaultValue = "", description = "zone of the host")
        private String zone;

        @Option(names = "--model", defaultValue = "std", description = "machine type (default: ${DEFAULT-VALUE})")
        private String model;

        @Option(names = "--capacity", defaultValue = "1", description = "relative capacity (default: ${DEFAULT-VALUE})")
        private double capacity;

        @Option(names = "--lease-ms", defaultValue = "0",
                description = "removed if not renewed for so long (default: never)")
        private long lease;

        @Option(names = "--if-rev", paramLabel = "REVISION",
                description = "only if the entry has this revision; 0: only if it is new")
        private Long revision;

        @Override
        int execute(ServiceConnection service) throws NoAnswerException, InterruptedException {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("endpoint", endpoint);
            entry.put("az", zone);
            entry.put("model", model);
            entry.put("capacity_hint", capacity);
            entry.put("lease_ms", lease);
            ServiceConnection.Response response = service.call("PUT", "/v1/entries/" + uid
                    + (revision == null ? "" : "?if_rev=" + revision),
                    Json.encode(entry));
            return service.print(response, uid + " at revision " + response.body().get("rev"));
        }
    }

    @Command(name = "drain", mixinStandardHelpOptions = true, description = "Drains a host: it gets no new requests.")
    static final class Drain extends ServiceCommand {

        @Parameters(index = "0", paramLabel = "UID")
        private String uid;

        @Override
        int execute(ServiceConnection service) throws NoAnswerException, InterruptedException {
            ServiceConnection.Response response = service.call("POST", "/v1/entries/" + uid + "/drain", "");
            return service.print(response, uid + " drains, at revision " + response.body().get("rev"));
        }
    }

    @Command(name = "remove", mixinStandardHelpOptions = true,
            description = "Removes a host from the list, after a drain of 3 s unless --now is given.")
    static final class Remove extends ServiceCommand {

        @Parameters(index = "0", paramLabel = "UID")
        private String uid;

        @Option(names = "--now", description = "remove at once, without a drain")
        private boolean now;

        @Override
        int execute(ServiceConnection service) throws NoAnswerException, InterruptedException {
            ServiceConnection.Response response = service.call("DELETE", "/v1/entries/" + uid + (now ? "?now=1" : ""),
                    null);
            return service.print(response, uid + " leaves, at revision " + response.body().get("rev"));
        }
    }
}
