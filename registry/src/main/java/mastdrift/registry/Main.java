package mastdrift.registry;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Command line with the list service's commands only; the springspar command includes them too. */
@Command(name = "registry", subcommands = {RegistryCommands.Registry.class, RegistryCommands.StartAgent.class,
        RegistryCommands.Endpoints.class,
        DutyCommands.Duty.class, DutyCommands.RollCommand.class, ZoneCommands.Zone.class, MemberCommands.Members.class})
public final class Main {

    private Main() { }

    /** Configures logging: one line per event on standard output, with libraries logging from warnings on. */
    public static void configureLogging() {
        System.setProperty("org.slf4j.simpleLogger.logFile", "System.out");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "warn");
        System.setProperty("org.slf4j.simpleLogger.log.mastdrift", "info");
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
        System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    }

    /** Makes an uncaught exception end the process: a replica that lost a thread would accept requests without
        working. */
    public static void exitOnUncaughtException() {
        Thread.setDefaultUncaughtExceptionHandler((thread, fault) -> {
            System.err.println("uncaught exception in thread " + thread.getName());
            fault.printStackTrace();
            Runtime.getRuntime().halt(70);
        });
    }

    /** Runs a command and exits with its status. */
    public static void main(String[] args) {
        configureLogging();
        exitOnUncaughtException();
        System.exit(run(args, new PrintWriter(System.out, true, StandardCharsets.UTF_8),
                new PrintWriter(System.err, true, StandardCharsets.UTF_8)));
    }

    static int run(String[] args, PrintWriter out, PrintWriter err) {
        return new CommandLine(new Main()).setOut(out).setErr(err).execute(args);
    }
}
