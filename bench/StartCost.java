import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What a start costs: CPU time and time until GET /status says yes, and memory then, of two built versions run in turn.
 *
 *     java bench/StartCost.java FOLDER_A FOLDER_B [STARTS] [CPU]
 *
 * Each folder holds a version on which its deploy file's build was run. Every start is on one core (CPU, by default the last
 * one), which a busy loop shares, so that the process gets half of it. Prints the medians and B as a part of A; seconds and
 * MiB. CPU times are the kernel's, from /proc, in steps of 10 ms.
 */
public final class StartCost {

    private static final int PATIENCE_SECONDS = 60;
    private static final double TICKS_PER_SECOND = 100;  // what Linux shows in /proc, on every machine in use

    private record Cost(double cpu, double wall, double memory) { }

    private StartCost() { }

    public static void main(String[] args) throws Exception {
        if (args.length < 2 || args.length > 4) {
            System.err.println("usage: java bench/StartCost.java FOLDER_A FOLDER_B [STARTS] [CPU]");
            System.exit(2);
        }
        int starts = args.length > 2 ? Integer.parseInt(args[2]) : 10;
        int cpu = args.length > 3 ? Integer.parseInt(args[3]) : Runtime.getRuntime().availableProcessors() - 1;
        List<Path> builds = List.of(Path.of(args[0]), Path.of(args[1]));
        List<List<Cost>> costs = List.of(new ArrayList<>(), new ArrayList<>());
        Process busy = new ProcessBuilder("taskset", "-c", "" + cpu, "/bin/sh", "-c", "while :; do :; done").start();
        try {
            for (int i = 0; i < starts; i++) {
                for (int build = 0; build < 2; build++) {
                    costs.get(build).add(start(builds.get(build), cpu));
                }
            }
        } finally {
            busy.destroyForcibly();
        }
        for (int build = 0; build < 2; build++) {
            System.out.printf(Locale.ROOT, "%s  cpu %.2f s  until yes %.2f s  memory %.0f MiB   (medians of %d)%n",
                    build == 0 ? "A" : "B", median(costs.get(build), Cost::cpu), median(costs.get(build), Cost::wall),
                    median(costs.get(build), Cost::memory), starts);
        }
        System.out.printf(Locale.ROOT, "B of A: cpu %.3f  until yes %.3f  memory %.3f%n", ratio(costs, Cost::cpu),
                ratio(costs, Cost::wall), ratio(costs, Cost::memory));
    }

    private interface Figure {
        double of(Cost cost);
    }

    private static double median(List<Cost> costs, Figure figure) {
        double[] values = costs.stream().mapToDouble(figure::of).sorted().toArray();
        int half = values.length / 2;
        return values.length % 2 == 1 ? values[half] : (values[half - 1] + values[half]) / 2;
    }

    private static double ratio(List<List<Cost>> costs, Figure figure) {
        return median(costs.get(1), figure) / median(costs.get(0), figure);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static Cost start(Path build, int cpu) throws Exception {
        String run = Files.readAllLines(build.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).replace("\\\"", "\"");
        Path folder = Files.createTempDirectory("start");
        int admin = freePort();
        try {
            ProcessBuilder builder = new ProcessBuilder("taskset", "-c", "" + cpu, "/bin/sh", "-c", command)
                    .directory(build.toFile()).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD);
            builder.environment().putAll(Map.of("TMPDIR", folder.toString(), "NODE_CONFIG",
                    build.resolve("deploy/rehearsal.json").toAbsolutePath().toString(), "NODE_LISTEN", "127.0.0.1:0",
                    "NODE_DISCOVERY", "127.0.0.1:9", "NODE_ADMIN", "127.0.0.1:" + admin));
            long begun = System.nanoTime();
            Process process = builder.start();
            try {
                while (!ready(admin)) {
                    if (!process.isAlive() || System.nanoTime() - begun > PATIENCE_SECONDS * 1e9) {
                        throw new IllegalStateException(build + " did not start");
                    }
                    Thread.sleep(50);  // each call costs the process something
                }
                double wall = (System.nanoTime() - begun) / 1e9;
                String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
                String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
                double used = (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_PER_SECOND;
                double memory = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                        .filter(line -> line.startsWith("VmRSS")).map(line -> line.replaceAll("\\D", ""))
                        .mapToDouble(Double::parseDouble).findFirst().orElse(Double.NaN) / 1024;
                return new Cost(used, wall, memory);
            } finally {
                process.destroyForcibly().waitFor();
            }
        } finally {
            try (Stream<Path> left = Files.walk(folder)) {
                for (Path each : left.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(each);
                }
            }
        }
    }

    private static boolean ready(int admin) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), admin), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /status HTTP/1.1\r\nHost: s\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            byte[] head = in.readNBytes(12);
            return Arrays.equals(head, "HTTP/1.1 200".getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            return false;
        }
    }
}
