package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import yewdock.testbed.FaultyHandover;
import yewdock.testbed.Fleet;
import yewdock.verification.ProcessSignals;
import yewdock.verification.ReplacementVerification;
import yewdock.verification.ServingProcess;

/** Handover from a router process to the newer one that replaces it, started as the platform does. */
@Timeout(120)
class ProcessHandoverTest {
    private static final String MAIN = Main.class.getName();

    @TempDir
    private Path folder;
    private final List<ServingProcess> started = new ArrayList<>();

    @AfterEach
    void closeInstances() {
        started.forEach(ServingProcess::close);
    }

    private ServingProcess start(String config, String... main) throws IOException {
        ServingProcess instance = ServingProcess.start(main.length == 0 ? List.of(MAIN, "serve")
                : List.of(main), folder, config);
        started.add(instance);
        return instance;
    }

    private ServingProcess startFirst(Fleet fleet) throws IOException {
        ServingProcess instance = start(fleet.configurationWithOperator("127.0.0.1:0"));
        instance.awaitReady();
        return instance;
    }

    private ServingProcess startNewer(ServingProcess older, Fleet fleet, String... main) throws IOException {
        return start(fleet.configurationWithOperator("127.0.0.1:" + older.address().getPort()), main);
    }

    private static void awaitTakeover(ServingProcess newer) {
        assertNotNull(newer.awaitLogLine(l -> l.contains("succession.took_over")), newer.log());
    }

    private static Socket connect(ServingProcess instance) throws IOException {
        InetSocketAddress address = instance.address();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void sendRequest(Socket socket, String id, int tokens, int paceMillis) throws IOException {
        String body = "{\"max_tokens\":" + tokens + ",\"pace_ms\":" + paceMillis + "}";
        socket.getOutputStream().write(("POST /v1/chat/completions HTTP/1.1\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: chat\r\nX-Account: " + Fleet.TENANT + "\r\nX-Time-Left: 4\r\n"
                + "X-Facts: prompt_len=9,prefix_len=0,max_out=9\r\nConnection: close\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
    }

    private static String readResponse(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private static void signal(ServingProcess instance, String name) throws Exception {
        ProcessSignals.send(name, List.of(instance.process().pid()));
    }

    /**
     * A short run of the replacement proof: replacements that succeed, one that dies after it has asked for
     * the ids, and servers that are cordoned and uncordoned meanwhile.
     */
    @Test
    void replacementsUnderLoadBreakNoRule() throws Exception {
        List<String> output = new ArrayList<>();
        assertEquals(List.of(), new ReplacementVerification(MAIN, 5, 80, 3, output::add).run(),
                String.join("\n", output));
    }

    /** A stream goes on at the older process; a request with its id is answered with 409 by the newer one. */
    @Test
    void idOpenAtTheOlderProcessIsRejectedByTheNewer() throws Exception {
        try (Fleet fleet = new Fleet(2, 8)) {
            ServingProcess older = startFirst(fleet);
            try (Socket stream = connect(older)) {
                sendRequest(stream, "one", 120, 30);
                assertEquals('H', stream.getInputStream().read());
                ServingProcess newer = startNewer(older, fleet);
                awaitTakeover(newer);
                assertNotNull(older.awaitLogLine(l -> l.contains("succession.lets_go")), older.log());
                assertTrue(newer.sendCommand("health").startsWith("NO an older process finishes"),
                        newer.log());
                try (Socket duplicate = connect(newer)) {
                    sendRequest(duplicate, "one", 1, 1);
                    assertTrue(readResponse(duplicate).startsWith("HTTP/1.1 409 "));
                }
                assertTrue(readResponse(stream).endsWith("0\r\n\r\n"));
                older.terminate();
                assertTrue(older.awaitExit());
                newer.awaitReady();
            }
        }
    }

    /**
     * A cordon or uncordon at the newer process alone also applies to the older one's connections; a cordon
     * from before the handover applies at the newer one.
     */
    @Test
    void cordonAppliesAtBothProcesses() throws Exception {
        try (Fleet fleet = new Fleet(3, 8)) {
            ServingProcess older = startFirst(fleet);
            assertTrue(older.sendCommand("cordon s-2").startsWith("YES "));
            List<Socket> olderConnections = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                olderConnections.add(connect(older));
            }
            ServingProcess newer = startNewer(older, fleet);
            awaitTakeover(newer);
            assertTrue(newer.sendCommand("counters").contains("members_unavailable=1\n"));
            assertTrue(newer.sendCommand("cordon s-1").startsWith("YES "));
            assertTrue(newer.sendCommand("uncordon s-2").startsWith("YES "));
            assertNotNull(newer.awaitLogLine(l -> l.contains("uncordoned s-2")));
            int served = 0;
            for (Socket socket : olderConnections) {
                try (socket) {
                    sendRequest(socket, "kept-" + served, 2, 1);
                    served += readResponse(socket).startsWith("HTTP/1.1 200 ") ? 1 : 0;
                }
            }
            assertTrue(served > 0, older.log());
            assertTrue(fleet.observations().serverAttempts().stream().noneMatch(a ->
                    a.server().equals("s-1")), fleet.observations().serverAttempts().toString());
        }
    }

    /** A process is killed before it could hand anything over: its operator overrides still hold. */
    @Test
    void operatorOverridesSurviveAKilledProcess() throws Exception {
        try (Fleet fleet = new Fleet(2, 8)) {
            ServingProcess older = startFirst(fleet);
            assertTrue(older.sendCommand("cordon s-1").startsWith("YES "));
            older.close();
            ServingProcess newer = startNewer(older, fleet);
            newer.awaitReady();
            assertTrue(newer.log().contains("succession.nobody"), newer.log());
            assertTrue(newer.sendCommand("counters").contains("members_unavailable=1\n"));
            assertTrue(newer.sendCommand("uncordon s-1").startsWith("YES s-1 may serve again"));
        }
    }

    /** Unreadable files in the folder don't keep a process from starting; they are logged. */
    @Test
    void leftoverFilesDoNotPreventServing() throws Exception {
        Path tmp = Files.createDirectories(folder.resolve("tmp"));
        Files.writeString(tmp.resolve("yewdock-demo.marks"), "yewdock marks 1\ndrains 0 s-1\nend 2\n");
        Files.writeString(tmp.resolve("yewdock-demo.sock"), "no socket");
        try (Fleet fleet = new Fleet(2, 8)) {
            ServingProcess first = startFirst(fleet);
            assertTrue(first.log().contains("succession.marks_unreadable"), first.log());
            assertTrue(first.sendCommand("counters").contains("members_unavailable=0\n"));
        }
    }

    /** One newer process dies while it has the ids, another after taking over: the older one serves. */
    @Test
    void olderProcessServesWhenTheNewerDies() throws Exception {
        try (Fleet fleet = new Fleet(2, 8)) {
            ServingProcess older = startFirst(fleet);
            ServingProcess faulty = startNewer(older, fleet, FaultyHandover.class.getName(), "SHARE",
                    "KILLED");
            assertTrue(faulty.awaitExit());
            assertNotNull(older.awaitLogLine(l -> l.contains("succession.newer_gone")
                    && l.contains("shared=true")), older.log());
            try (Socket client = connect(older)) {
                sendRequest(client, "after", 2, 1);
                assertTrue(readResponse(client).startsWith("HTTP/1.1 200 "));
            }
            try (Socket stream = connect(older)) {
                sendRequest(stream, "stream", 150, 30);
                assertEquals('H', stream.getInputStream().read());
                ServingProcess newer = startNewer(older, fleet);
                awaitTakeover(newer);
                assertNotNull(older.awaitLogLine(l -> l.contains("succession.lets_go")));
                newer.close();
                older.awaitReady();
                try (Socket client = connect(older)) {
                    sendRequest(client, "again", 2, 1);
                    assertTrue(readResponse(client).startsWith("HTTP/1.1 200 "));
                }
            }
            // the older process can be replaced again
            awaitTakeover(startNewer(older, fleet));
        }
    }

    /** The older process hangs while the newer one takes over: connections in its queue are served. */
    @Test
    void connectionsInTheQueueOfAHungProcessAreServed() throws Exception {
        try (Fleet fleet = new Fleet(2, 32)) {
            ServingProcess older = startFirst(fleet);
            signal(older, "STOP");
            ServingProcess newer = startNewer(older, fleet);
            assertNotNull(newer.awaitLogLine(l -> l.contains("listens on")), newer.log());
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                Socket client = connect(newer);
                sendRequest(client, "queued-" + i, 2, 1);
                clients.add(client);
            }
            signal(older, "CONT");
            for (Socket client : clients) {
                try (client) {
                    assertTrue(readResponse(client).startsWith("HTTP/1.1 200 "), older.log());
                }
            }
        }
    }

    /** The older process leaves before the newer one is ready: clients are still served. */
    @Test
    void olderProcessMayExitBeforeTheNewerIsReady() throws Exception {
        try (Fleet fleet = new Fleet(2, 8)) {
            ServingProcess older = startFirst(fleet);
            ServingProcess newer = startNewer(older, fleet);
            older.terminate();
            assertTrue(older.awaitExit());
            newer.awaitReady();
            try (Socket client = connect(newer)) {
                sendRequest(client, "one", 2, 1);
                assertTrue(readResponse(client).startsWith("HTTP/1.1 200 "));
            }
        }
    }

    /** If the operator address is in use, the router logs that, doesn't listen for clients, and exits. */
    @Test
    void occupiedOperatorPortEndsTheStart() throws Exception {
        try (Fleet fleet = new Fleet(1, 8); ServerSocket taken = new ServerSocket(0)) {
            ServingProcess router = start(fleet.configurationWithOperator("127.0.0.1:0")
                    .replace("\"operator\":\"127.0.0.1:0\"",
                            "\"operator\":\"127.0.0.1:" + taken.getLocalPort() + "\""));
            assertTrue(router.awaitExit());
            assertEquals(1, router.exitCode());
            assertTrue(router.log().contains("can't listen for operators"), router.log());
            assertFalse(router.log().contains("listens on"), router.log());
        }
    }
}
