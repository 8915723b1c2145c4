package yewdock.state;

/**
 * The keys of records. What an instance has been told or has found out is its own and has its name in the
 * key: no other writes it. Operators' marks are everybody's.
 */
public final class RecordKeys {
    /** What the key of a record begins with in a store, where other things lie beside the records. */
    public static final String STORED = "r/";
    private static final String MARKS = "mark/";
    private static final String BOXES = "box/";
    private static final String NODES = "node/";

    private RecordKeys() {
    }

    /** An operator's mark on the box of this name. */
    public static String mark(String box) {
        return MARKS + box;
    }

    public static String marks() {
        return MARKS;
    }

    /** The name of the box that a mark is on. */
    public static String markedBox(String key) {
        return key.substring(MARKS.length());
    }

    /** What the list told an instance of a box. */
    public static String box(String instance, long id) {
        return boxes(instance) + Long.toUnsignedString(id, 16);
    }

    public static String boxes(String instance) {
        return BOXES + instance + "/";
    }

    public static String allBoxes() {
        return BOXES;
    }

    /** What an instance's module holds against a box. */
    public static String node(String instance, long id) {
        return nodes(instance) + Long.toUnsignedString(id, 16);
    }

    public static String nodes(String instance) {
        return NODES + instance + "/";
    }

    public static String list(String instance) {
        return "list/" + instance;
    }

    public static String module(String instance) {
        return "module/" + instance;
    }

    public static String settings(String instance) {
        return "settings/" + instance;
    }

    /** Whether only this instance writes the key. */
    public static boolean isOf(String instance, String key) {
        return !key.startsWith(MARKS) && (key.contains("/" + instance + "/")
                || key.endsWith("/" + instance));
    }
}
