package yewdock.state;

/**
 * The keys of records. A record of what one instance has learnt has that instance's name in its key, and no
 * other instance writes it. Operator overrides are shared: any instance may write them.
 */
public final class RecordKeys {
    /** The prefix of records' keys in a store, which holds other things too. */
    public static final String STORE_PREFIX = "r/";
    private static final String OVERRIDES_PREFIX = "mark/";
    private static final String SERVERS_PREFIX = "box/";
    private static final String SERVER_MEMORY_PREFIX = "node/";

    private RecordKeys() {
    }

    /** The key of an operator override for the server of this name. */
    public static String override(String server) {
        return OVERRIDES_PREFIX + server;
    }

    /** The prefix of the keys of all operator overrides. */
    public static String overridesPrefix() {
        return OVERRIDES_PREFIX;
    }

    /** The name of the server in the key of an operator override. */
    public static String overriddenServer(String key) {
        return key.substring(OVERRIDES_PREFIX.length());
    }

    /** The key of a server's entry in the endpoint list of an instance. */
    public static String server(String instance, long id) {
        return serversPrefix(instance) + Long.toUnsignedString(id, 16);
    }

    /** The prefix of the keys of all servers in the endpoint list of an instance. */
    public static String serversPrefix(String instance) {
        return SERVERS_PREFIX + instance + "/";
    }

    /** The prefix of the keys of all servers in the endpoint lists of all instances. */
    public static String allServersPrefix() {
        return SERVERS_PREFIX;
    }

    /** The key of what an instance's module has learnt about a server. */
    public static String serverMemory(String instance, long id) {
        return serverMemoryPrefix(instance) + Long.toUnsignedString(id, 16);
    }

    /** The prefix of the keys of all that an instance's module has learnt about servers. */
    public static String serverMemoryPrefix(String instance) {
        return SERVER_MEMORY_PREFIX + instance + "/";
    }

    /** The key of the address and version of an instance's endpoint list. */
    public static String endpointList(String instance) {
        return "list/" + instance;
    }

    /** The key of what an instance's module has learnt, apart from servers. */
    public static String moduleMemory(String instance) {
        return "module/" + instance;
    }

    /** The key of the configuration that an instance uses. */
    public static String settings(String instance) {
        return "settings/" + instance;
    }

    /** Whether this instance, and no other, writes the key. */
    public static boolean isOwnedBy(String instance, String key) {
        return !key.startsWith(OVERRIDES_PREFIX) && (key.contains("/" + instance + "/")
                || key.endsWith("/" + instance));
    }
}
