package yewdock.platform;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The memory that all client connections together hold of what clients have sent: requests that are not
 * complete, and bytes behind an open request. Beyond the limit, the input of connections that hold much and
 * have held it for long is discarded, so that clients that send without end leave room for others.
 */
final class InputMemory {
    /** Discards what a connection holds of its client's input. */
    interface Holder {
        /** Discards the input and answers it, if it is part of a request, with an error. */
        void discardInput();
    }

    private final long maxBytes;
    private long totalBytes;
    /** What each connection holds; the one that has held something for the longest time comes first. */
    private final Map<Holder, Long> bytesByHolder = new LinkedHashMap<>();

    InputMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Records how much a connection holds now, and discards input until all of it is within the limit. */
    void update(Holder holder, long bytes) {
        Long before = bytes == 0 ? bytesByHolder.remove(holder) : bytesByHolder.put(holder, bytes);
        totalBytes += bytes - (before == null ? 0 : before);
        while (totalBytes > maxBytes) {
            Holder discarded = longestAboveAverage();
            totalBytes -= bytesByHolder.remove(discarded);
            discarded.discardInput();
        }
    }

    /** Returns how many bytes all connections hold. */
    long totalBytes() {
        return totalBytes;
    }

    /** Returns the connection that has held input for the longest time of those that hold the average. */
    private Holder longestAboveAverage() {
        long average = totalBytes / bytesByHolder.size();
        for (Map.Entry<Holder, Long> entry : bytesByHolder.entrySet()) {
            if (entry.getValue() >= average) {
                return entry.getKey();
            }
        }
        throw new IllegalStateException("none of the connections holds the average");
    }
}
