package yewdock.http;

import java.util.List;

/** The head of a message: its first line, split at blanks into three parts, and its fields in order. */
public record MessageHead(String startLineFirst, String startLineSecond, String startLineThird,
        List<Field> fields) {
    /** One header field. */
    public record Field(String name, String value) {
    }

    public MessageHead {
        fields = List.copyOf(fields);
    }

    /** The value of the first field of this name, or null. */
    public String field(String name) {
        for (Field f : fields) {
            if (f.name().equalsIgnoreCase(name)) {
                return f.value();
            }
        }
        return null;
    }

    /** How many fields have this name. */
    public int count(String name) {
        return (int) fields.stream().filter(f -> f.name().equalsIgnoreCase(name)).count();
    }

    /** Whether a comma-separated field holds this word. */
    public boolean hasToken(String name, String word) {
        for (Field f : fields) {
            if (f.name().equalsIgnoreCase(name)) {
                for (String part : f.value().split(",")) {
                    if (part.strip().equalsIgnoreCase(word)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** A request's method. */
    public String method() {
        return startLineFirst;
    }

    /** A request's path with its query. */
    public String target() {
        return startLineSecond;
    }

    /** An answer's status. */
    public int status() {
        return Integer.parseInt(startLineSecond);
    }

    /** Whether the sender keeps the connection after this message. */
    public boolean keepsAlive() {
        String version = startLineFirst.startsWith("HTTP/") ? startLineFirst : startLineThird;
        return version.equals("HTTP/1.1") ? !hasToken("Connection", "close") : hasToken("Connection",
                "keep-alive");
    }
}
