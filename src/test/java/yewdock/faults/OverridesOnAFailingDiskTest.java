package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import yewdock.Main;
import yewdock.faults.FaultShim.Call;
import yewdock.faults.FaultShim.Errno;
import yewdock.testbed.Fleet;
import yewdock.verification.ProcessSignals;
import yewdock.verification.ServingProcess;

@Timeout(90)
class OverridesOnAFailingDiskTest {
    private static final List<String> COMMAND = List.of(Main.class.getName(), "serve");
    private static final String OPERATOR = "127.0.0.1:0";
    private static final long FAILURE_MILLIS = 600;
    private static final long RETRY_WAIT_MILLIS = 1_500;

    @TempDir
    private Path folder;

    /** Guards against a cordon that is forgotten by a kill because the disk failed when it was made. */
    @ParameterizedTest
    @CsvSource({"FILE_WRITE,ENOSPC", "FILE_WRITE,EIO", "FILE_SYNC,EIO"})
    void cordonOutlivesAKillAfterWritesFailedForAWhile(Call call, Errno error) throws Exception {
        FaultShim shim = new FaultShim(folder);
        try (Fleet fleet = new Fleet(2, 8)) {
            String configuration = fleet.configurationWithOperator(OPERATOR);
            try (ServingProcess router = ServingProcess.start(COMMAND, folder, configuration,
                    shim.environment())) {
                router.awaitReady();
                shim.fail(call, error, 1);
                String answer = router.sendCommand("cordon s-1");
                assertTrue(answer.startsWith("YES"), answer);
                TimeUnit.MILLISECONDS.sleep(FAILURE_MILLIS);
                shim.restore(call);
                TimeUnit.MILLISECONDS.sleep(RETRY_WAIT_MILLIS);
                ProcessSignals.send("KILL", List.of(router.process().pid()));
                assertTrue(router.awaitExit());
            }
            try (ServingProcess next = ServingProcess.start(COMMAND, folder, configuration, Map.of())) {
                String line = next.awaitLogLine(l -> l.contains("succession.marks "));
                assertNotNull(line, next.log());
                assertEquals("boxes=1", line.substring(line.indexOf("boxes=")));
            }
        }
    }
}
