package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

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
    private static final int MIN_ATTEMPTS = 100;
    /** The newer process may have read its configuration by then or not. */
    private static final long DURING_START_MILLIS = 300;
    private static final long AFTER_TAKEOVER_MILLIS = 2_000;
    /** A new process is ready within this time. */
    private static final long READY_MILLIS = 6_000;
    /** The 6 s after which a router counts as notified, the grace, and 1 s to observe further attempts. */
    private static final long OBSERVATION_MILLIS = 7_500;

    @TempDir
    private Path folder;

    /** One router whose process is replaced, and the discovery that it moves to. */
    private static final class Replacement implements Closeable {
        private final FaultRig rig;
        private final int router;
        private final ScriptedDiscovery newDiscovery;
        private final Socket unfinished;
        private final RouterProcess newer;

        Replacement(FaultRig rig, int router) throws Exception {
            this.rig = rig;
            this.router = router;
            newDiscovery = new ScriptedDiscovery(router, rig.checker());
            for (int i = 0; i < SERVER_COUNT; i++) {
                setState(i, EndpointState.UP);
            }
            // an older process without clients would end once it has handed over
            unfinished = new Socket(InetAddress.getByName("127.0.0.1"), older().port());
            unfinished.getOutputStream().write("POST ".getBytes(StandardCharsets.US_ASCII));
            newer = new RouterProcess(older().configurationFile().getParent(),
                    rig.configuration(rig.discovery(router).address(), 1));
        }

        private RouterProcess older() {
            return rig.router(router);
        }

        private void setState(int server, EndpointState state) {
            newDiscovery.setState(rig.server(server).name(), rig.server(server).address(), state);
        }

        private void moveDiscovery() throws IOException {
            Files.writeString(older().configurationFile(), rig.configuration(newDiscovery.address(), 1));
        }

        @Override
        public void close() throws IOException {
            newer.close();
            unfinished.close();
            newDiscovery.close();
        }
    }

    /**
     * The reload comes while the newer process starts, after it has taken over, or is lost with the older
     * process. Guards against a newer process that calls the address it was started with for ever.
     */
    @Test
    void newerProcessFollowsAMoveOfDiscovery() throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 3, SERVER_COUNT,
                configuration -> configuration.replaceFirst("\\{", "{\"operator\":\"127.0.0.1:0\","))) {
            Thread.sleep(1_500);
            long startedAt = System.nanoTime();
            try (Replacement first = new Replacement(rig, 0); Replacement second = new Replacement(rig, 1);
                    Replacement third = new Replacement(rig, 2)) {
                sleepUntil(startedAt, DURING_START_MILLIS);
                first.moveDiscovery();
                first.older().signal("HUP");
                sleepUntil(startedAt, AFTER_TAKEOVER_MILLIS);
                second.moveDiscovery();
                second.older().signal("HUP");
                third.moveDiscovery();
                third.older().close();
                sleepUntil(startedAt, READY_MILLIS);
                assertDrainIsKept(rig, List.of(first, second, third));
            }
        }
    }

    private static void sleepUntil(long startedAt, long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - (System.nanoTime() - startedAt) / 1_000_000));
    }

    private static void assertDrainIsKept(FaultRig rig, List<Replacement> replacements) throws Exception {
        int attemptsBefore = rig.checker().attemptCount();
        List<ClientTraffic> traffic = new ArrayList<>();
        for (Replacement replacement : replacements) {
            replacement.older().close();
            traffic.add(new ClientTraffic(replacement.router, replacement.newer.port(), REPLACEMENT_CLIENTS));
            replacement.setState(0, EndpointState.DRAINING);
        }
        Thread.sleep(OBSERVATION_MILLIS);
        traffic.forEach(ClientTraffic::close);
        StringBuilder logs = new StringBuilder(rig.logs());
        replacements.forEach(replacement -> logs.append("\n---\n").append(replacement.newer.log()));
        assertEquals(List.of(), rig.checker().violations().stream().limit(5).toList(), logs.toString());
        int attempts = rig.checker().attemptCount() - attemptsBefore;
        assertTrue(attempts > MIN_ATTEMPTS * replacements.size(), "too little traffic: " + attempts);
    }
}
