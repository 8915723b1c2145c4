package yewdock.core;

/**
 * How much the router holds at once: connections from clients, lines to boxes, open requests, and bytes of
 * requests. Beyond these it closes quiet connections and refuses requests, before it runs out of descriptors
 * or memory.
 */
public record ResourceLimits(int maxClientConnections, int maxServerConnections, int maxRequests,
        int maxRequestBytes) {
    /** Descriptors for the program itself, and for connections that are just coming or being closed. */
    private static final int KEPT_BACK = 72;
    /** Clients' requests hold at most this part of the descriptors, and each needs a line. */
    private static final int LINES_PART = 3;
    /** Requests that are whole may hold this part of the memory; the rest of the heap is for all else. */
    private static final int BYTES_PART = 12;
    private static final int LEAST = 16;

    /** The bounds that fit so many descriptors and so much memory. */
    public static ResourceLimits within(int descriptors, int megabytes) {
        int lines = Math.max(LEAST, descriptors / LINES_PART);
        int clients = Math.max(LEAST, descriptors - lines - KEPT_BACK);
        return new ResourceLimits(clients, lines, lines, (int) Math.min(Integer.MAX_VALUE,
                ((long) megabytes << 20) / BYTES_PART));
    }
}
