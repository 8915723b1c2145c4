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
 * Writes what an instance learns as records, and builds from the records the state in which it restarts. No
 * I/O. Times are microseconds since 1970 on this machine's clock; they are used for ages only, and a negative
 * age, after the clock was set back, counts as zero.
 */
public final class StateRecorder {
    /** The age in microseconds after which what the module has learnt is not used any more. */
    static final long MODULE_MEMORY_TTL_MICROS = 3_600_000_000L;
    /**
     * Stored ejections and slow starts that would end later than this from now are ignored: the clock was set
     * back since. Microseconds.
     */
    static final long MAX_REMAINING_MICROS = 600_000_000L;

    private final ReplicatedRecords records;
    private final long maxDrainAgeMicros;

    /**
     * Records the state in these records.
     *
     * @param maxDrainAgeMicros a drain first received longer ago than this is ignored at a restart, until an
     *     endpoint list contains it again
     */
    public StateRecorder(ReplicatedRecords records, long maxDrainAgeMicros) {
        this.records = records;
        this.maxDrainAgeMicros = maxDrainAgeMicros;
    }

    // ---- recording

    /**
     * Records an endpoint list, or a change of it, that a generation has received.
     *
     * @param shift added to the times in the list, to convert them to this clock (microseconds)
     * @param wall the current time
     * @return the records that changed
     */
    public List<Kept> recordEndpointList(Boxes list, long shift, long wall) {
        String instance = records.instance();
        List<Kept> changed = new ArrayList<>();
        Map<String, Box> listed = new LinkedHashMap<>();
        for (Box server : list.getBoxesList()) {
            listed.put(RecordKeys.server(instance, server.getId()), server);
        }
        if (list.getFull()) {
            for (Kept kept : records.withPrefix(RecordKeys.serversPrefix(instance))) {
                if (!listed.containsKey(kept.getKey())) {
                    changed.add(records.delete(kept.getKey(), wall));
                    deleteServerMemory(kept.getBox().getId(), wall, changed);
                }
            }
        }
        listed.forEach((key, server) -> {
            Kept before = records.get(key);
            if (server.getLifecycle() == Lifecycle.GONE.ordinal()) {
                if (before != null) {
                    changed.add(records.delete(key, wall));
                    deleteServerMemory(server.getId(), wall, changed);
                }
                return;
            }
            boolean sameLifecycle = before != null
                    && before.getBox().getLifecycle() == server.getLifecycle();
            long toldAt = sameLifecycle ? before.getBox().getToldAt()
                    : server.getToldAt() == 0 ? wall : Math.min(wall, server.getToldAt() + shift);
            Box updated = server.toBuilder().setToldAt(toldAt).build();
            if (before == null || !before.getBox().equals(updated)) {
                changed.add(records.write(key, Kept.newBuilder().setBox(updated), wall));
            }
            if (before != null && before.getBox().getStartedAt() != server.getStartedAt()) {
                // the server was restarted: errors of the earlier process say nothing about the new one
                deleteServerMemory(server.getId(), wall, changed);
            }
        });
        ListHead head = ListHead.newBuilder().setAddress(list.getAddress()).setVersion(list.getVersion())
                .build();
        Kept before = records.get(RecordKeys.endpointList(instance));
        if (before == null || !before.getList().equals(head)) {
            changed.add(records.write(RecordKeys.endpointList(instance),
                    Kept.newBuilder().setList(head), wall));
        }
        return changed;
    }

    /** Deletes what the module has learnt about a server. */
    private void deleteServerMemory(long serverId, long wall, List<Kept> changed) {
        Kept dropped = records.delete(RecordKeys.serverMemory(records.instance(), serverId), wall);
        if (dropped != null) {
            changed.add(dropped);
        }
    }

    /** Records what a generation's module has learnt; shift is added to its times. Returns what changed. */
    public List<Kept> recordModuleMemory(Memory module, long shift, long wall) {
        String instance = records.instance();
        List<Kept> changed = new ArrayList<>();
        for (NodeMemory node : module.getNodesList()) {
            if (records.get(RecordKeys.server(instance, node.getId())) == null) {
                continue;
            }
            String key = RecordKeys.serverMemory(instance, node.getId());
            NodeMemory updated = shifted(node, shift).clearLastDelay().build();
            Kept before = records.get(key);
            if (before == null ? worthStoring(updated) : !sameEjections(before.getNode(), updated)) {
                changed.add(records.write(key, Kept.newBuilder().setNode(updated), wall));
            }
        }
        Memory rest = module.toBuilder().clearNodes().clearKeys().clearTaken().clearFurther().build();
        Kept before = records.get(RecordKeys.moduleMemory(instance));
        if (before == null || wall - before.getWall() > MODULE_MEMORY_TTL_MICROS / 360
                || before.getWall() > wall) {
            changed.add(records.write(RecordKeys.moduleMemory(instance),
                    Kept.newBuilder().setModule(rest), wall));
        }
        return changed;
    }

    /** Backoffs come and go within seconds and are not worth a write each; ejections and cold starts are. */
    private static boolean sameEjections(NodeMemory a, NodeMemory b) {
        return Math.abs(a.getEjectedUntil() - b.getEjectedUntil()) < 1000
                && a.getEjections() == b.getEjections() && a.getBudgetedStart() == b.getBudgetedStart()
                && Math.abs(a.getColdBudgetAt() - b.getColdBudgetAt()) < 100_000;
    }

    /** Whether there is an ejection or a slow start to remember. */
    private static boolean worthStoring(NodeMemory node) {
        return node.getEjectedUntil() != 0 || node.getEjections() != 0 || node.getColdBudgetAt() != 0
                || node.getBudgetedStart() != 0;
    }

    /** A server's memory with all times converted to this clock. */
    private static NodeMemory.Builder shifted(NodeMemory node, long shift) {
        NodeMemory.Builder shifted = node.toBuilder().setEjectedUntil(shifted(node.getEjectedUntil(), shift))
                .setSlowUntil(shifted(node.getSlowUntil(), shift))
                .setColdBudgetAt(shifted(node.getColdBudgetAt(), shift)).clearRestUntil();
        node.getRestUntilList().forEach(t -> shifted.addRestUntil(shifted(t, shift)));
        return shifted;
    }

    /** A time converted to this clock; 0 stands for none. */
    private static long shifted(long time, long shift) {
        return time == 0 ? 0 : time + shift;
    }

    /** Records the configuration in use; null if it is the one recorded already. */
    public Kept recordSettings(String text, long wall) {
        Kept before = records.get(RecordKeys.settings(records.instance()));
        if (before != null && before.getApplied().getText().equals(text)) {
            return null;
        }
        return records.write(RecordKeys.settings(records.instance()), Kept.newBuilder()
                .setApplied(Applied.newBuilder().setText(text)), wall);
    }

    /** Records an operator override for a server; NONE removes it, and null says that there was none. */
    public Kept recordOverride(String server, Mark.Kind kind, String by, long wall) {
        String key = RecordKeys.override(server);
        if (kind == Mark.Kind.NONE) {
            return records.delete(key, wall);
        }
        long started = knownServers(server).stream().mapToLong(Box::getStartedAt).max().orElse(0);
        return records.write(key, Kept.newBuilder().setMark(Mark.newBuilder().setKind(kind)
                .setStartedAt(started).setBy(by)), wall);
    }

    /** The entries for a server of this name in the endpoint lists of all instances. */
    public List<Box> knownServers(String server) {
        return records.withPrefix(RecordKeys.allServersPrefix()).stream().map(Kept::getBox)
                .filter(box -> box.getName().equals(server)).toList();
    }

    /** The current operator overrides, by server name. */
    public Map<String, Mark> overrides() {
        Map<String, Mark> overrides = new LinkedHashMap<>();
        records.withPrefix(RecordKeys.overridesPrefix()).forEach(kept ->
                overrides.put(RecordKeys.overriddenServer(kept.getKey()), kept.getMark()));
        return overrides;
    }

    /** Removes overrides of kind GONE for servers that have restarted: they apply to one start only. */
    public List<Kept> dropOutdatedOverrides(long wall) {
        List<Kept> dropped = new ArrayList<>();
        Map<String, Long> starts = new HashMap<>();
        records.withPrefix(RecordKeys.serversPrefix(records.instance())).forEach(kept ->
                starts.merge(kept.getBox().getName(), kept.getBox().getStartedAt(), Math::max));
        overrides().forEach((server, override) -> {
            if (override.getKind() == Mark.Kind.GONE
                    && starts.getOrDefault(server, Long.MIN_VALUE) > override.getStartedAt()) {
                dropped.add(records.delete(RecordKeys.override(server), wall));
            }
        });
        return dropped;
    }

    // ---- restarting

    /**
     * The state in which a generation starts after a restart, in the form in which a generation hands over to
     * the next; null if nothing is recorded.
     *
     * @param wall the current time; the state's times are on this clock
     * @param monoNanos the current time of the monotonic clock in nanoseconds
     */
    public State restartState(int version, int leastReader, long wall, long monoNanos) {
        String instance = records.instance();
        Kept head = records.get(RecordKeys.endpointList(instance));
        List<Kept> ownServers = records.withPrefix(RecordKeys.serversPrefix(instance));
        boolean hasOwn = !ownServers.isEmpty();
        List<Kept> servers = hasOwn ? ownServers : newestOfOthers();
        if (servers.isEmpty()) {
            return null;
        }
        Boxes.Builder list = Boxes.newBuilder().setFull(true).setVersion(hasOwn && head != null
                ? head.getList().getVersion() : -1).setAddress(head == null ? "" : head.getList()
                .getAddress());
        for (Kept kept : servers) {
            Box server = kept.getBox();
            long toldAt = Math.min(wall, Math.max(1, server.getToldAt()));
            boolean outdatedDrain = server.getLifecycle() == Lifecycle.DRAINING.ordinal()
                    && wall - toldAt > maxDrainAgeMicros;
            list.addBoxes(server.toBuilder().setToldAt(toldAt).setLifecycle(outdatedDrain
                    ? Lifecycle.READY.ordinal() : server.getLifecycle()));
        }
        State.Builder state = State.newBuilder().setVersion(version).setLeastReader(leastReader)
                .setClock(wall).setMonoNanos(monoNanos).setBoxes(list);
        Kept module = records.get(RecordKeys.moduleMemory(instance));
        if (module != null && wall - module.getWall() <= MODULE_MEMORY_TTL_MICROS) {
            state.setModule(memory(module.getModule(), wall));
        }
        return state.build();
    }

    /** The module's memory with what was recorded about each server. */
    private Memory memory(Memory module, long wall) {
        Memory.Builder memory = module.toBuilder();
        for (Kept kept : records.withPrefix(RecordKeys.serverMemoryPrefix(records.instance()))) {
            NodeMemory node = kept.getNode();
            if (node.getEjectedUntil() < wall + MAX_REMAINING_MICROS && node.getColdBudgetAt() < wall
                    + MAX_REMAINING_MICROS) {
                memory.addNodes(node);
            }
        }
        return memory.build();
    }

    /** For an empty disk: the servers known to other instances, draining if any of them knew so. */
    private List<Kept> newestOfOthers() {
        Map<String, Kept> byName = new LinkedHashMap<>();
        for (Kept kept : records.withPrefix(RecordKeys.allServersPrefix())) {
            byName.merge(kept.getBox().getName(), kept, (a, b) -> {
                if (a.getBox().getStartedAt() != b.getBox().getStartedAt()) {
                    return a.getBox().getStartedAt() > b.getBox().getStartedAt() ? a : b;
                }
                return a.getBox().getLifecycle() == Lifecycle.DRAINING.ordinal() ? a : b;
            });
        }
        return List.copyOf(byName.values());
    }
}
