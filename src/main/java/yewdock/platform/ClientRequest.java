package yewdock.platform;

import java.util.HashMap;
import java.util.Map;
import yewdock.core.ModelRequest;
import yewdock.http.BadMessageException;
import yewdock.http.MessageHead;

/** A client's request as it came, to be passed on without change. */
record ClientRequest(MessageHead head, byte[] body) {
    static final String PATH = "/v1/chat/completions";
    private static final int BAD = 400;
    /** What a request costs beside its body. */
    private static final int OVERHEAD = 4096;
    /** The way from the client to here: its time has run since before the request came. */
    private static final long TRANSIT = 3_000;
    private static final double MICROS = 1e6;
    private static final double LONGEST = 86_400;

    /**
     * What the desk needs to know; a header that is malformed or names nothing known is a bad request. The
     * client's time has run while the request waited to be read.
     */
    ModelRequest read(NameIndexes names, Arrival arrival, long now) throws BadMessageException {
        String id = required("X-Correlation-Id");
        int requestClass = place(names.classes(), "X-Service-Class");
        int municipality = names.tenants().isEmpty() ? 0 : place(names.tenants(), "X-Account");
        double seconds = Numbers.decimal(required("X-Time-Left"));
        if (!(seconds <= LONGEST)) {
            throw new BadMessageException(BAD, "X-Time-Left is malformed");
        }
        Map<String, String> facts = facts();
        return new ModelRequest(id, requestClass, municipality, "1".equals(head.field("X-Repeat")),
                Ids.of(head.field("X-Session-Key")), Ids.of(facts.get("prefix")),
                length(facts, "prompt_len"), length(facts, "prefix_len"), length(facts, "max_out"),
                arrival.left(Math.round(seconds * MICROS) - TRANSIT, now), body.length + OVERHEAD);
    }

    private String required(String name) throws BadMessageException {
        String value = head.field(name);
        if (value == null || value.isEmpty()) {
            throw new BadMessageException(BAD, name + " is missing");
        }
        if (head.count(name) > 1) {
            // a box may read another of them than this router
            throw new BadMessageException(BAD, name + " is given twice");
        }
        return value;
    }

    private int place(Map<String, Integer> places, String name) throws BadMessageException {
        Integer place = places.get(required(name));
        if (place == null) {
            throw new BadMessageException(BAD, name + " names nothing known");
        }
        return place;
    }

    private Map<String, String> facts() throws BadMessageException {
        Map<String, String> facts = new HashMap<>();
        for (String part : required("X-Facts").split(",")) {
            int eq = part.indexOf('=');
            if (eq <= 0) {
                throw new BadMessageException(BAD, "X-Facts is malformed");
            }
            facts.put(part.substring(0, eq).strip(), part.substring(eq + 1).strip());
        }
        return facts;
    }

    private static double length(Map<String, String> facts, String name) throws BadMessageException {
        double value = Numbers.decimal(facts.get(name));
        if (Double.isNaN(value)) {
            throw new BadMessageException(BAD, "X-Facts lacks a good " + name);
        }
        return value;
    }
}
