package umberspread;

/** Deterministic pseudo-random numbers: equal inputs give equal results at every router instance. */
public final class Mixing {
    /** Separates the hashes of servers on the ring from those of request keys. */
    static final long RING_SALT = 0x9e3779b97f4a7c15L;
    /** Separates the choice of the keys that a cold server takes from all other hashes of keys. */
    static final long COLD_SALT = 0xd1b54a32d192ed03L;

    private Mixing() {
    }

    /** The finaliser of SplitMix64: every bit of the input affects every bit of the result. */
    public static long mix(long x) {
        long z = x + RING_SALT;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /** Hashes to a number that is at least 0 and less than 1. */
    public static double uniform(long x) {
        return (mix(x) >>> 11) * 0x1.0p-53;
    }
}
