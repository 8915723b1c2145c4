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

class StateRecorderTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long NOW_MICROS = 1_700_000_000 * SECOND_MICROS;
    private static final long MAX_DRAIN_AGE_MICROS = 3600 * SECOND_MICROS;

    private final ReplicatedRecords records = new ReplicatedRecords("here", 1000);
    private final StateRecorder recorder = new StateRecorder(records, MAX_DRAIN_AGE_MICROS);

    private static Box server(long id, Lifecycle lifecycle, long startedAt) {
        return Box.newBuilder().setId(id).setName("s-" + id).setAddress("10.0.0.1:" + (8000 + id))
                .setLifecycle(lifecycle.ordinal()).setStartedAt(startedAt).setWeight(1).build();
    }

    private static Boxes list(long version, boolean full, Box... servers) {
        return Boxes.newBuilder().setVersion(version).setFull(full).setAddress("list:1")
                .addAllBoxes(List.of(servers)).build();
    }

    private State state(long wall) {
        return recorder.restartState(1, 1, wall, 0);
    }

    private Box serverIn(State state, long id) {
        return state.getBoxes().getBoxesList().stream().filter(b -> b.getId() == id).findFirst()
                .orElseThrow();
    }

    @Test
    void aDrainSurvivesARestartWithTheTimeItWasFirstTold() {
        recorder.recordEndpointList(list(3, true, server(1, Lifecycle.READY, 5),
                server(2, Lifecycle.READY, 5)), 0, NOW_MICROS);
        recorder.recordEndpointList(list(4, false, server(1, Lifecycle.DRAINING, 5)), 0, NOW_MICROS
                + SECOND_MICROS);
        assertEquals(2, recorder.recordEndpointList(list(5, false, server(1, Lifecycle.DRAINING, 5),
                server(2, Lifecycle.DRAINING, 5)), 0, NOW_MICROS + 9 * SECOND_MICROS).size(),
                "only changed records are written");
        State state = state(NOW_MICROS + 20 * SECOND_MICROS);
        assertEquals(5, state.getBoxes().getVersion());
        assertEquals("list:1", state.getBoxes().getAddress());
        assertEquals(Lifecycle.DRAINING.ordinal(), serverIn(state, 1).getLifecycle());
        assertEquals(NOW_MICROS + SECOND_MICROS, serverIn(state, 1).getToldAt());
    }

    @Test
    void anOldDrainIsIgnoredAtARestartUnlessTheClockWasSetBack() {
        recorder.recordEndpointList(list(3, true, server(1, Lifecycle.DRAINING, 5)), 0, NOW_MICROS);
        assertEquals(Lifecycle.DRAINING.ordinal(), serverIn(state(NOW_MICROS + MAX_DRAIN_AGE_MICROS), 1)
                .getLifecycle());
        assertEquals(Lifecycle.READY.ordinal(), serverIn(state(NOW_MICROS + MAX_DRAIN_AGE_MICROS + 1), 1)
                .getLifecycle());
        // the clock was set back by an hour since: a negative age counts as zero
        assertEquals(Lifecycle.DRAINING.ordinal(), serverIn(state(NOW_MICROS - MAX_DRAIN_AGE_MICROS), 1)
                .getLifecycle());
        assertEquals(NOW_MICROS - MAX_DRAIN_AGE_MICROS, serverIn(state(NOW_MICROS - MAX_DRAIN_AGE_MICROS), 1)
                .getToldAt());
    }

    @Test
    void aFullListRemovesServersThatItDoesNotContain() {
        recorder.recordEndpointList(list(3, true, server(1, Lifecycle.READY, 5),
                server(2, Lifecycle.READY, 5)), 0, NOW_MICROS);
        recorder.recordModuleMemory(Memory.newBuilder().addNodes(NodeMemory.newBuilder().setId(2)
                .setEjections(3).setEjectedUntil(NOW_MICROS + SECOND_MICROS)).build(), 0, NOW_MICROS);
        assertEquals(1, state(NOW_MICROS).getModule().getNodesCount());
        recorder.recordEndpointList(list(4, true, server(1, Lifecycle.READY, 5)), 0, NOW_MICROS);
        assertEquals(1, state(NOW_MICROS).getBoxes().getBoxesCount());
        assertEquals(0, state(NOW_MICROS).getModule().getNodesCount());
    }

    @Test
    void aRestartedServerDoesNotInheritEjections() {
        recorder.recordEndpointList(list(3, true, server(1, Lifecycle.READY, 5)), 0, NOW_MICROS);
        recorder.recordModuleMemory(Memory.newBuilder().addNodes(NodeMemory.newBuilder().setId(1)
                .setEjections(3)
                .setEjectedUntil(NOW_MICROS + SECOND_MICROS).setBudgetedStart(5)).build(), 0, NOW_MICROS);
        recorder.recordEndpointList(list(4, false, server(1, Lifecycle.READY, 9)), 0, NOW_MICROS);
        assertNull(records.get(RecordKeys.serverMemory("here", 1)));
    }

    @Test
    void timesOfAGenerationAreConvertedToTheDaemonsClock() {
        recorder.recordEndpointList(list(3, true, server(1, Lifecycle.READY, 5)), 0, NOW_MICROS);
        Memory learnt = Memory.newBuilder().addNodes(NodeMemory.newBuilder().setId(1).setEjections(1)
                .setEjectedUntil(700)).build();
        recorder.recordModuleMemory(learnt, 50, NOW_MICROS);
        assertEquals(750, records.get(RecordKeys.serverMemory("here", 1)).getNode().getEjectedUntil());
        assertTrue(recorder.recordModuleMemory(learnt, 50, NOW_MICROS + SECOND_MICROS).isEmpty(),
                "an unchanged record is not written again");
        // an ejection that lasts for hours comes from a clock that was changed
        recorder.recordModuleMemory(learnt, NOW_MICROS + 7200 * SECOND_MICROS, NOW_MICROS
                + 2 * SECOND_MICROS);
        assertEquals(0, state(NOW_MICROS + 2 * SECOND_MICROS).getModule().getNodesCount());
    }

    @Test
    void moduleMemoryExpiresAfterAnHour() {
        recorder.recordEndpointList(list(3, true, server(1, Lifecycle.READY, 5)), 0, NOW_MICROS);
        recorder.recordModuleMemory(Memory.newBuilder().setReadRate(7).build(), 0, NOW_MICROS);
        assertEquals(7, state(NOW_MICROS + 60 * SECOND_MICROS).getModule().getReadRate());
        assertFalse(state(NOW_MICROS + 2 * MAX_DRAIN_AGE_MICROS).hasModule());
    }

    @Test
    void aGoneOverrideEndsWithARestartOfTheServerAndADrainDoesNot() {
        recorder.recordEndpointList(list(3, true, server(1, Lifecycle.READY, 5),
                server(2, Lifecycle.READY, 5)), 0, NOW_MICROS);
        recorder.recordOverride("s-1", Mark.Kind.GONE, "here", NOW_MICROS);
        recorder.recordOverride("s-2", Mark.Kind.DRAIN, "here", NOW_MICROS);
        assertTrue(recorder.dropOutdatedOverrides(NOW_MICROS).isEmpty());
        recorder.recordEndpointList(list(4, false, server(1, Lifecycle.READY, 6),
                server(2, Lifecycle.READY, 6)), 0, NOW_MICROS);
        assertEquals(1, recorder.dropOutdatedOverrides(NOW_MICROS).size());
        assertEquals(List.of("s-2"), List.copyOf(recorder.overrides().keySet()));
        recorder.recordOverride("s-2", Mark.Kind.NONE, "here", NOW_MICROS);
        assertTrue(recorder.overrides().isEmpty());
    }

    @Test
    void withAnEmptyDiskDrainsKnownToOtherInstancesApply() {
        ReplicatedRecords north = new ReplicatedRecords("north", 100);
        ReplicatedRecords south = new ReplicatedRecords("south", 100);
        new StateRecorder(north, MAX_DRAIN_AGE_MICROS).recordEndpointList(list(3, true, server(1,
                Lifecycle.READY, 5), server(2, Lifecycle.READY, 9)), 0, NOW_MICROS);
        new StateRecorder(south, MAX_DRAIN_AGE_MICROS).recordEndpointList(list(4, true, server(1,
                Lifecycle.DRAINING, 5), server(2, Lifecycle.DRAINING, 5)), 0, NOW_MICROS);
        for (ReplicatedRecords other : List.of(north, south)) {
            for (Kept kept : other.recordsAfter("")) {
                records.merge(kept);
            }
        }
        State state = state(NOW_MICROS);
        assertEquals(-1, state.getBoxes().getVersion(),
                "the version of another instance's list must not be used");
        assertEquals(Lifecycle.DRAINING.ordinal(), serverIn(state, 1).getLifecycle());
        assertEquals(Lifecycle.READY.ordinal(), serverIn(state, 2).getLifecycle(),
                "the server has restarted since");
    }

    @Test
    void withoutRecordsThereIsNoState() {
        assertNull(state(NOW_MICROS));
    }
}
