package yewdock.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class GrantsTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final LeaseTerms TIMING = new LeaseTerms(2 * SECOND_MICROS, 0.001);
    private final Grants grants = new Grants(TIMING);

    private static Grants.Ask request(String router, long step) {
        return new Grants.Ask(router, 1, 1, step);
    }

    private List<Grants.Ask> granted(long lastPrepared, long now, Grants.Ask... requests) {
        for (Grants.Ask request : requests) {
            grants.asked(request);
        }
        assertTrue(grants.beginRound());
        return grants.confirmed(lastPrepared, now);
    }

    @Test
    void aLeaseRunsFromTheSendingOfItsRequest() {
        Lease lease = new Lease(TIMING);
        long number = lease.asks(5 * SECOND_MICROS);
        assertFalse(lease.holds(5 * SECOND_MICROS));
        lease.granted(number);
        assertTrue(lease.holds(7 * SECOND_MICROS - 1));
        assertFalse(lease.holds(7 * SECOND_MICROS));
        lease.granted(number);
        lease.granted(99);
        assertEquals(7 * SECOND_MICROS, lease.until());
        long second = lease.asks(6 * SECOND_MICROS);
        lease.asks(9 * SECOND_MICROS);
        lease.granted(second);
        assertEquals(7 * SECOND_MICROS, lease.until(),
                "an answer that arrives later than one lease length has no effect");
    }

    @Test
    void aRouterWithoutTheLastChangeGetsNoLease() {
        grants.leads(0);
        assertEquals(List.of(request("b", 7)), granted(7, SECOND_MICROS, request("a", 6), request("b", 7)));
    }

    /** A leader that was replaced could otherwise grant on responses sent before its replacement. */
    @Test
    void aRequestDuringARoundWaitsForTheNext() {
        grants.leads(0);
        grants.asked(request("a", 0));
        assertTrue(grants.beginRound());
        grants.asked(request("b", 0));
        assertFalse(grants.beginRound());
        assertEquals(List.of(request("a", 0)), grants.confirmed(0, 1));
        assertTrue(grants.beginRound());
        assertEquals(List.of(request("b", 0)), grants.confirmed(0, 2));
    }

    @Test
    void aChangeTakesEffectOnceAllLeasesKnowItOrExpired() {
        grants.leads(0);
        long now = TIMING.runOut();
        granted(0, now, request("a", 0), request("b", 0));
        Map<String, Long> pending = Map.of("c", 1L);
        assertEquals(List.of(), grants.due(pending, now));
        granted(1, now + 1, request("a", 1));
        assertEquals(List.of(), grants.due(pending, now + 1));
        assertEquals(List.of("c"), grants.due(pending, now + TIMING.runOut()));
        grants.due(Map.of(), now);
        granted(1, now + SECOND_MICROS, request("b", 1));
        assertEquals(List.of("c"), grants.due(pending, now + SECOND_MICROS));
    }

    /** An older process of the router may be suspended and still have its lease. */
    @Test
    void eachProcessOfARouterHasALeaseOfItsOwn() {
        grants.leads(0);
        long now = TIMING.runOut();
        granted(0, now, new Grants.Ask("a", 1, 1, 0));
        granted(1, now, new Grants.Ask("a", 2, 1, 1));
        assertEquals(List.of(), grants.due(Map.of("c", 1L), now));
    }

    @Test
    void aNewLeaderWaitsForOneLeaseLength() {
        assertEquals(List.of(), grants.due(Map.of("c", 1L), 0));
        grants.leads(TIMING.runOut() - 1);
        assertEquals(List.of(), grants.due(Map.of("c", 1L), TIMING.runOut() - 1));
        assertEquals(List.of("c"), grants.due(Map.of("c", 1L), TIMING.runOut()));
        grants.follows();
        assertEquals(List.of(), grants.due(Map.of("c", 1L), TIMING.runOut()));
        grants.asked(request("a", 1));
        assertFalse(grants.beginRound());
    }
}
