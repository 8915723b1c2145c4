package yewdock.lease;

/**
 * How long a lease is, and how far clocks may drift. Times are microseconds.
 *
 * @param lengthMicros a router acts by what it holds for so long after it asked, on its own monotonic clock
 * @param maxDrift no clock gains or loses more than this part of the time that passes
 */
public record LeaseTiming(long lengthMicros, double maxDrift) {
    /** Of the stated time this part is the lease; the rest is for clocks that drift and for looking late. */
    private static final double PART = 0.8;
    /** A lease is renewed so many times in its length. */
    private static final int RENEWALS = 6;

    public LeaseTiming {
        if (lengthMicros <= 0 || maxDrift < 0 || maxDrift > 0.01) {
            throw new IllegalArgumentException("a lease of " + lengthMicros + " us, clocks that drift by "
                    + maxDrift);
        }
    }

    /** The terms that keep a stated time. */
    public static LeaseTiming forMaxDelay(long agreedWithin, double drift) {
        return new LeaseTiming((long) (agreedWithin * PART), drift);
    }

    /** So long on one clock, and a lease that another clock measures is surely over. */
    public long expiryMicros() {
        return (long) Math.ceil(lengthMicros * (1 + maxDrift) / (1 - maxDrift)) + 1;
    }

    /** How often a router asks. */
    public long renewalIntervalMicros() {
        return lengthMicros / RENEWALS;
    }
}
