package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * With servers that hang, disconnect, send invalid responses or are slow, and with hostile clients, every
 * request of the other clients gets its final response: success, or an error at most half a second after the
 * client's timeout.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class FinalResponsesUnderFaultsTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final int SERVER_COUNT = 4;
    private static final int CLIENT_COUNT = 8;
    private static final int REQUESTS_PER_CLIENT = 12;
    private static final int HOSTILE_CLIENT_COUNT = 30;
    private static final double CLIENT_TIMEOUT_SECONDS = 2;
    private static final double MAX_RESPONSE_SECONDS = CLIENT_TIMEOUT_SECONDS + 0.5;
    /** Stands for the status of a response whose stream ended before its last chunk. */
    private static final int STREAM_ABORTED = -1;

    @TempDir
    private Path folder;

    private final Queue<String> failures = new ConcurrentLinkedQueue<>();
    private final AtomicInteger servedCount = new AtomicInteger();
    private final AtomicInteger responseCount = new AtomicInteger();

    /** Runs clients that each send one request after the other and wait for each response. */
    private void sendRequests(FaultRig rig) throws Exception {
        int port = rig.router(0).port();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            String idPrefix = "0-client" + i + '-';
            Thread client = new Thread(() -> sendInSequence(port, idPrefix), idPrefix);
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private void sendInSequence(int port, String idPrefix) {
        for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
            String id = idPrefix + i;
            long startNanos = System.nanoTime();
            try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
                socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(10));
                socket.getOutputStream().write(ClientTraffic.request(id, CLIENT_TIMEOUT_SECONDS));
                int status = readStatus(socket);
                double tookSeconds = (System.nanoTime() - startNanos) / 1e9;
                responseCount.incrementAndGet();
                if (status == 200) {
                    servedCount.incrementAndGet();
                } else if (tookSeconds > MAX_RESPONSE_SECONDS) {
                    failures.add(id + " got " + status + " after " + tookSeconds + " s");
                }
            } catch (IOException e) {
                failures.add(id + " got no response: " + e + " after "
                        + (System.nanoTime() - startNanos) / 1e9 + " s");
            }
        }
    }

    /** Returns the status, or STREAM_ABORTED if a stream was cut off, which its client can tell. */
    private static int readStatus(Socket socket) throws IOException {
        String head = ClientTraffic.readHead(socket.getInputStream(), socket.getInputStream().read());
        int status = Integer.parseInt(head.split(" ", 3)[1]);
        if (status != 200) {
            return status;
        }
        String rest = new String(readToLastChunk(socket), StandardCharsets.US_ASCII);
        return rest.endsWith("0\r\n\r\n") ? status : STREAM_ABORTED;
    }

    /** Reads until the last chunk or the end of the connection. */
    private static byte[] readToLastChunk(Socket socket) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int c = socket.getInputStream().read(); c >= 0; c = socket.getInputStream().read()) {
            all.write(c);
            if (all.toString(StandardCharsets.US_ASCII).endsWith("0\r\n\r\n")) {
                break;
            }
        }
        return all.toByteArray();
    }

    private void assertAllGotResponses(FaultRig rig) {
        assertEquals(List.of(), failures.stream().limit(5).toList(), failures.size() + " requests failed\n"
                + rig.logs());
        assertEquals(CLIENT_COUNT * REQUESTS_PER_CLIENT, responseCount.get());
    }

    /** Half of the servers show the faulty behaviour. */
    @ParameterizedTest
    @EnumSource(value = ServerBehaviour.class, names = "ANSWERS", mode = EnumSource.Mode.EXCLUDE)
    void everyRequestGetsAResponseDespiteFaultyServers(ServerBehaviour behaviour) throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT)) {
            rig.server(0).setBehaviour(behaviour);
            rig.server(1).setBehaviour(behaviour);
            sendRequests(rig);
            assertAllGotResponses(rig);
            assertTrue(servedCount.get() > CLIENT_COUNT * REQUESTS_PER_CLIENT / 2,
                    "served " + servedCount.get());
        }
    }

    /** All servers are faulty: nothing can be served, and every request gets an error in time. */
    @Test
    void everyRequestGetsAnErrorInTimeWhenNoServerResponds() throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, 2)) {
            rig.server(0).setBehaviour(ServerBehaviour.SILENT);
            rig.server(1).setBehaviour(ServerBehaviour.HALF_HEAD);
            sendRequests(rig);
            assertAllGotResponses(rig);
        }
    }

    /** Hostile clients connect one after the other while the others send their requests. */
    @ParameterizedTest
    @EnumSource(HostileClient.class)
    void everyRequestGetsAResponseDespiteHostileClients(HostileClient hostile) throws Exception {
        List<Socket> hostileConnections = new ArrayList<>();
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT)) {
            int port = rig.router(0).port();
            Thread attackers = new Thread(() -> {
                for (int i = 0; i < HOSTILE_CLIENT_COUNT; i++) {
                    hostileConnections.add(hostile.attack(port, "0-hostile" + i));
                }
            });
            attackers.setDaemon(true);
            attackers.start();
            sendRequests(rig);
            assertAllGotResponses(rig);
            assertEquals(CLIENT_COUNT * REQUESTS_PER_CLIENT, servedCount.get());
            attackers.join(TimeUnit.SECONDS.toMillis(10));
            assertFalse(hostileConnections.isEmpty());
        } finally {
            for (Socket socket : hostileConnections) {
                if (socket != null) {
                    socket.close();
                }
            }
        }
    }
}
