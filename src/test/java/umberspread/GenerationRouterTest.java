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

/** A router's memory in the next process, and load that other processes have out. */
class GenerationRouterTest {
    private static final long SECOND = Fixture.SECOND;
    private static final Routing.Settings SETTINGS = new Fixture.Setup().build();
    private final List<Long> sentTo = new ArrayList<>();
    private int refused;
    private long lastId;

    private final Routing.Actions actions = new Routing.Actions() {
        @Override
        public void send(long requestId, long replicaId, long timeout) {
            sentTo.add(replicaId);
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
            // time stands still here
        }

        @Override
        public void log(String line) {
            // not of interest
        }
    };

    private static List<ServerState> replicas(int count, long startedAt) {
        List<ServerState> all = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            all.add(Fixture.replica(i, 0, i, Lifecycle.READY, i == 1 ? startedAt : 0));
        }
        return all;
    }

    private GenerationRouter begun(LearnedState memory, long shift, long now, List<ServerState> list) {
        GenerationRouter router = memory == null ? new GenerationRouter(SETTINGS, 1, actions)
                : new GenerationRouter(SETTINGS, 1, actions, memory, shift);
        router.started(now);
        router.listReceived(now, ListKind.CACHED, list);
        return router;
    }

    private long ask(GenerationRouter router, long now, long prefix) {
        long id = ++lastId;
        sentTo.clear();
        router.requestArrived(now, new Request(id, 0, 0, false, prefix, prefix, 100, 50, 10, 6 * SECOND));
        return sentTo.isEmpty() ? 0 : sentTo.get(0);
    }

    @Test
    void theMemoryComesBackAsItWasAndTheRingWithIt() {
        long now = 1000 * SECOND;
        GenerationRouter old = begun(null, 0, now, replicas(5, 0));
        for (int i = 0; i < 300; i++) {
            ask(old, now + i, i % 7 + 1);
            old.attemptEnded(now + i, lastId, 0, i % 50 == 0 ? Outcome.CONNECT_FAILED : Outcome.OK, 100,
                    false,
                    0, null);
        }
        LearnedState memory = old.learnedState();
        assertTrue(memory.servers().stream().anyMatch(r -> r.ejectedUntil() > now), "one is ejected");
        long shift = 77 * SECOND;
        GenerationRouter next = begun(memory, shift, now + 400 + shift, replicas(5, 0));
        LearnedState again = next.learnedState();
        assertEquals(memory.keys().stream().map(LearnedState.LearnedKey::recentRequests).sorted().toList(),
                again.keys().stream().map(LearnedState.LearnedKey::recentRequests).sorted().toList());
        assertEquals(memory.averageWorth(), again.averageWorth());
        assertEquals(memory.recentArrivals().size(), again.recentArrivals().size());
        for (int i = 0; i < memory.servers().size(); i++) {
            LearnedState.LearnedServer was = memory.servers().get(i);
            LearnedState.LearnedServer is = again.servers().get(i);
            assertEquals(was.points(), is.points());
            assertEquals(was.ejectedUntil() == 0 ? 0 : was.ejectedUntil() + shift, is.ejectedUntil());
        }
        for (long key = 1; key <= 7; key++) {
            // both plan anew by then, which each does at times of its own
            long later = now + SECOND / 2 + 1000;
            assertEquals(ask(old, later, key), ask(next, later + shift, key), "key " + key);
        }
    }

    /** Without this the bound and the cold budget would hold for each process and not for the router. */
    @Test
    void whatOthersHaveOutCountsAsLoad() {
        long now = 1000 * SECOND;
        GenerationRouter router = begun(null, 0, now, replicas(4, 0));
        long home = ask(router, now, 9);
        // a prompt that is quickly read may spill
        router.firstToken(now + 100, lastId, 0);
        router.attemptEnded(now + 100, lastId, 0, Outcome.OK, 1, false, 0, null);
        for (int i = 0; i < 5; i++) {
            router.otherGenerationSent(now, "1/" + i, home);
        }
        router.otherGenerationSent(now, "1/0", home);
        assertNotEquals(home, ask(router, now, 9), "the other process fills its bound");
        router.attemptEnded(now, lastId, 0, Outcome.OK, 1, false, 0, null);
        for (int i = 0; i < 5; i++) {
            router.otherGenerationEnded(now, "1/" + i);
        }
        router.otherGenerationEnded(now, "never sent");
        assertEquals(home, ask(router, now, 9));
    }

    @Test
    void whatOthersSendToAColdReplicaIsTakenFromItsBudget() {
        long now = 1000 * SECOND;
        int alone = coldSends(now, 0);
        assertTrue(alone > 0, "a cold replica gets something");
        assertTrue(coldSends(now, 40) < alone, "and less where another process has sent to it");
    }

    private int coldSends(long start, int byOthers) {
        GenerationRouter router = begun(null, 0, start, replicas(3, start - SECOND));
        int cold = 0;
        for (int i = 0; i < 2000; i++) {
            long now = start + i * 2_000L;
            if (i % 50 == 0 && byOthers > i / 50) {
                router.otherGenerationSent(now, "1/" + i, 1);
            }
            cold += ask(router, now, i) == 1 ? 1 : 0;
            router.attemptEnded(now, lastId, 0, Outcome.OK, 1, false, 0, null);
        }
        return cold;
    }
}
