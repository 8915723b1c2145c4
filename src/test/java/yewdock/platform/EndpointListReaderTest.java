package yewdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.json.JSONException;
import org.junit.jupiter.api.Test;
import umberspread.Routing.Lifecycle;
import yewdock.core.EndpointList;
import yewdock.core.ModelServer;

/** Unusable entries are skipped and logged, but a drain or removal in them is obeyed. */
class EndpointListReaderTest {
    private static final String VALID =
            "\"addr\":\"127.0.0.1:9001\",\"zone\":\"a\",\"kind\":\"big\",\"cell\":1";
    private final List<String> log = new ArrayList<>();
    private final EndpointListReader lists = lists();

    private EndpointListReader lists() {
        return new EndpointListReader(new NameIndexes(Map.of(), Map.of(), Map.of("a", 0), Map.of("big", 0)),
                log::add, ServerStartTimes.asReported());
    }

    private static String entry(String id, String state, String fields) {
        return "{\"id\":\"" + id + "\",\"state\":\"" + state + "\"" + (fields.isEmpty() ? "" : ",")
                + fields + "}";
    }

    private List<ModelServer> read(String... entries) {
        return lists.read("{\"version\":9,\"full\":false,\"servers\":[" + String.join(",", entries) + "]}")
                .servers();
    }

    private Lifecycle stateOf(String... entries) {
        List<ModelServer> servers = read(entries);
        assertEquals(1, servers.size(), servers.toString());
        return servers.get(0).replica().lifecycle();
    }

    @Test
    void aDrainIsObeyedInAnUnusableEntry() {
        for (String fields : List.of("", "\"addr\":7", VALID.replace("\"a\"", "\"nowhere\""),
                VALID.replace("big", "unknown"), VALID.replace("9001", "90010"), VALID + ",\"weight\":-1",
                VALID + ",\"weight\":1e300", VALID + ",\"started_ms\":-5")) {
            log.clear();
            assertEquals(Lifecycle.DRAINING, stateOf(entry("s-1", "draining", fields)), fields);
            assertEquals(1, log.size(), fields);
            assertEquals(Lifecycle.GONE, stateOf(entry("s-1", "removed", fields)), fields);
        }
    }

    @Test
    void anUnusableEntryThatIsUpIsSkippedAlone() {
        assertEquals(List.of("s-2"), read(entry("s-1", "up", "\"addr\":\"here\""), "7",
                entry("s-2", "up", VALID)).stream().map(ModelServer::name).toList());
        assertEquals(2, log.size());
    }

    @Test
    void anUnknownStateCountsAsDraining() {
        assertEquals(Lifecycle.DRAINING, stateOf(entry("s-1", "stopping", VALID)));
    }

    @Test
    void theMostRestrictiveOfSeveralEntriesForAServerCounts() {
        assertEquals(Lifecycle.DRAINING, stateOf(entry("s-1", "up", VALID), entry("s-1", "draining", VALID)));
        assertEquals(Lifecycle.DRAINING, stateOf(entry("s-1", "draining", VALID), entry("s-1", "up", VALID)));
        assertEquals(Lifecycle.GONE, stateOf(entry("s-1", "draining", VALID), entry("s-1", "removed", "")));
    }

    /** "s-1" and "b-1" contain the same number: a drain of one must not be applied to the other later on. */
    @Test
    void namesWithTheSameNumberKeepTheirIds() {
        List<ModelServer> first = read(entry("s-1", "up", VALID), entry("b-1", "up", VALID));
        assertNotEquals(first.get(0).id(), first.get(1).id());
        assertEquals(first.get(1).id(), read(entry("b-1", "draining", VALID)).get(0).id());
        read(entry("s-1", "removed", ""));
        assertEquals(first.get(1).id(), read(entry("b-1", "draining", VALID)).get(0).id());
        EndpointListReader later = lists();
        later.remember(new EndpointList(9, true, first));
        assertEquals(first.get(1).id(), later.read("{\"version\":10,\"full\":false,\"servers\":["
                + entry("b-1", "draining", VALID) + "]}").servers().get(0).id());
    }

    @Test
    void aMalformedListIsRejected() {
        for (String text : List.of("", "[]", "{\"version\":1,\"full\":true}",
                "{\"full\":true,\"servers\":[]}",
                "{\"version\":\"x\",\"full\":true,\"servers\":[]}",
                "{\"version\":1,\"full\":7,\"servers\":[]}")) {
            assertThrows(JSONException.class, () -> lists.read(text), text);
        }
    }
}
