package yewdock.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ServerState;

/** What operators say of boxes, over what the list says. */
class KnownServersTest {
    private static final long COLD = 8_700_000;
    private long now = 1_000_000_000L;
    private final KnownServers boxes = new KnownServers(() -> now, COLD);

    private static ModelServer box(String address, Lifecycle lifecycle, long startedAt) {
        return new ModelServer("s-1", address, new ServerState(1, 0, 0, 0, 1, lifecycle, startedAt));
    }

    private void list(boolean full, ModelServer... all) {
        boxes.keep(new EndpointList(1, full, List.of(all)));
    }

    private Lifecycle state() {
        return boxes.get(1).replica().lifecycle();
    }

    @Test
    void cordonOutlivesWhateverTheListSays() {
        list(true, box("a:1", Lifecycle.READY, 0));
        boxes.cordon("s-1");
        assertEquals(Lifecycle.DRAINING, state());
        list(false, box("b:1", Lifecycle.READY, 5));
        assertEquals(Lifecycle.DRAINING, state());
        list(false, box("b:1", Lifecycle.GONE, 0));
        list(true);
        assertTrue(boxes.cordoned("s-1"));
        list(true, box("c:1", Lifecycle.READY, 7));
        assertEquals(Lifecycle.DRAINING, state());
    }

    @Test
    void oneCallBackAfterTwoOutAndItComesBackCold() {
        list(true, box("a:1", Lifecycle.READY, 0));
        boxes.cordon("s-1");
        boxes.cordon("s-1");
        now += 3_000_000;
        boxes.uncordon("s-1");
        assertEquals(Lifecycle.READY, state());
        assertEquals(now, boxes.get(1).replica().startedAt());
        // the list tells the restart late, and then another one
        list(false, box("a:1", Lifecycle.READY, now - 2_000_000));
        assertEquals(now, boxes.get(1).replica().startedAt());
        list(false, box("a:1", Lifecycle.READY, now + 1));
        assertEquals(now + 1, boxes.get(1).replica().startedAt());
    }

    @Test
    void whatTheListDrainsStaysOut() {
        list(true, box("a:1", Lifecycle.DRAINING, 0));
        boxes.cordon("s-1");
        boxes.uncordon("s-1");
        assertEquals(Lifecycle.DRAINING, state());
    }

    /** A mark that the daemon's drain set ends as one set at the door does. */
    @Test
    void drainAndUndrainAreTheSameMark() {
        list(true, box("a:1", Lifecycle.READY, 0));
        boxes.mark(Map.of("s-1", OperatorOverride.DRAINS));
        assertTrue(boxes.cordoned("s-1"));
        boxes.mark(Map.of());
        assertFalse(boxes.cordoned("s-1"));
        assertEquals(now, boxes.get(1).replica().startedAt());
        now += COLD + 1;
        boxes.cordon("s-2");
        assertEquals(0, boxes.get(1).replica().startedAt(), "warm by now: the mark is forgotten");
    }
}
