package umberspread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import umberspread.Routing.DedupGroup;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.Outcome;
import umberspread.Routing.RetrySafety;

/** Delivers seeded random events and checks after each the rules that a single router can keep. */
@Execution(ExecutionMode.CONCURRENT)
class RandomEventsTest {
    private static final int SERVERS = 8;

    /** What the test knows of a request. */
    private static final class OpenRequest {
        private final long deadline;
        private final Routing.Placement placement;
        private final List<Integer> inFlight = new ArrayList<>();
        private final List<Long> servers = new ArrayList<>();
        private long firstThatMayHaveRun = -1;
        private long firstSentAt;
        private boolean finished;

        OpenRequest(long deadline, Routing.Placement placement) {
            this.deadline = deadline;
            this.placement = placement;
        }
    }

    private static Lifecycle[] freshStates() {
        Lifecycle[] states = new Lifecycle[SERVERS + 1];
        java.util.Arrays.fill(states, Lifecycle.READY);
        return states;
    }

    private static List<String> run(long seed, RetrySafety effect, DedupGroup group, boolean hedging) {
        Fixture.Setup setup = new Fixture.Setup();
        setup.secondWorth = 1 + seed % 3 * 5;
        if (seed % 2 == 0) {
            setup.secondPlacement = new Routing.Placement(seed % 4 == 0 ? Set.of(1) : Set.of(),
                    seed % 3 == 0 ? Set.of() : Set.of(0, 1));
        }
        if (seed % 5 < 3) {
            setup.attemptBudget = new Routing.AttemptBudget(seed % 5, 0.05 * seed,
                    (1 + seed % 2) * Fixture.SECOND);
        }
        setup.effect = effect;
        setup.group = group;
        setup.hedging = hedging;
        Fixture f = new Fixture(setup.build()).listServers(SERVERS);
        Random random = new Random(seed);
        Map<Long, OpenRequest> open = new HashMap<>();
        Lifecycle[] states = freshStates();
        Outcome[] outcomes = Outcome.values();
        int sent = 0;
        for (int step = 0; step < 3000; step++) {
            int kind = random.nextInt(10);
            if (kind < 4) {
                int requestClass = random.nextInt(2);
                open.put(f.nextId(), new OpenRequest(f.now + 6 * Fixture.SECOND,
                        requestClass == 0 ? Routing.Placement.ANYWHERE : setup.secondPlacement));
                f.arriveAs(requestClass, random.nextInt(30) + 1, random.nextInt(4));
            } else if (kind == 4) {
                int id = random.nextInt(SERVERS) + 1;
                states[id] = Lifecycle.values()[random.nextInt(3)];
                f.updateServer(Fixture.server(id, id % 2, id / 2, states[id],
                        random.nextBoolean() ? 0 : f.now));
            } else if (kind == 5) {
                f.advance(random.nextInt(300_000));
            } else {
                endOne(f, open, random, outcomes);
            }
            sent = checkActions(f, open, states, sent, effect, group, hedging);
            endOverdue(f, open);
            sent = checkActions(f, open, states, sent, effect, group, hedging);
        }
        f.assertInBudget(setup.attemptBudget.window() > 0 ? setup.attemptBudget
                : new Routing.AttemptBudget(1, 0.2, 6 * Fixture.SECOND));
        return f.actionLog;
    }

    private static void endOne(Fixture f, Map<Long, OpenRequest> open, Random random, Outcome[] outcomes) {
        for (long id : List.copyOf(new java.util.TreeSet<>(open.keySet()))) {
            OpenRequest request = open.get(id);
            if (!request.inFlight.isEmpty()) {
                Outcome outcome = outcomes[random.nextInt(outcomes.length)];
                int attempt = request.inFlight.remove(0);
                if (outcome == Outcome.OK) {
                    request.finished = true;
                }
                recordEnd(request, attempt, outcome);
                f.endAttempt(id, attempt, outcome, request.finished);
                return;
            }
        }
    }

    private static void endOverdue(Fixture f, Map<Long, OpenRequest> open) {
        for (Map.Entry<Long, OpenRequest> entry : open.entrySet()) {
            OpenRequest request = entry.getValue();
            while (f.now >= request.deadline && !request.inFlight.isEmpty()) {
                int attempt = request.inFlight.remove(0);
                recordEnd(request, attempt, Outcome.TIMEOUT);
                f.endAttempt(entry.getKey(), attempt, Outcome.TIMEOUT, request.finished);
            }
        }
    }

    private static void recordEnd(OpenRequest request, int attempt, Outcome outcome) {
        if (outcome.neverRan() && request.firstThatMayHaveRun == request.servers.get(attempt)) {
            request.firstThatMayHaveRun = -1;
        }
    }

    private static int checkActions(Fixture f, Map<Long, OpenRequest> open, Lifecycle[] states, int from,
            RetrySafety effect, DedupGroup group, boolean hedging) {
        for (int i = from; i < f.sent.size(); i++) {
            Fixture.Sent s = f.sent.get(i);
            OpenRequest request = open.get(s.request());
            assertTrue(!request.finished, "sent after the request was finished");
            assertTrue(s.timeout() > 0 && s.at() + s.timeout() <= request.deadline,
                    "attempt outlives the client's timeout");
            assertEquals(Lifecycle.READY, states[(int) s.server()], "sent to a draining or gone server");
            assertTrue(!request.servers.contains(s.server()), "the same server twice");
            int id = (int) s.server();
            assertTrue(request.placement.allows(Fixture.server(id, id % 2, id / 2, Lifecycle.READY, 0)),
                    "sent where its class may not run");
            assertTrue(hedging || request.inFlight.isEmpty(), "two attempts in flight");
            if (request.firstThatMayHaveRun >= 0 && effect != RetrySafety.RETRYABLE) {
                assertEquals(RetrySafety.DEDUP, effect, "a fragile request was sent again");
                assertTrue(s.at() < request.firstSentAt + 5 * Fixture.SECOND, "sent after the dedup window");
                assertTrue(group == DedupGroup.ALL
                        || group == DedupGroup.ZONE && request.firstThatMayHaveRun % 2 == s.server() % 2
                        || group == DedupGroup.CELL && request.firstThatMayHaveRun / 2 == s.server() / 2);
            } else {
                request.firstThatMayHaveRun = s.server();
                request.firstSentAt = s.at();
            }
            request.inFlight.add(request.servers.size());
            request.servers.add(s.server());
        }
        for (List<Long> answers : List.of(f.refused, f.failed)) {
            for (long id : answers) {
                OpenRequest request = open.get(id);
                assertTrue(!request.finished, "answered twice");
                request.finished = true;
                if (answers == f.refused && effect != RetrySafety.RETRYABLE) {
                    assertTrue(request.firstThatMayHaveRun < 0
                            || effect == RetrySafety.DEDUP && group == DedupGroup.ALL,
                            "refused though it may have run");
                }
            }
            answers.clear();
        }
        for (OpenRequest request : open.values()) {
            assertTrue(request.finished || f.now < request.deadline || !request.inFlight.isEmpty(),
                    "no answer at the deadline");
        }
        return f.sent.size();
    }

    @Test
    void rulesHoldForEveryEffectAndGroup() {
        for (long seed = 1; seed <= 12; seed++) {
            for (boolean hedging : new boolean[] {true, false}) {
                run(seed, RetrySafety.RETRYABLE, DedupGroup.ALL, hedging);
                run(seed, RetrySafety.FRAGILE, DedupGroup.ALL, hedging);
                for (DedupGroup group : DedupGroup.values()) {
                    run(seed, RetrySafety.DEDUP, group, hedging);
                }
            }
        }
    }

    @Test
    void sameEventsGiveSameActions() {
        assertEquals(run(7, RetrySafety.RETRYABLE, DedupGroup.ALL, true),
                run(7, RetrySafety.RETRYABLE, DedupGroup.ALL, true));
    }
}
