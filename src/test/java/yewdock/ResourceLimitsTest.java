package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Effect;
import yewdock.core.EndpointList;
import yewdock.core.Event;
import yewdock.core.ModelRequest;
import yewdock.core.Reducer;
import yewdock.core.ResourceLimits;

/** The router refuses before it runs out of memory or descriptors. */
class ResourceLimitsTest {
    private static final CoreSettings TERMS = new CoreSettings(250_000, 5_000_000, false, 1_000_000,
            10_000_000, false, 4,
            List.of(), List.of("chat"), 0);
    private static final int MEGABYTE = 1 << 20;
    private final Counters counters = new Counters();
    private final Reducer desk = new Reducer(TERMS,
            new ResourceLimits(480, 400, 500, 16 * MEGABYTE), counters, InOrderModule::new);

    private List<Effect> ask(long client, int size) {
        ModelRequest request = new ModelRequest("r" + client, 0, 0, false, 1, 1, 1, 0, 2, 9_000_000, size);
        return desk.reduce(new Event.RequestReceived(client, request), 1_000);
    }

    /** The requests are for 2 tokens, so the module leaves them all open. */
    @Test
    void refusesBeyondItsMemoryAndTakesAgainWhenThereIsRoom() {
        desk.reduce(new Event.Started(EndpointList.UNKNOWN, "127.0.0.1:8500"), 0);
        for (int client = 1; client <= 16; client++) {
            assertEquals(List.of(), ask(client, MEGABYTE));
        }
        assertEquals(List.of(new Effect.Refuse(17, 0)), ask(17, 1));
        desk.reduce(new Event.ClientDisconnected(3), 2_000);
        assertEquals(List.of(), ask(18, MEGABYTE));
    }

    @Test
    void refusesBeyondItsNumberOfRequests() {
        desk.reduce(new Event.Started(EndpointList.UNKNOWN, "127.0.0.1:8500"), 0);
        IntStream.rangeClosed(1, 500).forEach(client -> assertEquals(List.of(), ask(client, 1)));
        assertEquals(List.of(new Effect.Refuse(501, 0)), ask(501, 1));
        assertEquals(1, counters.get("answers.refused_for_room"));
    }

    /** Half-sent bodies are held too: 40 clients of 250 KB each would be 10 MB. */
    @Test
    void refusesBodiesThatNeverEnd() throws Exception {
        List<String> lines = new ArrayList<>();
        for (int client = 1; client <= 40; client++) {
            lines.add("> 0 c" + client + " opens");
            lines.add("> 0 c" + client + " sends POST /v1/chat/completions HTTP/1.1|Content-Length: 260000||"
                    + "(70000)(70000)(70000)");
        }
        lines.add("> 1 c1 down");
        lines.add("> 2 c41 opens");
        lines.add("> 2 c41 sends POST /v1/chat/completions HTTP/1.1|Content-Length: 260000||(70000)");
        var told = RecordedExchange.play(lines, 0).told();
        assertTrue(told.get("c40").contains("503"), told.get("c40"));
        assertEquals(Set.of("c40"), told.keySet());
    }

    /** Many quiet or silent connections must not keep a new client out: one goes for each that comes. */
    @Test
    void closesTheLongestQuietForNewcomers() {
        Reducer small = new Reducer(TERMS, new ResourceLimits(4, 4, 4, MEGABYTE), counters,
                InOrderModule::new);
        small.reduce(new Event.Started(EndpointList.UNKNOWN, "127.0.0.1:8500"), 0);
        for (long client = 1; client <= 4; client++) {
            assertEquals(List.of(), small.reduce(new Event.ClientConnected(client), client));
        }
        small.reduce(new Event.ClientIdle(3), 10);
        small.reduce(new Event.RequestReceived(1, new ModelRequest("a", 0, 0, false, 1, 1, 1, 0, 2, 9_000_000,
                1)), 11);
        assertEquals(List.of(new Effect.CloseClient(3)), small.reduce(new Event.ClientConnected(5), 12));
        assertEquals(List.of(new Effect.CloseClient(2)), small.reduce(new Event.ClientConnected(6), 13));
        small.reduce(new Event.ClientDisconnected(3), 14);
        small.reduce(new Event.ClientDisconnected(2), 14);
        small.reduce(new Event.ClientDisconnected(4), 14);
        assertEquals(List.of(), small.reduce(new Event.ClientConnected(7), 15));
    }

    /** A request that is on its way in is not cut off for a newcomer, whoever has been silent longer. */
    @Test
    void closesNoneWhoseRequestIsComing() {
        Reducer small = new Reducer(TERMS, new ResourceLimits(3, 3, 3, MEGABYTE), counters,
                InOrderModule::new);
        small.reduce(new Event.Started(EndpointList.UNKNOWN, "127.0.0.1:8500"), 0);
        for (long client = 1; client <= 3; client++) {
            small.reduce(new Event.ClientConnected(client), client);
        }
        small.reduce(new Event.ClientRequestStarted(1), 4);
        assertEquals(List.of(new Effect.CloseClient(2)), small.reduce(new Event.ClientConnected(4), 5));
        small.reduce(new Event.ClientDisconnected(2), 6);
        small.reduce(new Event.ClientRequestStarted(3), 7);
        small.reduce(new Event.ClientRequestStarted(4), 8);
        assertEquals(List.of(), small.reduce(new Event.ClientConnected(5), 9));
        // each still has its time to come in whole, counted from when its connection was made
        assertTrue(small.reduce(new Event.Tick(), 2_500_001).contains(new Effect.CloseClient(1)));
    }

    /** Whoever began first: each request's time is counted from its own start. */
    @Test
    void closesHalfSentRequestsInTheOrderOfTheirTime() {
        Reducer desk = new Reducer(TERMS, new ResourceLimits(9, 9, 9, MEGABYTE), counters,
                InOrderModule::new);
        desk.reduce(new Event.Started(EndpointList.UNKNOWN, "127.0.0.1:8500"), 0);
        desk.reduce(new Event.ClientConnected(1), 1);
        desk.reduce(new Event.ClientConnected(2), 2);
        desk.reduce(new Event.ClientIdle(2), 1_000_000);
        desk.reduce(new Event.ClientRequestStarted(2), 2_000_000);
        desk.reduce(new Event.ClientRequestStarted(1), 2_400_000);
        assertTrue(desk.reduce(new Event.Tick(), 2_500_001).contains(new Effect.CloseClient(1)));
    }

    /** All descriptors together stay under the limit, at each limit that a configuration may state. */
    @Test
    void fitsTheDescriptors() {
        for (int descriptors = 256; descriptors <= 1024; descriptors++) {
            ResourceLimits bounds = ResourceLimits.within(descriptors, 160);
            assertTrue(bounds.maxClientConnections() + bounds.maxServerConnections() + 64 <= descriptors,
                    bounds.toString());
            assertTrue(bounds.maxRequests() >= descriptors / 3, bounds.toString());
        }
    }
}
