package yewdock.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The stream with which a stub server answers a request. It follows from the id and the number of tokens
 * alone, so that a client can compare what it received byte for byte.
 */
public final class ReferenceStream {
    private static final int WORD_LENGTH = 5;

    private ReferenceStream() {
    }

    /** The server-sent events in their order: one for each token, the usage, the end marker. */
    public static List<String> events(String id, int tokens) {
        List<String> events = new ArrayList<>();
        long state = id.hashCode() * 0x9e3779b97f4a7c15L + 1;
        for (int i = 0; i < tokens; i++) {
            StringBuilder word = new StringBuilder();
            for (int k = 0; k < WORD_LENGTH; k++) {
                state = state * 6364136223846793005L + 1442695040888963407L;
                word.append((char) ('a' + (state >>> 33) % 26));
            }
            events.add("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + word
                    + "\"},\"finish_reason\":" + (i + 1 == tokens ? "\"stop\"" : "null") + "}]}\n\n");
        }
        events.add(String.format(Locale.ROOT, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,"
                + "\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n", 100,
                tokens, Math.floorMod(id.hashCode(), 100)));
        events.add("data: [DONE]\n\n");
        return events;
    }

    /** The whole stream as one text. */
    public static String stream(String id, int tokens) {
        return String.join("", events(id, tokens));
    }
}
