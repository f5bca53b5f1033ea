package mastdrift.rig;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mastdrift.common.Json;
import mastdrift.lab.Dice;

/** The test bed of one run: its processes, the links between them, and all that is needed to start them. Set up and
    closed by the rig's main thread; {@link #links} may be called from other threads. */
final class TestBed implements AutoCloseable {

    static final String CLIENTS = "clients";
    private static final String DISCOVERY_PREFIX = "discovery";
    static final String LEADER = "@leader";
    private static final String IN_SERVICE = "in_service";
    private static final int LINK_LOOPS = 4;
    private static final long START_TIMEOUT_MILLIS = 60_000;

    /**
     * Which build of the program is run.
     *
     * @param root the project's folder
     * @param deployed true if gateways are started by the deploy file's {@code run}, false for the rig's own class path
     * @param variant one of {@link BrokenVariants}, broken on purpose, or {@code none}
     */
    record Options(Path root, boolean deployed, String variant) { }

    private final RigPlan plan;
    private final long seed;
    private final Options options;
    private final Path root;
    private final Path folder;
    private final History history;
    private final ProcessReaper reaper = new ProcessReaper();
    private final EventLoopGroup linkLoops = new MultiThreadIoEventLoopGroup(LINK_LOOPS, NioIoHandler.newFactory());
    private final EventLoop discoveryLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final EventLoop loadLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<String> names = new ArrayList<>();
    private final Map<String, Integer> ports = new ConcurrentHashMap<>();
    private final Map<String, List<Link>> links = new ConcurrentHashMap<>();
    private final Map<String, ManagedProcess> processes = new TreeMap<>();
    // Names of processes that a fault has stopped.
    private final Set<String> expectedDown = ConcurrentHashMap.newKeySet();
    // Closes the test bed if the rig is stopped during a run.
    private final Thread shutdownHook = new Thread(this::close);
    private final AtomicBoolean closed = new AtomicBoolean();
    private final List<Thread> backgroundThreads = new ArrayList<>();
    private final Addresses addresses;
    private final DiscoveryServer discovery;
    private final Dice linkDice;
    private final SystemCallFaults systemCalls;

    /** Starts nothing yet. All files of this run go to {@code folder}; {@code slot} is that of the loopback
        addresses. */
    TestBed(RigPlan plan, long seed, Options options, int slot, Path folder, History history) throws IOException {
        addresses = new Addresses(slot);
        this.plan = plan;
        this.seed = seed;
        this.options = options;
        root = options.root();
        this.folder = folder;
        this.history = history;
        linkDice = new Dice(seed, "links");
        systemCalls = new SystemCallFaults(root, folder, seed);
        names.addAll(names(plan));
        Files.createDirectories(folder);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        discovery = new DiscoveryServer(discoveryLoop, this::linkedAddress, options.variant()
                .equals(BrokenVariants.DRAINS_IGNORED), history);
    }

    /** The names of all processes and link endpoints of the plan; they don't depend on the seed. */
    static List<String> names(RigPlan plan) {
        List<String> names = new ArrayList<>(List.of(CLIENTS));
        for (int i = 0; i < plan.gateways().count(); i++) {
            names.add("gateway-" + (i + 1));
            names.add(discoveryName("gateway-" + (i + 1)));
            if (plan.gateways().usesAgents()) {
                names.add("agent-" + (i + 1));
            }
        }
        for (int i = 0; i < plan.registry().replicas(); i++) {
            names.add("registry-" + (i + 1));
        }
        for (int i = 0; i < plan.hosts().count(); i++) {
            names.add("host-" + zone(plan, i) + "-" + (i / plan.hosts().zones().size() + 1));
        }
        for (int i = 0; i < plan.duties().candidates(); i++) {
            names.add("conductor-" + (i + 1));
        }
        List<String> zones = plan.members().zones();
        for (int i = 0; i < plan.members().count(); i++) {
            names.add("member-" + zones.get(i % zones.size()) + "-" + (i / zones.size() + 1));
        }
        if (plan.duties().candidates() > 0) {
            for (int i = 0; i < plan.gateways().count(); i++) {
                names.add(adminName("gateway-" + (i + 1)));
            }
        }
        return names;
    }

    /** The link endpoint of a gateway's admin address, which faults can cut off while clients still reach the
        gateway. */
    private static String adminName(String gateway) {
        return "admin:" + gateway;
    }

    /** The link endpoint of a gateway's own discovery server: each gateway is given its own links' addresses of the
        hosts. */
    private static String discoveryName(String gateway) {
        return DISCOVERY_PREFIX + ":" + gateway;
    }

    private static String zone(RigPlan plan, int index) {
        return plan.hosts().zones().get(index % plan.hosts().zones().size());
    }

    Map<String, ManagedProcess> processes() {
        return processes;
    }

    /** The ids of the processes on a request's path, by name: the running gateways, and the rig itself as the
        clients. */
    Map<String, Long> requestPathPids() {
        Map<String, Long> ids = new TreeMap<>();
        processes.forEach((name, process) -> {
            if (name.startsWith("gateway-") && process.isRunning()) {
                ids.put(name, process.pid());
            }
        });
        ids.put(CLIENTS, ProcessHandle.current().pid());
        return ids;
    }

    SystemCallFaults systemCalls() {
        return systemCalls;
    }

    EventLoop loadLoop() {
        return loadLoop;
    }

    private int index(String name) {
        return names.indexOf(name);
    }

    /** The process's port, chosen at the first call and the same from then on. */
    private int port(String name) {
        return ports.computeIfAbsent(name, n -> Addresses.freePort(addresses.processAddress(index(n))));
    }

    /** The address and port on which the process listens, past all links. */
    String address(String name) {
        return addresses.processAddress(index(name)) + ":" + port(name);
    }

    /** The address and port at which one process reaches another: that of the link between them, opened at the first
        call. */
    String linkedAddress(String from, String to) {
        if (!plan.usesLinks()) {
            return address(to);
        }
        links(from, to);
        return addresses.linkAddress(index(from), index(to)) + ":" + port(to);
    }

    /** All links from one process to another. Replicas have two between them: one for calls and one for Raft. */
    synchronized List<Link> links(String from, String to) {
        if (!links.containsKey(from + ">" + to)) {
            openLink(from, to, port(to));
        }
        return links.get(from + ">" + to);
    }

    private void openLink(String from, String to, int port) {
        links.computeIfAbsent(from + ">" + to, name -> new CopyOnWriteArrayList<>()).add(Link.open(linkLoops.next(),
                Addresses.socket(addresses.linkAddress(index(from), index(to)), port),
                Addresses.socket(addresses.processAddress(index(to)), port), this::randomUnit));
    }

    private double randomUnit() {
        synchronized (linkDice) {
            return linkDice.unit();
        }
    }

    /** Starts all processes, and waits until the servers that others depend on are ready. */
    void start() throws IOException, InterruptedException {
        startRegistry();
        for (String name : FaultSchedule.matching(names, "host-*")) {
            discovery.update(name, name.split("-")[1], IN_SERVICE, 0);
            startProcess(name, hostCommand(name, false), Map.of());
        }
        for (String name : FaultSchedule.matching(names, "host-*")) {
            await(name + " to listen", () -> hasLogged(name, "listening on"));
        }
        for (String name : FaultSchedule.matching(names, "agent-*")) {
            List<String> command = new ArrayList<>(List.of(folder.resolve(name).resolve("data").toString(),
                    address(name)));
            replicas().forEach(replica -> command.add(linkedAddress(name, replica)));
            startInstrumented(name, "agent", command, "-Djdk.net.hosts.file=" + hostsFile(name, replicas()));
        }
        for (String name : FaultSchedule.matching(names, "agent-*")) {
            await(name + " to have a list", () -> hasLogged(name, " list "));
        }
        for (String name : FaultSchedule.matching(names, "gateway-*")) {
            startGateway(name);
        }
        startMembers();
        for (String name : FaultSchedule.matching(names, "conductor-*")) {
            List<String> command = new ArrayList<>(List.of(name, Long.toString(plan.duties().termMillis())));
            command.addAll(replicaAddressesFor(name));
            startInstrumented(name, "duty", command);
        }
    }

    /** Writes a hosts file for the process, in which each other's name resolves to this process's own link to it. */
    private Path hostsFile(String name, List<String> others) throws IOException {
        StringBuilder entries = new StringBuilder();
        for (String other : others) {
            entries.append(other.equals(name) ? addresses.processAddress(index(name))
                    : linkedAddress(name, other).split(":")[0]).append(' ').append(other).append('\n');
        }
        Files.createDirectories(folder.resolve(name));
        return Files.writeString(folder.resolve(name).resolve("hosts"), entries, StandardCharsets.UTF_8);
    }

    /** Members reach each other by name, as replicas do: a view has only one address for each member. */
    private void startMembers() throws IOException, InterruptedException {
        List<String> members = FaultSchedule.matching(names, "member-*");
        if (members.isEmpty()) {
            return;
        }
        for (String name : members) {
            List<String> others = new ArrayList<>(members);
            others.addAll(replicas());
            List<String> command = new ArrayList<>(List.of(name, name.split("-")[1], folder.resolve(name)
                    .resolve("data").toString(), address(name), name + ":" + port(name)));
            command.addAll(replicaAddressesFor(name));
            startInstrumented(name, "member", command, "-Djdk.net.hosts.file=" + hostsFile(name, others));
        }
        await("all members to be in one view", () -> getFromAnyReplica("/v1/members").get("members")
                instanceof List<?> present && present.size() == members.size());
    }

    /** Orders a rolling restart: the conductor takes each gateway out of service and back, one after the other. */
    void requestRoll() throws InterruptedException {
        List<Map<String, Object>> gateways = new ArrayList<>();
        for (String name : FaultSchedule.matching(names, "gateway-*")) {
            gateways.add(Map.of("name", name, "admin", address(adminName(name)), "zone", "one"));
        }
        Map<String, Object> plan = Map.of("keep", 0.5, "settle", 0, "gateways", gateways);
        String order = Json.encode(Map.of("order", Map.of("id", "the-roll", "what", "start", "plan", plan)));
        await("the roll to be ordered", () -> replicas().stream().anyMatch(replica -> {
            try {
                callReplica(replica, "POST", "/v1/duties/roll/order", order);
                return true;
            } catch (IOException | IllegalArgumentException e) {
                return false;
            }
        }));
    }

    /** The phase of the rolling restart; null if no replica answers with one. */
    String rollPhase() {
        return dutyState("roll").get("state") instanceof Map<?, ?> state ? String.valueOf(state.get("phase")) : null;
    }

    /** The state of a duty; an empty map if no replica answers. */
    Map<String, Object> dutyState(String name) {
        return getFromAnyReplica("/v1/duties/" + name);
    }

    /** The answer to a GET of the path from the first replica that answers; an empty map if none does. */
    Map<String, Object> getFromAnyReplica(String path) {
        for (String replica : replicas()) {
            try {
                return callReplica(replica, "GET", path, "");
            } catch (IOException | IllegalArgumentException e) {
                continue;
            }
        }
        return Map.of();
    }

    /** Records which gateways report standby at their admin addresses, every 20 ms until the test bed is closed. */
    void startStandbyMonitor() {
        List<String> gateways = FaultSchedule.matching(names, "gateway-*");
        Thread thread = new Thread(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                for (String name : gateways) {
                    try {
                        HttpURLConnection call = (HttpURLConnection) URI.create("http://" + address(adminName(name))
                                + "/status").toURL().openConnection();
                        call.setConnectTimeout(300);
                        call.setReadTimeout(300);
                        if (call.getResponseCode() == 503) {
                            String status = new String(call.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
                            long now = History.now();
                            if (status.startsWith("standby")) {
                                history.add(now, now, name, "standby", Map.of());
                            }
                        }
                    } catch (IOException e) {
                        continue;  // frozen or stopped
                    }
                }
                try {
                    Thread.sleep(20);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        backgroundThreads.add(thread);
    }

    private List<String> replicas() {
        return FaultSchedule.matching(names, "registry-*");
    }

    /** The address at which the caller reaches each replica. */
    List<String> replicaAddressesFor(String caller) {
        return replicas().stream().map(replica -> linkedAddress(caller, replica)).toList();
    }

    /** Replicas reach each other by name, which each resolves to its own links: the Raft log has one address
        for each. */
    private void startRegistry() throws IOException, InterruptedException {
        int raftPort = replicas().isEmpty() ? 0 : Addresses.freePort(addresses.processAddress(index("registry-1")));
        for (String name : replicas()) {
            Path hostsFile = hostsFile(name, replicas());  // opens the links for calls, before those for Raft below
            List<String> command = new ArrayList<>(List.of(name, folder.resolve(name).resolve("data").toString(),
                    address(name), addresses.processAddress(index(name)) + ":" + raftPort));
            for (String other : replicas()) {
                boolean self = other.equals(name);
                command.add(other + "=" + other + ":" + raftPort + "/" + other + ":" + port(other));
                if (!self && plan.usesLinks()) {
                    openLink(name, other, raftPort);
                }
            }
            startInstrumented(name, "registry", command, "-Djdk.net.hosts.file=" + hostsFile);
        }
        for (String name : replicas()) {
            await(name + " to take part", () -> hasLogged(name, "takes-part"));
        }
        if (!replicas().isEmpty()) {
            await("a leader", () -> leader() != null);
            for (String host : FaultSchedule.matching(names, "host-*")) {
                register(host, IN_SERVICE, 0);
            }
        }
    }

    private void startInstrumented(String name, String kind, List<String> arguments, String... flags) {
        List<String> allArguments = new ArrayList<>(List.of(hooksFile(name).toString(),
                BrokenVariants.forProcess(kind, options.variant()), kind));
        allArguments.addAll(arguments);
        List<String> command = java("-Xmx160m", InstrumentedProcess.class.getName(),
                allArguments.toArray(String[]::new));
        command.addAll(1, List.of(flags));
        startProcess(name, command, Map.of());
    }

    private Path hooksFile(String name) {
        return folder.resolve(name).resolve("hooks.txt");
    }

    /** Sets the fault of the process's clock or disk; an empty line ends it. */
    void setHook(String name, String line) {
        try {
            Files.writeString(hooksFile(name), line, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The leader that the first replica with an answer names; null if none names one. */
    String leader() {
        for (String name : replicas()) {
            if (!processes.get(name).isAlive()) {
                continue;
            }
            try {
                Object leader = callReplica(name, "GET", "/v1/registry", "").get("leader");
                if (leader != null) {
                    return leader.toString();
                }
            } catch (IOException | IllegalArgumentException e) {
                continue;  // the next replica may know
            }
        }
        return null;
    }

    /** Calls a replica at its own address, past all links and so past their faults. */
    private Map<String, Object> callReplica(String replica, String method, String path,
            String body) throws IOException {
        return callAddress(address(replica), method, path, body);
    }

    private static Map<String, Object> callAddress(String address, String method, String path,
            String body) throws IOException {
        HttpURLConnection call = (HttpURLConnection) URI.create("http://" + address + path).toURL().openConnection();
        call.setConnectTimeout(1000);
        call.setReadTimeout(4000);
        call.setRequestMethod(method);
        if (!body.isEmpty()) {
            call.setDoOutput(true);
            call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
        }
        try (java.io.InputStream in = call.getInputStream()) {
            return Json.parse(in.readAllBytes());
        }
    }

    private void register(String host, String state, long bootMs) throws InterruptedException {
        Map<String, Object> entry = DiscoveryServer.target(host, address(host), host.split("-")[1], state, bootMs);
        entry.put("lease_ms", plan.hosts().leaseMillis());
        boolean terminated = state.equals("terminated");
        await(host + " to be registered", () -> {
            for (String replica : replicas()) {
                try {
                    callReplica(replica, terminated ? "DELETE" : "PUT", "/v1/entries/" + host
                            + (terminated ? "?now=1" : ""), terminated ? "" : Json.encode(entry));
                    return true;
                } catch (java.io.FileNotFoundException e) {
                    return terminated;  // a DELETE of an entry that does not exist
                } catch (IOException | IllegalArgumentException e) {
                    continue;
                }
            }
            return false;
        });
    }

    private List<String> hostCommand(String name, boolean startsCold) {
        RigPlan.Hosts hosts = plan.hosts();
        return java("-Xmx48m", StandInHost.class.getName(), name, address(name), Integer.toString(hosts.cores()),
                Double.toString(hosts.workMillis().from()), Double.toString(hosts.workMillis().to()),
                Long.toString(seed * 1000 + index(name)), Boolean.toString(startsCold),
                folder.resolve(name + ".events.jsonl").toString());
    }

    /** The command of a main class from the rig's own class path, with virtual machine options for a small
        footprint. */
    private static List<String> java(String heapFlag, String mainClass, String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), heapFlag, "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-XX:-UsePerfData", "-cp",
                System.getProperty("java.class.path"), mainClass));
        command.addAll(List.of(arguments));
        return command;
    }

    private ManagedProcess startProcess(String name, List<String> command, Map<String, String> environment) {
        ManagedProcess process = new ManagedProcess(new ManagedProcess.Spec(name, command, environment,
                folder.resolve(name), root), reaper);
        processes.put(name, process);
        process.start();
        return process;
    }

    private void startGateway(String name) throws IOException {
        String discoveryName = discoveryName(name);
        discovery.serve(name, Addresses.socket(addresses.processAddress(index(discoveryName)), port(discoveryName)));
        Path config = folder.resolve(name + ".json");
        String discoveryAddress = plan.gateways().usesAgents() ? linkedAddress(name, name.replace("gateway", "agent"))
                : linkedAddress(name, discoveryName);
        Files.writeString(config, Json.encode(config(name, discoveryAddress)), StandardCharsets.UTF_8);
        Path temporaryFolder = folder.resolve(name).resolve("data");
        List<String> command = options.deployed() ? List.of("/bin/sh", "-c", deployCommand())
                : java("-Xmx64m", "mastdrift.net.Main");
        Map<String, String> environment = new LinkedHashMap<>(Map.of("NODE_CONFIG", config.toString(), "NODE_NAME",
                name, "NODE_LISTEN", address(name), "TMPDIR", temporaryFolder.toString()));
        if (plan.faults().stream().anyMatch(spec -> spec.kind() == Fault.Kind.SYSTEM_CALL)) {
            environment.putAll(systemCalls.environment(name));
        }
        startProcess(name, command, environment);
    }

    /** The {@code run} command of the deploy file. */
    private String deployCommand() throws IOException {
        Object run = org.tomlj.Toml.parse(root.resolve("deploy/balancer.toml")).get("run");
        return run.toString();
    }

    private Map<String, Object> config(String name, String discoveryAddress) throws IOException {
        Map<String, Object> config = new LinkedHashMap<>(JSON.std.mapFrom(
                Files.readAllBytes(root.resolve("deploy/rehearsal.json"))));
        int number = Integer.parseInt(name.split("-")[1]) - 1;
        @SuppressWarnings("unchecked")
        Map<String, Object> settings = new LinkedHashMap<>((Map<String, Object>) config.get("settings"));
        settings.put("dcs", plan.hosts().zones());
        settings.put("locality", zone(plan, number));
        settings.put("balancers", plan.gateways().count());
        settings.put("me", number);
        settings.put("skus", List.of("std"));
        settings.put("weights", "off");
        if (options.variant().equals(BrokenVariants.REPEATS_ANYWHERE)) {
            settings.put("classes", ((List<?>) settings.get("classes")).stream().map(each -> {
                Map<Object, Object> type = new LinkedHashMap<>((Map<?, ?>) each);
                type.put("group", "all");
                return type;
            }).toList());
        }
        settings.put("classes", withDeadline((List<?>) settings.get("classes"), plan.load().deadlineMillis(seed)));
        config.put("settings", settings);
        config.put("name", name);
        config.put("listen", address(name));
        config.put("discovery", discoveryAddress);
        config.remove("admin");
        if (plan.duties().candidates() > 0) {
            config.put("admin", address(adminName(name)));
        }
        config.put("seed", String.format("%016x", seed * 1000 + number));
        config.put("limits", Map.of("cores", 1.0, "memory_mb", 192, "sockets", 1024));
        config.put("known", discovery.fullList(name));
        return config;
    }

    /** The request classes with that deadline, their latency targets reduced to it where they are longer. */
    private static List<?> withDeadline(List<?> classes, int deadlineMillis) {
        return classes.stream().map(each -> {
            Map<Object, Object> type = new LinkedHashMap<>((Map<?, ?>) each);
            type.put("deadline", deadlineMillis * 1000);
            type.put("target", Math.min(((Number) type.get("target")).intValue(), deadlineMillis * 1000));
            return type;
        }).toList();
    }

    private boolean hasLogged(String name, String text) {
        return readOrEmpty(processes.get(name).spec().log()).contains(text);
    }

    /** Waits for the condition. Throws IllegalStateException if it does not hold within a minute, or if a process has
        ended that no fault has stopped. */
    private void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            processes.values().stream().filter(process -> !process.isAlive() && !expectedDown.contains(process.name()))
                    .findAny().ifPresent(process -> {
                        throw new IllegalStateException(process.name() + " exited with status " + process.exitStatus()
                                + " while waiting for " + description + ", see " + process.spec().log());
                    });
            if (System.nanoTime() > deadline) {
                throw new IllegalStateException("timed out waiting for " + description);
            }
            Thread.sleep(10);
        }
    }

    /** Lists a host as terminated, as the platform does some time after a host has died. */
    void removeFromLists(String host) {
        updateLists(host, "terminated", 0);
    }

    /** Updates the host's entry in the platform's discovery server, and in our list service if the plan has one. */
    private void updateLists(String host, String state, long bootMs) {
        discovery.update(host, host.split("-")[1], state, bootMs);
        if (!replicas().isEmpty()) {
            try {
                register(host, state, bootMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    void drain(String host) {
        updateLists(host, "terminating", 0);
        processes.get(host).writeLine("drain");
    }

    /** Starts the process again. A host gets a new process that is cold, and the lists are told of its start time. */
    void restart(String name) {
        if (!name.startsWith("host-")) {
            processes.get(name).start();
            return;
        }
        ManagedProcess previous = processes.get(name);
        ManagedProcess replacement = new ManagedProcess(new ManagedProcess.Spec(name, hostCommand(name, true),
                Map.of(), folder.resolve(name), root), reaper);
        processes.put(name, replacement);
        long linesBefore = countLines(previous.spec().log());
        replacement.start();
        try {
            await(name + " to listen", () -> countLines(replacement.spec().log()) > linesBefore
                    && hasLogged(name, "listening on"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        updateLists(name, IN_SERVICE, System.currentTimeMillis());
    }

    private static long countLines(Path file) {
        return readOrEmpty(file).lines().count();
    }

    private static String readOrEmpty(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file, StandardCharsets.UTF_8) : "";
        } catch (IOException e) {
            return "";
        }
    }

    /** Starts a thread for each host that renews its lease with the list service, through the host's own links, while
        the host is running. */
    void startLeaseRenewals() {
        long intervalMillis = plan.hosts().leaseMillis() / 3;
        if (intervalMillis == 0 || replicas().isEmpty()) {
            return;
        }
        for (String host : FaultSchedule.matching(names, "host-*")) {
            List<String> replicaAddresses = replicaAddressesFor(host);
            Thread thread = new Thread(() -> {
                for (int turn = 0; !Thread.currentThread().isInterrupted(); turn++) {
                    try {
                        if (processes.get(host).isRunning()) {
                            callAddress(replicaAddresses.get(turn % replicaAddresses.size()), "POST", "/v1/renew",
                                    Json.encode(Map.of("uids", List.of(host))));
                        }
                        Thread.sleep(intervalMillis);
                    } catch (IOException | IllegalArgumentException e) {
                        continue;  // tries the next replica at once
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
            thread.setDaemon(true);
            thread.start();
            backgroundThreads.add(thread);
        }
    }

    /** Adds to the history the hosts' events, and what the logs of replicas and members say of duties and views. */
    void collectEvents() {
        Pattern grantedPattern = Pattern.compile("duty-granted (\\S+) to (\\S+) token (\\d+)");
        Pattern stepPattern = Pattern.compile("duty-step (\\S+) (.+) by (\\S+) token (\\d+)");
        for (String name : replicas()) {
            long order = 0;
            for (String line : readOrEmpty(processes.get(name).spec().log()).lines().toList()) {
                Matcher grantMatcher = grantedPattern.matcher(line);
                Matcher stepMatcher = stepPattern.matcher(line);
                // A log has the commands in their order; a replica that is restarted writes them once more.
                if (grantMatcher.find()) {
                    history.add(order, order++, grantMatcher.group(2), "granted",
                            Map.of("lease", grantMatcher.group(1) + "@" + name, "token",
                            Long.parseLong(grantMatcher.group(3))));
                } else if (stepMatcher.find()) {
                    history.add(order, order++, stepMatcher.group(3), "recorded",
                            Map.of("lease", stepMatcher.group(1), "step", stepMatcher.group(2),
                            "token", Long.parseLong(stepMatcher.group(4)), "replica", name));
                }
            }
        }
        Pattern viewPattern = Pattern.compile("view (\\d+) at (\\d+) of (\\S+)");
        for (String name : FaultSchedule.matching(names, "member-*")) {
            for (String line : readOrEmpty(processes.get(name).spec().log()).lines().toList()) {
                Matcher viewMatcher = viewPattern.matcher(line);
                if (viewMatcher.find()) {
                    long at = Long.parseLong(viewMatcher.group(2));
                    history.add(at, at, name, "view", Map.of("number", Long.parseLong(viewMatcher.group(1)), "members",
                            List.of(viewMatcher.group(3).split(","))));
                }
            }
        }
        for (String name : FaultSchedule.matching(names, "host-*")) {
            history.addAll(folder.resolve(name + ".events.jsonl"));
        }
    }

    /** Whether the list service's view has exactly the running members, and all of them have logged it. */
    boolean viewMatchesRunningMembers() {
        Map<String, Object> membership = getFromAnyReplica("/v1/members");
        Set<String> present = new java.util.TreeSet<>();
        if (membership.get("members") instanceof List<?> all) {
            all.forEach(each -> present.add(((Map<?, ?>) each).get("name").toString()));
        }
        List<String> running = FaultSchedule.matching(names, "member-*").stream()
                .filter(name -> processes.get(name).isRunning()).toList();
        return present.equals(Set.copyOf(running))
                && running.stream().allMatch(name -> hasLogged(name, "view " + membership.get("view") + " at "));
    }

    /** Records the running processes, for the checkers that compare them with the last view. */
    void recordAlive() {
        long now = History.now();
        history.add(now, now, "rig", "alive", Map.of("names", processes.values().stream()
                .filter(ManagedProcess::isRunning).map(ManagedProcess::name).toList()));
    }

    /** Stops all processes, gateways by SIGTERM; returns a message for each process that had ended without a fault. */
    List<String> stopAll() {
        List<String> crashed = new ArrayList<>();
        for (ManagedProcess process : processes.values()) {
            if (!process.isAlive() && !expectedDown.contains(process.name())) {
                crashed.add(process.name() + " exited unexpectedly with status " + process.exitStatus() + ", see "
                        + process.spec().log().getFileName());
            }
        }
        processes.values().stream().filter(process -> process.name().startsWith("gateway-")).forEach(process -> {
            process.resume();
            process.terminateAndWait();
        });
        processes.values().forEach(ManagedProcess::kill);
        return crashed;
    }

    /** Notes that a fault has stopped the process, or that it is running again, so that its end is no crash. */
    void setExpectedDown(String name, boolean down) {
        if (down) {
            expectedDown.add(name);
        } else {
            expectedDown.remove(name);
        }
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        if (Thread.currentThread() != shutdownHook) {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        }
        backgroundThreads.forEach(Thread::interrupt);
        processes.values().forEach(ManagedProcess::kill);
        discovery.close();
        links.values().forEach(each -> each.forEach(Link::close));
        reaper.close();
        linkLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        discoveryLoop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        loadLoop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
