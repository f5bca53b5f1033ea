package mastdrift.registry;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The list service's commands alone; the springspar command has them too. */
@Command(name = "registry", subcommands = {Commands.Registry.class, Commands.StartAgent.class, Commands.Endpoints.class,
        DutyCommands.Duty.class, DutyCommands.RollCommand.class, ZoneCommands.Zone.class, MemberCommands.Members.class})
public final class Main {

    private Main() { }

    /** Says what our own processes log, and where: one line an event on standard output, libraries' from warnings on. */
    public static void logToOutput() {
        System.setProperty("org.slf4j.simpleLogger.logFile", "System.out");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "warn");
        System.setProperty("org.slf4j.simpleLogger.log.mastdrift", "info");
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
        System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    }

    /** A fault that nobody caught ends the process: half a replica answers calls and takes part in nothing. */
    public static void endOnFaults() {
        Thread.setDefaultUncaughtExceptionHandler((thread, fault) -> {
            System.err.println("ends by a fault in " + thread.getName());
            fault.printStackTrace();
            Runtime.getRuntime().halt(70);
        });
    }

    /** Runs and exits with the status. */
    public static void main(String[] args) {
        logToOutput();
        endOnFaults();
        System.exit(run(args, new PrintWriter(System.out, true, StandardCharsets.UTF_8),
                new PrintWriter(System.err, true, StandardCharsets.UTF_8)));
    }

    static int run(String[] args, PrintWriter out, PrintWriter err) {
        return new CommandLine(new Main()).setOut(out).setErr(err).execute(args);
    }
}
