package yewdock.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Converts the start times of servers, which are Unix times, to the router's clock, which is monotonic. The
 * wall clock may have been stepped between a server's start and now, either way: of all the times that a
 * start time may then mean, the latest that is not in the future counts, so that no server is taken to be
 * warm that may be cold. Times are in microseconds.
 */
final class ServerStartTimes {
    /** A smaller difference between the clocks is no step. */
    private static final long MIN_STEP_MICROS = 100_000;
    private static final long OBSERVE_INTERVAL_MICROS = 100_000;
    /** Limit of the steps that are remembered; the newest count. */
    private static final int MAX_OFFSETS = 16;

    /** A start time as discovery reported it, and on the router's clock. */
    private record Start(long reported, long onRouterClock) {
    }

    private final LongSupplier clock;
    private final LongSupplier wallClock;
    /** How far the wall clock has been ahead of the router's, the newest last. */
    private final List<Long> offsets = new ArrayList<>(List.of(0L));
    private final Map<Long, Start> byServer = new HashMap<>();
    private long observedAt = Long.MIN_VALUE;

    ServerStartTimes(LongSupplier clock, LongSupplier wallClock) {
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /** Returns start times that are left as they are reported. */
    static ServerStartTimes asReported() {
        return new ServerStartTimes(() -> Long.MAX_VALUE, () -> Long.MAX_VALUE);
    }

    /** Notes a step of the wall clock; called often. */
    void observe() {
        long now = clock.getAsLong();
        if (observedAt != Long.MIN_VALUE && now - observedAt < OBSERVE_INTERVAL_MICROS) {
            return;
        }
        observedAt = now;
        addOffset(wallClock.getAsLong() - now);
    }

    /** Adds a difference between the wall clock and the router's at which servers may have started. */
    void addOffset(long offset) {
        if (offsets.stream().anyMatch(known -> Math.abs(known - offset) < MIN_STEP_MICROS)) {
            return;
        }
        offsets.add(offset);
        if (offsets.size() > MAX_OFFSETS) {
            offsets.remove(0);
        }
    }

    /** Returns a server's start time on the router's clock; the same for the same report. */
    long onRouterClock(long serverId, long reported) {
        Start known = byServer.get(serverId);
        if (known != null && known.reported == reported) {
            return known.onRouterClock;
        }
        long converted = reported == 0 ? 0 : convert(reported);
        byServer.put(serverId, new Start(reported, converted));
        return converted;
    }

    private long convert(long reported) {
        observedAt = Long.MIN_VALUE;
        observe();
        long now = clock.getAsLong();
        return offsets.stream().mapToLong(offset -> reported - offset).filter(start -> start <= now).max()
                .orElse(now);
    }

    /** Forgets the servers that are not among these. */
    void retain(Set<Long> serverIds) {
        byServer.keySet().retainAll(serverIds);
    }
}
