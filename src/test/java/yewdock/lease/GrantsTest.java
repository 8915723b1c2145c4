package yewdock.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class GrantsTest {
    private static final long SECOND = 1_000_000;
    private static final LeaseTiming TERMS = new LeaseTiming(2 * SECOND, 0.001);
    private final LeaseGrantor grants = new LeaseGrantor(TERMS);

    private static LeaseGrantor.LeaseRequest ask(String router, long step) {
        return new LeaseGrantor.LeaseRequest(router, 1, 1, step);
    }

    private List<LeaseGrantor.LeaseRequest> granted(long lastPrepared, long now,
            LeaseGrantor.LeaseRequest... asks) {
        for (LeaseGrantor.LeaseRequest a : asks) {
            grants.request(a);
        }
        assertTrue(grants.beginConfirmation());
        return grants.confirm(lastPrepared, now);
    }

    @Test
    void aLeaseRunsFromTheSendingOfItsCall() {
        Lease lease = new Lease(TERMS);
        long number = lease.beginRenewal(5 * SECOND);
        assertFalse(lease.isValid(5 * SECOND));
        lease.granted(number);
        assertTrue(lease.isValid(7 * SECOND - 1));
        assertFalse(lease.isValid(7 * SECOND));
        lease.granted(number);
        lease.granted(99);
        assertEquals(7 * SECOND, lease.expiresAt());
        long second = lease.beginRenewal(6 * SECOND);
        lease.beginRenewal(9 * SECOND);
        lease.granted(second);
        assertEquals(7 * SECOND, lease.expiresAt(), "an answer that comes a lease late is worth nothing");
    }

    @Test
    void aRouterThatDoesNotKnowTheLastChangeGetsNoLease() {
        grants.becomeLeader(0);
        assertEquals(List.of(ask("b", 7)), granted(7, SECOND, ask("a", 6), ask("b", 7)));
    }

    /** Else a leader that others have replaced could be taken for confirmed by what it heard before. */
    @Test
    void aCallThatComesDuringARoundWaitsForTheNext() {
        grants.becomeLeader(0);
        grants.request(ask("a", 0));
        assertTrue(grants.beginConfirmation());
        grants.request(ask("b", 0));
        assertFalse(grants.beginConfirmation());
        assertEquals(List.of(ask("a", 0)), grants.confirm(0, 1));
        assertTrue(grants.beginConfirmation());
        assertEquals(List.of(ask("b", 0)), grants.confirm(0, 2));
    }

    @Test
    void aChangeTakesForceOnceAllHoldersKnowOrAreRunOut() {
        grants.becomeLeader(0);
        long now = TERMS.expiryMicros();
        granted(0, now, ask("a", 0), ask("b", 0));
        Map<String, Long> under = Map.of("c", 1L);
        assertEquals(List.of(), grants.changesToApply(under, now));
        granted(1, now + 1, ask("a", 1));
        assertEquals(List.of(), grants.changesToApply(under, now + 1));
        assertEquals(List.of("c"), grants.changesToApply(under, now + TERMS.expiryMicros()));
        grants.changesToApply(Map.of(), now);
        granted(1, now + SECOND, ask("b", 1));
        assertEquals(List.of("c"), grants.changesToApply(under, now + SECOND));
    }

    /** An older process of the router may be asleep, with its lease. */
    @Test
    void anotherProcessOfTheSameRouterIsAnotherHolder() {
        grants.becomeLeader(0);
        long now = TERMS.expiryMicros();
        granted(0, now, new LeaseGrantor.LeaseRequest("a", 1, 1, 0));
        granted(1, now, new LeaseGrantor.LeaseRequest("a", 2, 1, 1));
        assertEquals(List.of(), grants.changesToApply(Map.of("c", 1L), now));
    }

    @Test
    void aLeaderThatTookOverLetsOneLeasePass() {
        assertEquals(List.of(), grants.changesToApply(Map.of("c", 1L), 0));
        grants.becomeLeader(TERMS.expiryMicros() - 1);
        assertEquals(List.of(), grants.changesToApply(Map.of("c", 1L), TERMS.expiryMicros() - 1));
        assertEquals(List.of("c"), grants.changesToApply(Map.of("c", 1L), TERMS.expiryMicros()));
        grants.stepDown();
        assertEquals(List.of(), grants.changesToApply(Map.of("c", 1L), TERMS.expiryMicros()));
        grants.request(ask("a", 1));
        assertFalse(grants.beginConfirmation());
    }
}
