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
 * A router process stands still while its clients ask, wait and leave, beside traffic: it goes on with what
 * is true then. Time that has passed is not promised to a server, and nothing is begun for who has left.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class ClientsOfAPausedRouterTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final int SERVERS = 4;
    private static final int CLIENTS = 40;
    private static final int ROUNDS = 4;
    private static final long PAUSE_MILLIS = 700;
    private static final double TIME_LEFT = 6;
    private static final double SLACK_SECONDS = 0.15;
    private static final int ANSWER_MILLIS = 10_000;
    /** More than a router reads of one connection at once. */
    private static final int PIPELINED = 400;

    @TempDir
    private Path folder;

    private static Socket connect(FaultRig rig) throws Exception {
        Socket client = new Socket(InetAddress.getByName("127.0.0.1"), rig.router(0).port());
        client.setTcpNoDelay(true);
        client.setSoTimeout(ANSWER_MILLIS);
        return client;
    }

    /** Half of them have been served before, the others will be new connections: null. */
    private static List<Socket> clients(FaultRig rig, String idPrefix) throws Exception {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = null;
            if (i % 2 == 0) {
                client = connect(rig);
                client.getOutputStream().write(Traffic.request(idPrefix + "before-" + i, TIME_LEFT));
                assertEquals(200, Traffic.readAnswer(client.getInputStream()));
            }
            clients.add(client);
        }
        return clients;
    }

    private static Socket connectedOrNew(FaultRig rig, Socket client) throws Exception {
        return client == null ? connect(rig) : client;
    }

    /** What a server is told of its client's time is what is left of it, and each request is answered. */
    @Test
    void timeThatHasPassedIsNotPromisedToServers() throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVERS)) {
            for (int round = 0; round < ROUNDS; round++) {
                Map<String, Long> sentAt = new HashMap<>();
                List<Socket> waiting = new ArrayList<>();
                List<Socket> clients = clients(rig, "0-ask" + round + '-');
                rig.router(0).signal("STOP");
                for (int i = 0; i < CLIENTS; i++) {
                    Socket client = connectedOrNew(rig, clients.get(i));
                    String id = "0-wait" + round + '-' + i;
                    sentAt.put(id, System.nanoTime());
                    client.getOutputStream().write(Traffic.request(id, TIME_LEFT));
                    waiting.add(client);
                }
                Thread.sleep(PAUSE_MILLIS);
                rig.router(0).signal("CONT");
                for (Socket client : waiting) {
                    assertEquals(200, Traffic.readAnswer(client.getInputStream()));
                    client.close();
                }
                assertTimesTold(rig.attemptsOf("0-wait" + round + '-'), sentAt);
            }
        }
    }

    private static void assertTimesTold(List<RecordingServer.Attempt> attempts, Map<String, Long> sentAt) {
        assertTrue(attempts.size() >= CLIENTS, "attempts: " + attempts.size());
        List<String> tooLong = new ArrayList<>();
        for (RecordingServer.Attempt attempt : attempts) {
            double left = TIME_LEFT - (attempt.firstByteAt() - sentAt.get(attempt.requestId())) / 1e9;
            if (attempt.timeLeft() > left + SLACK_SECONDS) {
                tooLong.add(attempt.requestId() + " was told " + attempt.timeLeft() + " s of " + left);
            }
        }
        assertEquals(List.of(), tooLong);
    }

    /** They ask, most with more behind, and close or reset their connections: nothing is begun for them. */
    @Test
    void nothingIsBegunForClientsThatLeft() throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVERS)) {
            for (int round = 0; round < ROUNDS; round++) {
                List<Socket> clients = clients(rig, "0-ask" + round + '-');
                rig.router(0).signal("STOP");
                for (int i = 0; i < CLIENTS; i++) {
                    askAndLeave(connectedOrNew(rig, clients.get(i)), "0-left" + round + '-' + i, i);
                }
                Thread.sleep(PAUSE_MILLIS);
                rig.router(0).signal("CONT");
                try (Socket after = connect(rig)) {
                    after.getOutputStream().write(Traffic.request("0-after" + round, TIME_LEFT));
                    assertEquals(200, Traffic.readAnswer(after.getInputStream()));
                }
                Thread.sleep(PAUSE_MILLIS);
            }
            assertFalse(rig.attemptsOf("0-after").isEmpty());
            List<RecordingServer.Attempt> begun = rig.attemptsOf("0-left");
            assertEquals(List.of(), begun.stream().map(RecordingServer.Attempt::requestId).toList(),
                    begun.size() + " attempts were begun for clients that had left");
        }
    }

    private static void askAndLeave(Socket client, String id, int way) throws IOException {
        boolean pipelines = way % 4 >= 2;
        for (int i = 0; i < (pipelines ? PIPELINED : 1); i++) {
            client.getOutputStream().write(Traffic.request(id + '-' + i, TIME_LEFT));
        }
        if (way % 3 == 0) {
            client.setSoLinger(true, 0);
        }
        client.close();
    }
}
