package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A router's process is replaced while the configuration moves discovery to another address. Only the older
 * process gets SIGHUP, since the newer one is not ready yet.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class ReloadDuringReplacementTest {
    private static final long GRACE_MILLIS = 500;
    private static final int SERVER_COUNT = 4;
    private static final int REPLACEMENT_CLIENTS = 8;
    /** A new process is ready within this time. */
    private static final long READY_MILLIS = 6_000;
    /** The 6 s after which a router counts as notified, the grace, and 1 s to observe further attempts. */
    private static final long OBSERVATION_MILLIS = 7_500;

    /** When the older process gets SIGHUP, and what becomes of it. */
    enum Reload {
        /** While the newer process starts, so that it may have read the configuration or not. */
        DURING_START(300, false),
        /** After the newer process has taken over. */
        AFTER_TAKEOVER(2_000, false),
        /** The older process ends before it has handled the signal. */
        LOST_WITH_THE_OLDER_PROCESS(2_000, true);

        private final long delayMillis;
        private final boolean lost;

        Reload(long delayMillis, boolean lost) {
            this.delayMillis = delayMillis;
            this.lost = lost;
        }
    }

    @TempDir
    private Path folder;

    /** Guards against a newer process that calls the address it was started with for ever. */
    @ParameterizedTest
    @EnumSource
    void newerProcessFollowsAMoveOfDiscovery(Reload reload) throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT,
                configuration -> configuration.replaceFirst("\\{", "{\"operator\":\"127.0.0.1:0\","));
                ScriptedDiscovery newDiscovery = new ScriptedDiscovery(0, rig.checker())) {
            Thread.sleep(1_500);
            for (int i = 0; i < SERVER_COUNT; i++) {
                newDiscovery.setState(rig.server(i).name(), rig.server(i).address(), EndpointState.UP);
            }
            RouterProcess older = rig.router(0);
            long startedAt = System.nanoTime();
            // an older process without clients would end once it has handed over
            try (Socket unfinished = new Socket(InetAddress.getByName("127.0.0.1"), older.port());
                    RouterProcess newer = new RouterProcess(older.configurationFile().getParent(),
                    rig.configuration(rig.discovery(0).address(), 1))) {
                unfinished.getOutputStream().write("POST ".getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(reload.delayMillis);
                Files.writeString(older.configurationFile(), rig.configuration(newDiscovery.address(), 1));
                if (reload.lost) {
                    older.close();
                } else {
                    older.signal("HUP");
                }
                ClientTraffic traffic = new ClientTraffic(0, newer.port(), REPLACEMENT_CLIENTS);
                Thread.sleep(Math.max(0, READY_MILLIS - (System.nanoTime() - startedAt) / 1_000_000));
                older.close();
                newDiscovery.setState(rig.server(0).name(), rig.server(0).address(), EndpointState.DRAINING);
                Thread.sleep(OBSERVATION_MILLIS);
                traffic.close();
                assertEquals(List.of(), rig.checker().violations().stream().limit(5).toList(),
                        rig.logs() + "\n---\n" + newer.log());
                assertTrue(rig.checker().attemptCount() > 100, "too little traffic");
            }
        }
    }
}
