package yewdock.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The protocol's rule on drains, kept apart from the program: no attempt begins at a server later than the
 * grace, and the 50 ms that every limit on sockets is longer, after its router counts as told that the server
 * drains or is gone.
 *
 * <p>A router counts as told once discovery has written the change to it, and at the latest 6 s after
 * discovery had it and could be reached. Where lists are pushed it counts as told once the agent has it and
 * can be reached.
 */
final class DrainJudge {
    private static final long MILLION = 1_000_000;
    private static final long SOCKET_SLACK = 50 * MILLION;
    private static final long COUNTS_AS_TOLD = 6_000 * MILLION;

    private record Key(int router, String server) {
    }

    /** When the router counts as told of the server's end; Long.MAX_VALUE while it does not. */
    private static final class Ending {
        private final long since;
        private long toldAt;

        Ending(long since, long toldAt) {
            this.since = since;
            this.toldAt = toldAt;
        }
    }

    private final LongSupplier clock;
    private final long grace;
    private final boolean pushed;
    private final Map<Key, Ending> endings = new HashMap<>();
    private final Map<Integer, Boolean> reachable = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int attempts;
    private int attemptsWithinGrace;

    /** The clock counts nanoseconds. */
    DrainJudge(long graceMillis, boolean pushed, LongSupplier clock) {
        this.clock = clock;
        this.grace = graceMillis * MILLION;
        this.pushed = pushed;
    }

    /** Discovery has a change, and can be reached by the router or not. */
    synchronized void changed(int router, String server, EndpointState state, boolean isReachable) {
        reachable.put(router, isReachable);
        Key key = new Key(router, server);
        if (state == EndpointState.UP) {
            endings.remove(key);
        } else {
            long now = clock.getAsLong();
            endings.putIfAbsent(key, new Ending(now, isReachable ? latest(now) : Long.MAX_VALUE));
        }
    }

    private long latest(long now) {
        return pushed ? now : now + COUNTS_AS_TOLD;
    }

    /** Discovery has written a server's state to the router. */
    synchronized void written(int router, String server, EndpointState state) {
        Ending ending = endings.get(new Key(router, server));
        if (ending != null && state != EndpointState.UP) {
            ending.toldAt = Math.min(ending.toldAt, clock.getAsLong());
        }
    }

    /** The router can't reach discovery: what it has not been told yet doesn't count as told. */
    synchronized void unreachable(int router) {
        long now = clock.getAsLong();
        endings.forEach((key, ending) -> {
            if (key.router == router && ending.toldAt > now) {
                ending.toldAt = Long.MAX_VALUE;
            }
        });
    }

    /** The router can reach discovery again. */
    synchronized void reachable(int router) {
        long now = clock.getAsLong();
        endings.forEach((key, ending) -> {
            if (key.router == router && ending.toldAt == Long.MAX_VALUE) {
                ending.toldAt = latest(now);
            }
        });
    }

    /** The router's process began anew, with a list that may be from before all changes. */
    synchronized void processStarted(int router, boolean canReach) {
        long now = clock.getAsLong();
        endings.forEach((key, ending) -> {
            if (key.router == router) {
                ending.toldAt = canReach ? latest(now) : Long.MAX_VALUE;
            }
        });
    }

    /** The first byte of an attempt has come to a server. */
    synchronized void attempted(int router, String server, long at) {
        attempts++;
        Ending ending = endings.get(new Key(router, server));
        if (ending == null) {
            return;
        }
        if (ending.toldAt == Long.MAX_VALUE || at <= ending.toldAt + grace + SOCKET_SLACK) {
            attemptsWithinGrace++;
            return;
        }
        violations.add("router " + router + " sent to " + server + " " + (at - ending.toldAt) / MILLION
                + " ms after it was told, " + (at - ending.since) / MILLION + " ms after the change");
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    synchronized int attempts() {
        return attempts;
    }

    /** Attempts at servers that were ending, in time: without any the rule was not put to the test. */
    synchronized int attemptsWithinGrace() {
        return attemptsWithinGrace;
    }
}
