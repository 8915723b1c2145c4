package yewdock.baseline;

import java.util.List;

/**
 * Parameters of the consistent-hash policies.
 *
 * @param loadFactorPercent the load bound, in percent of the average load
 * @param virtualNodes the virtual nodes of a server on the ring
 * @param hash the hash function, one of {@link #HASHES}
 * @param rounding how the bound is rounded, one of {@link #ROUNDINGS}
 * @param measure what the load counts, one of {@link #MEASURES}
 */
public record PolicyOptions(int loadFactorPercent, int virtualNodes, String hash, String rounding,
        String measure) {
    /** Names of the hash functions. */
    public static final List<String> HASHES = List.of("splitmix", "murmur3", "xxh3", "komi", "crc32");
    /** Rounding of the bound: up; up or down at random, drawn per request and server; down, to 1 at least. */
    public static final List<String> ROUNDINGS = List.of("ceil", "chance", "floor");
    /** What the load of a server counts: its requests in flight, or their tokens. */
    public static final List<String> MEASURES = List.of("requests", "tokens");

    /** Checks the ranges and names; throws IllegalArgumentException for the first that is invalid. */
    public PolicyOptions {
        check(loadFactorPercent > 100 && loadFactorPercent <= 100_000,
                "factor: must be over 100 and at most 100000");
        check(virtualNodes >= 1 && virtualNodes <= 10_000, "points: must be from 1 to 10000");
        check(HASHES.contains(hash), "hash: must be one of " + HASHES);
        check(ROUNDINGS.contains(rounding), "rounding: must be one of " + ROUNDINGS);
        check(MEASURES.contains(measure), "measure: must be one of " + MEASURES);
    }

    private static void check(boolean valid, String message) {
        if (!valid) {
            throw new IllegalArgumentException(message);
        }
    }
}
