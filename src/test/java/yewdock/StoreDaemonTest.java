package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yewdock.testbed.Fleet;
import yewdock.testbed.ListenPorts;
import yewdock.testbed.LoadGenerator;
import yewdock.verification.DaemonProcess;
import yewdock.verification.RunChecker;
import yewdock.verification.StoreVerification;
import yewdock.verification.UpgradeVerification;

/** Daemons in separate processes with stores and replication: kills, restarts, bad disks, lost peers. */
class StoreDaemonTest {
    private static final String MAIN = Main.class.getName();
    /** Time from the start to readiness that is allowed to a restarted router. */
    private static final long READY_LIMIT_SECONDS = 10;
    private static final String READY_STATUS_LINE = "HTTP/1.1 200";
    private static final long SLOW_ANSWER_MILLIS = 1_000;
    /** Longer than the first call's random delay, a slow answer and some requests after it take. */
    private static final int LOAD_OVER_FIRST_ANSWER_MILLIS = 3_000;

    @TempDir
    private Path folder;

    private static String storeBlock(Path directory) {
        return "store {\n  folder = \"" + directory + "\"\n  retry_s = 0.1\n}\n";
    }

    private DaemonProcess start(Fleet fleet, String name, String extraSettings) throws IOException {
        return DaemonProcess.start(MAIN, Files.createDirectories(folder.resolve(name)),
                fleet.configuration("127.0.0.1:0"), UpgradeVerification.QUICK_STAGES, extraSettings);
    }

    /** Sends an operator command that must succeed; returns its output. */
    private static String ask(DaemonProcess router, String command, String... words) throws IOException {
        DaemonProcess.CommandResult result = router.sendCommand(command, List.of(words));
        assertEquals(0, result.exitCode(), result.output());
        return result.output();
    }

    /** Waits until the router's status contains the text. */
    private static void awaitStatus(DaemonProcess router, String text) throws Exception {
        String status = "";
        for (int i = 0; i < 2_000; i++) {
            status = ask(router, "status");
            if (status.contains(text)) {
                return;
            }
            Thread.sleep(5);
        }
        assertTrue(status.contains(text), text + " is missing in\n" + status + "\n" + router.log());
    }

    private static void runLoad(Fleet fleet, InetSocketAddress router, long seed, int millis)
            throws Exception {
        LoadGenerator load = new LoadGenerator(new LoadGenerator.Profile(router, 8, 150, 5, 2, seed),
                fleet.observations());
        load.start();
        Thread.sleep(millis);
        load.stop();
    }

    /** A short run of the store proof: kills under load must lose no acknowledged change. */
    @Test
    void killsUnderLoadLoseNoAcknowledgedChange() throws Exception {
        assertEquals(List.of(), new StoreVerification(MAIN, 2, 5, line -> { }).run());
    }

    /** A drain holds until it is undone; a server marked as gone is used again once it has restarted. */
    @Test
    void operatorOverridesHoldOverUpgradesAndRestartsUntilUndone() throws Exception {
        Path directory = folder.resolve("kept");
        try (Fleet fleet = new Fleet(3, 16)) {
            String server = fleet.servers().get(0).name();
            try (DaemonProcess router = start(fleet, "a", storeBlock(directory))) {
                ask(router, "drain", server);
                assertEquals(1, router.sendCommand("drain", List.of("nobody")).exitCode());
                assertEquals(1, router.sendCommand("drain", List.of(server, "--here")).exitCode(),
                        "--here needs consensus, which is off");
                assertEquals(1, router.sendCommand("rules", List.of()).exitCode());
                assertEquals(0, router.sendCommand("upgrade", List.of()).exitCode());
                runLoad(fleet, router.address(), 1, 400);
            }
            try (DaemonProcess router = start(fleet, "a", storeBlock(directory))) {
                awaitStatus(router, "mark: " + server + " drain, by here");
                runLoad(fleet, router.address(), 2, 400);
                assertFalse(fleet.observations().serverAttempts().isEmpty());
                assertTrue(fleet.observations().serverAttempts().stream().noneMatch(a ->
                        a.server().equals(server)));
                ask(router, "undrain", server);
                runLoad(fleet, router.address(), 3, 800);
                assertTrue(fleet.observations().serverAttempts().stream().anyMatch(a ->
                        a.server().equals(server)));
                ask(router, "mark-gone", server);
                assertTrue(router.terminate());
            }
            // the server restarts while the router is down: the override was for the process before
            fleet.discovery().putServer(server, fleet.servers().get(0).address(), Fleet.ZONE, Fleet.KIND,
                    "up", System.currentTimeMillis() - 60_000);
            int before = fleet.observations().serverAttempts().size();
            try (DaemonProcess router = start(fleet, "a", storeBlock(directory))) {
                runLoad(fleet, router.address(), 4, 800);
                assertFalse(ask(router, "status").contains("mark:"));
                assertTrue(fleet.observations().serverAttempts().stream().skip(before)
                        .anyMatch(a -> a.server().equals(server)), router.log());
            }
            assertEquals(List.of(), RunChecker.violationsWithKills(fleet.observations(), List.of()));
        }
    }

    /** While discovery is down, the stored endpoint list and the drain in it are all that the router has. */
    @Test
    void storedDrainHoldsWhileDiscoveryIsDown() throws Exception {
        Path directory = folder.resolve("kept");
        Fleet fleet = new Fleet(3, 16);
        try (fleet) {
            String server = fleet.servers().get(1).name();
            try (DaemonProcess router = start(fleet, "a", storeBlock(directory))) {
                fleet.discovery().setState(server, "draining");
                awaitStatus(router, "list: version 5");
                assertTrue(router.terminate());
            }
            fleet.discovery().close();
            int before = fleet.observations().serverAttempts().size();
            try (DaemonProcess router = start(fleet, "a", storeBlock(directory))) {
                awaitReady(router);
                runLoad(fleet, router.address(), 1, 600);
                assertTrue(fleet.observations().serverAttempts().size() > before, router.log());
                assertTrue(fleet.observations().serverAttempts().stream().skip(before)
                        .noneMatch(a -> a.server().equals(server)));
            }
        }
    }

    /**
     * Guards against a restarted daemon that serves by its store before discovery has answered: a drain that
     * was told just before the kill is not in the store.
     */
    @Test
    void drainToldJustBeforeAKillIsKept() throws Exception {
        Path directory = folder.resolve("kept");
        try (Fleet fleet = new Fleet(3, 16)) {
            String server = fleet.servers().get(1).name();
            try (DaemonProcess router = start(fleet, "a", storeBlock(directory))) {
                awaitReady(router);
                fleet.discovery().setState(server, "draining");
                awaitDrainTold(fleet, server);
            }
            fleet.discovery().delayAnswers(SLOW_ANSWER_MILLIS);
            int before = fleet.observations().serverAttempts().size();
            try (DaemonProcess router = start(fleet, "a", storeBlock(directory))) {
                runLoad(fleet, router.address(), 1, LOAD_OVER_FIRST_ANSWER_MILLIS);
                assertTrue(fleet.observations().serverAttempts().size() > before, router.log());
                assertEquals(0, fleet.observations().serverAttempts().stream().skip(before)
                        .filter(attempt -> attempt.server().equals(server)).count(), router.log());
            }
        }
    }

    private static void awaitDrainTold(Fleet fleet, String server) {
        while (fleet.observations().endpointUpdates().stream().noneMatch(update ->
                update.server().equals(server) && update.state().equals("draining"))) {
            Thread.onSpinWait();
        }
    }

    /** Waits until the router reports that it is ready, as any restarted router has to be in time. */
    private static void awaitReady(DaemonProcess router) throws Exception {
        long deadline = System.nanoTime() + READY_LIMIT_SECONDS * 1_000_000_000;
        while (!isReady(router.address())) {
            assertTrue(System.nanoTime() < deadline, "not ready in time\n" + router.log());
            Thread.sleep(20);
        }
    }

    private static boolean isReady(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(READY_STATUS_LINE.length()),
                    StandardCharsets.US_ASCII).equals(READY_STATUS_LINE);
        }
    }

    @Test
    void secondDaemonOnTheSameStoreExits() throws Exception {
        try (Fleet fleet = new Fleet(1, 4);
                DaemonProcess router = start(fleet, "a", storeBlock(folder.resolve("s")));
                DaemonProcess second = DaemonProcess.launch(MAIN, Files.createDirectory(folder.resolve("b")),
                        fleet.configuration("127.0.0.1:0"), UpgradeVerification.QUICK_STAGES,
                        storeBlock(folder.resolve("s")))) {
            assertEquals(1, second.awaitExitCode());
            assertNotNull(second.awaitLogLine(l -> l.contains("is in use by another process")));
            ask(router, "drain", fleet.servers().get(0).name());
        }
    }

    @Test
    void unusableStoreIsReportedAndRecoversWhileTheRouterServes() throws Exception {
        Path directory = Files.writeString(folder.resolve("s"), "in the way");
        try (Fleet fleet = new Fleet(2, 16); DaemonProcess router = start(fleet, "a",
                storeBlock(directory))) {
            runLoad(fleet, router.address(), 1, 300);
            assertFalse(fleet.observations().requestResults().isEmpty());
            awaitStatus(router, "store: failed (READ_ONLY)");
            Files.delete(directory);
            awaitStatus(router, "store: open");
            ask(router, "drain", fleet.servers().get(0).name());
            assertEquals(List.of(), RunChecker.violations(fleet.observations()));
        }
    }

    @Test
    void damagedStoreIsKeptUnderAnotherName() throws Exception {
        Path directory = folder.resolve("s");
        try (Fleet fleet = new Fleet(2, 16)) {
            try (DaemonProcess router = start(fleet, "a", storeBlock(directory))) {
                ask(router, "drain", fleet.servers().get(0).name());
                assertTrue(router.terminate());
            }
            byte[] bytes = Files.readAllBytes(directory.resolve("records.mv"));
            for (int i = 4096; i < bytes.length; i++) {
                bytes[i] = (byte) (bytes[i] ^ 0x55);
            }
            Files.write(directory.resolve("records.mv"), bytes);
            try (DaemonProcess router = start(fleet, "a", storeBlock(directory))) {
                awaitStatus(router, "store: open");
                assertTrue(Files.exists(directory.resolve("records.mv.damaged")), router.log());
            }
        }
    }

    /**
     * Two instances: an override at one applies at the other, connections from non-peers are rejected, and an
     * instance that has lost its disk gets its overrides back from its peer.
     */
    @Test
    void instancesReplicateOperatorOverrides() throws Exception {
        int[] ports = {ListenPorts.reserve(), ListenPorts.reserve()};
        String[] replicationBlocks = new String[2];
        for (int i = 0; i < 2; i++) {
            replicationBlocks[i] = "copies {\n  cluster = \"t\"\n  instance = \"i" + i
                    + "\"\n  listen = \"127.0.0.1:" + ports[i]
                    + "\"\n  peers = [\"i" + (1 - i) + "=127.0.0.1:" + ports[1 - i] + "\"]\n}\n";
        }
        try (Fleet fleet = new Fleet(3, 16);
                DaemonProcess routerOne = start(fleet, "one",
                        storeBlock(folder.resolve("s1")) + replicationBlocks[1])) {
            String server = fleet.servers().get(0).name();
            try (DaemonProcess routerZero = start(fleet, "zero",
                    storeBlock(folder.resolve("s0")) + replicationBlocks[0])) {
                awaitStatus(routerZero, "peer i1: up");
                awaitStatus(routerOne, "peer i0: up");
                ask(routerZero, "drain", server);
                awaitStatus(routerOne, "mark: " + server + " drain, by i0");
                sendGarbage(ports[1]);
                runLoad(fleet, routerOne.address(), 1, 400);
                assertTrue(fleet.observations().serverAttempts().stream().noneMatch(a ->
                        a.server().equals(server)));
                assertEquals(List.of(), RunChecker.violations(fleet.observations()));
            }
            awaitStatus(routerOne, "peer i0: down");
            // with an empty store it gets its own overrides back from its peer
            try (DaemonProcess routerZero = start(fleet, "empty",
                    storeBlock(folder.resolve("s2")) + replicationBlocks[0])) {
                awaitStatus(routerZero, "mark: " + server + " drain, by i0");
                ask(routerZero, "undrain", server);
                awaitStatus(routerOne, "peer i0: up");
                for (int i = 0; i < 2_000 && ask(routerOne, "status").contains("mark:"); i++) {
                    Thread.sleep(5);
                }
                assertFalse(ask(routerOne, "status").contains("mark:"));
            }
        }
    }

    private static void sendGarbage(int port) throws IOException {
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 20; i++) {
            try (Socket socket = new Socket("127.0.0.1", port); OutputStream out = socket.getOutputStream()) {
                byte[] bytes = new byte[random.nextInt(1, 50_000)];
                random.nextBytes(bytes);
                if (i % 2 == 0) {
                    // the first byte 0 makes a plausible frame length
                    bytes[0] = 0;
                }
                out.write(bytes);
                out.write("POST / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                // rejected while writing
                assertNotNull(e.getMessage());
            }
        }
    }
}
