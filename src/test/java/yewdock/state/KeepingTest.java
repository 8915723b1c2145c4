package yewdock.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import umberspread.Routing.Lifecycle;
import yewdock.wire.Box;
import yewdock.wire.Boxes;
import yewdock.wire.Kept;
import yewdock.wire.Mark;
import yewdock.wire.Memory;
import yewdock.wire.NodeMemory;
import yewdock.wire.State;

class KeepingTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 1_700_000_000 * SECOND;
    private static final long DOUBT = 3600 * SECOND;

    private final ReplicatedRecords records = new ReplicatedRecords("here", 1000);
    private final StateRecorder keeping = new StateRecorder(records, DOUBT);

    private static Box box(long id, Lifecycle lifecycle, long startedAt) {
        return Box.newBuilder().setId(id).setName("s-" + id).setAddress("10.0.0.1:" + (8000 + id))
                .setLifecycle(lifecycle.ordinal()).setStartedAt(startedAt).setWeight(1).build();
    }

    private static Boxes list(long version, boolean full, Box... boxes) {
        return Boxes.newBuilder().setVersion(version).setFull(full).setAddress("list:1")
                .addAllBoxes(List.of(boxes)).build();
    }

    private State state(long wall) {
        return keeping.restartState(1, 1, wall, 0);
    }

    private Box kept(State state, long id) {
        return state.getBoxes().getBoxesList().stream().filter(b -> b.getId() == id).findFirst()
                .orElseThrow();
    }

    @Test
    void aDrainHoldsAtAStartWithTheTimeAtWhichItWasFirstTold() {
        keeping.recordEndpointList(list(3, true, box(1, Lifecycle.READY, 5), box(2, Lifecycle.READY, 5)), 0,
                NOW);
        keeping.recordEndpointList(list(4, false, box(1, Lifecycle.DRAINING, 5)), 0, NOW + SECOND);
        assertEquals(2, keeping.recordEndpointList(list(5, false, box(1, Lifecycle.DRAINING, 5), box(2,
                Lifecycle.DRAINING,
                5)), 0, NOW + 9 * SECOND).size(), "only what is new is written");
        State state = state(NOW + 20 * SECOND);
        assertEquals(5, state.getBoxes().getVersion());
        assertEquals("list:1", state.getBoxes().getAddress());
        assertEquals(Lifecycle.DRAINING.ordinal(), kept(state, 1).getLifecycle());
        assertEquals(NOW + SECOND, kept(state, 1).getToldAt());
    }

    @Test
    void aDrainToldLongAgoIsDoubtedAndOneOfAClockAheadIsNot() {
        keeping.recordEndpointList(list(3, true, box(1, Lifecycle.DRAINING, 5)), 0, NOW);
        assertEquals(Lifecycle.DRAINING.ordinal(), kept(state(NOW + DOUBT), 1).getLifecycle());
        assertEquals(Lifecycle.READY.ordinal(), kept(state(NOW + DOUBT + 1), 1).getLifecycle());
        // the clock was moved back by an hour since: an age below zero is none
        assertEquals(Lifecycle.DRAINING.ordinal(), kept(state(NOW - DOUBT), 1).getLifecycle());
        assertEquals(NOW - DOUBT, kept(state(NOW - DOUBT), 1).getToldAt());
    }

    @Test
    void aWholeListDropsWhatItDoesNotNameAndTheBoxesTroubles() {
        keeping.recordEndpointList(list(3, true, box(1, Lifecycle.READY, 5), box(2, Lifecycle.READY, 5)), 0,
                NOW);
        keeping.recordModuleMemory(Memory.newBuilder().addNodes(NodeMemory.newBuilder().setId(2)
                .setEjections(3).setEjectedUntil(NOW + SECOND)).build(), 0, NOW);
        assertEquals(1, state(NOW).getModule().getNodesCount());
        keeping.recordEndpointList(list(4, true, box(1, Lifecycle.READY, 5)), 0, NOW);
        assertEquals(1, state(NOW).getBoxes().getBoxesCount());
        assertEquals(0, state(NOW).getModule().getNodesCount());
    }

    @Test
    void whatWasHeldAgainstABoxIsNothingToTheOneThatTookItsPlace() {
        keeping.recordEndpointList(list(3, true, box(1, Lifecycle.READY, 5)), 0, NOW);
        keeping.recordModuleMemory(Memory.newBuilder().addNodes(NodeMemory.newBuilder().setId(1)
                .setEjections(3).setEjectedUntil(NOW + SECOND).setBudgetedStart(5)).build(), 0, NOW);
        keeping.recordEndpointList(list(4, false, box(1, Lifecycle.READY, 9)), 0, NOW);
        assertNull(records.get(RecordKeys.serverMemory("here", 1)));
    }

    @Test
    void timesOfAGenerationAreMovedToTheDaemonsClock() {
        keeping.recordEndpointList(list(3, true, box(1, Lifecycle.READY, 5)), 0, NOW);
        Memory learnt = Memory.newBuilder().addNodes(NodeMemory.newBuilder().setId(1).setEjections(1)
                .setEjectedUntil(700)).build();
        keeping.recordModuleMemory(learnt, 50, NOW);
        assertEquals(750, records.get(RecordKeys.serverMemory("here", 1)).getNode().getEjectedUntil());
        assertTrue(keeping.recordModuleMemory(learnt, 50, NOW + SECOND).isEmpty(),
                "the same again is not written");
        // an ejection of hours is one of a clock that was moved
        keeping.recordModuleMemory(learnt, NOW + 7200 * SECOND, NOW + 2 * SECOND);
        assertEquals(0, state(NOW + 2 * SECOND).getModule().getNodesCount());
    }

    @Test
    void whatTheModuleHasLearntIsWorthNothingAfterAnHour() {
        keeping.recordEndpointList(list(3, true, box(1, Lifecycle.READY, 5)), 0, NOW);
        keeping.recordModuleMemory(Memory.newBuilder().setReadRate(7).build(), 0, NOW);
        assertEquals(7, state(NOW + 60 * SECOND).getModule().getReadRate());
        assertFalse(state(NOW + 2 * DOUBT).hasModule());
    }

    @Test
    void aMarkOfGoneEndsWithALaterStartAndADrainDoesNot() {
        keeping.recordEndpointList(list(3, true, box(1, Lifecycle.READY, 5), box(2, Lifecycle.READY, 5)), 0,
                NOW);
        keeping.recordOverride("s-1", Mark.Kind.GONE, "here", NOW);
        keeping.recordOverride("s-2", Mark.Kind.DRAIN, "here", NOW);
        assertTrue(keeping.dropOutdatedOverrides(NOW).isEmpty());
        keeping.recordEndpointList(list(4, false, box(1, Lifecycle.READY, 6), box(2, Lifecycle.READY, 6)), 0,
                NOW);
        assertEquals(1, keeping.dropOutdatedOverrides(NOW).size());
        assertEquals(List.of("s-2"), List.copyOf(keeping.overrides().keySet()));
        keeping.recordOverride("s-2", Mark.Kind.NONE, "here", NOW);
        assertTrue(keeping.overrides().isEmpty());
    }

    @Test
    void withAnEmptyDiskADrainThatAnyOtherKnowsHolds() {
        ReplicatedRecords north = new ReplicatedRecords("north", 100);
        ReplicatedRecords south = new ReplicatedRecords("south", 100);
        new StateRecorder(north, DOUBT).recordEndpointList(list(3, true, box(1, Lifecycle.READY, 5), box(2,
                Lifecycle.READY,
                9)),
                0, NOW);
        new StateRecorder(south, DOUBT).recordEndpointList(list(4, true, box(1, Lifecycle.DRAINING, 5), box(2,
                Lifecycle.DRAINING, 5)), 0, NOW);
        for (ReplicatedRecords other : List.of(north, south)) {
            for (Kept kept : other.recordsAfter("")) {
                records.merge(kept);
            }
        }
        State state = state(NOW);
        assertEquals(-1, state.getBoxes().getVersion(), "another's version is no version of this one's");
        assertEquals(Lifecycle.DRAINING.ordinal(), kept(state, 1).getLifecycle());
        assertEquals(Lifecycle.READY.ordinal(), kept(state, 2).getLifecycle(), "it has started since");
    }

    @Test
    void nothingKeptIsNoState() {
        assertNull(state(NOW));
    }
}
