package yewdock.desk;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The client connections: which of them have no request open, for how long, and which are closed to make
 * room. Each connection costs a file descriptor whether or not it is used.
 */
final class Clients {
    /**
     * Time in microseconds in which a request must be complete, from the connection's start or the request's
     * first byte.
     */
    static final long PATIENCE = 2_500_000;
    /** Idle time in microseconds after which a connection is closed while there is room. */
    static final long KEEP = 15_000_000;
    /** Idle time in microseconds after which a connection is closed while there is little room. */
    static final long KEEP_SHORT = 2_000_000;
    /** Divisor: there is room while at most this fraction of the connection limit is in use. */
    private static final int ROOMY_PART = 2;

    private final int most;
    private final LongSupplier now;
    private final Timers timers;
    private final Counters counters;
    private final Consumer<Effect> effects;
    private final Set<Long> all = new HashSet<>();
    /** Connections without a complete request, with the time from which its timeout counts; oldest first. */
    private final Map<Long, Long> awaited = new LinkedHashMap<>();
    /** The connections among them that have received part of a request. */
    private final Set<Long> coming = new HashSet<>();
    /** Connections between requests, with the time since which they are idle; longest idle first. */
    private final Map<Long, Long> quiet = new LinkedHashMap<>();
    /** Whether idle connections are closed early, because another generation accepts the new ones. */
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
     * Handles the first byte of a request. On a connection's first request the timeout runs from when the
     * connection was made. The connection may just have been due to be closed as idle.
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

    /** Sets whether idle connections are closed early so that their clients connect to another process. */
    void hurry(boolean soon) {
        hurried = soon;
        sweepAt = Long.MAX_VALUE;
        sweep();
    }

    int count() {
        return all.size();
    }

    /**
     * Closes a connection to free its file descriptor: the longest idle one between requests, whose client
     * sends its next request on a new connection if the close crosses it, or else the one that has waited
     * longest for the first byte of its request. Connections with a request or part of one are never closed
     * here; if all are in use, no more are accepted until one is free.
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

    /** Closes the connections whose timeout has passed and sets the timer for the next one. */
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

    /** Closes the connections that are due and returns when the next one is due, or Long.MAX_VALUE. */
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
