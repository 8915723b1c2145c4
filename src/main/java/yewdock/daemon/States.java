package yewdock.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.Replica;
import yewdock.desk.BoxMark;
import yewdock.desk.EndpointList;
import yewdock.desk.Holdings;
import yewdock.desk.ModelServer;
import yewdock.desk.OtherNews;
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

/** Converts the state and messages that generations exchange to protobuf and back. No I/O. */
public final class States {
    /** Version of the state format that is written, and the oldest that can be read. */
    static final int VERSION = 1;
    static final int OLDEST_READABLE_VERSION = 1;
    /** Lowest format version that a reader must support to read what is written now. */
    static final int MIN_READER_VERSION = 1;

    private States() {
    }

    /**
     * The state that a generation takes over. Memory is the module's learned state, null if there is none;
     * toldAt the time at which each server's state was reported, by server id in microseconds on the reader's
     * clock; shift the offset in microseconds from the writer's clock to the reader's.
     */
    public record Left(EndpointList boxes, String listAddress, Map<Long, Long> toldAt,
            umberspread.Memory memory,
            long shift, Map<String, Long> counters, boolean afterRestart) {
    }

    /** Encodes the state of a generation at this time on its clock (microseconds) and the monotonic clock. */
    public static State write(Holdings generation, umberspread.Memory memory, Map<String, Long> counters,
            long clockMicros, long monoNanos) {
        return State.newBuilder().setVersion(VERSION).setLeastReader(MIN_READER_VERSION).setClock(clockMicros)
                .setMonoNanos(monoNanos)
                .setBoxes(encodeEndpointList(generation.boxes(), generation.listAddress(),
                        generation.toldAt()))
                .setModule(learnedState(memory)).putAllCounters(counters).build();
    }

    /** Decodes a state at this time on the reader's clock in microseconds; null if the state is empty. */
    public static Left read(State encoded, long clockMicros, long monoNanos) throws UnreadableStateException {
        if (encoded.getVersion() == 0 && encoded.getLeastReader() == 0 && !encoded.hasModule()) {
            return null;
        }
        if (encoded.getVersion() < OLDEST_READABLE_VERSION) {
            throw new UnreadableStateException("the state's version is " + encoded.getVersion()
                    + "; this program reads versions from " + OLDEST_READABLE_VERSION + " on");
        }
        if (encoded.getLeastReader() > VERSION) {
            throw new UnreadableStateException("the state's version is " + encoded.getVersion()
                    + ", for readers of " + encoded.getLeastReader()
                    + " or later; this program's is " + VERSION);
        }
        long ageMicros = (monoNanos - encoded.getMonoNanos()) / 1000;
        if (ageMicros < 0) {
            throw new UnreadableStateException("the state was written before this machine was rebooted");
        }
        // when the state was written: the time on the reader's clock minus the time on the writer's
        long shiftMicros = clockMicros - ageMicros - encoded.getClock();
        try {
            Map<Long, Long> toldAt = new HashMap<>();
            for (Box box : encoded.getBoxes().getBoxesList()) {
                if (box.getToldAt() != 0) {
                    toldAt.put(box.getId(), box.getToldAt() + shiftMicros);
                }
            }
            return new Left(decodeEndpointList(encoded.getBoxes()), encoded.getBoxes().getAddress(), toldAt,
                    encoded.hasModule() ? learnedState(encoded.getModule()) : null, shiftMicros,
                    Map.copyOf(encoded.getCountersMap()), encoded.getAfterRestart());
        } catch (IllegalArgumentException e) {
            throw new UnreadableStateException("the state can't be read: " + e.getMessage());
        }
    }

    /** Decodes operator overrides. */
    static Map<String, BoxMark> overrides(Marks encoded) {
        Map<String, BoxMark> overrides = new HashMap<>();
        encoded.getByBoxMap().forEach((server, override) -> {
            switch (override.getKind()) {
                case DRAIN -> overrides.put(server, BoxMark.DRAINS);
                case GONE -> overrides.put(server, new BoxMark(BoxMark.Kind.GONE, override.getStartedAt()));
                case BACK -> overrides.put(server, new BoxMark(BoxMark.Kind.BACK, override.getStartedAt()));
                default -> { }
            }
        });
        return overrides;
    }

    /** Encodes operator overrides; with changes set, the overrides of servers not named stay as they are. */
    static Marks overrides(Map<String, BoxMark> overrides, boolean changes) {
        Marks.Builder encoded = Marks.newBuilder().setChanges(changes);
        overrides.forEach((server, override) -> encoded.putByBox(server,
                Mark.newBuilder().setKind(kind(override)).setStartedAt(override.at()).build()));
        return encoded.build();
    }

    private static Mark.Kind kind(BoxMark override) {
        return switch (override.kind()) {
            case DRAINS -> Mark.Kind.DRAIN;
            case GONE -> Mark.Kind.GONE;
            case BACK -> Mark.Kind.BACK;
        };
    }

    /** Encodes the module's learned state for the supervisor to store. */
    static Keep encodeLearnedState(umberspread.Memory memory, long clockMicros) {
        return Keep.newBuilder().setClock(clockMicros).setModule(learnedState(memory)).build();
    }

    /** Encodes what a generation holds: open request ids, attempts in flight and the endpoint list. */
    static Sharing encodeGenerationState(Holdings generation) {
        Sharing.Builder encoded = Sharing.newBuilder().addAllIds(generation.ids())
                .setBoxes(encodeEndpointList(generation.boxes(), generation.listAddress(),
                        generation.toldAt()));
        generation.out().forEach(o -> encoded.addOuts(Out.newBuilder().setToken(o.token()).setBox(o.box())));
        return encoded.build();
    }

    /** Decodes what another generation holds; without the report times of server states. */
    static Holdings decodeGenerationState(Sharing encoded) {
        List<OtherNews.Sent> attempts = new ArrayList<>();
        encoded.getOutsList().forEach(o -> attempts.add(new OtherNews.Sent(o.getToken(), o.getBox())));
        return new Holdings(encoded.getIdsList(), attempts, decodeEndpointList(encoded.getBoxes()),
                encoded.getBoxes().getAddress(), Map.of());
    }

    /** Encodes a message to other generations. */
    static News message(OtherNews n) {
        News.Builder news = News.newBuilder();
        if (n instanceof OtherNews.Claim c) {
            news.setClaim(c.id()).setNumber(c.number());
        } else if (n instanceof OtherNews.Claimed c) {
            news.setOf(c.to()).setNumber(c.number());
            if (c.granted()) {
                news.setGranted(c.id());
            } else {
                news.setDenied(c.id());
            }
        } else if (n instanceof OtherNews.Released r) {
            news.setReleased(r.id());
        } else if (n instanceof OtherNews.Sent s) {
            news.setSent(Out.newBuilder().setToken(s.token()).setBox(s.box()));
        } else if (n instanceof OtherNews.Ended e) {
            news.setEnded(e.token());
        } else if (n instanceof OtherNews.Told t) {
            news.setBoxes(encodeEndpointList(t.list(), t.address(), Map.of()));
        }
        return news.build();
    }

    /** Decodes a message from another generation; null if this version does not know its kind. */
    static OtherNews message(News n) {
        return switch (n.getWhatCase()) {
            case CLAIM -> new OtherNews.Claim(n.getClaim(), n.getNumber());
            case GRANTED -> new OtherNews.Claimed(n.getOf(), n.getGranted(), n.getNumber(), true);
            case DENIED -> new OtherNews.Claimed(n.getOf(), n.getDenied(), n.getNumber(), false);
            case RELEASED -> new OtherNews.Released(n.getReleased());
            case SENT -> new OtherNews.Sent(n.getSent().getToken(), n.getSent().getBox());
            case ENDED -> new OtherNews.Ended(n.getEnded());
            case BOXES -> new OtherNews.Told(decodeEndpointList(n.getBoxes()), n.getBoxes().getAddress());
            default -> null;
        };
    }

    private static Boxes encodeEndpointList(EndpointList list, String address, Map<Long, Long> toldAt) {
        Boxes.Builder encoded = Boxes.newBuilder().setVersion(list.version()).setFull(list.full())
                .setAddress(address == null ? "" : address);
        for (ModelServer server : list.boxes()) {
            Replica state = server.replica();
            encoded.addBoxes(Box.newBuilder().setName(server.name()).setAddress(server.address())
                    .setId(state.id()).setSite(state.zone()).setKind(state.kind()).setCell(state.cell())
                    .setWeight(state.weight()).setLifecycle(state.lifecycle().ordinal())
                    .setStartedAt(state.startedAt()).setToldAt(toldAt.getOrDefault(state.id(), 0L)));
        }
        return encoded.build();
    }

    private static EndpointList decodeEndpointList(Boxes encoded) {
        List<ModelServer> servers = new ArrayList<>();
        for (Box server : encoded.getBoxesList()) {
            if (server.getLifecycle() < 0 || server.getLifecycle() >= Lifecycle.values().length) {
                throw new IllegalArgumentException("server " + server.getName() + " is in an unknown state");
            }
            servers.add(new ModelServer(server.getName(), server.getAddress(), new Replica(server.getId(),
                    server.getSite(), server.getKind(), server.getCell(), server.getWeight(),
                    Lifecycle.values()[server.getLifecycle()], server.getStartedAt())));
        }
        return new EndpointList(encoded.getVersion(), encoded.getFull(), servers);
    }

    private static Memory learnedState(umberspread.Memory m) {
        Memory.Builder encoded = Memory.newBuilder().setUnitWeight(m.unitWeight())
                .setAverageWorth(m.averageWorth()).setSendTally(m.firstTokenTally()).setReadRate(m.readRate())
                .setUnnamed(m.unnamed()).setPlannedAt(m.plannedAt()).addAllClassTime(m.classTime())
                .putAllKindTime(m.kindTime()).addAllMunicipalityTally(m.tenantTally())
                .addAllTaken(m.taken()).addAllFurther(m.further()).addAllPoolArrivals(m.poolArrivals());
        for (umberspread.Memory.OfReplica server : m.replicas()) {
            encoded.addNodes(NodeMemory.newBuilder().setId(server.id()).setPoints(server.points())
                    .addAllRestUntil(server.restUntil()).addAllStrikes(server.strikes())
                    .setEjectedUntil(server.ejectedUntil()).setEjections(server.ejections())
                    .setBreaks(server.breaks()).setSlowUntil(server.slowUntil())
                    .setLastDelay(server.lastDelay())
                    .setColdBudgetAt(server.coldBudgetAt()).setBudgetedStart(server.budgetedStart()));
        }
        for (umberspread.Memory.OfKey key : m.keys()) {
            encoded.addKeys(KeyMemory.newBuilder().setKey(key.key()).setTally(key.tally())
                    .setSpread(key.spread()).setPool(key.pool()));
        }
        return encoded.build();
    }

    private static umberspread.Memory learnedState(Memory m) {
        List<umberspread.Memory.OfReplica> replicas = new ArrayList<>();
        for (NodeMemory server : m.getNodesList()) {
            replicas.add(new umberspread.Memory.OfReplica(server.getId(), server.getPoints(),
                    server.getRestUntilList(), server.getStrikesList(), server.getEjectedUntil(),
                    server.getEjections(), server.getBreaks(), server.getSlowUntil(), server.getLastDelay(),
                    server.getColdBudgetAt(), server.getBudgetedStart()));
        }
        List<umberspread.Memory.OfKey> keys = new ArrayList<>();
        for (KeyMemory key : m.getKeysList()) {
            keys.add(new umberspread.Memory.OfKey(key.getKey(), key.getTally(), key.getSpread(),
                    key.getPool()));
        }
        return new umberspread.Memory(m.getUnitWeight(), m.getAverageWorth(), m.getSendTally(),
                m.getReadRate(), m.getUnnamed(),
                m.getPlannedAt(), m.getClassTimeList(), m.getKindTimeMap(), m.getMunicipalityTallyList(),
                m.getTakenList(), m.getFurtherList(), replicas, keys, m.getPoolArrivalsList());
    }
}
