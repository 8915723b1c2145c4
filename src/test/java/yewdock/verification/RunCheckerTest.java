package yewdock.verification;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import yewdock.testbed.Ledger;
import yewdock.testbed.Ledger.AtBox;
import yewdock.testbed.Ledger.AtClient;
import yewdock.testbed.Ledger.End;
import yewdock.testbed.Ledger.Told;

/** The run checks must find no violation in a clean run, and exactly one for each fault added to it. */
class RunCheckerTest {
    /** One second, in nanoseconds. */
    private static final long SECOND = 1_000_000_000;

    private static Ledger cleanRun() {
        Ledger ledger = new Ledger();
        ledger.add(new AtClient("a", 0, SECOND, 2 * SECOND, End.SERVED, 200, true, false));
        ledger.add(new AtClient("b", 0, 0, SECOND, End.REFUSED, 503, true, false));
        ledger.add(new AtClient("c", 0, SECOND, 2 * SECOND, End.SERVED, 200, true, true));
        ledger.add(new AtBox("a", "s-1", 0, SECOND, false));
        ledger.add(new AtBox("a", "s-2", SECOND, 2 * SECOND, true));
        ledger.add(new Told("s-1", "up", 0, 1));
        ledger.add(new Told("s-1", "draining", 5 * SECOND, 1));
        ledger.add(new AtBox("d", "s-1", 6 * SECOND, 7 * SECOND, true));
        ledger.add(new Told("s-1", "draining", 7 * SECOND, 2));
        ledger.add(new Told("s-1", "up", 8 * SECOND, 1));
        ledger.add(new AtBox("e", "s-1", 9 * SECOND, 10 * SECOND, true));
        return ledger;
    }

    private static void assertCaught(String message, Consumer<Ledger> fault) {
        Ledger ledger = cleanRun();
        fault.accept(ledger);
        List<String> violations = Rules.broken(ledger);
        assertEquals(1, violations.size(), violations.toString());
        assertTrue(violations.get(0).contains(message), violations.toString());
    }

    @Test
    void acceptsACleanRun() {
        assertEquals(List.of(), Rules.broken(cleanRun()));
    }

    @Test
    void detectsEachViolation() {
        assertCaught("more than one", l -> l.add(new AtClient("a", 3, 4, 5, End.SERVED, 200, true, false)));
        assertCaught("differs from the reference", l ->
                l.add(new AtClient("x", 0, 1, 2, End.SERVED, 200, false, false)));
        assertCaught("CUT_OFF", l -> l.add(new AtClient("x", 0, 0, 1, End.CUT_OFF, 0, false, false)));
        assertCaught("UNANSWERED", l -> l.add(new AtClient("x", 0, 0, 1, End.UNANSWERED, 0, false, false)));
        assertCaught("NOT_CONNECTED", l ->
                l.add(new AtClient("x", 0, 0, 1, End.NOT_CONNECTED, 0, false, false)));
        assertCaught("RESET", l -> l.add(new AtClient("x", 0, 0, 1, End.RESET, 0, false, false)));
        assertCaught("in flight twice", l -> l.add(new AtBox("a", "s-3", SECOND / 2, SECOND / 2 + 1, true)));
        // the notice to a second process at 7 s does not restart the grace of the drain told at 5 s
        assertCaught("ms after the server's drain was told",
                l -> l.add(new AtBox("x", "s-1", 7 * SECOND + 10, 8 * SECOND, true)));
    }
}
