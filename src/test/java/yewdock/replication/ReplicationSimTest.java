package yewdock.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import yewdock.state.RecordKeys;
import yewdock.state.ReplicatedRecords;
import yewdock.verification.ReplicationSimulation;
import yewdock.wire.Batch;
import yewdock.wire.Kept;
import yewdock.wire.Mark;
import yewdock.wire.Part;
import yewdock.wire.PeerFrame;

class ReplicationSimTest {
    private static final long SECOND_MICROS = 1_000_000;

    private static Kept.Builder mark(int kind) {
        return Kept.newBuilder().setMark(Mark.newBuilder().setKindValue(kind));
    }

    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "i" + i).toList();
    }

    @Test
    void instancesAgreeAfterPartitionsHeal() {
        for (int seed = 1; seed <= 20; seed++) {
            ReplicationSimulation sim = new ReplicationSimulation(names(5), seed);
            sim.run(3 * SECOND_MICROS);
            SplittableRandom random = new SplittableRandom(seed);
            for (int round = 0; round < 5; round++) {
                sim.partition(random.nextInt(1 << 5));
                for (int i = 0; i < 40; i++) {
                    sim.instance(random.nextInt(5)).write(RecordKeys.override("s-" + random.nextInt(20)),
                            mark(1 + random.nextInt(2)));
                    sim.instance(random.nextInt(5)).delete(RecordKeys.override("s-" + random.nextInt(20)));
                    sim.run(random.nextLong(SECOND_MICROS / 2));
                }
                sim.heal();
                sim.run(5 * SECOND_MICROS);
                assertTrue(sim.hasConverged(), "seed " + seed + " round " + round + ": " + sim.differences());
            }
        }
    }

    @Test
    void aDrainIsPushedWithoutWaitingForAComparison() {
        ReplicationSimulation sim = new ReplicationSimulation(names(5), 1);
        sim.run(3 * SECOND_MICROS);
        sim.instance(2).write(RecordKeys.override("s-1"), mark(1));
        sim.run(SECOND_MICROS / 10);
        assertTrue(sim.hasConverged());
        assertNotNull(sim.instance(4).records().get(RecordKeys.override("s-1")));
    }

    @Test
    void anInstanceWithAnEmptyDiskRecoversFromASnapshot() {
        ReplicationSimulation sim = new ReplicationSimulation(names(3), 1);
        for (int i = 0; i < 3000; i++) {
            sim.instance(i % 3).write(RecordKeys.server("i" + i % 3, i), mark(1));
        }
        sim.run(20 * SECOND_MICROS);
        assertTrue(sim.hasConverged());
        sim.restartEmpty(1);
        sim.instance(1).write(RecordKeys.server("i1", 1), mark(2));
        sim.run(20 * SECOND_MICROS);
        assertTrue(sim.hasConverged(), sim.differences());
        assertEquals(3000, sim.instance(1).records().size());
        // what it has written since wins, although its stamps started from zero again
        assertEquals(2, sim.instance(0).records().get(RecordKeys.server("i1", 1)).getMark().getKindValue());
    }

    @Test
    void anInterruptedSnapshotIsRestarted() {
        ReplicationSimulation sim = new ReplicationSimulation(names(2), 1);
        for (int i = 0; i < 20_000; i++) {
            sim.instance(0).write(RecordKeys.server("i0", i), mark(1));
        }
        sim.restartEmpty(1);
        sim.run(1);
        while (sim.instance(1).records().size() == 0) {
            sim.run(SECOND_MICROS / 1000);
        }
        assertTrue(sim.instance(1).records().size() < 20_000);
        sim.partition(1);
        sim.run(SECOND_MICROS);
        assertTrue(sim.instance(1).replicator().needsFullSync());
        sim.heal();
        sim.run(20 * SECOND_MICROS);
        assertTrue(sim.hasConverged(), sim.differences());
    }

    @Test
    void removedRecordsAreNotRestoredByAStalePeer() {
        ReplicationSimulation sim = new ReplicationSimulation(names(3), 1, 5);
        sim.instance(0).write(RecordKeys.override("s-old"), mark(1));
        sim.run(5 * SECOND_MICROS);
        byte[] disk = sim.storedRecords(2);
        sim.stop(2);
        sim.restartWithNames(List.of("i0", "i1"));
        sim.instance(0).delete(RecordKeys.override("s-old"));
        for (int i = 0; i < 30; i++) {
            sim.instance(0).write(RecordKeys.override("s-" + i), mark(1));
            sim.run(SECOND_MICROS / 10);
            sim.instance(0).delete(RecordKeys.override("s-" + i));
        }
        sim.run(10 * SECOND_MICROS);
        assertNull(sim.instance(0).records().getWithTombstones(RecordKeys.override("s-old")),
                "the tombstone should be purged by now");
        sim.restartWithNames(List.of("i0", "i1", "i2"));
        sim.start(2, disk);
        assertNotNull(sim.instance(2).records().get(RecordKeys.override("s-old")));
        sim.run(10 * SECOND_MICROS);
        assertTrue(sim.hasConverged(), sim.differences());
        assertNull(sim.instance(2).records().get(RecordKeys.override("s-old")));
        assertNull(sim.instance(0).records().get(RecordKeys.override("s-old")));
    }

    @Test
    void wallClocksDoNotDecideConflicts() {
        ReplicationSimulation sim = new ReplicationSimulation(names(3), 1);
        sim.run(3 * SECOND_MICROS);
        sim.setClockOffset(0, 3600 * SECOND_MICROS);
        sim.instance(0).write(RecordKeys.override("s-1"), mark(1));
        sim.run(3 * SECOND_MICROS);
        sim.instance(1).delete(RecordKeys.override("s-1"));
        sim.run(3 * SECOND_MICROS);
        assertTrue(sim.hasConverged());
        assertNull(sim.instance(0).records().get(RecordKeys.override("s-1")));
    }

    @Test
    void onlyKeysAreQueuedForASilentPeer() {
        ReplicatedRecords records = new ReplicatedRecords("a", 100_000);
        Replicator replicator = new Replicator("c", Set.of("b"), records, 1, 1000);
        replicator.reduce(new ReplicationEvent.PeerConnected("b"), 0);
        replicator.reduce(new ReplicationEvent.PeerFrameReceived("b", ReplicationSimulation.hello("c", "b",
                "a")), 0);
        int sent = 0;
        for (int i = 0; i < 50_000; i++) {
            records.write(RecordKeys.override("s-" + i % 500), mark(1 + i % 2), 0);
            sent += replicator.reduce(new ReplicationEvent.RecordsChanged(List.of(RecordKeys.override("s-"
                    + i % 500))), 1).size();
        }
        assertTrue(sent <= 2, sent + " frames to a peer that acknowledges none");
        assertTrue(replicator.peerStatuses().get(0).waiting() <= 500);
        List<ReplicationEffect> timeoutEffects = replicator.reduce(new ReplicationEvent.Tick(),
                6 * SECOND_MICROS);
        assertTrue(timeoutEffects.stream().anyMatch(e -> e instanceof ReplicationEffect.ClosePeer));
        assertEquals(0, replicator.peerStatuses().get(0).waiting());
    }

    @Test
    void invalidFramesCloseTheConnectionAndChangeNothing() {
        List<PeerFrame> invalidFrames = new ArrayList<>();
        Kept valid = mark(1).setKey("mark/x").setStamp(3).setInstance("b").build();
        for (Kept invalid : List.of(valid.toBuilder().setStamp(Long.MAX_VALUE).build(),
                valid.toBuilder().setStamp(0).build(), valid.toBuilder().setKey("").build(),
                valid.toBuilder().setInstance("").build(), valid.toBuilder().clearMark().build())) {
            invalidFrames.add(PeerFrame.newBuilder().setBatch(Batch.newBuilder().setNumber(1)
                    .addRecords(invalid)).build());
        }
        invalidFrames.add(PeerFrame.newBuilder().setPart(Part.newBuilder().setPlainBytes(1 << 30)).build());
        invalidFrames.add(PeerFrame.getDefaultInstance());
        for (PeerFrame frame : invalidFrames) {
            ReplicatedRecords records = new ReplicatedRecords("a", 100);
            Replicator replicator = new Replicator("c", Set.of("b"), records, 1, 1000);
            replicator.reduce(new ReplicationEvent.PeerConnected("b"), 0);
            replicator.reduce(new ReplicationEvent.PeerFrameReceived("b", ReplicationSimulation.hello("c",
                    "b", "a")), 0);
            List<ReplicationEffect> effects =
                    replicator.reduce(new ReplicationEvent.PeerFrameReceived("b", frame), 1);
            assertTrue(effects.stream().anyMatch(e -> e instanceof ReplicationEffect.ClosePeer),
                    frame.toString());
            assertEquals(0, records.size());
        }
    }

    @Test
    void unknownPeersAreRefused() {
        Stream.of(ReplicationSimulation.hello("other", "b", "a"), ReplicationSimulation.hello("c", "d", "a"),
                ReplicationSimulation.hello("c", "b", "z")).forEach(hello -> {
                    Replicator replicator = new Replicator("c", Set.of("b"),
                            new ReplicatedRecords("a", 100), 1, 1000);
                    replicator.reduce(new ReplicationEvent.PeerConnected("b"), 0);
                    List<ReplicationEffect> effects =
                            replicator.reduce(new ReplicationEvent.PeerFrameReceived("b", hello), 0);
                    assertTrue(effects.stream().anyMatch(e -> e instanceof ReplicationEffect.ClosePeer));
                    assertFalse(replicator.peerStatuses().get(0).up());
                });
    }
}
