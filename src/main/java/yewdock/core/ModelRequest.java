package yewdock.core;

/**
 * What the desk needs to know of a client's request. id is the client's own name for it; session and
 * sharedBeginning are 0 when absent; patience is how long the client still waits for the first token; size is
 * what it holds in memory.
 */
public record ModelRequest(String id, int requestClass, int tenant, boolean markedAsRetry, long session,
        long sharedPrefix, double promptTokens, double prefixTokens, double maxOutputTokens,
                long timeoutMicros,
        int memoryBytes) {
}
