package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against one client that sends at full speed delaying the others, or filling the memory. */
@Timeout(60)
class FloodingClientTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final int SERVER_COUNT = 4;
    private static final int CLIENT_COUNT = 8;
    private static final int REQUESTS_PER_CLIENT = 40;
    private static final long PAUSE_MILLIS = 50;
    private static final long FLOOD_SECONDS = 4;
    private static final double MAX_SECONDS = 1;
    private static final long MAX_MEMORY_BYTES = 160L << 20;

    @TempDir
    private Path folder;

    private final RequestSequences requests = new RequestSequences(CLIENT_COUNT, REQUESTS_PER_CLIENT,
            PAUSE_MILLIS);

    @ParameterizedTest
    @EnumSource(FloodingClient.class)
    void othersAreServedInTimeBesideAFloodingClient(FloodingClient flooding) throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT)) {
            int port = rig.router(0).port();
            long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(FLOOD_SECONDS);
            Thread client = new Thread(() -> flooding.flood(port, untilNanos), "flood");
            client.start();
            requests.run(rig);
            client.join();
            requests.assertServed(rig, CLIENT_COUNT * REQUESTS_PER_CLIENT);
            requests.assertSlowestBelow(MAX_SECONDS);
            long memory = rig.router(0).peakMemoryBytes();
            assertTrue(memory < MAX_MEMORY_BYTES, (memory >> 20) + " MB");
        }
    }
}
