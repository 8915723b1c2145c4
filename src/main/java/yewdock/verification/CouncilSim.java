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
import yewdock.model.Calendar;
import yewdock.rules.RuleKind;
import yewdock.rules.RulesView;
import yewdock.store.KeyValueStore;
import yewdock.store.StoreException;
import yewdock.wire.CouncilFrame;
import yewdock.wire.Proposed;
import yewdock.wire.RuleChange;
import yewdock.wire.RuleValue;

/**
 * Routers that agree, in virtual time: members and followers, each with a clock and a disk of its own,
 * between them a network that loses, doubles, delays and cuts, one way or both. {@link CouncilJudge} looks
 * at every decision. One seed, one run.
 */
public final class CouncilSim {
    /** What can be made wrong on purpose, to see that the judge sees it. */
    public enum Plant {
        NONE, LEASE_TWICE, LEASE_CUT_SHORT_AT_MEMBERS, ACK_BEFORE_SYNC, CLOCK_AT_HALF, TIMER_ALONE
    }

    static final long SECOND = 1_000_000;
    private static final long AGREED_WITHIN = 3 * SECOND;
    private static final double DRIFT = 0.001;
    private static final long DECIDE_EVERY = 25_000;
    private static final long LATENCY = 2_000;
    private static final int BOXES = 4;

    private final SplittableRandom random;
    private final Plant plant;
    private final Calendar calendar = new Calendar();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, Host> byName = new HashMap<>();
    private final List<String> members;
    private final Set<String> cut = new HashSet<>();
    private final CouncilJudge judge = new CouncilJudge(AGREED_WITHIN);
    private double loss;
    private long sent;
    private int changes;
    private int asked;
    private int listsCaughtUp;

    /** So many members and followers. */
    public CouncilSim(int members, int followers, long seed, Plant plant) {
        EventLog.muteLibraryLogs();
        this.random = new SplittableRandom(seed);
        this.plant = plant;
        List<String> names = new ArrayList<>();
        for (int i = 0; i < members + followers; i++) {
            names.add(String.format("r%03d", i));
        }
        this.members = names.subList(0, members);
        for (String name : names) {
            Host host = new Host(name);
            hosts.add(host);
            byName.put(name, host);
        }
        hosts.forEach(Host::start);
        at(0, this::decide);
    }

    private void at(long delay, Runnable work) {
        calendar.at(now() + delay, work);
    }

    /** Lets so much time pass. */
    public void run(long micros) {
        calendar.runTo(now() + micros);
    }

    /** The judge of this run. */
    public CouncilJudge judge() {
        return judge;
    }

    /** Messages sent so far. */
    public long sent() {
        return sent;
    }

    /** How often a router found that another had a newer list, and got it. */
    public int listsCaughtUp() {
        return listsCaughtUp;
    }

    /** Changes that were asked for. */
    public int asked() {
        return asked;
    }

    public long now() {
        return calendar.now();
    }

    public int size() {
        return hosts.size();
    }

    /** An instance, members first. */
    public Host host(int number) {
        return hosts.get(number);
    }

    /** The instance that leads, or null. */
    public Host leader() {
        return hosts.stream().filter(h -> h.council != null && !h.paused && h.council.isLeader()).findFirst()
                .orElse(null);
    }

    /** Nothing goes from the one to the other any more. */
    public void cut(Host from, Host to) {
        cut.add(from.name + ">" + to.name);
    }

    /** Nothing goes between this one and the others, in one direction or both. */
    public void cutOff(Host one, boolean in, boolean out) {
        for (Host h : hosts) {
            if (h != one && out) {
                cut(one, h);
            }
            if (h != one && in) {
                cut(h, one);
            }
        }
    }

    /** All cuts and losses end, all that are paused or dead go on. */
    public void heal() {
        cut.clear();
        loss = 0;
        for (Host h : hosts) {
            h.full(false);
            h.resume();
            if (h.council == null) {
                h.start();
            }
        }
    }

    /** Of all messages this part is lost. */
    public void lose(double part) {
        loss = part;
    }

    /** One trouble after the other, drawn from the seed, with changes all along; ends whole. */
    public void trouble(long micros) {
        long until = now() + micros;
        while (now() < until) {
            switch (random.nextInt(10)) {
                case 0 -> cutOff(any(), true, true);
                case 1 -> cutOff(any(), random.nextBoolean(), true);
                case 2 -> cut(any(), any());
                case 3 -> any().pause((long) (SECOND * Math.exp(random.nextDouble() * 4 - 2)));
                case 4 -> any().kill();
                case 8 -> any().full(true);
                case 5 -> lose(random.nextDouble() * 0.3);
                case 6 -> {
                    Host l = leader();
                    if (l != null) {
                        propose(any());
                        run(random.nextLong(10_000));
                        cutOff(l, true, random.nextBoolean());
                    }
                }
                case 7 -> {
                    Host l = leader();
                    if (l != null) {
                        l.kill();
                    }
                }
                default -> heal();
            }
            for (int i = 0; i < 3; i++) {
                run(random.nextLong(SECOND / 2));
                propose(any());
            }
        }
        heal();
    }

    private Host any() {
        return hosts.get(random.nextInt(hosts.size()));
    }

    /** Somebody wants another value of some subject. */
    public void propose(Host at) {
        if (at.council == null || at.paused) {
            return;
        }
        String box = "b" + random.nextInt(BOXES);
        String subject = RuleKind.SERVER.subject(box);
        RuleChange.Builder change = RuleChange.newBuilder().setId("c" + ++changes).setWho("staff")
                .setSubject(subject).setBase(at.council.localRules().revision(subject));
        if (!at.council.localRules().view().cordonedServers().contains(box)) {
            change.setValue(RuleValue.newBuilder().setOut(true));
        }
        propose(at, change.build(), 3);
    }

    /** The same change again where nobody took it: it must be applied once. */
    private void propose(Host at, RuleChange change, int tries) {
        asked++;
        CouncilJudge.Call call = judge.asks(change);
        at.council.propose(change, (Proposed answer) -> {
            judge.answered(call, answer, calendar.now());
            if (answer.hasOutcome() && random.nextInt(4) == 0 || !answer.hasOutcome() && tries > 1) {
                at(random.nextLong(SECOND), () -> {
                    if (at.council != null && !at.paused && tries > 1) {
                        propose(at, change, tries - 1);
                    }
                });
            }
        });
    }

    /** Every router that runs decides about each box. */
    private void decide() {
        for (Host h : hosts) {
            if (h.council != null && !h.paused) {
                boolean may = plant == Plant.TIMER_ALONE ? h.leased : h.council.holdsLease();
                judge.decides(h.name, may, h.council.localRules().step(), h.view, calendar.now());
            }
        }
        at(DECIDE_EVERY, this::decide);
    }

    /** An instance: its clock, its disk, its process. */
    public final class Host implements TaskScheduler, ConsensusNode.ConsensusHost {
        private final String name;
        private final double rate;
        private final long offset;
        private final List<Runnable> held = new ArrayList<>();
        private Disk disk = new Disk();
        private ConsensusNode council;
        private RulesView view = RulesView.EMPTY;
        private boolean paused;
        private boolean leased;
        private int life;
        private long until;

        Host(String name) {
            this.name = name;
            boolean slow = plant == Plant.CLOCK_AT_HALF && name.equals("r000");
            this.rate = slow ? 0.5 : 1 + (random.nextDouble() * 2 - 1) * DRIFT;
            this.offset = random.nextLong(1_000 * SECOND);
        }

        public String name() {
            return name;
        }

        /** Its process, null while it is dead. */
        public ConsensusNode council() {
            return council;
        }

        private LeaseTiming lease() {
            LeaseTiming right = LeaseTiming.forMaxDelay(AGREED_WITHIN, DRIFT);
            if (plant == Plant.LEASE_TWICE && name.equals("r001")) {
                return new LeaseTiming(2 * right.lengthMicros(), DRIFT);
            }
            return plant == Plant.LEASE_CUT_SHORT_AT_MEMBERS && members.contains(name)
                    ? new LeaseTiming(right.lengthMicros() / 20, DRIFT) : right;
        }

        /** A new process on the disk that is there. */
        public void start() {
            life++;
            view = RulesView.EMPTY;
            leased = false;
            try {
                council = new ConsensusNode(new ConsensusNode.ConsensusConfig("sim", name, members, lease()),
                        this, this,
                        members.contains(name) ? new DurableRaftStore(() -> disk) : null,
                                random.nextLong() >>> 1);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** The process dies at once. */
        public void kill() {
            life++;
            if (council != null) {
                council.close();
            }
            council = null;
            held.clear();
            paused = false;
        }

        /** Dies, and comes back with an empty disk. */
        public void wipe() {
            kill();
            disk = new Disk();
        }

        /** Its disk takes nothing more, until it has room again. */
        public void full(boolean yes) {
            disk.full = yes;
        }

        /** Stands still for so long, as a stopped process does. */
        public void pause(long micros) {
            if (council != null && !paused) {
                paused = true;
                int mine = life;
                at(micros, () -> {
                    if (mine == life) {
                        resume();
                    }
                });
            }
        }

        /** Goes on with what has come meanwhile. */
        public void resume() {
            if (paused) {
                paused = false;
                List<Runnable> all = new ArrayList<>(held);
                held.clear();
                if (council != null) {
                    // the first thing that a woken process does may be to take a decision
                    judge.decides(name, plant == Plant.TIMER_ALONE ? leased : council.holdsLease(),
                            council.localRules().step(), view, calendar.now());
                }
                all.forEach(Runnable::run);
            }
        }

        private void whenRunning(int inLife, Runnable work) {
            if (inLife != life) {
                return;
            }
            if (paused) {
                held.add(() -> whenRunning(inLife, work));
            } else {
                work.run();
                if (council != null && members.contains(name)) {
                    judge.stands(name, council, calendar.now());
                }
            }
        }

        @Override
        public long nowMicros() {
            return offset + (long) (calendar.now() * rate);
        }

        @Override
        public void schedule(long micros, Runnable task) {
            int mine = life;
            at((long) Math.ceil(micros / rate), () -> whenRunning(mine, task));
        }

        @Override
        public void send(String to, CouncilFrame frame) {
            sent++;
            if (cut.contains(name + ">" + to) || random.nextDouble() < loss) {
                return;
            }
            byte[] bytes = frame.toByteArray();
            Host target = byName.get(to);
            int copies = loss > 0 && random.nextInt(20) == 0 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long late = loss > 0 && random.nextInt(10) == 0 ? random.nextLong(SECOND) : 0;
                at(LATENCY / 2 + random.nextLong(LATENCY) + late, () -> target.receive(name, bytes));
            }
        }

        private void receive(String from, byte[] bytes) {
            if (council == null) {
                return;
            }
            whenRunning(life, () -> {
                try {
                    council.receive(from, CouncilFrame.parseFrom(bytes));
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
            council.rulesApplied(next.step(), council.localRules().chain());
        }

        @Override
        public void leaseExtended(long end) {
            until = end;
            leased = true;
            schedule(Math.max(0, end - nowMicros()), () -> leased = nowMicros() < until);
        }

        @Override
        public void endpointListOutdated(long newest) {
            // asked at once, and had
            council.endpointListInUse("list", newest);
            listsCaughtUp++;
        }

        @Override
        public void logEvent(String event, Object... fields) {
            judge.notes(event, name + " " + Arrays.toString(fields), calendar.now());
        }
    }

    /**
     * A disk in memory; where writes are answered before the sync, a crash finds that none has come to it.
     */
    private final class Disk implements KeyValueStore {
        private final TreeMap<String, byte[]> kept = new TreeMap<>();
        private boolean full;
        private long writes;

        @Override
        public SortedMap<String, byte[]> all() {
            return new TreeMap<>(kept);
        }

        @Override
        public long write(Map<String, byte[]> changes) throws StoreException {
            if (full) {
                throw new StoreException(StoreException.Kind.UNWRITABLE, "no room");
            }
            if (plant != Plant.ACK_BEFORE_SYNC) {
                changes.forEach((k, v) -> {
                    if (v == null) {
                        kept.remove(k);
                    } else {
                        kept.put(k, v);
                    }
                });
            }
            return ++writes;
        }

        @Override
        public void compactIfLarge(int mostMillis) {
            // takes no room
        }

        @Override
        public long bytes() {
            return 0;
        }

        @Override
        public void close() {
            // stays
        }
    }
}
