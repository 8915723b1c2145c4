package yewdock.verification;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import yewdock.consensus.ConsensusNode;
import yewdock.consensus.DurableRaftStore;
import yewdock.consensus.TaskScheduler;
import yewdock.lease.LeaseTiming;
import yewdock.logging.EventLog;
import yewdock.model.EventCalendar;
import yewdock.rules.RuleKind;
import yewdock.rules.RulesView;
import yewdock.store.KeyValueStore;
import yewdock.store.StoreException;
import yewdock.wire.CouncilFrame;
import yewdock.wire.Proposed;
import yewdock.wire.RuleChange;
import yewdock.wire.RuleValue;

/**
 * Simulates consensus among routers in virtual time: members and followers, each with its own clock and
 * store, on a network that loses, duplicates and delays messages and can be cut in one direction or both.
 * {@link ConsensusChecker} checks every decision. The same seed gives the same
 * run. Times are in microseconds.
 */
public final class ConsensusSimulation {
    /**
     * Deliberate defects that the checker must detect: a lease twice as long as allowed at one member; leases
     * cut short at the members; writes acknowledged before they are synced; a clock that runs at half speed;
     * and decisions that trust the lease timer without checking the clock.
     */
    public enum ProtocolDefect {
        NONE, LEASE_TWICE, LEASE_CUT_SHORT_AT_MEMBERS, ACK_BEFORE_SYNC, CLOCK_AT_HALF, TIMER_ALONE
    }

    /** One second, in microseconds. */
    static final long SECOND = 1_000_000;
    private static final long MAX_STALENESS_MICROS = 3 * SECOND;
    private static final double MAX_CLOCK_DRIFT = 0.001;
    private static final long DECISION_INTERVAL_MICROS = 25_000;
    private static final long LATENCY_MICROS = 2_000;
    private static final int SERVERS = 4;

    private final SplittableRandom random;
    private final ProtocolDefect defect;
    private final EventCalendar calendar = new EventCalendar();
    private final List<SimulatedRouter> routers = new ArrayList<>();
    private final Map<String, SimulatedRouter> routersByName = new HashMap<>();
    private final List<String> members;
    /** Directed links that lose all messages, as "from>to". */
    private final Set<String> cutLinks = new HashSet<>();
    private final ConsensusChecker checker = new ConsensusChecker(MAX_STALENESS_MICROS);
    private double lossRate;
    private long messagesSent;
    private int proposedChanges;
    private int proposalsSent;
    private int endpointListCatchUps;

    /**
     * Starts all instances.
     *
     * @param members number of voting members, which come first
     * @param followers number of non-voting instances
     * @param seed draws everything that is random
     * @param defect the deliberate defect, or NONE
     */
    public ConsensusSimulation(int members, int followers, long seed, ProtocolDefect defect) {
        EventLog.muteLibraryLogs();
        this.random = new SplittableRandom(seed);
        this.defect = defect;
        List<String> names = new ArrayList<>();
        for (int i = 0; i < members + followers; i++) {
            names.add(String.format("r%03d", i));
        }
        this.members = names.subList(0, members);
        for (String name : names) {
            SimulatedRouter router = new SimulatedRouter(name);
            routers.add(router);
            routersByName.put(name, router);
        }
        routers.forEach(SimulatedRouter::start);
        runAfter(0, this::checkDecisions);
    }

    private void runAfter(long delay, Runnable work) {
        calendar.scheduleAt(now() + delay, work);
    }

    /** Advances the virtual time. */
    public void run(long micros) {
        calendar.runUntil(now() + micros);
    }

    /** The checker of this run, with its results. */
    public ConsensusChecker checker() {
        return checker;
    }

    /** Number of messages sent so far, including lost ones. */
    public long messagesSent() {
        return messagesSent;
    }

    /** How often a router learned of a newer endpoint list from another one and fetched it. */
    public int endpointListCatchUps() {
        return endpointListCatchUps;
    }

    /** Number of proposals sent so far, including retries. */
    public int proposalsSent() {
        return proposalsSent;
    }

    /** The current virtual time. */
    public long now() {
        return calendar.nowMicros();
    }

    /** Number of instances, members and followers. */
    public int size() {
        return routers.size();
    }

    /** The instance with this index; members come first. */
    public SimulatedRouter router(int number) {
        return routers.get(number);
    }

    /** The instance that leads and is not paused, or null. */
    public SimulatedRouter leader() {
        return routers.stream().filter(router -> router.consensusNode != null && !router.paused
                && router.consensusNode.isLeader())
                .findFirst().orElse(null);
    }

    /** Cuts the link from one instance to another, in this direction only. */
    public void cutLink(SimulatedRouter from, SimulatedRouter to) {
        cutLinks.add(from.name + ">" + to.name);
    }

    /**
     * Partitions an instance from all others.
     *
     * @param in cut what the others send to it
     * @param out cut what it sends
     */
    public void isolate(SimulatedRouter isolated, boolean in, boolean out) {
        for (SimulatedRouter router : routers) {
            if (router != isolated && out) {
                cutLink(isolated, router);
            }
            if (router != isolated && in) {
                cutLink(router, isolated);
            }
        }
    }

    /** Ends all cuts, losses and full disks, and resumes or restarts every instance. */
    public void heal() {
        cutLinks.clear();
        lossRate = 0;
        for (SimulatedRouter router : routers) {
            router.setDiskFull(false);
            router.resume();
            if (router.consensusNode == null) {
                router.start();
            }
        }
    }

    /** Sets the share of all messages that is lost, from 0 to 1. */
    public void setLossRate(double share) {
        lossRate = share;
    }

    /**
     * Injects random faults one after the other while changes are proposed, and heals all of them at the end.
     */
    public void runWithRandomFaults(long micros) {
        long until = now() + micros;
        while (now() < until) {
            switch (random.nextInt(10)) {
                case 0 -> isolate(randomRouter(), true, true);
                case 1 -> isolate(randomRouter(), random.nextBoolean(), true);
                case 2 -> cutLink(randomRouter(), randomRouter());
                case 3 -> randomRouter().pause((long) (SECOND * Math.exp(random.nextDouble() * 4 - 2)));
                case 4 -> randomRouter().kill();
                case 8 -> randomRouter().setDiskFull(true);
                case 5 -> setLossRate(random.nextDouble() * 0.3);
                case 6 -> {
                    SimulatedRouter leader = leader();
                    if (leader != null) {
                        propose(randomRouter());
                        run(random.nextLong(10_000));
                        isolate(leader, true, random.nextBoolean());
                    }
                }
                case 7 -> {
                    SimulatedRouter leader = leader();
                    if (leader != null) {
                        leader.kill();
                    }
                }
                default -> heal();
            }
            for (int i = 0; i < 3; i++) {
                run(random.nextLong(SECOND / 2));
                propose(randomRouter());
            }
        }
        heal();
    }

    private SimulatedRouter randomRouter() {
        return routers.get(random.nextInt(routers.size()));
    }

    /** Proposes at an instance to cordon a random server, or to uncordon it if it is cordoned. */
    public void propose(SimulatedRouter at) {
        if (at.consensusNode == null || at.paused) {
            return;
        }
        String server = "b" + random.nextInt(SERVERS);
        String subject = RuleKind.SERVER.subject(server);
        RuleChange.Builder change = RuleChange.newBuilder().setId("c" + ++proposedChanges).setWho("staff")
                .setSubject(subject).setBase(at.consensusNode.localRules().revision(subject));
        if (!at.consensusNode.localRules().view().cordonedServers().contains(server)) {
            change.setValue(RuleValue.newBuilder().setOut(true));
        }
        propose(at, change.build(), 3);
    }

    /**
     * Proposes a change. It is retried where it got no outcome, and sometimes where it did: a change must be
     * applied once however often it is proposed.
     */
    private void propose(SimulatedRouter at, RuleChange change, int attempts) {
        proposalsSent++;
        ConsensusChecker.ProposedChange proposal = checker.proposed(change);
        at.consensusNode.propose(change, (Proposed answer) -> {
            checker.answered(proposal, answer, calendar.nowMicros());
            if (answer.hasOutcome() && random.nextInt(4) == 0 || !answer.hasOutcome() && attempts > 1) {
                runAfter(random.nextLong(SECOND), () -> {
                    if (at.consensusNode != null && !at.paused && attempts > 1) {
                        propose(at, change, attempts - 1);
                    }
                });
            }
        });
    }

    /** Checks the decision of each running router, periodically. */
    private void checkDecisions() {
        for (SimulatedRouter router : routers) {
            if (router.consensusNode != null && !router.paused) {
                boolean mayDecide = defect == ProtocolDefect.TIMER_ALONE ? router.leaseTimerRunning
                        : router.consensusNode.holdsLease();
                checker.checkDecision(router.name, mayDecide,
                        router.consensusNode.localRules().step(), router.view, calendar.nowMicros());
            }
        }
        runAfter(DECISION_INTERVAL_MICROS, this::checkDecisions);
    }

    /** A simulated instance: its clock, its store and its process. */
    public final class SimulatedRouter implements TaskScheduler, ConsensusNode.ConsensusHost {
        private final String name;
        private final double clockRate;
        private final long clockOffsetMicros;
        private final List<Runnable> pausedTasks = new ArrayList<>();
        private SimulatedStore store = new SimulatedStore();
        private ConsensusNode consensusNode;
        private RulesView view = RulesView.EMPTY;
        private boolean paused;
        private boolean leaseTimerRunning;
        /** Counts the processes of this instance, so that work of an earlier process is dropped. */
        private int incarnation;
        private long leaseEnd;

        SimulatedRouter(String name) {
            this.name = name;
            boolean halfSpeed = defect == ProtocolDefect.CLOCK_AT_HALF && name.equals("r000");
            this.clockRate = halfSpeed ? 0.5 : 1 + (random.nextDouble() * 2 - 1) * MAX_CLOCK_DRIFT;
            this.clockOffsetMicros = random.nextLong(1_000 * SECOND);
        }

        /** The name of the instance. */
        public String name() {
            return name;
        }

        /** The consensus node in its process, or null while the process is dead. */
        public ConsensusNode consensusNode() {
            return consensusNode;
        }

        private LeaseTiming leaseTiming() {
            LeaseTiming correct = LeaseTiming.forMaxDelay(MAX_STALENESS_MICROS, MAX_CLOCK_DRIFT);
            if (defect == ProtocolDefect.LEASE_TWICE && name.equals("r001")) {
                return new LeaseTiming(2 * correct.lengthMicros(), MAX_CLOCK_DRIFT);
            }
            return defect == ProtocolDefect.LEASE_CUT_SHORT_AT_MEMBERS && members.contains(name)
                    ? new LeaseTiming(correct.lengthMicros() / 20, MAX_CLOCK_DRIFT) : correct;
        }

        /** Starts a new process on the present store. */
        public void start() {
            incarnation++;
            view = RulesView.EMPTY;
            leaseTimerRunning = false;
            try {
                consensusNode = new ConsensusNode(new ConsensusNode.ConsensusConfig("sim", name, members,
                        leaseTiming()), this, this,
                        members.contains(name) ? new DurableRaftStore(() -> store) : null,
                                random.nextLong() >>> 1);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Kills the process. */
        public void kill() {
            incarnation++;
            if (consensusNode != null) {
                consensusNode.close();
            }
            consensusNode = null;
            pausedTasks.clear();
            paused = false;
        }

        /** Kills the process and erases the store; {@link #start} starts it again. */
        public void killAndEraseStore() {
            kill();
            store = new SimulatedStore();
        }

        /** Lets all writes to the store fail as on a full disk, or succeed again. */
        public void setDiskFull(boolean isFull) {
            store.full = isFull;
        }

        /** Pauses the process for some time, like SIGSTOP; a paused one stays as it is. */
        public void pause(long micros) {
            if (consensusNode != null && !paused) {
                paused = true;
                int scheduledIn = incarnation;
                runAfter(micros, () -> {
                    if (scheduledIn == incarnation) {
                        resume();
                    }
                });
            }
        }

        /** Resumes a paused process and delivers what has come meanwhile. */
        public void resume() {
            if (paused) {
                paused = false;
                List<Runnable> delivered = new ArrayList<>(pausedTasks);
                pausedTasks.clear();
                if (consensusNode != null) {
                    // a resumed process may take a decision before it does anything else
                    checker.checkDecision(name, defect == ProtocolDefect.TIMER_ALONE ? leaseTimerRunning
                            : consensusNode.holdsLease(), consensusNode.localRules().step(), view,
                                    calendar.nowMicros());
                }
                delivered.forEach(Runnable::run);
            }
        }

        private void runUnlessPaused(int expectedIncarnation, Runnable work) {
            if (expectedIncarnation != incarnation) {
                return;
            }
            if (paused) {
                pausedTasks.add(() -> runUnlessPaused(expectedIncarnation, work));
            } else {
                work.run();
                if (consensusNode != null && members.contains(name)) {
                    checker.checkCommittedRules(name, consensusNode, calendar.nowMicros());
                }
            }
        }

        @Override
        public long nowMicros() {
            return clockOffsetMicros + (long) (calendar.nowMicros() * clockRate);
        }

        @Override
        public void schedule(long micros, Runnable task) {
            int scheduledIn = incarnation;
            runAfter((long) Math.ceil(micros / clockRate), () -> runUnlessPaused(scheduledIn, task));
        }

        @Override
        public void send(String to, CouncilFrame frame) {
            messagesSent++;
            if (cutLinks.contains(name + ">" + to) || random.nextDouble() < lossRate) {
                return;
            }
            byte[] bytes = frame.toByteArray();
            SimulatedRouter target = routersByName.get(to);
            int copies = lossRate > 0 && random.nextInt(20) == 0 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long extraDelay = lossRate > 0 && random.nextInt(10) == 0 ? random.nextLong(SECOND) : 0;
                runAfter(LATENCY_MICROS / 2 + random.nextLong(LATENCY_MICROS) + extraDelay, () ->
                        target.receive(name, bytes));
            }
        }

        private void receive(String from, byte[] bytes) {
            if (consensusNode == null) {
                return;
            }
            runUnlessPaused(incarnation, () -> {
                try {
                    consensusNode.receive(from, CouncilFrame.parseFrom(bytes));
                } catch (InvalidProtocolBufferException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }

        @Override
        public boolean isReachable(String instance) {
            return true;
        }

        @Override
        public void applyRules(RulesView next) {
            view = next;
            consensusNode.rulesApplied(next.step(), consensusNode.localRules().chain());
        }

        @Override
        public void leaseExtended(long end) {
            leaseEnd = end;
            leaseTimerRunning = true;
            schedule(Math.max(0, end - nowMicros()), () -> leaseTimerRunning = nowMicros() < leaseEnd);
        }

        @Override
        public void endpointListOutdated(long newest) {
            // the simulated router fetches the newer list at once
            consensusNode.endpointListInUse("list", newest);
            endpointListCatchUps++;
        }

        @Override
        public void logEvent(String event, Object... fields) {
            checker.eventLogged(event, name + " " + Arrays.toString(fields), calendar.nowMicros());
        }
    }

    /**
     * A store in memory. With the defect {@link ProtocolDefect#ACK_BEFORE_SYNC} it acknowledges writes
     * without keeping
     * them, as if the process always crashed before the sync.
     */
    private final class SimulatedStore implements KeyValueStore {
        private final TreeMap<String, byte[]> records = new TreeMap<>();
        private boolean full;
        private long writes;

        @Override
        public SortedMap<String, byte[]> all() {
            return new TreeMap<>(records);
        }

        @Override
        public long write(Map<String, byte[]> changes) throws StoreException {
            if (full) {
                throw new StoreException(StoreException.Kind.UNWRITABLE, "disk full");
            }
            if (defect != ProtocolDefect.ACK_BEFORE_SYNC) {
                changes.forEach((k, v) -> {
                    if (v == null) {
                        records.remove(k);
                    } else {
                        records.put(k, v);
                    }
                });
            }
            return ++writes;
        }

        @Override
        public void compactIfLarge(int mostMillis) {
            // nothing to compact in memory
        }

        @Override
        public long bytes() {
            return 0;
        }

        @Override
        public void close() {
            // the records outlive the process
        }
    }
}
