package yewdock.verification;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import yewdock.model.Calendar;
import yewdock.replication.ReplicationEffect;
import yewdock.replication.ReplicationEvent;
import yewdock.replication.Replicator;
import yewdock.state.ReplicatedRecords;
import yewdock.wire.Kept;
import yewdock.wire.PeerFrame;
import yewdock.wire.PeerHello;

/**
 * Instances that copy each other's records, in virtual time: the real reducers, their frames as bytes over
 * connections with a delay, which are cut and made anew. One seed gives one run. Times are microseconds.
 */
public final class CopiesSim {
    private static final long DELAY = 2_000;
    private static final long REDIAL = 500_000;
    private static final int MOST = 200_000;
    /** So fast do bytes pass over one connection. */
    private static final double BYTES_A_MICRO = 50;

    /** An instance. */
    public final class Node {
        private final int number;
        private final String name;
        private ReplicatedRecords records;
        private Replicator replica;
        private long wallOff;

        private Node(int number, String name) {
            this.number = number;
            this.name = name;
        }

        public ReplicatedRecords records() {
            return records;
        }

        public Replicator replica() {
            return replica;
        }

        /** Writes a record. */
        public void write(String key, Kept.Builder content) {
            records.write(key, content, now() + wallOff);
            reduce(this, new ReplicationEvent.RecordsChanged(List.of(key)));
        }

        /** Removes one, if it is there. */
        public void drop(String key) {
            if (records.delete(key, now() + wallOff) != null) {
                reduce(this, new ReplicationEvent.RecordsChanged(List.of(key)));
            }
        }
    }

    /** A connection between two, one of whose ends is a and the other b; dead once it is cut. */
    private static final class Pipe {
        private boolean cut;
        private final Map<Integer, Long> freeAt = new HashMap<>();
    }

    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Pipe> pipes = new HashMap<>();
    private final Calendar calendar = new Calendar();
    private final SplittableRandom random;
    private final int mostTombstones;
    private List<String> names;
    private int side;
    private long bytes;
    private long frames;

    public CopiesSim(List<String> names, long seed) {
        this(names, seed, 10_000);
    }

    public CopiesSim(List<String> names, long seed, int mostTombstones) {
        this.names = List.copyOf(names);
        this.random = new SplittableRandom(seed);
        this.mostTombstones = mostTombstones;
        for (int i = 0; i < names.size(); i++) {
            Node node = new Node(i, names.get(i));
            nodes.add(node);
            begin(node, new ReplicatedRecords(node.name, MOST), 0);
        }
        redial();
    }

    /** A peer's first frame. */
    public static PeerFrame hello(String cluster, String from, String to) {
        return PeerFrame.newBuilder().setHello(PeerHello.newBuilder().setVersion(Replicator.VERSION)
                .setLeastReader(Replicator.VERSION).setCluster(cluster).setInstance(from).setTo(to)
                .setJoined(1)).build();
    }

    private void begin(Node node, ReplicatedRecords records, long joined) {
        Set<String> peers = new TreeSet<>(names);
        peers.remove(node.name);
        node.records = records;
        node.replica = new Replicator("sim", peers, records, joined, mostTombstones);
        tick(node, node.replica);
    }

    private void tick(Node node, Replicator life) {
        if (node.replica == life) {
            reduce(node, new ReplicationEvent.Tick());
            at(Math.max(now() + 1, life.nextTickDue()), () -> tick(node, life));
        }
    }

    public Node node(int i) {
        return nodes.get(i);
    }

    public long bytes() {
        return bytes;
    }

    public long frames() {
        return frames;
    }

    public long now() {
        return calendar.now();
    }

    /** Lets so much time pass. */
    public void run(long micros) {
        calendar.runTo(calendar.now() + micros);
    }

    /** Runs until all agree, so long at most; returns how long it took, or -1. */
    public long untilAgreed(long most) {
        long began = now();
        while (now() - began <= most) {
            if (agree()) {
                return now() - began;
            }
            run(10_000);
        }
        return -1;
    }

    /** Cuts those whose bit is set off from those whose bit is not. */
    public void split(int bits) {
        side = bits;
        pipes.forEach((pair, pipe) -> {
            String[] ends = pair.split("-");
            if (!joined(Integer.parseInt(ends[0]), Integer.parseInt(ends[1]))) {
                cut(pair, pipe);
            }
        });
        pipes.values().removeIf(p -> p.cut);
    }

    /** All can reach all again. */
    public void join() {
        side = 0;
    }

    private boolean joined(int a, int b) {
        return (side >> a & 1) == (side >> b & 1);
    }

    private void cut(String pair, Pipe pipe) {
        pipe.cut = true;
        for (String end : pair.split("-")) {
            Node node = nodes.get(Integer.parseInt(end));
            for (String other : pair.split("-")) {
                if (!other.equals(end)) {
                    reduce(node, new ReplicationEvent.PeerDisconnected(
                            nodes.get(Integer.parseInt(other)).name, "cut"));
                }
            }
        }
    }

    /** An instance's clock is off by so much. */
    public void wallOff(int i, long micros) {
        nodes.get(i).wallOff = micros;
    }

    /** An instance is started anew with an empty disk. */
    public void wipe(int i) {
        stop(i);
        begin(nodes.get(i), new ReplicatedRecords(nodes.get(i).name, MOST), 0);
    }

    /** An instance is stopped. */
    public void stop(int i) {
        pipes.forEach((pair, pipe) -> {
            if (List.of(pair.split("-")).contains(Integer.toString(i))) {
                cut(pair, pipe);
            }
        });
        pipes.values().removeIf(p -> p.cut);
        nodes.get(i).replica = null;
    }

    /** What an instance has on its disk. */
    public byte[] disk(int i) {
        yewdock.wire.Records.Builder all = yewdock.wire.Records.newBuilder();
        nodes.get(i).records.recordsAfter("").forEach(all::addRecords);
        return all.build().toByteArray();
    }

    /** An instance is started with what was on its disk. */
    public void start(int i, byte[] disk) {
        ReplicatedRecords records = new ReplicatedRecords(nodes.get(i).name, MOST);
        try {
            yewdock.wire.Records.parseFrom(disk).getRecordsList().forEach(records::merge);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
        begin(nodes.get(i), records, records.clock());
    }

    /** The file of every instance that runs names these from now on, as after a restart of each. */
    public void rename(List<String> now) {
        names = List.copyOf(now);
        for (Node node : nodes) {
            if (node.replica != null) {
                long joined = node.replica.lastSyncedStamp();
                stop(node.number);
                begin(node, node.records, joined);
            }
        }
    }

    /** Whether all that run hold the same. */
    public boolean agree() {
        return nodes.stream().filter(n -> n.replica != null).map(n -> n.records.bucketSums()).distinct()
                .count() == 1;
    }

    /** What they hold differently, for a failed test. */
    public String differences() {
        StringBuilder all = new StringBuilder();
        nodes.forEach(n -> all.append(n.name).append(": ").append(n.records.size()).append(" records, ")
                .append(n.records.tombstones()).append(" tombstones, horizon ").append(n.records.horizon())
                .append(n.replica == null ? "" : " " + n.replica.peerStatuses()).append('\n'));
        return all.toString();
    }

    // ---- the network

    private void at(long time, Runnable task) {
        calendar.at(time, task);
    }

    private void redial() {
        for (int a = 0; a < nodes.size(); a++) {
            for (int b = a + 1; b < nodes.size(); b++) {
                if (nodes.get(a).replica != null && nodes.get(b).replica != null && joined(a, b)
                        && names.contains(nodes.get(a).name) && names.contains(nodes.get(b).name)
                        && !pipes.containsKey(a + "-" + b)) {
                    pipes.put(a + "-" + b, new Pipe());
                    reduce(nodes.get(a), new ReplicationEvent.PeerConnected(nodes.get(b).name));
                    reduce(nodes.get(b), new ReplicationEvent.PeerConnected(nodes.get(a).name));
                }
            }
        }
        at(now() + REDIAL / 2 + random.nextLong(REDIAL), this::redial);
    }

    private void reduce(Node node, ReplicationEvent event) {
        if (node.replica == null) {
            return;
        }
        for (ReplicationEffect effect : node.replica.reduce(event, now())) {
            if (effect instanceof ReplicationEffect.SendToPeer e) {
                send(node, e.peer(), e.frame());
            } else if (effect instanceof ReplicationEffect.ClosePeer e) {
                int other = numberOf(e.peer());
                String pair = Math.min(node.number, other) + "-" + Math.max(node.number, other);
                Pipe pipe = pipes.remove(pair);
                if (pipe != null) {
                    pipe.cut = true;
                    at(now() + DELAY, () -> reduce(nodes.get(other),
                            new ReplicationEvent.PeerDisconnected(node.name,
                            "closed: " + e.why())));
                }
            }
        }
    }

    private int numberOf(String name) {
        return nodes.stream().filter(n -> n.name.equals(name)).findFirst().orElseThrow().number;
    }

    private void send(Node from, String to, PeerFrame frame) {
        int other = numberOf(to);
        Pipe pipe = pipes.get(Math.min(from.number, other) + "-" + Math.max(from.number, other));
        if (pipe == null || pipe.cut) {
            return;
        }
        byte[] sent = frame.toByteArray();
        bytes += sent.length + Integer.BYTES;
        frames++;
        long free = Math.max(now(), pipe.freeAt.getOrDefault(from.number, 0L))
                + (long) (sent.length / BYTES_A_MICRO);
        pipe.freeAt.put(from.number, free);
        at(free + DELAY / 2 + random.nextLong(DELAY) / 8, () -> {
            if (!pipe.cut) {
                try {
                    reduce(nodes.get(other), new ReplicationEvent.PeerFrameReceived(from.name,
                            PeerFrame.parseFrom(sent)));
                } catch (InvalidProtocolBufferException e) {
                    throw new IllegalStateException(e);
                }
            }
        });
    }
}
