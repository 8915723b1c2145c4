package yewdock.platform;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ServerState;
import yewdock.core.EndpointList;
import yewdock.core.ModelServer;

/**
 * Parses endpoint lists. An entry that can't be used is logged and skipped, and the rest of its list is used.
 * An entry that says that its server drains or is removed is always obeyed: it needs only an id and a state.
 */
public final class EndpointListReader {
    private static final double MAX_WEIGHT = 1e9;
    /** From the least to the most restrictive. */
    private static final List<Lifecycle> BY_SEVERITY =
            List.of(Lifecycle.READY, Lifecycle.DRAINING, Lifecycle.GONE);

    private final NameIndexes names;
    private final Consumer<String> log;
    private final ServerStartTimes startTimes;
    /** The id of each listed name. Two names that contain the same number must not share an id. */
    private final Map<String, Long> idsByName = new HashMap<>();

    /**
     * Makes a reader that resolves zones and kinds by these names, logs unusable entries and gives start
     * times on the router's clock.
     */
    EndpointListReader(NameIndexes names, Consumer<String> log, ServerStartTimes startTimes) {
        this.names = names;
        this.log = log;
        this.startTimes = startTimes;
    }

    /** Keeps the ids that servers have in this list, which is from the configuration or a predecessor. */
    public void remember(EndpointList list) {
        list.servers().forEach(server -> idsByName.put(server.name(), server.id()));
    }

    /** Parses a list; throws JSONException if it is malformed. */
    public EndpointList read(String text) {
        return read(new JSONObject(text));
    }

    /** Reads the list in a JSON object; throws JSONException if it is malformed. */
    public EndpointList read(JSONObject list) {
        long version = list.getLong("version");
        boolean full = list.getBoolean("full");
        JSONArray entries = list.getJSONArray("servers");
        Map<Long, ModelServer> servers = new LinkedHashMap<>();
        for (int i = 0; i < entries.length(); i++) {
            try {
                add(servers, server(entries.getJSONObject(i), i), i);
            } catch (JSONException | IllegalArgumentException e) {
                log.accept("box list entry " + i + " skipped: " + e.getMessage());
            }
        }
        forgetUnlisted(servers.values(), full);
        startTimes.retain(Set.copyOf(idsByName.values()));
        return new EndpointList(version, full, List.copyOf(servers.values()));
    }

    /** Of several entries for a server, the most restrictive one counts; of equal ones, the first. */
    private void add(Map<Long, ModelServer> servers, ModelServer server, int index) {
        ModelServer existing = servers.putIfAbsent(server.id(), server);
        if (existing == null) {
            return;
        }
        log.accept("box list entry " + index + ": " + server.name() + " is listed twice");
        if (severity(server) > severity(existing)) {
            servers.put(server.id(), server);
        }
    }

    private static int severity(ModelServer server) {
        return BY_SEVERITY.indexOf(server.replica().lifecycle());
    }

    /** Drops the names of servers that are no longer listed, which would otherwise accumulate. */
    private void forgetUnlisted(Collection<ModelServer> servers, boolean full) {
        Set<String> listed = new HashSet<>();
        Set<String> removed = new HashSet<>();
        servers.forEach(server -> (server.isGone() ? removed : listed).add(server.name()));
        idsByName.keySet().removeIf(name -> removed.contains(name) || full && !listed.contains(name));
    }

    private ModelServer server(JSONObject entry, int index) {
        String name = entry.getString("id");
        long id = idOf(name);
        Lifecycle lifecycle = lifecycle(entry.getString("state"), name, index);
        if (lifecycle == Lifecycle.GONE) {
            return withStateOnly(name, id, lifecycle);
        }
        try {
            return parseUsable(entry, name, id, lifecycle);
        } catch (JSONException | IllegalArgumentException e) {
            if (lifecycle == Lifecycle.READY) {
                throw e;
            }
            log.accept("box list entry " + index + " skipped but for its drain: " + e.getMessage());
            return withStateOnly(name, id, lifecycle);
        }
    }

    /** An unknown state counts as draining: the server gets no new requests. */
    private Lifecycle lifecycle(String state, String name, int index) {
        return switch (state) {
            case "up" -> Lifecycle.READY;
            case "draining" -> Lifecycle.DRAINING;
            case "removed" -> Lifecycle.GONE;
            default -> {
                log.accept("box list entry " + index + ": " + name
                        + " is treated as draining, its state is unknown: " + state);
                yield Lifecycle.DRAINING;
            }
        };
    }

    private static ModelServer withStateOnly(String name, long id, Lifecycle lifecycle) {
        return new ModelServer(name, "", new ServerState(id, 0, 0, 0, 1, lifecycle, 0));
    }

    private ModelServer parseUsable(JSONObject entry, String name, long id, Lifecycle lifecycle) {
        String address = entry.getString("addr");
        Addresses.parse(address);
        double weight = entry.optDouble("weight", 1);
        long startedMillis = entry.optLong("started_ms", 0);
        if (!(weight >= 0 && weight <= MAX_WEIGHT) || startedMillis < 0) {
            throw new IllegalArgumentException("weight or started_ms is out of range");
        }
        return new ModelServer(name, address, new ServerState(id, index(names.zones(), entry, "zone"),
                index(names.serverKinds(), entry, "kind"), entry.optInt("cell", 0), weight, lifecycle,
                startTimes.onRouterClock(id, startedMillis * 1000)));
    }

    private long idOf(String name) {
        Long known = idsByName.get(name);
        if (known != null) {
            return known;
        }
        long id = Ids.of(name);
        if (idsByName.containsValue(id)) {
            id = Ids.hash(name);
        }
        if (id == 0 || idsByName.containsValue(id)) {
            throw new IllegalArgumentException("no unique id for the name " + name);
        }
        idsByName.put(name, id);
        return id;
    }

    private static int index(Map<String, Integer> indexes, JSONObject entry, String key) {
        Integer index = indexes.get(entry.getString(key));
        if (index == null) {
            throw new IllegalArgumentException("unknown " + key + " " + entry.getString(key));
        }
        return index;
    }
}
