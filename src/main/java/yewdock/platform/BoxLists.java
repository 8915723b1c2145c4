package yewdock.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.Replica;
import yewdock.desk.BoxList;
import yewdock.desk.ModelBox;

/** Reads box lists. A bad entry is logged and skipped; the rest of its list still counts. */
public final class BoxLists {
    private static final double MOST_WEIGHT = 1e9;
    private final Names names;
    private final Consumer<String> log;
    /** Which name each number stands for: two names of one number must not be mixed up. */
    private final Map<Long, String> known = new HashMap<>();

    public BoxLists(Names names, Consumer<String> log) {
        this.names = names;
        this.log = log;
    }

    /** The list in a text; throws JSONException if it is none. */
    public BoxList read(String text) {
        return read(new JSONObject(text));
    }

    /** The list in a JSON object; throws JSONException if it is none. */
    public BoxList read(JSONObject list) {
        JSONArray entries = list.getJSONArray("servers");
        List<ModelBox> boxes = new ArrayList<>();
        Set<Long> seen = new HashSet<>();
        for (int i = 0; i < entries.length(); i++) {
            try {
                ModelBox box = box(entries.getJSONObject(i));
                if (!seen.add(box.id())) {
                    throw new JSONException("listed twice");
                }
                boxes.add(box);
            } catch (JSONException | IllegalArgumentException e) {
                log.accept("box list entry " + i + " skipped: " + e.getMessage());
            }
        }
        boolean full = list.getBoolean("full");
        // Boxes come and go for as long as the router runs: the names of those that are gone must not stay.
        Set<String> kept = new HashSet<>();
        Set<String> gone = new HashSet<>();
        boxes.forEach(box -> (box.isGone() ? gone : kept).add(box.name()));
        known.values().removeIf(name -> gone.contains(name) || full && !kept.contains(name));
        return new BoxList(list.getLong("version"), full, boxes);
    }

    private ModelBox box(JSONObject entry) {
        String name = entry.getString("id");
        long id = idOf(name);
        String state = entry.getString("state");
        if (state.equals("removed")) {
            return new ModelBox(name, "", new Replica(id, 0, 0, 0, 1, Lifecycle.GONE, 0));
        }
        Lifecycle lifecycle = switch (state) {
            case "up" -> Lifecycle.READY;
            case "draining" -> Lifecycle.DRAINING;
            default -> throw new IllegalArgumentException("unknown state " + state);
        };
        String address = entry.getString("addr");
        Addresses.of(address);
        double weight = entry.optDouble("weight", 1);
        long startedMillis = entry.optLong("started_ms", 0);
        if (!(weight >= 0 && weight <= MOST_WEIGHT) || startedMillis < 0) {
            throw new IllegalArgumentException("impossible weight or start");
        }
        return new ModelBox(name, address, new Replica(id, place(names.sites(), entry, "zone"),
                place(names.kinds(), entry, "kind"), entry.optInt("cell", 0), weight, lifecycle,
                startedMillis * 1000));
    }

    private long idOf(String name) {
        long id = Ids.of(name);
        if (id != 0 && !known.computeIfAbsent(id, n -> name).equals(name)) {
            id = Ids.hash(name);
        }
        if (id == 0 || !known.computeIfAbsent(id, n -> name).equals(name)) {
            throw new IllegalArgumentException("no usable id: " + name);
        }
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
