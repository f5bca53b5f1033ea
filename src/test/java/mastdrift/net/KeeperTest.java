package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import mastdrift.Memory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What was learned, as bytes and in its file. */
class KeeperTest {

    private static final long NOW = 1_700_000_000_000_000L;

    @TempDir
    private Path folder;
    private final List<String> log = new CopyOnWriteArrayList<>();

    private static Memory memory(int hosts, int samples, int keys) {
        SplittableRandom random = new SplittableRandom(5);
        List<Memory.KnownHost> known = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            known.add(new Memory.KnownHost("host-" + i, i * 1_000_000_007L, random.longs(samples, 0, 10_000_000).toArray(),
                    random.doubles(samples, 0, 9).toArray(), new Memory.Standing(0.7, i % 2 == 0, 0.5, 3.25, 900, i == 1),
                    new Memory.Queue(2, 400, 15_000, Memory.NEVER),
                    new Memory.Warming(Memory.NEVER, 0, 0.5, Memory.NEVER, 1)));
        }
        int[] at = random.ints(keys, 0, Math.max(1, hosts)).toArray();
        return new Memory(known, Map.of("std", new Memory.KnownKind(40, 0.6, 9, 1.5, 2)), Map.of("read", 25_000.0),
                new Memory.Keys(random.longs(keys).toArray(), at, random.longs(keys, 0, 30_000_000).toArray()),
                new Memory.Served(new long[] {5, 900}, new double[] {0.25, 2}, 0.3, true, 0.01, 20, 0.4, 11),
                new Memory.Links(new double[64], new double[64], Memory.NEVER, 0));
    }

    private static Snapshot snapshot(Memory memory) {
        return new Snapshot(77, NOW, "n3", 4711, memory);
    }

    private Keeper keeper(String gateway, long configuration, long started) {
        return new Keeper(folder, gateway, configuration, started, log::add);
    }

    private void write(long started, int hosts) {
        Keeper keeper = keeper("n3", 4711, started);
        keeper.write(memory(hosts, 2, 2), NOW);
        keeper.close(60_000);
    }

    private int hostsRead() {
        return keeper("n3", 4711, 1000).read(NOW).memory().hosts().size();
    }

    @Test
    void whatIsWrittenIsRead() throws IOException {
        Memory before = memory(3, 4, 50);
        Snapshot read = Snapshot.of(snapshot(before).bytes());
        Memory after = read.memory();
        assertEquals(77, read.started());
        assertEquals(NOW, read.at());
        assertEquals(before.kinds(), after.kinds());
        assertEquals(before.usual(), after.usual());
        assertArrayEquals(before.keys().keys(), after.keys().keys());
        assertArrayEquals(before.keys().hosts(), after.keys().hosts());
        assertArrayEquals(before.keys().ages(), after.keys().ages());
        assertArrayEquals(before.served().lateness(), after.served().lateness());
        assertEquals(before.served().pressure(), after.served().pressure());
        for (int i = 0; i < 3; i++) {
            Memory.KnownHost one = before.hosts().get(i);
            Memory.KnownHost other = after.hosts().get(i);
            assertEquals(one.address() + one.born() + one.standing() + one.queue() + one.warming(),
                    other.address() + other.born() + other.standing() + other.queue() + other.warming());
            assertArrayEquals(one.sampleAges(), other.sampleAges());
            assertArrayEquals(one.samples(), other.samples(), 1e-6);
        }
    }

    /** Guards against a gateway that goes by half of what was known, or by what a disk made of it. */
    @Test
    void whatIsCutAnywhereOrChangedInAnyBitIsRefused() throws IOException {
        byte[] whole = snapshot(memory(2, 3, 5)).bytes();
        for (int length = 0; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            assertThrows(IOException.class, () -> Snapshot.of(cut), "cut at " + length);
        }
        for (int bit = 0; bit < 8 * whole.length; bit++) {
            byte[] changed = whole.clone();
            changed[bit / 8] ^= (byte) (1 << bit % 8);
            assertThrows(IOException.class, () -> Snapshot.of(changed), "bit " + bit);
        }
    }

    /** Guards against a file that takes a gateway over its memory limit: what was used last stays. */
    @Test
    void aLongOneKeepsWhatWasUsedLast() throws IOException {
        for (int hosts : new int[] {200, 700, 1200}) {
            Memory before = memory(hosts, 32, 20_000);
            byte[] bytes = snapshot(before).bytes();
            assertTrue(bytes.length <= Snapshot.BYTES_MOST, hosts + " hosts: " + bytes.length);
            Memory after = Snapshot.of(bytes).memory();
            assertEquals(hosts, after.hosts().size());
            int kept = after.keys().keys().length;
            assertTrue(kept > (hosts == 200 ? 5_000 : 0), hosts + " hosts: " + kept + " keys");
            assertArrayEquals(Arrays.copyOf(before.keys().keys(), kept), after.keys().keys());
            Memory.KnownHost last = after.hosts().get(hosts - 1);
            assertArrayEquals(Arrays.copyOf(before.hosts().get(hosts - 1).sampleAges(), last.samples().length),
                    last.sampleAges());
        }
        assertThrows(IOException.class, () -> snapshot(memory(20_000, 0, 0)).bytes());
    }

    /** Guards against knowledge of another gateway, of other settings, or of long ago, and against a start that fails
        where the file is none: each is one line of the log. */
    @Test
    void whatIsOfNoUseIsOneLineAndAStartAsWithoutIt() throws IOException {
        assertNull(keeper("n3", 4711, 2).read(NOW));
        write(1, 3);
        assertNotNull(keeper("n3", 4711, 2).read(NOW + Keeper.AGE_MOST));
        assertNull(keeper("n3", 4711, 2).read(NOW + Keeper.AGE_MOST + 1_000_000));
        assertNull(keeper("n3", 4712, 2).read(NOW));
        try (Stream<Path> files = Files.list(folder)) {
            Files.write(files.toList().get(0), new byte[] {1, 2, 3});
        }
        assertNull(keeper("n3", 4711, 2).read(NOW));
        assertEquals(List.of("no memory taken over: there is none", "memory of 3 hosts and 2 keys taken over, 10000 ms old",
                "no memory taken over: it is 11 s old", "no memory taken over: it was learned under another configuration",
                "no memory taken over: 3 bytes are none"), log);
    }

    /** Guards against names that share a file: a sum over "Aa" and "BB" is the same. */
    @Test
    void anotherGatewaysMemoryIsNotTaken() {
        Keeper one = keeper("Aa", 4711, 1);
        one.write(memory(1, 1, 1), NOW);
        one.close(60_000);
        assertNull(keeper("BB", 4711, 2).read(NOW));
        assertEquals(List.of("no memory taken over: it is another gateway's"), log);
    }

    /** Guards against a writer that is killed midway: the older file stays whole, and what it left goes some day. */
    @Test
    void aKilledWriterLeavesTheOlderFileWhole() throws IOException {
        write(1, 3);
        Path half = folder.resolve("springspar-dead.tmp");
        Files.write(half, new byte[100]);
        assertEquals(3, hostsRead());
        write(2, 4);
        assertTrue(Files.exists(half), "it may be another process's that is still at it");
        Files.setLastModifiedTime(half, FileTime.fromMillis(1));
        write(2, 5);
        assertTrue(!Files.exists(half));
        assertEquals(5, hostsRead());
    }

    /** Guards against an old process that overwrites what its successor has learned since. */
    @Test
    void ofTwoProcessesTheOneThatStartedLaterWrites() {
        write(1, 3);
        write(5, 4);
        write(1, 6);
        assertEquals(4, hostsRead());
        write(5, 7);
        assertEquals(7, hostsRead());
        assertEquals(List.of(), log.stream().filter(line -> !line.startsWith("memory of")).toList());
    }

    /** Guards against a memory that no start finds its own, since each has a seed of its own, or that any start takes. */
    @Test
    void settingsAreToldApartAndSeedsAreNot() throws Exception {
        try (Loopback.Server discovery = Loopback.discovery()) {
            Map<String, String> environment = Loopback.environment(folder, discovery, Loopback.list(1, true), Loopback.SETTINGS);
            long sum = Config.read(environment).settingsSum();
            Path file = Path.of(environment.get("NODE_CONFIG"));
            Files.writeString(file, Files.readString(file).replace("8c1f30d27a5be964", "8c1f30d27a5be965"));
            assertEquals(sum, Config.read(environment).settingsSum());
            Files.writeString(file, Files.readString(file).replace("\"max_attempts\":4", "\"max_attempts\":3"));
            assertTrue(sum != Config.read(environment).settingsSum());
        }
    }

    @Test
    void aFolderThatIsNoneIsOneLine() {
        Keeper keeper = new Keeper(folder.resolve("none"), "n3", 4711, 1, log::add);
        keeper.write(memory(1, 1, 1), NOW);
        keeper.close(60_000);
        assertEquals(1, log.size());
        assertTrue(log.get(0).startsWith("memory not kept: "), log.get(0));
    }
}
