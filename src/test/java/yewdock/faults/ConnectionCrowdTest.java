package yewdock.faults;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * More clients than a router has descriptors for send no whole request, and come again when they are turned
 * away. Guards against whole requests of others that wait unread behind them and are answered too late.
 */
@Timeout(90)
class ConnectionCrowdTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final int SERVER_COUNT = 4;
    private static final int CLIENT_COUNT = 4;
    private static final int REQUESTS_PER_CLIENT = 8;
    private static final long PAUSE_MILLIS = 50;
    private static final int MIN_SERVED = CLIENT_COUNT * REQUESTS_PER_CLIENT / 2;
    /** The clients' timeout, and the half second in which a late response is still one. */
    private static final double SLOWEST_SECONDS = 2.5;
    private static final long CROWD_MILLIS = 500;
    private static final String LIMITS = "{\"limits\":{\"sockets\":256,\"memory_mb\":115},";

    @TempDir
    private Path folder;

    @ParameterizedTest
    @EnumSource(ReturningClient.class)
    void othersAreServedInTime(ReturningClient kind) throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT,
                configuration -> configuration.replaceFirst("\\{", LIMITS))) {
            int port = rig.router(0).port();
            AtomicBoolean ended = new AtomicBoolean();
            startCrowd(kind, port, ended);
            Thread.sleep(CROWD_MILLIS);
            RequestSequences requests = new RequestSequences(CLIENT_COUNT, REQUESTS_PER_CLIENT, PAUSE_MILLIS);
            requests.run(rig);
            ended.set(true);
            requests.assertServed(rig, MIN_SERVED);
            requests.assertSlowestBelow(SLOWEST_SECONDS);
        }
    }

    private static void startCrowd(ReturningClient kind, int port, AtomicBoolean ended) {
        for (int i = 0; i < ReturningClient.CONNECTION_COUNT; i++) {
            String id = "0-crowd" + i;
            Thread client = new Thread(() -> kind.attack(port, id, ended), id);
            client.setDaemon(true);
            client.start();
        }
    }
}
