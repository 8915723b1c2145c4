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
 * Reads lists of servers. An entry that can't be used is logged and skipped; the rest of its list counts,
 * and so does the entry's word that its server drains or is gone: that needs no more than an id and a state.
 */
public final class EndpointListReader {
    private static final double MOST_WEIGHT = 1e9;
    /** The later, the more it ends its server's use. */
    private static final List<Lifecycle> BY_SEVERITY =
            List.of(Lifecycle.READY, Lifecycle.DRAINING, Lifecycle.GONE);

    private final NameIndexes names;
    private final Consumer<String> log;
    /** Which id each name has, for as long as it is listed: two names of one number must not be mixed up. */
    private final Map<String, Long> idsByName = new HashMap<>();

    public EndpointListReader(NameIndexes names, Consumer<String> log) {
        this.names = names;
        this.log = log;
    }

    /** The names in this list have the ids that they have there. */
    public void remember(EndpointList list) {
        list.servers().forEach(server -> idsByName.put(server.name(), server.id()));
    }

    /** The list in a text; throws JSONException if it is none. */
    public EndpointList read(String text) {
        return read(new JSONObject(text));
    }

    /** The list in a JSON object; throws JSONException if it is none. */
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
        return new EndpointList(version, full, List.copyOf(servers.values()));
    }

    /** Of several entries for one server the first counts, unless a later one ends the server's use. */
    private void add(Map<Long, ModelServer> servers, ModelServer server, int place) {
        ModelServer before = servers.putIfAbsent(server.id(), server);
        if (before == null) {
            return;
        }
        log.accept("box list entry " + place + ": " + server.name() + " is listed twice");
        if (severity(server) > severity(before)) {
            servers.put(server.id(), server);
        }
    }

    private static int severity(ModelServer server) {
        return BY_SEVERITY.indexOf(server.replica().lifecycle());
    }

    /** Servers come and go for as long as the router runs: the names of those that are gone must not stay. */
    private void forgetUnlisted(Collection<ModelServer> servers, boolean full) {
        Set<String> listed = new HashSet<>();
        Set<String> gone = new HashSet<>();
        servers.forEach(server -> (server.isGone() ? gone : listed).add(server.name()));
        idsByName.keySet().removeIf(name -> gone.contains(name) || full && !listed.contains(name));
    }

    private ModelServer server(JSONObject entry, int place) {
        String name = entry.getString("id");
        long id = idOf(name);
        Lifecycle lifecycle = lifecycle(entry.getString("state"), name, place);
        if (lifecycle == Lifecycle.GONE) {
            return withStateOnly(name, id, lifecycle);
        }
        try {
            return whole(entry, name, id, lifecycle);
        } catch (JSONException | IllegalArgumentException e) {
            if (lifecycle == Lifecycle.READY) {
                throw e;
            }
            log.accept("box list entry " + place + " skipped but for its drain: " + e.getMessage());
            return withStateOnly(name, id, lifecycle);
        }
    }

    /** A state that is not known is not "up": its server is to get nothing new. */
    private Lifecycle lifecycle(String state, String name, int place) {
        return switch (state) {
            case "up" -> Lifecycle.READY;
            case "draining" -> Lifecycle.DRAINING;
            case "removed" -> Lifecycle.GONE;
            default -> {
                log.accept("box list entry " + place + ": " + name + " counts as draining, for its state is "
                        + state);
                yield Lifecycle.DRAINING;
            }
        };
    }

    private static ModelServer withStateOnly(String name, long id, Lifecycle lifecycle) {
        return new ModelServer(name, "", new ServerState(id, 0, 0, 0, 1, lifecycle, 0));
    }

    private ModelServer whole(JSONObject entry, String name, long id, Lifecycle lifecycle) {
        String address = entry.getString("addr");
        Addresses.parse(address);
        double weight = entry.optDouble("weight", 1);
        long startedMillis = entry.optLong("started_ms", 0);
        if (!(weight >= 0 && weight <= MOST_WEIGHT) || startedMillis < 0) {
            throw new IllegalArgumentException("impossible weight or start");
        }
        return new ModelServer(name, address, new ServerState(id, place(names.zones(), entry, "zone"),
                place(names.serverKinds(), entry, "kind"), entry.optInt("cell", 0), weight, lifecycle,
                startedMillis * 1000));
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
            throw new IllegalArgumentException("no usable id: " + name);
        }
        idsByName.put(name, id);
        return id;
    }

    private static int place(Map<String, Integer> places, JSONObject entry, String key) {
        Integer place = places.get(entry.getString(key));
        if (place == null) {
            throw new IllegalArgumentException("unknown " + key + " " + entry.getString(key));
        }
        return place;
    }
}
