package yewdock.core;

/**
 * The limits on what the router holds at once: client connections, server connections, open requests and
 * bytes of request data. At a limit it closes idle connections and refuses requests, before it runs out of
 * file descriptors or memory.
 */
public record ResourceLimits(int maxClientConnections, int maxServerConnections, int maxRequests,
        int maxRequestBytes) {
    /**
     * File descriptors reserved for the process itself and for connections that are being opened or closed.
     */
    private static final int RESERVED_DESCRIPTORS = 72;
    /**
     * Divisor: server connections get at most this fraction of the descriptors. Each open request needs one.
     */
    private static final int CONNECTIONS_DIVISOR = 3;
    /**
     * Divisor: complete requests may use this fraction of the memory, which a process shares with the one
     * that replaces it.
     */
    private static final int MEMORY_DIVISOR = 12;
    /** Divisor: and at most this fraction of the heap; the rest of it serves all else. */
    private static final int HEAP_DIVISOR = 3;
    /** Divisor: what clients have sent of incomplete requests may use this fraction of that. */
    private static final int INPUT_DIVISOR = 3;
    /** Divisor: what clients have not yet taken of their responses may use this fraction of that. */
    private static final int OUTPUT_DIVISOR = 2;
    /** Bounds of what one client may leave unwritten of its response. */
    private static final int MIN_UNWRITTEN_BYTES = 16 * 1024;
    private static final int MAX_UNWRITTEN_BYTES = 64 * 1024;
    /** Lower bound for the number of connections of each kind. */
    private static final int MIN_CONNECTIONS = 16;

    /**
     * Returns the limits for this many file descriptors and megabytes of memory.
     *
     * @param maxHeapBytes the most that the process's heap may take
     */
    public static ResourceLimits within(int descriptors, int megabytes, long maxHeapBytes) {
        int servers = Math.max(MIN_CONNECTIONS, descriptors / CONNECTIONS_DIVISOR);
        int clients = Math.max(MIN_CONNECTIONS, descriptors - servers - RESERVED_DESCRIPTORS);
        long requestBytes = Math.min(((long) megabytes << 20) / MEMORY_DIVISOR, maxHeapBytes / HEAP_DIVISOR);
        return new ResourceLimits(clients, servers, servers, (int) Math.min(Integer.MAX_VALUE, requestBytes));
    }

    /** Returns the memory for what all clients have sent of requests that are not complete. */
    public int maxInputBytes() {
        return maxRequestBytes / INPUT_DIVISOR;
    }

    /** Returns how much of a response may be unwritten before its server connection is no longer read. */
    public int maxUnwrittenBytes() {
        int share = maxRequestBytes / OUTPUT_DIVISOR / maxRequests;
        return Math.max(MIN_UNWRITTEN_BYTES, Math.min(MAX_UNWRITTEN_BYTES, share));
    }
}
