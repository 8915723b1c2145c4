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
import yewdock.verification.CopiesSim;
import yewdock.wire.Batch;
import yewdock.wire.Kept;
import yewdock.wire.Mark;
import yewdock.wire.Part;
import yewdock.wire.PeerFrame;

class ReplicaSimTest {
    private static final long SECOND = 1_000_000;

    private static Kept.Builder mark(int kind) {
        return Kept.newBuilder().setMark(Mark.newBuilder().setKindValue(kind));
    }

    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "i" + i).toList();
    }

    @Test
    void cutOffFromEachOtherAndJoinedTheyAgree() {
        for (int seed = 1; seed <= 20; seed++) {
            CopiesSim sim = new CopiesSim(names(5), seed);
            sim.run(3 * SECOND);
            SplittableRandom random = new SplittableRandom(seed);
            for (int round = 0; round < 5; round++) {
                sim.split(random.nextInt(1 << 5));
                for (int i = 0; i < 40; i++) {
                    sim.node(random.nextInt(5)).write(RecordKeys.override("s-" + random.nextInt(20)),
                            mark(1 + random.nextInt(2)));
                    sim.node(random.nextInt(5)).drop(RecordKeys.override("s-" + random.nextInt(20)));
                    sim.run(random.nextLong(SECOND / 2));
                }
                sim.join();
                sim.run(5 * SECOND);
                assertTrue(sim.agree(), "seed " + seed + " round " + round + ": " + sim.differences());
            }
        }
    }

    @Test
    void aDrainReachesAllWithoutWaitingForAComparison() {
        CopiesSim sim = new CopiesSim(names(5), 1);
        sim.run(3 * SECOND);
        sim.node(2).write(RecordKeys.override("s-1"), mark(1));
        sim.run(SECOND / 10);
        assertTrue(sim.agree());
        assertNotNull(sim.node(4).records().get(RecordKeys.override("s-1")));
    }

    @Test
    void anEmptyDiskTakesASnapshotAndKnowsItsOwnAgain() {
        CopiesSim sim = new CopiesSim(names(3), 1);
        for (int i = 0; i < 3000; i++) {
            sim.node(i % 3).write(RecordKeys.server("i" + i % 3, i), mark(1));
        }
        sim.run(20 * SECOND);
        assertTrue(sim.agree());
        sim.wipe(1);
        sim.node(1).write(RecordKeys.server("i1", 1), mark(2));
        sim.run(20 * SECOND);
        assertTrue(sim.agree(), sim.differences());
        assertEquals(3000, sim.node(1).records().size());
        // what it has written in this life holds, though its stamps began anew
        assertEquals(2, sim.node(0).records().get(RecordKeys.server("i1", 1)).getMark().getKindValue());
    }

    @Test
    void aSnapshotCutOffHalfWayIsTakenAnew() {
        CopiesSim sim = new CopiesSim(names(2), 1);
        for (int i = 0; i < 20_000; i++) {
            sim.node(0).write(RecordKeys.server("i0", i), mark(1));
        }
        sim.wipe(1);
        sim.run(1);
        while (sim.node(1).records().size() == 0) {
            sim.run(SECOND / 1000);
        }
        assertTrue(sim.node(1).records().size() < 20_000);
        sim.split(1);
        sim.run(SECOND);
        assertTrue(sim.node(1).replica().needsFullSync());
        sim.join();
        sim.run(20 * SECOND);
        assertTrue(sim.agree(), sim.differences());
    }

    @Test
    void whatWasRemovedLongAgoStaysRemoved() {
        CopiesSim sim = new CopiesSim(names(3), 1, 5);
        sim.node(0).write(RecordKeys.override("s-old"), mark(1));
        sim.run(5 * SECOND);
        byte[] disk = sim.disk(2);
        sim.stop(2);
        sim.rename(List.of("i0", "i1"));
        sim.node(0).drop(RecordKeys.override("s-old"));
        for (int i = 0; i < 30; i++) {
            sim.node(0).write(RecordKeys.override("s-" + i), mark(1));
            sim.run(SECOND / 10);
            sim.node(0).drop(RecordKeys.override("s-" + i));
        }
        sim.run(10 * SECOND);
        assertNull(sim.node(0).records().getWithTombstones(RecordKeys.override("s-old")),
                "the removal should be forgotten by now");
        sim.rename(List.of("i0", "i1", "i2"));
        sim.start(2, disk);
        assertNotNull(sim.node(2).records().get(RecordKeys.override("s-old")));
        sim.run(10 * SECOND);
        assertTrue(sim.agree(), sim.differences());
        assertNull(sim.node(2).records().get(RecordKeys.override("s-old")));
        assertNull(sim.node(0).records().get(RecordKeys.override("s-old")));
    }

    @Test
    void aClockAnHourOffDecidesNothing() {
        CopiesSim sim = new CopiesSim(names(3), 1);
        sim.run(3 * SECOND);
        sim.wallOff(0, 3600 * SECOND);
        sim.node(0).write(RecordKeys.override("s-1"), mark(1));
        sim.run(3 * SECOND);
        sim.node(1).drop(RecordKeys.override("s-1"));
        sim.run(3 * SECOND);
        assertTrue(sim.agree());
        assertNull(sim.node(0).records().get(RecordKeys.override("s-1")));
    }

    @Test
    void aPeerThatNeverAnswersCostsNamesOnly() {
        ReplicatedRecords records = new ReplicatedRecords("a", 100_000);
        Replicator replica = new Replicator("c", Set.of("b"), records, 1, 1000);
        replica.reduce(new ReplicationEvent.PeerConnected("b"), 0);
        replica.reduce(new ReplicationEvent.PeerFrameReceived("b", CopiesSim.hello("c", "b", "a")), 0);
        int sent = 0;
        for (int i = 0; i < 50_000; i++) {
            records.write(RecordKeys.override("s-" + i % 500), mark(1 + i % 2), 0);
            sent += replica.reduce(new ReplicationEvent.RecordsChanged(List.of(RecordKeys.override("s-"
                    + i % 500))), 1).size();
        }
        assertTrue(sent <= 2, sent + " frames to a peer that takes none");
        assertTrue(replica.peerStatuses().get(0).waiting() <= 500);
        List<ReplicationEffect> late = replica.reduce(new ReplicationEvent.Tick(), 6 * SECOND);
        assertTrue(late.stream().anyMatch(e -> e instanceof ReplicationEffect.ClosePeer));
        assertEquals(0, replica.peerStatuses().get(0).waiting());
    }

    @Test
    void whatMakesNoSenseClosesTheConnectionAndChangesNothing() {
        List<PeerFrame> nonsense = new ArrayList<>();
        Kept good = mark(1).setKey("mark/x").setStamp(3).setInstance("b").build();
        for (Kept bad : List.of(good.toBuilder().setStamp(Long.MAX_VALUE).build(),
                good.toBuilder().setStamp(0).build(), good.toBuilder().setKey("").build(),
                good.toBuilder().setInstance("").build(), good.toBuilder().clearMark().build())) {
            nonsense.add(PeerFrame.newBuilder().setBatch(Batch.newBuilder().setNumber(1).addRecords(bad))
                    .build());
        }
        nonsense.add(PeerFrame.newBuilder().setPart(Part.newBuilder().setPlainBytes(1 << 30)).build());
        nonsense.add(PeerFrame.getDefaultInstance());
        for (PeerFrame frame : nonsense) {
            ReplicatedRecords records = new ReplicatedRecords("a", 100);
            Replicator replica = new Replicator("c", Set.of("b"), records, 1, 1000);
            replica.reduce(new ReplicationEvent.PeerConnected("b"), 0);
            replica.reduce(new ReplicationEvent.PeerFrameReceived("b", CopiesSim.hello("c", "b", "a")), 0);
            List<ReplicationEffect> done = replica.reduce(new ReplicationEvent.PeerFrameReceived("b", frame),
                    1);
            assertTrue(done.stream().anyMatch(e -> e instanceof ReplicationEffect.ClosePeer),
                    frame.toString());
            assertEquals(0, records.size());
        }
    }

    @Test
    void strangersAreRefused() {
        Stream.of(CopiesSim.hello("other", "b", "a"), CopiesSim.hello("c", "d", "a"),
                CopiesSim.hello("c", "b", "z")).forEach(hello -> {
                    Replicator replica = new Replicator("c", Set.of("b"), new ReplicatedRecords("a", 100), 1,
                            1000);
                    replica.reduce(new ReplicationEvent.PeerConnected("b"), 0);
                    List<ReplicationEffect> done = replica.reduce(new ReplicationEvent.PeerFrameReceived("b",
                            hello), 0);
                    assertTrue(done.stream().anyMatch(e -> e instanceof ReplicationEffect.ClosePeer));
                    assertFalse(replica.peerStatuses().get(0).up());
                });
    }
}
