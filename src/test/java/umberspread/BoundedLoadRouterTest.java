package umberspread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static umberspread.Fixture.SECOND;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import umberspread.Routing.DedupGroup;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;
import umberspread.Routing.RetrySafety;

class BoundedLoadRouterTest {
    private static Fixture fixture(Fixture.Setup setup, int replicas) {
        return new Fixture(setup.build()).list(replicas);
    }

    private static Fixture fixture(int replicas) {
        return fixture(new Fixture.Setup(), replicas);
    }

    // ---- the ordinary path

    @Test
    void aKeyStaysAtItsRingReplica() {
        Fixture f = fixture(8);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 5; i++) {
            f.serve(f.arrive(7, 0), 0);
            used.add(f.lastReplica());
        }
        assertEquals(1, used.size());
    }

    @Test
    void onlyKeysOfALeavingReplicaMove() {
        Fixture f = fixture(8);
        Map<Long, Long> before = new HashMap<>();
        for (long key = 1; key <= 200; key++) {
            f.serve(f.arrive(key, 0), 0);
            before.put(key, f.lastReplica());
        }
        f.change(Fixture.replica(3, 1, 1, Lifecycle.GONE, 0));
        for (long key = 1; key <= 200; key++) {
            f.serve(f.arrive(key, 0), 0);
            if (before.get(key) != 3) {
                assertEquals(before.get(key), f.lastReplica());
            } else {
                assertNotEquals(3, f.lastReplica());
            }
        }
    }

    @Test
    void popularKeySpreadsOverRingSuccessorsAndItsSessionsStay() {
        Fixture f = fixture(8);
        for (int i = 0; i < 200; i++) {
            f.serve(f.arrive(i, 99), 0);
            f.pass(SECOND / 50);
        }
        Map<Long, Long> first = new HashMap<>();
        for (long session = 1000; session < 1050; session++) {
            f.serve(f.arrive(session, 99), 0);
            first.put(session, f.lastReplica());
        }
        assertTrue(new HashSet<>(first.values()).size() >= 4);
        for (long session = 1000; session < 1050; session++) {
            f.serve(f.arrive(session, 99), 0);
            assertEquals(first.get(session), f.lastReplica());
        }
    }

    @Test
    void openRequestBoundSpillsWhereReadingIsCheap() {
        Fixture f = fixture(4);
        long id = f.arrive(1, 0);
        f.pass(SECOND / 100);
        f.serve(id, 0);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            f.arrive(1, 0);
            used.add(f.lastReplica());
        }
        assertTrue(used.size() >= 3, "eight open requests of one key stayed at " + used);
    }

    @Test
    void ownZoneComesFirstInALargeFleetOnly() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.instances = 6;
        Fixture large = fixture(setup, 40);
        for (long key = 1; key <= 50; key++) {
            large.serve(large.arrive(key, 0), 0);
            assertEquals(0, large.lastReplica() % 2, "left its zone");
        }
        Fixture small = fixture(setup, 8);
        Set<Long> zones = new HashSet<>();
        for (long key = 1; key <= 50; key++) {
            small.serve(small.arrive(key, 0), 0);
            zones.add(small.lastReplica() % 2);
        }
        assertEquals(Set.of(0L, 1L), zones);
    }

    /** Told by first tokens alone: a zone that answers late is left while another answers sooner. */
    @Test
    void aZoneThatJamsIsLeftAndComesFirstAgain() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.instances = 6;
        Fixture f = fixture(setup, 40);
        boolean left = false;
        for (long key = 1; key <= 60; key++) {
            long id = f.arrive(key, 0);
            boolean home = f.lastReplica() % 2 == 0;
            left |= !home;
            f.pass(home ? SECOND : SECOND / 20);
            f.serve(id, 0);
            // no replica counts as slow any more
            f.pass(SECOND);
        }
        assertTrue(left, "stayed in its jammed zone");
        boolean last = false;
        for (long key = 100; key <= 200; key++) {
            long id = f.arrive(key, 0);
            last = f.lastReplica() % 2 == 0;
            f.pass(SECOND / 100);
            f.serve(id, 0);
        }
        assertTrue(last, "did not come back to its own zone");
    }

    /** The other zone has to read the prompt: it answers sooner, but not by as much as that takes. */
    @Test
    void aZoneThatJamsIsNotLeftForLessThanAReadTakes() {
        for (boolean dear : new boolean[] {false, true}) {
            Fixture f = ownZone();
            long id = f.arrive(500, 0);
            f.pass(dear ? SECOND * 8 / 10 : SECOND / 100);
            f.serve(id, 0);
            f.pass(2 * SECOND);
            assertEquals(!dear, leavesItsZone(f, SECOND / 2, SECOND / 4), "dear to read: " + dear);
        }
    }

    private static Fixture ownZone() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.instances = 6;
        return fixture(setup, 40);
    }

    /** Whether any of sixty sessions goes elsewhere, where first tokens take so long at home and there. */
    private static boolean leavesItsZone(Fixture f, long atHome, long elsewhere) {
        boolean left = false;
        for (long key = 1; key <= 60; key++) {
            long id = f.arrive(key, 0);
            boolean home = f.lastReplica() % 2 == 0;
            left |= !home;
            f.pass(home ? atHome : elsewhere);
            f.router.firstToken(f.now, id, 0);
            f.router.attemptEnded(f.now, id, 0, Outcome.OK, 0, true, 1000, null);
            // no replica counts as slow any more
            f.pass(SECOND);
        }
        return left;
    }

    // ---- no lost request

    @Test
    void timeOutAtTheDeadlineIsAnsweredOnce() {
        Fixture f = fixture(3);
        long id = f.arrive(1, 0);
        assertEquals(6 * SECOND, f.sent.get(0).timeout());
        f.now += 6 * SECOND;
        f.end(id, 0, Outcome.TIMEOUT, false);
        assertEquals(List.of(id), f.refused);
        assertEquals(1, f.sent.size());
    }

    @Test
    void emptyListHoldsAndThenRefuses() {
        Fixture f = new Fixture(new Fixture.Setup().build());
        long id = f.arrive(1, 0);
        assertTrue(f.sent.isEmpty() && f.refused.isEmpty());
        f.pass(3 * SECOND);
        assertEquals(List.of(id), f.refused);
        f.list(3);
        assertTrue(f.sent.isEmpty(), "sent after the final answer");
    }

    @Test
    void heldRequestGoesOutWhenTheListComes() {
        Fixture f = new Fixture(new Fixture.Setup().build());
        f.arrive(1, 0);
        f.pass(SECOND);
        f.list(3);
        assertEquals(1, f.sent.size());
    }

    @Test
    void lateOutcomeOfAFinishedRequestIsIgnored() {
        Fixture f = fixture(3);
        long id = f.arrive(1, 0);
        f.serve(id, 0);
        int before = f.all.size();
        f.end(id, 0, Outcome.ERROR, true);
        f.end(id, 5, Outcome.ERROR, false);
        f.end(999, 0, Outcome.OK, true);
        f.router.requestAbandoned(f.now, id);
        f.router.woken(f.now, 12345);
        assertEquals(before, f.all.size());
    }

    @Test
    void clientThatLeftIsOwedNothingAndItsAttemptIsCancelled() {
        Fixture f = fixture(3);
        long id = f.arrive(1, 0);
        f.router.requestAbandoned(f.now, id);
        assertEquals(List.of(id + "/0"), f.cancelled);
        f.end(id, 0, Outcome.CANCELLED, true);
        assertTrue(f.refused.isEmpty() && f.failed.isEmpty());
    }

    @Test
    void nothingIsCancelledWhereThatIsForbidden() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.cancelling = false;
        Fixture f = fixture(setup, 3);
        f.router.requestAbandoned(f.now, f.arrive(1, 0));
        assertTrue(f.cancelled.isEmpty());
    }

    // ---- no effect twice

    @Test
    void retryGoesToAnotherReplica() {
        Fixture f = fixture(3);
        long id = f.arrive(1, 0);
        f.end(id, 0, Outcome.ERROR, false);
        assertEquals(2, f.sent.size());
        assertNotEquals(f.sent.get(0).replica(), f.sent.get(1).replica());
    }

    @Test
    void fragileRequestThatMayHaveRunFailsAndIsNotRefused() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.effect = RetrySafety.FRAGILE;
        for (Outcome o : List.of(Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)) {
            Fixture f = fixture(setup, 3);
            long id = f.arrive(1, 0);
            f.end(id, 0, o, false);
            assertEquals(1, f.sent.size());
            assertEquals(List.of(id), f.failed);
            assertTrue(f.refused.isEmpty());
        }
    }

    @Test
    void fragileRequestThatNeverRanIsRetried() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.effect = RetrySafety.FRAGILE;
        Fixture f = fixture(setup, 3);
        long id = f.arrive(1, 0);
        f.end(id, 0, Outcome.CONNECT_FAILED, false);
        assertEquals(2, f.sent.size());
        assertTrue(f.failed.isEmpty());
    }

    @Test
    void dedupRetryStaysInItsGroup() {
        for (DedupGroup group : DedupGroup.values()) {
            Fixture.Setup setup = new Fixture.Setup();
            setup.effect = RetrySafety.DEDUP;
            setup.group = group;
            for (int key = 1; key < 30; key++) {
                Fixture f = fixture(setup, 8);
                long id = f.arrive(key, 0);
                f.end(id, 0, Outcome.ERROR, false);
                if (f.sent.size() < 2) {
                    assertEquals(DedupGroup.CELL, group);
                    assertEquals(List.of(id), f.failed, "a group other than all may not be refused");
                    continue;
                }
                long a = f.sent.get(0).replica();
                long b = f.sent.get(1).replica();
                assertTrue(group == DedupGroup.ALL || group == DedupGroup.ZONE && a % 2 == b % 2
                        || group == DedupGroup.CELL && a / 2 == b / 2);
            }
        }
    }

    @Test
    void dedupRetryEndsWithItsWindow() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.effect = RetrySafety.DEDUP;
        Fixture f = fixture(setup, 8);
        long id = f.arrive(1, 0);
        f.now += 5 * SECOND;
        f.end(id, 0, Outcome.ERROR, false);
        assertEquals(1, f.sent.size());
        assertEquals(List.of(id), f.refused, "all replicas drop its repeats: trying again is harmless");
    }

    /** A repeat may wait for its connection for as long as one may take, and is then still in its window. */
    @Test
    void dedupRetryIsSentWhileANewConnectionComesUpInItsWindow() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.effect = RetrySafety.DEDUP;
        for (long early : new long[] {1, 0}) {
            Fixture f = fixture(setup, 8);
            long id = f.arrive(1, 0);
            f.now += 5 * SECOND - 250_000 - early;
            f.end(id, 0, Outcome.ERROR, false);
            assertEquals(early > 0 ? 2 : 1, f.sent.size());
        }
    }

    @Test
    void oneAttemptOnlyMeansOne() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.attempts = 1;
        Fixture f = fixture(setup, 3);
        f.end(f.arrive(1, 0), 0, Outcome.CONNECT_FAILED, false);
        assertEquals(1, f.sent.size());
        assertEquals(1, f.refused.size());
    }

    // ---- drains

    @Test
    void drainingAndGoneReplicasGetNothingNew() {
        Fixture f = fixture(3);
        f.change(Fixture.replica(1, 1, 0, Lifecycle.DRAINING, 0));
        f.change(Fixture.replica(2, 0, 1, Lifecycle.GONE, 0));
        for (int i = 0; i < 50; i++) {
            f.serve(f.arrive(i, 0), 0);
            assertEquals(3, f.lastReplica());
        }
    }

    @Test
    void allDrainingRefusesAtOnce() {
        Fixture f = fixture(1);
        f.change(Fixture.replica(1, 1, 0, Lifecycle.DRAINING, 0));
        long id = f.arrive(1, 0);
        assertEquals(List.of(id), f.refused);
        assertTrue(f.sent.isEmpty());
    }

    @Test
    void replicaThatLeavesWithAttemptsOutIsForgottenQuietly() {
        Fixture f = fixture(2);
        long id = f.arrive(1, 0);
        long where = f.lastReplica();
        f.change(Fixture.replica(where, (int) (where % 2), 0, Lifecycle.GONE, 0));
        f.end(id, 0, Outcome.RESET, false);
        assertEquals(2, f.sent.size());
        assertNotEquals(where, f.lastReplica());
    }

    /** An own count of one or none says nothing of a jam that many gateways make together. */
    @Test
    void theBoundIsOnAllGatewaysStreamsWhereReportsTellThem() {
        Fixture f = new Fixture(new Fixture.Setup().build()).list(8);
        for (int i = 0; i < 100; i++) {
            report(f, f.arrive(1000 + i, 100 + i), 2);
            f.pass(SECOND / 100);
        }
        long id = f.arrive(1, 7);
        long home = f.lastReplica();
        report(f, id, 40);
        f.pass(SECOND);
        f.arrive(5000, 7);
        assertNotEquals(home, f.lastReplica());
        // what was reported long ago is believed no more
        f.pass(3 * SECOND);
        f.arrive(5001, 7);
        assertEquals(home, f.lastReplica());
    }

    /**
     * With many gateways an own count is one or none, and a bound on it says nothing: what is dear to read
     * anew stays at its home unless a report says that the home is full.
     */
    @Test
    void whatIsDearToReadStaysAtAHomeOfWhichNothingIsReported() {
        Fixture f = new Fixture(new Fixture.Setup().build()).list(8);
        f.serve(f.arrive(1, 7), 0);
        long home = f.lastReplica();
        long key = 100;
        long id = f.arrive(key, key);
        while (f.lastReplica() == home) {
            f.serve(id, 0);
            id = f.arrive(++key, key);
        }
        report(f, id, 2);
        f.pass(SECOND * 6 / 10);
        for (long session = 2; session < 6; session++) {
            f.router.firstToken(f.now, f.arrive(session, 7), 0);
            assertEquals(home, f.lastReplica(), "session " + session);
        }
    }

    /** Each gateway and each class finds a replica that errs to everybody anew, at its clients' cost. */
    @Test
    void aReplicaThatReportsMostlyErrorsIsLeftAloneByAllClasses() {
        for (double errors : new double[] {1, 9}) {
            Fixture f = fixture(3);
            long id = f.arriveAs(0, 0, 7);
            long bad = f.lastReplica();
            f.router.attemptEnded(f.now, id, 0, Outcome.ERROR, 0, false, 0,
                    new Routing.LoadReport(1, Double.NaN, Double.NaN, Double.NaN, 10, errors,
                            Double.NaN, Double.NaN));
            f.arriveAs(1, 0, 7);
            assertEquals(errors < 5, bad == f.lastReplica(), errors + " errors of 10");
        }
    }

    private static void report(Fixture f, long id, double held) {
        f.router.firstToken(f.now, id, 0);
        f.router.attemptEnded(f.now, id, 0, Outcome.OK, 0, true, 0, new Routing.LoadReport(held, Double.NaN,
                Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN));
    }

    // ---- slow start

    @Test
    void coldReplicaGetsAPartOfItsKeysAndNoBurst() {
        Fixture f = fixture(3);
        for (int i = 0; i < 500; i++) {
            f.serve(f.arrive(i, 0), 0);
            f.pass(SECOND / 50);
        }
        f.change(Fixture.replica(9, 0, 4, Lifecycle.READY, f.now));
        int cold = 0;
        for (int i = 0; i < 100; i++) {
            f.serve(f.arrive(1000 + i, 0), 0);
            cold += f.lastReplica() == 9 ? 1 : 0;
            f.pass(SECOND / 50);
        }
        // fair share of two seconds is 25; a fifth of that, times the multiple and the margin, is 8
        assertTrue(cold >= 1 && cold <= 9, "cold replica got " + cold);
    }

    @Test
    void allColdFleetIsNotPushedOver() {
        Fixture f = new Fixture(new Fixture.Setup().build());
        f.router.listReceived(f.now, ListKind.FULL, List.of(
                Fixture.replica(1, 0, 0, Lifecycle.READY, f.now),
                Fixture.replica(2, 0, 0, Lifecycle.READY, f.now)));
        for (int i = 0; i < 100; i++) {
            f.arrive(i, 0);
        }
        assertTrue(f.sent.size() <= 4, "sent " + f.sent.size());
        f.pass(4 * SECOND);
        assertEquals(100, f.sent.size() + f.refused.size());
    }

    // ---- troubles

    @Test
    void deadReplicaIsEjectedAndTriedOnceBeforeItReturns() {
        Fixture f = fixture(4);
        long id = f.arrive(1, 0);
        long dead = f.lastReplica();
        f.end(id, 0, Outcome.CONNECT_FAILED, false);
        f.serve(id, 1);
        f.serve(f.arrive(1, 0), 0);
        assertNotEquals(dead, f.lastReplica());
        f.pass(SECOND + 1);
        long key = 100;
        while (key < 200 && f.lastReplica() != dead) {
            f.arrive(key++, 0);
        }
        assertEquals(dead, f.lastReplica(), "no trial");
        assertFalse(f.reached(0, dead), "a second attempt while the trial is out");
    }

    @Test
    void troubleEverywhereEjectsOnlyAPart() {
        Fixture f = fixture(10);
        for (int i = 0; i < 300; i++) {
            long id = f.arrive(i, 0);
            f.end(id, 0, Outcome.ERROR, true);
        }
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 300; i++) {
            f.serve(f.arrive(i, 0), 0);
            used.add(f.lastReplica());
        }
        assertTrue(used.size() >= 6, "only " + used + " still serve");
    }

    private static Fixture failingEverywhere(Fixture.Setup setup) {
        Fixture f = fixture(setup, 10);
        for (int i = 0; i < 400; i++) {
            long id = f.arrive(i, 0);
            for (int a = 0; a < 4 && !f.refused.contains(id); a++) {
                f.end(id, a, Outcome.FULL, false);
                f.pass(SECOND / 10 - SECOND / 500 * (i % 7));
            }
        }
        return f;
    }

    @Test
    void retriesStopWhenTheBudgetIsSpent() {
        assertTrue(failingEverywhere(new Fixture.Setup())
                .assertInBudget(new Routing.AttemptBudget(1, 0.2, 6 * SECOND)) > 0);
    }

    @Test
    void aStatedBudgetOfAttemptsHoldsInEveryWindow() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.budget = new Routing.AttemptBudget(3, 0.05, 2 * SECOND);
        assertTrue(failingEverywhere(setup).assertInBudget(setup.budget) > 0);
    }

    @Test
    void anAttemptAtTheEdgeOfTheWindowStillCounts() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.budget = new Routing.AttemptBudget(1, 0, 2 * SECOND);
        Fixture f = fixture(setup, 10);
        long first = f.arrive(1, 0);
        f.end(first, 0, Outcome.FULL, false);
        assertEquals(2, f.sent.size());
        f.pass(2 * SECOND);
        long second = f.arrive(2, 0);
        f.end(second, 0, Outcome.FULL, false);
        assertEquals(List.of(second), f.refused);
        f.pass(1);
        f.end(f.arrive(3, 0), 0, Outcome.FULL, false);
        assertEquals(5, f.sent.size());
    }

    @Test
    void lowWorthLeavesPartOfTheBudgetToHighWorth() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.secondWorth = 12;
        setup.budget = new Routing.AttemptBudget(4, 0, 2 * SECOND);
        Fixture f = fixture(setup, 10);
        for (int i = 0; i < 200; i++) {
            long id = f.arriveAs(i % 2, i, 0);
            f.pass(SECOND / 100);
            f.serve(id, 0);
        }
        f.pass(3 * SECOND);
        int before = f.sent.size();
        for (int i = 0; i < 5; i++) {
            f.end(f.arriveAs(0, i, 0), 0, Outcome.FULL, false);
        }
        assertEquals(before + 7, f.sent.size());
        f.end(f.arriveAs(1, 9, 0), 0, Outcome.FULL, false);
        assertEquals(before + 9, f.sent.size());
    }

    @Test
    void highWorthStaysAtASlowReplicaWhileTheWaitIsAPartOfItsAim() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.secondWorth = 12;
        setup.lateWorth = 0;
        Fixture f = fixture(setup, 4);
        for (int i = 0; i < 100; i++) {
            long id = f.arriveAs(i % 2, i, 0);
            f.pass(SECOND / 5);
            f.serve(id, 0);
        }
        f.arrive(7, 0);
        long slow = f.lastReplica();
        f.pass(SECOND / 4);
        f.arrive(7, 0);
        assertNotEquals(slow, f.lastReplica());
        f.arriveAs(1, 7, 0);
        assertEquals(slow, f.lastReplica());
        f.pass(SECOND / 4);
        f.arriveAs(1, 7, 0);
        assertNotEquals(slow, f.lastReplica());
    }

    @Test
    void whatIsGivenUpIsRefusedAtOnceWithATimeToComeBackWhereAllowed() {
        for (long most : new long[] {0, SECOND / 10, 2 * SECOND}) {
            Fixture.Setup setup = new Fixture.Setup();
            setup.retryAfterMax = most;
            setup.lateWorth = 0;
            Fixture f = fixture(setup, 4);
            for (int i = 0; i < 400; i++) {
                f.serve(f.arrive(i, 0), 0);
                f.pass(SECOND / 5);
            }
            jam(f);
            long id = f.arrive(7, 0);
            assertEquals(List.of(id), f.refused);
            assertEquals(Math.min(most, 1_010_000 / 8), f.lastAdvice);
        }
    }

    @Test
    void quickerMachineKindGetsMoreOfAKeysSessions() {
        Fixture f = fixture(12);
        Map<Long, Integer> byKind = new HashMap<>();
        for (int i = 0; i < 1200; i++) {
            long id = f.arrive(i, 99);
            long kind = f.lastReplica() % 3;
            byKind.merge(kind, i < 600 ? 0 : 1, Integer::sum);
            f.router.firstToken(f.now, id, 0);
            f.pass(kind == 0 ? SECOND / 10 : SECOND / 2);
            f.end(id, 0, Outcome.OK, true);
        }
        assertTrue(byKind.get(0L) > byKind.get(1L) * 3 / 2, "sessions by kind " + byKind);
    }

    /** A gateway among many sees few answers: what a kind can do must show after some tens of them. */
    @Test
    void fewAnswersTellWhichKindIsQuickerAndItGetsMoreKeys() {
        Fixture f = fixture(12);
        Map<Long, Integer> byKind = new HashMap<>();
        for (int i = 0; i < 160; i++) {
            long id = f.arrive(i + 1, 0);
            long kind = f.lastReplica() % 3;
            byKind.merge(kind, i < 60 ? 0 : 1, Integer::sum);
            f.pass(kind == 0 ? SECOND / 50 : SECOND / 10);
            f.serve(id, 0);
        }
        assertTrue(byKind.get(0L) > 2 * byKind.get(1L), "keys by kind " + byKind);
        assertTrue(byKind.get(0L) > 2 * byKind.get(2L), "keys by kind " + byKind);
        assertTrue(byKind.get(1L) > 3, "a slower kind still gets its part: " + byKind);
    }

    // ---- lost answers, and trouble with one class

    /** A served request, one whose answer is lost, and a later one at the same replica that is served. */
    private static Fixture lostAnswer(Fixture.Setup setup) {
        Fixture f = fixture(setup, 6);
        long lost = f.arrive(7, 0);
        f.pass(SECOND / 20);
        long later = f.arrive(7, 0);
        assertEquals(f.sent.get(0).replica(), f.lastReplica());
        f.pass(SECOND / 8);
        f.serve(later, 0);
        f.pass(SECOND / 8);
        assertEquals(lost, f.sent.get(0).request());
        return f;
    }

    @Test
    void overtakenAttemptIsTriedElsewhereAndDoesNotMakeItsReplicaSlow() {
        Fixture f = lostAnswer(new Fixture.Setup());
        assertEquals(3, f.sent.size());
        assertNotEquals(f.sent.get(0).replica(), f.lastReplica());
        f.serve(1, 1);
        assertEquals(Set.of("1/0"), new HashSet<>(f.cancelled));
        f.end(1, 0, Outcome.CANCELLED, true);
        assertTrue(f.reached(1, f.sent.get(0).replica()));
        assertTrue(f.refused.isEmpty());
    }

    @Test
    void overtakenAttemptIsCalledOffFirstWhereNoCopyIsAllowed() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.duplicates = false;
        Fixture f = lostAnswer(setup);
        assertEquals(List.of("1/0"), f.cancelled);
        assertEquals(2, f.sent.size());
        f.end(1, 0, Outcome.CANCELLED, false);
        assertEquals(3, f.sent.size());
    }

    @Test
    void firstTokensOfOneBatchInAnyOrderAreNoLoss() {
        Fixture f = fixture(6);
        long first = f.arrive(7, 0);
        f.pass(SECOND / 20);
        long second = f.arrive(7, 0);
        f.pass(SECOND / 20);
        f.serve(second, 0);
        f.serve(first, 0);
        f.pass(SECOND);
        assertEquals(2, f.sent.size());
    }

    @Test
    void aClassThatIsTurnedAwayRestsThereAndTheOthersStay() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.secondWorth = 1;
        Fixture f = fixture(setup, 6);
        f.end(f.arriveAs(0, 7, 0), 0, Outcome.FULL, true);
        long struck = f.sent.get(0).replica();
        assertFalse(f.reached(0, struck));
        assertTrue(f.reached(1, struck));
        f.pass(SECOND);
        assertTrue(f.reached(0, struck));
    }

    // ---- placement

    private static Fixture bound(Set<Integer> zones, Set<Integer> kinds, int replicas) {
        Fixture.Setup setup = new Fixture.Setup();
        setup.secondWorth = 12;
        setup.secondPlacement = new Routing.Placement(zones, kinds);
        setup.instances = 6;
        return fixture(setup, replicas);
    }

    @Test
    void aBoundClassRunsOnlyWhereItMayAtEveryAttempt() {
        for (int zone = 0; zone < 2; zone++) {
            Fixture f = bound(Set.of(zone), Set.of(1), 40);
            for (int i = 0; i < 300; i++) {
                long id = f.arriveAs(1, i, i % 5);
                for (int a = 0; a < 3 && !f.refused.contains(id); a++) {
                    assertEquals(zone, f.lastReplica() % 2);
                    assertEquals(1, f.lastReplica() % 3);
                    f.end(id, a, i % 3 == 0 ? Outcome.ERROR : Outcome.FULL, false);
                }
                f.pass(SECOND / 50);
            }
            assertTrue(f.sent.size() > 200, "only " + f.sent.size());
        }
    }

    @Test
    void aBoundClassWhoseReplicasAreAllGoneIsRefusedAtOnce() {
        Fixture f = bound(Set.of(1), Set.of(), 4);
        f.change(Fixture.replica(1, 1, 0, Lifecycle.GONE, 0));
        f.change(Fixture.replica(3, 1, 1, Lifecycle.DRAINING, 0));
        long id = f.arriveAs(1, 7, 0);
        assertEquals(List.of(id), f.refused);
        assertTrue(f.sent.isEmpty(), "sent to a zone that it is not open to");
    }

    @Test
    void aReplicaThatChangesItsZoneChangesItsPool() {
        Fixture f = bound(Set.of(1), Set.of(), 2);
        f.serve(f.arriveAs(1, 7, 0), 0);
        assertEquals(1, f.lastReplica());
        f.change(new Routing.ServerState(1, 0, 1, 0, 1, Lifecycle.READY, 0));
        f.change(new Routing.ServerState(2, 1, 1, 0, 1, Lifecycle.READY, 0));
        f.serve(f.arriveAs(1, 7, 0), 0);
        assertEquals(2, f.lastReplica());
    }

    @Test
    void ejectionsLeaveMostOfEachPool() {
        Fixture f = bound(Set.of(), Set.of(1), 30);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            f.end(f.arriveAs(1, i, 0), 0, Outcome.ERROR, true);
        }
        for (int i = 0; i < 200; i++) {
            f.serve(f.arriveAs(1, i, 0), 0);
            used.add(f.lastReplica());
        }
        assertTrue(used.size() >= 6, "only " + used + " of ten still serve");
    }

    @Test
    void manyGatewaysThatLearnOfAColdReplicaAtOnceDoNotFellIt() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.instances = 28;
        long cold = 1000;
        int sent = 0;
        for (int gateway = 0; gateway < setup.instances; gateway++) {
            Fixture f = new Fixture(setup.build(), gateway).list(77);
            for (int i = 0; i < 400; i++) {
                if (i == 320) {
                    f.change(Fixture.replica(cold, 0, 4, Lifecycle.READY, f.now));
                }
                int before = f.sent.size();
                long id = f.arrive(gateway * 1000 + i, 0);
                sent += f.sent.size() > before && f.lastReplica() == cold ? 1 : 0;
                f.pass(SECOND / 40);
                if (i < 160) {
                    f.serve(id, 0);
                }
            }
        }
        double capacity = 28 * 40 / 78.0;
        assertTrue(sent > 0 && sent <= capacity * 0.2 * 3 * 2, sent + " in a window of two seconds");
    }

    @Test
    void coldReplicaThatIsFullIsNotAskedAgainAndAgain() {
        Fixture f = fixture(3);
        int cold = 0;
        for (int i = 0; i < 400; i++) {
            if (i == 200) {
                f.change(Fixture.replica(9, 0, 4, Lifecycle.READY, f.now));
            }
            long id = f.arrive(i, 0);
            if (f.lastReplica() == 9) {
                cold++;
                f.end(id, 0, Outcome.FULL, false);
            } else {
                f.serve(id, 0);
            }
            f.pass(SECOND / 100);
        }
        assertTrue(cold >= 1 && cold <= 12, "full and cold, asked " + cold + " times in two seconds");
    }

    /** Requests that nobody answers, at three of the four replicas. */
    private static void jam(Fixture f) {
        Set<Long> hung = new HashSet<>();
        for (int session = 0; hung.size() < 3; session++) {
            f.arrive(session, 0);
            hung.add(f.lastReplica());
        }
        f.pass(SECOND / 4);
    }

    @Test
    void oneHungReplicaHoardsNothingAndTheOthersTakeItsRequests() {
        Fixture f = fixture(4);
        f.arrive(1, 0);
        long hung = f.lastReplica();
        f.pass(SECOND);
        for (int i = 0; i < 10; i++) {
            f.serve(f.arrive(1, 0), 0);
            assertNotEquals(hung, f.lastReplica());
        }
        assertEquals(List.of(), f.refused);
    }

    /** One reset may be a kept connection's; a second, with nothing served since, is the replica's. */
    @Test
    void oneBrokenStreamEjectsNobodyAndTwoInARowDo() {
        Fixture f = fixture(4);
        f.serve(f.arrive(1, 0), 0);
        long broken = f.lastReplica();
        for (int i = 0; i < 2; i++) {
            long id = f.arrive(1, 0);
            assertEquals(broken, f.lastReplica());
            f.end(id, 0, Outcome.RESET, true);
        }
        f.serve(f.arrive(1, 0), 0);
        assertNotEquals(broken, f.lastReplica());
    }

    @Test
    void aLateReplicaIsLeftAloneForHalfAsLongAsItsFirstTokenTookAndNoLonger() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.lateWorth = 0;
        setup.duplicates = false;
        Fixture f = fixture(setup, 4);
        long id = f.arrive(1, 0);
        long late = f.lastReplica();
        f.pass(SECOND / 2);
        f.serve(id, 0);
        f.pass(SECOND / 5);
        assertFalse(f.reached(0, late));
        f.pass(SECOND / 10);
        assertTrue(f.reached(0, late));
    }

    /**
     * A walk that grew with the fleet would cost thousands of steps: such a key has many places on the
     * ring.
     */
    @Test
    void aKeySpreadOverManyReplicasKeepsEachSessionAtOne() {
        Fixture f = fixture(200);
        for (int i = 0; i < 3000; i++) {
            f.serve(f.arrive(1 + i % 300, 5), 0);
            f.pass(SECOND / 100);
        }
        Map<Long, Long> homes = new HashMap<>();
        for (int session = 1; session <= 300; session++) {
            f.serve(f.arrive(session, 5), 0);
            homes.put((long) session, f.lastReplica());
        }
        assertTrue(new HashSet<>(homes.values()).size() > 60, "homes "
                + new HashSet<>(homes.values()).size());
        for (int session = 1; session <= 300; session++) {
            f.serve(f.arrive(session, 5), 0);
            assertEquals(homes.get((long) session), f.lastReplica());
        }
    }

    @Test
    void whereMostHangWhatIsDearToReadElsewhereIsRefusedAtOnce() {
        Fixture f = fixture(4);
        jam(f);
        f.pass(SECOND / 4);
        long hung = f.sent.get(0).replica();
        int before = f.sent.size();
        long id = f.arrive(0, 0);
        assertEquals(List.of(id), f.refused, "its replica is " + hung);
        assertEquals(before, f.sent.size());
    }

    @Test
    void trafficOverItsShareIsRefusedFirstAtASlowReplica() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.tenants = List.of(new Routing.Tenant("big", 1), new Routing.Tenant("small", 100));
        setup.lateWorth = 0;
        Fixture f = fixture(setup, 4);
        for (int i = 0; i < 400; i++) {
            long id = f.arrive(i, 0, i % 2);
            f.pass(SECOND / 10);
            f.serve(id, 0);
        }
        jam(f);
        f.pass(SECOND / 4);
        int before = f.refused.size();
        for (int i = 0; i < 40; i++) {
            f.arrive(0, 0, 0);
        }
        assertTrue(f.refused.size() - before >= 20, "over its share: " + (f.refused.size() - before));
        before = f.refused.size();
        f.arrive(0, 0, 1);
        assertEquals(before, f.refused.size(), "inside its share, cheap to read elsewhere");
    }

    /** Refusing it costs more than it makes earlier: nothing is shed ahead of time. */
    @Test
    void lateAnswersOfHighWorthGetNoLowWorthRefused() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.tenants = List.of(new Routing.Tenant("over", 0), new Routing.Tenant("inside", 1000));
        Fixture f = fixture(setup, 4);
        for (int i = 0; i < 200; i++) {
            long id = f.arrive(i, 0, 1);
            f.arrive(10_000 + i, 0, 0);
            f.now += SECOND / 10;
            f.end(id, 0, Outcome.TIMEOUT, true);
        }
        assertTrue(f.refused.isEmpty(), "refused " + f.refused.size());
    }

    /** A wait that is worth as much as being read anew: where a late answer earns nothing, none is. */
    @Test
    void lowWorthBearsAsMuchOfItsAimAsALateAnswerIsWorth() {
        for (double lateWorth : new double[] {0, 0.5}) {
            Fixture.Setup setup = new Fixture.Setup();
            setup.lateWorth = lateWorth;
            setup.duplicates = false;
            Fixture f = fixture(setup, 4);
            for (int i = 0; i < 500; i++) {
                f.serve(f.arrive(100 + i, 0), 0);
            }
            f.pass(SECOND);
            f.arrive(7, 0);
            long slow = f.lastReplica();
            f.pass(SECOND / 4);
            f.arrive(7, 0);
            assertEquals(lateWorth > 0, f.lastReplica() == slow, "late worth " + lateWorth);
            f.pass(SECOND * 2 / 5);
            f.arrive(7, 0);
            assertNotEquals(slow, f.lastReplica());
        }
    }

    /** Its history is where it was served last, not where the ring would send it. */
    @Test
    void aSpilledSessionStaysWhereItWasSpilledTo() {
        Fixture f = fixture(4);
        f.serve(f.arrive(7, 3), 0);
        long home = f.lastReplica();
        long id = f.arrive(7, 3);
        assertEquals(home, f.lastReplica());
        f.end(id, 0, Outcome.ERROR, false);
        long other = f.lastReplica();
        assertNotEquals(home, other);
        f.serve(id, 1);
        f.pass(2 * SECOND);
        f.serve(f.arrive(7, 3), 0);
        assertEquals(other, f.lastReplica());
        f.change(Fixture.replica(other, 0, 0, Lifecycle.DRAINING, 0));
        f.serve(f.arrive(7, 3), 0);
        assertNotEquals(other, f.lastReplica(), "its replica drains");
    }

    @Test
    void sessionsAreForgottenAndNeverTooMany() {
        Sessions sessions = new Sessions();
        BoundedLoadRouter.Node node = new BoundedLoadRouter.Node(
                Fixture.replica(1, 0, 0, Lifecycle.READY, 0), 1, 1);
        for (long s = 0; s <= 20_001; s++) {
            sessions.served(s, node, s);
        }
        assertEquals(null, sessions.last(0));
        assertEquals(null, sessions.last(1));
        assertEquals(node, sessions.last(2));
        sessions.served(2, node, 30_000);
        sessions.forget(20_001);
        assertEquals(null, sessions.last(20_000));
        assertEquals(node, sessions.last(20_001));
        assertEquals(node, sessions.last(2));
    }

    @Test
    void aSecondCopyGoesOutAfterHalfTheAimWhereCopiesAreAllowed() {
        for (boolean allowed : new boolean[] {false, true}) {
            Fixture.Setup setup = new Fixture.Setup();
            setup.duplicates = allowed;
            Fixture f = fixture(setup, 4);
            for (int i = 0; i < 20; i++) {
                f.serve(f.arrive(100 + i, 0), 0);
            }
            long id = f.arrive(7, 0);
            long first = f.lastReplica();
            f.pass(SECOND * 49 / 100);
            assertEquals(21, f.sent.size());
            f.pass(SECOND / 10);
            assertEquals(allowed ? 22 : 21, f.sent.size());
            if (allowed) {
                assertEquals(id, f.sent.get(21).request());
                assertNotEquals(first, f.lastReplica());
                f.pass(SECOND);
                assertEquals(22, f.sent.size(), "a third copy");
            }
        }
    }

    /** Where most are slow, a copy would only lengthen the queues. */
    @Test
    void noSecondCopyWhileMostAreSlow() {
        Fixture f = fixture(4);
        for (int i = 0; i < 40; i++) {
            f.serve(f.arrive(i, 0), 0);
        }
        Set<Long> waiting = new HashSet<>();
        for (int i = 0; waiting.size() < 4; i++) {
            f.arrive(i, 0);
            waiting.add(f.lastReplica());
        }
        int before = f.sent.size();
        f.pass(SECOND);
        assertEquals(before, f.sent.size());
    }

    /** A vanished machine breaks nothing and answers nothing: copies answered elsewhere tell of it. */
    @Test
    void aReplicaSilentWhileCopiesAreAnsweredElsewhereIsEjected() {
        Fixture f = fixture(8);
        for (int i = 0; i < 100; i++) {
            f.serve(f.arrive(100 + i, 0), 0);
        }
        f.pass(SECOND / 10);
        long one = f.arrive(7, 0);
        long silent = f.lastReplica();
        long two = f.arrive(7, 0);
        assertEquals(silent, f.lastReplica());
        f.pass(SECOND * 6 / 10);
        for (long id : new long[] {one, two}) {
            f.serve(id, 1);
            f.end(id, 0, Outcome.CANCELLED, true);
        }
        assertTrue(f.all.stream().anyMatch(line -> line.startsWith("log ejected replica " + silent)));
        f.pass(SECOND / 2);
        assertFalse(f.reached(0, silent));
    }

    @Test
    void replicaThatReturnsUnderItsIdGetsNoSecondAttemptOfARequest() {
        Fixture f = fixture(1);
        long id = f.arrive(1, 0);
        f.change(Fixture.replica(1, 1, 0, Lifecycle.GONE, 0));
        f.change(Fixture.replica(1, 1, 0, Lifecycle.READY, 0));
        f.end(id, 0, Outcome.RESET, false);
        assertEquals(1, f.sent.size());
        assertEquals(List.of(id), f.refused);
    }

    @Test
    void timeGoingBackwardsIsTakenForTheLatest() {
        Fixture f = fixture(3);
        f.now -= 100 * SECOND;
        f.arrive(1, 0);
        assertTrue(f.wakes.get(f.wakes.size() - 1)[0] >= f.now + 100 * SECOND);
    }

    // ---- discovery

    @Test
    void listIsAskedForSoonAndAgainAfterAFailure() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.ask = true;
        Fixture f = new Fixture(setup.build());
        f.pass(SECOND);
        assertEquals(1, f.follows);
        f.router.listReceived(f.now, ListKind.FAILED, List.of());
        f.pass(SECOND);
        assertEquals(2, f.follows);
        f.list(3);
        f.pass(60 * SECOND);
        assertEquals(2, f.follows, "asked while subscribed");
        f.router.listReceived(f.now, ListKind.FAILED, List.of());
        f.pass(SECOND);
        assertEquals(3, f.follows, "a broken subscription is not renewed");
    }

    @Test
    void cachedListServesUntilTheNewOneAndIsNotTakenForASubscription() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.ask = true;
        Fixture f = new Fixture(setup.build());
        f.router.listReceived(f.now, ListKind.CACHED, List.of(Fixture.replica(5, 0, 0, Lifecycle.READY, 0)));
        f.arrive(1, 0);
        assertEquals(5, f.lastReplica());
        f.pass(SECOND);
        assertEquals(1, f.follows);
        f.list(3);
        for (int i = 0; i < 20; i++) {
            f.serve(f.arrive(i, 0), 0);
            assertNotEquals(5, f.lastReplica());
        }
    }

    @Test
    void impossibleSettingsNameTheirField() {
        assertTrue(assertThrows(IllegalArgumentException.class,
                () -> new Routing.Limits(0, true, true, true, 0, 0)).getMessage().contains("maxAttempts"));
        assertTrue(assertThrows(IllegalArgumentException.class,
                () -> new Routing.Contract(0, 0, 1.5, 1, 0, 1, null)).getMessage().contains("coldFrom"));
        assertFalse(new Fixture.Setup().build().classes().isEmpty());
    }
}
