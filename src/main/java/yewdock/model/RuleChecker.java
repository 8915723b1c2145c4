package yewdock.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks the contract's rules from outside the routers, and records each violation with its time. */
final class RuleChecker {
    private static final double MICROS_PER_SECOND = 1e6;
    /** Random arrivals put somewhat more work into a window than a correct router intended. */
    private static final double WINDOW_SLACK = 1.1;
    /** An overload is a violation only if this share of the work came from routers that knew of the start. */
    private static final double KNOWN_START_SHARE = 2.0 / 3;
    private static final int MAX_RECORDED = 1000;

    private final Simulation simulation;
    private final Map<SimulatedServer, ArrayDeque<SentWork>> recentWork = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long violationCount;
    /** Cold servers that crashed from overload, whether that was a violation or not. */
    int overloadedCount;

    /** Work that a cold server received; startKnown: its sender knew of the server's latest start. */
    private record SentWork(long atMicros, double costSeconds, boolean startKnown) {
    }

    RuleChecker(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Records a violation; beyond {@link #MAX_RECORDED} only their number is kept. */
    void recordViolation(String what) {
        violationCount++;
        if (violations.size() < MAX_RECORDED) {
            violations.add(String.format(java.util.Locale.ROOT, "at %.3f s: %s",
                    simulation.calendar.nowMicros() / MICROS_PER_SECOND, what));
        }
    }

    /** The recorded violations, each with its time. */
    List<String> violations() {
        return List.copyOf(violations);
    }

    /** The number of all violations. */
    long violationCount() {
        return violationCount;
    }

    /**
     * Checks the drain rule for an attempt: toldAtMicros is when the router was told that the server drains
     * or is gone, -1 if it was not.
     */
    void checkDrain(SimulatedRouter router, SimulatedServer server, long toldAtMicros) {
        double lateSeconds = (simulation.calendar.nowMicros() - toldAtMicros) / MICROS_PER_SECOND;
        if (toldAtMicros >= 0
                && lateSeconds > simulation.parameters.scenario.rules().drainGraceSeconds()) {
            recordViolation("drain: router " + router.number + " sends to server " + server.number + " "
                    + String.format(java.util.Locale.ROOT,
                            "%.2f s after it was told of the drain", lateSeconds));
        }
    }

    /** Accounts for work that arrives at a server; returns true if it overloads a cold server. */
    boolean checkColdOverload(SimulatedServer server, double costSeconds, boolean startKnown) {
        if (server.capacityShare() >= 1) {
            recentWork.remove(server);
            return false;
        }
        ArrayDeque<SentWork> recent = recentWork.computeIfAbsent(server, s -> new ArrayDeque<>());
        long now = simulation.calendar.nowMicros();
        Scenario.Contract rules = simulation.parameters.scenario.rules();
        recent.add(new SentWork(now, costSeconds, startKnown));
        while (recent.peek().atMicros() < now - rules.overloadWindowSeconds() * MICROS_PER_SECOND
                || recent.peek().atMicros() < server.startedAtMicros) {
            recent.poll();
        }
        double totalCost = 0;
        double knownCost = 0;
        for (SentWork sent : recent) {
            totalCost += sent.costSeconds();
            knownCost += sent.startKnown() ? sent.costSeconds() : 0;
        }
        if (totalCost <= rules.overloadMultiple() * server.capacityShare() * rules.overloadWindowSeconds()
                * WINDOW_SLACK) {
            return false;
        }
        overloadedCount++;
        recentWork.remove(server);
        if (knownCost >= KNOWN_START_SHARE * totalCost) {
            recordViolation("cold: server " + server.number + " is overloaded during its slow start");
        }
        return true;
    }
}
