package yewdock.core;

/**
 * What the reducer needs to know of a client's request. The id is chosen by the client; session and shared
 * prefix are 0 when absent; the time that the client still waits for the first token is in microseconds; the
 * size is the number of bytes that the request occupies in memory.
 */
public record ModelRequest(String id, int requestClass, int tenant, boolean markedAsRetry, long session,
        long sharedPrefix, double promptTokens, double prefixTokens, double maxOutputTokens,
        long timeoutMicros, int memoryBytes) {
}
