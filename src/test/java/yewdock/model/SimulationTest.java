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
import yewdock.baseline.RoutingPolicies;

/**
 * Runs whole simulations: no request is lost or counted twice, disturbances take effect, and the checker
 * finds rule violations.
 */
class SimulationTest {
    static List<String> policies() {
        return RoutingPolicies.NAMES;
    }

    /** The small scenario with one disturbance of each kind. */
    static Scenario allDisturbances(Object... pairs) {
        StringBuilder text = new StringBuilder(TestScenarios.SMALL);
        for (Scenario.DisturbanceKind kind : Scenario.DisturbanceKind.values()) {
            String name = kind.name().toLowerCase(java.util.Locale.ROOT);
            double size = switch (kind) {
                case COSTLY -> 20;
                case ERRORS -> 0.5;
                default -> 3;
            };
            text.append("trouble \"").append(name).append("\" {\n  what = \"").append(name)
                    .append("\"\n  at = [0.1, 0.6]\n  seconds = [3, 8]\n")
                    .append("  part = 0.34\n  size = ").append(size)
                    .append("\n}\n");
        }
        return TestScenarios.parse(text.toString(), pairs);
    }

    @ParameterizedTest
    @MethodSource("policies")
    void everyRequestEndsOnceAndNoRuleIsBroken(String policy) {
        for (long seed = 1; seed <= 5; seed++) {
            Simulation simulation = TestScenarios.simulation(allDisturbances("routers.policy", policy), seed);
            Score.SimulationResult result = simulation.run();
            long[] counts = simulation.requestCounts();
            assertTrue(counts[0] > 100, "requests " + counts[0]);
            assertEquals(counts[0], counts[1] + counts[2]);
            assertEquals(0, counts[2], "seed " + seed);
            assertEquals(counts[0], result.ends().values().stream().mapToLong(n -> n).sum());
            assertTrue(simulation.ruleViolations().stream().noneMatch(violation ->
                    violation.contains("answer")
                    || violation.contains("router") || violation.contains("in flight")),
                    simulation.ruleViolations().toString());
        }
    }

    @Test
    void moduleBreaksNoRuleUnderAllDisturbances() {
        for (long seed = 1; seed <= 40; seed++) {
            Simulation simulation = TestScenarios.simulation(allDisturbances(), seed);
            simulation.run();
            assertEquals(List.of(), simulation.ruleViolations(), "seed " + seed);
            // the keepalive closes all connections some seconds after the last answer
            simulation.calendar.runUntil(simulation.calendar.nowMicros() + 20_000_000);
            simulation.servers.forEach(server -> assertEquals(0, server.connections));
        }
    }

    @Test
    void resultDependsOnlyOnTheSeed() throws Exception {
        List<String> alone = new ArrayList<>();
        for (long seed = 1; seed <= 8; seed++) {
            alone.add(Simulation.run(allDisturbances(), seed).toString());
        }
        ExecutorService executor = Executors.newFixedThreadPool(4);
        try {
            List<Future<String>> together = new ArrayList<>();
            for (long seed = 1; seed <= 8; seed++) {
                long currentSeed = seed;
                together.add(executor.submit(() -> Simulation.run(allDisturbances(),
                        currentSeed).toString()));
            }
            for (int i = 0; i < alone.size(); i++) {
                assertEquals(alone.get(i), together.get(i).get());
            }
        } finally {
            executor.shutdownNow();
        }
        assertNotEquals(alone.get(0), alone.get(1));
    }

    @Test
    void allPoliciesReceiveTheSameRequests() {
        long requests = Simulation.run(allDisturbances("routers.policy", "random"), 3).requests();
        for (String policy : RoutingPolicies.NAMES) {
            assertEquals(requests,
                    Simulation.run(allDisturbances("routers.policy", policy), 3).requests(), policy);
        }
    }

    @ParameterizedTest
    @EnumSource(Scenario.DisturbanceKind.class)
    void eachDisturbanceTakesEffectAndEnds(Scenario.DisturbanceKind kind) {
        Scenario scenario = TestScenarios.parse(TestScenarios.SMALL + "trouble \"t\" {\n what = \""
                + kind.name().toLowerCase(java.util.Locale.ROOT)
                + "\"\n at = 0.2\n seconds = 4\n part = 0.4\n size = 2\n}\n", "day.seconds", 15.0);
        Simulation simulation = TestScenarios.simulation(scenario, 4);
        Score.SimulationResult with = simulation.run();
        assertEquals(0, simulation.requestCounts()[2]);
        // every server is alive, at its usual speed, and accepts requests again
        simulation.servers.forEach(server -> assertTrue(server.alive && server.accepting && !server.hung
                && server.slowdown == 1 && server.errorShare == 0, kind + " " + server.number));
        Score.SimulationResult without = Simulation.run(TestScenarios.small("day.seconds", 15.0), 4);
        assertNotEquals(without.toString(), with.toString());
    }

    @Test
    void allRequestsAreRejectedWithoutServers() {
        for (String policy : RoutingPolicies.NAMES) {
            Simulation simulation = TestScenarios.simulation(TestScenarios.small("boxes.count", 0.0,
                    "day.asks_per_s", 20.0, "routers.policy", policy), 1);
            Score.SimulationResult result = simulation.run();
            assertTrue(result.requests() > 100);
            assertEquals(0, result.share(Score.RequestEnd.IN_TIME));
            assertEquals(0, simulation.requestCounts()[2], policy);
            assertEquals(List.of(), simulation.ruleViolations(), policy);
        }
    }

    @Test
    void allRequestsEndUnderExtremeOverload() {
        Simulation simulation = TestScenarios.simulation(TestScenarios.small("day.load", 30.0, "day.seconds",
                10.0), 1);
        Score.SimulationResult result = simulation.run();
        assertTrue(result.servedShare() < 0.3, "whole " + result.servedShare());
        assertEquals(0, simulation.requestCounts()[2]);
        assertEquals(List.of(), simulation.ruleViolations());
    }

    /** Under overload, retries raise the load further, but stay within the limit of retries. */
    @Test
    void retriesMultiplyAttemptsButAreBounded() {
        Score.SimulationResult result = Simulation.run(TestScenarios.small("day.load", 3.0,
                "clients.retries", 8.0, "clients.wait_ms", 10.0, "routers.policy", "random"), 2);
        assertTrue(result.clientAttemptsPerRequest() > 1.5, "attempts per request "
                + result.clientAttemptsPerRequest());
        assertTrue(result.clientAttemptsPerRequest() <= 9);
    }

    /** The size of the event calendar depends on the open requests and not on the length of the run. */
    @Test
    void pendingEventsDoNotGrowWithRunLength() {
        int[] maxPending = new int[2];
        for (int i = 0; i < 2; i++) {
            Simulation simulation = TestScenarios.simulation(TestScenarios.small("day.seconds", i == 0 ? 60.0
                    : 600.0), 1);
            simulation.start();
            while (simulation.calendar.nowMicros() < simulation.parameters.lengthMicros
                    && simulation.calendar.runNext()) {
                maxPending[i] = Math.max(maxPending[i], simulation.calendar.pendingCount());
            }
        }
        assertTrue(maxPending[1] < 1.5 * maxPending[0], maxPending[0] + " events in a short run, "
                + maxPending[1] + " in a long one");
    }

    /** Breaks each rule on purpose, by calling the actions in place of the module. */
    @Test
    void ruleViolationsAreDetected() {
        Simulation simulation = TestScenarios.simulation(TestScenarios.small(), 1);
        simulation.start();
        SimulatedRouter router = simulation.routers.get(0);
        SimulatedRequest request = new SimulatedRequest(1, 0, 0, 0, 5, 0, 100, 0, 100, 10, 10, 0, 10_000_000);
        SimulatedRouter.ClientAttempt attempt = new SimulatedRouter.ClientAttempt(1_000_000, request,
                simulation.clients.new WaitingClient(request), 2_000_000);
        router.receive(attempt);
        // the module has sent the request already, so a second attempt is a violation
        long other = simulation.servers.get(1).id;
        router.send(attempt.id, other, 1_000_000);
        assertTrue(simulation.ruleViolations().stream().anyMatch(violation ->
                violation.contains("two attempts")), simulation.ruleViolations().toString());
        router.fail(attempt.id);
        router.fail(attempt.id);
        assertTrue(simulation.ruleViolations().stream()
                .anyMatch(violation -> violation.contains("that is not open")));
        Routing.ServerState draining = new Routing.ServerState(other, 0, 0, 0, 1,
                Routing.Lifecycle.DRAINING, 0);
        router.listReceived(Routing.ListKind.DELTA, List.of(draining));
        simulation.calendar.runUntil(1_500_000);
        SimulatedRouter.ClientAttempt late = new SimulatedRouter.ClientAttempt(1_000_001, request,
                simulation.clients.new WaitingClient(request), 9_000_000);
        router.receive(late);
        router.cancel(late.id, 0);
        simulation.calendar.runUntil(1_500_001);
        router.send(late.id, other, 1_000_000);
        assertTrue(simulation.ruleViolations().stream().anyMatch(violation -> violation.contains("drain:")),
                simulation.ruleViolations().toString());
        SimulatedServer cold = simulation.servers.get(2);
        cold.startedAtMicros = simulation.calendar.nowMicros();
        boolean overloaded = false;
        for (int i = 0; i < 1000 && !overloaded; i++) {
            overloaded = simulation.ruleChecker.checkColdOverload(cold, 0.1, true);
        }
        assertTrue(overloaded);
        assertTrue(simulation.ruleViolations().stream()
                .anyMatch(violation -> violation.contains("cold: server 2 is overloaded")));
    }

    @Test
    void overdueAnswerIsDetected() {
        Simulation simulation = TestScenarios.simulation(TestScenarios.small("boxes.count", 0.0), 1);
        SimulatedRouter router = simulation.routers.get(0);
        SimulatedRequest request = new SimulatedRequest(1, 0, 0, 0, 5, 0, 100, 0, 100, 10, 10, 0, 1_000_000);
        router.start();
        SimulatedRouter.ClientAttempt attempt = new SimulatedRouter.ClientAttempt(7, request,
                simulation.clients.new WaitingClient(request), 500_000);
        // a router that never answers
        SimulatedRouter silent = new SimulatedRouter(simulation, 9, 0,
                simulation.parameters.randomStreams.stream("test")) {
            @Override
            public void refuse(long requestId, long retryAfter) {
                // the answer is lost
            }

            @Override
            public void fail(long requestId) {
                // the answer is lost
            }
        };
        silent.start();
        silent.receive(attempt);
        simulation.calendar.runUntil(519_000);
        assertEquals(List.of(), simulation.ruleViolations());
        simulation.calendar.runUntil(600_000);
        assertTrue(simulation.ruleViolations().stream().anyMatch(violation ->
                violation.contains("no final answer")), simulation.ruleViolations().toString());
    }
}
