package mastdrift.rig;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Looks for a line in growing log files; each call reads only what was added since the one before. */
final class LogWatcher {

    private final Pattern pattern;
    private final Map<Path, Long> offsets = new HashMap<>();

    /** Lines that are in the logs already are skipped. */
    LogWatcher(String expression, List<Path> logs) {
        pattern = Pattern.compile(expression);
        logs.forEach(log -> offsets.put(log, size(log)));
    }

    private static long size(Path log) {
        try {
            return Files.exists(log) ? Files.size(log) : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Whether a line that matches has been added since the last call. */
    boolean matched() {
        for (Map.Entry<Path, Long> each : offsets.entrySet()) {
            if (size(each.getKey()) <= each.getValue()) {
                continue;
            }
            try (RandomAccessFile log = new RandomAccessFile(each.getKey().toFile(), "r")) {
                log.seek(each.getValue());
                byte[] added = new byte[(int) (log.length() - each.getValue())];
                log.readFully(added);
                String text = new String(added, StandardCharsets.UTF_8);
                int completeLength = text.lastIndexOf('\n') + 1;
                each.setValue(each.getValue() + text.substring(0, completeLength)
                        .getBytes(StandardCharsets.UTF_8).length);
                if (text.substring(0, completeLength).lines().anyMatch(line -> pattern.matcher(line).find())) {
                    return true;
                }
            } catch (IOException e) {
                return false;  // the log was deleted with its folder
            }
        }
        return false;
    }
}
