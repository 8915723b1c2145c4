package yewdock.platform;

/**
 * The time at which bytes arrived, as a range in microseconds of the router's clock. They were read at
 * {@code latest}; if the process was suspended before that, or their connection was in the accept queue, they
 * may have waited since {@code earliest}.
 */
public record Arrival(long earliest, long latest) {
    /** A client that is still connected at the latest time has half of its timeout left on average. */
    private static final int EXPECTED_DIVISOR = 2;

    /** The arrival of bytes that were read as soon as they came. */
    public static Arrival at(long time) {
        return new Arrival(time, time);
    }

    /** Returns the same range, extended to a time at which the bytes may have arrived. */
    public Arrival orAsEarlyAs(long time) {
        return time < earliest ? new Arrival(time, latest) : this;
    }

    /**
     * Returns what is left now of a client's timeout that started when these bytes arrived, in microseconds,
     * at least 0. It counts from the earliest possible arrival. But a client that is still connected after a
     * long pause sent its request at an unknown time within the pause: it gets no less than half of what the
     * latest arrival would leave, so that it is not failed without an attempt.
     */
    long remaining(long timeout, long now) {
        long minRemaining = timeout - Math.max(0, now - earliest);
        long maxRemaining = timeout - Math.max(0, now - latest);
        return Math.max(0, Math.max(minRemaining, maxRemaining / EXPECTED_DIVISOR));
    }
}
