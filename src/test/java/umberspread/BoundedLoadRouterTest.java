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

/** Tests of single routing decisions, by the actions that follow recorded events. */
class BoundedLoadRouterTest {
    private static Fixture fixture(Fixture.Setup setup, int servers) {
        return new Fixture(setup.build()).listServers(servers);
    }

    private static Fixture fixture(int servers) {
        return fixture(new Fixture.Setup(), servers);
    }

    // ---- choice of a server

    @Test
    void keyStaysOnItsRingServer() {
        Fixture f = fixture(8);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 5; i++) {
            f.serve(f.arrive(7, 0), 0);
            used.add(f.lastServer());
        }
        assertEquals(1, used.size());
    }

    @Test
    void onlyKeysOfARemovedServerMove() {
        Fixture f = fixture(8);
        Map<Long, Long> before = new HashMap<>();
        for (long key = 1; key <= 200; key++) {
            f.serve(f.arrive(key, 0), 0);
            before.put(key, f.lastServer());
        }
        f.updateServer(Fixture.server(3, 1, 1, Lifecycle.GONE, 0));
        for (long key = 1; key <= 200; key++) {
            f.serve(f.arrive(key, 0), 0);
            if (before.get(key) != 3) {
                assertEquals(before.get(key), f.lastServer());
            } else {
                assertNotEquals(3, f.lastServer());
            }
        }
    }

    @Test
    void popularKeyIsSpreadOverRingSuccessorsAndItsSessionsStay() {
        Fixture f = fixture(8);
        for (int i = 0; i < 200; i++) {
            f.serve(f.arrive(i, 99), 0);
            f.advance(SECOND / 50);
        }
        Map<Long, Long> first = new HashMap<>();
        for (long session = 1000; session < 1050; session++) {
            f.serve(f.arrive(session, 99), 0);
            first.put(session, f.lastServer());
        }
        assertTrue(new HashSet<>(first.values()).size() >= 4);
        for (long session = 1000; session < 1050; session++) {
            f.serve(f.arrive(session, 99), 0);
            assertEquals(first.get(session), f.lastServer());
        }
    }

    @Test
    void loadBoundSpillsWherePrefillIsCheap() {
        Fixture f = fixture(4);
        long id = f.arrive(1, 0);
        f.advance(SECOND / 100);
        f.serve(id, 0);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            f.arrive(1, 0);
            used.add(f.lastServer());
        }
        assertTrue(used.size() >= 3, "eight open requests of one key stayed on " + used);
    }

    @Test
    void ownZoneIsPreferredOnlyWithManyServers() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.instances = 6;
        Fixture large = fixture(setup, 40);
        for (long key = 1; key <= 50; key++) {
            large.serve(large.arrive(key, 0), 0);
            assertEquals(0, large.lastServer() % 2, "left its zone");
        }
        Fixture small = fixture(setup, 8);
        Set<Long> zones = new HashSet<>();
        for (long key = 1; key <= 50; key++) {
            small.serve(small.arrive(key, 0), 0);
            zones.add(small.lastServer() % 2);
        }
        assertEquals(Set.of(0L, 1L), zones);
    }

    /** The only signal is the delay of first tokens: a slow zone is left while another answers sooner. */
    @Test
    void congestedZoneIsLeftAndPreferredAgainLater() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.instances = 6;
        Fixture f = fixture(setup, 40);
        boolean left = false;
        for (long key = 1; key <= 60; key++) {
            long id = f.arrive(key, 0);
            boolean inOwnZone = f.lastServer() % 2 == 0;
            left |= !inOwnZone;
            f.advance(inOwnZone ? SECOND : SECOND / 20);
            f.serve(id, 0);
            // no server counts as slow any more
            f.advance(SECOND);
        }
        assertTrue(left, "stayed in its congested zone");
        boolean last = false;
        for (long key = 100; key <= 200; key++) {
            long id = f.arrive(key, 0);
            last = f.lastServer() % 2 == 0;
            f.advance(SECOND / 100);
            f.serve(id, 0);
        }
        assertTrue(last, "did not come back to its own zone");
    }

    /** The other zone answers sooner, but has to prefill the prompt, which may take longer than it saves. */
    @Test
    void congestedZoneIsNotLeftIfThePrefillCostsMore() {
        for (boolean expensive : new boolean[] {false, true}) {
            Fixture f = ownZonePreferred();
            long id = f.arrive(500, 0);
            f.advance(expensive ? SECOND * 8 / 10 : SECOND / 100);
            f.serve(id, 0);
            f.advance(2 * SECOND);
            assertEquals(!expensive, leavesOwnZone(f, SECOND / 2, SECOND / 4),
                    "expensive prefill: " + expensive);
        }
    }

    private static Fixture ownZonePreferred() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.instances = 6;
        return fixture(setup, 40);
    }

    /** Whether any of sixty sessions leaves the own zone, given the first-token delays of both zones. */
    private static boolean leavesOwnZone(Fixture f, long ownZoneDelay, long otherZoneDelay) {
        boolean left = false;
        for (long key = 1; key <= 60; key++) {
            long id = f.arrive(key, 0);
            boolean inOwnZone = f.lastServer() % 2 == 0;
            left |= !inOwnZone;
            f.advance(inOwnZone ? ownZoneDelay : otherZoneDelay);
            f.router.firstToken(f.now, id, 0);
            f.router.attemptEnded(f.now, id, 0, Outcome.OK, 0, true, 1000, null);
            // no server counts as slow any more
            f.advance(SECOND);
        }
        return left;
    }

    // ---- no lost request

    @Test
    void timeoutAtTheDeadlineIsAnsweredOnce() {
        Fixture f = fixture(3);
        long id = f.arrive(1, 0);
        assertEquals(6 * SECOND, f.sent.get(0).timeout());
        f.now += 6 * SECOND;
        f.endAttempt(id, 0, Outcome.TIMEOUT, false);
        assertEquals(List.of(id), f.refused);
        assertEquals(1, f.sent.size());
    }

    @Test
    void emptyListQueuesAndThenRefuses() {
        Fixture f = new Fixture(new Fixture.Setup().build());
        long id = f.arrive(1, 0);
        assertTrue(f.sent.isEmpty() && f.refused.isEmpty());
        f.advance(3 * SECOND);
        assertEquals(List.of(id), f.refused);
        f.listServers(3);
        assertTrue(f.sent.isEmpty(), "sent after the final answer");
    }

    @Test
    void queuedRequestIsSentWhenTheListArrives() {
        Fixture f = new Fixture(new Fixture.Setup().build());
        f.arrive(1, 0);
        f.advance(SECOND);
        f.listServers(3);
        assertEquals(1, f.sent.size());
    }

    @Test
    void lateOutcomeOfAFinishedRequestIsIgnored() {
        Fixture f = fixture(3);
        long id = f.arrive(1, 0);
        f.serve(id, 0);
        int before = f.actionLog.size();
        f.endAttempt(id, 0, Outcome.ERROR, true);
        f.endAttempt(id, 5, Outcome.ERROR, false);
        f.endAttempt(999, 0, Outcome.OK, true);
        f.router.requestAbandoned(f.now, id);
        f.router.woken(f.now, 12345);
        assertEquals(before, f.actionLog.size());
    }

    @Test
    void disconnectedClientGetsNoAnswerAndItsAttemptIsCancelled() {
        Fixture f = fixture(3);
        long id = f.arrive(1, 0);
        f.router.requestAbandoned(f.now, id);
        assertEquals(List.of(id + "/0"), f.cancelled);
        f.endAttempt(id, 0, Outcome.CANCELLED, true);
        assertTrue(f.refused.isEmpty() && f.failed.isEmpty());
    }

    @Test
    void nothingIsCancelledWhereThatIsNotAllowed() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.cancelling = false;
        Fixture f = fixture(setup, 3);
        f.router.requestAbandoned(f.now, f.arrive(1, 0));
        assertTrue(f.cancelled.isEmpty());
    }

    // ---- protection from duplicate execution

    @Test
    void retryGoesToAnotherServer() {
        Fixture f = fixture(3);
        long id = f.arrive(1, 0);
        f.endAttempt(id, 0, Outcome.ERROR, false);
        assertEquals(2, f.sent.size());
        assertNotEquals(f.sent.get(0).server(), f.sent.get(1).server());
    }

    @Test
    void fragileRequestThatMayHaveRunFailsAndIsNotRefused() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.effect = RetrySafety.FRAGILE;
        for (Outcome o : List.of(Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)) {
            Fixture f = fixture(setup, 3);
            long id = f.arrive(1, 0);
            f.endAttempt(id, 0, o, false);
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
        f.endAttempt(id, 0, Outcome.CONNECT_FAILED, false);
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
                f.endAttempt(id, 0, Outcome.ERROR, false);
                if (f.sent.size() < 2) {
                    assertEquals(DedupGroup.CELL, group);
                    assertEquals(List.of(id), f.failed, "a group other than all may not be refused");
                    continue;
                }
                long a = f.sent.get(0).server();
                long b = f.sent.get(1).server();
                assertTrue(group == DedupGroup.ALL || group == DedupGroup.ZONE && a % 2 == b % 2
                        || group == DedupGroup.CELL && a / 2 == b / 2);
            }
        }
    }

    @Test
    void dedupRequestIsNotRetriedAfterItsWindow() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.effect = RetrySafety.DEDUP;
        Fixture f = fixture(setup, 8);
        long id = f.arrive(1, 0);
        f.now += 5 * SECOND;
        f.endAttempt(id, 0, Outcome.ERROR, false);
        assertEquals(1, f.sent.size());
        assertEquals(List.of(id), f.refused, "all servers drop its duplicates: a retry is harmless");
    }

    /** A retry may have to wait for a new connection and must still arrive within the dedup window. */
    @Test
    void dedupRetryLeavesTimeToConnectWithinItsWindow() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.effect = RetrySafety.DEDUP;
        for (long early : new long[] {1, 0}) {
            Fixture f = fixture(setup, 8);
            long id = f.arrive(1, 0);
            f.now += 5 * SECOND - 250_000 - early;
            f.endAttempt(id, 0, Outcome.ERROR, false);
            assertEquals(early > 0 ? 2 : 1, f.sent.size());
        }
    }

    @Test
    void maxAttemptsOfOneAllowsNoRetry() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.maxAttempts = 1;
        Fixture f = fixture(setup, 3);
        f.endAttempt(f.arrive(1, 0), 0, Outcome.CONNECT_FAILED, false);
        assertEquals(1, f.sent.size());
        assertEquals(1, f.refused.size());
    }

    // ---- drains

    @Test
    void drainingAndGoneServersGetNoNewRequests() {
        Fixture f = fixture(3);
        f.updateServer(Fixture.server(1, 1, 0, Lifecycle.DRAINING, 0));
        f.updateServer(Fixture.server(2, 0, 1, Lifecycle.GONE, 0));
        for (int i = 0; i < 50; i++) {
            f.serve(f.arrive(i, 0), 0);
            assertEquals(3, f.lastServer());
        }
    }

    @Test
    void allDrainingRefusesAtOnce() {
        Fixture f = fixture(1);
        f.updateServer(Fixture.server(1, 1, 0, Lifecycle.DRAINING, 0));
        long id = f.arrive(1, 0);
        assertEquals(List.of(id), f.refused);
        assertTrue(f.sent.isEmpty());
    }

    @Test
    void removedServerWithAttemptsInFlightIsForgotten() {
        Fixture f = fixture(2);
        long id = f.arrive(1, 0);
        long server = f.lastServer();
        f.updateServer(Fixture.server(server, (int) (server % 2), 0, Lifecycle.GONE, 0));
        f.endAttempt(id, 0, Outcome.RESET, false);
        assertEquals(2, f.sent.size());
        assertNotEquals(server, f.lastServer());
    }

    /** A router's own count of one or zero shows nothing of congestion that many instances cause together. */
    @Test
    void loadBoundCountsStreamsOfAllInstancesWithLoadReports() {
        Fixture f = new Fixture(new Fixture.Setup().build()).listServers(8);
        for (int i = 0; i < 100; i++) {
            report(f, f.arrive(1000 + i, 100 + i), 2);
            f.advance(SECOND / 100);
        }
        long id = f.arrive(1, 7);
        long ringServer = f.lastServer();
        report(f, id, 40);
        f.advance(SECOND);
        f.arrive(5000, 7);
        assertNotEquals(ringServer, f.lastServer());
        // an old report is no longer trusted
        f.advance(3 * SECOND);
        f.arrive(5001, 7);
        assertEquals(ringServer, f.lastServer());
    }

    /**
     * With many instances, a router's own count is one or zero and a bound on it means nothing: a prompt with
     * an expensive prefill stays on its server unless a load report says that the server is full.
     */
    @Test
    void expensivePromptStaysOnItsServerWithoutALoadReport() {
        Fixture f = new Fixture(new Fixture.Setup().build()).listServers(8);
        f.serve(f.arrive(1, 7), 0);
        long ringServer = f.lastServer();
        long key = 100;
        long id = f.arrive(key, key);
        while (f.lastServer() == ringServer) {
            f.serve(id, 0);
            id = f.arrive(++key, key);
        }
        report(f, id, 2);
        f.advance(SECOND * 6 / 10);
        for (long session = 2; session < 6; session++) {
            f.router.firstToken(f.now, f.arrive(session, 7), 0);
            assertEquals(ringServer, f.lastServer(), "session " + session);
        }
    }

    /** Otherwise each instance and each class would find out separately, at its clients' expense. */
    @Test
    void serverThatReportsMostlyErrorsIsAvoidedByAllClasses() {
        for (double errors : new double[] {1, 9}) {
            Fixture f = fixture(3);
            long id = f.arriveAs(0, 0, 7);
            long bad = f.lastServer();
            f.router.attemptEnded(f.now, id, 0, Outcome.ERROR, 0, false, 0,
                    new Routing.LoadReport(1, Double.NaN, Double.NaN, Double.NaN, 10, errors,
                            Double.NaN, Double.NaN));
            f.arriveAs(1, 0, 7);
            assertEquals(errors < 5, bad == f.lastServer(), errors + " errors of 10");
        }
    }

    private static void report(Fixture f, long id, double inFlight) {
        f.router.firstToken(f.now, id, 0);
        f.router.attemptEnded(f.now, id, 0, Outcome.OK, 0, true, 0,
                new Routing.LoadReport(inFlight, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN,
                        Double.NaN, Double.NaN));
    }

    // ---- slow start

    @Test
    void coldServerGetsAShareOfItsKeysAndNoBurst() {
        Fixture f = fixture(3);
        for (int i = 0; i < 500; i++) {
            f.serve(f.arrive(i, 0), 0);
            f.advance(SECOND / 50);
        }
        f.updateServer(Fixture.server(9, 0, 4, Lifecycle.READY, f.now));
        int cold = 0;
        for (int i = 0; i < 100; i++) {
            f.serve(f.arrive(1000 + i, 0), 0);
            cold += f.lastServer() == 9 ? 1 : 0;
            f.advance(SECOND / 50);
        }
        // the fair share in two seconds is 25; a fifth of it, times overload multiple and margin, is 8
        assertTrue(cold >= 1 && cold <= 9, "cold server got " + cold);
    }

    @Test
    void serversThatAreAllColdAreNotOverloaded() {
        Fixture f = new Fixture(new Fixture.Setup().build());
        f.router.listReceived(f.now, ListKind.FULL, List.of(
                Fixture.server(1, 0, 0, Lifecycle.READY, f.now),
                Fixture.server(2, 0, 0, Lifecycle.READY, f.now)));
        for (int i = 0; i < 100; i++) {
            f.arrive(i, 0);
        }
        assertTrue(f.sent.size() <= 4, "sent " + f.sent.size());
        f.advance(4 * SECOND);
        assertEquals(100, f.sent.size() + f.refused.size());
    }

    // ---- failures, congestion and the attempt budget

    @Test
    void deadServerIsEjectedAndGetsOneTrialBeforeItReturns() {
        Fixture f = fixture(4);
        long id = f.arrive(1, 0);
        long dead = f.lastServer();
        f.endAttempt(id, 0, Outcome.CONNECT_FAILED, false);
        f.serve(id, 1);
        f.serve(f.arrive(1, 0), 0);
        assertNotEquals(dead, f.lastServer());
        f.advance(SECOND + 1);
        long key = 100;
        while (key < 200 && f.lastServer() != dead) {
            f.arrive(key++, 0);
        }
        assertEquals(dead, f.lastServer(), "no trial");
        assertFalse(f.receivesRequest(0, dead), "a second attempt while the trial is in flight");
    }

    @Test
    void errorsEverywhereKeepOnlySomeServersOut() {
        Fixture f = fixture(10);
        for (int i = 0; i < 300; i++) {
            long id = f.arrive(i, 0);
            f.endAttempt(id, 0, Outcome.ERROR, true);
        }
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 300; i++) {
            f.serve(f.arrive(i, 0), 0);
            used.add(f.lastServer());
        }
        assertTrue(used.size() >= 6, "only " + used + " still serve");
    }

    private static Fixture rejectedEverywhere(Fixture.Setup setup) {
        Fixture f = fixture(setup, 10);
        for (int i = 0; i < 400; i++) {
            long id = f.arrive(i, 0);
            for (int a = 0; a < 4 && !f.refused.contains(id); a++) {
                f.endAttempt(id, a, Outcome.FULL, false);
                f.advance(SECOND / 10 - SECOND / 500 * (i % 7));
            }
        }
        return f;
    }

    @Test
    void retriesStopWhenTheBudgetIsSpent() {
        assertTrue(rejectedEverywhere(new Fixture.Setup())
                .assertInBudget(new Routing.AttemptBudget(1, 0.2, 6 * SECOND)) > 0);
    }

    @Test
    void configuredAttemptBudgetHoldsInEveryWindow() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.attemptBudget = new Routing.AttemptBudget(3, 0.05, 2 * SECOND);
        assertTrue(rejectedEverywhere(setup).assertInBudget(setup.attemptBudget) > 0);
    }

    @Test
    void attemptAtTheEdgeOfTheWindowStillCounts() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.attemptBudget = new Routing.AttemptBudget(1, 0, 2 * SECOND);
        Fixture f = fixture(setup, 10);
        long first = f.arrive(1, 0);
        f.endAttempt(first, 0, Outcome.FULL, false);
        assertEquals(2, f.sent.size());
        f.advance(2 * SECOND);
        long second = f.arrive(2, 0);
        f.endAttempt(second, 0, Outcome.FULL, false);
        assertEquals(List.of(second), f.refused);
        f.advance(1);
        f.endAttempt(f.arrive(3, 0), 0, Outcome.FULL, false);
        assertEquals(5, f.sent.size());
    }

    @Test
    void lowWorthLeavesPartOfTheBudgetToHighWorth() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.secondWorth = 12;
        setup.attemptBudget = new Routing.AttemptBudget(4, 0, 2 * SECOND);
        Fixture f = fixture(setup, 10);
        for (int i = 0; i < 200; i++) {
            long id = f.arriveAs(i % 2, i, 0);
            f.advance(SECOND / 100);
            f.serve(id, 0);
        }
        f.advance(3 * SECOND);
        int before = f.sent.size();
        for (int i = 0; i < 5; i++) {
            f.endAttempt(f.arriveAs(0, i, 0), 0, Outcome.FULL, false);
        }
        assertEquals(before + 7, f.sent.size());
        f.endAttempt(f.arriveAs(1, 9, 0), 0, Outcome.FULL, false);
        assertEquals(before + 9, f.sent.size());
    }

    @Test
    void highWorthStaysOnASlowServerWhileTheWaitIsTolerable() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.secondWorth = 12;
        setup.lateWorth = 0;
        Fixture f = fixture(setup, 4);
        for (int i = 0; i < 100; i++) {
            long id = f.arriveAs(i % 2, i, 0);
            f.advance(SECOND / 5);
            f.serve(id, 0);
        }
        f.arrive(7, 0);
        long slow = f.lastServer();
        f.advance(SECOND / 4);
        f.arrive(7, 0);
        assertNotEquals(slow, f.lastServer());
        f.arriveAs(1, 7, 0);
        assertEquals(slow, f.lastServer());
        f.advance(SECOND / 4);
        f.arriveAs(1, 7, 0);
        assertNotEquals(slow, f.lastServer());
    }

    @Test
    void refusalCarriesRetryAfterAdviceWhereAllowed() {
        for (long maxRetryAfter : new long[] {0, SECOND / 10, 2 * SECOND}) {
            Fixture.Setup setup = new Fixture.Setup();
            setup.retryAfterMax = maxRetryAfter;
            setup.lateWorth = 0;
            Fixture f = fixture(setup, 4);
            for (int i = 0; i < 400; i++) {
                f.serve(f.arrive(i, 0), 0);
                f.advance(SECOND / 5);
            }
            hangThreeOfFour(f);
            long id = f.arrive(7, 0);
            assertEquals(List.of(id), f.refused);
            assertEquals(Math.min(maxRetryAfter, 1_010_000 / 8), f.lastRetryAfter);
        }
    }

    @Test
    void fasterMachineKindGetsMoreOfAKeysSessions() {
        Fixture f = fixture(12);
        Map<Long, Integer> byKind = new HashMap<>();
        for (int i = 0; i < 1200; i++) {
            long id = f.arrive(i, 99);
            long kind = f.lastServer() % 3;
            byKind.merge(kind, i < 600 ? 0 : 1, Integer::sum);
            f.router.firstToken(f.now, id, 0);
            f.advance(kind == 0 ? SECOND / 10 : SECOND / 2);
            f.endAttempt(id, 0, Outcome.OK, true);
        }
        assertTrue(byKind.get(0L) > byKind.get(1L) * 3 / 2, "sessions by kind " + byKind);
    }

    /** One instance among many sees few answers: a kind's speed must show after some tens of them. */
    @Test
    void fasterMachineKindIsRecognisedAfterFewAnswersAndGetsMoreKeys() {
        Fixture f = fixture(12);
        Map<Long, Integer> byKind = new HashMap<>();
        for (int i = 0; i < 160; i++) {
            long id = f.arrive(i + 1, 0);
            long kind = f.lastServer() % 3;
            byKind.merge(kind, i < 60 ? 0 : 1, Integer::sum);
            f.advance(kind == 0 ? SECOND / 50 : SECOND / 10);
            f.serve(id, 0);
        }
        assertTrue(byKind.get(0L) > 2 * byKind.get(1L), "keys by kind " + byKind);
        assertTrue(byKind.get(0L) > 2 * byKind.get(2L), "keys by kind " + byKind);
        assertTrue(byKind.get(1L) > 3, "a slower kind still gets its share: " + byKind);
    }

    // ---- lost answers, and failures of one class

    /** A request whose answer is lost, and a later one on the same server that is answered. */
    private static Fixture lostAnswer(Fixture.Setup setup) {
        Fixture f = fixture(setup, 6);
        long lost = f.arrive(7, 0);
        f.advance(SECOND / 20);
        long later = f.arrive(7, 0);
        assertEquals(f.sent.get(0).server(), f.lastServer());
        f.advance(SECOND / 8);
        f.serve(later, 0);
        f.advance(SECOND / 8);
        assertEquals(lost, f.sent.get(0).request());
        return f;
    }

    @Test
    void overtakenAttemptIsRetriedElsewhereAndItsServerIsNotSlow() {
        Fixture f = lostAnswer(new Fixture.Setup());
        assertEquals(3, f.sent.size());
        assertNotEquals(f.sent.get(0).server(), f.lastServer());
        f.serve(1, 1);
        assertEquals(Set.of("1/0"), new HashSet<>(f.cancelled));
        f.endAttempt(1, 0, Outcome.CANCELLED, true);
        assertTrue(f.receivesRequest(1, f.sent.get(0).server()));
        assertTrue(f.refused.isEmpty());
    }

    @Test
    void overtakenAttemptIsCancelledFirstWhereHedgingIsNotAllowed() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.hedging = false;
        Fixture f = lostAnswer(setup);
        assertEquals(List.of("1/0"), f.cancelled);
        assertEquals(2, f.sent.size());
        f.endAttempt(1, 0, Outcome.CANCELLED, false);
        assertEquals(3, f.sent.size());
    }

    @Test
    void firstTokensOfOneBatchInAnyOrderCauseNoRetry() {
        Fixture f = fixture(6);
        long first = f.arrive(7, 0);
        f.advance(SECOND / 20);
        long second = f.arrive(7, 0);
        f.advance(SECOND / 20);
        f.serve(second, 0);
        f.serve(first, 0);
        f.advance(SECOND);
        assertEquals(2, f.sent.size());
    }

    @Test
    void rejectedClassIsBackedOffAndTheOthersStay() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.secondWorth = 1;
        Fixture f = fixture(setup, 6);
        f.endAttempt(f.arriveAs(0, 7, 0), 0, Outcome.FULL, true);
        long rejecting = f.sent.get(0).server();
        assertFalse(f.receivesRequest(0, rejecting));
        assertTrue(f.receivesRequest(1, rejecting));
        f.advance(SECOND);
        assertTrue(f.receivesRequest(0, rejecting));
    }

    // ---- placement

    private static Fixture withPlacement(Set<Integer> zones, Set<Integer> kinds, int servers) {
        Fixture.Setup setup = new Fixture.Setup();
        setup.secondWorth = 12;
        setup.secondPlacement = new Routing.Placement(zones, kinds);
        setup.instances = 6;
        return fixture(setup, servers);
    }

    @Test
    void placementHoldsAtEveryAttempt() {
        for (int zone = 0; zone < 2; zone++) {
            Fixture f = withPlacement(Set.of(zone), Set.of(1), 40);
            for (int i = 0; i < 300; i++) {
                long id = f.arriveAs(1, i, i % 5);
                for (int a = 0; a < 3 && !f.refused.contains(id); a++) {
                    assertEquals(zone, f.lastServer() % 2);
                    assertEquals(1, f.lastServer() % 3);
                    f.endAttempt(id, a, i % 3 == 0 ? Outcome.ERROR : Outcome.FULL, false);
                }
                f.advance(SECOND / 50);
            }
            assertTrue(f.sent.size() > 200, "only " + f.sent.size());
        }
    }

    @Test
    void classWithoutServersOfItsPlacementIsRefusedAtOnce() {
        Fixture f = withPlacement(Set.of(1), Set.of(), 4);
        f.updateServer(Fixture.server(1, 1, 0, Lifecycle.GONE, 0));
        f.updateServer(Fixture.server(3, 1, 1, Lifecycle.DRAINING, 0));
        long id = f.arriveAs(1, 7, 0);
        assertEquals(List.of(id), f.refused);
        assertTrue(f.sent.isEmpty(), "sent to a zone that its class may not use");
    }

    @Test
    void serverThatChangesItsZoneChangesItsPool() {
        Fixture f = withPlacement(Set.of(1), Set.of(), 2);
        f.serve(f.arriveAs(1, 7, 0), 0);
        assertEquals(1, f.lastServer());
        f.updateServer(new Routing.ServerState(1, 0, 1, 0, 1, Lifecycle.READY, 0));
        f.updateServer(new Routing.ServerState(2, 1, 1, 0, 1, Lifecycle.READY, 0));
        f.serve(f.arriveAs(1, 7, 0), 0);
        assertEquals(2, f.lastServer());
    }

    @Test
    void ejectionsLeaveMostOfEachPool() {
        Fixture f = withPlacement(Set.of(), Set.of(1), 30);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            f.endAttempt(f.arriveAs(1, i, 0), 0, Outcome.ERROR, true);
        }
        for (int i = 0; i < 200; i++) {
            f.serve(f.arriveAs(1, i, 0), 0);
            used.add(f.lastServer());
        }
        assertTrue(used.size() >= 6, "only " + used + " of ten still serve");
    }

    @Test
    void manyInstancesThatLearnOfAColdServerAtOnceDoNotOverloadIt() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.instances = 28;
        long cold = 1000;
        int sent = 0;
        for (int instance = 0; instance < setup.instances; instance++) {
            Fixture f = new Fixture(setup.build(), instance).listServers(77);
            for (int i = 0; i < 400; i++) {
                if (i == 320) {
                    f.updateServer(Fixture.server(cold, 0, 4, Lifecycle.READY, f.now));
                }
                int before = f.sent.size();
                long id = f.arrive(instance * 1000 + i, 0);
                sent += f.sent.size() > before && f.lastServer() == cold ? 1 : 0;
                f.advance(SECOND / 40);
                if (i < 160) {
                    f.serve(id, 0);
                }
            }
        }
        double capacity = 28 * 40 / 78.0;
        assertTrue(sent > 0 && sent <= capacity * 0.2 * 3 * 2, sent + " in a window of two seconds");
    }

    @Test
    void fullColdServerIsNotTriedRepeatedly() {
        Fixture f = fixture(3);
        int cold = 0;
        for (int i = 0; i < 400; i++) {
            if (i == 200) {
                f.updateServer(Fixture.server(9, 0, 4, Lifecycle.READY, f.now));
            }
            long id = f.arrive(i, 0);
            if (f.lastServer() == 9) {
                cold++;
                f.endAttempt(id, 0, Outcome.FULL, false);
            } else {
                f.serve(id, 0);
            }
            f.advance(SECOND / 100);
        }
        assertTrue(cold >= 1 && cold <= 12, "full and cold, tried " + cold + " times in two seconds");
    }

    /** Sends requests that are never answered to three of the four servers. */
    private static void hangThreeOfFour(Fixture f) {
        Set<Long> hung = new HashSet<>();
        for (int session = 0; hung.size() < 3; session++) {
            f.arrive(session, 0);
            hung.add(f.lastServer());
        }
        f.advance(SECOND / 4);
    }

    @Test
    void requestsOfAHungServerGoToTheOthers() {
        Fixture f = fixture(4);
        f.arrive(1, 0);
        long hung = f.lastServer();
        f.advance(SECOND);
        for (int i = 0; i < 10; i++) {
            f.serve(f.arrive(1, 0), 0);
            assertNotEquals(hung, f.lastServer());
        }
        assertEquals(List.of(), f.refused);
    }

    /** One reset may come from a stale keepalive connection; a second with no answer in between counts. */
    @Test
    void twoConsecutiveResetsEjectAServerAndOneDoesNot() {
        Fixture f = fixture(4);
        f.serve(f.arrive(1, 0), 0);
        long broken = f.lastServer();
        for (int i = 0; i < 2; i++) {
            long id = f.arrive(1, 0);
            assertEquals(broken, f.lastServer());
            f.endAttempt(id, 0, Outcome.RESET, true);
        }
        f.serve(f.arrive(1, 0), 0);
        assertNotEquals(broken, f.lastServer());
    }

    @Test
    void lateServerIsAvoidedForHalfItsFirstTokenDelay() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.lateWorth = 0;
        setup.hedging = false;
        Fixture f = fixture(setup, 4);
        long id = f.arrive(1, 0);
        long late = f.lastServer();
        f.advance(SECOND / 2);
        f.serve(id, 0);
        f.advance(SECOND / 5);
        assertFalse(f.receivesRequest(0, late));
        f.advance(SECOND / 10);
        assertTrue(f.receivesRequest(0, late));
    }

    /**
     * Such a key has many positions on the ring: a walk that grew with the number of servers would cost
     * thousands of steps.
     */
    @Test
    void keySpreadOverManyServersKeepsEachSessionOnOne() {
        Fixture f = fixture(200);
        for (int i = 0; i < 3000; i++) {
            f.serve(f.arrive(1 + i % 300, 5), 0);
            f.advance(SECOND / 100);
        }
        Map<Long, Long> homes = new HashMap<>();
        for (int session = 1; session <= 300; session++) {
            f.serve(f.arrive(session, 5), 0);
            homes.put((long) session, f.lastServer());
        }
        assertTrue(new HashSet<>(homes.values()).size() > 60, "homes "
                + new HashSet<>(homes.values()).size());
        for (int session = 1; session <= 300; session++) {
            f.serve(f.arrive(session, 5), 0);
            assertEquals(homes.get((long) session), f.lastServer());
        }
    }

    @Test
    void expensivePromptIsRefusedAtOnceWhereMostServersHang() {
        Fixture f = fixture(4);
        hangThreeOfFour(f);
        f.advance(SECOND / 4);
        long hung = f.sent.get(0).server();
        int before = f.sent.size();
        long id = f.arrive(0, 0);
        assertEquals(List.of(id), f.refused, "its server is " + hung);
        assertEquals(before, f.sent.size());
    }

    @Test
    void overQuotaTrafficIsRefusedFirstAtASlowServer() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.tenants = List.of(new Routing.Tenant("big", 1), new Routing.Tenant("small", 100));
        setup.lateWorth = 0;
        Fixture f = fixture(setup, 4);
        for (int i = 0; i < 400; i++) {
            long id = f.arrive(i, 0, i % 2);
            f.advance(SECOND / 10);
            f.serve(id, 0);
        }
        hangThreeOfFour(f);
        f.advance(SECOND / 4);
        int before = f.refused.size();
        for (int i = 0; i < 40; i++) {
            f.arrive(0, 0, 0);
        }
        assertTrue(f.refused.size() - before >= 20, "over its quota: " + (f.refused.size() - before));
        before = f.refused.size();
        f.arrive(0, 0, 1);
        assertEquals(before, f.refused.size(), "within its quota, cheap to prefill elsewhere");
    }

    /** Refusing low worth costs more than it speeds up the rest: no load is shed in advance. */
    @Test
    void lateHighWorthAnswersCauseNoLowWorthRefusals() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.tenants = List.of(new Routing.Tenant("over", 0), new Routing.Tenant("inside", 1000));
        Fixture f = fixture(setup, 4);
        for (int i = 0; i < 200; i++) {
            long id = f.arrive(i, 0, 1);
            f.arrive(10_000 + i, 0, 0);
            f.now += SECOND / 10;
            f.endAttempt(id, 0, Outcome.TIMEOUT, true);
        }
        assertTrue(f.refused.isEmpty(), "refused " + f.refused.size());
    }

    /** Waiting saves a prefill; where a late answer is worth nothing, no wait is tolerated. */
    @Test
    void lowWorthToleratesTheShareOfItsTargetThatALateAnswerIsWorth() {
        for (double lateWorth : new double[] {0, 0.5}) {
            Fixture.Setup setup = new Fixture.Setup();
            setup.lateWorth = lateWorth;
            setup.hedging = false;
            Fixture f = fixture(setup, 4);
            for (int i = 0; i < 500; i++) {
                f.serve(f.arrive(100 + i, 0), 0);
            }
            f.advance(SECOND);
            f.arrive(7, 0);
            long slow = f.lastServer();
            f.advance(SECOND / 4);
            f.arrive(7, 0);
            assertEquals(lateWorth > 0, f.lastServer() == slow, "late worth " + lateWorth);
            f.advance(SECOND * 2 / 5);
            f.arrive(7, 0);
            assertNotEquals(slow, f.lastServer());
        }
    }

    /** Its history is cached on the server that served it last, not on the one that the ring picks. */
    @Test
    void spilledSessionStaysOnItsNewServer() {
        Fixture f = fixture(4);
        f.serve(f.arrive(7, 3), 0);
        long ringServer = f.lastServer();
        long id = f.arrive(7, 3);
        assertEquals(ringServer, f.lastServer());
        f.endAttempt(id, 0, Outcome.ERROR, false);
        long other = f.lastServer();
        assertNotEquals(ringServer, other);
        f.serve(id, 1);
        f.advance(2 * SECOND);
        f.serve(f.arrive(7, 3), 0);
        assertEquals(other, f.lastServer());
        f.updateServer(Fixture.server(other, 0, 0, Lifecycle.DRAINING, 0));
        f.serve(f.arrive(7, 3), 0);
        assertNotEquals(other, f.lastServer(), "its server drains");
    }

    @Test
    void oldSessionsAreForgottenAndTheirNumberIsBounded() {
        Sessions sessions = new Sessions();
        BoundedLoadRouter.TrackedServer server = new BoundedLoadRouter.TrackedServer(
                Fixture.server(1, 0, 0, Lifecycle.READY, 0), 1, 1);
        for (long s = 0; s <= 20_001; s++) {
            sessions.recordServed(s, server, s);
        }
        assertEquals(null, sessions.lastServer(0));
        assertEquals(null, sessions.lastServer(1));
        assertEquals(server, sessions.lastServer(2));
        sessions.recordServed(2, server, 30_000);
        sessions.forgetBefore(20_001);
        assertEquals(null, sessions.lastServer(20_000));
        assertEquals(server, sessions.lastServer(20_001));
        assertEquals(server, sessions.lastServer(2));
    }

    @Test
    void requestIsHedgedAfterHalfItsTargetWhereAllowed() {
        for (boolean allowed : new boolean[] {false, true}) {
            Fixture.Setup setup = new Fixture.Setup();
            setup.hedging = allowed;
            Fixture f = fixture(setup, 4);
            for (int i = 0; i < 20; i++) {
                f.serve(f.arrive(100 + i, 0), 0);
            }
            long id = f.arrive(7, 0);
            long first = f.lastServer();
            f.advance(SECOND * 49 / 100);
            assertEquals(21, f.sent.size());
            f.advance(SECOND / 10);
            assertEquals(allowed ? 22 : 21, f.sent.size());
            if (allowed) {
                assertEquals(id, f.sent.get(21).request());
                assertNotEquals(first, f.lastServer());
                f.advance(SECOND);
                assertEquals(22, f.sent.size(), "a third attempt");
            }
        }
    }

    /** If most servers are slow, hedging would only lengthen the queues. */
    @Test
    void nothingIsHedgedWhileMostServersAreSlow() {
        Fixture f = fixture(4);
        for (int i = 0; i < 40; i++) {
            f.serve(f.arrive(i, 0), 0);
        }
        Set<Long> waiting = new HashSet<>();
        for (int i = 0; waiting.size() < 4; i++) {
            f.arrive(i, 0);
            waiting.add(f.lastServer());
        }
        int before = f.sent.size();
        f.advance(SECOND);
        assertEquals(before, f.sent.size());
    }

    /** A vanished machine resets no connection; that hedged attempts are answered elsewhere reveals it. */
    @Test
    void silentServerIsEjectedWhenHedgedAttemptsAreAnsweredElsewhere() {
        Fixture f = fixture(8);
        for (int i = 0; i < 100; i++) {
            f.serve(f.arrive(100 + i, 0), 0);
        }
        f.advance(SECOND / 10);
        long one = f.arrive(7, 0);
        long silent = f.lastServer();
        long two = f.arrive(7, 0);
        assertEquals(silent, f.lastServer());
        f.advance(SECOND * 6 / 10);
        for (long id : new long[] {one, two}) {
            f.serve(id, 1);
            f.endAttempt(id, 0, Outcome.CANCELLED, true);
        }
        assertTrue(f.actionLog.stream().anyMatch(line -> line.startsWith("log ejected server " + silent)));
        f.advance(SECOND / 2);
        assertFalse(f.receivesRequest(0, silent));
    }

    @Test
    void relistedServerGetsNoSecondAttemptOfARequest() {
        Fixture f = fixture(1);
        long id = f.arrive(1, 0);
        f.updateServer(Fixture.server(1, 1, 0, Lifecycle.GONE, 0));
        f.updateServer(Fixture.server(1, 1, 0, Lifecycle.READY, 0));
        f.endAttempt(id, 0, Outcome.RESET, false);
        assertEquals(1, f.sent.size());
        assertEquals(List.of(id), f.refused);
    }

    @Test
    void earlierTimeIsTreatedAsTheLatest() {
        Fixture f = fixture(3);
        f.now -= 100 * SECOND;
        f.arrive(1, 0);
        assertTrue(f.timers.get(f.timers.size() - 1)[0] >= f.now + 100 * SECOND);
    }

    // ---- discovery

    @Test
    void endpointListIsRequestedEarlyAndAgainAfterAFailure() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.pullsList = true;
        Fixture f = new Fixture(setup.build());
        f.advance(SECOND);
        assertEquals(1, f.watchCalls);
        f.router.listReceived(f.now, ListKind.FAILED, List.of());
        f.advance(SECOND);
        assertEquals(2, f.watchCalls);
        f.listServers(3);
        f.advance(60 * SECOND);
        assertEquals(2, f.watchCalls, "called discovery while watching");
        f.router.listReceived(f.now, ListKind.FAILED, List.of());
        f.advance(SECOND);
        assertEquals(3, f.watchCalls, "a broken watch is not renewed");
    }

    @Test
    void cachedListIsUsedUntilReplacedAndDoesNotCountAsAWatch() {
        Fixture.Setup setup = new Fixture.Setup();
        setup.pullsList = true;
        Fixture f = new Fixture(setup.build());
        f.router.listReceived(f.now, ListKind.CACHED, List.of(Fixture.server(5, 0, 0, Lifecycle.READY, 0)));
        f.arrive(1, 0);
        assertEquals(5, f.lastServer());
        f.advance(SECOND);
        assertEquals(1, f.watchCalls);
        f.listServers(3);
        for (int i = 0; i < 20; i++) {
            f.serve(f.arrive(i, 0), 0);
            assertNotEquals(5, f.lastServer());
        }
    }

    @Test
    void invalidSettingsNameTheirField() {
        assertTrue(assertThrows(IllegalArgumentException.class,
                () -> new Routing.Limits(0, true, true, true, 0, 0)).getMessage().contains("maxAttempts"));
        assertTrue(assertThrows(IllegalArgumentException.class,
                () -> new Routing.Contract(0, 0, 1.5, 1, 0, 1, null)).getMessage().contains("coldFrom"));
        assertFalse(new Fixture.Setup().build().classes().isEmpty());
    }
}
