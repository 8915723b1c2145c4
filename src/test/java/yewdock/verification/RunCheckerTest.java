package yewdock.verification;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import yewdock.testbed.ObservationLog;
import yewdock.testbed.ObservationLog.EndpointUpdate;
import yewdock.testbed.ObservationLog.RequestOutcome;
import yewdock.testbed.ObservationLog.RequestResult;
import yewdock.testbed.ObservationLog.ServerAttempt;

/** The run checks must find no violation in a clean run, and exactly one for each fault added to it. */
class RunCheckerTest {
    /** One second, in nanoseconds. */
    private static final long SECOND = 1_000_000_000;

    private static ObservationLog cleanRun() {
        ObservationLog observations = new ObservationLog();
        observations.add(new RequestResult("a", 0, SECOND, 2 * SECOND, RequestOutcome.SERVED, 200,
                true, false));
        observations.add(new RequestResult("b", 0, 0, SECOND, RequestOutcome.REFUSED, 503, true, false));
        observations.add(new RequestResult("c", 0, SECOND, 2 * SECOND, RequestOutcome.SERVED, 200,
                true, true));
        observations.add(new ServerAttempt("a", "s-1", 0, SECOND, false));
        observations.add(new ServerAttempt("a", "s-2", SECOND, 2 * SECOND, true));
        observations.add(new EndpointUpdate("s-1", "up", 0, 1));
        observations.add(new EndpointUpdate("s-1", "draining", 5 * SECOND, 1));
        observations.add(new ServerAttempt("d", "s-1", 6 * SECOND, 7 * SECOND, true));
        observations.add(new EndpointUpdate("s-1", "draining", 7 * SECOND, 2));
        observations.add(new EndpointUpdate("s-1", "up", 8 * SECOND, 1));
        observations.add(new ServerAttempt("e", "s-1", 9 * SECOND, 10 * SECOND, true));
        return observations;
    }

    private static void assertCaught(String message, Consumer<ObservationLog> fault) {
        ObservationLog observations = cleanRun();
        fault.accept(observations);
        List<String> violations = RunChecker.violations(observations);
        assertEquals(1, violations.size(), violations.toString());
        assertTrue(violations.get(0).contains(message), violations.toString());
    }

    @Test
    void acceptsACleanRun() {
        assertEquals(List.of(), RunChecker.violations(cleanRun()));
    }

    @Test
    void detectsEachViolation() {
        assertCaught("more than one", l ->
                l.add(new RequestResult("a", 3, 4, 5, RequestOutcome.SERVED, 200, true, false)));
        assertCaught("differs from the reference", l ->
                l.add(new RequestResult("x", 0, 1, 2, RequestOutcome.SERVED, 200, false, false)));
        assertCaught("CUT_OFF", l -> l.add(new RequestResult("x", 0, 0, 1, RequestOutcome.CUT_OFF, 0,
                false, false)));
        assertCaught("UNANSWERED", l -> l.add(new RequestResult("x", 0, 0, 1, RequestOutcome.UNANSWERED, 0,
                false, false)));
        assertCaught("NOT_CONNECTED", l ->
                l.add(new RequestResult("x", 0, 0, 1, RequestOutcome.NOT_CONNECTED, 0, false, false)));
        assertCaught("RESET", l -> l.add(new RequestResult("x", 0, 0, 1, RequestOutcome.RESET, 0,
                false, false)));
        assertCaught("in flight twice", l ->
                l.add(new ServerAttempt("a", "s-3", SECOND / 2, SECOND / 2 + 1, true)));
        // the notice to a second process at 7 s does not restart the grace of the drain told at 5 s
        assertCaught("ms after the server's drain was told",
                l -> l.add(new ServerAttempt("x", "s-1", 7 * SECOND + 10, 8 * SECOND, true)));
    }
}
