package yewdock.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ListKind;
import umberspread.Routing.ServerState;

/**
 * The box list: it knows late what runs, answers so many calls a second in turn, and tells those who asked of
 * changes, some at a time.
 */
final class Register {
    private static final double SECOND = 1e6;

    private final World world;
    private final UniformRandomProvider random;
    private final Lifecycle[] told;
    private final long[] startedAt;
    private final long[] version;
    private final Set<Integer> changed = new LinkedHashSet<>();
    private final List<Host> followers = new ArrayList<>();
    private long versions;
    private boolean flushing;
    private double freeAt;
    double lateMicros;

    Register(World world, UniformRandomProvider random) {
        this.world = world;
        this.random = random;
        int boxes = world.boxes.size();
        told = new Lifecycle[boxes];
        Arrays.fill(told, Lifecycle.READY);
        startedAt = new long[boxes];
        version = new long[boxes];
    }

    /** A box's state is another now; the list learns of it after a while. */
    void happened(Box box, Lifecycle state, boolean silently) {
        long number = ++versions;
        long started = box.startedAt;
        double notice = (silently ? world.day.listSilent : world.day.listNotice) * (0.75
                + random.nextDouble() / 2);
        world.calendar.after(notice + world.day.listAdd + lateMicros, () -> {
            int b = box.number;
            if (number > version[b]) {
                version[b] = number;
                told[b] = state;
                startedAt[b] = started;
                changed.add(b);
                flushLater();
            }
        });
    }

    private void flushLater() {
        if (flushing) {
            return;
        }
        flushing = true;
        long period = Math.max(1, Math.round(world.day.listPeriod));
        long next = (world.calendar.now() / period + 1) * period;
        world.calendar.at(next, () -> {
            flushing = false;
            List<ServerState> entries = new ArrayList<>();
            changed.forEach(b -> entries.add(line(b)));
            changed.clear();
            for (Host h : List.copyOf(followers)) {
                world.calendar.after(random.nextDouble() * world.day.listPeriod / 8, () -> {
                    if (followers.contains(h)) {
                        h.listReceived(ListKind.DELTA, entries);
                    }
                });
            }
        });
    }

    /** A call: answered in its turn with the whole list, or failed where the turn comes too late. */
    void call(Host host) {
        followers.remove(host);
        double now = world.calendar.now();
        double free = Math.max(now, freeAt) + SECOND / world.day.listCalls;
        double timeout = world.day.scenario.list().timeoutSeconds() * SECOND;
        if (free - now > timeout) {
            world.calendar.after(timeout, () -> host.listReceived(ListKind.FAILED, List.of()));
            return;
        }
        freeAt = free;
        world.calendar.at(Math.round(free), () -> {
            if (host.alive()) {
                followers.add(host);
                host.listReceived(ListKind.FULL, all());
            }
        });
    }

    void forget(Host host) {
        followers.remove(host);
    }

    List<ServerState> all() {
        List<ServerState> entries = new ArrayList<>(told.length);
        for (int b = 0; b < told.length; b++) {
            if (told[b] != Lifecycle.GONE) {
                entries.add(line(b));
            }
        }
        return entries;
    }

    private ServerState line(int b) {
        Box box = world.boxes.get(b);
        return new ServerState(box.id, box.site, box.make.kind(), b / 4, 1, told[b], startedAt[b]);
    }
}
