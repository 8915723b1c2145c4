package yewdock.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Requests that wait in the kernel's accept queue, since no more connections may be accepted. Guards against
 * counting a client's timeout from the accept only: the request is answered, and its server told, too late.
 */
class AcceptQueueTest {
    private static final int CAPACITY = 4;
    private static final double TIMEOUT_SECONDS = 1;
    private static final long WAIT_MILLIS = 800;
    /** A final response may come half a second after the client's timeout. */
    private static final double MAX_RESPONSE_SECONDS = TIMEOUT_SECONDS + 0.5;
    private static final int LISTEN_BACKLOG = 16;

    @Test
    void connectionsCameAfterTheQueueWasEmpty() {
        AcceptQueueTimes times = new AcceptQueueTimes(CAPACITY);
        assertEquals(7, times.accepted(7), "nothing is known of the queue");
        times.queueEmptyUntil(10);
        assertEquals(10, times.accepted(12));
        assertEquals(10, times.accepted(900));
        times.queueEmptyUntil(1_000);
        assertEquals(1_000, times.accepted(1_000));
    }

    @Test
    void connectionsCameAfterTheAcceptOfOneThatWasACapacityAhead() {
        AcceptQueueTimes times = new AcceptQueueTimes(CAPACITY);
        times.queueEmptyUntil(0);
        for (int i = 1; i <= CAPACITY + 1; i++) {
            assertEquals(0, times.accepted(i * 100));
        }
        // five were accepted before: at the time of the first accept, four of them were still in the queue
        assertEquals(100, times.accepted(600));
        assertEquals(200, times.accepted(700));
        times.queueEmptyUntil(750);
        assertEquals(750, times.accepted(800));
    }

    /** All connections are taken; the request behind them gets its response in its own time. */
    @Test
    void waitInQueueCountsAsPartOfTheTimeout() throws Exception {
        MinaTransport transport = new MinaTransport(0, 1_000_000);
        try (ServerSocket silentServer = new ServerSocket(0, LISTEN_BACKLOG,
                InetAddress.getByName("127.0.0.1"))) {
            ServingTransport serving = ServingTransport.start(transport,
                    Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                            .replaceAll("127.0.0.1:900[12]", "127.0.0.1:" + silentServer.getLocalPort()));
            List<Socket> idleClients = new ArrayList<>();
            while (transport.connectionsAccepted() < MinaTransport.MAX_CLOSING_CLIENTS) {
                idleClients.add(new Socket(serving.address().getAddress(), serving.address().getPort()));
                TimeUnit.MILLISECONDS.sleep(5);
            }
            try (Socket client = new Socket(serving.address().getAddress(), serving.address().getPort())) {
                client.getOutputStream().write(request().getBytes(StandardCharsets.US_ASCII));
                long sentNanos = System.nanoTime();
                TimeUnit.MILLISECONDS.sleep(WAIT_MILLIS);
                for (Socket idle : idleClients) {
                    idle.close();
                }
                client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(5));
                String status = new String(client.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
                double tookSeconds = (System.nanoTime() - sentNanos) / 1e9;
                assertEquals("HTTP/1.1 50", status.substring(0, status.length() - 1));
                assertTrue(tookSeconds < MAX_RESPONSE_SECONDS, "response after " + tookSeconds + " s");
            } finally {
                serving.stop();
            }
        }
    }

    private static String request() {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: 9b1f\r\n"
                + "X-Service-Class: chat\r\nX-Account: lalitpur-metro\r\nX-Session-Key: 7f3a\r\n"
                + "X-Time-Left: " + TIMEOUT_SECONDS + "\r\nX-Facts: prompt_len=100,prefix_len=0,max_out=9\r\n"
                + "Content-Length: 16\r\n\r\n{\"model\":\"chat\"}";
    }
}
