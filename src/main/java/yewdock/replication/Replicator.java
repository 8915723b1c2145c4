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
 * Replicates records between the instances of an installation. Changes are pushed to every peer; once a
 * second, peers compare the sums of their buckets of keys and repair differences; an instance without records
 * requests a snapshot. A pure reducer: one event in, a list of effects out. Times are in microseconds.
 *
 * <p>Only keys are queued for a peer, never records, and at most one batch is unacknowledged. So a peer that
 * is slow, silent or stale costs no more memory than one key per record.
 */
public final class Replicator {
    /** The version of the frames sent, and the lowest version that a reader has to support. */
    public static final int VERSION = 1;
    static final long COMPARE_INTERVAL_MICROS = 1_000_000;
    /** A peer that sends nothing for this long is disconnected. */
    static final long SILENCE_TIMEOUT_MICROS = 5_000_000;
    static final int MAX_BATCH_RECORDS = 256;
    static final int MAX_BATCH_BYTES = 128 * 1024;
    /** How many entries one comparison lists, unless a single bucket has more. */
    static final int MAX_ENTRIES = 2_000;

    private final String cluster;
    private final ReplicatedRecords records;
    private final int maxTombstones;
    private final Map<String, Peer> peers = new TreeMap<>();
    private List<ReplicationEffect> effects = new ArrayList<>();
    private Set<String> keysToStore = new LinkedHashSet<>();
    private long now;
    /** The greatest stamp known when the records last equalled a peer's; 0 if they never did. */
    private long lastSyncedStamp;
    private long nextComparison;
    private boolean snapshotRequested;
    private boolean needsFullSync;

    /** A configured peer, connected or not. */
    private static final class Peer {
        private final String name;
        /** Keys of records still to be sent. */
        private final LinkedHashSet<String> dirtyKeys = new LinkedHashSet<>();
        private boolean up;
        private boolean handshakeDone;
        private long lastHeard;
        private long lastNumber;
        /** The number of the unacknowledged batch or snapshot part; 0 for none. */
        private long outstanding;
        /** What is left of the snapshot being sent to the peer; null for none. */
        private Iterator<Kept> snapshot;
        /** Whether that snapshot replaces the peer's records. */
        private boolean replace;
        /** Whether a snapshot is expected from the peer. */
        private boolean receivesSnapshot;
        /** The greatest stamp here when the peer's records last equalled the ones here. */
        private long syncedStamp;
        /** The greatest stamp here when the last digest was sent. */
        private long digestStamp;
        private boolean hasRecords;
        private long equalAt;
        /** How many records were sent to the peer, and how many from it were stored. */
        private long sent;
        private long got;
        private String trouble = "never connected";

        Peer(String name) {
            this.name = name;
        }
    }

    /**
     * The status of a peer.
     *
     * @param peer its name
     * @param up whether it is connected and the handshake is done
     * @param waiting how many keys are queued for it
     * @param lastHeard when its last frame was received, in microseconds; 0 for never
     * @param equalAt when its records were last known to equal the ones here, in microseconds; 0 for never
     * @param sent how many records were sent to it
     * @param got how many records from it were stored
     * @param trouble why it is not up; empty if it is
     */
    public record PeerStatus(String peer, boolean up, int waiting, long lastHeard, long equalAt, long sent,
            long got, String trouble) {
    }

    /**
     * Replicates these records with peers.
     *
     * @param cluster the name of the installation
     * @param peerNames the names of the peers
     * @param records the records of this instance
     * @param lastSyncedStamp the value of {@link #lastSyncedStamp()} when the records were stored; 0 for an
     *     empty disk
     * @param maxTombstones tombstones are purged only once there are more than this
     */
    public Replicator(String cluster, Set<String> peerNames, ReplicatedRecords records, long lastSyncedStamp,
            int maxTombstones) {
        this.cluster = cluster;
        this.records = records;
        this.lastSyncedStamp = lastSyncedStamp;
        this.maxTombstones = maxTombstones;
        this.needsFullSync = lastSyncedStamp == 0;
        peerNames.forEach(name -> peers.put(name, new Peer(name)));
    }

    /** Handles an event at the given time (microseconds) and returns the effects to carry out. */
    public List<ReplicationEffect> reduce(ReplicationEvent event, long time) {
        now = Math.max(now, time);
        effects = new ArrayList<>();
        keysToStore = new LinkedHashSet<>();
        if (event instanceof ReplicationEvent.PeerFrameReceived e) {
            receive(peers.get(e.peer()), e.frame());
        } else if (event instanceof ReplicationEvent.RecordsChanged e) {
            queueForAll(e.keys());
        } else if (event instanceof ReplicationEvent.PeerConnected e) {
            connected(peers.get(e.peer()));
        } else if (event instanceof ReplicationEvent.PeerDisconnected e) {
            disconnected(peers.get(e.peer()), e.why());
        } else if (event instanceof ReplicationEvent.Tick) {
            tick();
        }
        if (!keysToStore.isEmpty()) {
            effects.add(new ReplicationEffect.StoreRecords(List.copyOf(keysToStore)));
        }
        return effects;
    }

    /** When the next {@link ReplicationEvent.Tick} is due, in microseconds. */
    public long nextTickDue() {
        return nextComparison;
    }

    /** The greatest stamp known when the records last equalled a peer's; to be stored with the records. */
    public long lastSyncedStamp() {
        return lastSyncedStamp;
    }

    /** Whether the initial records have yet to be received from a peer. */
    public boolean needsFullSync() {
        return needsFullSync;
    }

    /** The status of every configured peer. */
    public List<PeerStatus> peerStatuses() {
        return peers.values().stream().map(peer -> new PeerStatus(peer.name, peer.up && peer.handshakeDone,
                peer.dirtyKeys.size(), peer.lastHeard, peer.equalAt, peer.sent, peer.got,
                peer.trouble)).toList();
    }

    // ---- connections

    private void connected(Peer peer) {
        if (peer == null) {
            return;
        }
        peer.up = true;
        peer.handshakeDone = false;
        peer.lastHeard = now;
        peer.outstanding = 0;
        peer.snapshot = null;
        peer.replace = false;
        peer.receivesSnapshot = false;
        peer.trouble = "handshake not done";
        send(peer, PeerFrame.newBuilder().setHello(hello(peer, false)));
    }

    /** A hello; again is set for one that is sent after a snapshot has replaced all records. */
    private PeerHello.Builder hello(Peer peer, boolean again) {
        return PeerHello.newBuilder().setVersion(VERSION).setLeastReader(VERSION).setCluster(cluster)
                .setInstance(records.instance()).setTo(peer.name).setJoined(lastSyncedStamp)
                .setHorizon(records.horizon()).setRecords(records.size()).setAgain(again);
    }

    private void disconnected(Peer peer, String why) {
        if (peer == null || !peer.up) {
            return;
        }
        peer.up = false;
        peer.handshakeDone = false;
        // comparing sums after the next connect finds what it lacks
        peer.dirtyKeys.clear();
        peer.outstanding = 0;
        peer.snapshot = null;
        snapshotRequested &= !peer.receivesSnapshot;
        peer.receivesSnapshot = false;
        peer.trouble = why;
        log("peer.lost", peer, "why", why);
    }

    private void close(Peer peer, String why) {
        send(peer, PeerFrame.newBuilder().setRefused(Refused.newBuilder().setWhy(why)));
        effects.add(new ReplicationEffect.ClosePeer(peer.name, why));
        disconnected(peer, why);
    }

    private void tick() {
        nextComparison = now + COMPARE_INTERVAL_MICROS;
        for (Peer peer : peers.values()) {
            if (peer.up && now - peer.lastHeard > SILENCE_TIMEOUT_MICROS) {
                close(peer, "no frame received for " + (now - peer.lastHeard) / 1_000_000 + " s");
            } else if (peer.up && peer.handshakeDone && needsFullSync && !snapshotRequested
                    && peer.hasRecords) {
                requestSnapshot(peer);
            } else if (peer.up && peer.handshakeDone && startsComparison(peer) && peer.snapshot == null
                    && !peer.receivesSnapshot) {
                compare(peer);
            }
        }
        purgeTombstones();
    }

    /** Of two peers, the one whose name sorts first starts the comparisons. */
    private boolean startsComparison(Peer peer) {
        return records.instance().compareTo(peer.name) < 0;
    }

    private void compare(Peer peer) {
        peer.digestStamp = records.clock();
        send(peer, PeerFrame.newBuilder().setDigest(Digest.newBuilder().addAllSums(records.bucketSums())
                .setHorizon(records.horizon())));
    }

    // ---- frames from peers

    private void receive(Peer peer, PeerFrame frame) {
        if (peer == null || !peer.up) {
            return;
        }
        peer.lastHeard = now;
        if (frame.hasHello()) {
            receiveHello(peer, frame.getHello());
            return;
        }
        if (frame.hasRefused()) {
            effects.add(new ReplicationEffect.ClosePeer(peer.name, "refused by the peer: "
                    + frame.getRefused().getWhy()));
            disconnected(peer, "refused by the peer: " + frame.getRefused().getWhy());
            return;
        }
        if (!peer.handshakeDone) {
            close(peer, "frame " + frame.getWhatCase() + " received before hello");
            return;
        }
        switch (frame.getWhatCase()) {
            case BATCH -> receiveBatch(peer, frame.getBatch());
            case TAKEN -> acknowledged(peer, frame.getTaken().getNumber());
            case DIGEST -> receiveDigest(peer, frame.getDigest());
            case SAME -> {
                followHorizon(frame.getSame().getHorizon());
                recordsEqual(peer, peer.digestStamp);
            }
            case BUCKETS -> receiveBuckets(peer, frame.getBuckets());
            case WANT -> receiveWant(peer, frame.getWant().getKeysList());
            case ASK_SNAPSHOT -> beginSnapshot(peer, false);
            case PART -> receivePart(peer, frame.getPart());
            default -> close(peer, "unknown frame");
        }
    }

    private void receiveHello(Peer peer, PeerHello hello) {
        String mismatch = hello.getLeastReader() > VERSION ? "it requires frame version "
                + hello.getLeastReader() + "; this router has version " + VERSION
                : !hello.getCluster().equals(cluster) ? "it belongs to cluster " + hello.getCluster()
                : !hello.getInstance().equals(peer.name) ? "its instance name is " + hello.getInstance()
                : !hello.getTo().equals(records.instance()) ? "it expects instance " + hello.getTo() : null;
        if (mismatch != null) {
            close(peer, mismatch);
            return;
        }
        boolean first = !peer.handshakeDone;
        peer.handshakeDone = true;
        peer.trouble = "";
        peer.hasRecords = hello.getRecords() > 0;
        peer.replace &= !hello.getAgain();
        if (first) {
            log("peer.greeted", peer, "records", hello.getRecords());
        }
        boolean peerIsNew = hello.getJoined() == 0;
        boolean peerIsStale = !peerIsNew && hello.getJoined() < records.horizon();
        boolean selfIsStale = lastSyncedStamp != 0 && lastSyncedStamp < hello.getHorizon();
        if (peerIsStale && !(selfIsStale && hello.getHorizon() > records.horizon())) {
            // it has missed removals whose tombstones are purged here: its records could restore them
            log("peer.stale", peer, "joined", hello.getJoined(), "horizon", records.horizon());
            beginSnapshot(peer, true);
        } else if (selfIsStale) {
            // the reverse case: the peer sends all of its records
            peer.receivesSnapshot = true;
        } else if (needsFullSync && !snapshotRequested && peer.hasRecords) {
            requestSnapshot(peer);
        } else if (startsComparison(peer)) {
            compare(peer);
        }
        push(peer);
    }

    private void requestSnapshot(Peer peer) {
        snapshotRequested = true;
        peer.receivesSnapshot = true;
        send(peer, PeerFrame.newBuilder().setAskSnapshot(AskSnapshot.getDefaultInstance()));
    }

    private void receiveDigest(Peer peer, Digest digest) {
        if (digest.getSumsCount() != ReplicatedRecords.BUCKETS) {
            close(peer, "digest with " + digest.getSumsCount() + " sums");
            return;
        }
        followHorizon(digest.getHorizon());
        List<Integer> differing = records.differingBuckets(digest.getSumsList());
        if (differing.isEmpty()) {
            recordsEqual(peer, records.clock());
            // the peer had all records of this instance when it sent the digest
            peer.dirtyKeys.clear();
            send(peer, PeerFrame.newBuilder().setSame(Same.newBuilder().setHorizon(records.horizon())));
            return;
        }
        Buckets.Builder reply = Buckets.newBuilder();
        for (Map.Entry<Integer, List<Kept>> bucket : records.recordsInBuckets(differing).entrySet()) {
            List<Kept> inBucket = bucket.getValue();
            if (reply.getEntriesCount() > 0 && reply.getEntriesCount() + inBucket.size() > MAX_ENTRIES) {
                break;
            }
            reply.addIndexes(bucket.getKey());
            inBucket.forEach(kept -> reply.addEntries(Buckets.Entry.newBuilder().setKey(kept.getKey())
                    .setHash(records.hash(kept.getKey())).setStamp(kept.getStamp())
                    .setInstance(kept.getInstance())));
        }
        send(peer, PeerFrame.newBuilder().setBuckets(reply));
    }

    /** The records here as of this stamp equal the peer's. */
    private void recordsEqual(Peer peer, long stamp) {
        peer.syncedStamp = Math.max(peer.syncedStamp, stamp);
        peer.equalAt = now;
        needsFullSync = false;
        lastSyncedStamp = Math.max(Math.max(1, lastSyncedStamp), stamp);
    }

    /** Purges tombstones that a peer has purged, as otherwise the sums would never agree. */
    private void followHorizon(long horizon) {
        if (horizon > records.horizon() && (lastSyncedStamp == 0 || horizon <= lastSyncedStamp)) {
            keysToStore.addAll(records.purgeTombstones(horizon));
        }
    }

    private void receiveBuckets(Peer peer, Buckets buckets) {
        if (buckets.getIndexesList().stream().anyMatch(i -> i < 0 || i >= ReplicatedRecords.BUCKETS)) {
            close(peer, "invalid bucket index");
            return;
        }
        Set<String> want = new LinkedHashSet<>();
        Map<String, Buckets.Entry> remote = new HashMap<>();
        for (Buckets.Entry e : buckets.getEntriesList()) {
            remote.put(e.getKey(), e);
            Kept local = records.getWithTombstones(e.getKey());
            if (local == null || records.hash(e.getKey()) != e.getHash() && order(e, local) >= 0) {
                want.add(e.getKey());
            }
        }
        records.recordsInBuckets(buckets.getIndexesList()).values().forEach(kept -> kept.forEach(local -> {
            Buckets.Entry e = remote.get(local.getKey());
            if (e == null || e.getHash() != records.hash(local.getKey()) && order(e, local) <= 0) {
                peer.dirtyKeys.add(local.getKey());
            }
        }));
        if (!want.isEmpty()) {
            send(peer, PeerFrame.newBuilder().setWant(Want.newBuilder().addAllKeys(want)));
        }
        push(peer);
    }

    private static int order(Buckets.Entry remote, Kept local) {
        return ReplicatedRecords.compare(remote.getStamp(), remote.getInstance(), local);
    }

    private void receiveWant(Peer peer, Collection<String> keys) {
        keys.stream().filter(k -> records.getWithTombstones(k) != null).forEach(peer.dirtyKeys::add);
        push(peer);
    }

    // ---- changes

    private void queueForAll(Collection<String> keys) {
        for (Peer peer : peers.values()) {
            if (peer.up && peer.handshakeDone) {
                peer.dirtyKeys.addAll(keys);
                push(peer);
            }
        }
    }

    private void push(Peer peer) {
        if (!peer.up || !peer.handshakeDone || peer.outstanding != 0) {
            return;
        }
        if (peer.snapshot != null) {
            sendPart(peer);
            return;
        }
        if (peer.receivesSnapshot) {
            return;
        }
        Batch.Builder batch = Batch.newBuilder();
        int bytes = 0;
        for (Iterator<String> keys = peer.dirtyKeys.iterator(); keys.hasNext()
                && batch.getRecordsCount() < MAX_BATCH_RECORDS && bytes < MAX_BATCH_BYTES;) {
            String key = keys.next();
            Kept kept = records.getWithTombstones(key);
            if (kept != null) {
                batch.addRecords(kept);
                bytes += kept.getSerializedSize();
            }
            keys.remove();
        }
        if (batch.getRecordsCount() == 0) {
            return;
        }
        peer.outstanding = ++peer.lastNumber;
        peer.sent += batch.getRecordsCount();
        send(peer, PeerFrame.newBuilder().setBatch(batch.setNumber(peer.outstanding)));
    }

    private void receiveBatch(Peer peer, Batch batch) {
        if (peer.replace || peer.receivesSnapshot) {
            // until it has taken the snapshot, its records may be ones that were removed
            send(peer, PeerFrame.newBuilder().setTaken(Taken.newBuilder().setNumber(batch.getNumber())));
            return;
        }
        if (merge(peer, batch.getRecordsList())) {
            send(peer, PeerFrame.newBuilder().setTaken(Taken.newBuilder().setNumber(batch.getNumber())));
        }
    }

    /** Merges records from a peer; false if one is invalid and the connection was closed for it. */
    private boolean merge(Peer peer, List<Kept> received) {
        List<String> rewrittenKeys = new ArrayList<>();
        for (Kept kept : received) {
            String flaw = ReplicatedRecords.validate(kept);
            if (flaw != null) {
                close(peer, "invalid record: " + flaw);
                return false;
            }
            Kept local = records.getWithTombstones(kept.getKey());
            if (local != null && RecordKeys.isOwnedBy(records.instance(), kept.getKey())
                    && kept.getStamp() >= local.getStamp() && !kept.equals(local)) {
                // this instance wrote it before it lost its disk: its present record is the right one
                Kept.Builder rewritten = local.toBuilder();
                records.merge(kept);
                rewrittenKeys.add(records.write(kept.getKey(), rewritten, local.getWall()).getKey());
                keysToStore.add(kept.getKey());
                continue;
            }
            ReplicatedRecords.MergeResult merged = records.merge(kept);
            if (merged == ReplicatedRecords.MergeResult.REJECTED) {
                close(peer, "record limit of this instance reached");
                return false;
            }
            if (merged == ReplicatedRecords.MergeResult.APPLIED) {
                keysToStore.add(kept.getKey());
                peer.got++;
            }
        }
        if (!rewrittenKeys.isEmpty()) {
            queueForAll(rewrittenKeys);
        }
        return true;
    }

    private void acknowledged(Peer peer, long number) {
        if (number != peer.outstanding || peer.outstanding == 0) {
            close(peer, "acknowledgement of " + number + ", which is not outstanding");
            return;
        }
        peer.outstanding = 0;
        push(peer);
    }

    // ---- snapshots

    private void beginSnapshot(Peer peer, boolean replace) {
        if (peer.snapshot == null) {
            peer.snapshot = List.copyOf(allRecords()).iterator();
            peer.replace = replace;
            push(peer);
        }
    }

    /** All records as of now; cheap, as records are immutable and only references are copied. */
    private List<Kept> allRecords() {
        List<Kept> all = new ArrayList<>(records.size());
        records.recordsAfter("").forEach(all::add);
        return all;
    }

    private void sendPart(Peer peer) {
        List<Kept> part = new ArrayList<>();
        int bytes = 0;
        while (peer.snapshot.hasNext() && bytes < Snapshots.PART_BYTES) {
            Kept kept = peer.snapshot.next();
            part.add(kept);
            bytes += kept.getSerializedSize();
        }
        boolean last = !peer.snapshot.hasNext();
        peer.outstanding = ++peer.lastNumber;
        peer.sent += part.size();
        Part.Builder packed = Snapshots.pack(part).setNumber(peer.outstanding).setLast(last)
                .setReplace(peer.replace).setHorizon(records.horizon());
        if (last) {
            peer.snapshot = null;
        }
        send(peer, PeerFrame.newBuilder().setPart(packed));
    }

    private void receivePart(Peer peer, Part part) {
        List<Kept> received;
        try {
            received = Snapshots.unpack(part);
        } catch (InvalidProtocolBufferException e) {
            close(peer, e.getMessage());
            return;
        }
        if (!peer.receivesSnapshot) {
            close(peer, "snapshot that was not requested");
            return;
        }
        if (part.getReplace() && !needsFullSync) {
            // first part: records that the peer lacks were removed while this instance was away; but not its
            // own ones, which no other instance can remove
            log("replica.replaced", peer, "records", records.size());
            keysToStore.addAll(records.removeExcept(key -> RecordKeys.isOwnedBy(records.instance(), key)));
            needsFullSync = true;
        }
        if (!merge(peer, received)) {
            return;
        }
        send(peer, PeerFrame.newBuilder().setTaken(Taken.newBuilder().setNumber(part.getNumber())));
        if (part.getLast()) {
            peer.receivesSnapshot = false;
            snapshotRequested = false;
            needsFullSync = false;
            keysToStore.addAll(records.purgeTombstones(part.getHorizon()));
            lastSyncedStamp = Math.max(1, records.clock());
            log("replica.caught_up", peer, "records", records.size());
            send(peer, PeerFrame.newBuilder().setHello(hello(peer, true)));
            for (Peer other : peers.values()) {
                if (other.handshakeDone && startsComparison(other) && other.snapshot == null) {
                    compare(other);
                }
                push(other);
            }
        }
    }

    // ---- purging tombstones

    /** Purges tombstones that every configured peer had when its records last equalled the ones here. */
    private void purgeTombstones() {
        if (records.tombstones() <= maxTombstones) {
            return;
        }
        long upTo = Math.min(records.clock(), lastSyncedStamp);
        for (Peer peer : peers.values()) {
            upTo = Math.min(upTo, peer.syncedStamp);
        }
        keysToStore.addAll(records.purgeTombstones(upTo));
    }

    private void send(Peer peer, PeerFrame.Builder frame) {
        effects.add(new ReplicationEffect.SendToPeer(peer.name, frame.build()));
    }

    private void log(String event, Peer peer, Object... fields) {
        Object[] allFields = new Object[fields.length + 2];
        allFields[0] = "peer";
        allFields[1] = peer.name;
        System.arraycopy(fields, 0, allFields, 2, fields.length);
        effects.add(new ReplicationEffect.LogEvent(event, LogFields.of(allFields)));
    }
}
