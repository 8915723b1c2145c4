package yewdock.replication;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import yewdock.logging.LogFields;
import yewdock.state.RecordKeys;
import yewdock.state.ReplicatedRecords;
import yewdock.wire.AskSnapshot;
import yewdock.wire.Batch;
import yewdock.wire.Buckets;
import yewdock.wire.Digest;
import yewdock.wire.Kept;
import yewdock.wire.Part;
import yewdock.wire.PeerFrame;
import yewdock.wire.PeerHello;
import yewdock.wire.Refused;
import yewdock.wire.Same;
import yewdock.wire.Taken;
import yewdock.wire.Want;

/**
 * How the instances of an installation keep each other's records: changes are pushed to every peer, sums of
 * the keys' buckets are compared every second and what differs is repaired, and an instance with nothing
 * takes a snapshot. A pure reducer: events in, effects out.
 *
 * <p>To a peer only keys wait, never records, and one batch at most is out: a peer that is slow, silent or
 * stale costs a name for each record and no more.
 */
public final class Replicator {
    /** The version of the frames that are sent, and the least that a reader must know. */
    public static final int VERSION = 1;
    static final long COMPARE_EVERY = 1_000_000;
    static final long SILENT_AFTER = 5_000_000;
    static final int MOST_BATCH = 256;
    static final int BATCH_BYTES = 128 * 1024;
    /** Entries of buckets that one comparison names. */
    static final int MOST_ENTRIES = 2_000;

    private final String cluster;
    private final ReplicatedRecords records;
    private final int mostTombstones;
    private final Map<String, Peer> peers = new TreeMap<>();
    private List<ReplicationEffect> effects = new ArrayList<>();
    private Set<String> toStore = new LinkedHashSet<>();
    private long now;
    /** The stamp known when the records last equalled a peer's. */
    private long lastSyncedStamp;
    private long nextCompare;
    private boolean snapshotAsked;
    private boolean needsFullSync;

    /** A peer of the operator's file, connected or not. */
    private static final class Peer {
        private final String name;
        private final LinkedHashSet<String> dirty = new LinkedHashSet<>();
        private boolean up;
        private boolean greeted;
        private long lastHeard;
        private long lastBatch;
        /** The number of the batch or part that is out, 0 for none. */
        private long out;
        private Iterator<Kept> snapshot;
        private boolean replace;
        private boolean takesSnapshot;
        private long equalStamp;
        private long digestClock;
        private boolean hasRecords;
        private long equalAt;
        private long sent;
        private long got;
        private String trouble = "never seen";

        Peer(String name) {
            this.name = name;
        }
    }

    /** How a peer stands: keys that wait, when it was last heard and last equal (microseconds; 0: never). */
    public record PeerStatus(String peer, boolean up, int waiting, long lastHeard, long equalAt, long sent,
            long got, String trouble) {
    }

    /**
     * Copying for these records, to the peers of these names.
     *
     * @param joined what {@link #lastSyncedStamp()} was when the records were stored, 0 with an empty disk
     * @param mostTombstones so many removals are remembered even when all peers know them
     */
    public Replicator(String cluster, Set<String> named, ReplicatedRecords records, long joined,
            int mostTombstones) {
        this.cluster = cluster;
        this.records = records;
        this.lastSyncedStamp = joined;
        this.mostTombstones = mostTombstones;
        this.needsFullSync = joined == 0;
        named.forEach(name -> peers.put(name, new Peer(name)));
    }

    /** Takes one event and tells what to do about it. */
    public List<ReplicationEffect> reduce(ReplicationEvent event, long time) {
        now = Math.max(now, time);
        effects = new ArrayList<>();
        toStore = new LinkedHashSet<>();
        if (event instanceof ReplicationEvent.PeerFrameReceived e) {
            heard(peers.get(e.peer()), e.frame());
        } else if (event instanceof ReplicationEvent.RecordsChanged e) {
            spread(e.keys());
        } else if (event instanceof ReplicationEvent.PeerConnected e) {
            up(peers.get(e.peer()));
        } else if (event instanceof ReplicationEvent.PeerDisconnected e) {
            down(peers.get(e.peer()), e.why());
        } else if (event instanceof ReplicationEvent.Tick) {
            tick();
        }
        if (!toStore.isEmpty()) {
            effects.add(new ReplicationEffect.StoreRecords(List.copyOf(toStore)));
        }
        return effects;
    }

    /** When the next {@link ReplicationEvent.Tick} is due. */
    public long nextTickDue() {
        return nextCompare;
    }

    /** The stamp known when the records last equalled a peer's; to be stored with them. */
    public long lastSyncedStamp() {
        return lastSyncedStamp;
    }

    /** Whether the first of the records have yet to be taken from a peer. */
    public boolean needsFullSync() {
        return needsFullSync;
    }

    public List<PeerStatus> peerStatuses() {
        return peers.values().stream().map(p -> new PeerStatus(p.name, p.up && p.greeted, p.dirty.size(),
                p.lastHeard, p.equalAt, p.sent, p.got, p.trouble)).toList();
    }

    // ---- connections

    private void up(Peer p) {
        if (p == null) {
            return;
        }
        p.up = true;
        p.greeted = false;
        p.lastHeard = now;
        p.out = 0;
        p.snapshot = null;
        p.replace = false;
        p.takesSnapshot = false;
        p.trouble = "not greeted";
        send(p, PeerFrame.newBuilder().setHello(hello(p, false)));
    }

    private PeerHello.Builder hello(Peer p, boolean again) {
        return PeerHello.newBuilder().setVersion(VERSION).setLeastReader(VERSION).setCluster(cluster)
                .setInstance(records.instance()).setTo(p.name).setJoined(lastSyncedStamp)
                .setHorizon(records.horizon()).setRecords(records.size()).setAgain(again);
    }

    private void down(Peer p, String why) {
        if (p == null || !p.up) {
            return;
        }
        p.up = false;
        p.greeted = false;
        // the sums tell what it lacks once it is back
        p.dirty.clear();
        p.out = 0;
        p.snapshot = null;
        snapshotAsked &= !p.takesSnapshot;
        p.takesSnapshot = false;
        p.trouble = why;
        note("peer.lost", p, "why", why);
    }

    private void close(Peer p, String why) {
        send(p, PeerFrame.newBuilder().setRefused(Refused.newBuilder().setWhy(why)));
        effects.add(new ReplicationEffect.ClosePeer(p.name, why));
        down(p, why);
    }

    private void tick() {
        nextCompare = now + COMPARE_EVERY;
        for (Peer p : peers.values()) {
            if (p.up && now - p.lastHeard > SILENT_AFTER) {
                close(p, "silent for " + (now - p.lastHeard) / 1_000_000 + " s");
            } else if (p.up && p.greeted && needsFullSync && !snapshotAsked && p.hasRecords) {
                askSnapshot(p);
            } else if (p.up && p.greeted && leads(p) && p.snapshot == null && !p.takesSnapshot) {
                compare(p);
            }
        }
        forget();
    }

    /** Of two instances one asks, and the other answers. */
    private boolean leads(Peer p) {
        return records.instance().compareTo(p.name) < 0;
    }

    private void compare(Peer p) {
        p.digestClock = records.clock();
        send(p, PeerFrame.newBuilder().setDigest(Digest.newBuilder().addAllSums(records.bucketSums())
                .setHorizon(records.horizon())));
    }

    // ---- what peers say

    private void heard(Peer p, PeerFrame frame) {
        if (p == null || !p.up) {
            return;
        }
        p.lastHeard = now;
        if (frame.hasHello()) {
            greeted(p, frame.getHello());
            return;
        }
        if (frame.hasRefused()) {
            effects.add(new ReplicationEffect.ClosePeer(p.name, "refused there: "
                    + frame.getRefused().getWhy()));
            down(p, "refused there: " + frame.getRefused().getWhy());
            return;
        }
        if (!p.greeted) {
            close(p, "a " + frame.getWhatCase() + " before any hello");
            return;
        }
        switch (frame.getWhatCase()) {
            case BATCH -> batch(p, frame.getBatch());
            case TAKEN -> taken(p, frame.getTaken().getNumber());
            case DIGEST -> digest(p, frame.getDigest());
            case SAME -> {
                follow(frame.getSame().getHorizon());
                equal(p, p.digestClock);
            }
            case BUCKETS -> buckets(p, frame.getBuckets());
            case WANT -> want(p, frame.getWant().getKeysList());
            case ASK_SNAPSHOT -> beginSnapshot(p, false);
            case PART -> part(p, frame.getPart());
            default -> close(p, "a frame that this program doesn't know");
        }
    }

    private void greeted(Peer p, PeerHello hello) {
        String wrong = hello.getLeastReader() > VERSION ? "its frames are for readers of version "
                + hello.getLeastReader() + "; this program's is " + VERSION
                : !hello.getCluster().equals(cluster) ? "it is of the cluster " + hello.getCluster()
                : !hello.getInstance().equals(p.name) ? "it calls itself " + hello.getInstance()
                : !hello.getTo().equals(records.instance()) ? "it looks for " + hello.getTo() : null;
        if (wrong != null) {
            close(p, wrong);
            return;
        }
        boolean first = !p.greeted;
        p.greeted = true;
        p.trouble = "";
        p.hasRecords = hello.getRecords() > 0;
        p.replace &= !hello.getAgain();
        if (first) {
            note("peer.greeted", p, "records", hello.getRecords());
        }
        boolean peerIsNew = hello.getJoined() == 0;
        boolean stale = !peerIsNew && hello.getJoined() < records.horizon();
        boolean staleHere = lastSyncedStamp != 0 && lastSyncedStamp < hello.getHorizon();
        if (stale && !(staleHere && hello.getHorizon() > records.horizon())) {
            // it has missed removals that are forgotten here: what it has could bring them back
            note("peer.stale", p, "joined", hello.getJoined(), "horizon", records.horizon());
            beginSnapshot(p, true);
        } else if (staleHere) {
            // the same the other way round: the peer sends all of what holds
            p.takesSnapshot = true;
        } else if (needsFullSync && !snapshotAsked && p.hasRecords) {
            askSnapshot(p);
        } else if (leads(p)) {
            compare(p);
        }
        push(p);
    }

    private void askSnapshot(Peer p) {
        snapshotAsked = true;
        p.takesSnapshot = true;
        send(p, PeerFrame.newBuilder().setAskSnapshot(AskSnapshot.getDefaultInstance()));
    }

    private void digest(Peer p, Digest digest) {
        if (digest.getSumsCount() != ReplicatedRecords.BUCKETS) {
            close(p, "a digest of " + digest.getSumsCount() + " sums");
            return;
        }
        follow(digest.getHorizon());
        List<Integer> differing = records.differingBuckets(digest.getSumsList());
        if (differing.isEmpty()) {
            equal(p, records.clock());
            // all that is here was there when it sent this
            p.dirty.clear();
            send(p, PeerFrame.newBuilder().setSame(Same.newBuilder().setHorizon(records.horizon())));
            return;
        }
        Buckets.Builder answer = Buckets.newBuilder();
        for (Map.Entry<Integer, List<Kept>> bucket : records.recordsInBuckets(differing).entrySet()) {
            List<Kept> of = bucket.getValue();
            if (answer.getEntriesCount() > 0 && answer.getEntriesCount() + of.size() > MOST_ENTRIES) {
                break;
            }
            answer.addIndexes(bucket.getKey());
            of.forEach(k -> answer.addEntries(Buckets.Entry.newBuilder().setKey(k.getKey())
                    .setHash(records.hash(k.getKey())).setStamp(k.getStamp()).setInstance(k.getInstance())));
        }
        send(p, PeerFrame.newBuilder().setBuckets(answer));
    }

    /** What was known here at this stamp is what was known there. */
    private void equal(Peer p, long stamp) {
        p.equalStamp = Math.max(p.equalStamp, stamp);
        p.equalAt = now;
        needsFullSync = false;
        lastSyncedStamp = Math.max(Math.max(1, lastSyncedStamp), stamp);
    }

    /** Another has forgotten removals that all knew: they are forgotten here too, or the sums never agree. */
    private void follow(long horizon) {
        if (horizon > records.horizon() && (lastSyncedStamp == 0 || horizon <= lastSyncedStamp)) {
            toStore.addAll(records.purgeTombstones(horizon));
        }
    }

    private void buckets(Peer p, Buckets theirs) {
        if (theirs.getIndexesList().stream().anyMatch(i -> i < 0 || i >= ReplicatedRecords.BUCKETS)) {
            close(p, "buckets that there are not");
            return;
        }
        Set<String> want = new LinkedHashSet<>();
        Map<String, Buckets.Entry> there = new HashMap<>();
        for (Buckets.Entry e : theirs.getEntriesList()) {
            there.put(e.getKey(), e);
            Kept mine = records.getWithTombstones(e.getKey());
            if (mine == null || records.hash(e.getKey()) != e.getHash() && order(e, mine) >= 0) {
                want.add(e.getKey());
            }
        }
        records.recordsInBuckets(theirs.getIndexesList()).values().forEach(of -> of.forEach(mine -> {
            Buckets.Entry e = there.get(mine.getKey());
            if (e == null || e.getHash() != records.hash(mine.getKey()) && order(e, mine) <= 0) {
                p.dirty.add(mine.getKey());
            }
        }));
        if (!want.isEmpty()) {
            send(p, PeerFrame.newBuilder().setWant(Want.newBuilder().addAllKeys(want)));
        }
        push(p);
    }

    private static int order(Buckets.Entry theirs, Kept mine) {
        return ReplicatedRecords.compare(theirs.getStamp(), theirs.getInstance(), mine);
    }

    private void want(Peer p, Collection<String> keys) {
        keys.stream().filter(k -> records.getWithTombstones(k) != null).forEach(p.dirty::add);
        push(p);
    }

    // ---- changes

    private void spread(Collection<String> keys) {
        for (Peer p : peers.values()) {
            if (p.up && p.greeted) {
                p.dirty.addAll(keys);
                push(p);
            }
        }
    }

    private void push(Peer p) {
        if (!p.up || !p.greeted || p.out != 0) {
            return;
        }
        if (p.snapshot != null) {
            sendPart(p);
            return;
        }
        if (p.takesSnapshot) {
            return;
        }
        Batch.Builder batch = Batch.newBuilder();
        int bytes = 0;
        for (Iterator<String> waiting = p.dirty.iterator(); waiting.hasNext()
                && batch.getRecordsCount() < MOST_BATCH && bytes < BATCH_BYTES;) {
            String key = waiting.next();
            Kept kept = records.getWithTombstones(key);
            if (kept != null) {
                batch.addRecords(kept);
                bytes += kept.getSerializedSize();
            }
            waiting.remove();
        }
        if (batch.getRecordsCount() == 0) {
            return;
        }
        p.out = ++p.lastBatch;
        p.sent += batch.getRecordsCount();
        send(p, PeerFrame.newBuilder().setBatch(batch.setNumber(p.out)));
    }

    private void batch(Peer p, Batch batch) {
        if (p.replace || p.takesSnapshot) {
            // what it sends before it has taken the snapshot may be of what was removed
            send(p, PeerFrame.newBuilder().setTaken(Taken.newBuilder().setNumber(batch.getNumber())));
            return;
        }
        if (take(p, batch.getRecordsList())) {
            send(p, PeerFrame.newBuilder().setTaken(Taken.newBuilder().setNumber(batch.getNumber())));
        }
    }

    /** False if the peer was closed over it. */
    private boolean take(Peer p, List<Kept> all) {
        List<String> asserted = new ArrayList<>();
        for (Kept kept : all) {
            String flaw = ReplicatedRecords.validate(kept);
            if (flaw != null) {
                close(p, "a record with " + flaw);
                return false;
            }
            Kept mine = records.getWithTombstones(kept.getKey());
            if (mine != null && RecordKeys.isOwnedBy(records.instance(), kept.getKey())
                    && kept.getStamp() >= mine.getStamp() && !kept.equals(mine)) {
                // of an earlier life under this name, which this instance does not remember: it knows better
                Kept.Builder again = mine.toBuilder();
                records.merge(kept);
                asserted.add(records.write(kept.getKey(), again, mine.getWall()).getKey());
                toStore.add(kept.getKey());
                continue;
            }
            ReplicatedRecords.MergeResult merged = records.merge(kept);
            if (merged == ReplicatedRecords.MergeResult.REJECTED) {
                close(p, "more records than this instance keeps");
                return false;
            }
            if (merged == ReplicatedRecords.MergeResult.APPLIED) {
                toStore.add(kept.getKey());
                p.got++;
            }
        }
        if (!asserted.isEmpty()) {
            spread(asserted);
        }
        return true;
    }

    private void taken(Peer p, long number) {
        if (number != p.out || p.out == 0) {
            close(p, "an answer to " + number + ", which was not asked");
            return;
        }
        p.out = 0;
        push(p);
    }

    // ---- snapshots

    private void beginSnapshot(Peer p, boolean replace) {
        if (p.snapshot == null) {
            p.snapshot = List.copyOf(listed()).iterator();
            p.replace = replace;
            push(p);
        }
    }

    /** References only: the records themselves never change. */
    private List<Kept> listed() {
        List<Kept> all = new ArrayList<>(records.size());
        records.recordsAfter("").forEach(all::add);
        return all;
    }

    private void sendPart(Peer p) {
        List<Kept> part = new ArrayList<>();
        int bytes = 0;
        while (p.snapshot.hasNext() && bytes < Snapshots.PART_BYTES) {
            Kept kept = p.snapshot.next();
            part.add(kept);
            bytes += kept.getSerializedSize();
        }
        boolean last = !p.snapshot.hasNext();
        p.out = ++p.lastBatch;
        p.sent += part.size();
        Part.Builder packed = Snapshots.pack(part).setNumber(p.out).setLast(last).setReplace(p.replace)
                .setHorizon(records.horizon());
        if (last) {
            p.snapshot = null;
        }
        send(p, PeerFrame.newBuilder().setPart(packed));
    }

    private void part(Peer p, Part part) {
        List<Kept> all;
        try {
            all = Snapshots.unpack(part);
        } catch (InvalidProtocolBufferException e) {
            close(p, e.getMessage());
            return;
        }
        if (!p.takesSnapshot) {
            close(p, "a snapshot that nobody asked for");
            return;
        }
        if (part.getReplace() && !needsFullSync) {
            // first of all: what is here and not there was removed while this instance was away; but what is
            // its own nobody else can have removed
            note("replica.replaced", p, "records", records.size());
            toStore.addAll(records.removeExcept(key -> RecordKeys.isOwnedBy(records.instance(), key)));
            needsFullSync = true;
        }
        if (!take(p, all)) {
            return;
        }
        send(p, PeerFrame.newBuilder().setTaken(Taken.newBuilder().setNumber(part.getNumber())));
        if (part.getLast()) {
            p.takesSnapshot = false;
            snapshotAsked = false;
            needsFullSync = false;
            toStore.addAll(records.purgeTombstones(part.getHorizon()));
            lastSyncedStamp = Math.max(1, records.clock());
            note("replica.caught_up", p, "records", records.size());
            send(p, PeerFrame.newBuilder().setHello(hello(p, true)));
            for (Peer other : peers.values()) {
                if (other.greeted && leads(other) && other.snapshot == null) {
                    compare(other);
                }
                push(other);
            }
        }
    }

    // ---- removals

    /** A removal may be forgotten once every named peer was equal after it: none can bring it back. */
    private void forget() {
        if (records.tombstones() <= mostTombstones) {
            return;
        }
        long upTo = Math.min(records.clock(), lastSyncedStamp);
        for (Peer p : peers.values()) {
            upTo = Math.min(upTo, p.equalStamp);
        }
        toStore.addAll(records.purgeTombstones(upTo));
    }

    private void send(Peer p, PeerFrame.Builder frame) {
        effects.add(new ReplicationEffect.SendToPeer(p.name, frame.build()));
    }

    private void note(String event, Peer p, Object... more) {
        Object[] all = new Object[more.length + 2];
        all[0] = "peer";
        all[1] = p.name;
        System.arraycopy(more, 0, all, 2, more.length);
        effects.add(new ReplicationEffect.LogEvent(event, LogFields.of(all)));
    }
}
