package yewdock.consensus;

import com.google.protobuf.Message;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import yewdock.store.KeyValueStore;
import yewdock.store.StoreException;
import yewdock.wire.RaftChunk;
import yewdock.wire.RaftEntry;
import yewdock.wire.RaftMembers;
import yewdock.wire.RaftSelf;
import yewdock.wire.RaftTermKept;

/**
 * Stores a member's Raft log, term, vote and snapshots in a store of their own. All that the library has
 * asked to be persisted is on disk, in one commit, when {@link #flush} returns; the library answers for
 * none of it before.
 */
public final class DurableRaftStore implements RaftStore {
    private static final String SELF_KEY = "self";
    private static final String FOUNDERS_KEY = "founders";
    private static final String TERM_KEY = "term";
    private static final String DISK_NUMBER_KEY = "disk";
    private static final String ENTRY_PREFIX = "e/";
    private static final String CHUNK_PREFIX = "s/";

    private static final String WRITE_TEST_KEY = "tried";

    private final KeyValueStore.StoreOpener opener;
    private final KeyValueStore store;
    private boolean failed;
    private String diskNumber;
    private Map<String, byte[]> pending = new HashMap<>();
    private long firstIndex = 1;
    private long lastIndex;
    private RestoredRaftState restoredState;

    /** Opens the store and reads the state in it. */
    public DurableRaftStore(KeyValueStore.StoreOpener opener) throws IOException {
        this.opener = opener;
        try {
            this.store = opener.open();
        } catch (StoreException e) {
            throw new IOException("cannot open the Raft log: " + e.getMessage(), e);
        }
        try {
            restore();
        } catch (IOException e) {
            store.close();
            throw e;
        }
    }

    /**
     * Whether a write has failed. The library's state in memory is then ahead of the disk: none of it may be
     * sent to other members, and this member has to be restarted from what is on the disk.
     */
    boolean failed() {
        return failed;
    }

    /**
     * Closes this store, opens it again and checks that it takes writes. This object and the member that
     * used it must not be used any more, whatever the outcome; after a failure this may be called again.
     */
    DurableRaftStore reopen() throws IOException {
        failed = true;
        store.close();
        DurableRaftStore next = new DurableRaftStore(opener);
        try {
            next.pending.put(WRITE_TEST_KEY, new byte[] {1});
            next.flush();
        } catch (IOException e) {
            // the store can be open only once: left open, it would make every later attempt fail
            next.close();
            throw e;
        }
        return next;
    }

    /** Closes the store. */
    public void close() {
        store.close();
    }

    private void restore() throws IOException {
        SortedMap<String, byte[]> all = store.all();
        if (all.containsKey(DISK_NUMBER_KEY)) {
            diskNumber = new String(all.get(DISK_NUMBER_KEY), StandardCharsets.UTF_8);
        }
        if (!all.containsKey(SELF_KEY) || !all.containsKey(FOUNDERS_KEY)) {
            return;
        }
        RaftSelf self = RaftSelf.parseFrom(all.get(SELF_KEY));
        RaftMembers founders = RaftMembers.parseFrom(all.get(FOUNDERS_KEY));
        RaftTermKept term = all.containsKey(TERM_KEY) ? RaftTermKept.parseFrom(all.get(TERM_KEY))
                : RaftTermKept.getDefaultInstance();
        List<LogEntry> entries = new ArrayList<>();
        TreeMap<Long, List<SnapshotChunk>> chunks = new TreeMap<>();
        for (Map.Entry<String, byte[]> e : all.entrySet()) {
            if (e.getKey().startsWith(ENTRY_PREFIX)) {
                entries.add(RaftCodec.entry(RaftEntry.parseFrom(e.getValue())));
            } else if (e.getKey().startsWith(CHUNK_PREFIX)) {
                SnapshotChunk chunk = RaftCodec.chunk(RaftChunk.parseFrom(e.getValue()));
                chunks.computeIfAbsent(chunk.getIndex(), i -> new ArrayList<>()).add(chunk);
            }
        }
        SnapshotEntry snapshot = newestCompleteSnapshot(chunks);
        if (snapshot != null) {
            entries.removeIf(e -> e.getIndex() <= snapshot.getIndex());
        }
        if (!entries.isEmpty()) {
            firstIndex = entries.get(0).getIndex();
            lastIndex = entries.get(entries.size() - 1).getIndex();
        }
        restoredState = new RestoredRaftState(RaftCodec.MODEL.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new RaftMemberId(self.getName())).setVoting(self.getVoting()).build(),
                RaftCodec.members(founders), RaftCodec.MODEL.createRaftTermPersistentStateBuilder()
                        .setTerm(term.getTerm()).setVotedFor(term.getVotedFor().isEmpty() ? null
                                : new RaftMemberId(term.getVotedFor())).build(), snapshot, entries);
    }

    /** The newest snapshot with all of its chunks, or null; one that was interrupted half-way is ignored. */
    private static SnapshotEntry newestCompleteSnapshot(TreeMap<Long, List<SnapshotChunk>> byIndex) {
        for (List<SnapshotChunk> chunks : byIndex.descendingMap().values()) {
            SnapshotChunk chunk = chunks.get(0);
            if (chunks.size() == chunk.getSnapshotChunkCount()) {
                return RaftCodec.MODEL.createSnapshotEntryBuilder().setIndex(chunk.getIndex())
                        .setTerm(chunk.getTerm()).setSnapshotChunks(chunks)
                        .setGroupMembersView(chunk.getGroupMembersView()).build();
            }
        }
        return null;
    }

    /** The state that an earlier process of this member has left; null if there is none. */
    RestoredRaftState restoredState() {
        return restoredState;
    }

    /** The number that identifies this disk; if it has none yet, the given one is stored and returned. */
    String diskNumber(String fresh) throws IOException {
        if (diskNumber == null) {
            diskNumber = fresh;
            pending.put(DISK_NUMBER_KEY, fresh.getBytes(StandardCharsets.UTF_8));
            flush();
        }
        return diskNumber;
    }

    // ---- RaftStore: called by the library

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) throws IOException {
        put(SELF_KEY, RaftSelf.newBuilder().setName(String.valueOf(self.getLocalEndpoint().getId()))
                .setVoting(self.isVoting()).build());
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView founders) throws IOException {
        put(FOUNDERS_KEY, RaftCodec.members(founders));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        put(TERM_KEY, RaftTermKept.newBuilder().setTerm(term.getTerm()).setVotedFor(term.getVotedFor() == null
                ? "" : String.valueOf(term.getVotedFor().getId())).build());
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) {
        for (LogEntry e : entries) {
            put(key(e.getIndex()), RaftCodec.entry(e));
            lastIndex = Math.max(lastIndex, e.getIndex());
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        put(key(chunk.getIndex(), chunk.getSnapshotChunkIndex()), RaftCodec.chunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long from) {
        for (long i = Math.max(from, firstIndex); i <= lastIndex; i++) {
            pending.put(key(i), null);
        }
        lastIndex = Math.min(lastIndex, from - 1);
    }

    @Override
    public void truncateLogEntriesUntil(long until) {
        for (long i = firstIndex; i <= Math.min(until, lastIndex); i++) {
            pending.put(key(i), null);
        }
        firstIndex = Math.max(firstIndex, until + 1);
        lastIndex = Math.max(lastIndex, until);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        for (int i = 0; i < count; i++) {
            pending.put(key(index, i), null);
        }
    }

    @Override
    public void flush() throws IOException {
        if (pending.isEmpty()) {
            return;
        }
        Map<String, byte[]> changes = pending;
        pending = new HashMap<>();
        try {
            store.write(changes);
        } catch (StoreException e) {
            failed = true;
            throw new IOException("cannot write the Raft log: " + e.getMessage(), e);
        }
    }

    private void put(String key, Message message) {
        pending.put(key, message.toByteArray());
    }

    private static String key(long index) {
        return String.format("%s%016x", ENTRY_PREFIX, index);
    }

    private static String key(long index, int chunk) {
        return String.format("%s%016x/%08x", CHUNK_PREFIX, index, chunk);
    }

}
