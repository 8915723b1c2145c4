package yewdock.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.report.RaftGroupMembers;
import io.microraft.report.RaftNodeReport;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import yewdock.rules.RuleStateMachine;
import yewdock.wire.NewTerm;
import yewdock.wire.RaftFrame;
import yewdock.wire.RuleCommand;
import yewdock.wire.RuleOutcome;
import yewdock.wire.RulesSnapshot;

/**
 * A voting member: the MicroRaft library run on this program's scheduler, clock, storage and transport. All
 * calls are on the scheduler's thread. Times are microseconds of the scheduler's clock.
 */
final class RaftMember {
    /** The library's timeouts are whole seconds; its clock runs this many times faster to shorten them. */
    static final int CLOCK_SPEEDUP = 4;
    private static final int HEARTBEAT_SECONDS = 1;
    private static final int HEARTBEAT_TIMEOUT_SECONDS = 4;
    private static final int ELECTION_TIMEOUT_MILLIS = 1_000;
    private static final int COMMITS_PER_SNAPSHOT = 1_000;
    private static final int MAX_PENDING_ENTRIES = 500;
    private static final int MAX_BATCH_ENTRIES = 200;
    private static final int REPORT_PERIOD_SECONDS = 3_600;
    /** How long a member may be without a leader before it is restarted. */
    private static final long STUCK_MICROS = 5_000_000;
    private static final Object CONFIRM_QUERY = new Object();

    private final TaskScheduler scheduler;
    private final RuleStateMachine rules = new RuleStateMachine();
    private final MemberListener listener;
    private final DurableRaftStore raftStore;
    private final RaftNode node;
    private final String group;
    private final List<String> founders;
    private boolean isLeader;
    private long lastLeaderContact;

    /** Callbacks of a member. */
    interface MemberListener {
        /** The member has become the leader, or is the leader no more. */
        void leadershipChanged(boolean leading);

        /** A command was committed and applied to the rules. */
        void committed(RuleCommand command);

        /** The rules have changed; called after the library's own task has ended. */
        void rulesChanged();
    }

    /**
     * Starts a member.
     *
     * @param self the identity of this member
     * @param founders the initial members of the group; ignored if the disk has stored state
     * @param seed seed for the library's random values
     * @param send sends a frame to the named instance
     * @param reachable whether the named instance is reachable
     */
    RaftMember(TaskScheduler scheduler, String cluster, RaftMemberId self, List<String> founders,
            DurableRaftStore raftStore,
            long seed, MemberListener listener, FrameSender send, Predicate<String> reachable) {
        this.scheduler = scheduler;
        this.raftStore = raftStore;
        this.listener = listener;
        this.founders = raftStore.restoredState() == null ? founders
                : raftStore.restoredState().getInitialGroupMembers().getMembers().stream()
                        .map(e -> String.valueOf(e.getId())).sorted().toList();
        this.group = cluster + "/" + String.join(",", this.founders);
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(group)
                .setConfig(RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(HEARTBEAT_SECONDS)
                        .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_SECONDS)
                        .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MILLIS)
                        .setCommitCountToTakeSnapshot(COMMITS_PER_SNAPSHOT)
                        .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
                        .setAppendEntriesRequestBatchSize(MAX_BATCH_ENTRIES)
                        .setRaftNodeReportPublishPeriodSecs(REPORT_PERIOD_SECONDS).build())
                .setExecutor(new SchedulerExecutor()).setTransport(new FrameTransport(send, reachable))
                .setStore(raftStore).setStateMachine(new RulesApplier()).setModelFactory(RaftCodec.MODEL)
                .setRandom(new Random(seed)).setClock(new SpedUpClock())
                .setRaftNodeReportListener(this::onReport);
        if (raftStore.restoredState() != null) {
            builder.setRestoredState(raftStore.restoredState());
        } else {
            builder.setLocalEndpoint(self).setInitialGroupMembers(RaftCodec.endpoints(founders));
        }
        lastLeaderContact = scheduler.nowMicros();
        node = builder.build();
        node.start();
    }

    /** Sends frames to other instances. */
    interface FrameSender {
        void send(String instance, RaftFrame frame);
    }

    private void onReport(RaftNodeReport report) {
        boolean leader = report.getRole() == RaftRole.LEADER;
        if (leader != isLeader) {
            isLeader = leader;
            listener.leadershipChanged(leader);
        }
    }

    /** The name of the Raft group: the installation's name and the founding members. */
    String group() {
        return group;
    }

    /** The members with which the group was founded. */
    List<String> founders() {
        return founders;
    }

    /** The rules up to the last command that this member knows to be committed. */
    RuleStateMachine rules() {
        return rules;
    }

    /** Whether this member is the leader and its disk works. */
    boolean isLeader() {
        return isLeader && !raftStore.failed();
    }

    /** The name of the leading instance as far as this member knows; null if none is known. */
    String leader() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader == null ? null : ((RaftMemberId) leader).instance();
    }

    /**
     * Whether this member has had no leader for so long that it should have called many elections. The
     * library stops calling them if a leader appears during an election and then falls silent. A member that
     * is restarted from its disk calls elections again.
     */
    boolean isStuck() {
        return !isLeader && scheduler.nowMicros() - lastLeaderContact >= STUCK_MICROS;
    }

    /**
     * Handles a frame from another member; returns false for a frame of another Raft group. Responses of an
     * earlier term are dropped: the library's leader restarts its query round numbers in each term, so a late
     * response to a round of an earlier term could count as a confirmation that it leads now.
     */
    boolean receive(RaftFrame frame) {
        if (!frame.getGroup().equals(group)) {
            return false;
        }
        if (frame.hasAppend() || frame.hasInstall()) {
            lastLeaderContact = scheduler.nowMicros();
        }
        if (!raftStore.failed() && !isOutdatedResponse(frame, node.getTerm().getTerm())) {
            node.handle(RaftCodec.message(frame));
        }
        return true;
    }

    /** Whether the frame is a response of an earlier term than this one. */
    static boolean isOutdatedResponse(RaftFrame frame, int term) {
        boolean response = frame.hasAppended() || frame.hasAppendFailed() || frame.hasInstalled()
                || frame.hasVoted();
        return response && frame.getTerm() < term;
    }

    /** Appends a command to the log; completes with its outcome once it is committed and applied. */
    CompletableFuture<Ordered<RuleOutcome>> replicate(RuleCommand command) {
        return node.replicate(command);
    }

    /** Completes once a majority has confirmed, by messages sent after this call, that this member leads. */
    CompletableFuture<Ordered<Object>> confirmLeadership() {
        return node.query(CONFIRM_QUERY, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty());
    }

    /** The ids of all members, and whether each one votes. */
    Map<String, Boolean> membersById() {
        RaftGroupMembers members = node.getCommittedMembers();
        return members.getMembers().stream().collect(Collectors.toMap(e -> String.valueOf(e.getId()),
                e -> members.getVotingMembers().contains(e)));
    }

    /** Adds, promotes or removes a member. */
    CompletableFuture<Ordered<RaftGroupMembers>> changeMembership(String endpoint,
            MembershipChangeMode mode) {
        return node.changeMembership(new RaftMemberId(endpoint), mode,
                node.getCommittedMembers().getLogIndex());
    }

    /** Stops the member. */
    void close() {
        // terminating writes once more, which fails on a broken disk; nothing runs then anyway
        if (!raftStore.failed()) {
            node.terminate();
        }
    }

    /** Runs the library's tasks on the scheduler, with delays shortened by {@link #CLOCK_SPEEDUP}. */
    private final class SchedulerExecutor implements RaftNodeExecutor {
        @Override
        public void execute(Runnable task) {
            scheduler.schedule(0, guarded(task));
        }

        @Override
        public void submit(Runnable task) {
            scheduler.schedule(0, guarded(task));
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            scheduler.schedule(unit.toMicros(delay) / CLOCK_SPEEDUP, guarded(task));
        }

        /**
         * Runs nothing more once a write has failed. The library itself would go on with what it has in
         * memory, answer for it, and count itself towards the majority that stores it.
         */
        private Runnable guarded(Runnable task) {
            return () -> {
                if (!raftStore.failed()) {
                    task.run();
                }
            };
        }
    }

    /** The scheduler's clock sped up by {@link #CLOCK_SPEEDUP}. */
    private final class SpedUpClock extends Clock {
        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }

        @Override
        public long millis() {
            return scheduler.nowMicros() / 1000 * CLOCK_SPEEDUP;
        }
    }

    /** Sends the library's messages as frames; sends nothing once the disk is broken. */
    private final class FrameTransport implements Transport {
        private final FrameSender sender;
        private final Predicate<String> reachable;

        FrameTransport(FrameSender sender, Predicate<String> reachable) {
            this.sender = sender;
            this.reachable = reachable;
        }

        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            if (raftStore.failed()) {
                return;
            }
            sender.send(((RaftMemberId) target).instance(), RaftCodec.frame(message));
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return reachable.test(((RaftMemberId) endpoint).instance());
        }
    }

    /** Applies committed commands to the rules. */
    private final class RulesApplier implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (!(operation instanceof RuleCommand command)) {
                return null;
            }
            RuleOutcome outcome = rules.apply(command);
            listener.committed(command);
            scheduler.schedule(0, listener::rulesChanged);
            return outcome;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            chunks.accept(rules.snapshot());
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            rules.install((RulesSnapshot) chunks.get(0));
            scheduler.schedule(0, listener::rulesChanged);
        }

        @Override
        public Object getNewTermOperation() {
            return NewTerm.getDefaultInstance();
        }
    }

    /** The member id, among these, that belongs to the instance; null if there is none. */
    static String idOf(Collection<String> ids, String instance) {
        return ids.stream().filter(id -> new RaftMemberId(id).instance().equals(instance)).findFirst()
                .orElse(null);
    }
}
