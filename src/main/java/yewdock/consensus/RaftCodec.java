package yewdock.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import yewdock.wire.Append;
import yewdock.wire.AppendFailed;
import yewdock.wire.Appended;
import yewdock.wire.Install;
import yewdock.wire.Installed;
import yewdock.wire.MembersChange;
import yewdock.wire.NewTerm;
import yewdock.wire.RaftChunk;
import yewdock.wire.RaftEntry;
import yewdock.wire.RaftFrame;
import yewdock.wire.RaftMembers;
import yewdock.wire.RuleCommand;
import yewdock.wire.RulesSnapshot;
import yewdock.wire.Vote;
import yewdock.wire.Voted;

/** Raft's messages and log entries, to and from the form in which they are sent and stored. */
final class RaftCodec {
    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private RaftCodec() {
    }

    // ---- names

    private static List<String> ids(Collection<RaftEndpoint> endpoints) {
        return endpoints.stream().map(e -> String.valueOf(e.getId())).toList();
    }

    static List<RaftEndpoint> endpoints(Collection<String> ids) {
        List<RaftEndpoint> found = new ArrayList<>();
        ids.forEach(id -> found.add(new Endpoint(id)));
        return found;
    }

    static RaftMembers members(RaftGroupMembersView view) {
        return RaftMembers.newBuilder().setIndex(view.getLogIndex()).addAllMembers(ids(view.getMembers()))
                .addAllVoting(ids(view.getVotingMembers())).build();
    }

    static RaftGroupMembersView members(RaftMembers kept) {
        return MODEL.createRaftGroupMembersViewBuilder().setLogIndex(kept.getIndex())
                .setMembers(endpoints(kept.getMembersList()))
                .setVotingMembers(endpoints(kept.getVotingList())).build();
    }

    // ---- the log

    static RaftEntry entry(LogEntry entry) {
        RaftEntry.Builder made = RaftEntry.newBuilder().setIndex(entry.getIndex()).setTerm(entry.getTerm());
        Object what = entry.getOperation();
        if (what instanceof RuleCommand c) {
            made.setCommand(c);
        } else if (what instanceof UpdateRaftGroupMembersOp c) {
            made.setMembers(MembersChange.newBuilder().addAllMembers(ids(c.getMembers()))
                    .addAllVoting(ids(c.getVotingMembers())).setEndpoint(String.valueOf(
                            c.getEndpoint().getId())).setMode(c.getMode().name()));
        } else if (what instanceof NewTerm) {
            made.setNewTerm(NewTerm.getDefaultInstance());
        } else {
            throw new IllegalArgumentException("an entry that this program doesn't write: " + what);
        }
        return made.build();
    }

    static LogEntry entry(RaftEntry kept) {
        Object what = switch (kept.getWhatCase()) {
            case COMMAND -> kept.getCommand();
            case MEMBERS -> MODEL.createUpdateRaftGroupMembersOpBuilder()
                    .setMembers(endpoints(kept.getMembers().getMembersList()))
                    .setVotingMembers(endpoints(kept.getMembers().getVotingList()))
                    .setEndpoint(new Endpoint(kept.getMembers().getEndpoint()))
                    .setMode(MembershipChangeMode.valueOf(kept.getMembers().getMode())).build();
            default -> NewTerm.getDefaultInstance();
        };
        return MODEL.createLogEntryBuilder().setIndex(kept.getIndex()).setTerm(kept.getTerm())
                .setOperation(what).build();
    }

    static RaftChunk chunk(SnapshotChunk chunk) {
        return RaftChunk.newBuilder().setIndex(chunk.getIndex()).setTerm(chunk.getTerm())
                .setRules((RulesSnapshot) chunk.getOperation()).setChunk(chunk.getSnapshotChunkIndex())
                .setChunks(chunk.getSnapshotChunkCount()).setMembers(members(chunk.getGroupMembersView()))
                .build();
    }

    static SnapshotChunk chunk(RaftChunk kept) {
        return MODEL.createSnapshotChunkBuilder().setIndex(kept.getIndex()).setTerm(kept.getTerm())
                .setOperation(kept.getRules()).setSnapshotChunkIndex(kept.getChunk())
                .setSnapshotChunkCount(kept.getChunks()).setGroupMembersView(members(kept.getMembers()))
                .build();
    }

    // ---- messages

    static RaftFrame frame(RaftMessage message) {
        RaftFrame.Builder made = RaftFrame.newBuilder().setGroup(String.valueOf(message.getGroupId()))
                .setSender(String.valueOf(message.getSender().getId())).setTerm(message.getTerm());
        if (message instanceof AppendEntriesRequest m) {
            made.setAppend(Append.newBuilder().setPreviousTerm(m.getPreviousLogTerm())
                    .setPreviousIndex(m.getPreviousLogIndex()).setCommitIndex(m.getCommitIndex())
                    .addAllEntries(m.getLogEntries().stream().map(RaftCodec::entry).toList())
                    .setQuery(m.getQuerySequenceNumber()).setFlow(m.getFlowControlSequenceNumber()));
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            made.setAppended(Appended.newBuilder().setLastIndex(m.getLastLogIndex())
                    .setQuery(m.getQuerySequenceNumber()).setFlow(m.getFlowControlSequenceNumber()));
        } else if (message instanceof AppendEntriesFailureResponse m) {
            made.setAppendFailed(AppendFailed.newBuilder().setExpectedIndex(m.getExpectedNextIndex())
                    .setQuery(m.getQuerySequenceNumber()).setFlow(m.getFlowControlSequenceNumber()));
        } else if (message instanceof PreVoteRequest m) {
            made.setPreVote(vote(m.getLastLogTerm(), m.getLastLogIndex(), false));
        } else if (message instanceof PreVoteResponse m) {
            made.setPreVoted(Voted.newBuilder().setGranted(m.isGranted()));
        } else if (message instanceof VoteRequest m) {
            made.setVote(vote(m.getLastLogTerm(), m.getLastLogIndex(), m.isSticky()));
        } else if (message instanceof VoteResponse m) {
            made.setVoted(Voted.newBuilder().setGranted(m.isGranted()));
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            made.setTrigger(vote(m.getLastLogTerm(), m.getLastLogIndex(), false));
        } else if (message instanceof InstallSnapshotRequest m) {
            made.setInstall(install(m));
        } else if (message instanceof InstallSnapshotResponse m) {
            made.setInstalled(Installed.newBuilder().setSnapshotIndex(m.getSnapshotIndex())
                    .setChunk(m.getRequestedSnapshotChunkIndex()).setQuery(m.getQuerySequenceNumber())
                    .setFlow(m.getFlowControlSequenceNumber()));
        } else {
            throw new IllegalArgumentException("a message that this program doesn't send: " + message);
        }
        return made.build();
    }

    private static Vote vote(int lastTerm, long lastIndex, boolean sticky) {
        return Vote.newBuilder().setLastTerm(lastTerm).setLastIndex(lastIndex).setSticky(sticky).build();
    }

    private static Install install(InstallSnapshotRequest m) {
        Install.Builder made = Install.newBuilder().setLeader(m.isSenderLeader())
                .setSnapshotTerm(m.getSnapshotTerm()).setSnapshotIndex(m.getSnapshotIndex())
                .setChunks(m.getTotalSnapshotChunkCount()).addAllSnapshotted(ids(m.getSnapshottedMembers()))
                .setMembers(members(m.getGroupMembersView())).setQuery(m.getQuerySequenceNumber())
                .setFlow(m.getFlowControlSequenceNumber());
        if (m.getSnapshotChunk() != null) {
            made.setChunk(chunk(m.getSnapshotChunk()));
        }
        return made.build();
    }

    /** The message of a frame; throws IllegalArgumentException for one that this program doesn't know. */
    static RaftMessage message(RaftFrame f) {
        Endpoint sender = new Endpoint(f.getSender());
        String group = f.getGroup();
        int term = f.getTerm();
        return switch (f.getWhatCase()) {
            case APPEND -> MODEL.createAppendEntriesRequestBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setPreviousLogTerm(f.getAppend().getPreviousTerm())
                    .setPreviousLogIndex(f.getAppend().getPreviousIndex())
                    .setCommitIndex(f.getAppend().getCommitIndex())
                    .setLogEntries(f.getAppend().getEntriesList().stream().map(RaftCodec::entry).toList())
                    .setQuerySequenceNumber(f.getAppend().getQuery())
                    .setFlowControlSequenceNumber(f.getAppend().getFlow()).build();
            case APPENDED -> MODEL.createAppendEntriesSuccessResponseBuilder().setGroupId(group)
                    .setSender(sender).setTerm(term).setLastLogIndex(f.getAppended().getLastIndex())
                    .setQuerySequenceNumber(f.getAppended().getQuery())
                    .setFlowControlSequenceNumber(f.getAppended().getFlow()).build();
            case APPEND_FAILED -> MODEL.createAppendEntriesFailureResponseBuilder().setGroupId(group)
                    .setSender(sender).setTerm(term)
                    .setExpectedNextIndex(f.getAppendFailed().getExpectedIndex())
                    .setQuerySequenceNumber(f.getAppendFailed().getQuery())
                    .setFlowControlSequenceNumber(f.getAppendFailed().getFlow()).build();
            case PRE_VOTE -> MODEL.createPreVoteRequestBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setLastLogTerm(f.getPreVote().getLastTerm())
                    .setLastLogIndex(f.getPreVote().getLastIndex()).build();
            case PRE_VOTED -> MODEL.createPreVoteResponseBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setGranted(f.getPreVoted().getGranted()).build();
            case VOTE -> MODEL.createVoteRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setLastLogTerm(f.getVote().getLastTerm()).setLastLogIndex(f.getVote().getLastIndex())
                    .setSticky(f.getVote().getSticky()).build();
            case VOTED -> MODEL.createVoteResponseBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setGranted(f.getVoted().getGranted()).build();
            case TRIGGER -> MODEL.createTriggerLeaderElectionRequestBuilder().setGroupId(group)
                    .setSender(sender).setTerm(term).setLastLogTerm(f.getTrigger().getLastTerm())
                    .setLastLogIndex(f.getTrigger().getLastIndex()).build();
            case INSTALL -> MODEL.createInstallSnapshotRequestBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setSenderLeader(f.getInstall().getLeader())
                    .setSnapshotTerm(f.getInstall().getSnapshotTerm())
                    .setSnapshotIndex(f.getInstall().getSnapshotIndex())
                    .setTotalSnapshotChunkCount(f.getInstall().getChunks())
                    .setSnapshotChunk(f.getInstall().hasChunk() ? chunk(f.getInstall().getChunk()) : null)
                    .setSnapshottedMembers(endpoints(f.getInstall().getSnapshottedList()))
                    .setGroupMembersView(members(f.getInstall().getMembers()))
                    .setQuerySequenceNumber(f.getInstall().getQuery())
                    .setFlowControlSequenceNumber(f.getInstall().getFlow()).build();
            case INSTALLED -> MODEL.createInstallSnapshotResponseBuilder().setGroupId(group)
                    .setSender(sender).setTerm(term).setSnapshotIndex(f.getInstalled().getSnapshotIndex())
                    .setRequestedSnapshotChunkIndex(f.getInstalled().getChunk())
                    .setQuerySequenceNumber(f.getInstalled().getQuery())
                    .setFlowControlSequenceNumber(f.getInstalled().getFlow()).build();
            default -> throw new IllegalArgumentException("a message of a later program");
        };
    }
}
