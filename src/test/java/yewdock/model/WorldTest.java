package yewdock.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import umberspread.Routing;
import yewdock.baseline.Policies;

/** Days that are played whole: nothing is created or lost, and what goes wrong does what it should. */
class WorldTest {
    static List<String> policies() {
        return Policies.NAMES;
    }

    /** Every trouble there is, all on one day. */
    static Scenario rough(Object... pairs) {
        StringBuilder text = new StringBuilder(Days.SMALL);
        for (Scenario.What what : Scenario.What.values()) {
            String name = what.name().toLowerCase(java.util.Locale.ROOT);
            double size = switch (what) {
                case COSTLY -> 20;
                case ERRORS -> 0.5;
                default -> 3;
            };
            text.append("trouble \"").append(name).append("\" {\n  what = \"").append(name)
                    .append("\"\n  at = [0.1, 0.6]\n  seconds = [3, 8]\n")
                    .append("  part = 0.34\n  size = ").append(size)
                    .append("\n}\n");
        }
        return Days.of(text.toString(), pairs);
    }

    @ParameterizedTest
    @MethodSource("policies")
    void everyAskEndsOnceAndNoRuleBreaks(String policy) {
        for (long seed = 1; seed <= 5; seed++) {
            World world = Days.world(rough("routers.policy", policy), seed);
            Score.Result result = world.run();
            long[] balance = world.balance();
            assertTrue(balance[0] > 100, "asks " + balance[0]);
            assertEquals(balance[0], balance[1] + balance[2]);
            assertEquals(0, balance[2], "seed " + seed);
            assertEquals(balance[0], result.ends().values().stream().mapToLong(n -> n).sum());
            assertTrue(world.broken().stream().noneMatch(b -> b.contains("answer") || b.contains("out")),
                    world.broken().toString());
        }
    }

    @Test
    void theModuleBreaksNoRuleWhateverGoesWrong() {
        for (long seed = 1; seed <= 40; seed++) {
            World world = Days.world(rough(), seed);
            world.run();
            assertEquals(List.of(), world.broken(), "seed " + seed);
            // all connections are closed some seconds after the last answer, and counted so
            world.calendar.runTo(world.calendar.now() + 20_000_000);
            world.boxes.forEach(b -> assertEquals(0, b.lines));
        }
    }

    @Test
    void oneSeedGivesOneResultOnAnyNumberOfThreads() throws Exception {
        List<String> alone = new ArrayList<>();
        for (long seed = 1; seed <= 8; seed++) {
            alone.add(World.run(rough(), seed).toString());
        }
        ExecutorService pool = Executors.newFixedThreadPool(4);
        try {
            List<Future<String>> together = new ArrayList<>();
            for (long seed = 1; seed <= 8; seed++) {
                long own = seed;
                together.add(pool.submit(() -> World.run(rough(), own).toString()));
            }
            for (int i = 0; i < alone.size(); i++) {
                assertEquals(alone.get(i), together.get(i).get());
            }
        } finally {
            pool.shutdownNow();
        }
        assertNotEquals(alone.get(0), alone.get(1));
    }

    @Test
    void allPoliciesMeetTheSameAsks() {
        long asks = World.run(rough("routers.policy", "random"), 3).asks();
        for (String policy : Policies.NAMES) {
            assertEquals(asks, World.run(rough("routers.policy", policy), 3).asks(), policy);
        }
    }

    @ParameterizedTest
    @EnumSource(Scenario.What.class)
    void eachTroubleComesAndIsOverAgain(Scenario.What what) {
        Scenario s = Days.of(Days.SMALL + "trouble \"t\" {\n what = \""
                + what.name().toLowerCase(java.util.Locale.ROOT)
                + "\"\n at = 0.2\n seconds = 4\n part = 0.4\n size = 2\n}\n", "day.seconds", 15.0);
        World world = Days.world(s, 4);
        Score.Result with = world.run();
        assertEquals(0, world.balance()[2]);
        // every box lives, works at its usual speed, and takes requests again
        world.boxes.forEach(b -> assertTrue(b.alive && b.takes && !b.hung && b.slow == 1 && b.errorShare == 0,
                what + " " + b.number));
        Score.Result without = World.run(Days.small("day.seconds", 15.0), 4);
        assertNotEquals(without.toString(), with.toString());
    }

    @Test
    void withNoBoxesEverythingIsTurnedAway() {
        for (String policy : Policies.NAMES) {
            World world = Days.world(Days.small("boxes.count", 0.0, "day.asks_per_s", 20.0,
                    "routers.policy", policy), 1);
            Score.Result result = world.run();
            assertTrue(result.asks() > 100);
            assertEquals(0, result.part(Score.End.IN_TIME));
            assertEquals(0, world.balance()[2], policy);
            assertEquals(List.of(), world.broken(), policy);
        }
    }

    @Test
    void whatCannotBeServedAtAllEndsAllTheSame() {
        World world = Days.world(Days.small("day.load", 30.0, "day.seconds", 10.0), 1);
        Score.Result result = world.run();
        assertTrue(result.whole() < 0.3, "whole " + result.whole());
        assertEquals(0, world.balance()[2]);
        assertEquals(List.of(), world.broken());
    }

    /** Retries after failures ask for more than was asked for at first, and still come to an end. */
    @Test
    void retriesFeedOnFailuresAndStop() {
        Score.Result result = World.run(Days.small("day.load", 3.0, "clients.retries", 8.0,
                "clients.wait_ms", 10.0,
                "routers.policy", "random"), 2);
        assertTrue(result.triesPerAsk() > 1.5, "tries " + result.triesPerAsk());
        assertTrue(result.triesPerAsk() <= 9);
    }

    /** What waits in the calendar follows what is open, not how long the day is. */
    @Test
    void longDaysNeedNoMoreRoomThanShortOnes() {
        int[] most = new int[2];
        for (int i = 0; i < 2; i++) {
            World world = Days.world(Days.small("day.seconds", i == 0 ? 60.0 : 600.0), 1);
            world.start();
            while (world.calendar.now() < world.day.length && world.calendar.next()) {
                most[i] = Math.max(most[i], world.calendar.waiting());
            }
        }
        assertTrue(most[1] < 1.5 * most[0], most[0] + " entries on a short day, " + most[1]
                + " on a long one");
    }

    /** A module that breaks each rule on purpose is caught each time. */
    @Test
    void brokenRulesAreSeen() {
        World world = Days.world(Days.small(), 1);
        world.start();
        Host host = world.hosts.get(0);
        Ask ask = new Ask(1, 0, 0, 0, 5, 0, 100, 0, 100, 10, 10, 0, 10_000_000);
        Host.Try t = new Host.Try(1_000_000, ask, world.clients.new Waiting(ask), 2_000_000);
        host.arrive(t);
        // the module has sent it: a second one is one too many
        long other = world.boxes.get(1).id;
        host.send(t.id, other, 1_000_000);
        assertTrue(world.broken().stream().anyMatch(b -> b.contains("two attempts")),
                world.broken().toString());
        host.fail(t.id);
        host.fail(t.id);
        assertTrue(world.broken().stream().anyMatch(b -> b.contains("that is not open")));
        Routing.ServerState drains = new Routing.ServerState(other, 0, 0, 0, 1, Routing.Lifecycle.DRAINING,
                0);
        host.listReceived(Routing.ListKind.DELTA, List.of(drains));
        world.calendar.runTo(1_500_000);
        Host.Try late = new Host.Try(1_000_001, ask, world.clients.new Waiting(ask), 9_000_000);
        host.arrive(late);
        host.cancel(late.id, 0);
        world.calendar.runTo(1_500_001);
        host.send(late.id, other, 1_000_000);
        assertTrue(world.broken().stream().anyMatch(b -> b.contains("drain:")), world.broken().toString());
        Box cold = world.boxes.get(2);
        cold.startedAt = world.calendar.now();
        boolean over = false;
        for (int i = 0; i < 1000 && !over; i++) {
            over = world.judge.pushedOver(cold, 0.1, true);
        }
        assertTrue(over);
        assertTrue(world.broken().stream().anyMatch(b -> b.contains("pushed over")));
    }

    @Test
    void anAnswerThatIsOwedTooLongIsSeen() {
        World world = Days.world(Days.small("boxes.count", 0.0), 1);
        Host host = world.hosts.get(0);
        // a router that never answers
        Ask ask = new Ask(1, 0, 0, 0, 5, 0, 100, 0, 100, 10, 10, 0, 1_000_000);
        host.start();
        Host.Try t = new Host.Try(7, ask, world.clients.new Waiting(ask), 500_000);
        Host silent = new Host(world, 9, 0, world.day.draws.stream("test")) {
            @Override
            public void refuse(long requestId, long retryAfter) {
                // forgotten
            }

            @Override
            public void fail(long requestId) {
                // forgotten
            }
        };
        silent.start();
        silent.arrive(t);
        world.calendar.runTo(519_000);
        assertEquals(List.of(), world.broken());
        world.calendar.runTo(600_000);
        assertTrue(world.broken().stream().anyMatch(b -> b.contains("owes")), world.broken().toString());
    }
}
