package yewdock.daemon;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import yewdock.logging.EventLog;
import yewdock.replication.ReplicationEffect;
import yewdock.replication.ReplicationEvent;
import yewdock.replication.Replicator;
import yewdock.settings.OperatorSettings;
import yewdock.sockets.MonotonicClock;
import yewdock.state.RecordKeys;
import yewdock.state.ReplicatedRecords;
import yewdock.state.StateRecorder;
import yewdock.store.Committer;
import yewdock.store.KeyValueStore;
import yewdock.store.RecordFile;
import yewdock.store.StoreException;
import yewdock.wire.Answer;
import yewdock.wire.Boxes;
import yewdock.wire.Frame;
import yewdock.wire.Keep;
import yewdock.wire.Kept;
import yewdock.wire.Mark;
import yewdock.wire.Marks;
import yewdock.wire.PeerFrame;
import yewdock.wire.State;

/**
 * What a daemon keeps: its records in memory, their store on the disk, the copies at other instances. It
 * belongs to the keeper, which no upgrade replaces: so there is one writer, whatever generation serves.
 * Everything here is done under one lock, and nothing under it waits for a disk or a peer.
 */
final class StateService implements Closeable, PeerConnections.PeerHandler {
    private static final String JOINED = "joined";
    private static final String HORIZON = "horizon";
    private static final long TICK_MILLIS = 100;
    private static final long DURABLE_MILLIS = 5_000;
    private static final double MICROS = 1e6;

    private final OperatorSettings.StoreSettings settings;
    private final MonotonicClock clock = new MonotonicClock();
    private final ReplicatedRecords records;
    private final StateRecorder keeping;
    private final Replicator replica;
    private final Committer committer;
    private final Consumer<Frame> toAll;
    private Set<String> agreedOut = Set.of();
    private final Map<String, Long> metaKept = new HashMap<>();
    private PeerConnections peers;
    /** Null where nothing is agreed. */
    private ConsensusService agreement;

    /**
     * Opens the store, which another process must not have open, and begins to copy. What goes to all
     * generations goes to toAll.
     */
    StateService(OperatorSettings all, Consumer<Frame> toAll) throws IOException {
        this.settings = all.store();
        this.toAll = toAll;
        String instance = all.replication().instance();
        records = new ReplicatedRecords(instance, settings.maxRecords());
        KeyValueStore.StoreOpener opening = () -> open(settings.folder());
        Committer.CommitTiming pace = new Committer.CommitTiming(settings.batchMicros() / 1000,
                settings.reopenMicros() / 1000);
        Committer made;
        try {
            long began = System.nanoTime();
            KeyValueStore shelf = opening.open();
            load(shelf);
            EventLog.info("store.opened", "folder", settings.folder(), "records", records.size(), "ms",
                    (System.nanoTime() - began) / 1_000_000);
            made = new Committer(shelf, opening, pace, this::health);
        } catch (StoreException e) {
            if (e.kind() == StoreException.Kind.LOCKED) {
                throw new IOException(e.getMessage(), e);
            }
            EventLog.warn("store.unusable", "kind", e.kind(), "why", e.getMessage(), "now",
                    "serving on from memory");
            made = new Committer(e, opening, pace, this::health);
        }
        committer = made;
        keeping = new StateRecorder(records, settings.unconfirmedDrainMicros());
        replica = new Replicator(all.replication().cluster(), all.replication().peers().keySet(), records,
                metaKept.getOrDefault(JOINED, 0L), all.replication().maxTombstones());
        if (!all.replication().peers().isEmpty()) {
            if (all.consensus().enabled()) {
                agreement = new ConsensusService(all, this::agreed);
            }
            peers = new PeerConnections(all.replication(), this);
            if (agreement != null) {
                agreement.begin(peers);
            }
            Thread ticks = new Thread(this::tick, "copies");
            ticks.setDaemon(true);
            ticks.start();
        }
    }

    /** A damaged store is put out of the way, whole; what it held comes back from memory or from peers. */
    private static KeyValueStore open(Path folder) throws StoreException {
        try {
            RecordFile store = RecordFile.open(folder);
            if (store.missingCommits() > 0) {
                EventLog.warn("store.rolled_back", "missing", store.missingCommits(), "now", "as of commit "
                        + store.lastCommitNumber());
            }
            return store;
        } catch (StoreException e) {
            if (e.kind() != StoreException.Kind.DAMAGED) {
                throw e;
            }
            try {
                EventLog.warn("store.damaged", "why", e.getMessage(), "kept_as",
                        RecordFile.moveAside(folder));
            } catch (IOException moved) {
                throw e;
            }
            return RecordFile.open(folder);
        }
    }

    private void load(KeyValueStore shelf) {
        Map<String, byte[]> all = shelf.all();
        all.forEach((key, bytes) -> {
            if (!key.startsWith(RecordKeys.STORE_PREFIX)) {
                metaKept.put(key, ByteBuffer.wrap(bytes).getLong());
            }
        });
        // before the records: the tombstones up to there are not missed
        records.purgeTombstones(metaKept.getOrDefault(HORIZON, 0L));
        all.forEach((key, bytes) -> {
            if (key.startsWith(RecordKeys.STORE_PREFIX)) {
                try {
                    records.merge(ReplicatedRecords.parse(bytes));
                } catch (InvalidProtocolBufferException e) {
                    EventLog.warn("record.unreadable", "key", key, "why", e.getMessage());
                }
            }
        });
    }

    private void health(Committer.StoreHealth health) {
        if (health.open()) {
            EventLog.info("store.recovered", "commits", health.commits());
        } else {
            EventLog.warn("store.failed", "kind", health.kind(), "why", health.why(), "now",
                    "serving on from memory");
        }
    }

    private long wall() {
        return clock.getAsLong();
    }

    // ---- what is told

    /** A generation tells something; what is to be kept of it is. */
    synchronized void heard(Frame frame) {
        if (frame.hasNews() && frame.getNews().hasBoxes()) {
            told(frame.getNews().getBoxes());
        } else if (frame.hasKeep()) {
            Keep keep = frame.getKeep();
            keep(keeping.recordModuleMemory(keep.getModule(), wall() - keep.getClock(), wall()));
        }
    }

    private void told(Boxes news) {
        Kept head = records.get(RecordKeys.endpointList(records.instance()));
        boolean older = head != null && head.getList().getAddress().equals(news.getAddress())
                && news.getVersion() < head.getList().getVersion();
        if (older && !news.getFull()) {
            // of a generation that finishes, and hears of the list later than the one that serves
            return;
        }
        keep(keeping.recordEndpointList(news, 0, wall()));
        if (agreement != null) {
            agreement.actsOn(news.getAddress(), news.getVersion());
        }
        List<Kept> outlived = keeping.dropOutdatedOverrides(wall());
        if (!outlived.isEmpty()) {
            keep(outlived);
            tellMarks();
        }
    }

    /** The configuration that is in force. */
    synchronized void applied(String text) {
        Kept kept = keeping.recordSettings(text, wall());
        if (kept != null) {
            keep(List.of(kept));
        }
    }

    private long keep(List<Kept> changed) {
        if (changed.isEmpty()) {
            return store(List.of());
        }
        List<String> keys = changed.stream().map(Kept::getKey).toList();
        long ticket = store(keys);
        reduce(new ReplicationEvent.RecordsChanged(keys));
        return ticket;
    }

    private long store(List<String> keys) {
        Map<String, byte[]> changes = new HashMap<>();
        for (String key : keys) {
            Kept kept = records.getWithTombstones(key);
            changes.put(RecordKeys.STORE_PREFIX + key, kept == null ? null : ReplicatedRecords.bytes(kept));
        }
        meta(JOINED, replica.lastSyncedStamp(), changes);
        meta(HORIZON, records.horizon(), changes);
        return committer.put(changes);
    }

    private void meta(String key, long value, Map<String, byte[]> changes) {
        if (metaKept.getOrDefault(key, 0L) != value) {
            metaKept.put(key, value);
            changes.put(key, ByteBuffer.allocate(Long.BYTES).putLong(value).array());
        }
    }

    // ---- what a generation begins with

    /** What a generation goes on with when none before it can tell; null if nothing is kept. */
    synchronized State state() {
        State state = keeping.restartState(StateCodec.VERSION, StateCodec.LEAST_READER, wall(),
                System.nanoTime());
        return state == null ? null : state.toBuilder().setAfterRestart(true).build();
    }

    /** Calls with the marks that hold; none that come later are sent before it returns. */
    synchronized void withMarks(Consumer<Frame> then) {
        then.accept(marks());
    }

    /** Those of operators here, and over them what is agreed. */
    private Frame marks() {
        Map<String, Mark> all = new HashMap<>(keeping.overrides());
        agreedOut.forEach(box -> all.put(box, Mark.newBuilder().setKind(Mark.Kind.DRAIN).setBy("agreement")
                .build()));
        return Frame.newBuilder().setMarks(Marks.newBuilder().putAllByBox(all)).build();
    }

    /** The boxes that get nothing new by agreement; all generations are told before this returns. */
    private synchronized void agreed(Set<String> out) {
        agreedOut = out;
        tellMarks();
    }

    /** A generation has said something that may concern the agreement. */
    void agreement(int generation, ControlConnection link, Frame frame) {
        if (agreement != null) {
            agreement.heard(generation, link, frame);
        }
    }

    /** A generation is no more. */
    void gone(int generation) {
        if (agreement != null) {
            agreement.gone(generation);
        }
    }

    private void tellMarks() {
        toAll.accept(marks());
    }

    // ---- operators

    /** An operator's command; false if it is none of this class's. Answers may come later. */
    boolean asked(String command, List<String> words, Consumer<Answer> answer) {
        Mark.Kind kind = switch (command) {
            case "drain" -> Mark.Kind.DRAIN;
            case "undrain" -> Mark.Kind.NONE;
            case "mark-gone" -> Mark.Kind.GONE;
            default -> null;
        };
        if (agreement != null && agreement.asked(command, words, this::isKnown, answer)) {
            return true;
        }
        if (kind == null) {
            return false;
        }
        boolean here = agreement != null && words.size() == 2 && words.get(1).equals(ConsensusService.HERE);
        if (words.size() != 1 && !here) {
            answer.accept(last("one box is to be named" + (agreement == null
                    ? ", and nothing else: nothing is agreed here" : ""), 1));
            return true;
        }
        mark(words.get(0), kind, answer);
        return true;
    }

    private synchronized boolean isKnown(String box) {
        return !keeping.knownServers(box).isEmpty();
    }

    private synchronized void mark(String box, Mark.Kind kind, Consumer<Answer> answer) {
        Mark before = keeping.overrides().get(box);
        if (kind == Mark.Kind.NONE && before == null) {
            answer.accept(last(box + " has no mark", 1));
            return;
        }
        if (kind != Mark.Kind.NONE && !isKnown(box)) {
            answer.accept(last("no box of the name " + box + " is known", 1));
            return;
        }
        long ticket = keep(List.of(keeping.recordOverride(box, kind, records.instance(), wall())));
        tellMarks();
        String what = switch (kind) {
            case DRAIN -> "drains";
            case GONE -> "is gone";
            default -> "has no mark any more";
        };
        EventLog.info("box.marked", "box", box, "mark", kind);
        committer.durable(ticket).orTimeout(DURABLE_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((done, failed) -> answer.accept(failed == null ? last(box + " " + what, 0)
                        : last(box + " " + what + ", but this is not on the disk: "
                                + committer.health().why(), 1)));
    }

    private static Answer last(String line, int exit) {
        return Answer.newBuilder().setLine(line).setLast(true).setExit(exit).build();
    }

    /** Lines for an operator: what is kept here, how old, from whom, and how the copies stand. */
    synchronized List<String> status() {
        List<String> lines = new ArrayList<>(agreement == null ? List.of() : agreement.status());
        Committer.StoreHealth health = committer.health();
        lines.add("store: " + (health.open() ? "open" : "failed (" + health.kind() + "): " + health.why())
                + "; records " + (records.size() - records.tombstones()) + ", removed "
                + records.tombstones() + ", bytes " + records.bytes() + "; commits " + health.commits()
                + ", failures " + health.failures() + ", waiting " + health.waiting());
        Kept head = records.get(RecordKeys.endpointList(records.instance()));
        if (head != null) {
            lines.add("list: version " + head.getList().getVersion() + " of " + head.getList().getAddress()
                    + ", told " + ago(head.getWall()));
        }
        keeping.overrides().forEach((box, mark) -> {
            Kept kept = records.getWithTombstones(RecordKeys.override(box));
            lines.add("mark: " + box + " " + mark.getKind().name().toLowerCase(Locale.ROOT) + ", by "
                    + mark.getBy() + " " + ago(kept.getWall()));
        });
        for (String instance : instances()) {
            lines.add("boxes told to " + instance + ": "
                    + records.withPrefix(RecordKeys.serversPrefix(instance)).size());
        }
        for (Replicator.PeerStatus s : replica.peerStatuses()) {
            lines.add("peer " + s.peer() + ": " + (s.up() ? "up" : "down (" + s.trouble() + ")")
                    + ", equal " + (s.equalAt() == 0 ? "never" : ago(s.equalAt())) + ", waiting "
                    + s.waiting() + ", sent " + s.sent() + ", got " + s.got());
        }
        return lines;
    }

    private TreeSet<String> instances() {
        TreeSet<String> found = new TreeSet<>();
        records.withPrefix(RecordKeys.allServersPrefix()).forEach(k -> found.add(k.getKey().split("/")[1]));
        return found;
    }

    private String ago(long wall) {
        return String.format(Locale.ROOT, "%.1f s ago", Math.max(0, wall() - wall) / MICROS);
    }

    // ---- copies

    @Override
    public synchronized void up(String peer) {
        reduce(new ReplicationEvent.PeerConnected(peer));
    }

    @Override
    public void heard(String peer, PeerFrame frame) {
        if (!frame.hasCouncil()) {
            copied(peer, frame);
        } else if (agreement != null) {
            agreement.heard(peer, frame.getCouncil());
        }
    }

    private synchronized void copied(String peer, PeerFrame frame) {
        reduce(new ReplicationEvent.PeerFrameReceived(peer, frame));
    }

    @Override
    public synchronized void down(String peer, String why) {
        reduce(new ReplicationEvent.PeerDisconnected(peer, why));
    }

    private void tick() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
                synchronized (this) {
                    if (wall() >= replica.nextTickDue()) {
                        reduce(new ReplicationEvent.Tick());
                        store(List.of());
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reduce(ReplicationEvent event) {
        for (ReplicationEffect effect : replica.reduce(event, wall())) {
            if (effect instanceof ReplicationEffect.SendToPeer e) {
                peers.send(e.peer(), e.frame());
            } else if (effect instanceof ReplicationEffect.ClosePeer e) {
                peers.close(e.peer());
            } else if (effect instanceof ReplicationEffect.StoreRecords e) {
                store(e.keys());
                if (e.keys().stream().anyMatch(k -> k.startsWith(RecordKeys.overridesPrefix()))) {
                    tellMarks();
                }
            } else if (effect instanceof ReplicationEffect.LogEvent e) {
                EventLog.info(e.event(), e.fields());
            }
        }
    }

    /** Writes what waits and closes all. */
    @Override
    public void close() {
        if (agreement != null) {
            agreement.close();
        }
        if (peers != null) {
            peers.close();
        }
        committer.close();
    }
}
