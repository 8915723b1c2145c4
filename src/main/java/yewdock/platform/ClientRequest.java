package yewdock.platform;

import java.util.HashMap;
import java.util.Map;
import yewdock.core.ModelRequest;
import yewdock.http.BadMessageException;
import yewdock.http.MessageHead;

/** A client's request as received; it is forwarded to a server unchanged. */
record ClientRequest(MessageHead head, byte[] body) {
    static final String PATH = "/v1/chat/completions";
    private static final int BAD_REQUEST = 400;
    /** Memory that is counted for a request in addition to its head and body. */
    private static final int OVERHEAD_BYTES = 4096;
    /** A body is held here, and once more while it is written to a server. */
    private static final int BODY_COPIES = 2;
    /** Assumed network delay from the client: its timeout started this long before the request arrived. */
    private static final long TRANSIT_MICROS = 3_000;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MAX_TIMEOUT_SECONDS = 86_400;

    /**
     * Returns what the reducer needs of the request. A header that is malformed or has an unknown value makes
     * it a bad request. The client's timeout also runs while the request waits to be read.
     */
    ModelRequest toModelRequest(NameIndexes names, Arrival arrival, long now) throws BadMessageException {
        String id = required("X-Correlation-Id");
        int requestClass = index(names.classes(), "X-Service-Class");
        int tenant = names.tenants().isEmpty() ? 0 : index(names.tenants(), "X-Account");
        double seconds = Numbers.decimal(required("X-Time-Left"));
        if (!(seconds <= MAX_TIMEOUT_SECONDS)) {
            throw new BadMessageException(BAD_REQUEST, "X-Time-Left is malformed");
        }
        Map<String, String> facts = facts();
        return new ModelRequest(id, requestClass, tenant, "1".equals(head.field("X-Repeat")),
                Ids.of(head.field("X-Session-Key")), Ids.of(facts.get("prefix")),
                length(facts, "prompt_len"), length(facts, "prefix_len"), length(facts, "max_out"),
                arrival.remaining(Math.round(seconds * MICROS_PER_SECOND) - TRANSIT_MICROS, now),
                memoryBytes());
    }

    private int memoryBytes() {
        return BODY_COPIES * body.length + head.memoryBytes() + OVERHEAD_BYTES;
    }

    private String required(String name) throws BadMessageException {
        String value = head.field(name);
        if (value == null || value.isEmpty()) {
            throw new BadMessageException(BAD_REQUEST, name + " is missing");
        }
        if (head.count(name) > 1) {
            // a server may use another of them than the router does
            throw new BadMessageException(BAD_REQUEST, name + " is given twice");
        }
        return value;
    }

    private int index(Map<String, Integer> indexes, String name) throws BadMessageException {
        Integer index = indexes.get(required(name));
        if (index == null) {
            throw new BadMessageException(BAD_REQUEST, name + " names nothing known");
        }
        return index;
    }

    /** Parses the X-Facts header: comma-separated name=value pairs. */
    private Map<String, String> facts() throws BadMessageException {
        Map<String, String> facts = new HashMap<>();
        for (String part : required("X-Facts").split(",")) {
            int eq = part.indexOf('=');
            if (eq <= 0) {
                throw new BadMessageException(BAD_REQUEST, "X-Facts is malformed");
            }
            facts.put(part.substring(0, eq).strip(), part.substring(eq + 1).strip());
        }
        return facts;
    }

    private static double length(Map<String, String> facts, String name) throws BadMessageException {
        double value = Numbers.decimal(facts.get(name));
        if (Double.isNaN(value)) {
            throw new BadMessageException(BAD_REQUEST, "X-Facts lacks a good " + name);
        }
        return value;
    }
}
