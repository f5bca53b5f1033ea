package mastdrift.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/** Measures the CPU time and memory of a test bed's processes. */
final class Costs {

    private final Stage stage;
    private final long began = History.now();
    private final Map<String, Duration> before = new TreeMap<>();

    private Costs(Stage stage) {
        this.stage = stage;
        stage.programs().forEach((name, program) -> before.put(name, program.cpu()));
    }

    static Costs begin(Stage stage) {
        return new Costs(stage);
    }

    /** The average number of cores that the busiest process has used since the start. */
    double cores() {
        double most = 0;
        for (Map.Entry<String, Duration> each : before.entrySet()) {
            most = Math.max(most, stage.programs().get(each.getKey()).cpu().minus(each.getValue()).toNanos() / 1000.0);
        }
        return Math.round(1000 * most / (History.now() - began)) / 1000.0;
    }

    /** The resident memory of the largest process, in megabytes. */
    static long megabytes(Stage stage) throws IOException {
        long most = 0;
        for (Program program : stage.programs().values()) {
            if (program.alive()) {
                for (String line : Files.readAllLines(Path.of("/proc", Long.toString(program.pid()), "status"))) {
                    most = line.startsWith("VmRSS:") ? Math.max(most, Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024) : most;
                }
            }
        }
        return most;
    }
}
