package yewdock.lease;

/**
 * The length of leases and the assumed bound on clock drift. Times are in microseconds.
 *
 * @param length how long after it sent its request a router may act, on its own monotonic clock
 * @param drift the largest rate at which a clock may gain or lose time, as a fraction of the elapsed time
 */
public record LeaseTerms(long length, double drift) {
    /** The part of the stated time that leases last; the rest allows for clock drift and late checks. */
    private static final double LEASE_FRACTION = 0.8;
    /** How many renewals are sent per lease length. */
    private static final int RENEWALS_PER_LEASE = 6;

    public LeaseTerms {
        if (length <= 0 || drift < 0 || drift > 0.01) {
            throw new IllegalArgumentException("invalid lease length " + length + " us or clock drift "
                    + drift);
        }
    }

    /**
     * Timing with which a change takes effect, or a partitioned router stops acting, within the stated time.
     *
     * @param agreedWithin the stated time in microseconds
     * @param drift the bound on clock drift
     */
    public static LeaseTerms within(long agreedWithin, double drift) {
        return new LeaseTerms((long) (agreedWithin * LEASE_FRACTION), drift);
    }

    /** How long to wait on one clock until a lease measured by another clock has surely expired. */
    public long runOut() {
        return (long) Math.ceil(length * (1 + drift) / (1 - drift)) + 1;
    }

    /** The interval between renewals. */
    public long renewEvery() {
        return length / RENEWALS_PER_LEASE;
    }
}
