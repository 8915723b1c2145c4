package yewdock.sockets;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import umberspread.GenerationRouter;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Reducer;
import yewdock.platform.Config;
import yewdock.platform.ConnectionManager;

/** Connections that wait in the listener's accept queue when it is closed must not be reset. */
class ListenerCloseTest {
    /** More than are accepted at once; the rest waits in the accept queue. */
    private static final int CLIENTS = 40;

    /** For their clients they are established; a reset would lose what the clients have sent. */
    @Test
    void queuedConnectionsAreServedWhenTheListenerCloses() throws Exception {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/exchanges/config.json")),
                line -> { });
        Counters counters = new Counters();
        Reducer reducer = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(), counters,
                actions -> new GenerationRouter(config.settings(), 1, actions));
        MinaTransport transport = new MinaTransport(0, 1_000_000);
        ConnectionManager manager = new ConnectionManager(config, reducer, counters, transport,
                transport.clock(), line -> { });
        ServingTransport serving = ServingTransport.start(transport, manager, reducer);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = new Socket();
            client.setSoTimeout(10_000);
            client.connect(serving.address(), 10_000);
            clients.add(client);
        }
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        transport.post(() -> {
            transport.stopAccepting();
            stopped.complete(null);
        });
        stopped.get(10, TimeUnit.SECONDS);
        for (Socket client : clients) {
            try (client) {
                client.getOutputStream().write("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n".getBytes(
                        StandardCharsets.US_ASCII));
                String answer = new String(client.getInputStream().readAllBytes(),
                        StandardCharsets.US_ASCII);
                assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
            }
        }
        serving.stop();
    }
}
