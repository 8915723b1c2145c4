package yewdock.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ServerState;

/**
 * The known servers: what the endpoint list says of each, with the operators' overrides applied. An override
 * never changes the stored list entry, so lifting it restores the list's current state.
 */
final class KnownServers {
    private final LongSupplier now;
    /** The servers as the endpoint list has them, by id. */
    private final Map<Long, ModelServer> listed = new HashMap<>();
    /** The servers with the overrides applied, by id. */
    private final Map<Long, ModelServer> effective = new HashMap<>();
    /** When the endpoint list first reported each server's current state, in microseconds. */
    private final Map<Long, Long> stateSince = new HashMap<>();
    /** Overrides by server name; they outlast the server's entry in the endpoint list. */
    private final Map<String, OperatorOverride> overrides = new TreeMap<>();
    private final long maxColdMicros;

    KnownServers(LongSupplier now, long maxColdMicros) {
        this.now = now;
        this.maxColdMicros = maxColdMicros;
    }

    /** Applies an endpoint list or changes to it. */
    void apply(EndpointList list) {
        if (list.full()) {
            Set<Long> listedIds = new HashSet<>();
            list.servers().forEach(server -> listedIds.add(server.id()));
            listed.keySet().retainAll(listedIds);
            effective.keySet().retainAll(listedIds);
        }
        for (ModelServer server : list.servers()) {
            ModelServer previous = server.isGone() ? listed.remove(server.id())
                    : listed.put(server.id(), server);
            if (previous == null || previous.replica().lifecycle() != server.replica().lifecycle()) {
                stateSince.put(server.id(), now.getAsLong());
            }
            update(server);
        }
        stateSince.keySet().retainAll(listed.keySet());
    }

    /**
     * Returns the changes that end the use of known servers, from a list that may not be believed otherwise.
     * Servers that a whole list doesn't contain are returned with the given state.
     */
    List<ModelServer> endingsIn(EndpointList list, Lifecycle stateIfMissing) {
        List<ModelServer> ending = new ArrayList<>();
        Set<Long> listedIds = new HashSet<>();
        for (ModelServer server : list.servers()) {
            listedIds.add(server.id());
            if (!server.takesWork() && listed.containsKey(server.id())) {
                ending.add(server);
            }
        }
        for (ModelServer server : listed.values()) {
            if (list.full() && !listedIds.contains(server.id())) {
                ending.add(withState(server, stateIfMissing));
            }
        }
        return ending;
    }

    /** Replaces all overrides. Servers that no longer drain are back in service. */
    void replaceOverrides(Map<String, OperatorOverride> newOverrides) {
        Map<String, OperatorOverride> previous = new TreeMap<>(overrides);
        overrides.clear();
        overrides.putAll(newOverrides);
        previous.forEach((name, override) -> {
            if (override.kind() == OperatorOverride.Kind.BACK) {
                overrides.putIfAbsent(name, override);
            } else if (override.isDraining() && !newOverrides.containsKey(name)) {
                markBackInService(name);
            }
        });
        applyOverrides();
    }

    /** Sets one server's override, replacing an earlier one. */
    void setOverride(String name, OperatorOverride override) {
        overrides.put(name, override);
        applyOverrides();
    }

    /** Takes a server out of service on an operator's command. */
    void cordon(String name) {
        setOverride(name, OperatorOverride.DRAINS);
    }

    /** Puts a server back into service on an operator's command. */
    void uncordon(String name) {
        markBackInService(name);
        applyOverrides();
    }

    /**
     * Marks a server as back in service. It was restarted or idle while out of service, so it counts as cold
     * whatever the endpoint list says.
     */
    private void markBackInService(String name) {
        overrides.put(name, new OperatorOverride(OperatorOverride.Kind.BACK, now.getAsLong()));
    }

    private void applyOverrides() {
        overrides.values().removeIf(override -> override.kind() == OperatorOverride.Kind.BACK
                && override.atEpochMicros() + maxColdMicros < now.getAsLong());
        listed.values().forEach(this::update);
    }

    boolean isCordoned(String name) {
        OperatorOverride override = overrides.get(name);
        return override != null && override.isDraining();
    }

    /** Whether the endpoint list has a server of this name. */
    boolean isListed(String name) {
        return listed.values().stream().anyMatch(server -> server.name().equals(name));
    }

    /** Returns the overrides by server name. */
    Map<String, OperatorOverride> overrides() {
        return overrides;
    }

    /** Stores a server with its override applied, or removes it if it is gone. */
    private void update(ModelServer server) {
        ModelServer effectiveServer = withOverrides(server);
        if (effectiveServer.isGone()) {
            effective.remove(server.id());
        } else {
            effective.put(server.id(), effectiveServer);
        }
    }

    private ModelServer withOverrides(ModelServer server) {
        OperatorOverride override = overrides.get(server.name());
        if (override == null || server.isGone()) {
            return server;
        }
        long startedAt = server.replica().startedAt();
        return switch (override.kind()) {
            case DRAINS -> withState(server, Lifecycle.DRAINING);
            case GONE -> startedAt <= override.atEpochMicros() ? withState(server, Lifecycle.GONE) : server;
            // a server whose restart is on the list is as old as the list says
            case BACK -> startedAt >= override.atEpochMicros() ? server
                    : withState(server, server.replica().lifecycle(), override.atEpochMicros());
        };
    }

    /** Returns the server with another state. */
    static ModelServer withState(ModelServer server, Lifecycle lifecycle) {
        return withState(server, lifecycle, server.replica().startedAt());
    }

    private static ModelServer withState(ModelServer server, Lifecycle lifecycle, long startedAt) {
        ServerState state = server.replica();
        return new ModelServer(server.name(), server.address(), new ServerState(state.id(), state.zone(),
                state.kind(), state.cell(), state.weight(), lifecycle, startedAt));
    }

    /** Returns the list with the overrides applied. */
    EndpointList withOverrides(EndpointList list) {
        List<ModelServer> result = new ArrayList<>();
        for (ModelServer server : list.servers()) {
            ModelServer changed = withOverrides(server);
            // a whole list reports a server as gone by not containing it
            if (!list.full() || !changed.isGone()) {
                result.add(changed);
            }
        }
        return new EndpointList(list.version(), list.full(), result);
    }

    /** Returns a server with overrides applied; null if there is none. */
    ModelServer get(long id) {
        return effective.get(id);
    }

    /** Returns all servers with overrides applied. */
    Collection<ModelServer> all() {
        return effective.values();
    }

    /** Returns all servers as the endpoint list has them. */
    List<ModelServer> listed() {
        return List.copyOf(listed.values());
    }

    /** Returns when the endpoint list first reported each server's current state, in microseconds, by id. */
    Map<Long, Long> stateSince() {
        return stateSince;
    }

    /**
     * Takes over the times at which an earlier process learned of server states, where they are earlier than
     * the known ones.
     */
    void restoreStateTimes(Map<Long, Long> earlierTimes) {
        earlierTimes.forEach((serverId, at) -> stateSince.computeIfPresent(serverId,
                (id, since) -> Math.min(since, at)));
    }

    int retainedEntries() {
        return effective.size() + stateSince.size();
    }
}
