package yewdock.lease;

import java.util.ArrayDeque;

/**
 * A router's lease: the time until which it may act on its rules. It runs from when the granted request was
 * sent, so neither network delay nor the leader's clock matters. No I/O; all times are microseconds of one
 * monotonic clock.
 */
public final class Lease {
    private final LeaseTiming timing;
    private final ArrayDeque<SentRequest> sentRequests = new ArrayDeque<>();
    private long lastNumber;
    private long expiresAt = Long.MIN_VALUE;

    /** A request that has not been answered yet. */
    private record SentRequest(long number, long sentAt) {
    }

    /** A lease that has not been granted yet. */
    public Lease(LeaseTiming timing) {
        this.timing = timing;
    }

    /** Records that a lease request is sent now; returns its number. */
    public long beginRenewal(long now) {
        sentRequests.removeIf(request -> now - request.sentAt >= timing.lengthMicros());
        sentRequests.add(new SentRequest(++lastNumber, now));
        return lastNumber;
    }

    /** The request with this number was granted; has no effect if repeated or too late. */
    public void granted(long number) {
        for (SentRequest request : sentRequests) {
            if (request.number == number) {
                expiresAt = Math.max(expiresAt, request.sentAt + timing.lengthMicros());
            }
        }
        sentRequests.removeIf(request -> request.number <= number);
    }

    /** The first time at which the router may not act any more; Long.MIN_VALUE if never granted. */
    public long expiresAt() {
        return expiresAt;
    }

    /** Whether the lease is valid. Call it for each decision with the current time, as timers may be late. */
    public boolean isValid(long now) {
        return now < expiresAt;
    }
}
