package yewdock.platform;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Converts external names to the numeric ids that the module uses, equally on every router. */
final class Ids {
    private static final int HEX_RADIX = 16;
    /** The platform uses hexadecimal numbers as names, some of them prefixed by a letter and a dash. */
    private static final Pattern HEX_NAME = Pattern.compile("(?:[a-z]-)?([0-9a-f]{1,16})");

    private Ids() {
    }

    /**
     * Returns the number in a name, so that a server or a session has the same id on real connections and in
     * the simulator and the module decides alike in both; for other names, a hash. 0 if there is no name.
     */
    static long of(String name) {
        if (name == null || name.isEmpty()) {
            return 0;
        }
        Matcher matcher = HEX_NAME.matcher(name);
        long number = matcher.matches() ? Long.parseUnsignedLong(matcher.group(1), HEX_RADIX) : 0;
        return number != 0 ? number : hash(name);
    }

    /** Hashes the name to 64 bits (FNV-1a, then mixed); never 0. */
    static long hash(String name) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            h = (h ^ name.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ h >>> 32) * 0x9e3779b97f4a7c15L;
        h ^= h >>> 29;
        return h == 0 ? 1 : h;
    }
}
