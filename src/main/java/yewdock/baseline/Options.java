package yewdock.baseline;

import java.util.List;

/**
 * What a policy leaves open: the bound in hundredths of the average, points of a box on the ring, the
 * hash, how
 * the bound is rounded, and whether it counts requests or their tokens.
 */
public record Options(int factor, int points, String hash, String rounding, String measure) {
    /** The ways of hashing. */
    public static final List<String> HASHES = List.of("splitmix", "murmur3", "xxh3", "komi", "crc32");
    /** The ways of rounding: up; up or down by the request's own draw; not at all. */
    public static final List<String> ROUNDINGS = List.of("ceil", "chance", "floor");
    /** What is counted. */
    public static final List<String> MEASURES = List.of("requests", "tokens");

    public Options {
        require(factor > 100 && factor <= 100_000, "factor: over 100, at most 100000");
        require(points >= 1 && points <= 10_000, "points: 1 to 10000");
        require(HASHES.contains(hash), "hash: one of " + HASHES);
        require(ROUNDINGS.contains(rounding), "rounding: one of " + ROUNDINGS);
        require(MEASURES.contains(measure), "measure: one of " + MEASURES);
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }
}
