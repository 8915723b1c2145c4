package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Clients send requests, wait and disconnect while the router's process is paused (SIGSTOP) under traffic.
 * After it resumes it must act on the present state: the pause counts against the clients' timeouts, and no
 * attempt starts for a client that has disconnected.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class ClientsOfAPausedRouterTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final int SERVER_COUNT = 4;
    private static final int CLIENT_COUNT = 40;
    private static final int ROUND_COUNT = 4;
    private static final long PAUSE_MILLIS = 700;
    private static final double CLIENT_TIMEOUT_SECONDS = 6;
    /** By how much a server may be told too long a timeout. */
    private static final double SLACK_SECONDS = 0.15;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    /** More than the router reads from one connection at once. */
    private static final int PIPELINED_REQUESTS = 400;

    @TempDir
    private Path folder;

    private static Socket connect(FaultRig rig) throws Exception {
        Socket client = new Socket(InetAddress.getByName("127.0.0.1"), rig.router(0).port());
        client.setTcpNoDelay(true);
        client.setSoTimeout(READ_TIMEOUT_MILLIS);
        return client;
    }

    /** Returns connections that have been served once, alternating with null for one yet to be opened. */
    private static List<Socket> prepareClients(FaultRig rig, String idPrefix) throws Exception {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            Socket client = null;
            if (i % 2 == 0) {
                client = connect(rig);
                client.getOutputStream().write(ClientTraffic.request(idPrefix + "before-" + i,
                        CLIENT_TIMEOUT_SECONDS));
                assertEquals(200, ClientTraffic.readResponse(client.getInputStream()));
            }
            clients.add(client);
        }
        return clients;
    }

    private static Socket connectIfNull(FaultRig rig, Socket client) throws Exception {
        return client == null ? connect(rig) : client;
    }

    /** Requests sent during the pause get a response, and servers are told only the time that remains. */
    @Test
    void serversAreToldTheTimeThatRemains() throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT)) {
            for (int round = 0; round < ROUND_COUNT; round++) {
                Map<String, Long> sentAtNanos = new HashMap<>();
                List<Socket> waiting = new ArrayList<>();
                List<Socket> clients = prepareClients(rig, "0-ask" + round + '-');
                rig.router(0).signal("STOP");
                for (int i = 0; i < CLIENT_COUNT; i++) {
                    Socket client = connectIfNull(rig, clients.get(i));
                    String id = "0-wait" + round + '-' + i;
                    sentAtNanos.put(id, System.nanoTime());
                    client.getOutputStream().write(ClientTraffic.request(id, CLIENT_TIMEOUT_SECONDS));
                    waiting.add(client);
                }
                Thread.sleep(PAUSE_MILLIS);
                rig.router(0).signal("CONT");
                for (Socket client : waiting) {
                    assertEquals(200, ClientTraffic.readResponse(client.getInputStream()));
                    client.close();
                }
                assertTimeLeftNotOverstated(rig.attemptsWithIdPrefix("0-wait" + round + '-'), sentAtNanos);
            }
        }
    }

    private static void assertTimeLeftNotOverstated(List<RecordingServer.Attempt> attempts,
            Map<String, Long> sentAtNanos) {
        assertTrue(attempts.size() >= CLIENT_COUNT, "attempts: " + attempts.size());
        List<String> overstated = new ArrayList<>();
        for (RecordingServer.Attempt attempt : attempts) {
            double leftSeconds = CLIENT_TIMEOUT_SECONDS
                    - (attempt.firstByteNanos() - sentAtNanos.get(attempt.requestId())) / 1e9;
            if (attempt.timeLeftSeconds() > leftSeconds + SLACK_SECONDS) {
                overstated.add(attempt.requestId() + " was sent with " + attempt.timeLeftSeconds()
                        + " s, but had " + leftSeconds);
            }
        }
        assertEquals(List.of(), overstated);
    }

    /** Clients send one or many pipelined requests during the pause, and close or reset their connections. */
    @Test
    void noAttemptStartsForClientsThatDisconnected() throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT)) {
            for (int round = 0; round < ROUND_COUNT; round++) {
                List<Socket> clients = prepareClients(rig, "0-ask" + round + '-');
                rig.router(0).signal("STOP");
                for (int i = 0; i < CLIENT_COUNT; i++) {
                    sendAndDisconnect(connectIfNull(rig, clients.get(i)), "0-left" + round + '-' + i, i);
                }
                Thread.sleep(PAUSE_MILLIS);
                rig.router(0).signal("CONT");
                try (Socket laterClient = connect(rig)) {
                    laterClient.getOutputStream().write(ClientTraffic.request("0-after" + round,
                            CLIENT_TIMEOUT_SECONDS));
                    assertEquals(200, ClientTraffic.readResponse(laterClient.getInputStream()));
                }
                Thread.sleep(PAUSE_MILLIS);
            }
            assertFalse(rig.attemptsWithIdPrefix("0-after").isEmpty());
            List<RecordingServer.Attempt> attempts = rig.attemptsWithIdPrefix("0-left");
            assertEquals(List.of(), attempts.stream().map(RecordingServer.Attempt::requestId).toList(),
                    attempts.size() + " attempts started for clients that had disconnected");
        }
    }

    /** Sends one or many requests by the variant, and closes or resets the connection. */
    private static void sendAndDisconnect(Socket client, String id, int variant) throws IOException {
        boolean pipelined = variant % 4 >= 2;
        for (int i = 0; i < (pipelined ? PIPELINED_REQUESTS : 1); i++) {
            client.getOutputStream().write(ClientTraffic.request(id + '-' + i, CLIENT_TIMEOUT_SECONDS));
        }
        if (variant % 3 == 0) {
            client.setSoLinger(true, 0);
        }
        client.close();
    }
}
