package yewdock.consensus;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.MembershipChangeMode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import yewdock.lease.Lease;
import yewdock.lease.LeaseGrantor;
import yewdock.lease.LeaseTiming;
import yewdock.rules.ChangeRejection;
import yewdock.rules.RuleStateMachine;
import yewdock.rules.RulesView;
import yewdock.wire.CouncilFrame;
import yewdock.wire.Feed;
import yewdock.wire.Founding;
import yewdock.wire.Granted;
import yewdock.wire.Proposal;
import yewdock.wire.Proposed;
import yewdock.wire.Renew;
import yewdock.wire.RuleChange;
import yewdock.wire.RuleCommand;
import yewdock.wire.RuleOutcome;

/**
 * Takes part in consensus on the rules for one router instance. It keeps a copy of the committed rules and
 * the lease that allows this router to act on them; a voting member also votes on changes and, while it is
 * the leader, grants leases. Everything runs on the scheduler's thread, and routing a request never waits
 * for any of it. Times are microseconds of the scheduler's clock.
 */
public final class ConsensusNode {
    private static final long SECOND_MICROS = 1_000_000;
    private static final long ROUND_TIMEOUT_MICROS = SECOND_MICROS;
    private static final long PROPOSAL_TIMEOUT_MICROS = 2 * SECOND_MICROS;
    private static final long FORCE_RETRY_MICROS = SECOND_MICROS;
    /** After this many unanswered lease requests in a row, another member is asked who the leader is. */
    private static final int MAX_UNANSWERED_RENEWALS = 2;
    private static final long ANNOUNCEMENT_TTL_MICROS = 2 * SECOND_MICROS;

    /**
     * The instances that take part.
     *
     * @param cluster the name of the installation
     * @param self the name of this instance
     * @param members the names of the voting instances; sorted by the constructor
     * @param lease how long leases last
     */
    public record ConsensusConfig(String cluster, String self, List<String> members, LeaseTiming lease) {
        public ConsensusConfig {
            members = members.stream().sorted().toList();
        }
    }

    /** What the consensus code needs from the router instance that it runs in. */
    public interface ConsensusHost {
        /** Sends a frame to another instance without blocking; dropped if it can't be reached. */
        void send(String instance, CouncilFrame frame);

        /** Whether there is a connection to the instance. */
        boolean isReachable(String instance);

        /**
         * Applies this view of the rules from now on. The implementation calls
         * {@link ConsensusNode#rulesApplied} once every part of this instance does.
         */
        void applyRules(RulesView view);

        /** The lease is valid until this time, in microseconds of the scheduler's clock. */
        void leaseExtended(long until);

        /** Another router uses a newer version of the endpoint list than this one has reported. */
        void endpointListOutdated(long newest);

        /** Logs an event for operators; the fields are alternating names and values. */
        void logEvent(String event, Object... fields);
    }

    private final ConsensusConfig config;
    private final TaskScheduler scheduler;
    private final ConsensusHost host;
    private DurableRaftStore raftStore;
    private final RaftMemberId selfId;
    /** Drawn at random at each start; distinguishes this process from earlier ones of the same instance. */
    private final long incarnation;
    private final RuleStateMachine localRules = new RuleStateMachine();
    private final Lease lease;
    private final LeaseGrantor leaseGrantor;
    private final CommandBacklog backlog = new CommandBacklog();
    private final EndpointListTracker listTracker = new EndpointListTracker();
    /** The step that each router has reported, or has been sent since. */
    private final Map<String, Long> routerSteps = new HashMap<>();
    /** When forcing a change was last attempted, by the change's id (microseconds). */
    private final Map<String, Long> forceSentAt = new HashMap<>();
    private final Map<Long, PendingProposal> pendingProposals = new HashMap<>();
    private final Map<String, MemberAnnouncement> announcements = new TreeMap<>();
    /** Instances that have sent messages of another Raft group; each is logged once. */
    private final TreeSet<String> foreignInstances = new TreeSet<>();
    private RaftMember member;
    private String leader;
    private int nextMemberIndex;
    private int unansweredRenewals;
    private long appliedStep;
    private long appliedChain;
    private long roundNumber;
    private boolean roundInProgress;
    private long roundDeadline;
    private long lastProposalNumber;
    private boolean membershipChangePending;
    /** The endpoint list in use: where it comes from, and its version; -1 for none. */
    private String listAddress = "";
    private long listVersion = -1;
    /** The last version passed to {@link ConsensusHost#endpointListOutdated}. */
    private long reportedListVersion = -1;
    private boolean closed;

    /** A member's announcement that its disk holds no Raft state, and when it was heard (microseconds). */
    private record MemberAnnouncement(String endpoint, long at) {
    }

    /** A proposal that has not been answered yet; the deadline is in microseconds. */
    private record PendingProposal(RuleChange change, Consumer<Proposed> callback, long deadline) {
    }

    /**
     * Starts taking part.
     *
     * @param raftStore where a voting member keeps its log; null for an instance that doesn't vote
     * @param seed seed for random values; has to differ at each start
     * @throws IOException if the disk can't be read or written
     */
    public ConsensusNode(ConsensusConfig config, TaskScheduler scheduler, ConsensusHost host,
            DurableRaftStore raftStore, long seed) throws IOException {
        this.config = config;
        this.scheduler = scheduler;
        this.host = host;
        this.raftStore = raftStore;
        this.incarnation = seed;
        this.lease = new Lease(config.lease());
        this.leaseGrantor = new LeaseGrantor(config.lease());
        this.selfId = raftStore == null ? null : RaftMemberId.of(config.self(),
                raftStore.diskNumber(Long.toHexString(seed)));
        if (raftStore != null && raftStore.restoredState() != null) {
            startMember(List.of());
        }
        tick();
    }

    /** Stops; sends and receives nothing from now on. */
    public void close() {
        closed = true;
        if (member != null) {
            member.close();
        }
        if (raftStore != null) {
            raftStore.close();
        }
    }

    // ---- periodic work

    private void tick() {
        if (closed) {
            return;
        }
        renewLease();
        announcements.values().removeIf(announcement ->
                scheduler.nowMicros() - announcement.at >= ANNOUNCEMENT_TTL_MICROS);
        if (raftStore != null && raftStore.failed()) {
            restartMember("agreement.disk_failed");
        } else if (member != null && member.isStuck()) {
            restartMember("agreement.nobody_leads");
        } else if (raftStore != null && !isVotingMember()) {
            announce();
        }
        if (member != null) {
            forceReadyChanges();
            reconcileMembership();
        }
        long now = scheduler.nowMicros();
        List<Long> expired = new ArrayList<>();
        pendingProposals.forEach((number, proposal) -> {
            if (now >= proposal.deadline) {
                expired.add(number);
            }
        });
        expired.forEach(number -> completeProposal(Proposed.newBuilder().setNumber(number)
                .setNobody("no leader answered in time").build()));
        scheduler.schedule(config.lease().renewalIntervalMicros(), this::tick);
    }

    /** Restarts the Raft member from what is on its disk; retried with each tick while the disk fails. */
    private void restartMember(String event) {
        if (member != null) {
            host.logEvent(event, "now", "restarting this member from its disk");
            leaseGrantor.stepDown();
            member = null;
            membershipChangePending = false;
        }
        try {
            raftStore = raftStore.reopen();
            if (raftStore.restoredState() != null) {
                startMember(List.of());
            }
        } catch (IOException e) {
            // retried with the next tick
        }
    }

    // ---- every router: the local rules and the lease

    /** The rules as known here; may be behind the committed ones. */
    public RuleStateMachine localRules() {
        return localRules;
    }

    /** The rules up to the last command that this member knows to be committed; null if it doesn't vote. */
    public RuleStateMachine committedRules() {
        return member == null ? null : member.rules();
    }

    /** Whether the lease is valid, so that this router may act on its rules now. */
    public boolean holdsLease() {
        return lease.isValid(scheduler.nowMicros());
    }

    /** The name of the leader as far as known here; null if none is known. */
    public String leader() {
        return leader;
    }

    /** Whether this instance is the leader. */
    public boolean isLeader() {
        return member != null && member.isLeader();
    }

    /** Whether this instance is a voting member, as far as it knows. */
    public boolean isVotingMember() {
        return member != null && Boolean.TRUE.equals(member.membersById().get(selfId.id()));
    }

    /** Reports that all of this instance applies the rules as of this step, or a later one. */
    public void rulesApplied(long step, long chain) {
        if (step > appliedStep) {
            boolean wasCurrent = appliedStep >= localRules.lastPreparedStep();
            appliedStep = step;
            appliedChain = chain;
            if (!wasCurrent && appliedStep >= localRules.lastPreparedStep()) {
                // a change that waits for this router should not wait for the next regular renewal
                renewLease();
            }
        }
    }

    /** Reports which endpoint list this instance uses from now on. */
    public void endpointListInUse(String address, long version) {
        listAddress = address;
        listVersion = version;
    }

    private void renewLease() {
        Renew.Builder request = Renew.newBuilder().setNumber(lease.beginRenewal(scheduler.nowMicros()))
                .setStep(appliedStep)
                .setChain(appliedChain).setIncarnation(incarnation).setListAddress(listAddress)
                .setListVersion(listVersion);
        if (++unansweredRenewals > MAX_UNANSWERED_RENEWALS) {
            // the last known leader may hang; without this no other member would be asked
            leader = null;
        }
        String to = leaderOrNextMember();
        if (to != null) {
            send(to, CouncilFrame.newBuilder().setRenew(request).build());
        }
    }

    /** The leader if known and reachable, else the reachable members in turn; null if there is none. */
    private String leaderOrNextMember() {
        if (member != null) {
            leader = member.leader();
        }
        if (leader != null && (leader.equals(config.self()) || host.isReachable(leader))) {
            return leader;
        }
        leader = null;
        for (int i = 0; i < config.members().size(); i++) {
            String candidate = config.members().get(nextMemberIndex++ % config.members().size());
            if (!candidate.equals(config.self()) && host.isReachable(candidate)) {
                return candidate;
            }
        }
        return null;
    }

    private void send(String to, CouncilFrame frame) {
        if (to.equals(config.self())) {
            scheduler.schedule(0, () -> receive(to, frame));
        } else {
            host.send(to, frame);
        }
    }

    private void receiveFeed(String from, Feed feed) {
        if (!feed.getLeader().isEmpty() && member == null) {
            leader = feed.getLeader();
            unansweredRenewals = 0;
        }
        long previousStep = localRules.step();
        if (feed.hasSnapshot()) {
            if (feed.getSnapshot().getStep() > localRules.step()
                    || feed.getSnapshot().getStep() == localRules.step()
                    && feed.getSnapshot().getChain() != localRules.chain()) {
                localRules.install(feed.getSnapshot());
                previousStep = -1;
            }
        } else if (feed.getAfter() <= localRules.step()) {
            int known = (int) Math.min(feed.getCommandsCount(), localRules.step() - feed.getAfter());
            for (ByteString bytes : feed.getCommandsList().subList(known, feed.getCommandsCount())) {
                try {
                    localRules.apply(RuleStateMachine.parseCommand(bytes.toByteArray()));
                } catch (InvalidProtocolBufferException e) {
                    host.logEvent("agreement.unreadable", "from", from, "why", e.getMessage());
                    return;
                }
            }
        }
        if (localRules.step() != previousStep) {
            host.applyRules(localRules.view());
        }
    }

    // ---- proposing changes

    /**
     * Proposes a change. The callback runs once, on the scheduler's thread, with the outcome of preparing
     * the change, or with the reason why no leader took it; the same change may then be proposed again.
     */
    public void propose(RuleChange change, Consumer<Proposed> callback) {
        ChangeRejection rejection = RuleStateMachine.validate(change);
        if (rejection != null) {
            callback.accept(Proposed.newBuilder().setOutcome(RuleOutcome.newBuilder().setId(change.getId())
                    .setRefusal(rejection.number())).build());
            return;
        }
        long number = ++lastProposalNumber;
        pendingProposals.put(number, new PendingProposal(change, callback, scheduler.nowMicros()
                + PROPOSAL_TIMEOUT_MICROS));
        String to = leaderOrNextMember();
        if (to == null) {
            completeProposal(Proposed.newBuilder().setNumber(number)
                    .setNobody("no voting member is reachable").build());
        } else {
            send(to, CouncilFrame.newBuilder().setProposal(Proposal.newBuilder().setNumber(number)
                    .setChange(change)).build());
        }
    }

    private void completeProposal(Proposed answer) {
        PendingProposal proposal = pendingProposals.remove(answer.getNumber());
        if (proposal != null) {
            proposal.callback.accept(answer);
        }
    }

    private void receiveProposal(String from, Proposal proposal) {
        Proposed.Builder answer = Proposed.newBuilder().setNumber(proposal.getNumber());
        if (!isLeader()) {
            send(from, CouncilFrame.newBuilder().setProposed(
                    answer.setNobody("the instance asked is not the leader")).build());
            return;
        }
        member.replicate(RuleCommand.newBuilder().setPrepare(proposal.getChange()).build())
                .whenComplete((done, failed) -> {
                    if (failed == null) {
                        answer.setOutcome(done.getResult());
                    } else {
                        answer.setNobody(String.valueOf(failed.getMessage()));
                    }
                    send(from, CouncilFrame.newBuilder().setProposed(answer).build());
                });
    }

    // ---- incoming frames

    /** Handles a frame from another instance. */
    public void receive(String from, CouncilFrame frame) {
        if (closed) {
            return;
        }
        switch (frame.getWhatCase()) {
            case RAFT -> {
                if (member != null && !member.receive(frame.getRaft()) && foreignInstances.add(from)) {
                    host.logEvent("agreement.other_council", "instance", from, "its",
                            frame.getRaft().getGroup(), "ours", member.group());
                }
            }
            case RENEW -> receiveRenewal(from, frame.getRenew());
            case GRANTED -> receiveGrant(frame.getGranted());
            case FEED -> receiveFeed(from, frame.getFeed());
            case PROPOSAL -> receiveProposal(from, frame.getProposal());
            case PROPOSED -> completeProposal(frame.getProposed());
            case FOUNDING -> receiveFounding(from, frame.getFounding());
            default -> {
                // sent by a newer version
            }
        }
    }

    private void receiveGrant(Granted grant) {
        if (grant.getIncarnation() == incarnation) {
            unansweredRenewals = 0;
            lease.granted(grant.getNumber());
            host.leaseExtended(lease.expiresAt());
            // once per version: a discovery service that restarted may never reach this version again
            if (grant.getListVersion() > listVersion && grant.getListVersion() != reportedListVersion
                    && listVersion >= 0) {
                reportedListVersion = grant.getListVersion();
                host.endpointListOutdated(grant.getListVersion());
            }
        }
    }

    // ---- the leader: leases and distribution of the rules

    private void receiveRenewal(String from, Renew request) {
        if (!isLeader()) {
            String known = member == null ? null : member.leader();
            if (known != null) {
                send(from, CouncilFrame.newBuilder().setFeed(Feed.newBuilder().setLeader(known)).build());
            }
            return;
        }
        routerSteps.put(from, request.getStep());
        listTracker.report(from, request.getListAddress(), request.getListVersion());
        if (!backlog.matches(request.getStep(), request.getChain())) {
            host.logEvent("agreement.diverged", "instance", from, "step", request.getStep());
            send(from, CouncilFrame.newBuilder().setFeed(CommandBacklog.snapshotFeed(member.rules())
                    .toBuilder().setLeader(config.self())).build());
            return;
        }
        sendFeed(from, request.getStep());
        leaseGrantor.request(new LeaseGrantor.LeaseRequest(from, request.getIncarnation(),
                request.getNumber(), request.getStep()));
        confirmLeadership();
    }

    /** Sends a router the commands after this step, if there are any. */
    private void sendFeed(String to, long step) {
        Feed feed = backlog.feedAfter(step, member.rules());
        if (feed != null) {
            send(to, CouncilFrame.newBuilder().setFeed(feed.toBuilder().setLeader(config.self())).build());
            routerSteps.put(to, member.rules().step());
        }
    }

    /** Runs one round of leadership confirmation at a time, for all lease requests that wait. */
    private void confirmLeadership() {
        if (roundInProgress) {
            if (scheduler.nowMicros() < roundDeadline) {
                return;
            }
            leaseGrantor.confirmationFailed();
        }
        roundInProgress = leaseGrantor.beginConfirmation();
        if (!roundInProgress) {
            return;
        }
        long round = ++roundNumber;
        roundDeadline = scheduler.nowMicros() + ROUND_TIMEOUT_MICROS;
        member.confirmLeadership().whenComplete((done, failed) -> {
            if (round != roundNumber) {
                return;
            }
            roundInProgress = false;
            if (failed != null) {
                leaseGrantor.confirmationFailed();
                return;
            }
            for (LeaseGrantor.LeaseRequest request : leaseGrantor.confirm(member.rules().lastPreparedStep(),
                    scheduler.nowMicros())) {
                send(request.router(), CouncilFrame.newBuilder().setGranted(Granted.newBuilder()
                        .setNumber(request.number()).setIncarnation(request.incarnation())
                        .setListVersion(listTracker.newestFor(request.router()))).build());
            }
            forceReadyChanges();
            confirmLeadership();
        });
    }

    /**
     * Forces the prepared changes that may take effect. Members that don't lead call it too, so that a new
     * leader knows since when each change has been pending.
     */
    private void forceReadyChanges() {
        long now = scheduler.nowMicros();
        forceSentAt.values().removeIf(at -> now - at >= FORCE_RETRY_MICROS);
        for (String id : leaseGrantor.changesToApply(member.rules().pendingChanges(), now)) {
            if (forceSentAt.putIfAbsent(id, now) == null) {
                RuleCommand force = RuleCommand.newBuilder().setForce(id).build();
                member.replicate(force).whenComplete((done, failed) -> {
                    if (failed != null) {
                        forceSentAt.remove(id);
                    }
                });
            }
        }
    }

    /** Sends each router that renews its lease here the commands that it hasn't been sent yet. */
    private void sendFeedToAll() {
        if (isLeader()) {
            new HashMap<>(routerSteps).forEach(this::sendFeed);
        }
    }

    // ---- membership

    private void startMember(List<String> founders) {
        RaftMember.MemberListener listener = new RaftMember.MemberListener() {
            @Override
            public void leadershipChanged(boolean leading) {
                routerSteps.clear();
                forceSentAt.clear();
                if (leading) {
                    leaseGrantor.becomeLeader(scheduler.nowMicros());
                } else {
                    leaseGrantor.stepDown();
                }
                host.logEvent(leading ? "agreement.leads" : "agreement.follows");
            }

            @Override
            public void committed(RuleCommand command) {
                backlog.add(command, member.rules());
            }

            @Override
            public void rulesChanged() {
                forceReadyChanges();
                sendFeedToAll();
            }
        };
        member = new RaftMember(scheduler, config.cluster(), selfId, founders, raftStore, incarnation,
                listener, (to, frame) -> send(to, CouncilFrame.newBuilder().setRaft(frame).build()),
                host::isReachable);
        host.logEvent("agreement.member", "council", member.group());
    }

    /**
     * Announces a member that doesn't vote yet. With an empty disk it doesn't know whether a Raft group
     * exists: it joins the one it hears of, and if all members are new, the first of them founds the group.
     */
    private void announce() {
        announcements.put(config.self(), new MemberAnnouncement(selfId.id(), scheduler.nowMicros()));
        for (String other : config.members()) {
            if (!other.equals(config.self())) {
                send(other, CouncilFrame.newBuilder().setFounding(Founding.newBuilder()
                        .setEndpoint(selfId.id())).build());
            }
        }
        if (member == null && announcements.keySet().containsAll(config.members())
                && config.members().get(0).equals(config.self())) {
            startMember(announcements.values().stream().map(MemberAnnouncement::endpoint).toList());
        }
    }

    private void receiveFounding(String from, Founding message) {
        if (raftStore == null || !config.members().contains(from)) {
            return;
        }
        if (message.getMembersCount() == 0) {
            announcements.put(from, new MemberAnnouncement(message.getEndpoint(), scheduler.nowMicros()));
            if (member != null) {
                send(from, CouncilFrame.newBuilder().setFounding(Founding.newBuilder()
                        .setEndpoint(selfId.id()).addAllMembers(member.founders())).build());
            }
        } else if (member == null) {
            startMember(message.getMembersList());
        }
    }

    /** Replaces a member that came back with an empty disk: it forgot its votes, so it joins as a new one. */
    private void reconcileMembership() {
        if (!isLeader() || membershipChangePending) {
            return;
        }
        Map<String, Boolean> members = member.membersById();
        for (Map.Entry<String, MemberAnnouncement> announced : announcements.entrySet()) {
            String endpoint = announced.getValue().endpoint;
            String current = RaftMember.idOf(members.keySet(), announced.getKey());
            if (current == null) {
                changeMembership(endpoint, MembershipChangeMode.ADD_LEARNER);
                return;
            } else if (!current.equals(endpoint)) {
                changeMembership(current, MembershipChangeMode.REMOVE_MEMBER);
                return;
            } else if (!members.get(current)) {
                changeMembership(current, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
                return;
            }
        }
    }

    private void changeMembership(String endpoint, MembershipChangeMode mode) {
        membershipChangePending = true;
        host.logEvent("agreement.membership", "member", endpoint, "change", mode);
        member.changeMembership(endpoint, mode).whenComplete((done, failed) -> {
            membershipChangePending = false;
            if (failed != null) {
                host.logEvent("agreement.membership_failed", "member", endpoint, "why", failed.getMessage());
            }
        });
    }
}
