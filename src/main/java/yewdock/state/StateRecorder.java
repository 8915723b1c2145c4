package yewdock.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import umberspread.Routing.Lifecycle;
import yewdock.wire.Applied;
import yewdock.wire.Box;
import yewdock.wire.Boxes;
import yewdock.wire.Kept;
import yewdock.wire.ListHead;
import yewdock.wire.Mark;
import yewdock.wire.Memory;
import yewdock.wire.NodeMemory;
import yewdock.wire.State;

/**
 * What an instance keeps of what it is told, and what it starts with. Pure: records in, records out. Times
 * are microseconds since 1970 as this machine has them; they serve for ages, and an age below zero, of a
 * clock that was moved back, counts as zero.
 */
public final class StateRecorder {
    /** What the module has learnt is worth nothing after so long. */
    static final long MODULE_HOLDS = 3_600_000_000L;
    /** A kept ejection or rest that would last longer than this from now is of a clock that was moved. */
    static final long LONGEST_REST = 600_000_000L;

    private final ReplicatedRecords records;
    private final long doubt;

    /**
     * Over these records. doubt: a drain that the list told so long ago, and that no list has told again, is
     * no longer believed at a start.
     */
    public StateRecorder(ReplicatedRecords records, long doubt) {
        this.records = records;
        this.doubt = doubt;
    }

    // ---- what is told

    /** The list has told a generation this; returns what changed. toldAt of the boxes are moved by shift. */
    public List<Kept> recordEndpointList(Boxes news, long shift, long wall) {
        String me = records.instance();
        List<Kept> changed = new ArrayList<>();
        Map<String, Box> named = new LinkedHashMap<>();
        for (Box box : news.getBoxesList()) {
            named.put(RecordKeys.server(me, box.getId()), box);
        }
        if (news.getFull()) {
            for (Kept kept : records.withPrefix(RecordKeys.serversPrefix(me))) {
                if (!named.containsKey(kept.getKey())) {
                    changed.add(records.delete(kept.getKey(), wall));
                    forgetNode(kept.getBox().getId(), wall, changed);
                }
            }
        }
        named.forEach((key, box) -> {
            Kept before = records.get(key);
            if (box.getLifecycle() == Lifecycle.GONE.ordinal()) {
                if (before != null) {
                    changed.add(records.delete(key, wall));
                    forgetNode(box.getId(), wall, changed);
                }
                return;
            }
            boolean same = before != null
                    && before.getBox().getLifecycle() == box.getLifecycle();
            long toldAt = same ? before.getBox().getToldAt()
                    : box.getToldAt() == 0 ? wall : Math.min(wall, box.getToldAt() + shift);
            Box now = box.toBuilder().setToldAt(toldAt).build();
            if (before == null || !before.getBox().equals(now)) {
                changed.add(records.write(key, Kept.newBuilder().setBox(now), wall));
            }
            if (before != null && before.getBox().getStartedAt() != box.getStartedAt()) {
                // what was held against the box that was there before is nothing to the one that is there now
                forgetNode(box.getId(), wall, changed);
            }
        });
        ListHead head = ListHead.newBuilder().setAddress(news.getAddress()).setVersion(news.getVersion())
                .build();
        Kept before = records.get(RecordKeys.endpointList(me));
        if (before == null || !before.getList().equals(head)) {
            changed.add(records.write(RecordKeys.endpointList(me), Kept.newBuilder().setList(head), wall));
        }
        return changed;
    }

    private void forgetNode(long box, long wall, List<Kept> changed) {
        Kept dropped = records.delete(RecordKeys.serverMemory(records.instance(), box), wall);
        if (dropped != null) {
            changed.add(dropped);
        }
    }

    /** What a generation's module has learnt; its times are moved by shift. Returns what changed. */
    public List<Kept> recordModuleMemory(Memory module, long shift, long wall) {
        String me = records.instance();
        List<Kept> changed = new ArrayList<>();
        for (NodeMemory node : module.getNodesList()) {
            if (records.get(RecordKeys.server(me, node.getId())) == null) {
                continue;
            }
            String key = RecordKeys.serverMemory(me, node.getId());
            NodeMemory now = moved(node, shift).clearLastDelay().build();
            Kept before = records.get(key);
            if (before == null ? tells(now) : !sameTrouble(before.getNode(), now)) {
                changed.add(records.write(key, Kept.newBuilder().setNode(now), wall));
            }
        }
        Memory rest = module.toBuilder().clearNodes().clearKeys().clearTaken().clearFurther().build();
        Kept before = records.get(RecordKeys.moduleMemory(me));
        if (before == null || wall - before.getWall() > MODULE_HOLDS / 360 || before.getWall() > wall) {
            changed.add(records.write(RecordKeys.moduleMemory(me), Kept.newBuilder().setModule(rest), wall));
        }
        return changed;
    }

    /** Rests that come and go within seconds are not worth a write each; ejections and cold starts are. */
    private static boolean sameTrouble(NodeMemory a, NodeMemory b) {
        return Math.abs(a.getEjectedUntil() - b.getEjectedUntil()) < 1000
                && a.getEjections() == b.getEjections() && a.getBudgetedStart() == b.getBudgetedStart()
                && Math.abs(a.getColdBudgetAt() - b.getColdBudgetAt()) < 100_000;
    }

    private static boolean tells(NodeMemory n) {
        return n.getEjectedUntil() != 0 || n.getEjections() != 0 || n.getColdBudgetAt() != 0
                || n.getBudgetedStart() != 0;
    }

    private static NodeMemory.Builder moved(NodeMemory node, long shift) {
        NodeMemory.Builder moved = node.toBuilder().setEjectedUntil(moved(node.getEjectedUntil(), shift))
                .setSlowUntil(moved(node.getSlowUntil(), shift))
                .setColdBudgetAt(moved(node.getColdBudgetAt(), shift)).clearRestUntil();
        node.getRestUntilList().forEach(t -> moved.addRestUntil(moved(t, shift)));
        return moved;
    }

    private static long moved(long time, long shift) {
        return time == 0 ? 0 : time + shift;
    }

    /** The configuration that is in force; null if it is the one kept. */
    public Kept recordSettings(String text, long wall) {
        Kept before = records.get(RecordKeys.settings(records.instance()));
        if (before != null && before.getApplied().getText().equals(text)) {
            return null;
        }
        return records.write(RecordKeys.settings(records.instance()), Kept.newBuilder()
                .setApplied(Applied.newBuilder().setText(text)), wall);
    }

    /** An operator marks a box, or with NONE takes the mark back. */
    public Kept recordOverride(String box, Mark.Kind kind, String by, long wall) {
        String key = RecordKeys.override(box);
        if (kind == Mark.Kind.NONE) {
            return records.delete(key, wall);
        }
        long started = knownServers(box).stream().mapToLong(Box::getStartedAt).max().orElse(0);
        return records.write(key, Kept.newBuilder().setMark(Mark.newBuilder().setKind(kind)
                .setStartedAt(started).setBy(by)), wall);
    }

    /** What is known of a box of this name, by whichever instance. */
    public List<Box> knownServers(String box) {
        return records.withPrefix(RecordKeys.allServersPrefix()).stream().map(Kept::getBox)
                .filter(b -> b.getName().equals(box)).toList();
    }

    /** The marks that hold, by the boxes' names. */
    public Map<String, Mark> overrides() {
        Map<String, Mark> marks = new LinkedHashMap<>();
        records.withPrefix(RecordKeys.overridesPrefix()).forEach(k ->
                marks.put(RecordKeys.overriddenServer(k.getKey()),
                k.getMark()));
        return marks;
    }

    /** A mark of GONE is for one start of a box: when the list tells of a later one it is dropped. */
    public List<Kept> dropOutdatedOverrides(long wall) {
        List<Kept> dropped = new ArrayList<>();
        Map<String, Long> starts = new HashMap<>();
        records.withPrefix(RecordKeys.serversPrefix(records.instance())).forEach(k ->
                starts.merge(k.getBox().getName(),
                k.getBox().getStartedAt(), Math::max));
        overrides().forEach((box, mark) -> {
            if (mark.getKind() == Mark.Kind.GONE
                    && starts.getOrDefault(box, Long.MIN_VALUE) > mark.getStartedAt()) {
                dropped.add(records.delete(RecordKeys.override(box), wall));
            }
        });
        return dropped;
    }

    // ---- what a start begins with

    /**
     * What a generation goes on with after a restart, as if one before it had left it; null if nothing is
     * kept. clock is what the reader will take this moment for on its own clock.
     */
    public State restartState(int version, int leastReader, long wall, long monoNanos) {
        String me = records.instance();
        Kept head = records.get(RecordKeys.endpointList(me));
        List<Kept> mine = records.withPrefix(RecordKeys.serversPrefix(me));
        boolean own = !mine.isEmpty();
        List<Kept> boxes = own ? mine : newestOfOthers();
        if (boxes.isEmpty()) {
            return null;
        }
        Boxes.Builder all = Boxes.newBuilder().setFull(true).setVersion(own && head != null
                ? head.getList().getVersion() : -1).setAddress(head == null ? "" : head.getList()
                .getAddress());
        for (Kept kept : boxes) {
            Box box = kept.getBox();
            long toldAt = Math.min(wall, Math.max(1, box.getToldAt()));
            boolean doubted = box.getLifecycle() == Lifecycle.DRAINING.ordinal() && wall - toldAt > doubt;
            all.addBoxes(box.toBuilder().setToldAt(toldAt).setLifecycle(doubted ? Lifecycle.READY.ordinal()
                    : box.getLifecycle()));
        }
        State.Builder state = State.newBuilder().setVersion(version).setLeastReader(leastReader)
                .setClock(wall).setMonoNanos(monoNanos).setBoxes(all);
        Kept module = records.get(RecordKeys.moduleMemory(me));
        if (module != null && wall - module.getWall() <= MODULE_HOLDS) {
            state.setModule(memory(module.getModule(), wall));
        }
        return state.build();
    }

    private Memory memory(Memory module, long wall) {
        Memory.Builder memory = module.toBuilder();
        for (Kept kept : records.withPrefix(RecordKeys.serverMemoryPrefix(records.instance()))) {
            NodeMemory node = kept.getNode();
            if (node.getEjectedUntil() < wall + LONGEST_REST && node.getColdBudgetAt() < wall
                    + LONGEST_REST) {
                memory.addNodes(node);
            }
        }
        return memory.build();
    }

    /** With an empty disk: what the other instances knew, a drain that any of them knew included. */
    private List<Kept> newestOfOthers() {
        Map<String, Kept> found = new LinkedHashMap<>();
        for (Kept kept : records.withPrefix(RecordKeys.allServersPrefix())) {
            found.merge(kept.getBox().getName(), kept, (a, b) -> {
                if (a.getBox().getStartedAt() != b.getBox().getStartedAt()) {
                    return a.getBox().getStartedAt() > b.getBox().getStartedAt() ? a : b;
                }
                return a.getBox().getLifecycle() == Lifecycle.DRAINING.ordinal() ? a : b;
            });
        }
        return List.copyOf(found.values());
    }
}
