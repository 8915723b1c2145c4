package yewdock.faults;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Many clients that each stay within the limits of one connection together do not fill a router's memory:
 * every request of the other clients gets its response in time, and few of them are refused.
 */
@Timeout(90)
class MemoryUnderFaultsTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final int SERVER_COUNT = 4;
    private static final int CLIENT_COUNT = 8;
    private static final int REQUESTS_PER_CLIENT = 60;
    private static final long PAUSE_MILLIS = 50;
    private static final int MIN_SERVED = CLIENT_COUNT * REQUESTS_PER_CLIENT * 9 / 10;
    private static final long ATTACK_SECONDS = 3;
    /** In the proportion to the test's heap that the deploy file's memory flags have to the default limit. */
    private static final String LIMITS = "{\"limits\":{\"sockets\":1024,\"memory_mb\":115},";

    @TempDir
    private Path folder;

    private final RequestSequences requests = new RequestSequences(CLIENT_COUNT, REQUESTS_PER_CLIENT,
            PAUSE_MILLIS);

    /** Guards against OutOfMemoryError in a router whose clients each send much that it has to keep. */
    @ParameterizedTest
    @EnumSource(GreedyClient.class)
    void othersAreServedBesideGreedyClients(GreedyClient greedy) throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT,
                configuration -> configuration.replaceFirst("\\{", LIMITS))) {
            List<Thread> attackers = startAttack(greedy, rig.router(0).port());
            requests.run(rig);
            for (Thread attacker : attackers) {
                attacker.join();
            }
            requests.assertServed(rig, MIN_SERVED);
            RequestSequences afterwards = new RequestSequences(1, 1);
            afterwards.run(rig);
            afterwards.assertServed(rig, 1);
        }
    }

    private static List<Thread> startAttack(GreedyClient greedy, int port) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(ATTACK_SECONDS);
        List<Thread> attackers = new ArrayList<>();
        for (int i = 0; i < greedy.connectionCount(); i++) {
            String id = "0-greedy" + i;
            Thread attacker = new Thread(() -> greedy.attack(port, id, untilNanos), id);
            attacker.setDaemon(true);
            attacker.start();
            attackers.add(attacker);
        }
        return attackers;
    }
}
