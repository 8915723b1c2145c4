package yewdock.http;

import java.util.List;

/**
 * The head of an HTTP message.
 *
 * @param startLineFirst the method of a request, the version of a response
 * @param startLineSecond the target of a request, the status of a response
 * @param startLineThird the version of a request, the reason phrase of a response, which may be empty
 * @param fields the header fields in their order
 */
public record MessageHead(String startLineFirst, String startLineSecond, String startLineThird,
        List<Field> fields) {
    /** Memory for a field's objects in addition to its characters. */
    private static final int FIELD_OVERHEAD_BYTES = 128;

    /** One header field. */
    public record Field(String name, String value) {
    }

    /** Copies the fields. */
    public MessageHead {
        fields = List.copyOf(fields);
    }

    /** Returns the value of the first field of this name, case-insensitively; null if there is none. */
    public String field(String name) {
        for (Field f : fields) {
            if (f.name().equalsIgnoreCase(name)) {
                return f.value();
            }
        }
        return null;
    }

    /** Returns how many fields have this name, case-insensitively. */
    public int count(String name) {
        return (int) fields.stream().filter(f -> f.name().equalsIgnoreCase(name)).count();
    }

    /** Whether a field of this name contains the token in its comma-separated value. */
    public boolean hasToken(String name, String token) {
        for (Field f : fields) {
            if (f.name().equalsIgnoreCase(name)) {
                for (String part : f.value().split(",")) {
                    if (part.strip().equalsIgnoreCase(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Returns about how many bytes of memory the head takes; each field takes more than its characters. */
    public int memoryBytes() {
        int bytes = startLineFirst.length() + startLineSecond.length() + startLineThird.length();
        for (Field f : fields) {
            bytes += f.name().length() + f.value().length() + FIELD_OVERHEAD_BYTES;
        }
        return bytes;
    }

    /** Returns a request's method. */
    public String method() {
        return startLineFirst;
    }

    /** Returns a request's target: path and query. */
    public String target() {
        return startLineSecond;
    }

    /** Returns a response's status. */
    public int status() {
        return Integer.parseInt(startLineSecond);
    }

    /** Whether the sender keeps the connection open after this message. */
    public boolean keepsAlive() {
        String version = startLineFirst.startsWith("HTTP/") ? startLineFirst : startLineThird;
        return version.equals("HTTP/1.1") ? !hasToken("Connection", "close") : hasToken("Connection",
                "keep-alive");
    }
}
