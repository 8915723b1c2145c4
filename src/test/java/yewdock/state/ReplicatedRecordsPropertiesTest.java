package yewdock.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import yewdock.wire.Dropped;
import yewdock.wire.Kept;
import yewdock.wire.Mark;

/** Merging is commutative, associative and idempotent, and does not depend on wall clocks. */
class ReplicatedRecordsPropertiesTest {
    private static final String SEED = "42";

    @Provide
    Arbitrary<Kept> records() {
        return Combinators.combine(Arbitraries.of("a", "b", "c", "d"), Arbitraries.longs().between(1, 5),
                Arbitraries.of("north", "south"), Arbitraries.longs(), Arbitraries.integers().between(0, 3))
                .as((key, stamp, instance, wall, content) -> {
                    Kept.Builder kept = Kept.newBuilder().setKey(key).setStamp(stamp).setInstance(instance)
                            .setWall(wall);
                    return content == 0 ? kept.setDropped(Dropped.getDefaultInstance()).build()
                            : kept.setMark(Mark.newBuilder().setKindValue(content)).build();
                });
    }

    @Provide
    Arbitrary<List<Kept>> sets() {
        return records().list().ofMaxSize(12);
    }

    private static ReplicatedRecords of(List<Kept> first, List<Kept> second) {
        ReplicatedRecords records = new ReplicatedRecords("here", 100);
        first.forEach(records::merge);
        second.forEach(records::merge);
        return records;
    }

    private static List<Kept> all(ReplicatedRecords records) {
        List<Kept> all = new ArrayList<>();
        records.recordsAfter("").forEach(all::add);
        return all;
    }

    @Property(seed = SEED)
    void mergingIsCommutative(@ForAll("sets") List<Kept> a, @ForAll("sets") List<Kept> b,
            @ForAll Random random) {
        ReplicatedRecords merged = of(a, b);
        assertEquals(all(merged), all(of(b, a)));
        List<Kept> shuffled = new ArrayList<>(a);
        shuffled.addAll(b);
        Collections.shuffle(shuffled, random);
        ReplicatedRecords other = of(shuffled, List.of());
        assertEquals(all(merged), all(other));
        assertEquals(merged.bucketSums(), other.bucketSums());
    }

    @Property(seed = SEED)
    void mergingIsAssociative(@ForAll("sets") List<Kept> a, @ForAll("sets") List<Kept> b,
            @ForAll("sets") List<Kept> c) {
        assertEquals(all(of(all(of(a, b)), c)), all(of(a, all(of(b, c)))));
    }

    @Property(seed = SEED)
    void mergingIsIdempotent(@ForAll("sets") List<Kept> a) {
        ReplicatedRecords once = of(a, List.of());
        assertEquals(all(once), all(of(a, a)));
        assertEquals(once.bucketSums(), of(a, a).bucketSums());
    }

    @Property(seed = SEED)
    void aLocalWriteWinsOverAllRecordsSeenBefore(@ForAll("sets") List<Kept> a,
            @ForAll("sets") List<Kept> unseen) {
        ReplicatedRecords localRecords = of(a, List.of());
        Kept local = localRecords.write("a", Kept.newBuilder().setMark(Mark.newBuilder().setKindValue(2)),
                -5);
        a.forEach(localRecords::merge);
        assertEquals(local, localRecords.get("a"));
        ReplicatedRecords remote = of(unseen, a);
        remote.merge(local);
        all(localRecords).forEach(remote::merge);
        assertEquals(remote.bucketSums(), of(all(remote), all(localRecords)).bucketSums());
    }

    @Property(seed = SEED)
    void sumsMatchTheRecords(@ForAll("sets") List<Kept> a, @ForAll("sets") List<Kept> b) {
        ReplicatedRecords merged = of(a, b);
        assertEquals(of(all(merged), List.of()).bucketSums(), merged.bucketSums());
        assertEquals(all(merged).equals(all(of(a, List.of()))),
                merged.differingBuckets(of(a, List.of()).bucketSums()).isEmpty());
    }
}
