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

/** The listener's end. */
class LetGoTest {
    /** More than are accepted while there is no room: the rest waits in the listener's queue. */
    private static final int CLIENTS = 40;

    /** Their clients take them for made; a reset would lose what they have sent. */
    @Test
    void whatWaitsInTheQueueIsServedWhenTheListenerIsLetGo() throws Exception {
        Config config = Config.read(Files.readString(Path.of("src/test/resources/exchanges/config.json")),
                line -> { });
        Counters counters = new Counters();
        Reducer desk = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(),
                counters,
                actions -> new GenerationRouter(config.settings(), 1, actions));
        MinaTransport sockets = new MinaTransport(0, 1_000_000);
        ConnectionManager front = new ConnectionManager(config, desk, counters, sockets, sockets.clock(),
                line -> { });
        Listening listening = Listening.start(sockets, front, desk);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = new Socket();
            client.setSoTimeout(10_000);
            client.connect(listening.at(), 10_000);
            clients.add(client);
        }
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        sockets.post(() -> {
            sockets.stopAccepting();
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
        listening.stop();
    }
}
