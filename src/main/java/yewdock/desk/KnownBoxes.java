package yewdock.desk;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.Replica;

/**
 * The boxes, as a part of the reducer: what the list tells of each, with what operators say laid over it. A
 * mark never changes what was told, so that taking it back brings back what the list says by then.
 */
final class KnownBoxes {
    private final LongSupplier now;
    private final Map<Long, ModelBox> told = new HashMap<>();
    private final Map<Long, ModelBox> boxes = new HashMap<>();
    /** When the list first told the state that each box has. */
    private final Map<Long, Long> toldAt = new HashMap<>();
    private Map<String, BoxMark> marks = Map.of();

    KnownBoxes(LongSupplier now) {
        this.now = now;
    }

    /** The list tells something. */
    void keep(BoxList list) {
        if (list.full()) {
            Set<Long> named = new HashSet<>();
            list.boxes().forEach(box -> named.add(box.id()));
            told.keySet().retainAll(named);
            boxes.keySet().retainAll(named);
        }
        for (ModelBox box : list.boxes()) {
            ModelBox before = box.isGone() ? told.remove(box.id()) : told.put(box.id(), box);
            if (before == null || before.replica().lifecycle() != box.replica().lifecycle()) {
                toldAt.put(box.id(), now.getAsLong());
            }
            place(box);
        }
        toldAt.keySet().retainAll(told.keySet());
    }

    /** These are all the marks that hold from now on. */
    void mark(Map<String, BoxMark> all) {
        marks = Map.copyOf(all);
        told.values().forEach(this::place);
    }

    private void place(ModelBox box) {
        ModelBox over = over(box);
        if (over.isGone()) {
            boxes.remove(box.id());
        } else {
            boxes.put(box.id(), over);
        }
    }

    private ModelBox over(ModelBox box) {
        BoxMark mark = marks.get(box.name());
        if (mark == null || box.isGone() || !mark.holds(box)) {
            return box;
        }
        return mark.gone() ? as(box, Lifecycle.GONE) : as(box, Lifecycle.DRAINING);
    }

    /** The box in another state. */
    static ModelBox as(ModelBox box, Lifecycle lifecycle) {
        Replica r = box.replica();
        return new ModelBox(box.name(), box.address(), new Replica(r.id(), r.zone(), r.kind(), r.cell(),
                r.weight(), lifecycle, r.startedAt()));
    }

    /** What the list tells, as it holds under the marks. */
    BoxList over(BoxList list) {
        List<ModelBox> over = new ArrayList<>();
        for (ModelBox box : list.boxes()) {
            ModelBox next = over(box);
            // a whole list says that a box is gone by not naming it
            if (!list.full() || !next.isGone()) {
                over.add(next);
            }
        }
        return new BoxList(list.version(), list.full(), over);
    }

    /** A box as it is to be used; null if there is none. */
    ModelBox get(long id) {
        return boxes.get(id);
    }

    boolean knows(long id) {
        return told.containsKey(id);
    }

    Collection<ModelBox> all() {
        return boxes.values();
    }

    /** All as the list tells them. */
    List<ModelBox> told() {
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
