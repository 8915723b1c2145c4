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

/** Converts the state and messages that generations exchange to protobuf and back. No I/O. */
public final class StateCodec {
    /** Version of the state format that is written, and the oldest that can be read. */
    static final int VERSION = 1;
    static final int OLDEST_READABLE_VERSION = 1;
    /** Lowest format version that a reader must support to read what is written now. */
    static final int MIN_READER_VERSION = 1;
    /** The clocks of two processes differ by more than this only if the wall clock was stepped between. */
    private static final long MIN_CLOCK_STEP_MICROS = 100_000;

    private StateCodec() {
    }

    /**
     * The state that a generation takes over, with the discovery address that the endpoint list came from.
     * StateReportedAt is the time at which each server's state was reported, by server id, in microseconds on
     * the reader's clock; learnedState the module's learned state, null if there is none; clockShiftMicros
     * the offset from the writer's clock to the reader's.
     */
    public record InheritedState(EndpointList endpointList, String discoveryAddress,
            Map<Long, Long> stateReportedAt, umberspread.LearnedState learnedState, long clockShiftMicros,
            Map<String, Long> counters, boolean afterRestart) {
    }

    /** Encodes the state of a generation at this time on its clock (microseconds) and the monotonic clock. */
    public static State write(GenerationState generation, umberspread.LearnedState learnedState,
            Map<String, Long> counters, long clockMicros, long monoNanos) {
        return State.newBuilder().setVersion(VERSION).setLeastReader(MIN_READER_VERSION).setClock(clockMicros)
                .setMonoNanos(monoNanos)
                .setBoxes(encodeEndpointList(generation.endpointList(), generation.discoveryAddress(),
                        generation.toldAt()))
                .setModule(learnedState(learnedState)).putAllCounters(counters).build();
    }

    /** Decodes a state at this time on the reader's clock in microseconds; null if the state is empty. */
    public static InheritedState read(State encoded, long clockMicros, long monoNanos)
            throws UnreadableStateException {
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
            for (Box server : encoded.getBoxes().getBoxesList()) {
                if (server.getToldAt() != 0) {
                    toldAt.put(server.getId(), server.getToldAt() + shiftMicros);
                }
            }
            return new InheritedState(decodeEndpointList(encoded.getBoxes(), startShift(shiftMicros)),
                    encoded.getBoxes().getAddress(), toldAt,
                    encoded.hasModule() ? learnedState(encoded.getModule()) : null, shiftMicros,
                    Map.copyOf(encoded.getCountersMap()), encoded.getAfterRestart());
        } catch (IllegalArgumentException e) {
            throw new UnreadableStateException("the state can't be read: " + e.getMessage());
        }
    }

    /** Decodes operator overrides. */
    static Map<String, OperatorOverride> overrides(Marks encoded) {
        Map<String, OperatorOverride> overrides = new HashMap<>();
        encoded.getByBoxMap().forEach((server, override) -> {
            switch (override.getKind()) {
                case DRAIN -> overrides.put(server, OperatorOverride.DRAINS);
                case GONE -> overrides.put(server, new OperatorOverride(OperatorOverride.Kind.GONE,
                        override.getStartedAt()));
                case BACK -> overrides.put(server, new OperatorOverride(OperatorOverride.Kind.BACK,
                        override.getStartedAt()));
                default -> { }
            }
        });
        return overrides;
    }

    /** Encodes operator overrides; with changes set, the overrides of servers not named stay as they are. */
    static Marks overrides(Map<String, OperatorOverride> overrides, boolean changes) {
        Marks.Builder encoded = Marks.newBuilder().setChanges(changes);
        overrides.forEach((server, override) -> encoded.putByBox(server,
                Mark.newBuilder().setKind(kind(override)).setStartedAt(override.atEpochMicros()).build()));
        return encoded.build();
    }

    private static Mark.Kind kind(OperatorOverride override) {
        return switch (override.kind()) {
            case DRAINS -> Mark.Kind.DRAIN;
            case GONE -> Mark.Kind.GONE;
            case BACK -> Mark.Kind.BACK;
        };
    }

    /** Encodes the module's learned state for the supervisor to store. */
    static Keep encodeLearnedState(umberspread.LearnedState learnedState, long clockMicros) {
        return Keep.newBuilder().setClock(clockMicros).setModule(learnedState(learnedState)).build();
    }

    /** Encodes what a generation holds: open request ids, attempts in flight and the endpoint list. */
    static Sharing encodeGenerationState(GenerationState generation) {
        Sharing.Builder encoded = Sharing.newBuilder().addAllIds(generation.requestIds())
                .setListConfirmed(generation.listConfirmed())
                .addAllRecentIds(generation.recentIds())
                .setBoxes(encodeEndpointList(generation.endpointList(), generation.discoveryAddress(),
                        generation.toldAt()));
        generation.attemptsInFlight().forEach(o ->
                encoded.addOuts(Out.newBuilder().setToken(o.token()).setBox(o.server())));
        return encoded.build();
    }

    /** Decodes what another generation holds; without the report times of server states. */
    static GenerationState decodeGenerationState(Sharing encoded) {
        List<GenerationMessage.AttemptSent> attempts = new ArrayList<>();
        encoded.getOutsList().forEach(o ->
                attempts.add(new GenerationMessage.AttemptSent(o.getToken(), o.getBox())));
        return new GenerationState(encoded.getIdsList(), encoded.getRecentIdsList(), attempts,
                decodeEndpointList(encoded.getBoxes()),
                encoded.getBoxes().getAddress(), encoded.getListConfirmed(), Map.of());
    }

    /** Encodes a message to other generations. */
    static News message(GenerationMessage n) {
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
            news.setReleased(r.id()).setMayHaveRun(r.mayHaveRun());
        } else if (n instanceof GenerationMessage.AttemptSent s) {
            news.setSent(Out.newBuilder().setToken(s.token()).setBox(s.server()));
        } else if (n instanceof GenerationMessage.AttemptEnded e) {
            news.setEnded(e.token());
        } else if (n instanceof GenerationMessage.EndpointListRelayed t) {
            news.setBoxes(encodeEndpointList(t.list(), t.discoveryAddress(), Map.of()));
        }
        return news.build();
    }

    /** Decodes a message from another generation; null if this version does not know its kind. */
    static GenerationMessage message(News n) {
        return switch (n.getWhatCase()) {
            case CLAIM -> new GenerationMessage.Claim(n.getClaim(), n.getNumber());
            case GRANTED -> new GenerationMessage.ClaimAnswer(n.getOf(), n.getGranted(), n.getNumber(), true);
            case DENIED -> new GenerationMessage.ClaimAnswer(n.getOf(), n.getDenied(), n.getNumber(), false);
            case RELEASED -> new GenerationMessage.RequestReleased(n.getReleased(), n.getMayHaveRun());
            case SENT -> new GenerationMessage.AttemptSent(n.getSent().getToken(), n.getSent().getBox());
            case ENDED -> new GenerationMessage.AttemptEnded(n.getEnded());
            case BOXES -> new GenerationMessage.EndpointListRelayed(decodeEndpointList(n.getBoxes()),
                    n.getBoxes().getAddress());
            default -> null;
        };
    }

    private static Boxes encodeEndpointList(EndpointList list, String address, Map<Long, Long> toldAt) {
        Boxes.Builder encoded = Boxes.newBuilder().setVersion(list.version()).setFull(list.full())
                .setAddress(address == null ? "" : address);
        for (ModelServer server : list.servers()) {
            ServerState state = server.replica();
            encoded.addBoxes(Box.newBuilder().setName(server.name()).setAddress(server.address())
                    .setId(state.id()).setSite(state.zone()).setKind(state.kind()).setCell(state.cell())
                    .setWeight(state.weight()).setLifecycle(state.lifecycle().ordinal())
                    .setStartedAt(state.startedAt()).setToldAt(toldAt.getOrDefault(state.id(), 0L)));
        }
        return encoded.build();
    }

    /** How far start times are to be moved; they are not for less than a step of the wall clock. */
    private static long startShift(long clockShiftMicros) {
        return Math.abs(clockShiftMicros) < MIN_CLOCK_STEP_MICROS ? 0 : clockShiftMicros;
    }

    private static EndpointList decodeEndpointList(Boxes encoded) {
        return decodeEndpointList(encoded, 0);
    }

    private static EndpointList decodeEndpointList(Boxes encoded, long startShiftMicros) {
        List<ModelServer> servers = new ArrayList<>();
        for (Box server : encoded.getBoxesList()) {
            if (server.getLifecycle() < 0 || server.getLifecycle() >= Lifecycle.values().length) {
                throw new IllegalArgumentException("server " + server.getName() + " is in an unknown state");
            }
            servers.add(new ModelServer(server.getName(), server.getAddress(), new ServerState(server.getId(),
                    server.getSite(), server.getKind(), server.getCell(), server.getWeight(),
                    Lifecycle.values()[server.getLifecycle()],
                    server.getStartedAt() == 0 ? 0 : server.getStartedAt() + startShiftMicros)));
        }
        return new EndpointList(encoded.getVersion(), encoded.getFull(), servers);
    }

    private static Memory learnedState(umberspread.LearnedState m) {
        Memory.Builder encoded = Memory.newBuilder().setUnitWeight(m.referenceWeight())
                .setAverageWorth(m.averageWorth()).setSendTally(m.recentFirstTokens())
                .setReadRate(m.prefillRate()).setUnnamed(m.unkeyedRequests()).setPlannedAt(m.plannedAt())
                .addAllClassTime(m.classLatency()).putAllKindTime(m.kindLatencyRatio())
                .addAllMunicipalityTally(m.tenantRequests())
                .addAllTaken(m.recentArrivals()).addAllFurther(m.recentExtraAttempts())
                .addAllPoolArrivals(m.poolArrivals());
        for (umberspread.LearnedState.LearnedServer server : m.servers()) {
            encoded.addNodes(NodeMemory.newBuilder().setId(server.id()).setPoints(server.points())
                    .addAllRestUntil(server.classBackoffUntil()).addAllStrikes(server.classFailures())
                    .setEjectedUntil(server.ejectedUntil()).setEjections(server.ejections())
                    .setBreaks(server.consecutiveResets()).setSlowUntil(server.slowUntil())
                    .setLastDelay(server.lastFirstTokenDelay())
                    .setColdBudgetAt(server.nextColdSendAt()).setBudgetedStart(server.coldBudgetStart()));
        }
        for (umberspread.LearnedState.LearnedKey key : m.keys()) {
            encoded.addKeys(KeyMemory.newBuilder().setKey(key.key()).setTally(key.recentRequests())
                    .setSpread(key.spread()).setPool(key.poolIndex()));
        }
        return encoded.build();
    }

    private static umberspread.LearnedState learnedState(Memory m) {
        List<umberspread.LearnedState.LearnedServer> servers = new ArrayList<>();
        for (NodeMemory server : m.getNodesList()) {
            servers.add(new umberspread.LearnedState.LearnedServer(server.getId(), server.getPoints(),
                    server.getRestUntilList(), server.getStrikesList(), server.getEjectedUntil(),
                    server.getEjections(), server.getBreaks(), server.getSlowUntil(), server.getLastDelay(),
                    server.getColdBudgetAt(), server.getBudgetedStart()));
        }
        List<umberspread.LearnedState.LearnedKey> keys = new ArrayList<>();
        for (KeyMemory key : m.getKeysList()) {
            keys.add(new umberspread.LearnedState.LearnedKey(key.getKey(), key.getTally(), key.getSpread(),
                    key.getPool()));
        }
        return new umberspread.LearnedState(m.getUnitWeight(), m.getAverageWorth(), m.getSendTally(),
                m.getReadRate(), m.getUnnamed(),
                m.getPlannedAt(), m.getClassTimeList(), m.getKindTimeMap(), m.getMunicipalityTallyList(),
                m.getTakenList(), m.getFurtherList(), servers, keys, m.getPoolArrivalsList());
    }
}
