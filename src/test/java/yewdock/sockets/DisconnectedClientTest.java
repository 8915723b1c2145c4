package yewdock.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import umberspread.GenerationRouter;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Reducer;
import yewdock.platform.Config;
import yewdock.platform.ConnectionManager;

/** No attempt is started for a client that has closed its connection. */
class DisconnectedClientTest {
    private static final int CLIENTS = 30;
    private static final int PIPELINED_BYTES = 300 * 1024;

    private final Counters counters = new Counters();
    private final MinaTransport transport = new MinaTransport(CLIENTS, 1_000_000);
    private ServerSocket silentServer;
    private ServingTransport serving;

    /** Starts a router whose servers accept connections and never respond. */
    @BeforeEach
    void start() throws Exception {
        silentServer = new ServerSocket(0, CLIENTS, InetAddress.getByName("127.0.0.1"));
        String file = Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replaceAll("127.0.0.1:900[12]", "127.0.0.1:" + silentServer.getLocalPort());
        Config config = Config.read(file, line -> { });
        Reducer reducer = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(), counters,
                actions -> new GenerationRouter(config.settings(), 1, actions));
        ConnectionManager manager = new ConnectionManager(config, reducer, counters, transport,
                transport.clock(), line -> { });
        serving = ServingTransport.start(transport, manager, reducer);
    }

    @AfterEach
    void stop() throws Exception {
        serving.stop();
        silentServer.close();
    }

    private Socket sendRequest(String id) throws Exception {
        Socket client = new Socket();
        client.setSoTimeout(3_000);
        client.setTcpNoDelay(true);
        client.connect(serving.address(), 10_000);
        client.getOutputStream().write(("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\n"
                + "X-Correlation-Id: " + id + "\r\nX-Service-Class: chat\r\nX-Account: lalitpur-metro\r\n"
                + "X-Session-Key: 7f3a\r\nX-Time-Left: 8.000\r\n"
                + "X-Facts: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n"
                + "Content-Length: 16\r\n\r\n{\"model\":\"chat\"}").getBytes(StandardCharsets.US_ASCII));
        return client;
    }

    private long counterValue(String counter) throws Exception {
        CompletableFuture<String> all = new CompletableFuture<>();
        transport.post(() -> all.complete(counters.toString()));
        return all.get(10, TimeUnit.SECONDS).lines().filter(l -> l.startsWith(counter + ' '))
                .mapToLong(l -> Long.parseLong(l.substring(counter.length() + 1))).sum();
    }

    /** Many clients send a request and disconnect while the dispatcher is busy: the disconnects go first. */
    @Test
    void disconnectedClientsCauseNoAttempts() throws Exception {
        CountDownLatch blocked = serving.blockDispatcher();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = sendRequest("a" + i);
            client.shutdownOutput();
            clients.add(client);
        }
        for (Socket client : clients) {
            assertEquals(-1, client.getInputStream().read(), "the router did not close its side");
        }
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (transport.urgentWaiting() < CLIENTS && System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
        assertEquals(CLIENTS, transport.urgentWaiting(), "queued disconnects");
        blocked.countDown();
        assertEquals(0, counterValue("lines.opened"), "server connections were opened for nobody");
        assertEquals(0, counterValue("answers.left_before"));
        for (Socket client : clients) {
            client.close();
        }
        Socket staying = sendRequest("stays");
        silentServer.setSoTimeout(10_000);
        silentServer.accept().close();
        staying.close();
    }

    /** Unread bytes behind an open request must not hide that its client disconnects. */
    @Test
    void disconnectBehindPipelinedBytesIsNoticed() throws Exception {
        try (Socket client = sendRequest("b1")) {
            awaitOne("requests.taken");
            client.getOutputStream().write(new byte[PIPELINED_BYTES]);
            client.shutdownOutput();
            InputStream in = client.getInputStream();
            assertEquals(-1, in.read(), "got a response");
        }
        // the client sees the end of its connection a moment before the reducer does
        awaitOne("answers.left_before");
    }

    private void awaitOne(String counter) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (counterValue(counter) == 0 && System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
        assertEquals(1, counterValue(counter));
    }
}
