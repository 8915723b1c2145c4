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
 * The boxes, as a part of the reducer: what the list tells of each, with what operators say laid over it. A
 * mark never changes what was told, so that taking it back brings back what the list says by then.
 */
final class KnownServers {
    private final LongSupplier now;
    private final Map<Long, ModelServer> told = new HashMap<>();
    private final Map<Long, ModelServer> boxes = new HashMap<>();
    /** When the list first told the state that each box has. */
    private final Map<Long, Long> toldAt = new HashMap<>();
    /** By the boxes' names, not by what the list says of them: a mark outlives the list's entry. */
    private final Map<String, OperatorOverride> marks = new TreeMap<>();
    private final long coldFor;

    KnownServers(LongSupplier now, long coldFor) {
        this.now = now;
        this.coldFor = coldFor;
    }

    /** The list tells something. */
    void keep(EndpointList list) {
        if (list.full()) {
            Set<Long> named = new HashSet<>();
            list.servers().forEach(box -> named.add(box.id()));
            told.keySet().retainAll(named);
            boxes.keySet().retainAll(named);
        }
        for (ModelServer box : list.servers()) {
            ModelServer before = box.isGone() ? told.remove(box.id()) : told.put(box.id(), box);
            if (before == null || before.replica().lifecycle() != box.replica().lifecycle()) {
                toldAt.put(box.id(), now.getAsLong());
            }
            place(box);
        }
        toldAt.keySet().retainAll(told.keySet());
    }

    /**
     * What ends the use of known servers in a list that may not be believed otherwise. In a whole list a
     * server's end is that it is not named; it counts as this state here.
     */
    List<ModelServer> endingsIn(EndpointList list, Lifecycle unnamed) {
        List<ModelServer> ending = new ArrayList<>();
        Set<Long> named = new HashSet<>();
        for (ModelServer server : list.servers()) {
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

    /** These are all the marks that hold from now on; what drains no more is back. */
    void mark(Map<String, OperatorOverride> all) {
        Map<String, OperatorOverride> before = new TreeMap<>(marks);
        marks.clear();
        marks.putAll(all);
        before.forEach((name, mark) -> {
            if (mark.kind() == OperatorOverride.Kind.BACK) {
                marks.putIfAbsent(name, mark);
            } else if (mark.drains() && !all.containsKey(name)) {
                back(name);
            }
        });
        marksChanged();
    }

    /** This is said of the box from now on, whatever was said of it before. */
    void mark(String name, OperatorOverride mark) {
        marks.put(name, mark);
        marksChanged();
    }

    /** An operator puts the box out of use. */
    void cordon(String name) {
        mark(name, OperatorOverride.DRAINS);
    }

    /** An operator puts the box back into use. */
    void uncordon(String name) {
        back(name);
        marksChanged();
    }

    /** It was restarted while it was out of use, or stood empty: whatever the list says, it is cold. */
    private void back(String name) {
        marks.put(name, new OperatorOverride(OperatorOverride.Kind.BACK, now.getAsLong()));
    }

    private void marksChanged() {
        marks.values().removeIf(mark -> mark.kind() == OperatorOverride.Kind.BACK
                && mark.atEpochMicros() + coldFor < now.getAsLong());
        told.values().forEach(this::place);
    }

    boolean cordoned(String name) {
        OperatorOverride mark = marks.get(name);
        return mark != null && mark.drains();
    }

    /** Whether the list has a box of this name. */
    boolean named(String name) {
        return told.values().stream().anyMatch(box -> box.name().equals(name));
    }

    Map<String, OperatorOverride> marks() {
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
        OperatorOverride mark = marks.get(box.name());
        if (mark == null || box.isGone()) {
            return box;
        }
        long startedAt = box.replica().startedAt();
        return switch (mark.kind()) {
            case DRAINS -> as(box, Lifecycle.DRAINING);
            case GONE -> startedAt <= mark.atEpochMicros() ? as(box, Lifecycle.GONE) : box;
            // a box whose restart the list tells is as old as the list says
            case BACK -> startedAt >= mark.atEpochMicros() ? box : as(box, box.replica().lifecycle(),
                    mark.atEpochMicros());
        };
    }

    /** The box in another state. */
    static ModelServer as(ModelServer box, Lifecycle lifecycle) {
        return as(box, lifecycle, box.replica().startedAt());
    }

    private static ModelServer as(ModelServer box, Lifecycle lifecycle, long startedAt) {
        ServerState r = box.replica();
        return new ModelServer(box.name(), box.address(), new ServerState(r.id(), r.zone(), r.kind(),
                r.cell(),
                r.weight(), lifecycle, startedAt));
    }

    /** What the list tells, as it holds under the marks. */
    EndpointList over(EndpointList list) {
        List<ModelServer> over = new ArrayList<>();
        for (ModelServer box : list.servers()) {
            ModelServer next = over(box);
            // a whole list says that a box is gone by not naming it
            if (!list.full() || !next.isGone()) {
                over.add(next);
            }
        }
        return new EndpointList(list.version(), list.full(), over);
    }

    /** A box as it is to be used; null if there is none. */
    ModelServer get(long id) {
        return boxes.get(id);
    }

    Collection<ModelServer> all() {
        return boxes.values();
    }

    /** All as the list tells them. */
    List<ModelServer> told() {
        return List.copyOf(told.values());
    }

    Map<Long, Long> toldAt() {
        return toldAt;
    }

    /** An earlier process was told of some states before; what is known already stands. */
    void recallTold(Map<Long, Long> earlier) {
        earlier.forEach((box, at) -> toldAt.computeIfPresent(box, (id, since) -> Math.min(since, at)));
    }

    int kept() {
        return boxes.size() + toldAt.size();
    }
}
