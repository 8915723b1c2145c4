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
 * A member's log, term, vote and snapshots, on a shelf of their own. What Raft wants kept is on the disk when
 * {@link #flush} returns, in one commit; until then nothing of it is answered.
 */
public final class DurableRaftStore implements RaftStore {
    private static final String SELF = "self";
    private static final String FOUNDERS = "founders";
    private static final String TERM = "term";
    private static final String DISK = "disk";
    private static final String ENTRY = "e/";
    private static final String CHUNK = "s/";

    private static final String TRIED = "tried";

    private final KeyValueStore.StoreOpener opening;
    private final KeyValueStore shelf;
    private boolean broken;
    private String number;
    private Map<String, byte[]> waiting = new HashMap<>();
    private long first = 1;
    private long last;
    private RestoredRaftState restored;

    /** Opens it, and reads what is there. */
    public DurableRaftStore(KeyValueStore.StoreOpener opening) throws IOException {
        this.opening = opening;
        try {
            this.shelf = opening.open();
        } catch (StoreException e) {
            throw new IOException("the council's log can't be opened: " + e.getMessage(), e);
        }
        try {
            restore();
        } catch (IOException e) {
            shelf.close();
            throw e;
        }
    }

    /**
     * Whether a write has failed. What Raft holds in memory is more than what is on the disk then: nothing
     * of it may be told to anybody, and the member has to begin anew from what is there.
     */
    boolean broken() {
        return broken;
    }

    /**
     * The same opened anew, once it takes writes. This one is at its end, and nothing of the member that
     * had it runs any more; where this fails, it may be tried again.
     */
    DurableRaftStore anew() throws IOException {
        broken = true;
        shelf.close();
        DurableRaftStore next = new DurableRaftStore(opening);
        try {
            next.waiting.put(TRIED, new byte[] {1});
            next.flush();
        } catch (IOException e) {
            // left open, it would keep the next try out
            next.close();
            throw e;
        }
        return next;
    }

    /** Closes it. */
    public void close() {
        shelf.close();
    }

    private void restore() throws IOException {
        SortedMap<String, byte[]> all = shelf.all();
        if (all.containsKey(DISK)) {
            number = new String(all.get(DISK), StandardCharsets.UTF_8);
        }
        if (!all.containsKey(SELF) || !all.containsKey(FOUNDERS)) {
            return;
        }
        RaftSelf self = RaftSelf.parseFrom(all.get(SELF));
        RaftMembers founders = RaftMembers.parseFrom(all.get(FOUNDERS));
        RaftTermKept term = all.containsKey(TERM) ? RaftTermKept.parseFrom(all.get(TERM))
                : RaftTermKept.getDefaultInstance();
        List<LogEntry> entries = new ArrayList<>();
        TreeMap<Long, List<SnapshotChunk>> chunks = new TreeMap<>();
        for (Map.Entry<String, byte[]> e : all.entrySet()) {
            if (e.getKey().startsWith(ENTRY)) {
                entries.add(RaftCodec.entry(RaftEntry.parseFrom(e.getValue())));
            } else if (e.getKey().startsWith(CHUNK)) {
                SnapshotChunk chunk = RaftCodec.chunk(RaftChunk.parseFrom(e.getValue()));
                chunks.computeIfAbsent(chunk.getIndex(), i -> new ArrayList<>()).add(chunk);
            }
        }
        SnapshotEntry snapshot = whole(chunks);
        if (snapshot != null) {
            entries.removeIf(e -> e.getIndex() <= snapshot.getIndex());
        }
        if (!entries.isEmpty()) {
            first = entries.get(0).getIndex();
            last = entries.get(entries.size() - 1).getIndex();
        }
        restored = new RestoredRaftState(RaftCodec.MODEL.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new Endpoint(self.getName())).setVoting(self.getVoting()).build(),
                RaftCodec.members(founders), RaftCodec.MODEL.createRaftTermPersistentStateBuilder()
                        .setTerm(term.getTerm()).setVotedFor(term.getVotedFor().isEmpty() ? null
                                : new Endpoint(term.getVotedFor())).build(), snapshot, entries);
    }

    /** The newest snapshot of which every chunk is there; one whose taking was interrupted is none. */
    private static SnapshotEntry whole(TreeMap<Long, List<SnapshotChunk>> byIndex) {
        for (List<SnapshotChunk> chunks : byIndex.descendingMap().values()) {
            SnapshotChunk one = chunks.get(0);
            if (chunks.size() == one.getSnapshotChunkCount()) {
                return RaftCodec.MODEL.createSnapshotEntryBuilder().setIndex(one.getIndex())
                        .setTerm(one.getTerm()).setSnapshotChunks(chunks)
                        .setGroupMembersView(one.getGroupMembersView()).build();
            }
        }
        return null;
    }

    /** What an earlier process of this member left; null where there was none. */
    RestoredRaftState restored() {
        return restored;
    }

    /** The disk's own number; a fresh one where it has none yet. */
    String number(String fresh) throws IOException {
        if (number == null) {
            number = fresh;
            waiting.put(DISK, fresh.getBytes(StandardCharsets.UTF_8));
            flush();
        }
        return number;
    }

    // ---- what Raft has kept

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) throws IOException {
        put(SELF, RaftSelf.newBuilder().setName(String.valueOf(self.getLocalEndpoint().getId()))
                .setVoting(self.isVoting()).build());
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView founders) throws IOException {
        put(FOUNDERS, RaftCodec.members(founders));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        put(TERM, RaftTermKept.newBuilder().setTerm(term.getTerm()).setVotedFor(term.getVotedFor() == null
                ? "" : String.valueOf(term.getVotedFor().getId())).build());
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) {
        for (LogEntry e : entries) {
            put(key(e.getIndex()), RaftCodec.entry(e));
            last = Math.max(last, e.getIndex());
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        put(key(chunk.getIndex(), chunk.getSnapshotChunkIndex()), RaftCodec.chunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long from) {
        for (long i = Math.max(from, first); i <= last; i++) {
            waiting.put(key(i), null);
        }
        last = Math.min(last, from - 1);
    }

    @Override
    public void truncateLogEntriesUntil(long until) {
        for (long i = first; i <= Math.min(until, last); i++) {
            waiting.put(key(i), null);
        }
        first = Math.max(first, until + 1);
        last = Math.max(last, until);
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        for (int i = 0; i < count; i++) {
            waiting.put(key(index, i), null);
        }
    }

    @Override
    public void flush() throws IOException {
        if (waiting.isEmpty()) {
            return;
        }
        Map<String, byte[]> changes = waiting;
        waiting = new HashMap<>();
        try {
            shelf.write(changes);
        } catch (StoreException e) {
            broken = true;
            throw new IOException("the council's log can't be kept: " + e.getMessage(), e);
        }
    }

    private void put(String key, Message message) {
        waiting.put(key, message.toByteArray());
    }

    private static String key(long index) {
        return String.format("%s%016x", ENTRY, index);
    }

    private static String key(long index, int chunk) {
        return String.format("%s%016x/%08x", CHUNK, index, chunk);
    }

}
