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
    /**
     * Time in microseconds that a new connection has to send something before it may be closed for another
     * one: its request may still be on the way.
     */
    static final long FIRST_BYTE_GRACE_MICROS = 20_000;
    /** Least time in microseconds that a request has to be completed before it may be refused for room. */
    static final long MIN_RECEIVE_MICROS = 100_000;
    /**
     * The same for each connection of the limit: connections are replaced at most so often, whatever the
     * limit is, since clients may come again as soon as they are turned away.
     */
    private static final long RECEIVE_MICROS_PER_CONNECTION = 1_000;
    /** Divisor: there is room while at most this fraction of the connection limit is in use. */
    private static final int ROOM_DIVISOR = 2;

    private final int maxConnections;
    private final long receiveMicros;
    private final LongSupplier now;
    private final EarliestTimer expiryTimer;
    private final EarliestTimer roomTimer;
    private final Counters counters;
    private final Consumer<Effect> effects;
    private final Set<Long> all = new HashSet<>();
    /** Connections without a complete request, with the time from which its timeout counts; oldest first. */
    private final Map<Long, Long> awaitingRequest = new LinkedHashMap<>();
    /** The connections among them that have received nothing, with the time since; oldest first. */
    private final Map<Long, Long> silent = new LinkedHashMap<>();
    /** The others, with the time of the first byte of the request; oldest first. */
    private final Map<Long, Long> receiving = new LinkedHashMap<>();
    /** Connections between requests, with the time since which they are idle; longest idle first. */
    private final Map<Long, Long> idle = new LinkedHashMap<>();
    /** Whether idle connections are closed early, because another generation accepts the new ones. */
    private boolean closeEarly;
    /** The connections that are being closed. */
    private final Set<Long> closing = new HashSet<>();

    ClientConnections(int maxConnections, LongSupplier now, Timers timers, Counters counters,
            Consumer<Effect> effects) {
        this.maxConnections = maxConnections;
        this.receiveMicros = Math.max(MIN_RECEIVE_MICROS, RECEIVE_MICROS_PER_CONNECTION * maxConnections);
        this.now = now;
        this.expiryTimer = new EarliestTimer(timers, this::closeExpired);
        this.roomTimer = new EarliestTimer(timers, this::makeRoom);
        this.counters = counters;
        this.effects = effects;
    }

    void connected(long client) {
        all.add(client);
        awaitingRequest.put(client, now.getAsLong());
        silent.put(client, now.getAsLong());
        makeRoom();
        closeExpired();
    }

    /**
     * Handles the first byte of a request. On a connection's first request the timeout runs from when the
     * connection was made. The connection may just have been due to be closed as idle.
     */
    void requestStarted(long client) {
        idle.remove(client);
        silent.remove(client);
        closing.remove(client);
        if (all.contains(client)) {
            awaitingRequest.putIfAbsent(client, now.getAsLong());
            receiving.put(client, now.getAsLong());
            makeRoom();
            closeExpired();
        }
    }

    /** Handles a complete request: no timeout runs until its response is finished. */
    void requestReceived(long client) {
        stopWaiting(client);
        idle.remove(client);
    }

    private void stopWaiting(long client) {
        awaitingRequest.remove(client);
        silent.remove(client);
        receiving.remove(client);
    }

    void idle(long client) {
        stopWaiting(client);
        if (all.contains(client)) {
            idle.put(client, now.getAsLong());
            makeRoom();
            closeExpired();
        }
    }

    void disconnected(long client) {
        all.remove(client);
        closing.remove(client);
        requestReceived(client);
    }

    /** Sets whether idle connections are closed early so that their clients connect to another process. */
    void setCloseEarly(boolean early) {
        closeEarly = early;
        closeExpired();
    }

    int count() {
        return all.size();
    }

    /**
     * Closes connections while there are more than the limit allows, since all that are accepted beyond a
     * small reserve, and the requests on them, wait unread in the kernel's accept queue. First the longest
     * idle ones between requests, whose clients send their next request on a new connection if the close
     * crosses it; then those that have taken longest to send a request, beyond the time that each is given.
     * If all the others are within that time, waits for the first one. Connections with a complete request
     * are never closed here.
     */
    private void makeRoom() {
        while (all.size() - closing.size() > maxConnections) {
            if (!idle.isEmpty()) {
                closeForRoom(idle.keySet().iterator().next());
                continue;
            }
            long silentDue = dueAt(silent, FIRST_BYTE_GRACE_MICROS);
            long receivingDue = dueAt(receiving, receiveMicros);
            if (Math.min(silentDue, receivingDue) > now.getAsLong()) {
                roomTimer.runBy(Math.min(silentDue, receivingDue));
                return;
            }
            if (silentDue <= receivingDue) {
                closeForRoom(silent.keySet().iterator().next());
            } else {
                refuseForRoom(receiving.keySet().iterator().next());
            }
        }
    }

    /** Returns when the oldest of these has had its time, in microseconds, or Long.MAX_VALUE. */
    private static long dueAt(Map<Long, Long> waiting, long timeMicros) {
        return waiting.isEmpty() ? Long.MAX_VALUE : waiting.values().iterator().next() + timeMicros;
    }

    private void closeForRoom(long client) {
        counters.add("clients.closed_for_room");
        idle.remove(client);
        stopWaiting(client);
        closing.add(client);
        effects.accept(new Effect.CloseClient(client));
    }

    private void refuseForRoom(long client) {
        counters.add("clients.refused_for_room");
        stopWaiting(client);
        closing.add(client);
        effects.accept(new Effect.RefusePartialRequest(client));
    }

    /** Closes the connections whose timeout has passed and sets the timer for the next one. */
    private void closeExpired() {
        long idleTimeout = closeEarly || all.size() > maxConnections / ROOM_DIVISOR
                ? SHORT_IDLE_TIMEOUT_MICROS : IDLE_TIMEOUT_MICROS;
        long next = Math.min(closeDue(awaitingRequest, REQUEST_TIMEOUT_MICROS, "clients.closed_waiting"),
                closeDue(idle, idleTimeout, "clients.closed_quiet"));
        expiryTimer.runBy(next);
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
            silent.remove(entry.getKey());
            receiving.remove(entry.getKey());
            closing.add(entry.getKey());
            entries.remove();
            effects.accept(new Effect.CloseClient(entry.getKey()));
        }
        return Long.MAX_VALUE;
    }
}
