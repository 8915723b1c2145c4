package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import yewdock.core.CloseReason;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Effect;
import yewdock.core.EndpointList;
import yewdock.core.Event;
import yewdock.core.ModelRequest;
import yewdock.core.Reducer;
import yewdock.core.RequestTransition;
import yewdock.core.ResourceLimits;

/** The router refuses requests before it runs out of memory or file descriptors. */
class ResourceLimitsTest {
    private static final CoreSettings SETTINGS = new CoreSettings(250_000, 5_000_000, false, 1_000_000,
            10_000_000, false, 4, List.of(), List.of("chat"), 0);
    private static final int MEGABYTE = 1 << 20;
    private final Counters counters = new Counters();
    private final Reducer reducer = new Reducer(SETTINGS,
            new ResourceLimits(480, 400, 500, 16 * MEGABYTE), counters, InOrderModule::new);

    private List<Effect> sendRequest(long client, int size) {
        ModelRequest request = new ModelRequest("r" + client, 0, 0, false, 1, 1, 1, 0, 2, 9_000_000, size);
        return reducer.reduce(new Event.RequestReceived(client, request), 1_000);
    }

    private static List<Effect> refusedAtLimit(long client) {
        return List.of(new Effect.ReportTransition(new RequestTransition.Closed("r" + client,
                CloseReason.REFUSED_AT_LIMIT, false, 0)), new Effect.Refuse(client, 0));
    }

    /** The requests are for 2 tokens, so the module leaves them all open. */
    @Test
    void refusesAtMemoryLimitAndAcceptsAgainBelowIt() {
        reducer.reduce(new Event.Started(EndpointList.UNKNOWN, "127.0.0.1:8500"), 0);
        for (int client = 1; client <= 16; client++) {
            assertEquals(List.of(), sendRequest(client, MEGABYTE));
        }
        assertEquals(refusedAtLimit(17), sendRequest(17, 1));
        reducer.reduce(new Event.ClientDisconnected(3), 2_000);
        assertEquals(List.of(), sendRequest(18, MEGABYTE));
    }

    @Test
    void refusesAtRequestLimit() {
        reducer.reduce(new Event.Started(EndpointList.UNKNOWN, "127.0.0.1:8500"), 0);
        IntStream.rangeClosed(1, 500).forEach(client -> assertEquals(List.of(), sendRequest(client, 1)));
        assertEquals(refusedAtLimit(501), sendRequest(501, 1));
        assertEquals(1, counters.get("answers.refused_for_room"));
    }

    /**
     * Partly received bodies are held too, in buffers of up to twice their size: 40 clients with 210 KB each
     * would use 16.8 MB of the 5.3 MiB. The oldest are discarded, so that there is room for later ones.
     */
    @Test
    void discardsOldestUnfinishedBodiesAtMemoryLimit() throws Exception {
        List<String> lines = new ArrayList<>();
        for (int client = 1; client <= 40; client++) {
            lines.add("> 0 c" + client + " opens");
            lines.add("> 0 c" + client + " sends POST /v1/chat/completions HTTP/1.1|Content-Length: 260000||"
                    + "(70000)(70000)(70000)");
        }
        lines.add("> 2 c41 opens");
        lines.add("> 2 c41 sends POST /v1/chat/completions HTTP/1.1|Content-Length: 260000||(70000)");
        var sentMessages = RecordedExchange.play(lines, 0).told();
        int lastBytes = 2 * 70_000;
        int held = (16 * MEGABYTE / 3 - lastBytes) / (2 * 210_000);
        assertEquals(IntStream.rangeClosed(1, 40 - held).mapToObj(client -> "c" + client)
                .collect(Collectors.toSet()), sentMessages.keySet());
        sentMessages.forEach((client, text) -> assertTrue(text.contains("503"), client + ": " + text));
    }

    /**
     * Idle or silent connections must not keep a new client out: one is closed for each new one, a silent one
     * once it has had 20 ms to send something.
     */
    @Test
    void closesLongestIdleConnectionForNewClient() {
        Reducer small = new Reducer(SETTINGS, new ResourceLimits(4, 4, 4, MEGABYTE), counters,
                InOrderModule::new);
        small.reduce(new Event.Started(EndpointList.UNKNOWN, "127.0.0.1:8500"), 0);
        for (long client = 1; client <= 4; client++) {
            assertEquals(List.of(), small.reduce(new Event.ClientConnected(client), client));
        }
        small.reduce(new Event.ClientIdle(3), 10);
        small.reduce(new Event.RequestReceived(1, new ModelRequest("a", 0, 0, false, 1, 1, 1, 0, 2, 9_000_000,
                1)), 11);
        assertEquals(List.of(new Effect.CloseClient(3)), small.reduce(new Event.ClientConnected(5), 12));
        assertEquals(List.of(), small.reduce(new Event.ClientConnected(6), 13));
        assertEquals(List.of(), small.reduce(new Event.Tick(), 20_001));
        assertEquals(List.of(new Effect.CloseClient(2)), small.reduce(new Event.Tick(), 20_002));
        assertEquals(List.of(new Effect.CloseClient(4)), small.reduce(new Event.ClientConnected(7), 20_005));
        small.reduce(new Event.ClientDisconnected(3), 20_006);
        small.reduce(new Event.ClientDisconnected(2), 20_006);
        small.reduce(new Event.ClientDisconnected(4), 20_006);
        small.reduce(new Event.ClientDisconnected(5), 20_006);
        assertEquals(List.of(), small.reduce(new Event.ClientConnected(8), 20_007));
        assertEquals(List.of(), small.reduce(new Event.Tick(), 2_000_000));
    }

    /**
     * A request that is being received has 100 ms before it is aborted for a new client, even if its client
     * was silent longest.
     */
    @Test
    void keepsConnectionsWithPartlyReceivedRequest() {
        Reducer small = new Reducer(SETTINGS, new ResourceLimits(3, 3, 3, MEGABYTE), counters,
                InOrderModule::new);
        small.reduce(new Event.Started(EndpointList.UNKNOWN, "127.0.0.1:8500"), 0);
        for (long client = 1; client <= 3; client++) {
            small.reduce(new Event.ClientConnected(client), client);
        }
        small.reduce(new Event.ClientRequestStarted(1), 20_002);
        assertEquals(List.of(new Effect.CloseClient(2)), small.reduce(new Event.ClientConnected(4), 20_002));
        small.reduce(new Event.ClientDisconnected(2), 20_003);
        small.reduce(new Event.ClientRequestStarted(3), 20_004);
        small.reduce(new Event.ClientRequestStarted(4), 20_005);
        assertEquals(List.of(), small.reduce(new Event.ClientConnected(5), 20_006));
        small.reduce(new Event.ClientDisconnected(5), 20_007);
        // while nobody needs the room, each has its time to be received in full, from its connection's start
        assertFalse(small.reduce(new Event.Tick(), 2_500_000).contains(new Effect.CloseClient(1)));
        assertTrue(small.reduce(new Event.Tick(), 2_500_001).contains(new Effect.CloseClient(1)));
    }

    /**
     * Guards against clients that fill all connections with half a request each, and come again when they are
     * turned away: others wait unread in the accept queue behind them, and are answered after their time.
     */
    @Test
    void refusesOldestPartlyReceivedRequestForNewClient() {
        Reducer small = new Reducer(SETTINGS, new ResourceLimits(2, 2, 2, MEGABYTE), counters,
                InOrderModule::new);
        small.reduce(new Event.Started(EndpointList.UNKNOWN, "127.0.0.1:8500"), 0);
        small.reduce(new Event.ClientConnected(1), 1);
        small.reduce(new Event.ClientConnected(2), 2);
        small.reduce(new Event.ClientRequestStarted(2), 10);
        small.reduce(new Event.ClientRequestStarted(1), 11);
        assertEquals(List.of(), small.reduce(new Event.ClientConnected(3), 1_000));
        small.reduce(new Event.ClientRequestStarted(3), 1_001);
        assertEquals(List.of(), small.reduce(new Event.Tick(), 100_009));
        assertEquals(List.of(new Effect.RefusePartialRequest(2)), small.reduce(new Event.Tick(), 100_010));
        // one is enough, although it takes up its connection until it has closed
        assertEquals(List.of(), small.reduce(new Event.Tick(), 100_011));
        assertEquals(List.of(new Effect.RefusePartialRequest(1)),
                small.reduce(new Event.ClientConnected(4), 100_012));
        sendTo(small, 4);
        sendTo(small, 3);
        // complete requests are not aborted
        assertEquals(List.of(), small.reduce(new Event.ClientConnected(5), 300_000));
        assertEquals(List.of(new Effect.CloseClient(5)), small.reduce(new Event.Tick(), 320_000));
        assertEquals(2, counters.get("clients.refused_for_room"));
    }

    private static void sendTo(Reducer reducer, long client) {
        reducer.reduce(new Event.ClientRequestStarted(client), 100_013);
        ModelRequest request = new ModelRequest("r" + client, 0, 0, false, 1, 1, 1, 0, 2, 9_000_000, 1);
        reducer.reduce(new Event.RequestReceived(client, request), 100_014);
    }

    /** A request whose bytes were read when its connection was to be closed keeps the connection. */
    @Test
    void countsConnectionsThatAreUsedAgain() {
        Reducer small = new Reducer(SETTINGS, new ResourceLimits(2, 2, 2, MEGABYTE), counters,
                InOrderModule::new);
        small.reduce(new Event.Started(EndpointList.UNKNOWN, "127.0.0.1:8500"), 0);
        small.reduce(new Event.ClientConnected(1), 1);
        small.reduce(new Event.ClientIdle(1), 2);
        small.reduce(new Event.ClientConnected(2), 3);
        assertEquals(List.of(new Effect.CloseClient(1)), small.reduce(new Event.ClientConnected(3), 30_000));
        assertEquals(List.of(new Effect.CloseClient(2)),
                small.reduce(new Event.ClientRequestStarted(1), 30_001));
    }

    /** Each request's timeout runs from its own start, whatever order the requests started in. */
    @Test
    void closesPartlyReceivedRequestsInOrderOfTimeout() {
        Reducer wide = new Reducer(SETTINGS, new ResourceLimits(9, 9, 9, MEGABYTE), counters,
                InOrderModule::new);
        wide.reduce(new Event.Started(EndpointList.UNKNOWN, "127.0.0.1:8500"), 0);
        wide.reduce(new Event.ClientConnected(1), 1);
        wide.reduce(new Event.ClientConnected(2), 2);
        wide.reduce(new Event.ClientIdle(2), 1_000_000);
        wide.reduce(new Event.ClientRequestStarted(2), 2_000_000);
        wide.reduce(new Event.ClientRequestStarted(1), 2_400_000);
        assertTrue(wide.reduce(new Event.Tick(), 2_500_001).contains(new Effect.CloseClient(1)));
    }

    /** What the limits allow together leaves a fifth of the deploy file's heap at any memory limit. */
    @Test
    void staysWithinTheHeap() {
        long heap = 48L * MEGABYTE;
        for (int megabytes = 32; megabytes <= 256; megabytes++) {
            ResourceLimits limits = ResourceLimits.within(1024, megabytes, heap);
            long output = Math.max(limits.maxRequestBytes() / 2,
                    (long) limits.maxRequests() * limits.maxUnwrittenBytes());
            long queued = 5L * MEGABYTE;
            assertTrue(limits.maxRequestBytes() + limits.maxInputBytes() + output + queued < heap * 4 / 5,
                    megabytes + " MB: " + limits);
        }
    }

    /** All descriptors together stay under the limit, for each limit that a configuration may set. */
    @Test
    void staysWithinDescriptors() {
        for (int descriptors = 256; descriptors <= 1024; descriptors++) {
            ResourceLimits limits = ResourceLimits.within(descriptors, 160, 48L * MEGABYTE);
            assertTrue(limits.maxClientConnections() + limits.maxServerConnections() + 64 <= descriptors,
                    limits.toString());
            assertTrue(limits.maxRequests() >= descriptors / 3, limits.toString());
        }
    }
}
