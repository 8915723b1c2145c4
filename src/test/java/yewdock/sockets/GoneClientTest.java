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

/** Clients that close their connections have gone: no attempt is begun for them any more. */
class GoneClientTest {
    private static final int CLIENTS = 30;
    private static final int BEHIND = 300 * 1024;

    private final Counters counters = new Counters();
    private final MinaTransport sockets = new MinaTransport(CLIENTS, 1_000_000);
    private ServerSocket silentServer;
    private Listening listening;

    /** A router whose servers take connections and say nothing. */
    @BeforeEach
    void serve() throws Exception {
        silentServer = new ServerSocket(0, CLIENTS, InetAddress.getByName("127.0.0.1"));
        String file = Files.readString(Path.of("src/test/resources/exchanges/config.json"))
                .replaceAll("127.0.0.1:900[12]", "127.0.0.1:" + silentServer.getLocalPort());
        Config config = Config.read(file, line -> { });
        Reducer desk = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(),
                counters,
                actions -> new GenerationRouter(config.settings(), 1, actions));
        ConnectionManager front = new ConnectionManager(config, desk, counters, sockets, sockets.clock(),
                line -> { });
        listening = Listening.start(sockets, front, desk);
    }

    @AfterEach
    void end() throws Exception {
        listening.stop();
        silentServer.close();
    }

    private Socket asks(String id) throws Exception {
        Socket client = new Socket();
        client.setSoTimeout(3_000);
        client.setTcpNoDelay(true);
        client.connect(listening.at(), 10_000);
        client.getOutputStream().write(("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\n"
                + "X-Correlation-Id: " + id + "\r\nX-Service-Class: chat\r\nX-Account: lalitpur-metro\r\n"
                + "X-Session-Key: 7f3a\r\nX-Time-Left: 8.000\r\n"
                + "X-Facts: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n"
                + "Content-Length: 16\r\n\r\n{\"model\":\"chat\"}").getBytes(StandardCharsets.US_ASCII));
        return client;
    }

    private long counted(String counter) throws Exception {
        CompletableFuture<String> all = new CompletableFuture<>();
        sockets.post(() -> all.complete(counters.toString()));
        return all.get(10, TimeUnit.SECONDS).lines().filter(l -> l.startsWith(counter + ' '))
                .mapToLong(l -> Long.parseLong(l.substring(counter.length() + 1))).sum();
    }

    /** While the router is busy, many ask and leave: their ends are not behind what they have asked. */
    @Test
    void aBurstOfLeavingClientsBeginsNoAttempts() throws Exception {
        CountDownLatch busy = new CountDownLatch(1);
        sockets.post(() -> {
            try {
                busy.await(30, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = asks("a" + i);
            client.shutdownOutput();
            clients.add(client);
        }
        for (Socket client : clients) {
            assertEquals(-1, client.getInputStream().read(), "its end is not seen");
        }
        long patience = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (sockets.urgentWaiting() < CLIENTS && System.nanoTime() < patience) {
            Thread.onSpinWait();
        }
        assertEquals(CLIENTS, sockets.urgentWaiting(), "ends that wait");
        busy.countDown();
        assertEquals(0, counted("lines.opened"), "connections were opened for clients that had gone");
        assertEquals(0, counted("answers.left_before"));
        for (Socket client : clients) {
            client.close();
        }
        Socket stays = asks("stays");
        silentServer.setSoTimeout(10_000);
        silentServer.accept().close();
        stays.close();
    }

    /** What lies unread behind an open request must not hide its client's end. */
    @Test
    void anEndBehindMuchThatWasSentAheadIsSeen() throws Exception {
        try (Socket client = asks("b1")) {
            awaitCounted("requests.taken");
            client.getOutputStream().write(new byte[BEHIND]);
            client.shutdownOutput();
            InputStream in = client.getInputStream();
            assertEquals(-1, in.read(), "was answered");
        }
        // the client sees its connection's end a moment before the desk does
        awaitCounted("answers.left_before");
    }

    private void awaitCounted(String counter) throws Exception {
        long patience = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (counted(counter) == 0 && System.nanoTime() < patience) {
            Thread.onSpinWait();
        }
        assertEquals(1, counted(counter));
    }
}
