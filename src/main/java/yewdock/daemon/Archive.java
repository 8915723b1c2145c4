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
import yewdock.log.Say;
import yewdock.replica.Replica;
import yewdock.replica.ReplicaEffect;
import yewdock.replica.ReplicaEvent;
import yewdock.settings.OperatorSettings;
import yewdock.sockets.Clock;
import yewdock.state.Keeping;
import yewdock.state.Keys;
import yewdock.state.Records;
import yewdock.store.Committer;
import yewdock.store.Shelf;
import yewdock.store.Store;
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
final class Archive implements Closeable, Peers.Hearer {
    private static final String JOINED_KEY = "joined";
    private static final String HORIZON_KEY = "horizon";
    private static final long TICK_MILLIS = 100;
    private static final long DURABLE_TIMEOUT_MILLIS = 5_000;
    private static final double MICROS_PER_SECOND = 1e6;

    private final OperatorSettings.Store settings;
    private final Clock clock = new Clock();
    private final Records records;
    private final Keeping keeping;
    private final Replica replica;
    private final Committer committer;
    private final Consumer<Frame> broadcast;
    private Set<String> drainedByConsensus = Set.of();
    private final Map<String, Long> storedMetadata = new HashMap<>();
    private Peers peers;
    /** Null if consensus is not configured. */
    private Agreement consensus;

    /**
     * Opens the store, which no other process may have open, and starts replication. Broadcast takes frames
     * for all generations.
     */
    Archive(OperatorSettings all, Consumer<Frame> broadcast) throws IOException {
        this.settings = all.store();
        this.broadcast = broadcast;
        String instance = all.copies().instance();
        records = new Records(instance, settings.mostRecords());
        Shelf.Opening opening = () -> open(settings.folder());
        Committer.Pace pace = new Committer.Pace(settings.gather() / 1000, settings.retry() / 1000);
        Committer made;
        try {
            long began = System.nanoTime();
            Shelf shelf = opening.open();
            load(shelf);
            Say.info("store.opened", "folder", settings.folder(), "records", records.size(), "ms",
                    (System.nanoTime() - began) / 1_000_000);
            made = new Committer(shelf, opening, pace, this::health);
        } catch (StoreException e) {
            if (e.kind() == StoreException.Kind.LOCKED) {
                throw new IOException(e.getMessage(), e);
            }
            Say.warn("store.unusable", "kind", e.kind(), "why", e.getMessage(), "now",
                    "continuing from memory");
            made = new Committer(e, opening, pace, this::health);
        }
        committer = made;
        keeping = new Keeping(records, settings.doubt());
        replica = new Replica(all.copies().cluster(), all.copies().peers().keySet(), records,
                storedMetadata.getOrDefault(JOINED_KEY, 0L), all.copies().mostRemovals());
        if (!all.copies().peers().isEmpty()) {
            if (all.agreement().on()) {
                consensus = new Agreement(all, this::setDrainedByConsensus);
            }
            peers = new Peers(all.copies(), this);
            if (consensus != null) {
                consensus.start(peers);
            }
            Thread timer = new Thread(this::runTimer, "copies");
            timer.setDaemon(true);
            timer.start();
        }
    }

    /** Opens the store; a damaged one is moved aside whole, and its records return from memory or peers. */
    private static Shelf open(Path folder) throws StoreException {
        try {
            Store store = Store.open(folder);
            if (store.missing() > 0) {
                Say.warn("store.rolled_back", "missing", store.missing(), "now", "state of commit "
                        + store.number());
            }
            return store;
        } catch (StoreException e) {
            if (e.kind() != StoreException.Kind.DAMAGED) {
                throw e;
            }
            try {
                Say.warn("store.damaged", "why", e.getMessage(), "kept_as", Store.setAside(folder));
            } catch (IOException moved) {
                throw e;
            }
            return Store.open(folder);
        }
    }

    private void load(Shelf shelf) {
        Map<String, byte[]> all = shelf.all();
        all.forEach((key, bytes) -> {
            if (!key.startsWith(Keys.STORED)) {
                storedMetadata.put(key, ByteBuffer.wrap(bytes).getLong());
            }
        });
        // set before the records are merged: tombstones up to the horizon are no longer needed
        records.forget(storedMetadata.getOrDefault(HORIZON_KEY, 0L));
        all.forEach((key, bytes) -> {
            if (key.startsWith(Keys.STORED)) {
                try {
                    records.merge(Records.read(bytes));
                } catch (InvalidProtocolBufferException e) {
                    Say.warn("record.unreadable", "key", key, "why", e.getMessage());
                }
            }
        });
    }

    private void health(Committer.Health health) {
        if (health.open()) {
            Say.info("store.recovered", "commits", health.commits());
        } else {
            Say.warn("store.failed", "kind", health.kind(), "why", health.why(), "now",
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
            storeAndReplicate(keeping.learnt(keep.getModule(), wallMicros() - keep.getClock(), wallMicros()));
        }
    }

    private void endpointListReported(Boxes reported) {
        Kept stored = records.get(Keys.list(records.instance()));
        boolean older = stored != null && stored.getList().getAddress().equals(reported.getAddress())
                && reported.getVersion() < stored.getList().getVersion();
        if (older && !reported.getFull()) {
            // from a finishing generation, which receives the list later than the serving one
            return;
        }
        storeAndReplicate(keeping.told(reported, 0, wallMicros()));
        if (consensus != null) {
            consensus.applyingListVersion(reported.getAddress(), reported.getVersion());
        }
        List<Kept> expired = keeping.dropOutlived(wallMicros());
        if (!expired.isEmpty()) {
            storeAndReplicate(expired);
            sendOverrides();
        }
    }

    /** Records the configuration text that is in force. */
    synchronized void configurationApplied(String text) {
        Kept kept = keeping.applied(text, wallMicros());
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
        reduce(new ReplicaEvent.Changed(keys));
        return ticket;
    }

    private long store(List<String> keys) {
        Map<String, byte[]> changes = new HashMap<>();
        for (String key : keys) {
            Kept kept = records.raw(key);
            changes.put(Keys.STORED + key, kept == null ? null : Records.bytes(kept));
        }
        putMetadata(JOINED_KEY, replica.joined(), changes);
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
        State state = keeping.state(States.VERSION, States.MIN_READER_VERSION, wallMicros(),
                System.nanoTime());
        return state == null ? null : state.toBuilder().setAfterRestart(true).build();
    }

    /** Passes the current operator overrides on; later ones are not sent before it returns. */
    synchronized void withOverrides(Consumer<Frame> then) {
        then.accept(overridesFrame());
    }

    /** The local operator overrides, with those decided by consensus taking precedence. */
    private Frame overridesFrame() {
        Map<String, Mark> all = new HashMap<>(keeping.marks());
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
    void consensus(int generation, Link link, Frame frame) {
        if (consensus != null) {
            consensus.handleFrame(generation, link, frame);
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
                && arguments.get(1).equals(Agreement.LOCAL_ONLY);
        if (arguments.size() != 1 && !localOnly) {
            answer.accept(lastAnswerLine("exactly one server must be named" + (consensus == null
                    ? ", and nothing else: consensus is not configured here" : ""), 1));
            return true;
        }
        setOverride(arguments.get(0), kind, answer);
        return true;
    }

    private synchronized boolean isKnown(String server) {
        return !keeping.known(server).isEmpty();
    }

    private synchronized void setOverride(String server, Mark.Kind kind, Consumer<Answer> answer) {
        Mark previous = keeping.marks().get(server);
        if (kind == Mark.Kind.NONE && previous == null) {
            answer.accept(lastAnswerLine(server + " has no mark", 1));
            return;
        }
        if (kind != Mark.Kind.NONE && !isKnown(server)) {
            answer.accept(lastAnswerLine("no server named " + server + " is known", 1));
            return;
        }
        long ticket = storeAndReplicate(List.of(keeping.mark(server, kind, records.instance(),
                wallMicros())));
        sendOverrides();
        String result = switch (kind) {
            case DRAIN -> "is draining";
            case GONE -> "is marked gone";
            default -> "has no mark any more";
        };
        Say.info("box.marked", "box", server, "mark", kind);
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
        Committer.Health health = committer.health();
        lines.add("store: " + (health.open() ? "open" : "failed (" + health.kind() + "): " + health.why())
                + "; records " + (records.size() - records.tombstones()) + ", removed "
                + records.tombstones() + ", bytes " + records.bytes() + "; commits " + health.commits()
                + ", failures " + health.failures() + ", waiting " + health.waiting());
        Kept list = records.get(Keys.list(records.instance()));
        if (list != null) {
            lines.add("list: version " + list.getList().getVersion() + " of " + list.getList().getAddress()
                    + ", told " + formatAge(list.getWall()));
        }
        keeping.marks().forEach((server, mark) -> {
            Kept kept = records.raw(Keys.mark(server));
            lines.add("mark: " + server + " " + mark.getKind().name().toLowerCase(Locale.ROOT) + ", by "
                    + mark.getBy() + " " + formatAge(kept.getWall()));
        });
        for (String instance : instances()) {
            lines.add("boxes told to " + instance + ": " + records.prefix(Keys.boxes(instance)).size());
        }
        for (Replica.Standing s : replica.standings()) {
            lines.add("peer " + s.peer() + ": " + (s.up() ? "up" : "down (" + s.trouble() + ")")
                    + ", equal " + (s.equalAt() == 0 ? "never" : formatAge(s.equalAt())) + ", waiting "
                    + s.waiting() + ", sent " + s.sent() + ", got " + s.got());
        }
        return lines;
    }

    private TreeSet<String> instances() {
        TreeSet<String> found = new TreeSet<>();
        records.prefix(Keys.allBoxes()).forEach(k -> found.add(k.getKey().split("/")[1]));
        return found;
    }

    private String formatAge(long sinceMicros) {
        return String.format(Locale.ROOT, "%.1f s ago",
                Math.max(0, wallMicros() - sinceMicros) / MICROS_PER_SECOND);
    }

    // ---- replication

    @Override
    public synchronized void connected(String peer) {
        reduce(new ReplicaEvent.Up(peer));
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
        reduce(new ReplicaEvent.Heard(peer, frame));
    }

    @Override
    public synchronized void disconnected(String peer, String why) {
        reduce(new ReplicaEvent.Down(peer, why));
    }

    private void runTimer() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
                synchronized (this) {
                    if (wallMicros() >= replica.nextDue()) {
                        reduce(new ReplicaEvent.Tick());
                        store(List.of());
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reduce(ReplicaEvent event) {
        for (ReplicaEffect effect : replica.reduce(event, wallMicros())) {
            if (effect instanceof ReplicaEffect.Send e) {
                peers.send(e.peer(), e.frame());
            } else if (effect instanceof ReplicaEffect.Close e) {
                peers.close(e.peer());
            } else if (effect instanceof ReplicaEffect.Store e) {
                store(e.keys());
                if (e.keys().stream().anyMatch(k -> k.startsWith(Keys.marks()))) {
                    sendOverrides();
                }
            } else if (effect instanceof ReplicaEffect.Note e) {
                Say.info(e.event(), e.fields());
            }
        }
    }

    /** Writes pending changes and closes the store and all connections. */
    @Override
    public void close() {
        if (consensus != null) {
            consensus.close();
        }
        if (peers != null) {
            peers.close();
        }
        committer.close();
    }
}
