package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewdock.Main;
import yewdock.testbed.Fleet;
import yewdock.verification.ServingProcess;

/** The wall clock of a router is stepped; deadlines and timeouts are spans of real time all the same. */
@Timeout(90)
class WallClockStepTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final int SERVER_COUNT = 4;
    private static final int CLIENT_COUNT = 8;
    private static final int REQUESTS_PER_CLIENT = 12;
    private static final int HOUR_SECONDS = 3_600;
    private static final int OPERATOR_LOG_WAIT_MILLIS = 12_000;
    private static final String OPERATORS_MESSAGE = "operators call /";

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(longs = {-HOUR_SECONDS, -2, 2, HOUR_SECONDS})
    void requestsAreServedThroughAStep(long seconds) throws Exception {
        FaultShim shim = new FaultShim(folder);
        RequestSequences requests = new RequestSequences(CLIENT_COUNT, REQUESTS_PER_CLIENT);
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT,
                UnaryOperator.identity(), shim.environment())) {
            rig.router(0).port();
            Thread stepper = new Thread(() -> stepBackAndForth(shim, seconds));
            stepper.start();
            requests.run(rig);
            stepper.join();
            requests.assertServed(rig, CLIENT_COUNT * REQUESTS_PER_CLIENT);
            requests.assertSlowestBelow(1);
        }
    }

    private static void stepBackAndForth(FaultShim shim, long seconds) {
        try {
            for (int i = 0; i < 6; i++) {
                shim.stepWallClock(i % 2 == 0 ? seconds : 0);
                TimeUnit.MILLISECONDS.sleep(50);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against timeouts of operators' connections that run by the wall clock: 3 s either way. */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR_SECONDS, HOUR_SECONDS})
    void operatorTimeoutIsASpanOfRealTime(long seconds) throws Exception {
        FaultShim shim = new FaultShim(folder);
        try (Fleet fleet = new Fleet(2, 8);
                ServingProcess router = ServingProcess.start(List.of(Main.class.getName(), "serve"), folder,
                        fleet.configurationWithOperator("127.0.0.1:0"), shim.environment())) {
            router.awaitReady();
            String line = router.awaitLogLine(l -> l.contains(OPERATORS_MESSAGE));
            assertNotNull(line);
            int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
            try (Socket silent = new Socket("127.0.0.1", port); Socket slow = new Socket("127.0.0.1", port)) {
                silent.setSoTimeout(OPERATOR_LOG_WAIT_MILLIS);
                long startNanos = System.nanoTime();
                TimeUnit.MILLISECONDS.sleep(500);
                shim.stepWallClock(seconds);
                TimeUnit.MILLISECONDS.sleep(1_200);
                slow.getOutputStream().write("health\n".getBytes(StandardCharsets.US_ASCII));
                String answer = new String(slow.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertTrue(answer.startsWith("YES"), answer);
                silent.getInputStream().readAllBytes();
                assertEquals(3, (System.nanoTime() - startNanos) / 1e9, 1.0, "seconds until it was closed");
            }
        }
    }
}
