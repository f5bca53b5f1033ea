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
class RollTest {

    private static final long TERM = 1000;
    private static final long STEP = 50;

    /** The check that a deliberately broken variant leaves out. */
    private enum Broken { NOTHING, FENCE, OWN_CHECK, PROCESS }

    private static final class Gateway {
        private boolean ready = true;
        private int process;
        private long newestToken;
        private int replaced;
        private double served;
        private double bad;
        private double badPart;
    }

    /** The simulated service, gateways and candidates, with the violations found. */
    private static final class World {
        private final Catalogue log = new Catalogue();
        private final Map<String, Gateway> gateways = new LinkedHashMap<>();
        private final List<Candidate> candidates = new ArrayList<>();
        private final Random random;
        private final Broken broken;
        private final List<String> wrong = new ArrayList<>();
        private long newestEffect;
        private long now;

        World(long seed, Broken broken, int count) {
            random = new Random(seed);
            this.broken = broken;
            for (int i = 0; i < count; i++) {
                gateways.put("g" + i, new Gateway());
            }
            order("start", Map.of("plan", plan()));
        }

        Map<String, Object> plan() {
            List<Map<String, Object>> all = new ArrayList<>();
            gateways.keySet().forEach(name -> all.add(Map.of("name", name, "admin", name, "zone",
                    Integer.parseInt(name.substring(1)) % 2 == 0 ? "a" : "b")));
            return Map.of("keep", 0.5, "settle", 0, "replace", "x", "gateways", all);
        }

        void order(String what, Map<String, Object> more) {
            Map<String, Object> order = new LinkedHashMap<>(more);
            order.put("id", "o" + random.nextInt());
            order.put("what", what);
            apply(Catalogue.command("order", "duty", "roll", "order", order));
        }

        Catalogue.Applied apply(Map<String, Object> command) {
            return log.apply(Json.parse(Json.encode(command)));
        }

        Map<String, Object> state() {
            return DutyRunner.state(Json.parse(Json.encode(log.duty("roll"))));
        }

        /** Advances time; every candidate that is neither dead nor within a step runs once per time step. */
        void pass(long millis) {
            for (long left = millis; left > 0; left -= STEP) {
                now += STEP * 1000;
                apply(Catalogue.command("tick", "elapsed", STEP));
                gateways.values().forEach(gateway -> {
                    gateway.served += gateway.ready ? 10 * (1 - gateway.badPart) : 0;
                    gateway.bad += gateway.ready ? 10 * gateway.badPart : 0;
                });
                for (Candidate candidate : candidates) {
                    if (!candidate.busy && !candidate.dead) {
                        candidate.busy = true;
                        try {
                            candidate.runner.turn();
                        } catch (Killed e) {
                            candidate.dead = true;
                        } finally {
                            candidate.busy = false;
                        }
                    }
                }
            }
        }

        void effect(Gateway gateway, int process, long token, Runnable what) throws IOException {
            boolean fences = broken != Broken.FENCE;
            if (fences && (token < gateway.newestToken || process != gateway.process)) {
                throw new DutyWork.Lost("fenced");
            }
            gateway.newestToken = Math.max(gateway.newestToken, token);
            if (token < newestEffect) {
                wrong.add("token " + token + " had an effect after token " + newestEffect);
            }
            newestEffect = Math.max(newestEffect, token);
            what.run();
            long out = gateways.values().stream().filter(each -> !each.ready).count();
            if (out > 1) {
                wrong.add(out + " gateways out of service at once");
            }
        }

        boolean over() {
            String phase = String.valueOf(state().get("phase"));
            return (phase.equals("done") || phase.equals("aborted")) && gateways.values().stream().allMatch(g -> g.ready);
        }
    }

    /** Ends a candidate's process at any point. */
    private static final class Killed extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private static final class Candidate implements DutyService, Roll.Gateways, Clock {
        private final World world;
        private final String who;
        private final DutyRunner runner;
        private final double rate;
        private boolean busy;
        private boolean dead;
        private boolean cut;
        private double trouble;  // at each call

        Candidate(World world, String who, double rate) {
            this.world = world;
            this.who = who;
            this.rate = rate;
            runner = new DutyRunner("roll", who, TERM, this, new Roll(this), this, line -> { });
            world.candidates.add(this);
        }

        /** May pause the candidate for long, or kill it, between two operations. */
        private void between() {
            double at = world.random.nextDouble();
            if (at < trouble / 8) {
                throw new Killed();
            } else if (at < trouble) {
                world.pass(STEP * (1 + world.random.nextInt(60)));
            }
        }

        private Answer ask(Map<String, Object> command) throws IOException {
            between();
            if (cut) {
                throw new IOException("no answer");
            }
            Catalogue.Applied applied = world.apply(command);
            between();
            if (trouble > 0 && world.random.nextDouble() < trouble) {
                throw new IOException("applied, but the response was lost");
            }
            return new Answer(applied.status() == 200, Json.parse(Json.encode(applied.answer())));
        }

        @Override
        public Answer acquire(String duty, String by, long span) throws IOException {
            return ask(Catalogue.command("acquire", "duty", duty, "who", by, "span", span));
        }

        @Override
        public Answer hold(String duty, String by, long token) throws IOException {
            return ask(Catalogue.command("hold", "duty", duty, "who", by, "token", token));
        }

        @Override
        public Answer release(String duty, String by, long token) throws IOException {
            return ask(Catalogue.command("release", "duty", duty, "who", by, "token", token));
        }

        @Override
        public Answer record(String duty, String by, long token, String step, Map<String, Object> state) throws IOException {
            return ask(Catalogue.command("record", "duty", duty, "who", by, "token", token, "step", step, "state", state));
        }

        @Override
        public Answer read(String duty) throws IOException {
            return ask(Catalogue.command("read", "what", "duty", "name", duty));
        }

        @Override
        public Roll.Seen look(String admin) {
            Gateway gateway = world.gateways.get(admin);
            return new Roll.Seen(gateway.ready, Integer.toString(gateway.process), 0, gateway.served, gateway.bad);
        }

        @Override
        public void standby(String admin, String process, long token) throws IOException {
            between();
            Gateway gateway = world.gateways.get(admin);
            world.effect(gateway, Integer.parseInt(process), token, () -> gateway.ready = false);
            between();
        }

        @Override
        public void active(String admin, String process, long token) throws IOException {
            between();
            Gateway gateway = world.gateways.get(admin);
            world.effect(gateway, Integer.parseInt(process), token, () -> gateway.ready = true);
            between();
        }

        @Override
        public void replace(String name, String process, String command) {
            between();
            Gateway gateway = world.gateways.get(name);
            if (world.broken == Broken.PROCESS || gateway.process == Integer.parseInt(process)) {
                gateway.process++;
                gateway.replaced++;
                gateway.newestToken = 0;
                gateway.served = 0;
                gateway.bad = 0;
                if (gateway.replaced > 1) {
                    world.wrong.add(name + " was replaced twice");
                }
            }
            between();
        }

        @Override
        public long monotonicMicros() {
            return world.broken == Broken.OWN_CHECK ? 1 : (long) (world.now * rate);
        }

        @Override
        public long wallMillis() {
            return world.now / 1000;
        }
    }

    /** Runs three candidates with faults for a while, replacing dead ones, and then without faults until the restart
        ends. */
    private static World play(long seed, Broken broken) {
        World world = new World(seed, broken, 5);
        for (int i = 0; i < 20; i++) {
            for (long alive = world.candidates.stream().filter(each -> !each.dead).count(); alive < 3; alive++) {
                int number = world.candidates.size();
                new Candidate(world, "c" + number, number % 3 == 1 ? 1.05 : number % 3 == 2 ? 0.95 : 1).trouble = 0.08;
            }
            world.candidates.forEach(candidate -> candidate.cut = world.random.nextInt(5) == 0);
            world.pass(1000);
            if (world.random.nextInt(6) == 0) {
                world.apply(Catalogue.command("reign", "term", i));
            }
        }
        world.candidates.forEach(candidate -> {
            candidate.cut = false;
            candidate.trouble = 0;
        });
        new Candidate(world, "last", 1);
        for (int i = 0; i < 60 && !world.over(); i++) {
            world.pass(1000);
        }
        return world;
    }

    @Test
    void noTwoActAtOnceNothingIsDoneTwiceAndEveryRollEnds() {
        int seeds = Integer.getInteger("roll.seeds", 60);
        for (long seed = 0; seed < seeds; seed++) {
            World world = play(seed, Broken.NOTHING);
            long at = seed;
            assertEquals(List.of(), world.wrong, () -> "seed " + at);
            assertTrue(world.over(), () -> "seed " + at + " did not end: " + world.state());
        }
    }

    /** Guards against a simulation that would not notice a missing check. */
    @Test
    void eachGuardThatIsLeftOutIsMissed() {
        for (Broken broken : List.of(Broken.FENCE, Broken.OWN_CHECK, Broken.PROCESS)) {
            assertTrue(java.util.stream.LongStream.range(0, 300).anyMatch(seed -> !play(seed, broken).wrong.isEmpty()),
                    broken + " was not detected");
        }
    }

    @Test
    void aCleanEndHandsOverAtOnce() {
        World world = new World(1, Broken.NOTHING, 2);
        Candidate first = new Candidate(world, "first", 1);
        Candidate second = new Candidate(world, "second", 1);
        world.pass(STEP);
        assertTrue(first.runner.holds());
        world.pass(STEP);
        first.runner.stop();
        first.dead = true;
        assertEquals("second", world.log.duty("roll").get("holder"));
        world.pass(STEP);
        assertTrue(second.runner.holds());
    }

    @Test
    void aRollThatMakesThingsWorseStopsByItself() {
        World world = new World(1, Broken.NOTHING, 4);
        world.gateways.get("g0").badPart = 0.5;
        world.order("abort", Map.of());
        Map<String, Object> plan = new LinkedHashMap<>(world.plan());
        plan.put("settle", 200);
        world.order("start", Map.of("plan", plan));
        new Candidate(world, "c", 1);
        world.pass(30_000);
        assertEquals("aborted", world.state().get("phase"));
        assertTrue(world.state().get("why").toString().contains("at gateways touched"), world.state().toString());
        assertEquals(0, world.gateways.get("g1").replaced);
        assertTrue(world.over());
    }

    @Test
    void anAbortTakesTheGatewayAtHandBack() {
        for (int millis = 50; millis < 1500; millis += 50) {
            World world = new World(1, Broken.NOTHING, 3);
            new Candidate(world, "c", 1);
            world.pass(millis);
            world.order("abort", Map.of());
            world.pass(3000);
            assertTrue(world.over(), world.state().toString());
            String phase = world.state().get("phase").toString();
            assertTrue(phase.equals("aborted") || phase.equals("done"), phase);
        }
    }

    @Test
    void aPauseHoldsAndAResumeGoesOn() {
        World world = new World(1, Broken.NOTHING, 3);
        new Candidate(world, "c", 1);
        world.pass(100);
        world.order("pause", Map.of());
        world.pass(3000);
        assertEquals("paused", world.state().get("phase"));
        assertFalse(world.over());
        world.order("resume", Map.of());
        world.pass(5000);
        assertEquals("done", world.state().get("phase"));
        world.gateways.values().forEach(gateway -> assertEquals(1, gateway.replaced));
    }

    @Test
    void aPoorPlanIsToldWithAllItsFaults() {
        TomlFile.ValidationException faults = assertThrows(TomlFile.ValidationException.class, () -> RollPlan.parse("""
                keep = 2
                [[gateway]]
                admin = "nowhere"
                """, "roll.toml"));
        assertEquals(List.of("roll.toml:1: keep: expected 0 to 1, not 2",
                "roll.toml:3: gateway[0].admin: expected address:port, not nowhere"), faults.errors());
        assertThrows(TomlFile.ValidationException.class, () -> RollPlan.parse("keep = 0.5\n", "roll.toml"));
    }
}
