package yewdock.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** The connections to servers: which are open, which are idle, and for how long. */
final class ServerConnections {
    /**
     * When this fraction of the connection limit is in use, idle connections are closed before new ones are
     * opened.
     */
    private static final double CROWDED_FRACTION = 0.75;
    /**
     * An idle connection is closed after this fraction of the keepalive time: at the full time the server
     * might close it while an attempt is being sent.
     */
    private static final double KEEPALIVE_FRACTION = 0.8;
    /**
     * Idle time in microseconds before a connection takes another attempt: an unexpected second response may
     * arrive right after the first.
     */
    static final long SETTLE_MICROS = 50_000;

    private final ReducerContext context;
    private final int maxConnections;
    private final long idleTimeoutMicros;
    private final KnownServers servers;
    private final Map<Long, ServerConnection> connections = new HashMap<>();
    private final Map<Long, Deque<ServerConnection>> idle = new HashMap<>();
    private long lastId;

    ServerConnections(ReducerContext context, int maxConnections, long keepaliveMicros,
            KnownServers servers) {
        this.context = context;
        this.maxConnections = maxConnections;
        this.idleTimeoutMicros = (long) (keepaliveMicros * KEEPALIVE_FRACTION);
        this.servers = servers;
    }

    int retainedEntries() {
        return connections.size() + idle.size();
    }

    /** Returns a connection that is open or being opened; null if there is none with this number. */
    ServerConnection get(long connectionId) {
        return connections.get(connectionId);
    }

    /** Takes an idle connection to the server that has been idle long enough; null if there is none. */
    ServerConnection takeIdle(ModelServer server) {
        Deque<ServerConnection> idleConnections = idle.get(server.id());
        ServerConnection connection = idleConnections == null ? null : takeSettled(idleConnections);
        if (connection == null && connections.size() >= maxConnections * CROWDED_FRACTION) {
            closeLongestIdle();
        }
        return connection;
    }

    /** Takes the connection idle for the shortest time that is long enough for late data to have arrived. */
    private ServerConnection takeSettled(Deque<ServerConnection> idleConnections) {
        Iterator<ServerConnection> shortestIdleFirst = idleConnections.descendingIterator();
        while (shortestIdleFirst.hasNext()) {
            ServerConnection connection = shortestIdleFirst.next();
            if (context.now() - connection.idleSince >= SETTLE_MICROS) {
                shortestIdleFirst.remove();
                return connection;
            }
        }
        return null;
    }

    /** Frees a place for a new connection by closing the longest idle one. */
    private void closeLongestIdle() {
        ServerConnection longest = null;
        for (Deque<ServerConnection> idleConnections : idle.values()) {
            ServerConnection first = idleConnections.peekFirst();
            if (first != null && (longest == null || first.idleSince < longest.idleSince)) {
                longest = first;
            }
        }
        if (longest != null) {
            idle.get(longest.server.id()).removeFirst();
            context.count("lines.retired");
            close(longest);
        }
    }

    /** Opens a connection for an attempt; null if the limit is reached. */
    ServerConnection open(ModelServer server, Attempt attempt) {
        if (connections.size() >= maxConnections) {
            context.count("lines.no_room");
            return null;
        }
        ServerConnection connection = new ServerConnection(++lastId, server);
        connection.attempt = attempt;
        attempt.connection = connection;
        connections.put(connection.id, connection);
        context.count("lines.opened");
        context.emit(new Effect.OpenServerConnection(connection.id, server.address()));
        return connection;
    }

    void close(ServerConnection connection) {
        if (!connection.closing) {
            connection.closing = true;
            context.emit(new Effect.CloseServerConnection(connection.id));
        }
    }

    /** Forgets a connection that has closed and returns it; null if it was forgotten before. */
    ServerConnection closed(long id) {
        ServerConnection connection = connections.remove(id);
        if (connection != null) {
            context.count("lines.closed");
            removeIdle(connection);
        }
        return connection;
    }

    /** Closes a connection that can't take another attempt. */
    void discard(ServerConnection connection) {
        removeIdle(connection);
        close(connection);
    }

    private void removeIdle(ServerConnection connection) {
        Deque<ServerConnection> idleConnections = idle.get(connection.server.id());
        if (idleConnections != null) {
            idleConnections.remove(connection);
        }
    }

    /**
     * Releases a connection after its attempt: it becomes idle if it can take another one, or else is closed.
     */
    void release(ServerConnection connection, boolean reusable) {
        connection.attempt = null;
        ModelServer server = servers.get(connection.server.id());
        if (reusable && connection.reaches(server)) {
            resumeReading(connection);
            addIdle(connection);
        } else {
            close(connection);
        }
    }

    private void addIdle(ServerConnection connection) {
        connection.idleSince = context.now();
        idle.computeIfAbsent(connection.server.id(), id -> new ArrayDeque<>()).addLast(connection);
        context.runAt(context.now() + idleTimeoutMicros, () -> {
            Deque<ServerConnection> idleConnections = idle.get(connection.server.id());
            if (context.now() - connection.idleSince >= idleTimeoutMicros && idleConnections != null
                    && idleConnections.remove(connection)) {
                context.count("lines.retired");
                close(connection);
            }
        });
    }

    /** Pauses reading because the client is slow. */
    void pauseReading(ServerConnection connection) {
        if (!connection.readingPaused) {
            connection.readingPaused = true;
            context.emit(new Effect.PauseReading(connection.id, true));
        }
    }

    /** Resumes reading. */
    void resumeReading(ServerConnection connection) {
        if (connection.readingPaused) {
            connection.readingPaused = false;
            context.emit(new Effect.PauseReading(connection.id, false));
        }
    }

    /** Closes idle connections to servers that take no more work, have moved or were started again. */
    void closeUnusableIdle() {
        for (Map.Entry<Long, Deque<ServerConnection>> entry : idle.entrySet()) {
            ModelServer server = servers.get(entry.getKey());
            entry.getValue().removeIf(connection -> {
                boolean unusable = !connection.reaches(server);
                if (unusable) {
                    close(connection);
                }
                return unusable;
            });
        }
        idle.values().removeIf(Deque::isEmpty);
    }
}
