package yewdock.lease;

/**
 * How long a lease is, and how far clocks may drift. Times are microseconds.
 *
 * @param length a router acts by what it holds for so long after it asked, on its own monotonic clock
 * @param drift no clock gains or loses more than this part of the time that passes
 */
public record LeaseTiming(long length, double drift) {
    /** Of the stated time this part is the lease; the rest is for clocks that drift and for looking late. */
    private static final double PART = 0.8;
    /** A lease is renewed so many times in its length. */
    private static final int RENEWALS = 6;

    public LeaseTiming {
        if (length <= 0 || drift < 0 || drift > 0.01) {
            throw new IllegalArgumentException("a lease of " + length + " us, clocks that drift by " + drift);
        }
    }

    /** The terms that keep a stated time. */
    public static LeaseTiming within(long agreedWithin, double drift) {
        return new LeaseTiming((long) (agreedWithin * PART), drift);
    }

    /** So long on one clock, and a lease that another clock measures is surely over. */
    public long runOut() {
        return (long) Math.ceil(length * (1 + drift) / (1 - drift)) + 1;
    }

    /** How often a router asks. */
    public long renewEvery() {
        return length / RENEWALS;
    }
}
