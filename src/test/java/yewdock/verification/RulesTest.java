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

/** The checker, on records with one fault planted in each. */
class RulesTest {
    private static final long SECOND = 1_000_000_000;

    private static Ledger good() {
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

    private static void caught(String words, Consumer<Ledger> fault) {
        Ledger ledger = good();
        fault.accept(ledger);
        List<String> broken = Rules.broken(ledger);
        assertEquals(1, broken.size(), broken.toString());
        assertTrue(broken.get(0).contains(words), broken.toString());
    }

    @Test
    void whatIsGoodPasses() {
        assertEquals(List.of(), Rules.broken(good()));
    }

    @Test
    void eachPlantedFaultIsCaught() {
        caught("more than one", l -> l.add(new AtClient("a", 3, 4, 5, End.SERVED, 200, true, false)));
        caught("not the reference", l -> l.add(new AtClient("x", 0, 1, 2, End.SERVED, 200, false, false)));
        caught("CUT_OFF", l -> l.add(new AtClient("x", 0, 0, 1, End.CUT_OFF, 0, false, false)));
        caught("UNANSWERED", l -> l.add(new AtClient("x", 0, 0, 1, End.UNANSWERED, 0, false, false)));
        caught("NOT_CONNECTED", l -> l.add(new AtClient("x", 0, 0, 1, End.NOT_CONNECTED, 0, false, false)));
        caught("RESET", l -> l.add(new AtClient("x", 0, 0, 1, End.RESET, 0, false, false)));
        caught("out twice", l -> l.add(new AtBox("a", "s-3", SECOND / 2, SECOND / 2 + 1, true)));
        // told again to another process, the time still counts from the first telling
        caught("after its drain", l -> l.add(new AtBox("x", "s-1", 7 * SECOND + 10, 8 * SECOND, true)));
    }
}
