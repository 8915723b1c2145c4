package yewdock.baseline;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.function.LongUnaryOperator;
import java.util.zip.CRC32;
import umberspread.Mixing;

/** The 64-bit hash functions that place servers and keys on a consistent-hash ring. */
final class HashFunctions {
    private HashFunctions() {
    }

    /**
     * Returns the function with this name, one of {@link PolicyOptions#HASHES}; unknown names give splitmix.
     */
    static LongUnaryOperator byName(String name) {
        return switch (name) {
            case "murmur3" -> {
                var hasher = Hashing.murmur3_128();
                yield x -> hasher.hashStream().putLong(x).getAsLong();
            }
            case "xxh3" -> {
                var hasher = Hashing.xxh3_64();
                yield x -> hasher.hashStream().putLong(x).getAsLong();
            }
            case "komi" -> {
                var hasher = Hashing.komihash5_0();
                yield x -> hasher.hashStream().putLong(x).getAsLong();
            }
            case "crc32" -> HashFunctions::crc32;
            default -> Mixing::mix;
        };
    }

    private static long crc32(long x) {
        CRC32 crc = new CRC32();
        for (int i = 0; i < Long.BYTES; i++) {
            crc.update((int) (x >>> 8 * i));
        }
        // CRC-32 has 32 bits: the shift spreads its values over the whole 64-bit ring
        return crc.getValue() << 32;
    }
}
