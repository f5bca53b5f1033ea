package mastdrift.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/** Measures the CPU time and memory of a test bed's processes. */
final class ResourceUsage {

    private final TestBed testBed;
    private final long startedAt = History.now();
    private final Map<String, Duration> cpuBefore = new TreeMap<>();

    private ResourceUsage(TestBed testBed) {
        this.testBed = testBed;
        testBed.processes().forEach((name, process) -> cpuBefore.put(name, process.cpuTime()));
    }

    static ResourceUsage start(TestBed testBed) {
        return new ResourceUsage(testBed);
    }

    /** The average number of cores that the busiest process has used since the start. */
    double busiestCores() {
        double highest = 0;
        for (Map.Entry<String, Duration> each : cpuBefore.entrySet()) {
            highest = Math.max(highest, testBed.processes().get(each.getKey()).cpuTime().minus(each.getValue())
                    .toNanos() / 1000.0);
        }
        return Math.round(1000 * highest / (History.now() - startedAt)) / 1000.0;
    }

    /** The resident memory of the largest process, in megabytes. */
    static long maxResidentMegabytes(TestBed testBed) throws IOException {
        long highest = 0;
        for (ManagedProcess process : testBed.processes().values()) {
            if (process.isAlive()) {
                for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
                    highest = line.startsWith("VmRSS:") ? Math.max(highest,
                            Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024) : highest;
                }
            }
        }
        return highest;
    }
}
