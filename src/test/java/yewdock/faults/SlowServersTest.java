package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that write or read slowly: no stream is cut off, and no error comes after its time. */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class SlowServersTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String DONE = "data: [DONE]\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final double CLIENT_TIMEOUT_SECONDS = 1.5;
    private static final double MAX_OVERDUE_SECONDS = 0.5;
    private static final int LARGE_BODY_BYTES = 250_000;
    private static final int LARGE_REQUESTS = 6;
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4_096;

    @TempDir
    private Path folder;

    /** What a server does with a connection. */
    private interface Behaviour {
        void serve(Socket socket) throws IOException, InterruptedException;
    }

    private static ServerSocket startServer(Behaviour behaviour) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        startThread(() -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                startThread(() -> behaviour.serve(socket));
            }
        });
        return listener;
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void startThread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // the peer closed the connection, or the test its listener
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "slow-server");
        thread.setDaemon(true);
        thread.start();
    }

    private RouterProcess startRouter(ServerSocket server, ScriptedDiscovery discovery) throws IOException {
        String address = "127.0.0.1:" + server.getLocalPort();
        discovery.setState("s-a0", address, EndpointState.UP);
        return new RouterProcess(folder, RouterConfigurations.withServers(
                RouterConfigurations.serverEntry("s-a0", address), 1).replace("127.0.0.1:8000", "127.0.0.1:0")
                .replace("127.0.0.1:8500", discovery.address()), RouterProcess.SMALL_HEAP_FLAGS, Map.of());
    }

    private static ScriptedDiscovery discovery() throws IOException {
        return new ScriptedDiscovery(0, new DrainRuleChecker(1_000, false, System::nanoTime));
    }

    private static void readRequest(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        String head = ClientTraffic.readHead(in, in.read());
        in.readNBytes(ClientTraffic.contentLength(head));
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    private static String request(int port, byte[] request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(30));
            socket.getOutputStream().write(request);
            InputStream in = socket.getInputStream();
            StringBuilder all = new StringBuilder();
            for (int c = in.read(); c >= 0; c = in.read()) {
                all.append((char) c);
                if (all.length() > 4 && all.indexOf(LAST_CHUNK, all.length() - LAST_CHUNK.length()) >= 0
                        || all.toString().endsWith("failed\n") || all.toString().endsWith("refused\n")) {
                    break;
                }
            }
            return all.toString();
        }
    }

    /** The pauses are shorter than the 5 s after which a client counts a stream as silent. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 3_000, 4_700})
    void streamIsNotCutOffWhileItsServerStillWrites(int pauseMillis) throws Exception {
        try (ServerSocket server = startServer(socket -> {
            readRequest(socket);
            socket.getOutputStream().write(ascii(HEAD + chunk("data: first\n\n")));
            for (byte b : ascii("6\r\nda")) {
                TimeUnit.MILLISECONDS.sleep(pauseMillis / 8);
                socket.getOutputStream().write(b);
            }
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
            socket.getOutputStream().write(ascii("ta:\n\r\n"));
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
            socket.getOutputStream().write(ascii(chunk("data: x\n\n") + chunk(DONE) + LAST_CHUNK));
        });
                ScriptedDiscovery discovery = discovery();
                RouterProcess router = startRouter(server, discovery)) {
            String response = request(router.port(), ClientTraffic.request("0-slow", CLIENT_TIMEOUT_SECONDS));
            assertTrue(response.endsWith(LAST_CHUNK), response + router.log());
        }
    }

    /** Guards against a request that a server reads slowly and whose error comes after its time. */
    @ParameterizedTest
    @ValueSource(ints = {0, 50, 400})
    void largeRequestsThatAServerReadsSlowlyAreAnsweredInTime(int readPauseMillis) throws Exception {
        try (ServerSocket server = startServer(socket -> {
            byte[] buffer = new byte[500];
            while (readPauseMillis > 0 && socket.getInputStream().read(buffer) >= 0) {
                TimeUnit.MILLISECONDS.sleep(readPauseMillis);
            }
            TimeUnit.SECONDS.sleep(60);
        });
                ScriptedDiscovery discovery = discovery();
                RouterProcess router = startRouter(server, discovery)) {
            int port = router.port();
            List<CompletableFuture<Double>> overdue = new ArrayList<>();
            for (int i = 0; i < LARGE_REQUESTS; i++) {
                String id = "0-large" + i;
                overdue.add(CompletableFuture.supplyAsync(() -> overdueSeconds(port, id)));
            }
            for (CompletableFuture<Double> seconds : overdue) {
                assertTrue(seconds.get() <= MAX_OVERDUE_SECONDS, seconds.get() + " s late\n" + router.log());
            }
        }
    }

    /** Sends a large request and returns how long after its timeout the error came. */
    private static double overdueSeconds(int port, String id) {
        byte[] request = ascii(new String(ClientTraffic.request(id, CLIENT_TIMEOUT_SECONDS),
                StandardCharsets.US_ASCII).replace("Content-Length: 2", "Content-Length: " + LARGE_BODY_BYTES)
                + " ".repeat(LARGE_BODY_BYTES - 2));
        long startNanos = System.nanoTime();
        try {
            String response = request(port, request);
            assertTrue(response.startsWith("HTTP/1.1 50"), response);
            return (System.nanoTime() - startNanos) / 1e9 - CLIENT_TIMEOUT_SECONDS;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A server that has hung for good: its stream ends within the 5 s after its last event. */
    @Test
    void streamOfASilentServerEndsInTime() throws Exception {
        try (ServerSocket server = startServer(socket -> {
            readRequest(socket);
            socket.getOutputStream().write(ascii(HEAD + chunk("data: first\n\n")));
            TimeUnit.SECONDS.sleep(60);
        });
                ScriptedDiscovery discovery = discovery();
                RouterProcess router = startRouter(server, discovery)) {
            int port = router.port();
            long startNanos = System.nanoTime();
            String response = request(port, ClientTraffic.request("0-hung", CLIENT_TIMEOUT_SECONDS));
            assertEquals(-1, response.indexOf(LAST_CHUNK));
            assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(5), router.log());
        }
    }
}
