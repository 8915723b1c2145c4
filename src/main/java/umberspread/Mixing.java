package umberspread;

/** Numbers that look drawn and are the same wherever they are computed. */
public final class Mixing {
    /** Sets the points of replicas apart from the keys of requests. */
    static final long RING_SALT = 0x9e3779b97f4a7c15L;
    /** Sets the keys that a cold replica takes apart from all else that is made of keys. */
    static final long COLD_SALT = 0xd1b54a32d192ed03L;

    private Mixing() {
    }

    /** The finaliser of SplitMix64: every bit of the input moves every bit of the result. */
    public static long mix(long x) {
        long z = x + RING_SALT;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /** A number from 0 up to 1, and never 1. */
    public static double uniform(long x) {
        return (mix(x) >>> 11) * 0x1.0p-53;
    }
}
