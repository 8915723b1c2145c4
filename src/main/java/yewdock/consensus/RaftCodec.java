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

/** Converts Raft messages and log entries between the library's types and the protobuf wire and disk form. */
final class RaftCodec {
    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private RaftCodec() {
    }

    // ---- members

    private static List<String> ids(Collection<RaftEndpoint> endpoints) {
        return endpoints.stream().map(e -> String.valueOf(e.getId())).toList();
    }

    static List<RaftEndpoint> endpoints(Collection<String> ids) {
        List<RaftEndpoint> found = new ArrayList<>();
        ids.forEach(id -> found.add(new RaftMemberId(id)));
        return found;
    }

    static RaftMembers members(RaftGroupMembersView view) {
        return RaftMembers.newBuilder().setIndex(view.getLogIndex()).addAllMembers(ids(view.getMembers()))
                .addAllVoting(ids(view.getVotingMembers())).build();
    }

    static RaftGroupMembersView members(RaftMembers stored) {
        return MODEL.createRaftGroupMembersViewBuilder().setLogIndex(stored.getIndex())
                .setMembers(endpoints(stored.getMembersList()))
                .setVotingMembers(endpoints(stored.getVotingList())).build();
    }

    // ---- log entries

    static RaftEntry entry(LogEntry entry) {
        RaftEntry.Builder builder = RaftEntry.newBuilder().setIndex(entry.getIndex())
                .setTerm(entry.getTerm());
        Object operation = entry.getOperation();
        if (operation instanceof RuleCommand command) {
            builder.setCommand(command);
        } else if (operation instanceof UpdateRaftGroupMembersOp change) {
            builder.setMembers(MembersChange.newBuilder().addAllMembers(ids(change.getMembers()))
                    .addAllVoting(ids(change.getVotingMembers())).setEndpoint(String.valueOf(
                            change.getEndpoint().getId())).setMode(change.getMode().name()));
        } else if (operation instanceof NewTerm) {
            builder.setNewTerm(NewTerm.getDefaultInstance());
        } else {
            throw new IllegalArgumentException("unsupported log entry: " + operation);
        }
        return builder.build();
    }

    static LogEntry entry(RaftEntry stored) {
        Object operation = switch (stored.getWhatCase()) {
            case COMMAND -> stored.getCommand();
            case MEMBERS -> MODEL.createUpdateRaftGroupMembersOpBuilder()
                    .setMembers(endpoints(stored.getMembers().getMembersList()))
                    .setVotingMembers(endpoints(stored.getMembers().getVotingList()))
                    .setEndpoint(new RaftMemberId(stored.getMembers().getEndpoint()))
                    .setMode(MembershipChangeMode.valueOf(stored.getMembers().getMode())).build();
            default -> NewTerm.getDefaultInstance();
        };
        return MODEL.createLogEntryBuilder().setIndex(stored.getIndex()).setTerm(stored.getTerm())
                .setOperation(operation).build();
    }

    static RaftChunk chunk(SnapshotChunk chunk) {
        return RaftChunk.newBuilder().setIndex(chunk.getIndex()).setTerm(chunk.getTerm())
                .setRules((RulesSnapshot) chunk.getOperation()).setChunk(chunk.getSnapshotChunkIndex())
                .setChunks(chunk.getSnapshotChunkCount()).setMembers(members(chunk.getGroupMembersView()))
                .build();
    }

    static SnapshotChunk chunk(RaftChunk stored) {
        return MODEL.createSnapshotChunkBuilder().setIndex(stored.getIndex()).setTerm(stored.getTerm())
                .setOperation(stored.getRules()).setSnapshotChunkIndex(stored.getChunk())
                .setSnapshotChunkCount(stored.getChunks()).setGroupMembersView(members(stored.getMembers()))
                .build();
    }

    // ---- messages

    static RaftFrame frame(RaftMessage message) {
        RaftFrame.Builder builder = RaftFrame.newBuilder().setGroup(String.valueOf(message.getGroupId()))
                .setSender(String.valueOf(message.getSender().getId())).setTerm(message.getTerm());
        if (message instanceof AppendEntriesRequest m) {
            builder.setAppend(Append.newBuilder().setPreviousTerm(m.getPreviousLogTerm())
                    .setPreviousIndex(m.getPreviousLogIndex()).setCommitIndex(m.getCommitIndex())
                    .addAllEntries(m.getLogEntries().stream().map(RaftCodec::entry).toList())
                    .setQuery(m.getQuerySequenceNumber()).setFlow(m.getFlowControlSequenceNumber()));
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            builder.setAppended(Appended.newBuilder().setLastIndex(m.getLastLogIndex())
                    .setQuery(m.getQuerySequenceNumber()).setFlow(m.getFlowControlSequenceNumber()));
        } else if (message instanceof AppendEntriesFailureResponse m) {
            builder.setAppendFailed(AppendFailed.newBuilder().setExpectedIndex(m.getExpectedNextIndex())
                    .setQuery(m.getQuerySequenceNumber()).setFlow(m.getFlowControlSequenceNumber()));
        } else if (message instanceof PreVoteRequest m) {
            builder.setPreVote(vote(m.getLastLogTerm(), m.getLastLogIndex(), false));
        } else if (message instanceof PreVoteResponse m) {
            builder.setPreVoted(Voted.newBuilder().setGranted(m.isGranted()));
        } else if (message instanceof VoteRequest m) {
            builder.setVote(vote(m.getLastLogTerm(), m.getLastLogIndex(), m.isSticky()));
        } else if (message instanceof VoteResponse m) {
            builder.setVoted(Voted.newBuilder().setGranted(m.isGranted()));
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            builder.setTrigger(vote(m.getLastLogTerm(), m.getLastLogIndex(), false));
        } else if (message instanceof InstallSnapshotRequest m) {
            builder.setInstall(install(m));
        } else if (message instanceof InstallSnapshotResponse m) {
            builder.setInstalled(Installed.newBuilder().setSnapshotIndex(m.getSnapshotIndex())
                    .setChunk(m.getRequestedSnapshotChunkIndex()).setQuery(m.getQuerySequenceNumber())
                    .setFlow(m.getFlowControlSequenceNumber()));
        } else {
            throw new IllegalArgumentException("unsupported Raft message: " + message);
        }
        return builder.build();
    }

    private static Vote vote(int lastTerm, long lastIndex, boolean sticky) {
        return Vote.newBuilder().setLastTerm(lastTerm).setLastIndex(lastIndex).setSticky(sticky).build();
    }

    private static Install install(InstallSnapshotRequest m) {
        Install.Builder builder = Install.newBuilder().setLeader(m.isSenderLeader())
                .setSnapshotTerm(m.getSnapshotTerm()).setSnapshotIndex(m.getSnapshotIndex())
                .setChunks(m.getTotalSnapshotChunkCount()).addAllSnapshotted(ids(m.getSnapshottedMembers()))
                .setMembers(members(m.getGroupMembersView())).setQuery(m.getQuerySequenceNumber())
                .setFlow(m.getFlowControlSequenceNumber());
        if (m.getSnapshotChunk() != null) {
            builder.setChunk(chunk(m.getSnapshotChunk()));
        }
        return builder.build();
    }

    /** Decodes a message; throws IllegalArgumentException for one that this version doesn't know. */
    static RaftMessage message(RaftFrame frame) {
        RaftMemberId sender = new RaftMemberId(frame.getSender());
        String group = frame.getGroup();
        int term = frame.getTerm();
        return switch (frame.getWhatCase()) {
            case APPEND -> MODEL.createAppendEntriesRequestBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setPreviousLogTerm(frame.getAppend().getPreviousTerm())
                    .setPreviousLogIndex(frame.getAppend().getPreviousIndex())
                    .setCommitIndex(frame.getAppend().getCommitIndex())
                    .setLogEntries(frame.getAppend().getEntriesList().stream().map(RaftCodec::entry).toList())
                    .setQuerySequenceNumber(frame.getAppend().getQuery())
                    .setFlowControlSequenceNumber(frame.getAppend().getFlow()).build();
            case APPENDED -> MODEL.createAppendEntriesSuccessResponseBuilder().setGroupId(group)
                    .setSender(sender).setTerm(term).setLastLogIndex(frame.getAppended().getLastIndex())
                    .setQuerySequenceNumber(frame.getAppended().getQuery())
                    .setFlowControlSequenceNumber(frame.getAppended().getFlow()).build();
            case APPEND_FAILED -> MODEL.createAppendEntriesFailureResponseBuilder().setGroupId(group)
                    .setSender(sender).setTerm(term)
                    .setExpectedNextIndex(frame.getAppendFailed().getExpectedIndex())
                    .setQuerySequenceNumber(frame.getAppendFailed().getQuery())
                    .setFlowControlSequenceNumber(frame.getAppendFailed().getFlow()).build();
            case PRE_VOTE -> MODEL.createPreVoteRequestBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setLastLogTerm(frame.getPreVote().getLastTerm())
                    .setLastLogIndex(frame.getPreVote().getLastIndex()).build();
            case PRE_VOTED -> MODEL.createPreVoteResponseBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setGranted(frame.getPreVoted().getGranted()).build();
            case VOTE -> MODEL.createVoteRequestBuilder().setGroupId(group).setSender(sender).setTerm(term)
                    .setLastLogTerm(frame.getVote().getLastTerm())
                    .setLastLogIndex(frame.getVote().getLastIndex())
                    .setSticky(frame.getVote().getSticky()).build();
            case VOTED -> MODEL.createVoteResponseBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setGranted(frame.getVoted().getGranted()).build();
            case TRIGGER -> MODEL.createTriggerLeaderElectionRequestBuilder().setGroupId(group)
                    .setSender(sender).setTerm(term).setLastLogTerm(frame.getTrigger().getLastTerm())
                    .setLastLogIndex(frame.getTrigger().getLastIndex()).build();
            case INSTALL -> MODEL.createInstallSnapshotRequestBuilder().setGroupId(group).setSender(sender)
                    .setTerm(term).setSenderLeader(frame.getInstall().getLeader())
                    .setSnapshotTerm(frame.getInstall().getSnapshotTerm())
                    .setSnapshotIndex(frame.getInstall().getSnapshotIndex())
                    .setTotalSnapshotChunkCount(frame.getInstall().getChunks())
                    .setSnapshotChunk(frame.getInstall().hasChunk() ? chunk(frame.getInstall().getChunk())
                            : null)
                    .setSnapshottedMembers(endpoints(frame.getInstall().getSnapshottedList()))
                    .setGroupMembersView(members(frame.getInstall().getMembers()))
                    .setQuerySequenceNumber(frame.getInstall().getQuery())
                    .setFlowControlSequenceNumber(frame.getInstall().getFlow()).build();
            case INSTALLED -> MODEL.createInstallSnapshotResponseBuilder().setGroupId(group)
                    .setSender(sender).setTerm(term).setSnapshotIndex(frame.getInstalled().getSnapshotIndex())
                    .setRequestedSnapshotChunkIndex(frame.getInstalled().getChunk())
                    .setQuerySequenceNumber(frame.getInstalled().getQuery())
                    .setFlowControlSequenceNumber(frame.getInstalled().getFlow()).build();
            default -> throw new IllegalArgumentException("unknown Raft message, sent by a newer version");
        };
    }
}
