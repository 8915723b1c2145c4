package yewdock.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ServerState;
import yewdock.core.EndpointList;
import yewdock.core.GenerationMessage;
import yewdock.core.GenerationState;
import yewdock.core.ModelServer;
import yewdock.core.OperatorOverride;
import yewdock.wire.Box;
import yewdock.wire.Boxes;
import yewdock.wire.Keep;
import yewdock.wire.KeyMemory;
import yewdock.wire.Mark;
import yewdock.wire.Marks;
import yewdock.wire.Memory;
import yewdock.wire.News;
import yewdock.wire.NodeMemory;
import yewdock.wire.Out;
import yewdock.wire.Sharing;
import yewdock.wire.State;

/** Turns what generations tell each other into messages, and back. No I/O. */
public final class StateCodec {
    /** The version that is written, and the oldest that is still read. */
    static final int VERSION = 1;
    static final int OLDEST_READ = 1;
    /** The least version that a reader must know to make sense of what is written now. */
    static final int LEAST_READER = 1;

    private StateCodec() {
    }

    /** What a state holds for the next generation; memory is null if there is none to go on with. */
    public record InheritedState(EndpointList endpointList, String listAddress, Map<Long,
            Long> stateReportedAt,
            umberspread.LearnedState memory,
            long clockShiftMicros, Map<String, Long> counters, boolean afterRestart) {
    }

    /** The state of a generation, as of this time on its clock and on the system's monotonic one. */
    public static State write(GenerationState held, umberspread.LearnedState memory, Map<String,
            Long> counters,
            long clock, long monoNanos) {
        return State.newBuilder().setVersion(VERSION).setLeastReader(LEAST_READER).setClock(clock)
                .setMonoNanos(monoNanos).setBoxes(boxes(held.endpointList(), held.discoveryAddress(),
                        held.toldAt()))
                .setModule(memory(memory)).putAllCounters(counters).build();
    }

    /** Reads a state at this time on the reader's clock; null if there is none. */
    public static InheritedState read(State s, long clock, long monoNanos) throws UnreadableStateException {
        if (s.getVersion() == 0 && s.getLeastReader() == 0 && !s.hasModule()) {
            return null;
        }
        if (s.getVersion() < OLDEST_READ) {
            throw new UnreadableStateException("the state's version is " + s.getVersion()
                    + "; this program reads versions from " + OLDEST_READ + " on");
        }
        if (s.getLeastReader() > VERSION) {
            throw new UnreadableStateException("the state's version is " + s.getVersion()
                    + ", for readers of "
                    + s.getLeastReader() + " or later; this program's is " + VERSION);
        }
        long age = (monoNanos - s.getMonoNanos()) / 1000;
        if (age < 0) {
            throw new UnreadableStateException("the state comes from another start of this machine");
        }
        // the moment at which the state was written, on the reader's clock, less the same on the writer's
        long shift = clock - age - s.getClock();
        try {
            Map<Long, Long> toldAt = new HashMap<>();
            for (Box box : s.getBoxes().getBoxesList()) {
                if (box.getToldAt() != 0) {
                    toldAt.put(box.getId(), box.getToldAt() + shift);
                }
            }
            return new InheritedState(list(s.getBoxes()), s.getBoxes().getAddress(), toldAt,
                    s.hasModule() ? memory(s.getModule()) : null, shift, Map.copyOf(s.getCountersMap()),
                    s.getAfterRestart());
        } catch (IllegalArgumentException e) {
            throw new UnreadableStateException("the state can't be read: " + e.getMessage());
        }
    }

    /** The marks that hold. */
    static Map<String, OperatorOverride> marks(Marks told) {
        Map<String, OperatorOverride> marks = new HashMap<>();
        told.getByBoxMap().forEach((box, mark) -> {
            switch (mark.getKind()) {
                case DRAIN -> marks.put(box, OperatorOverride.DRAINS);
                case GONE -> marks.put(box, new OperatorOverride(OperatorOverride.Kind.GONE,
                        mark.getStartedAt()));
                case BACK -> marks.put(box, new OperatorOverride(OperatorOverride.Kind.BACK,
                        mark.getStartedAt()));
                default -> { }
            }
        });
        return marks;
    }

    /** Marks for another process; changes: those of other boxes hold as they did. */
    static Marks marks(Map<String, OperatorOverride> marks, boolean changes) {
        Marks.Builder all = Marks.newBuilder().setChanges(changes);
        marks.forEach((box, mark) -> all.putByBox(box,
                Mark.newBuilder().setKind(kind(mark)).setStartedAt(mark.atEpochMicros()).build()));
        return all.build();
    }

    private static Mark.Kind kind(OperatorOverride mark) {
        return switch (mark.kind()) {
            case DRAINS -> Mark.Kind.DRAIN;
            case GONE -> Mark.Kind.GONE;
            case BACK -> Mark.Kind.BACK;
        };
    }

    /** What the module has learnt, for the keeper to keep. */
    static Keep keep(umberspread.LearnedState memory, long clock) {
        return Keep.newBuilder().setClock(clock).setModule(memory(memory)).build();
    }

    static Sharing sharing(GenerationState held) {
        Sharing.Builder all = Sharing.newBuilder().addAllIds(held.requestIds())
                .setBoxes(boxes(held.endpointList(), held.discoveryAddress(), held.toldAt()));
        held.attemptsInFlight().forEach(o ->
                all.addOuts(Out.newBuilder().setToken(o.token()).setBox(o.server())));
        return all.build();
    }

    static GenerationState holdings(Sharing s) {
        List<GenerationMessage.AttemptSent> out = new ArrayList<>();
        s.getOutsList().forEach(o -> out.add(new GenerationMessage.AttemptSent(o.getToken(), o.getBox())));
        return new GenerationState(s.getIdsList(), out, list(s.getBoxes()), s.getBoxes().getAddress(),
                Map.of());
    }

    static News news(GenerationMessage n) {
        News.Builder news = News.newBuilder();
        if (n instanceof GenerationMessage.Claim c) {
            news.setClaim(c.id()).setNumber(c.claimNumber());
        } else if (n instanceof GenerationMessage.ClaimAnswer c) {
            news.setOf(c.generation()).setNumber(c.claimNumber());
            if (c.granted()) {
                news.setGranted(c.id());
            } else {
                news.setDenied(c.id());
            }
        } else if (n instanceof GenerationMessage.RequestReleased r) {
            news.setReleased(r.id());
        } else if (n instanceof GenerationMessage.AttemptSent s) {
            news.setSent(Out.newBuilder().setToken(s.token()).setBox(s.server()));
        } else if (n instanceof GenerationMessage.AttemptEnded e) {
            news.setEnded(e.token());
        } else if (n instanceof GenerationMessage.EndpointListRelayed t) {
            news.setBoxes(boxes(t.list(), t.discoveryAddress(), Map.of()));
        }
        return news.build();
    }

    /** The news, or null where a later version tells of something that this one doesn't know. */
    static GenerationMessage news(News n) {
        return switch (n.getWhatCase()) {
            case CLAIM -> new GenerationMessage.Claim(n.getClaim(), n.getNumber());
            case GRANTED -> new GenerationMessage.ClaimAnswer(n.getOf(), n.getGranted(), n.getNumber(), true);
            case DENIED -> new GenerationMessage.ClaimAnswer(n.getOf(), n.getDenied(), n.getNumber(), false);
            case RELEASED -> new GenerationMessage.RequestReleased(n.getReleased());
            case SENT -> new GenerationMessage.AttemptSent(n.getSent().getToken(), n.getSent().getBox());
            case ENDED -> new GenerationMessage.AttemptEnded(n.getEnded());
            case BOXES -> new GenerationMessage.EndpointListRelayed(list(n.getBoxes()),
                    n.getBoxes().getAddress());
            default -> null;
        };
    }

    private static Boxes boxes(EndpointList list, String address, Map<Long, Long> toldAt) {
        Boxes.Builder all = Boxes.newBuilder().setVersion(list.version()).setFull(list.full())
                .setAddress(address == null ? "" : address);
        for (ModelServer box : list.servers()) {
            ServerState r = box.replica();
            all.addBoxes(Box.newBuilder().setName(box.name()).setAddress(box.address()).setId(r.id())
                    .setSite(r.zone()).setKind(r.kind()).setCell(r.cell()).setWeight(r.weight())
                    .setLifecycle(r.lifecycle().ordinal()).setStartedAt(r.startedAt())
                    .setToldAt(toldAt.getOrDefault(r.id(), 0L)));
        }
        return all.build();
    }

    private static EndpointList list(Boxes boxes) {
        List<ModelServer> all = new ArrayList<>();
        for (Box b : boxes.getBoxesList()) {
            if (b.getLifecycle() < 0 || b.getLifecycle() >= Lifecycle.values().length) {
                throw new IllegalArgumentException("box " + b.getName() + " is in an unknown state");
            }
            all.add(new ModelServer(b.getName(), b.getAddress(), new ServerState(b.getId(), b.getSite(),
                    b.getKind(),
                    b.getCell(), b.getWeight(), Lifecycle.values()[b.getLifecycle()], b.getStartedAt())));
        }
        return new EndpointList(boxes.getVersion(), boxes.getFull(), all);
    }

    private static Memory memory(umberspread.LearnedState m) {
        Memory.Builder all = Memory.newBuilder().setUnitWeight(m.referenceWeight())
                .setAverageWorth(m.averageWorth()).setSendTally(m.recentFirstTokens())
                .setReadRate(m.prefillRate()).setUnnamed(m.unkeyedRequests()).setPlannedAt(m.plannedAt())
                .addAllClassTime(m.classLatency()).putAllKindTime(m.kindLatencyRatio())
                .addAllMunicipalityTally(m.tenantRequests()).addAllTaken(m.recentArrivals())
                .addAllFurther(m.recentExtraAttempts()).addAllPoolArrivals(m.poolArrivals());
        for (umberspread.LearnedState.LearnedServer r : m.servers()) {
            all.addNodes(NodeMemory.newBuilder().setId(r.id()).setPoints(r.points())
                    .addAllRestUntil(r.classBackoffUntil()).addAllStrikes(r.classFailures())
                    .setEjectedUntil(r.ejectedUntil()).setEjections(r.ejections())
                    .setBreaks(r.consecutiveResets()).setSlowUntil(r.slowUntil())
                    .setLastDelay(r.lastFirstTokenDelay()).setColdBudgetAt(r.nextColdSendAt())
                    .setBudgetedStart(r.coldBudgetStart()));
        }
        for (umberspread.LearnedState.LearnedKey k : m.keys()) {
            all.addKeys(KeyMemory.newBuilder().setKey(k.key()).setTally(k.recentRequests())
                    .setSpread(k.spread()).setPool(k.poolIndex()));
        }
        return all.build();
    }

    private static umberspread.LearnedState memory(Memory m) {
        List<umberspread.LearnedState.LearnedServer> replicas = new ArrayList<>();
        for (NodeMemory n : m.getNodesList()) {
            replicas.add(new umberspread.LearnedState.LearnedServer(n.getId(), n.getPoints(),
                    n.getRestUntilList(),
                    n.getStrikesList(), n.getEjectedUntil(), n.getEjections(), n.getBreaks(),
                    n.getSlowUntil(), n.getLastDelay(), n.getColdBudgetAt(), n.getBudgetedStart()));
        }
        List<umberspread.LearnedState.LearnedKey> keys = new ArrayList<>();
        for (KeyMemory k : m.getKeysList()) {
            keys.add(new umberspread.LearnedState.LearnedKey(k.getKey(), k.getTally(), k.getSpread(),
                    k.getPool()));
        }
        return new umberspread.LearnedState(m.getUnitWeight(), m.getAverageWorth(), m.getSendTally(),
                m.getReadRate(), m.getUnnamed(),
                m.getPlannedAt(), m.getClassTimeList(), m.getKindTimeMap(), m.getMunicipalityTallyList(),
                m.getTakenList(), m.getFurtherList(), replicas, keys, m.getPoolArrivalsList());
    }
}
