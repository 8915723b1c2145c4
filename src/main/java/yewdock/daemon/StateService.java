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
 * Holds the daemon's persistent state: its records in memory, their store on disk, and their replicas at
 * other instances. It lives in the supervisor, which upgrades don't replace, so there is a single writer
 * whichever generation serves. All methods run under one lock and never wait for a disk or a peer under it.
 */
final class StateService implements Closeable, PeerConnections.PeerHandler {
    private static final String JOINED_KEY = "joined";
    private static final String HORIZON_KEY = "horizon";
    private static final long TICK_MILLIS = 100;
    private static final long DURABLE_TIMEOUT_MILLIS = 5_000;
    private static final double MICROS_PER_SECOND = 1e6;

    private final OperatorSettings.StoreSettings settings;
    private final MonotonicClock clock = new MonotonicClock();
    private final ReplicatedRecords records;
    private final StateRecorder stateRecorder;
    private final Replicator replica;
    private final Committer committer;
    private final Consumer<Frame> broadcast;
    private Set<String> drainedByConsensus = Set.of();
    private final Map<String, Long> storedMetadata = new HashMap<>();
    private PeerConnections peerConnections;
    /** Null if consensus is not configured. */
    private ConsensusService consensus;

    /**
     * Opens the store, which no other process may have open, and starts replication. Broadcast takes frames
     * for all generations.
     */
    StateService(OperatorSettings all, Consumer<Frame> broadcast) throws IOException {
        this.settings = all.store();
        this.broadcast = broadcast;
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
                    "continuing from memory");
            made = new Committer(e, opening, pace, this::health);
        }
        committer = made;
        stateRecorder = new StateRecorder(records, settings.unconfirmedDrainMicros());
        replica = new Replicator(all.replication().cluster(), all.replication().peers().keySet(), records,
                storedMetadata.getOrDefault(JOINED_KEY, 0L), all.replication().maxTombstones());
        if (!all.replication().peers().isEmpty()) {
            if (all.consensus().enabled()) {
                consensus = new ConsensusService(all, this::setDrainedByConsensus);
            }
            peerConnections = new PeerConnections(all.replication(), this);
            if (consensus != null) {
                consensus.start(peerConnections);
            }
            Thread timer = new Thread(this::runTimer, "copies");
            timer.setDaemon(true);
            timer.start();
        }
    }

    /** Opens the store; a damaged one is moved aside whole, and its records return from memory or peers. */
    private static KeyValueStore open(Path folder) throws StoreException {
        try {
            RecordFile store = RecordFile.open(folder);
            if (store.missingCommits() > 0) {
                EventLog.warn("store.rolled_back", "missing", store.missingCommits(), "now",
                        "state of commit "
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
                storedMetadata.put(key, ByteBuffer.wrap(bytes).getLong());
            }
        });
        // set before the records are merged: tombstones up to the horizon are no longer needed
        records.purgeTombstones(storedMetadata.getOrDefault(HORIZON_KEY, 0L));
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
                    "continuing from memory");
        }
    }

    private long wallMicros() {
        return clock.getAsLong();
    }

    // ---- input from generations

    /** Stores what a generation reports: endpoint lists and the module's learned state. */
    synchronized void frameReceived(Frame frame) {
        if (frame.hasNews() && frame.getNews().hasBoxes()) {
            endpointListReported(frame.getNews().getBoxes());
        } else if (frame.hasKeep()) {
            Keep keep = frame.getKeep();
            storeAndReplicate(stateRecorder.recordModuleMemory(keep.getModule(),
                    wallMicros() - keep.getClock(), wallMicros()));
        }
    }

    private void endpointListReported(Boxes reported) {
        Kept stored = records.get(RecordKeys.endpointList(records.instance()));
        boolean older = stored != null && stored.getList().getAddress().equals(reported.getAddress())
                && reported.getVersion() < stored.getList().getVersion();
        if (older && !reported.getFull()) {
            // from a finishing generation, which receives the list later than the serving one
            return;
        }
        storeAndReplicate(stateRecorder.recordEndpointList(reported, 0, wallMicros()));
        if (consensus != null) {
            consensus.applyingListVersion(reported.getAddress(), reported.getVersion());
        }
        List<Kept> expired = stateRecorder.dropOutdatedOverrides(wallMicros());
        if (!expired.isEmpty()) {
            storeAndReplicate(expired);
            sendOverrides();
        }
    }

    /** Records the configuration text that is in force. */
    synchronized void configurationApplied(String text) {
        Kept kept = stateRecorder.recordSettings(text, wallMicros());
        if (kept != null) {
            storeAndReplicate(List.of(kept));
        }
    }

    private long storeAndReplicate(List<Kept> changed) {
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
        putMetadata(JOINED_KEY, replica.lastSyncedStamp(), changes);
        putMetadata(HORIZON_KEY, records.horizon(), changes);
        return committer.put(changes);
    }

    private void putMetadata(String key, long value, Map<String, byte[]> changes) {
        if (storedMetadata.getOrDefault(key, 0L) != value) {
            storedMetadata.put(key, value);
            changes.put(key, ByteBuffer.allocate(Long.BYTES).putLong(value).array());
        }
    }

    // ---- initial state of a generation

    /** The state for a generation that has no predecessor to take it from; null if nothing is stored. */
    synchronized State initialState() {
        State state = stateRecorder.restartState(StateCodec.VERSION, StateCodec.MIN_READER_VERSION,
                wallMicros(), System.nanoTime());
        return state == null ? null : state.toBuilder().setAfterRestart(true).build();
    }

    /** Passes the current operator overrides on; later ones are not sent before it returns. */
    synchronized void withOverrides(Consumer<Frame> then) {
        then.accept(overridesFrame());
    }

    /** The local operator overrides, with those decided by consensus taking precedence. */
    private Frame overridesFrame() {
        Map<String, Mark> all = new HashMap<>(stateRecorder.overrides());
        drainedByConsensus.forEach(server -> all.put(server,
                Mark.newBuilder().setKind(Mark.Kind.DRAIN).setBy("agreement").build()));
        return Frame.newBuilder().setMarks(Marks.newBuilder().putAllByBox(all)).build();
    }

    /** Sets the servers drained by consensus; all generations are sent the overrides before this returns. */
    private synchronized void setDrainedByConsensus(Set<String> servers) {
        drainedByConsensus = servers;
        sendOverrides();
    }

    /** Passes a frame from a generation to consensus, if that is configured. */
    void consensus(int generation, ControlConnection connection, Frame frame) {
        if (consensus != null) {
            consensus.handleFrame(generation, connection, frame);
        }
    }

    /** Tells consensus that a generation's connection is closed. */
    void generationGone(int generation) {
        if (consensus != null) {
            consensus.generationGone(generation);
        }
    }

    private void sendOverrides() {
        broadcast.accept(overridesFrame());
    }

    // ---- operators

    /** Handles an operator's command; false if this class does not know it. Answers may come later. */
    boolean handleCommand(String command, List<String> arguments, Consumer<Answer> answer) {
        Mark.Kind kind = switch (command) {
            case "drain" -> Mark.Kind.DRAIN;
            case "undrain" -> Mark.Kind.NONE;
            case "mark-gone" -> Mark.Kind.GONE;
            default -> null;
        };
        if (consensus != null && consensus.handleCommand(command, arguments, this::isKnown, answer)) {
            return true;
        }
        if (kind == null) {
            return false;
        }
        boolean localOnly = consensus != null && arguments.size() == 2
                && arguments.get(1).equals(ConsensusService.LOCAL_ONLY);
        if (arguments.size() != 1 && !localOnly) {
            answer.accept(lastAnswerLine("exactly one server must be named" + (consensus == null
                    ? ", and nothing else: consensus is not configured here" : ""), 1));
            return true;
        }
        setOverride(arguments.get(0), kind, answer);
        return true;
    }

    private synchronized boolean isKnown(String server) {
        return !stateRecorder.knownServers(server).isEmpty();
    }

    private synchronized void setOverride(String server, Mark.Kind kind, Consumer<Answer> answer) {
        Mark previous = stateRecorder.overrides().get(server);
        if (kind == Mark.Kind.NONE && previous == null) {
            answer.accept(lastAnswerLine(server + " has no mark", 1));
            return;
        }
        if (kind != Mark.Kind.NONE && !isKnown(server)) {
            answer.accept(lastAnswerLine("no server named " + server + " is known", 1));
            return;
        }
        long ticket = storeAndReplicate(List.of(stateRecorder.recordOverride(server, kind, records.instance(),
                wallMicros())));
        sendOverrides();
        String result = switch (kind) {
            case DRAIN -> "is draining";
            case GONE -> "is marked gone";
            default -> "has no mark any more";
        };
        EventLog.info("box.marked", "box", server, "mark", kind);
        committer.durable(ticket).orTimeout(DURABLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((done, failed) -> answer.accept(failed == null
                        ? lastAnswerLine(server + " " + result, 0)
                        : lastAnswerLine(server + " " + result + ", but this was not written to disk: "
                                + committer.health().why(), 1)));
    }

    private static Answer lastAnswerLine(String line, int exit) {
        return Answer.newBuilder().setLine(line).setLast(true).setExit(exit).build();
    }

    /** Status lines for an operator: stored records, their age and origin, and the state of replication. */
    synchronized List<String> status() {
        List<String> lines = new ArrayList<>(consensus == null ? List.of() : consensus.status());
        Committer.StoreHealth health = committer.health();
        lines.add("store: " + (health.open() ? "open" : "failed (" + health.kind() + "): " + health.why())
                + "; records " + (records.size() - records.tombstones()) + ", removed "
                + records.tombstones() + ", bytes " + records.bytes() + "; commits " + health.commits()
                + ", failures " + health.failures() + ", waiting " + health.waiting());
        Kept list = records.get(RecordKeys.endpointList(records.instance()));
        if (list != null) {
            lines.add("list: version " + list.getList().getVersion() + " of " + list.getList().getAddress()
                    + ", told " + formatAge(list.getWall()));
        }
        stateRecorder.overrides().forEach((server, mark) -> {
            Kept kept = records.getWithTombstones(RecordKeys.override(server));
            lines.add("mark: " + server + " " + mark.getKind().name().toLowerCase(Locale.ROOT) + ", by "
                    + mark.getBy() + " " + formatAge(kept.getWall()));
        });
        for (String instance : instances()) {
            lines.add("boxes told to " + instance + ": "
                    + records.withPrefix(RecordKeys.serversPrefix(instance)).size());
        }
        for (Replicator.PeerStatus s : replica.peerStatuses()) {
            lines.add("peer " + s.peer() + ": " + (s.up() ? "up" : "down (" + s.trouble() + ")")
                    + ", equal " + (s.equalAt() == 0 ? "never" : formatAge(s.equalAt())) + ", waiting "
                    + s.waiting() + ", sent " + s.sent() + ", got " + s.got());
        }
        return lines;
    }

    private TreeSet<String> instances() {
        TreeSet<String> found = new TreeSet<>();
        records.withPrefix(RecordKeys.allServersPrefix()).forEach(k -> found.add(k.getKey().split("/")[1]));
        return found;
    }

    private String formatAge(long sinceMicros) {
        return String.format(Locale.ROOT, "%.1f s ago",
                Math.max(0, wallMicros() - sinceMicros) / MICROS_PER_SECOND);
    }

    // ---- replication

    @Override
    public synchronized void connected(String peer) {
        reduce(new ReplicationEvent.PeerConnected(peer));
    }

    @Override
    public void frameReceived(String peer, PeerFrame frame) {
        if (!frame.hasCouncil()) {
            replicate(peer, frame);
        } else if (consensus != null) {
            consensus.handleFrame(peer, frame.getCouncil());
        }
    }

    private synchronized void replicate(String peer, PeerFrame frame) {
        reduce(new ReplicationEvent.PeerFrameReceived(peer, frame));
    }

    @Override
    public synchronized void disconnected(String peer, String why) {
        reduce(new ReplicationEvent.PeerDisconnected(peer, why));
    }

    private void runTimer() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
                synchronized (this) {
                    if (wallMicros() >= replica.nextTickDue()) {
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
        for (ReplicationEffect effect : replica.reduce(event, wallMicros())) {
            if (effect instanceof ReplicationEffect.SendToPeer e) {
                peerConnections.send(e.peer(), e.frame());
            } else if (effect instanceof ReplicationEffect.ClosePeer e) {
                peerConnections.close(e.peer());
            } else if (effect instanceof ReplicationEffect.StoreRecords e) {
                store(e.keys());
                if (e.keys().stream().anyMatch(k -> k.startsWith(RecordKeys.overridesPrefix()))) {
                    sendOverrides();
                }
            } else if (effect instanceof ReplicationEffect.LogEvent e) {
                EventLog.info(e.event(), e.fields());
            }
        }
    }

    /** Writes pending changes and closes the store and all connections. */
    @Override
    public void close() {
        if (consensus != null) {
            consensus.close();
        }
        if (peerConnections != null) {
            peerConnections.close();
        }
        committer.close();
    }
}
