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
import umberspread.Routing.DedupGroup;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.Outcome;
import umberspread.Routing.RetrySafety;

/** Seeded random events: the rules that one gateway can keep alone hold after every one of them. */
class RandomEventsTest {
    private static final int REPLICAS = 8;

    /** What the test knows of a request that is not over. */
    private static final class Open {
        private final long deadline;
        private final Routing.Placement placement;
        private final List<Integer> out = new ArrayList<>();
        private final List<Long> replicas = new ArrayList<>();
        private long firstThatMayHaveRun = -1;
        private long firstSentAt;
        private boolean over;

        Open(long deadline, Routing.Placement placement) {
            this.deadline = deadline;
            this.placement = placement;
        }
    }

    private static Lifecycle[] freshStates() {
        Lifecycle[] states = new Lifecycle[REPLICAS + 1];
        java.util.Arrays.fill(states, Lifecycle.READY);
        return states;
    }

    private static List<String> play(long seed, RetrySafety effect, DedupGroup group, boolean duplicates) {
        Fixture.Setup setup = new Fixture.Setup();
        setup.secondWorth = 1 + seed % 3 * 5;
        if (seed % 2 == 0) {
            setup.secondPlacement = new Routing.Placement(seed % 4 == 0 ? Set.of(1) : Set.of(),
                    seed % 3 == 0 ? Set.of() : Set.of(0, 1));
        }
        if (seed % 5 < 3) {
            setup.budget = new Routing.AttemptBudget(seed % 5, 0.05 * seed, (1 + seed % 2) * Fixture.SECOND);
        }
        setup.effect = effect;
        setup.group = group;
        setup.duplicates = duplicates;
        Fixture f = new Fixture(setup.build()).list(REPLICAS);
        Random random = new Random(seed);
        Map<Long, Open> open = new HashMap<>();
        Lifecycle[] states = freshStates();
        Outcome[] outcomes = Outcome.values();
        int sent = 0;
        for (int step = 0; step < 3000; step++) {
            int kind = random.nextInt(10);
            if (kind < 4) {
                int requestClass = random.nextInt(2);
                open.put(f.nextId(), new Open(f.now + 6 * Fixture.SECOND,
                        requestClass == 0 ? Routing.Placement.ANYWHERE : setup.secondPlacement));
                f.arriveAs(requestClass, random.nextInt(30) + 1, random.nextInt(4));
            } else if (kind == 4) {
                int r = random.nextInt(REPLICAS) + 1;
                states[r] = Lifecycle.values()[random.nextInt(3)];
                f.change(Fixture.replica(r, r % 2, r / 2, states[r], random.nextBoolean() ? 0 : f.now));
            } else if (kind == 5) {
                f.pass(random.nextInt(300_000));
            } else {
                endOne(f, open, random, outcomes);
            }
            sent = check(f, open, states, sent, effect, group, duplicates);
            endOverdue(f, open);
            sent = check(f, open, states, sent, effect, group, duplicates);
        }
        f.assertInBudget(setup.budget.window() > 0 ? setup.budget
                : new Routing.AttemptBudget(1, 0.2, 6 * Fixture.SECOND));
        return f.all;
    }

    private static void endOne(Fixture f, Map<Long, Open> open, Random random, Outcome[] outcomes) {
        for (long id : List.copyOf(new java.util.TreeSet<>(open.keySet()))) {
            Open o = open.get(id);
            if (!o.out.isEmpty()) {
                Outcome outcome = outcomes[random.nextInt(outcomes.length)];
                int attempt = o.out.remove(0);
                if (outcome == Outcome.OK) {
                    o.over = true;
                }
                settle(o, attempt, outcome);
                f.end(id, attempt, outcome, o.over);
                return;
            }
        }
    }

    private static void endOverdue(Fixture f, Map<Long, Open> open) {
        for (Map.Entry<Long, Open> e : open.entrySet()) {
            Open o = e.getValue();
            while (f.now >= o.deadline && !o.out.isEmpty()) {
                int attempt = o.out.remove(0);
                settle(o, attempt, Outcome.TIMEOUT);
                f.end(e.getKey(), attempt, Outcome.TIMEOUT, o.over);
            }
        }
    }

    private static void settle(Open o, int attempt, Outcome outcome) {
        if (outcome.neverRan() && o.firstThatMayHaveRun == o.replicas.get(attempt)) {
            o.firstThatMayHaveRun = -1;
        }
    }

    private static int check(Fixture f, Map<Long, Open> open, Lifecycle[] states, int from,
            RetrySafety effect,
            DedupGroup group, boolean duplicates) {
        for (int i = from; i < f.sent.size(); i++) {
            Fixture.Sent s = f.sent.get(i);
            Open o = open.get(s.request());
            assertTrue(!o.over, "sent after the request was over");
            assertTrue(s.timeout() > 0 && s.at() + s.timeout() <= o.deadline, "outlives the client");
            assertEquals(Lifecycle.READY, states[(int) s.replica()], "sent to a draining or gone replica");
            assertTrue(!o.replicas.contains(s.replica()), "the same replica twice");
            int r = (int) s.replica();
            assertTrue(o.placement.allows(Fixture.replica(r, r % 2, r / 2, Lifecycle.READY, 0)),
                    "sent where its class may not run");
            assertTrue(duplicates || o.out.isEmpty(), "two attempts out");
            if (o.firstThatMayHaveRun >= 0 && effect != RetrySafety.RETRYABLE) {
                assertEquals(RetrySafety.DEDUP, effect, "a fragile request again");
                assertTrue(s.at() < o.firstSentAt + 5 * Fixture.SECOND, "after the window");
                assertTrue(group == DedupGroup.ALL
                        || group == DedupGroup.ZONE && o.firstThatMayHaveRun % 2 == s.replica() % 2
                        || group == DedupGroup.CELL && o.firstThatMayHaveRun / 2 == s.replica() / 2);
            } else {
                o.firstThatMayHaveRun = s.replica();
                o.firstSentAt = s.at();
            }
            o.out.add(o.replicas.size());
            o.replicas.add(s.replica());
        }
        for (List<Long> answers : List.of(f.refused, f.failed)) {
            for (long id : answers) {
                Open o = open.get(id);
                assertTrue(!o.over, "answered twice");
                o.over = true;
                if (answers == f.refused && effect != RetrySafety.RETRYABLE) {
                    assertTrue(o.firstThatMayHaveRun < 0 || effect == RetrySafety.DEDUP
                            && group == DedupGroup.ALL,
                            "refused though it may have run");
                }
            }
            answers.clear();
        }
        for (Open o : open.values()) {
            assertTrue(o.over || f.now < o.deadline || !o.out.isEmpty(), "no answer at the deadline");
        }
        return f.sent.size();
    }

    @Test
    void rulesHoldForEveryEffectAndGroup() {
        for (long seed = 1; seed <= 12; seed++) {
            for (boolean duplicates : new boolean[] {true, false}) {
                play(seed, RetrySafety.RETRYABLE, DedupGroup.ALL, duplicates);
                play(seed, RetrySafety.FRAGILE, DedupGroup.ALL, duplicates);
                for (DedupGroup group : DedupGroup.values()) {
                    play(seed, RetrySafety.DEDUP, group, duplicates);
                }
            }
        }
    }

    @Test
    void sameEventsGiveSameActions() {
        assertEquals(play(7, RetrySafety.RETRYABLE, DedupGroup.ALL, true),
                play(7, RetrySafety.RETRYABLE, DedupGroup.ALL, true));
    }
}
