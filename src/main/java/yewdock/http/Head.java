package yewdock.http;

import java.util.List;

/**
 * The head of an HTTP message.
 *
 * @param first the method of a request, the version of a response
 * @param second the target of a request, the status of a response
 * @param third the version of a request, the reason phrase of a response, which may be empty
 * @param fields the header fields in their order
 */
public record Head(String first, String second, String third, List<Field> fields) {
    /** One header field. */
    public record Field(String name, String value) {
    }

    /** Copies the fields. */
    public Head {
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
    public boolean says(String name, String word) {
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

    /** Returns a request's method. */
    public String method() {
        return first;
    }

    /** Returns a request's target: path and query. */
    public String target() {
        return second;
    }

    /** Returns a response's status. */
    public int status() {
        return Integer.parseInt(second);
    }

    /** Whether the sender keeps the connection open after this message. */
    public boolean keepsAlive() {
        String version = first.startsWith("HTTP/") ? first : third;
        return version.equals("HTTP/1.1") ? !says("Connection", "close") : says("Connection", "keep-alive");
    }
}
