package yewdock.core;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The connections of clients, as a part of the reducer: which of them have no request open, for how long, and
 * which must make room. A connection costs a descriptor whether or not anything is asked over it.
 */
final class Clients {
    /** A request must be whole so long after its connection came, or after its first byte. */
    static final long PATIENCE = 2_500_000;
    /** A connection that is quiet between requests is kept for so long where there is room, */
    static final long KEEP = 15_000_000;
    /** and for so long where there is not. */
    static final long KEEP_SHORT = 2_000_000;
    /** There is room while no more than this part of the bound is taken. */
    private static final int ROOMY_PART = 2;

    private final int most;
    private final LongSupplier now;
    private final Timers timers;
    private final Counters counters;
    private final Consumer<Effect> effects;
    private final Set<Long> all = new HashSet<>();
    /** Those whose request has yet to come in whole, with the time from which it is counted: oldest first. */
    private final Map<Long, Long> awaited = new LinkedHashMap<>();
    /** Those of them of whose request a part has come. */
    private final Set<Long> coming = new HashSet<>();
    /** Those that have had their answer and asked nothing since, with that time: longest quiet first. */
    private final Map<Long, Long> quiet = new LinkedHashMap<>();
    private boolean hurried;
    private long sweepAt = Long.MAX_VALUE;

    Clients(int most, LongSupplier now, Timers timers, Counters counters, Consumer<Effect> effects) {
        this.most = most;
        this.now = now;
        this.timers = timers;
        this.counters = counters;
        this.effects = effects;
    }

    void came(long client) {
        if (all.size() >= most) {
            makeRoom();
        }
        all.add(client);
        awaited.put(client, now.getAsLong());
        sweep();
    }

    /**
     * The first byte of a request has come; for a connection's first, time has run since it was made. The
     * connection may have been about to be closed.
     */
    void began(long client) {
        quiet.remove(client);
        if (all.contains(client)) {
            awaited.putIfAbsent(client, now.getAsLong());
            coming.add(client);
            sweep();
        }
    }

    void asked(long client) {
        awaited.remove(client);
        coming.remove(client);
        quiet.remove(client);
    }

    void quiet(long client) {
        awaited.remove(client);
        coming.remove(client);
        if (all.contains(client)) {
            quiet.put(client, now.getAsLong());
            sweep();
        }
    }

    void left(long client) {
        all.remove(client);
        asked(client);
    }

    /** Quiet connections are closed soon, or kept as ever: their clients are to come to another process. */
    void hurry(boolean soon) {
        hurried = soon;
        sweepAt = Long.MAX_VALUE;
        sweep();
    }

    int count() {
        return all.size();
    }

    /**
     * Guards the descriptors: one that is quiet between requests goes first, since its client asks again on a
     * new connection if the close crosses its next request; then the one that has been silent longest. One
     * with a request, or with a part of one, is not closed: no more are accepted until there is room.
     */
    private void makeRoom() {
        Iterator<Long> from = (quiet.isEmpty() ? awaited : quiet).keySet().iterator();
        while (from.hasNext()) {
            long client = from.next();
            if (!coming.contains(client)) {
                counters.add("clients.closed_for_room");
                from.remove();
                effects.accept(new Effect.CloseClient(client));
                return;
            }
        }
    }

    /** Closes what has been waited for long enough, and sets the timer for the next. */
    private void sweep() {
        long keep = hurried || all.size() > most / ROOMY_PART ? KEEP_SHORT : KEEP;
        long next = Math.min(closeSince(awaited, PATIENCE, "clients.closed_waiting"),
                closeSince(quiet, keep, "clients.closed_quiet"));
        if (next < sweepAt) {
            sweepAt = next;
            timers.at(next, () -> {
                if (sweepAt == next) {
                    sweepAt = Long.MAX_VALUE;
                    sweep();
                }
            });
        }
    }

    /** Closes those that are due; returns when the next one is. */
    private long closeSince(Map<Long, Long> waiting, long patience, String counter) {
        Iterator<Map.Entry<Long, Long>> entries = waiting.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<Long, Long> entry = entries.next();
            if (entry.getValue() + patience > now.getAsLong()) {
                return entry.getValue() + patience;
            }
            counters.add(counter);
            coming.remove(entry.getKey());
            entries.remove();
            effects.accept(new Effect.CloseClient(entry.getKey()));
        }
        return Long.MAX_VALUE;
    }
}
