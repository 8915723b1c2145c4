package yewdock.platform;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Names from the outside as the numbers that the module knows: the same at every router. */
final class Ids {
    private static final int HEX = 16;
    /** The platform names things by hexadecimal numbers, some behind a letter and a dash. */
    private static final Pattern NUMBERED = Pattern.compile("(?:[a-z]-)?([0-9a-f]{1,16})");

    private Ids() {
    }

    /**
     * The number that a name holds, so that a box or a session has one number on the sockets and in the
     * simulator, and the module decides alike on both; of other names, a hash. 0 if there is no name.
     */
    static long of(String name) {
        if (name == null || name.isEmpty()) {
            return 0;
        }
        Matcher numbered = NUMBERED.matcher(name);
        long number = numbered.matches() ? Long.parseUnsignedLong(numbered.group(1), HEX) : 0;
        return number != 0 ? number : hash(name);
    }

    /** A hash of the name (FNV-1a, then mixed, 64 bits) that is never 0. */
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
