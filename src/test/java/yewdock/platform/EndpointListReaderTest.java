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

/** Entries that can't be used: skipped and logged, but never their server's drain or removal. */
class EndpointListReaderTest {
    private static final String GOOD =
            "\"addr\":\"127.0.0.1:9001\",\"zone\":\"a\",\"kind\":\"big\",\"cell\":1";
    private final List<String> log = new ArrayList<>();
    private final EndpointListReader lists = lists();

    private EndpointListReader lists() {
        return new EndpointListReader(new NameIndexes(Map.of(), Map.of(), Map.of("a", 0), Map.of("big", 0)),
                log::add);
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
    void aDrainIsObeyedWhateverElseTheEntryHolds() {
        for (String fields : List.of("", "\"addr\":7", GOOD.replace("\"a\"", "\"nowhere\""),
                GOOD.replace("big", "unknown"), GOOD.replace("9001", "90010"), GOOD + ",\"weight\":-1",
                GOOD + ",\"weight\":1e300", GOOD + ",\"started_ms\":-5")) {
            log.clear();
            assertEquals(Lifecycle.DRAINING, stateOf(entry("s-1", "draining", fields)), fields);
            assertEquals(1, log.size(), fields);
            assertEquals(Lifecycle.GONE, stateOf(entry("s-1", "removed", fields)), fields);
        }
    }

    @Test
    void anUnusableEntryThatIsUpIsSkippedAndTheRestCounts() {
        assertEquals(List.of("s-2"), read(entry("s-1", "up", "\"addr\":\"here\""), "7",
                entry("s-2", "up", GOOD)).stream().map(ModelServer::name).toList());
        assertEquals(2, log.size());
    }

    @Test
    void aStateThatIsNotKnownIsNotUp() {
        assertEquals(Lifecycle.DRAINING, stateOf(entry("s-1", "stopping", GOOD)));
    }

    @Test
    void ofTwoEntriesForOneServerTheEndCounts() {
        assertEquals(Lifecycle.DRAINING, stateOf(entry("s-1", "up", GOOD), entry("s-1", "draining", GOOD)));
        assertEquals(Lifecycle.DRAINING, stateOf(entry("s-1", "draining", GOOD), entry("s-1", "up", GOOD)));
        assertEquals(Lifecycle.GONE, stateOf(entry("s-1", "draining", GOOD), entry("s-1", "removed", "")));
    }

    /** "s-1" and "b-1" hold one number: a later list must not tell the one's drain of the other. */
    @Test
    void namesOfOneNumberKeepTheirIdsAlsoFromTheListOfTheStart() {
        List<ModelServer> first = read(entry("s-1", "up", GOOD), entry("b-1", "up", GOOD));
        assertNotEquals(first.get(0).id(), first.get(1).id());
        assertEquals(first.get(1).id(), read(entry("b-1", "draining", GOOD)).get(0).id());
        read(entry("s-1", "removed", ""));
        assertEquals(first.get(1).id(), read(entry("b-1", "draining", GOOD)).get(0).id());
        EndpointListReader later = lists();
        later.remember(new EndpointList(9, true, first));
        assertEquals(first.get(1).id(), later.read("{\"version\":10,\"full\":false,\"servers\":["
                + entry("b-1", "draining", GOOD) + "]}").servers().get(0).id());
    }

    @Test
    void whatIsNoListIsRefusedWhole() {
        for (String text : List.of("", "[]", "{\"version\":1,\"full\":true}",
                "{\"full\":true,\"servers\":[]}",
                "{\"version\":\"x\",\"full\":true,\"servers\":[]}",
                "{\"version\":1,\"full\":7,\"servers\":[]}")) {
            assertThrows(JSONException.class, () -> lists.read(text), text);
        }
    }
}
