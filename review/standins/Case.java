import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What the cases share: a small deployment of one gateway and nine hosts in three zones, and the exit status. */
abstract class Case {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final int TIME_LIMIT_SECONDS = 110;
    private static final String[] ZONES = {"caxias", "passo-fundo", "blumenau"};
    private static final int HOSTS_PER_ZONE = 3;

    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    Gateway gateway;
    final List<Host> hosts = new ArrayList<>();

    /** How the hosts of the case behave. */
    abstract Host.Behaviour behaviour();

    /** Starts the gateway, with a discovery that lists all hosts, and waits until it is ready. */
    void startGateway(Path folder) throws Exception {
        Discovery discovery = new Discovery(hosts);
        gateway = new Gateway(folder, Gateway.freePort(), discovery.address(), discovery.list());
        gateway.awaitReady(record);
    }

    /** Ends the processes that the case has started beside the gateway. */
    void endOthers() { }

    /** Plays the case against the gateway, which is ready; returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Runs the case with its record in {@code folder}, and exits with its status. */
    final void run(String folder) {
        Threads.start(() -> {
            TimeUnit.SECONDS.sleep(TIME_LIMIT_SECONDS);
            System.err.println("the case did not end in time");
            System.exit(COULD_NOT_RUN);
        });
        int status = COULD_NOT_RUN;
        try {
            record = new Record(Path.of(folder, "record.txt"));
            record.add(trouble ? "with the disruption" : "without the disruption");
            Path temporary = Files.createTempDirectory("review");
            for (int i = 0; i < ZONES.length * HOSTS_PER_ZONE; i++) {
                hosts.add(new Host("s-" + i, ZONES[i % ZONES.length], behaviour()));
            }
            startGateway(temporary);
            boolean held = play();
            if (!gateway.isAlive()) {
                record.add("the gateway has ended by itself");
                held = false;
            }
            record.add("result: the rule %s", held ? "held" : "was broken");
            System.out.println("the rule " + (held ? "held" : "was broken") + ": see " + Path.of(folder, "record.txt"));
            status = held ? HELD : BROKEN;
            gateway.kill();
            endOthers();
            delete(temporary);
        } catch (Exception | Error fault) {
            fault.printStackTrace();
        }
        System.exit(status);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
