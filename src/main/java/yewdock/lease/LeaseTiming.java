package yewdock.lease;

/**
 * The length of leases and the assumed bound on clock drift. Times are in microseconds.
 *
 * @param lengthMicros how long after it sent its request a router may act, on its own monotonic clock
 * @param maxDrift the largest rate at which a clock may gain or lose time, as a fraction of the elapsed time
 */
public record LeaseTiming(long lengthMicros, double maxDrift) {
    /** The part of the stated time that leases last; the rest allows for clock drift and late checks. */
    private static final double LEASE_FRACTION = 0.8;
    /** How many renewals are sent per lease length. */
    private static final int RENEWALS_PER_LEASE = 6;

    public LeaseTiming {
        if (lengthMicros <= 0 || maxDrift < 0 || maxDrift > 0.01) {
            throw new IllegalArgumentException("invalid lease length " + lengthMicros + " us or clock drift "
                    + maxDrift);
        }
    }

    /**
     * Timing with which a change takes effect, or a partitioned router stops acting, within the stated time.
     *
     * @param maxDelayMicros the stated time in microseconds
     * @param maxDrift the bound on clock drift
     */
    public static LeaseTiming forMaxDelay(long maxDelayMicros, double maxDrift) {
        return new LeaseTiming((long) (maxDelayMicros * LEASE_FRACTION), maxDrift);
    }

    /** How long to wait on one clock, in microseconds, until a lease on another clock must have expired. */
    public long expiryMicros() {
        return (long) Math.ceil(lengthMicros * (1 + maxDrift) / (1 - maxDrift)) + 1;
    }

    /** The interval between renewals, in microseconds. */
    public long renewalIntervalMicros() {
        return lengthMicros / RENEWALS_PER_LEASE;
    }
}
