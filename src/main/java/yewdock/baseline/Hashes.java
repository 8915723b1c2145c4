package yewdock.baseline;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.function.LongUnaryOperator;
import java.util.zip.CRC32;
import umberspread.Mixing;

/** Hash functions for rings. */
final class Hashes {
    private Hashes() {
    }

    /** The function of this name. */
    static LongUnaryOperator of(String name) {
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
            case "crc32" -> Hashes::crc;
            default -> Mixing::mix;
        };
    }

    private static long crc(long x) {
        CRC32 crc = new CRC32();
        for (int i = 0; i < Long.BYTES; i++) {
            crc.update((int) (x >>> 8 * i));
        }
        // spread over the whole ring: the sum has half its bits
        return crc.getValue() << 32;
    }
}
