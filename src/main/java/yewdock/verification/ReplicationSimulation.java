package yewdock.verification;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import yewdock.model.EventCalendar;
import yewdock.replication.ReplicationEffect;
import yewdock.replication.ReplicationEvent;
import yewdock.replication.Replicator;
import yewdock.state.ReplicatedRecords;
import yewdock.wire.Kept;
import yewdock.wire.PeerFrame;
import yewdock.wire.PeerHello;

/**
 * Simulates record replication among instances in virtual time: the real replicators exchange serialized
 * frames over links with delay and bandwidth, which are cut and reopened. The same seed gives the same run.
 * Times are in microseconds.
 */
public final class ReplicationSimulation {
    private static final long DELAY_MICROS = 2_000;
    private static final long REDIAL_MICROS = 500_000;
    private static final int MAX_RECORDS = 200_000;
    /** Bandwidth of one link in each direction. */
    private static final double BYTES_PER_MICRO = 50;

    /** An instance with its records; its replicator is null while it is stopped. */
    public final class SimulatedInstance {
        private final int index;
        private final String name;
        private ReplicatedRecords records;
        private Replicator replicator;
        private long clockOffsetMicros;

        private SimulatedInstance(int number, String name) {
            this.index = number;
            this.name = name;
        }

        /** The records that it holds, also while it is stopped. */
        public ReplicatedRecords records() {
            return records;
        }

        /** Its replicator, or null while it is stopped. */
        public Replicator replicator() {
            return replicator;
        }

        /** Writes a record under this key and replicates it. */
        public void write(String key, Kept.Builder content) {
            records.write(key, content, now() + clockOffsetMicros);
            reduce(this, new ReplicationEvent.RecordsChanged(List.of(key)));
        }

        /** Deletes the record of this key, if it exists, and replicates that. */
        public void delete(String key) {
            if (records.delete(key, now() + clockOffsetMicros) != null) {
                reduce(this, new ReplicationEvent.RecordsChanged(List.of(key)));
            }
        }
    }

    /** An open connection between two instances; unusable once it is cut. */
    private static final class SimulatedLink {
        private boolean cut;
        /** The time at which each sender's direction has transmitted all that was sent, by instance index. */
        private final Map<Integer, Long> idleAt = new HashMap<>();
    }

    private final List<SimulatedInstance> instances = new ArrayList<>();
    /** Open links by the indexes of both ends, the lower one first, such as "0-2". */
    private final Map<String, SimulatedLink> links = new HashMap<>();
    private final EventCalendar calendar = new EventCalendar();
    private final SplittableRandom random;
    private final int maxTombstones;
    /** The names in the configuration of every running instance. */
    private List<String> configuredNames;
    /** Bit i tells the side of instance i; only instances on the same side reach each other. */
    private int partitionBits;
    private long bytesSent;
    private long framesSent;

    /** Starts instances of these names, each keeping at most 10,000 tombstones. */
    public ReplicationSimulation(List<String> names, long seed) {
        this(names, seed, 10_000);
    }

    /** Starts instances of these names, each keeping at most so many tombstones. */
    public ReplicationSimulation(List<String> names, long seed, int mostTombstones) {
        this.configuredNames = List.copyOf(names);
        this.random = new SplittableRandom(seed);
        this.maxTombstones = mostTombstones;
        for (int i = 0; i < names.size(); i++) {
            SimulatedInstance instance = new SimulatedInstance(i, names.get(i));
            instances.add(instance);
            startReplicator(instance, new ReplicatedRecords(instance.name, MAX_RECORDS), 0);
        }
        redial();
    }

    /** The hello frame with which a peer begins a connection. */
    public static PeerFrame hello(String cluster, String from, String to) {
        return PeerFrame.newBuilder().setHello(PeerHello.newBuilder().setVersion(Replicator.VERSION)
                .setLeastReader(Replicator.VERSION).setCluster(cluster).setInstance(from).setTo(to)
                .setJoined(1)).build();
    }

    private void startReplicator(SimulatedInstance instance, ReplicatedRecords records, long syncedUntil) {
        Set<String> peers = new TreeSet<>(configuredNames);
        peers.remove(instance.name);
        instance.records = records;
        instance.replicator = new Replicator("sim", peers, records, syncedUntil, maxTombstones);
        scheduleTick(instance, instance.replicator);
    }

    private void scheduleTick(SimulatedInstance instance, Replicator current) {
        if (instance.replicator == current) {
            reduce(instance, new ReplicationEvent.Tick());
            runAt(Math.max(now() + 1, current.nextTickDue()), () -> scheduleTick(instance, current));
        }
    }

    /** The instance with this index. */
    public SimulatedInstance instance(int i) {
        return instances.get(i);
    }

    /** Total size of the frames sent so far, with their length prefixes. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Number of frames sent so far. */
    public long framesSent() {
        return framesSent;
    }

    /** The current virtual time. */
    public long now() {
        return calendar.nowMicros();
    }

    /** Advances the virtual time. */
    public void run(long micros) {
        calendar.runUntil(calendar.nowMicros() + micros);
    }

    /**
     * Runs until all instances hold the same records; returns how long it took, or -1 if
     * it took longer than allowed.
     */
    public long runUntilConverged(long maxMicros) {
        long startedAt = now();
        while (now() - startedAt <= maxMicros) {
            if (hasConverged()) {
                return now() - startedAt;
            }
            run(10_000);
        }
        return -1;
    }

    /** Partitions the instances whose bit is set from those whose bit is not. */
    public void partition(int newPartitionBits) {
        partitionBits = newPartitionBits;
        links.forEach((pair, link) -> {
            String[] ends = pair.split("-");
            if (!sameSide(Integer.parseInt(ends[0]), Integer.parseInt(ends[1]))) {
                cut(pair, link);
            }
        });
        links.values().removeIf(p -> p.cut);
    }

    /** Ends the partition. */
    public void heal() {
        partitionBits = 0;
    }

    private boolean sameSide(int a, int b) {
        return (partitionBits >> a & 1) == (partitionBits >> b & 1);
    }

    private void cut(String pair, SimulatedLink link) {
        link.cut = true;
        for (String end : pair.split("-")) {
            SimulatedInstance instance = instances.get(Integer.parseInt(end));
            for (String other : pair.split("-")) {
                if (!other.equals(end)) {
                    reduce(instance, new ReplicationEvent.PeerDisconnected(
                            instances.get(Integer.parseInt(other)).name, "cut"));
                }
            }
        }
    }

    /** Sets the offset of an instance's clock. */
    public void setClockOffset(int i, long micros) {
        instances.get(i).clockOffsetMicros = micros;
    }

    /** Restarts an instance with no records. */
    public void restartEmpty(int i) {
        stop(i);
        startReplicator(instances.get(i), new ReplicatedRecords(instances.get(i).name, MAX_RECORDS), 0);
    }

    /** Stops an instance and cuts its links. */
    public void stop(int i) {
        links.forEach((pair, link) -> {
            if (List.of(pair.split("-")).contains(Integer.toString(i))) {
                cut(pair, link);
            }
        });
        links.values().removeIf(p -> p.cut);
        instances.get(i).replicator = null;
    }

    /** The stored records of an instance, as an encoded Records message. */
    public byte[] storedRecords(int i) {
        yewdock.wire.Records.Builder all = yewdock.wire.Records.newBuilder();
        instances.get(i).records.recordsAfter("").forEach(all::addRecords);
        return all.build().toByteArray();
    }

    /** Starts an instance on the records that {@link #storedRecords} returned. */
    public void start(int i, byte[] disk) {
        ReplicatedRecords records = new ReplicatedRecords(instances.get(i).name, MAX_RECORDS);
        try {
            yewdock.wire.Records.parseFrom(disk).getRecordsList().forEach(records::merge);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
        startReplicator(instances.get(i), records, records.clock());
    }

    /** Restarts every running instance with a configuration that names these instances. */
    public void restartWithNames(List<String> newNames) {
        configuredNames = List.copyOf(newNames);
        for (SimulatedInstance instance : instances) {
            if (instance.replicator != null) {
                long syncedUntil = instance.replicator.lastSyncedStamp();
                stop(instance.index);
                startReplicator(instance, instance.records, syncedUntil);
            }
        }
    }

    /** Whether all running instances hold the same records. */
    public boolean hasConverged() {
        return instances.stream().filter(n -> n.replicator != null).map(n ->
                n.records.bucketSums()).distinct()
                .count() == 1;
    }

    /** A summary of what each instance holds, for the message of a failed test. */
    public String differences() {
        StringBuilder all = new StringBuilder();
        instances.forEach(n -> all.append(n.name).append(": ").append(n.records.size()).append(" records, ")
                .append(n.records.tombstones()).append(" tombstones, horizon ").append(n.records.horizon())
                .append(n.replicator == null ? "" : " " + n.replicator.peerStatuses()).append('\n'));
        return all.toString();
    }

    // ---- the network

    private void runAt(long time, Runnable task) {
        calendar.scheduleAt(time, task);
    }

    private void redial() {
        for (int a = 0; a < instances.size(); a++) {
            for (int b = a + 1; b < instances.size(); b++) {
                if (instances.get(a).replicator != null && instances.get(b).replicator != null
                        && sameSide(a, b)
                        && configuredNames.contains(instances.get(a).name)
                                && configuredNames.contains(instances.get(b).name)
                        && !links.containsKey(a + "-" + b)) {
                    links.put(a + "-" + b, new SimulatedLink());
                    reduce(instances.get(a), new ReplicationEvent.PeerConnected(instances.get(b).name));
                    reduce(instances.get(b), new ReplicationEvent.PeerConnected(instances.get(a).name));
                }
            }
        }
        runAt(now() + REDIAL_MICROS / 2 + random.nextLong(REDIAL_MICROS), this::redial);
    }

    private void reduce(SimulatedInstance instance, ReplicationEvent event) {
        if (instance.replicator == null) {
            return;
        }
        for (ReplicationEffect effect : instance.replicator.reduce(event, now())) {
            if (effect instanceof ReplicationEffect.SendToPeer e) {
                send(instance, e.peer(), e.frame());
            } else if (effect instanceof ReplicationEffect.ClosePeer e) {
                int other = indexOf(e.peer());
                String pair = Math.min(instance.index, other) + "-" + Math.max(instance.index, other);
                SimulatedLink link = links.remove(pair);
                if (link != null) {
                    link.cut = true;
                    runAt(now() + DELAY_MICROS, () -> reduce(instances.get(other),
                            new ReplicationEvent.PeerDisconnected(instance.name,
                            "closed: " + e.why())));
                }
            }
        }
    }

    private int indexOf(String name) {
        return instances.stream().filter(n -> n.name.equals(name)).findFirst().orElseThrow().index;
    }

    private void send(SimulatedInstance from, String to, PeerFrame frame) {
        int other = indexOf(to);
        SimulatedLink link = links.get(Math.min(from.index, other) + "-" + Math.max(from.index, other));
        if (link == null || link.cut) {
            return;
        }
        byte[] encodedFrame = frame.toByteArray();
        bytesSent += encodedFrame.length + Integer.BYTES;
        framesSent++;
        long transmittedAt = Math.max(now(), link.idleAt.getOrDefault(from.index, 0L))
                + (long) (encodedFrame.length / BYTES_PER_MICRO);
        link.idleAt.put(from.index, transmittedAt);
        runAt(transmittedAt + DELAY_MICROS / 2 + random.nextLong(DELAY_MICROS) / 8, () -> {
            if (!link.cut) {
                try {
                    reduce(instances.get(other), new ReplicationEvent.PeerFrameReceived(from.name,
                            PeerFrame.parseFrom(encodedFrame)));
                } catch (InvalidProtocolBufferException e) {
                    throw new IllegalStateException(e);
                }
            }
        });
    }
}
