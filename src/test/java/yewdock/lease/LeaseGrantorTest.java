package yewdock.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class LeaseGrantorTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final LeaseTiming TIMING = new LeaseTiming(2 * SECOND_MICROS, 0.001);
    private final LeaseGrantor grantor = new LeaseGrantor(TIMING);

    private static LeaseGrantor.LeaseRequest request(String router, long step) {
        return new LeaseGrantor.LeaseRequest(router, 1, 1, step);
    }

    private List<LeaseGrantor.LeaseRequest> granted(long lastPrepared, long now,
            LeaseGrantor.LeaseRequest... requests) {
        for (LeaseGrantor.LeaseRequest request : requests) {
            grantor.request(request);
        }
        assertTrue(grantor.beginConfirmation());
        return grantor.confirm(lastPrepared, now);
    }

    @Test
    void aLeaseRunsFromTheSendingOfItsRequest() {
        Lease lease = new Lease(TIMING);
        long number = lease.beginRenewal(5 * SECOND_MICROS);
        assertFalse(lease.isValid(5 * SECOND_MICROS));
        lease.granted(number);
        assertTrue(lease.isValid(7 * SECOND_MICROS - 1));
        assertFalse(lease.isValid(7 * SECOND_MICROS));
        lease.granted(number);
        lease.granted(99);
        assertEquals(7 * SECOND_MICROS, lease.expiresAt());
        long second = lease.beginRenewal(6 * SECOND_MICROS);
        lease.beginRenewal(9 * SECOND_MICROS);
        lease.granted(second);
        assertEquals(7 * SECOND_MICROS, lease.expiresAt(),
                "an answer that arrives later than one lease length has no effect");
    }

    @Test
    void aRouterWithoutTheLastChangeGetsNoLease() {
        grantor.becomeLeader(0);
        assertEquals(List.of(request("b", 7)), granted(7, SECOND_MICROS, request("a", 6), request("b", 7)));
    }

    /** A leader that was replaced could otherwise grant on responses sent before its replacement. */
    @Test
    void aRequestDuringARoundWaitsForTheNext() {
        grantor.becomeLeader(0);
        grantor.request(request("a", 0));
        assertTrue(grantor.beginConfirmation());
        grantor.request(request("b", 0));
        assertFalse(grantor.beginConfirmation());
        assertEquals(List.of(request("a", 0)), grantor.confirm(0, 1));
        assertTrue(grantor.beginConfirmation());
        assertEquals(List.of(request("b", 0)), grantor.confirm(0, 2));
    }

    @Test
    void aChangeTakesEffectOnceAllLeasesKnowItOrExpired() {
        grantor.becomeLeader(0);
        long now = TIMING.expiryMicros();
        granted(0, now, request("a", 0), request("b", 0));
        Map<String, Long> pending = Map.of("c", 1L);
        assertEquals(List.of(), grantor.changesToApply(pending, now));
        granted(1, now + 1, request("a", 1));
        assertEquals(List.of(), grantor.changesToApply(pending, now + 1));
        assertEquals(List.of("c"), grantor.changesToApply(pending, now + TIMING.expiryMicros()));
        grantor.changesToApply(Map.of(), now);
        granted(1, now + SECOND_MICROS, request("b", 1));
        assertEquals(List.of("c"), grantor.changesToApply(pending, now + SECOND_MICROS));
    }

    /** An older process of the router may be suspended and still have its lease. */
    @Test
    void eachProcessOfARouterHasALeaseOfItsOwn() {
        grantor.becomeLeader(0);
        long now = TIMING.expiryMicros();
        granted(0, now, new LeaseGrantor.LeaseRequest("a", 1, 1, 0));
        granted(1, now, new LeaseGrantor.LeaseRequest("a", 2, 1, 1));
        assertEquals(List.of(), grantor.changesToApply(Map.of("c", 1L), now));
    }

    @Test
    void aNewLeaderWaitsForOneLeaseLength() {
        assertEquals(List.of(), grantor.changesToApply(Map.of("c", 1L), 0));
        grantor.becomeLeader(TIMING.expiryMicros() - 1);
        assertEquals(List.of(), grantor.changesToApply(Map.of("c", 1L), TIMING.expiryMicros() - 1));
        assertEquals(List.of("c"), grantor.changesToApply(Map.of("c", 1L), TIMING.expiryMicros()));
        grantor.stepDown();
        assertEquals(List.of(), grantor.changesToApply(Map.of("c", 1L), TIMING.expiryMicros()));
        grantor.request(request("a", 1));
        assertFalse(grantor.beginConfirmation());
    }
}
