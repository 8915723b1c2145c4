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
 * One instance's part in an agreement: it holds the rules and a lease to act by them, and if it is a member
 * of the council it votes on changes, and grants leases while it leads. Everything happens on one loop; no
 * decision about a request waits for any of it.
 */
public final class ConsensusNode {
    private static final long SECOND = 1_000_000;
    private static final long ROUND_TIMEOUT = SECOND;
    private static final long PROPOSAL_TIMEOUT = 2 * SECOND;
    private static final long FORCE_AGAIN = SECOND;
    /** So many calls in a row without an answer, and another member is asked who leads. */
    private static final int MOST_UNANSWERED = 2;
    private static final long HELLO_HOLDS = 2 * SECOND;

    /**
     * Who takes part.
     *
     * @param cluster the installation's name
     * @param self this instance's
     * @param members the instances that vote
     */
    public record ConsensusConfig(String cluster, String self, List<String> members, LeaseTiming lease) {
        public ConsensusConfig {
            members = members.stream().sorted().toList();
        }
    }

    /** What an instance does for its part. */
    public interface ConsensusHost {
        /** Sends a frame to another instance, if it can be reached; never waits. */
        void send(String instance, CouncilFrame frame);

        /** Whether a connection to it stands. */
        boolean isReachable(String instance);

        /** Act by this from now on; {@link ConsensusNode#rulesApplied} once everything here does. */
        void applyRules(RulesView view);

        /** The lease holds until then, by the loop's clock. */
        void leaseExtended(long until);

        /** Another router acts on a newer version of the box list than this one has told. */
        void endpointListOutdated(long newest);

        /** Something that operators should know: the event, and then names and values. */
        void logEvent(String event, Object... fields);
    }

    private final ConsensusConfig terms;
    private final TaskScheduler loop;
    private final ConsensusHost instance;
    private DurableRaftStore disk;
    private final Endpoint self;
    /** Drawn anew with each start, and so what this process is told apart by. */
    private final long incarnation;
    private final RuleStateMachine localRules = new RuleStateMachine();
    private final Lease lease;
    private final LeaseGrantor grants;
    private final Feeds feeds = new Feeds();
    private final Lists lists = new Lists();
    private final Map<String, Long> fed = new HashMap<>();
    private final Map<String, Long> forced = new HashMap<>();
    private final Map<Long, Wait> proposals = new HashMap<>();
    private final Map<String, Hello> fresh = new TreeMap<>();
    private final TreeSet<String> strangers = new TreeSet<>();
    private Member member;
    private String leader;
    private int nextAsked;
    private int unanswered;
    private long takenStep;
    private long takenChain;
    private long rounds;
    private boolean roundOut;
    private long roundUntil;
    private long numbers;
    private boolean changing;
    private String listAddress = "";
    private long listVersion = -1;
    private long listAskedFor = -1;
    private boolean closed;

    /** A member said that its disk remembers no vote. */
    private record Hello(String endpoint, long at) {
    }

    private record Wait(RuleChange change, Consumer<Proposed> answer, long until) {
    }

    /**
     * Begins.
     *
     * @param disk where a member's log lies; null for one that doesn't vote
     * @param seed for what is drawn; another one with each start
     */
    public ConsensusNode(ConsensusConfig terms, TaskScheduler loop, ConsensusHost instance,
            DurableRaftStore disk, long seed) throws IOException {
        this.terms = terms;
        this.loop = loop;
        this.instance = instance;
        this.disk = disk;
        this.incarnation = seed;
        this.lease = new Lease(terms.lease());
        this.grants = new LeaseGrantor(terms.lease());
        this.self = disk == null ? null : Endpoint.of(terms.self(), disk.number(Long.toHexString(seed)));
        if (disk != null && disk.restored() != null) {
            start(List.of());
        }
        tick();
    }

    /** Ends; a member says nothing more. */
    public void close() {
        closed = true;
        if (member != null) {
            member.close();
        }
        if (disk != null) {
            disk.close();
        }
    }

    // ---- time

    private void tick() {
        if (closed) {
            return;
        }
        renew();
        fresh.values().removeIf(h -> loop.nowMicros() - h.at >= HELLO_HOLDS);
        if (disk != null && disk.broken()) {
            again("agreement.disk_failed");
        } else if (member != null && member.stuck()) {
            again("agreement.nobody_leads");
        } else if (disk != null && !isVotingMember()) {
            greet();
        }
        if (member != null) {
            take();
            reconcile();
        }
        long now = loop.nowMicros();
        List<Long> late = new ArrayList<>();
        proposals.forEach((number, w) -> {
            if (now >= w.until) {
                late.add(number);
            }
        });
        late.forEach(number -> proposed(Proposed.newBuilder().setNumber(number)
                .setNobody("no leader has answered").build()));
        loop.schedule(terms.lease().renewalIntervalMicros(), this::tick);
    }

    /** The member ends, and begins anew from what its disk has; a disk that takes no write is tried again. */
    private void again(String event) {
        if (member != null) {
            instance.logEvent(event, "now", "this member begins anew from its disk");
            grants.stepDown();
            member = null;
            changing = false;
        }
        try {
            disk = disk.anew();
            if (disk.restored() != null) {
                start(List.of());
            }
        } catch (IOException e) {
            // tried again with the next tick
        }
    }

    // ---- the router's side: what it holds, and until when

    /** What this instance holds of the rules. */
    public RuleStateMachine localRules() {
        return localRules;
    }

    /** What the council has agreed, as far as this member knows; null at one that doesn't vote. */
    public RuleStateMachine committedRules() {
        return member == null ? null : member.rules();
    }

    /** Whether it may act now. */
    public boolean holdsLease() {
        return lease.isValid(loop.nowMicros());
    }

    /** Who leads, as far as is known here; null for nobody. */
    public String leader() {
        return leader;
    }

    /** Whether this instance leads. */
    public boolean isLeader() {
        return member != null && member.leading();
    }

    /** Whether this instance votes, as far as it knows. */
    public boolean isVotingMember() {
        return member != null && Boolean.TRUE.equals(member.members().get(self.id()));
    }

    /** Everything here acts by the view of this step, or a later one. */
    public void rulesApplied(long step, long chain) {
        if (step > takenStep) {
            boolean known = takenStep >= localRules.lastPreparedStep();
            takenStep = step;
            takenChain = chain;
            if (!known && takenStep >= localRules.lastPreparedStep()) {
                // a change that waits for us should not wait for the next regular call
                renew();
            }
        }
    }

    /** The box list that this instance acts on from now on. */
    public void endpointListInUse(String address, long version) {
        listAddress = address;
        listVersion = version;
    }

    private void renew() {
        Renew.Builder call = Renew.newBuilder().setNumber(lease.beginRenewal(loop.nowMicros()))
                .setStep(takenStep).setChain(takenChain).setIncarnation(incarnation)
                .setListAddress(listAddress).setListVersion(listVersion);
        if (++unanswered > MOST_UNANSWERED) {
            // one that led may stand still, and nobody else would be asked
            leader = null;
        }
        String to = whoLeads();
        if (to != null) {
            send(to, CouncilFrame.newBuilder().setRenew(call).build());
        }
    }

    /** The leader that is known, or members one after the other. */
    private String whoLeads() {
        if (member != null) {
            leader = member.leader();
        }
        if (leader != null && (leader.equals(terms.self()) || instance.isReachable(leader))) {
            return leader;
        }
        leader = null;
        for (int i = 0; i < terms.members().size(); i++) {
            String one = terms.members().get(nextAsked++ % terms.members().size());
            if (!one.equals(terms.self()) && instance.isReachable(one)) {
                return one;
            }
        }
        return null;
    }

    private void send(String to, CouncilFrame frame) {
        if (to.equals(terms.self())) {
            loop.schedule(0, () -> receive(to, frame));
        } else {
            instance.send(to, frame);
        }
    }

    private void fed(String from, Feed feed) {
        if (!feed.getLeader().isEmpty() && member == null) {
            leader = feed.getLeader();
            unanswered = 0;
        }
        long before = localRules.step();
        if (feed.hasSnapshot()) {
            if (feed.getSnapshot().getStep() > localRules.step()
                    || feed.getSnapshot().getStep() == localRules.step()
                    && feed.getSnapshot().getChain() != localRules.chain()) {
                localRules.install(feed.getSnapshot());
                before = -1;
            }
        } else if (feed.getAfter() <= localRules.step()) {
            int known = (int) Math.min(feed.getCommandsCount(), localRules.step() - feed.getAfter());
            for (ByteString bytes : feed.getCommandsList().subList(known, feed.getCommandsCount())) {
                try {
                    localRules.apply(RuleStateMachine.parseCommand(bytes.toByteArray()));
                } catch (InvalidProtocolBufferException e) {
                    instance.logEvent("agreement.unreadable", "from", from, "why", e.getMessage());
                    return;
                }
            }
        }
        if (localRules.step() != before) {
            instance.applyRules(localRules.view());
        }
    }

    // ---- changes

    /**
     * Asks for a change; the answer comes once, on the loop: what became of its preparing, or that nobody
     * took it, in which case the same change may be asked for again.
     */
    public void propose(RuleChange change, Consumer<Proposed> answer) {
        ChangeRejection flaw = RuleStateMachine.validate(change);
        if (flaw != null) {
            answer.accept(Proposed.newBuilder().setOutcome(RuleOutcome.newBuilder().setId(change.getId())
                    .setRefusal(flaw.number())).build());
            return;
        }
        long number = ++numbers;
        proposals.put(number, new Wait(change, answer, loop.nowMicros() + PROPOSAL_TIMEOUT));
        String to = whoLeads();
        if (to == null) {
            proposed(Proposed.newBuilder().setNumber(number).setNobody("no member can be reached").build());
        } else {
            send(to, CouncilFrame.newBuilder().setProposal(Proposal.newBuilder().setNumber(number)
                    .setChange(change)).build());
        }
    }

    private void proposed(Proposed answer) {
        Wait wait = proposals.remove(answer.getNumber());
        if (wait != null) {
            wait.answer.accept(answer);
        }
    }

    private void asked(String from, Proposal proposal) {
        Proposed.Builder answer = Proposed.newBuilder().setNumber(proposal.getNumber());
        if (!isLeader()) {
            send(from, CouncilFrame.newBuilder().setProposed(answer.setNobody("it does not lead")).build());
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

    // ---- frames

    /** A frame has come from this instance. */
    public void receive(String from, CouncilFrame frame) {
        if (closed) {
            return;
        }
        switch (frame.getWhatCase()) {
            case RAFT -> {
                if (member != null && !member.heard(frame.getRaft()) && strangers.add(from)) {
                    instance.logEvent("agreement.other_council", "instance", from, "its",
                            frame.getRaft().getGroup(), "ours", member.group());
                }
            }
            case RENEW -> renewed(from, frame.getRenew());
            case GRANTED -> granted(frame.getGranted());
            case FEED -> fed(from, frame.getFeed());
            case PROPOSAL -> asked(from, frame.getProposal());
            case PROPOSED -> proposed(frame.getProposed());
            case FOUNDING -> founding(from, frame.getFounding());
            default -> {
                // of a later program
            }
        }
    }

    private void granted(Granted g) {
        if (g.getIncarnation() == incarnation) {
            unanswered = 0;
            lease.granted(g.getNumber());
            instance.leaseExtended(lease.expiresAt());
            // once for each version: a service that has started anew may never come so far again
            if (g.getListVersion() > listVersion && g.getListVersion() != listAskedFor && listVersion >= 0) {
                listAskedFor = g.getListVersion();
                instance.endpointListOutdated(g.getListVersion());
            }
        }
    }

    // ---- the leader's side

    private void renewed(String from, Renew call) {
        if (!isLeader()) {
            String known = member == null ? null : member.leader();
            if (known != null) {
                send(from, CouncilFrame.newBuilder().setFeed(Feed.newBuilder().setLeader(known)).build());
            }
            return;
        }
        fed.put(from, call.getStep());
        lists.heard(from, call.getListAddress(), call.getListVersion());
        if (!feeds.same(call.getStep(), call.getChain())) {
            instance.logEvent("agreement.diverged", "instance", from, "step", call.getStep());
            send(from, CouncilFrame.newBuilder().setFeed(Feeds.whole(member.rules()).toBuilder()
                    .setLeader(terms.self())).build());
            return;
        }
        feed(from, call.getStep());
        grants.request(new LeaseGrantor.LeaseRequest(from, call.getIncarnation(), call.getNumber(),
                call.getStep()));
        round();
    }

    private void feed(String to, long step) {
        Feed feed = feeds.after(step, member.rules());
        if (feed != null) {
            send(to, CouncilFrame.newBuilder().setFeed(feed.toBuilder().setLeader(terms.self())).build());
            fed.put(to, member.rules().step());
        }
    }

    /** One round of confirming at a time, for all calls that wait. */
    private void round() {
        if (roundOut) {
            if (loop.nowMicros() < roundUntil) {
                return;
            }
            grants.confirmationFailed();
        }
        roundOut = grants.beginConfirmation();
        if (!roundOut) {
            return;
        }
        long mine = ++rounds;
        roundUntil = loop.nowMicros() + ROUND_TIMEOUT;
        member.confirm().whenComplete((done, failed) -> {
            if (mine != rounds) {
                return;
            }
            roundOut = false;
            if (failed != null) {
                grants.confirmationFailed();
                return;
            }
            for (LeaseGrantor.LeaseRequest ask : grants.confirm(member.rules().lastPreparedStep(),
                    loop.nowMicros())) {
                send(ask.router(), CouncilFrame.newBuilder().setGranted(Granted.newBuilder()
                        .setNumber(ask.number()).setIncarnation(ask.incarnation())
                        .setListVersion(lists.newestFor(ask.router()))).build());
            }
            take();
            round();
        });
    }

    /** Every member sees to what may take force, so that one that begins to lead knows since when. */
    private void take() {
        long now = loop.nowMicros();
        forced.values().removeIf(at -> now - at >= FORCE_AGAIN);
        for (String id : grants.changesToApply(member.rules().pendingChanges(), now)) {
            if (forced.putIfAbsent(id, now) == null) {
                RuleCommand force = RuleCommand.newBuilder().setForce(id).build();
                member.replicate(force).whenComplete((done, failed) -> {
                    if (failed != null) {
                        forced.remove(id);
                    }
                });
            }
        }
    }

    /** What all routers that ask here have not been told yet. */
    private void feedAll() {
        if (isLeader()) {
            new HashMap<>(fed).forEach(this::feed);
        }
    }

    // ---- members

    private void start(List<String> founders) {
        Member.Hearer hearer = new Member.Hearer() {
            @Override
            public void leads(boolean yes) {
                fed.clear();
                forced.clear();
                if (yes) {
                    grants.becomeLeader(loop.nowMicros());
                } else {
                    grants.stepDown();
                }
                instance.logEvent(yes ? "agreement.leads" : "agreement.follows");
            }

            @Override
            public void agreed(RuleCommand command) {
                feeds.add(command, member.rules());
            }

            @Override
            public void stepped() {
                take();
                feedAll();
            }
        };
        member = new Member(loop, terms.cluster(), self, founders, disk, incarnation, hearer, (to, frame) ->
                send(to, CouncilFrame.newBuilder().setRaft(frame).build()), instance::isReachable);
        instance.logEvent("agreement.member", "council", member.group());
    }

    /**
     * A member with nothing on its disk doesn't know whether there is a council. It says so until it votes:
     * once it has heard of a council it learns from that, and the first of the members founds one when all
     * of them are new.
     */
    private void greet() {
        fresh.put(terms.self(), new Hello(self.id(), loop.nowMicros()));
        for (String other : terms.members()) {
            if (!other.equals(terms.self())) {
                send(other, CouncilFrame.newBuilder().setFounding(Founding.newBuilder()
                        .setEndpoint(self.id())).build());
            }
        }
        if (member == null && fresh.keySet().containsAll(terms.members())
                && terms.members().get(0).equals(terms.self())) {
            start(fresh.values().stream().map(Hello::endpoint).toList());
        }
    }

    private void founding(String from, Founding news) {
        if (disk == null || !terms.members().contains(from)) {
            return;
        }
        if (news.getMembersCount() == 0) {
            fresh.put(from, new Hello(news.getEndpoint(), loop.nowMicros()));
            if (member != null) {
                send(from, CouncilFrame.newBuilder().setFounding(Founding.newBuilder().setEndpoint(self.id())
                        .addAllMembers(member.founders())).build());
            }
        } else if (member == null) {
            start(news.getMembersList());
        }
    }

    /** A member that has come back with an empty disk takes the place of the one that remembered. */
    private void reconcile() {
        if (!isLeader() || changing) {
            return;
        }
        Map<String, Boolean> now = member.members();
        for (Map.Entry<String, Hello> one : fresh.entrySet()) {
            String endpoint = one.getValue().endpoint;
            String there = Member.of(now.keySet(), one.getKey());
            if (there == null) {
                change(endpoint, MembershipChangeMode.ADD_LEARNER);
                return;
            } else if (!there.equals(endpoint)) {
                change(there, MembershipChangeMode.REMOVE_MEMBER);
                return;
            } else if (!now.get(there)) {
                change(there, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
                return;
            }
        }
    }

    private void change(String endpoint, MembershipChangeMode mode) {
        changing = true;
        instance.logEvent("agreement.membership", "member", endpoint, "change", mode);
        member.change(endpoint, mode).whenComplete((done, failed) -> {
            changing = false;
            if (failed != null) {
                instance.logEvent("agreement.membership_failed", "member", endpoint, "why",
                        failed.getMessage());
            }
        });
    }
}
