package yewdock.core;

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
final class ClientConnections {
    /**
     * Time in microseconds in which a request must be complete, from the connection's start or the request's
     * first byte.
     */
    static final long REQUEST_TIMEOUT_MICROS = 2_500_000;
    /** Idle time in microseconds after which a connection is closed while there is room. */
    static final long IDLE_TIMEOUT_MICROS = 15_000_000;
    /** Idle time in microseconds after which a connection is closed while there is little room. */
    static final long SHORT_IDLE_TIMEOUT_MICROS = 2_000_000;
    /** Divisor: there is room while at most this fraction of the connection limit is in use. */
    private static final int ROOM_DIVISOR = 2;

    private final int maxConnections;
    private final LongSupplier now;
    private final Timers timers;
    private final Counters counters;
    private final Consumer<Effect> effects;
    private final Set<Long> all = new HashSet<>();
    /** Connections without a complete request, with the time from which its timeout counts; oldest first. */
    private final Map<Long, Long> awaitingRequest = new LinkedHashMap<>();
    /** The connections among them that have received part of a request. */
    private final Set<Long> receiving = new HashSet<>();
    /** Connections between requests, with the time since which they are idle; longest idle first. */
    private final Map<Long, Long> idle = new LinkedHashMap<>();
    /** Whether idle connections are closed early, because another generation accepts the new ones. */
    private boolean closeEarly;
    private long sweepAt = Long.MAX_VALUE;

    ClientConnections(int maxConnections, LongSupplier now, Timers timers, Counters counters,
            Consumer<Effect> effects) {
        this.maxConnections = maxConnections;
        this.now = now;
        this.timers = timers;
        this.counters = counters;
        this.effects = effects;
    }

    void connected(long client) {
        if (all.size() >= maxConnections) {
            makeRoom();
        }
        all.add(client);
        awaitingRequest.put(client, now.getAsLong());
        closeExpired();
    }

    /**
     * Handles the first byte of a request. On a connection's first request the timeout runs from when the
     * connection was made. The connection may just have been due to be closed as idle.
     */
    void requestStarted(long client) {
        idle.remove(client);
        if (all.contains(client)) {
            awaitingRequest.putIfAbsent(client, now.getAsLong());
            receiving.add(client);
            closeExpired();
        }
    }

    /** Handles a complete request: no timeout runs until its response is finished. */
    void requestReceived(long client) {
        awaitingRequest.remove(client);
        receiving.remove(client);
        idle.remove(client);
    }

    void idle(long client) {
        awaitingRequest.remove(client);
        receiving.remove(client);
        if (all.contains(client)) {
            idle.put(client, now.getAsLong());
            closeExpired();
        }
    }

    void disconnected(long client) {
        all.remove(client);
        requestReceived(client);
    }

    /** Sets whether idle connections are closed early so that their clients connect to another process. */
    void setCloseEarly(boolean early) {
        closeEarly = early;
        sweepAt = Long.MAX_VALUE;
        closeExpired();
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
        Iterator<Long> from = (idle.isEmpty() ? awaitingRequest : idle).keySet().iterator();
        while (from.hasNext()) {
            long client = from.next();
            if (!receiving.contains(client)) {
                counters.add("clients.closed_for_room");
                from.remove();
                effects.accept(new Effect.CloseClient(client));
                return;
            }
        }
    }

    /** Closes the connections whose timeout has passed and sets the timer for the next one. */
    private void closeExpired() {
        long idleTimeout = closeEarly || all.size() > maxConnections / ROOM_DIVISOR
                ? SHORT_IDLE_TIMEOUT_MICROS : IDLE_TIMEOUT_MICROS;
        long next = Math.min(closeDue(awaitingRequest, REQUEST_TIMEOUT_MICROS, "clients.closed_waiting"),
                closeDue(idle, idleTimeout, "clients.closed_quiet"));
        if (next < sweepAt) {
            sweepAt = next;
            timers.runAt(next, () -> {
                if (sweepAt == next) {
                    sweepAt = Long.MAX_VALUE;
                    closeExpired();
                }
            });
        }
    }

    /** Closes the connections that are due and returns when the next one is due, or Long.MAX_VALUE. */
    private long closeDue(Map<Long, Long> waiting, long timeout, String counter) {
        Iterator<Map.Entry<Long, Long>> entries = waiting.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<Long, Long> entry = entries.next();
            if (entry.getValue() + timeout > now.getAsLong()) {
                return entry.getValue() + timeout;
            }
            counters.add(counter);
            receiving.remove(entry.getKey());
            entries.remove();
            effects.accept(new Effect.CloseClient(entry.getKey()));
        }
        return Long.MAX_VALUE;
    }
}
