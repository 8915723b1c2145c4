package yewdock.desk;

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
import umberspread.Routing.Replica;

/**
 * The known servers: what the endpoint list says of each, with the operators' overrides applied. An override
 * never changes the stored list entry, so lifting it restores the list's current state.
 */
final class KnownServers {
    private final LongSupplier now;
    /** The servers as the endpoint list has them, by id. */
    private final Map<Long, ModelServer> told = new HashMap<>();
    /** The servers with the overrides applied, by id. */
    private final Map<Long, ModelServer> boxes = new HashMap<>();
    /** When the endpoint list first reported each server's current state, in microseconds. */
    private final Map<Long, Long> toldAt = new HashMap<>();
    /** Overrides by server name; they outlast the server's entry in the endpoint list. */
    private final Map<String, BoxMark> marks = new TreeMap<>();
    private final long coldFor;

    KnownServers(LongSupplier now, long coldFor) {
        this.now = now;
        this.coldFor = coldFor;
    }

    /** Applies an endpoint list or changes to it. */
    void keep(EndpointList list) {
        if (list.full()) {
            Set<Long> named = new HashSet<>();
            list.boxes().forEach(box -> named.add(box.id()));
            told.keySet().retainAll(named);
            boxes.keySet().retainAll(named);
        }
        for (ModelServer box : list.boxes()) {
            ModelServer before = box.isGone() ? told.remove(box.id()) : told.put(box.id(), box);
            if (before == null || before.replica().lifecycle() != box.replica().lifecycle()) {
                toldAt.put(box.id(), now.getAsLong());
            }
            place(box);
        }
        toldAt.keySet().retainAll(told.keySet());
    }

    /**
     * Returns the changes that end the use of known servers, from a list that may not be believed otherwise.
     * Servers that a whole list doesn't contain are returned with the given state.
     */
    List<ModelServer> endingsIn(EndpointList list, Lifecycle unnamed) {
        List<ModelServer> ending = new ArrayList<>();
        Set<Long> named = new HashSet<>();
        for (ModelServer server : list.boxes()) {
            named.add(server.id());
            if (!server.takesWork() && told.containsKey(server.id())) {
                ending.add(server);
            }
        }
        for (ModelServer server : told.values()) {
            if (list.full() && !named.contains(server.id())) {
                ending.add(as(server, unnamed));
            }
        }
        return ending;
    }

    /** Replaces all overrides. Servers that no longer drain are back in service. */
    void mark(Map<String, BoxMark> all) {
        Map<String, BoxMark> before = new TreeMap<>(marks);
        marks.clear();
        marks.putAll(all);
        before.forEach((name, mark) -> {
            if (mark.kind() == BoxMark.Kind.BACK) {
                marks.putIfAbsent(name, mark);
            } else if (mark.drains() && !all.containsKey(name)) {
                back(name);
            }
        });
        marksChanged();
    }

    /** Sets one server's override, replacing an earlier one. */
    void mark(String name, BoxMark mark) {
        marks.put(name, mark);
        marksChanged();
    }

    /** Takes a server out of service on an operator's command. */
    void cordon(String name) {
        mark(name, BoxMark.DRAINS);
    }

    /** Puts a server back into service on an operator's command. */
    void uncordon(String name) {
        back(name);
        marksChanged();
    }

    /**
     * Marks a server as back in service. It was restarted or idle while out of service, so it counts as cold
     * whatever the endpoint list says.
     */
    private void back(String name) {
        marks.put(name, new BoxMark(BoxMark.Kind.BACK, now.getAsLong()));
    }

    private void marksChanged() {
        marks.values().removeIf(mark -> mark.kind() == BoxMark.Kind.BACK
                && mark.at() + coldFor < now.getAsLong());
        told.values().forEach(this::place);
    }

    boolean cordoned(String name) {
        BoxMark mark = marks.get(name);
        return mark != null && mark.drains();
    }

    /** Whether the endpoint list has a server of this name. */
    boolean named(String name) {
        return told.values().stream().anyMatch(box -> box.name().equals(name));
    }

    Map<String, BoxMark> marks() {
        return marks;
    }

    private void place(ModelServer box) {
        ModelServer over = over(box);
        if (over.isGone()) {
            boxes.remove(box.id());
        } else {
            boxes.put(box.id(), over);
        }
    }

    private ModelServer over(ModelServer box) {
        BoxMark mark = marks.get(box.name());
        if (mark == null || box.isGone()) {
            return box;
        }
        long startedAt = box.replica().startedAt();
        return switch (mark.kind()) {
            case DRAINS -> as(box, Lifecycle.DRAINING);
            case GONE -> startedAt <= mark.at() ? as(box, Lifecycle.GONE) : box;
            // a server whose restart is on the list is as old as the list says
            case BACK -> startedAt >= mark.at() ? box : as(box, box.replica().lifecycle(), mark.at());
        };
    }

    /** Returns the server with another state. */
    static ModelServer as(ModelServer box, Lifecycle lifecycle) {
        return as(box, lifecycle, box.replica().startedAt());
    }

    private static ModelServer as(ModelServer box, Lifecycle lifecycle, long startedAt) {
        Replica r = box.replica();
        return new ModelServer(box.name(), box.address(), new Replica(r.id(), r.zone(), r.kind(), r.cell(),
                r.weight(), lifecycle, startedAt));
    }

    /** Returns the list with the overrides applied. */
    EndpointList over(EndpointList list) {
        List<ModelServer> over = new ArrayList<>();
        for (ModelServer box : list.boxes()) {
            ModelServer next = over(box);
            // a whole list reports a server as gone by not containing it
            if (!list.full() || !next.isGone()) {
                over.add(next);
            }
        }
        return new EndpointList(list.version(), list.full(), over);
    }

    /** Returns a server with overrides applied; null if there is none. */
    ModelServer get(long id) {
        return boxes.get(id);
    }

    /** Returns all servers with overrides applied. */
    Collection<ModelServer> all() {
        return boxes.values();
    }

    /** Returns all servers as the endpoint list has them. */
    List<ModelServer> told() {
        return List.copyOf(told.values());
    }

    Map<Long, Long> toldAt() {
        return toldAt;
    }

    /**
     * Takes over the times at which an earlier process learned of server states, where they are earlier than
     * the known ones.
     */
    void recallTold(Map<Long, Long> earlier) {
        earlier.forEach((box, at) -> toldAt.computeIfPresent(box, (id, since) -> Math.min(since, at)));
    }

    int kept() {
        return boxes.size() + toldAt.size();
    }
}
