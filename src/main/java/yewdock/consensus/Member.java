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
 * A voting instance: Raft from a library, with loop, clock, disk and transport of ours. All on the loop's
 * thread.
 */
final class Member {
    /** The library's shortest times are seconds; its clock runs so much faster than ours. */
    static final int SPEED = 4;
    private static final int HEARTBEAT_SECONDS = 1;
    private static final int SILENT_SECONDS = 4;
    private static final int ELECTION_MILLIS = 1_000;
    private static final int SNAPSHOT_EVERY = 1_000;
    private static final int MOST_PENDING = 500;
    private static final int BATCH = 200;
    private static final int REPORT_SECONDS = 3_600;
    private static final long STUCK = 5_000_000;
    private static final Object CONFIRM = new Object();

    private final TaskScheduler loop;
    private final RuleStateMachine rules = new RuleStateMachine();
    private final Hearer hearer;
    private final DurableRaftStore disk;
    private final RaftNode node;
    private final String group;
    private final List<String> founders;
    private boolean leading;
    private long ledAt;

    /** What a member tells its instance. */
    interface Hearer {
        /** It leads from now on, or no more. */
        void leads(boolean yes);

        /** A command is agreed, and has been taken by the rules. */
        void agreed(RuleCommand command);

        /** The rules have moved on. */
        void stepped();
    }

    /**
     * Starts a member.
     *
     * @param self this member
     * @param founders those that the council began with; empty if the disk remembers
     * @param send sends a frame to the instance of this name
     * @param up whether the instance of this name can be reached
     */
    Member(TaskScheduler loop, String cluster, Endpoint self, List<String> founders, DurableRaftStore disk,
            long seed,
            Hearer hearer, Sender send, Predicate<String> up) {
        this.loop = loop;
        this.disk = disk;
        this.hearer = hearer;
        this.founders = disk.restored() == null ? founders
                : disk.restored().getInitialGroupMembers().getMembers().stream()
                        .map(e -> String.valueOf(e.getId())).sorted().toList();
        this.group = cluster + "/" + String.join(",", this.founders);
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(group)
                .setConfig(RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(HEARTBEAT_SECONDS)
                        .setLeaderHeartbeatTimeoutSecs(SILENT_SECONDS)
                        .setLeaderElectionTimeoutMillis(ELECTION_MILLIS)
                        .setCommitCountToTakeSnapshot(SNAPSHOT_EVERY).setMaxPendingLogEntryCount(MOST_PENDING)
                        .setAppendEntriesRequestBatchSize(BATCH)
                        .setRaftNodeReportPublishPeriodSecs(REPORT_SECONDS).build())
                .setExecutor(new OnLoop()).setTransport(new Over(send, up)).setStore(disk)
                .setStateMachine(new Machine()).setModelFactory(RaftCodec.MODEL).setRandom(new Random(seed))
                .setClock(new Faster()).setRaftNodeReportListener(this::report);
        if (disk.restored() != null) {
            builder.setRestoredState(disk.restored());
        } else {
            builder.setLocalEndpoint(self).setInitialGroupMembers(RaftCodec.endpoints(founders));
        }
        ledAt = loop.nowMicros();
        node = builder.build();
        node.start();
    }

    /** Sends frames to instances. */
    interface Sender {
        void send(String instance, RaftFrame frame);
    }

    private void report(RaftNodeReport report) {
        boolean now = report.getRole() == RaftRole.LEADER;
        if (now != leading) {
            leading = now;
            hearer.leads(now);
        }
    }

    /** The council's name: the installation's, and who founded it. */
    String group() {
        return group;
    }

    List<String> founders() {
        return founders;
    }

    /** The rules as agreed, to the last command that this member knows to be. */
    RuleStateMachine rules() {
        return rules;
    }

    boolean leading() {
        return leading && !disk.broken();
    }

    /** The instance that leads, as far as this member knows; null for none. */
    String leader() {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        return leader == null ? null : ((Endpoint) leader).name();
    }

    /**
     * Whether nobody has led it for so long that it should have asked for votes many times. The library
     * forgets to, once a leader came up while it asked and then fell silent: begun anew from its disk, it
     * asks.
     */
    boolean stuck() {
        return !leading && loop.nowMicros() - ledAt >= STUCK;
    }

    /**
     * What another member sends; of another council it is not taken. An answer of an earlier term is not
     * for the library: its leader numbers its rounds anew in each term, and would take a late answer to a
     * round of the same number, of an earlier time that it led, for a vote that it leads now.
     */
    boolean heard(RaftFrame frame) {
        if (!frame.getGroup().equals(group)) {
            return false;
        }
        if (frame.hasAppend() || frame.hasInstall()) {
            ledAt = loop.nowMicros();
        }
        if (!disk.broken() && !outdated(frame, node.getTerm().getTerm())) {
            node.handle(RaftCodec.message(frame));
        }
        return true;
    }

    static boolean outdated(RaftFrame frame, int term) {
        boolean answers = frame.hasAppended() || frame.hasAppendFailed() || frame.hasInstalled()
                || frame.hasVoted();
        return answers && frame.getTerm() < term;
    }

    CompletableFuture<Ordered<RuleOutcome>> replicate(RuleCommand command) {
        return node.replicate(command);
    }

    /** Done once a majority has confirmed, by messages sent after this call, that this member leads. */
    CompletableFuture<Ordered<Object>> confirm() {
        return node.query(CONFIRM, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty());
    }

    /** The members by their endpoints, and whether they vote. */
    Map<String, Boolean> members() {
        RaftGroupMembers members = node.getCommittedMembers();
        return members.getMembers().stream().collect(Collectors.toMap(e -> String.valueOf(e.getId()),
                e -> members.getVotingMembers().contains(e)));
    }

    CompletableFuture<Ordered<RaftGroupMembers>> change(String endpoint, MembershipChangeMode mode) {
        return node.changeMembership(new Endpoint(endpoint), mode, node.getCommittedMembers().getLogIndex());
    }

    void close() {
        // one whose disk has failed would want to write once more, and does nothing anyway
        if (!disk.broken()) {
            node.terminate();
        }
    }

    /** The library's tasks, on our loop and with its clock's seconds made shorter. */
    private final class OnLoop implements RaftNodeExecutor {
        @Override
        public void execute(Runnable task) {
            loop.schedule(0, guarded(task));
        }

        @Override
        public void submit(Runnable task) {
            loop.schedule(0, guarded(task));
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            loop.schedule(unit.toMicros(delay) / SPEED, guarded(task));
        }

        /**
         * Once a write has failed the library goes on with what it has in memory, answers for it and counts
         * itself among those who have it: against that nothing of it runs any more.
         */
        private Runnable guarded(Runnable task) {
            return () -> {
                if (!disk.broken()) {
                    task.run();
                }
            };
        }
    }

    private final class Faster extends Clock {
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
            return loop.nowMicros() / 1000 * SPEED;
        }
    }

    private final class Over implements Transport {
        private final Sender sender;
        private final Predicate<String> up;

        Over(Sender sender, Predicate<String> up) {
            this.sender = sender;
            this.up = up;
        }

        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            if (disk.broken()) {
                return;
            }
            sender.send(((Endpoint) target).name(), RaftCodec.frame(message));
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return up.test(((Endpoint) endpoint).name());
        }
    }

    private final class Machine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (!(operation instanceof RuleCommand command)) {
                return null;
            }
            RuleOutcome outcome = rules.apply(command);
            hearer.agreed(command);
            loop.schedule(0, hearer::stepped);
            return outcome;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            chunks.accept(rules.snapshot());
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            rules.install((RulesSnapshot) chunks.get(0));
            loop.schedule(0, hearer::stepped);
        }

        @Override
        public Object getNewTermOperation() {
            return NewTerm.getDefaultInstance();
        }
    }

    /** Of these endpoints, the one of this instance; null for none. */
    static String of(Collection<String> endpoints, String name) {
        return endpoints.stream().filter(e -> new Endpoint(e).name().equals(name)).findFirst().orElse(null);
    }
}
