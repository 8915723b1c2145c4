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

/** Merging gives the same whatever the order and however often; wall clocks have no say. */
class RecordsPropertiesTest {
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
    void theOrderIsNothing(@ForAll("sets") List<Kept> a, @ForAll("sets") List<Kept> b,
            @ForAll Random random) {
        ReplicatedRecords one = of(a, b);
        assertEquals(all(one), all(of(b, a)));
        List<Kept> mixed = new ArrayList<>(a);
        mixed.addAll(b);
        Collections.shuffle(mixed, random);
        ReplicatedRecords other = of(mixed, List.of());
        assertEquals(all(one), all(other));
        assertEquals(one.bucketSums(), other.bucketSums());
    }

    @Property(seed = SEED)
    void groupsAreNothing(@ForAll("sets") List<Kept> a, @ForAll("sets") List<Kept> b,
            @ForAll("sets") List<Kept> c) {
        assertEquals(all(of(all(of(a, b)), c)), all(of(a, all(of(b, c)))));
    }

    @Property(seed = SEED)
    void twiceIsOnce(@ForAll("sets") List<Kept> a) {
        ReplicatedRecords once = of(a, List.of());
        assertEquals(all(once), all(of(a, a)));
        assertEquals(once.bucketSums(), of(a, a).bucketSums());
    }

    @Property(seed = SEED)
    void aRecordWrittenHereHoldsOverAllSeen(@ForAll("sets") List<Kept> a,
            @ForAll("sets") List<Kept> late) {
        ReplicatedRecords here = of(a, List.of());
        Kept mine = here.write("a", Kept.newBuilder().setMark(Mark.newBuilder().setKindValue(2)), -5);
        a.forEach(here::merge);
        assertEquals(mine, here.get("a"));
        ReplicatedRecords there = of(late, a);
        there.merge(mine);
        all(here).forEach(there::merge);
        assertEquals(there.bucketSums(), of(all(there), all(here)).bucketSums());
    }

    @Property(seed = SEED)
    void theSumsAreOfWhatIsThere(@ForAll("sets") List<Kept> a, @ForAll("sets") List<Kept> b) {
        ReplicatedRecords grown = of(a, b);
        assertEquals(of(all(grown), List.of()).bucketSums(), grown.bucketSums());
        assertEquals(all(grown).equals(all(of(a, List.of()))),
                grown.differingBuckets(of(a, List.of()).bucketSums()).isEmpty());
    }
}
