package mastdrift.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mastdrift.common.Clock;
import mastdrift.common.Json;
import mastdrift.common.TomlFile;
import org.junit.jupiter.api.Test;

/** Rolling restarts in simulated time with the production state machine, runner and work: candidates are killed, paused
    within a step, partitioned and started again. */
class RollingRestartTest {

    private static final long LEASE_MILLIS = 1000;
    private static final long STEP_MILLIS = 50;

    /** The check that a deliberately broken variant leaves out. */
    private enum DisabledCheck { NONE, FENCING, OWN_LEASE, PROCESS_ID }

    private static final class Gateway {
        private boolean ready = true;
        private int processId;
        private long newestToken;
        private int replacements;
        private double served;
        private double failed;
        private double failureRate;
    }

    /** The simulated service, gateways and candidates, with the violations found. */
    private static final class Simulation {
        private final RegistryState registry = new RegistryState();
        private final Map<String, Gateway> gateways = new LinkedHashMap<>();
        private final List<Candidate> candidates = new ArrayList<>();
        private final Random random;
        private final DisabledCheck disabledCheck;
        private final List<String> violations = new ArrayList<>();
        private long newestEffectToken;
        private long nowMicros;

        Simulation(long seed, DisabledCheck disabledCheck, int count) {
            random = new Random(seed);
            this.disabledCheck = disabledCheck;
            for (int i = 0; i < count; i++) {
                gateways.put("g" + i, new Gateway());
            }
            placeOrder("start", Map.of("plan", plan()));
        }

        Map<String, Object> plan() {
            List<Map<String, Object>> all = new ArrayList<>();
            gateways.keySet().forEach(name -> all.add(Map.of("name", name, "admin", name, "zone",
                    Integer.parseInt(name.substring(1)) % 2 == 0 ? "a" : "b")));
            return Map.of("keep", 0.5, "settle", 0, "replace", "x", "gateways", all);
        }

        void placeOrder(String action, Map<String, Object> fields) {
            Map<String, Object> order = new LinkedHashMap<>(fields);
            order.put("id", "o" + random.nextInt());
            order.put("what", action);
            apply(RegistryState.command("order", "duty", "roll", "order", order));
        }

        RegistryState.CommandResult apply(Map<String, Object> command) {
            return registry.apply(Json.parse(Json.encode(command)));
        }

        Map<String, Object> state() {
            return DutyRunner.stateOf(Json.parse(Json.encode(registry.duty("roll"))));
        }

        /** Advances time; every candidate that is neither dead nor within a step runs once per time step. */
        void advance(long millis) {
            for (long remaining = millis; remaining > 0; remaining -= STEP_MILLIS) {
                nowMicros += STEP_MILLIS * 1000;
                apply(RegistryState.command("tick", "elapsed", STEP_MILLIS));
                gateways.values().forEach(gateway -> {
                    gateway.served += gateway.ready ? 10 * (1 - gateway.failureRate) : 0;
                    gateway.failed += gateway.ready ? 10 * gateway.failureRate : 0;
                });
                for (Candidate candidate : candidates) {
                    if (!candidate.busy && !candidate.dead) {
                        candidate.busy = true;
                        try {
                            candidate.runner.runOnce();
                        } catch (ProcessKilledException e) {
                            candidate.dead = true;
                        } finally {
                            candidate.busy = false;
                        }
                    }
                }
            }
        }

        void applyEffect(Gateway gateway, int process, long token, Runnable effect) throws IOException {
            boolean checksFencing = disabledCheck != DisabledCheck.FENCING;
            if (checksFencing && (token < gateway.newestToken || process != gateway.processId)) {
                throw new DutyWork.LeaseLostException("fenced");
            }
            gateway.newestToken = Math.max(gateway.newestToken, token);
            if (token < newestEffectToken) {
                violations.add("token " + token + " had an effect after token " + newestEffectToken);
            }
            newestEffectToken = Math.max(newestEffectToken, token);
            effect.run();
            long outOfService = gateways.values().stream().filter(each -> !each.ready).count();
            if (outOfService > 1) {
                violations.add(outOfService + " gateways out of service at once");
            }
        }

        boolean isFinished() {
            String phase = String.valueOf(state().get("phase"));
            return (phase.equals("done") || phase.equals("aborted")) && gateways.values().stream()
                    .allMatch(g -> g.ready);
        }
    }

    /** Ends a candidate's process at any point. */
    private static final class ProcessKilledException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private static final class Candidate implements DutyService, RollingRestart.GatewayClient, Clock {
        private final Simulation simulation;
        private final String name;
        private final DutyRunner runner;
        private final double clockRate;
        private boolean busy;
        private boolean dead;
        private boolean partitioned;
        private double faultProbability;  // at each call

        Candidate(Simulation simulation, String name, double clockRate) {
            this.simulation = simulation;
            this.name = name;
            this.clockRate = clockRate;
            runner = new DutyRunner("roll", name, LEASE_MILLIS, this, new RollingRestart(this), this, line -> { });
            simulation.candidates.add(this);
        }

        /** May pause the candidate for long, or kill it, between two operations. */
        private void maybeFault() {
            double draw = simulation.random.nextDouble();
            if (draw < faultProbability / 8) {
                throw new ProcessKilledException();
            } else if (draw < faultProbability) {
                simulation.advance(STEP_MILLIS * (1 + simulation.random.nextInt(60)));
            }
        }

        private Response send(Map<String, Object> command) throws IOException {
            maybeFault();
            if (partitioned) {
                throw new IOException("no answer");
            }
            RegistryState.CommandResult applied = simulation.apply(command);
            maybeFault();
            if (faultProbability > 0 && simulation.random.nextDouble() < faultProbability) {
                throw new IOException("applied, but the response was lost");
            }
            return new Response(applied.status() == 200, Json.parse(Json.encode(applied.answer())));
        }

        @Override
        public Response acquire(String duty, String candidate, long leaseMillis) throws IOException {
            return send(RegistryState.command("acquire", "duty", duty, "who", candidate, "span", leaseMillis));
        }

        @Override
        public Response renew(String duty, String candidate, long token) throws IOException {
            return send(RegistryState.command("hold", "duty", duty, "who", candidate, "token", token));
        }

        @Override
        public Response release(String duty, String candidate, long token) throws IOException {
            return send(RegistryState.command("release", "duty", duty, "who", candidate, "token", token));
        }

        @Override
        public Response record(String duty, String candidate, long token, String step, Map<String, Object> state)
                throws IOException {
            return send(RegistryState.command("record", "duty", duty, "who", candidate, "token", token, "step", step,
                    "state", state));
        }

        @Override
        public Response read(String duty) throws IOException {
            return send(RegistryState.command("read", "what", "duty", "name", duty));
        }

        @Override
        public RollingRestart.GatewayStatus status(String admin) {
            Gateway gateway = simulation.gateways.get(admin);
            return new RollingRestart.GatewayStatus(gateway.ready, Integer.toString(gateway.processId), 0,
                    gateway.served, gateway.failed);
        }

        @Override
        public void standby(String admin, String process, long token) throws IOException {
            maybeFault();
            Gateway gateway = simulation.gateways.get(admin);
            simulation.applyEffect(gateway, Integer.parseInt(process), token, () -> gateway.ready = false);
            maybeFault();
        }

        @Override
        public void active(String admin, String process, long token) throws IOException {
            maybeFault();
            Gateway gateway = simulation.gateways.get(admin);
            simulation.applyEffect(gateway, Integer.parseInt(process), token, () -> gateway.ready = true);
            maybeFault();
        }

        @Override
        public void replace(String name, String process, String command) {
            maybeFault();
            Gateway gateway = simulation.gateways.get(name);
            if (simulation.disabledCheck == DisabledCheck.PROCESS_ID
                    || gateway.processId == Integer.parseInt(process)) {
                gateway.processId++;
                gateway.replacements++;
                gateway.newestToken = 0;
                gateway.served = 0;
                gateway.failed = 0;
                if (gateway.replacements > 1) {
                    simulation.violations.add(name + " was replaced twice");
                }
            }
            maybeFault();
        }

        @Override
        public long monotonicMicros() {
            return simulation.disabledCheck == DisabledCheck.OWN_LEASE ? 1 : (long) (simulation.nowMicros * clockRate);
        }

        @Override
        public long wallMillis() {
            return simulation.nowMicros / 1000;
        }
    }

    /** Runs three candidates with faults for a while, replacing dead ones, and then without faults until the restart
        ends. */
    private static Simulation simulate(long seed, DisabledCheck disabledCheck) {
        Simulation simulation = new Simulation(seed, disabledCheck, 5);
        for (int i = 0; i < 20; i++) {
            for (long alive = simulation.candidates.stream().filter(each -> !each.dead).count(); alive < 3; alive++) {
                int number = simulation.candidates.size();
                new Candidate(simulation, "c" + number, number % 3 == 1 ? 1.05 : number % 3 == 2 ? 0.95
                        : 1).faultProbability = 0.08;
            }
            simulation.candidates.forEach(candidate -> candidate.partitioned = simulation.random.nextInt(5) == 0);
            simulation.advance(1000);
            if (simulation.random.nextInt(6) == 0) {
                simulation.apply(RegistryState.command("reign", "term", i));
            }
        }
        simulation.candidates.forEach(candidate -> {
            candidate.partitioned = false;
            candidate.faultProbability = 0;
        });
        new Candidate(simulation, "last", 1);
        for (int i = 0; i < 60 && !simulation.isFinished(); i++) {
            simulation.advance(1000);
        }
        return simulation;
    }

    @Test
    void noEffectsOverlapNothingIsReplacedTwiceAndEveryRestartEnds() {
        int seeds = Integer.getInteger("roll.seeds", 60);
        for (long seed = 0; seed < seeds; seed++) {
            Simulation simulation = simulate(seed, DisabledCheck.NONE);
            long failedSeed = seed;
            assertEquals(List.of(), simulation.violations, () -> "seed " + failedSeed);
            assertTrue(simulation.isFinished(), () -> "seed " + failedSeed + " did not end: " + simulation.state());
        }
    }

    /** Guards against a simulation that would not notice a missing check. */
    @Test
    void disablingAnyCheckIsDetected() {
        for (DisabledCheck disabledCheck : List.of(DisabledCheck.FENCING, DisabledCheck.OWN_LEASE,
                DisabledCheck.PROCESS_ID)) {
            assertTrue(java.util.stream.LongStream.range(0, 300).anyMatch(seed -> !simulate(seed,
                    disabledCheck).violations.isEmpty()),
                    disabledCheck + " was not detected");
        }
    }

    @Test
    void aGracefulShutdownHandsOverAtOnce() {
        Simulation simulation = new Simulation(1, DisabledCheck.NONE, 2);
        Candidate first = new Candidate(simulation, "first", 1);
        Candidate second = new Candidate(simulation, "second", 1);
        simulation.advance(STEP_MILLIS);
        assertTrue(first.runner.holdsDuty());
        simulation.advance(STEP_MILLIS);
        first.runner.release();
        first.dead = true;
        assertEquals("second", simulation.registry.duty("roll").get("holder"));
        simulation.advance(STEP_MILLIS);
        assertTrue(second.runner.holdsDuty());
    }

    @Test
    void aRestartThatRaisesFailuresAbortsByItself() {
        Simulation simulation = new Simulation(1, DisabledCheck.NONE, 4);
        simulation.gateways.get("g0").failureRate = 0.5;
        simulation.placeOrder("abort", Map.of());
        Map<String, Object> plan = new LinkedHashMap<>(simulation.plan());
        plan.put("settle", 200);
        simulation.placeOrder("start", Map.of("plan", plan));
        new Candidate(simulation, "c", 1);
        simulation.advance(30_000);
        assertEquals("aborted", simulation.state().get("phase"));
        assertTrue(simulation.state().get("why").toString().contains("at gateways touched"), simulation.state()
                .toString());
        assertEquals(0, simulation.gateways.get("g1").replacements);
        assertTrue(simulation.isFinished());
    }

    @Test
    void anAbortPutsTheCurrentGatewayBackIntoService() {
        for (int millis = 50; millis < 1500; millis += 50) {
            Simulation simulation = new Simulation(1, DisabledCheck.NONE, 3);
            new Candidate(simulation, "c", 1);
            simulation.advance(millis);
            simulation.placeOrder("abort", Map.of());
            simulation.advance(3000);
            assertTrue(simulation.isFinished(), simulation.state().toString());
            String phase = simulation.state().get("phase").toString();
            assertTrue(phase.equals("aborted") || phase.equals("done"), phase);
        }
    }

    @Test
    void aPauseStopsAndAResumeContinues() {
        Simulation simulation = new Simulation(1, DisabledCheck.NONE, 3);
        new Candidate(simulation, "c", 1);
        simulation.advance(100);
        simulation.placeOrder("pause", Map.of());
        simulation.advance(3000);
        assertEquals("paused", simulation.state().get("phase"));
        assertFalse(simulation.isFinished());
        simulation.placeOrder("resume", Map.of());
        simulation.advance(5000);
        assertEquals("done", simulation.state().get("phase"));
        simulation.gateways.values().forEach(gateway -> assertEquals(1, gateway.replacements));
    }

    @Test
    void anInvalidPlanIsReportedWithAllErrors() {
        TomlFile.ValidationException exception = assertThrows(TomlFile.ValidationException.class,
                () -> RollingRestartPlan.parse("""
                keep = 2
                [[gateway]]
                admin = "nowhere"
                """, "roll.toml"));
        assertEquals(List.of("roll.toml:1: keep: expected 0 to 1, not 2",
                "roll.toml:3: gateway[0].admin: expected address:port, not nowhere"), exception.errors());
        assertThrows(TomlFile.ValidationException.class, () -> RollingRestartPlan.parse("keep = 0.5\n", "roll.toml"));
    }
}
