package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that each send one request after the other, each on a new connection, and wait for its final
 * response: success, or an error at most half a second after the client's timeout.
 */
final class RequestSequences {
    private static final double CLIENT_TIMEOUT_SECONDS = 2;
    private static final double MAX_RESPONSE_SECONDS = CLIENT_TIMEOUT_SECONDS + 0.5;
    /** Stands for the status of a response whose stream ended before its last chunk. */
    private static final int STREAM_ABORTED = -1;
    private static final int SUCCESS = 200;

    private final int clientCount;
    private final int requestsPerClient;
    private final long pauseMillis;
    private final Queue<String> failures = new ConcurrentLinkedQueue<>();
    /** How many responses had each status. */
    private final AtomicLong slowestNanos = new AtomicLong();
    private final Map<Integer, Integer> statusCounts = new ConcurrentSkipListMap<>();

    RequestSequences(int clientCount, int requestsPerClient) {
        this(clientCount, requestsPerClient, 0);
    }

    /** Makes clients that wait for this time between a response and their next request. */
    RequestSequences(int clientCount, int requestsPerClient, long pauseMillis) {
        this.clientCount = clientCount;
        this.requestsPerClient = requestsPerClient;
        this.pauseMillis = pauseMillis;
    }

    /** Sends all requests to the first router and waits for the responses. */
    void run(FaultRig rig) throws Exception {
        int port = rig.router(0).port();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < clientCount; i++) {
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
        for (int i = 0; i < requestsPerClient; i++) {
            String id = idPrefix + i;
            long startNanos = System.nanoTime();
            try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
                socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(10));
                socket.getOutputStream().write(ClientTraffic.request(id, CLIENT_TIMEOUT_SECONDS));
                int status = readStatus(socket);
                double tookSeconds = (System.nanoTime() - startNanos) / 1e9;
                slowestNanos.accumulateAndGet(System.nanoTime() - startNanos, Math::max);
                statusCounts.merge(status, 1, Integer::sum);
                if (status != SUCCESS && tookSeconds > MAX_RESPONSE_SECONDS) {
                    failures.add(id + " got " + status + " after " + tookSeconds + " s");
                }
                TimeUnit.MILLISECONDS.sleep(pauseMillis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
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
        if (status != SUCCESS) {
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

    /** Checks that no response took longer than this. */
    void assertSlowestBelow(double seconds) {
        assertTrue(slowestNanos.get() < seconds * 1e9, "the slowest took " + slowestNanos.get() / 1e9 + " s");
    }

    void assertAllGotResponses(FaultRig rig) {
        assertEquals(List.of(), failures.stream().limit(5).toList(), failures.size() + " requests failed\n"
                + rig.logs());
        assertEquals(clientCount * requestsPerClient,
                statusCounts.values().stream().mapToInt(Integer::intValue).sum());
    }

    /** Checks that all got responses, and that at least this many of them were streams to their end. */
    void assertServed(FaultRig rig, int atLeast) {
        assertAllGotResponses(rig);
        assertTrue(statusCounts.getOrDefault(SUCCESS, 0) >= atLeast, statusCounts + "\n" + rig.logs());
    }
}
