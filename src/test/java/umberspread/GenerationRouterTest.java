package umberspread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ListKind;
import umberspread.Routing.Outcome;
import umberspread.Routing.Request;
import umberspread.Routing.ServerState;

/** Learned state in the next generation, and load that other generations have in flight. */
class GenerationRouterTest {
    private static final long SECOND = Fixture.SECOND;
    private static final Routing.Settings SETTINGS = new Fixture.Setup().build();
    private final List<Long> sentTo = new ArrayList<>();
    private int refused;
    private long lastId;

    private final Routing.Actions actions = new Routing.Actions() {
        @Override
        public void send(long requestId, long serverId, long timeout) {
            sentTo.add(serverId);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            // not of interest
        }

        @Override
        public void refuse(long requestId, long retryAfter) {
            refused++;
        }

        @Override
        public void fail(long requestId) {
            refused++;
        }

        @Override
        public void watchEndpointList() {
            // not of interest
        }

        @Override
        public void wakeAt(long time, int token) {
            // no timer fires in this test
        }

        @Override
        public void log(String line) {
            // not of interest
        }
    };

    private static List<ServerState> servers(int count, long startedAt) {
        List<ServerState> servers = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            servers.add(Fixture.server(i, 0, i, Lifecycle.READY, i == 1 ? startedAt : 0));
        }
        return servers;
    }

    private GenerationRouter started(LearnedState learned, long shift, long now, List<ServerState> list) {
        GenerationRouter router = learned == null ? new GenerationRouter(SETTINGS, 1, actions)
                : new GenerationRouter(SETTINGS, 1, actions, learned, shift);
        router.started(now);
        router.listReceived(now, ListKind.CACHED, list);
        return router;
    }

    private long route(GenerationRouter router, long now, long prefix) {
        long id = ++lastId;
        sentTo.clear();
        router.requestArrived(now, new Request(id, 0, 0, false, prefix, prefix, 100, 50, 10, 6 * SECOND));
        return sentTo.isEmpty() ? 0 : sentTo.get(0);
    }

    @Test
    void learnedStateAndRingAreRestored() {
        long now = 1000 * SECOND;
        GenerationRouter previous = started(null, 0, now, servers(5, 0));
        for (int i = 0; i < 300; i++) {
            route(previous, now + i, i % 7 + 1);
            previous.attemptEnded(now + i, lastId, 0, i % 50 == 0 ? Outcome.CONNECT_FAILED : Outcome.OK, 100,
                    false, 0, null);
        }
        LearnedState learned = previous.learnedState();
        assertTrue(learned.servers().stream().anyMatch(server -> server.ejectedUntil() > now),
                "one is ejected");
        long shift = 77 * SECOND;
        GenerationRouter next = started(learned, shift, now + 400 + shift, servers(5, 0));
        LearnedState restored = next.learnedState();
        assertEquals(learned.keys().stream().map(LearnedState.LearnedKey::recentRequests).sorted().toList(),
                restored.keys().stream().map(LearnedState.LearnedKey::recentRequests).sorted().toList());
        assertEquals(learned.averageWorth(), restored.averageWorth());
        assertEquals(learned.recentArrivals().size(), restored.recentArrivals().size());
        for (int i = 0; i < learned.servers().size(); i++) {
            LearnedState.LearnedServer before = learned.servers().get(i);
            LearnedState.LearnedServer after = restored.servers().get(i);
            assertEquals(before.points(), after.points());
            assertEquals(before.ejectedUntil() == 0 ? 0 : before.ejectedUntil() + shift,
                    after.ejectedUntil());
        }
        for (long key = 1; key <= 7; key++) {
            // both have updated their plans by then, which they do at different times
            long later = now + SECOND / 2 + 1000;
            assertEquals(route(previous, later, key), route(next, later + shift, key), "key " + key);
        }
    }

    /** Otherwise the load bound and the cold budget would apply to each process and not to the instance. */
    @Test
    void attemptsOfOtherGenerationsCountAsLoad() {
        long now = 1000 * SECOND;
        GenerationRouter router = started(null, 0, now, servers(4, 0));
        long ringServer = route(router, now, 9);
        // a prompt with a fast prefill may spill
        router.firstToken(now + 100, lastId, 0);
        router.attemptEnded(now + 100, lastId, 0, Outcome.OK, 1, false, 0, null);
        for (int i = 0; i < 5; i++) {
            router.otherGenerationSent(now, "1/" + i, ringServer);
        }
        router.otherGenerationSent(now, "1/0", ringServer);
        assertNotEquals(ringServer, route(router, now, 9),
                "attempts of the other generation reach its load bound");
        router.attemptEnded(now, lastId, 0, Outcome.OK, 1, false, 0, null);
        for (int i = 0; i < 5; i++) {
            router.otherGenerationEnded(now, "1/" + i);
        }
        router.otherGenerationEnded(now, "never sent");
        assertEquals(ringServer, route(router, now, 9));
    }

    @Test
    void attemptsOfOtherGenerationsUseTheBudgetOfAColdServer() {
        long now = 1000 * SECOND;
        int alone = coldSends(now, 0);
        assertTrue(alone > 0, "a cold server gets some requests");
        assertTrue(coldSends(now, 40) < alone, "and fewer if another generation has sent to it");
    }

    private int coldSends(long start, int otherAttempts) {
        GenerationRouter router = started(null, 0, start, servers(3, start - SECOND));
        int cold = 0;
        for (int i = 0; i < 2000; i++) {
            long now = start + i * 2_000L;
            if (i % 50 == 0 && otherAttempts > i / 50) {
                router.otherGenerationSent(now, "1/" + i, 1);
            }
            cold += route(router, now, i) == 1 ? 1 : 0;
            router.attemptEnded(now, lastId, 0, Outcome.OK, 1, false, 0, null);
        }
        return cold;
    }
}
