package yewdock.state;

/**
 * The keys of records. A record of what one instance has learnt has that instance's name in its key, and no
 * other instance writes it. Operator overrides are shared: any instance may write them.
 */
public final class Keys {
    /** The prefix of records' keys in a store, which holds other things too. */
    public static final String STORED = "r/";
    private static final String OVERRIDES_PREFIX = "mark/";
    private static final String SERVERS_PREFIX = "box/";
    private static final String SERVER_MEMORY_PREFIX = "node/";

    private Keys() {
    }

    /** The key of an operator override for the server of this name. */
    public static String mark(String server) {
        return OVERRIDES_PREFIX + server;
    }

    /** The prefix of the keys of all operator overrides. */
    public static String marks() {
        return OVERRIDES_PREFIX;
    }

    /** The name of the server in the key of an operator override. */
    public static String markedBox(String key) {
        return key.substring(OVERRIDES_PREFIX.length());
    }

    /** The key of a server's entry in the endpoint list of an instance. */
    public static String box(String instance, long id) {
        return boxes(instance) + Long.toUnsignedString(id, 16);
    }

    /** The prefix of the keys of all servers in the endpoint list of an instance. */
    public static String boxes(String instance) {
        return SERVERS_PREFIX + instance + "/";
    }

    /** The prefix of the keys of all servers in the endpoint lists of all instances. */
    public static String allBoxes() {
        return SERVERS_PREFIX;
    }

    /** The key of what an instance's module has learnt about a server. */
    public static String node(String instance, long id) {
        return nodes(instance) + Long.toUnsignedString(id, 16);
    }

    /** The prefix of the keys of all that an instance's module has learnt about servers. */
    public static String nodes(String instance) {
        return SERVER_MEMORY_PREFIX + instance + "/";
    }

    /** The key of the address and version of an instance's endpoint list. */
    public static String list(String instance) {
        return "list/" + instance;
    }

    /** The key of what an instance's module has learnt, apart from servers. */
    public static String module(String instance) {
        return "module/" + instance;
    }

    /** The key of the configuration that an instance uses. */
    public static String settings(String instance) {
        return "settings/" + instance;
    }

    /** Whether this instance, and no other, writes the key. */
    public static boolean isOf(String instance, String key) {
        return !key.startsWith(OVERRIDES_PREFIX) && (key.contains("/" + instance + "/")
                || key.endsWith("/" + instance));
    }
}
