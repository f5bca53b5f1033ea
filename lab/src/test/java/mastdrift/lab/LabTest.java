package mastdrift.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The commands as a user gives them. */
class LabTest {

    @TempDir
    private Path folder;
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int lab(String... args) {
        return Lab.run(args, new PrintWriter(out, true), new PrintWriter(err, true));
    }

    private String day() throws Exception {
        return Files.writeString(folder.resolve("day.toml"), "name = \"short\"\nseconds = 4\n").toString();
    }

    @Test
    void aRunTellsItsFigureAndWritesItsResults() throws Exception {
        Path results = folder.resolve("results");
        assertEquals(Lab.HELD, lab("run", day(), "--seeds", "1..2", "--threads", "2", "--out", results.toString()));
        assertEquals(2, out.toString().lines().filter(line -> line.startsWith("self ")).count());
        assertTrue(out.toString().contains("over 2"), out.toString());
        assertTrue(err.toString().contains("2 of 2 days played"), err.toString());
        assertEquals(2 * (1 + 4), Files.readAllLines(results).size());
        Path page = folder.resolve("page.html");
        assertEquals(Lab.HELD, lab("report", results.toString(), page.toString()));
        String html = Files.readString(page);
        assertTrue(html.contains("\"event\":\"window\"") && html.contains("uPlot") && !html.contains("/*RESULTS*/"));
        assertTrue(!html.contains("http://") && !html.contains("src="), "the page needs nothing beside it");
    }

    @Test
    void aFigureThatFallsShortIsStatus1() throws Exception {
        assertEquals(Lab.FELL_SHORT, lab("run", day(), "--quiet", "--want", "1.5"));
        assertEquals("", err.toString());
    }

    @Test
    void aBuildComparedWithItselfDiffersByNothing() throws Exception {
        assertEquals(Lab.HELD, lab("compare", day(), "--a", "self", "--seeds", "1,2", "--quiet"));
        assertTrue(out.toString().contains("figure            +0.0000 [+0.0000, +0.0000] over 2"), out.toString());
    }

    @Test
    void aReplayTellsEverySecond() throws Exception {
        assertEquals(Lab.HELD, lab("replay", day(), "7"));
        assertTrue(out.toString().lines().anyMatch(line -> line.startsWith("  3 ")), out.toString());
    }

    @Test
    void aSweepTellsEverySize() throws Exception {
        assertEquals(Lab.HELD, lab("sweep", day(), "--sizes", "2x4,3x6", "--quiet"));
        assertEquals(3, out.toString().lines().count(), out.toString());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "'' | a command is needed", "walk | Unmatched argument", "run | Missing required parameter",
        "run none.toml | none.toml", "run DAY --seeds 8..1 | seeds like", "run DAY --seeds x | seeds like",
        "run DAY --threads 0 | --threads has to be 1 or more", "run DAY --build none | none",
        "sweep DAY --sizes 10 | a size like", "report DAY PAGE | "})
    void misuseIsOnePlainMessageAndStatus2(String line, String expected) throws Exception {
        String[] args = line.isEmpty() ? new String[0]
                : line.replace("DAY", day()).replace("PAGE", folder.resolve("p").toString()).split(" ");
        assertEquals(Lab.MISUSED, lab(args), out + "" + err);
        assertTrue(err.toString().contains(expected == null ? "" : expected), err.toString());
        assertTrue(!err.toString().isEmpty() && !err.toString().contains("\tat "), err.toString());
    }

    @Test
    void aBadDayNamesAllItsFaults() throws Exception {
        Path bad = Files.writeString(folder.resolve("bad.toml"), "seconds = 0\nspeed = 3\n");
        assertEquals(Lab.MISUSED, lab("run", bad.toString()));
        assertEquals(List.of(bad + ":1: seconds: expected 1 to 86400, not 0",
                bad + ":2: speed: unknown key; known here: class, clients, fleet, front, goal, hosts, kind, lists, name, net, "
                + "rules, seconds, tick_ms, traffic, trouble"), err.toString().lines().toList());
    }

    /** Of 1, 2, 3, 4: mean 2.5, standard error 0.6455, Student's t with three degrees of freedom 3.1824. */
    @Test
    void anIntervalIsStudents() {
        Experiment.Mean mean = Experiment.Mean.of(1, 2, 3, 4);
        assertEquals(2.5, mean.mean(), 1e-12);
        assertEquals(3.1824463 * 0.6454972, mean.half(), 1e-6);
        assertEquals(Double.POSITIVE_INFINITY, Experiment.Mean.of(1).half());
    }
}
