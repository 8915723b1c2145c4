package yewdock.state;

/**
 * The keys of records. What an instance has been told or has found out is its own and has its name in the
 * key: no other writes it. Operators' marks are everybody's.
 */
public final class RecordKeys {
    /** What the key of a record begins with in a store, where other things lie beside the records. */
    public static final String STORE_PREFIX = "r/";
    private static final String MARKS = "mark/";
    private static final String BOXES = "box/";
    private static final String NODES = "node/";

    private RecordKeys() {
    }

    /** An operator's mark on the box of this name. */
    public static String override(String box) {
        return MARKS + box;
    }

    public static String overridesPrefix() {
        return MARKS;
    }

    /** The name of the box that a mark is on. */
    public static String overriddenServer(String key) {
        return key.substring(MARKS.length());
    }

    /** What the list told an instance of a box. */
    public static String server(String instance, long id) {
        return serversPrefix(instance) + Long.toUnsignedString(id, 16);
    }

    public static String serversPrefix(String instance) {
        return BOXES + instance + "/";
    }

    public static String allServersPrefix() {
        return BOXES;
    }

    /** What an instance's module holds against a box. */
    public static String serverMemory(String instance, long id) {
        return serverMemoryPrefix(instance) + Long.toUnsignedString(id, 16);
    }

    public static String serverMemoryPrefix(String instance) {
        return NODES + instance + "/";
    }

    public static String endpointList(String instance) {
        return "list/" + instance;
    }

    public static String moduleMemory(String instance) {
        return "module/" + instance;
    }

    public static String settings(String instance) {
        return "settings/" + instance;
    }

    /** Whether only this instance writes the key. */
    public static boolean isOwnedBy(String instance, String key) {
        return !key.startsWith(MARKS) && (key.contains("/" + instance + "/")
                || key.endsWith("/" + instance));
    }
}
