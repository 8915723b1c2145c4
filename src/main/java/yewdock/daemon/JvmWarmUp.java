package yewdock.daemon;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.function.Function;
import umberspread.GenerationRouter;
import umberspread.Routing.Lifecycle;
import umberspread.Routing.ServerState;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.EndpointList;
import yewdock.core.ModelServer;
import yewdock.core.Reducer;
import yewdock.platform.Config;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;
import yewdock.platform.ConnectionManager;
import yewdock.platform.NoOpConnection;
import yewdock.platform.Transport;

/**
 * Warms up the JVM before a generation serves, so that its first clients don't wait for class loading and
 * compilation. Plays synthetic requests through a platform, reducer and module of its own, without sockets;
 * the state of the generation itself is not affected.
 */
final class JvmWarmUp implements Transport {
    private static final int SERVERS = 4;
    private static final long REQUEST_INTERVAL_MICROS = 60_000;
    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final List<String> EVENTS = List.of("data: {\"choices\":[{\"index\":0}]}\n\n",
            "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":1}}}\n\n",
            "data: [DONE]\n\n",
            ": X-Backend-Load: inflight=1,qps=0,eps=0,x1=0\n\n");

    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final Counters counters = new Counters();
    private final Config config;
    private final ConnectionManager connectionManager;
    private long nowMicros = 1;

    private JvmWarmUp(Config config) {
        this.config = config;
        Reducer reducer = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(), counters, actions -> new GenerationRouter(config.settings(), 1, actions));
        connectionManager = new ConnectionManager(config, reducer, counters, this, () -> nowMicros,
                line -> { });
    }

    /** Plays this number of requests; returns how many were served. */
    static long run(Config config, int requests) {
        JvmWarmUp warmUp = new JvmWarmUp(config);
        List<ModelServer> servers = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            servers.add(new ModelServer("s-" + i, "127.0.0.1:" + i, new ServerState(i, 0, 0, 0, 1,
                    Lifecycle.READY, 0)));
        }
        warmUp.connectionManager.start(new EndpointList(1, true, servers));
        for (int i = 0; i < requests; i++) {
            warmUp.playRequest(i);
        }
        return warmUp.counters.get("answers.served");
    }

    private void playRequest(int number) {
        nowMicros += REQUEST_INTERVAL_MICROS;
        ConnectionHandler client = connectionManager.accept(new SimulatedConnection());
        client.onReceived(ByteBuffer.wrap(request(number).getBytes(StandardCharsets.US_ASCII)));
        for (Runnable next = tasks.poll(); next != null; next = tasks.poll()) {
            next.run();
        }
        client.onClosed();
    }

    private String request(int number) {
        String account = config.settings().tenants().isEmpty() ? "" : "X-Account: "
                + config.settings().tenants().get(0).name() + "\r\n";
        int classes = config.settings().classes().size();
        return String.format(Locale.ROOT, "POST /v1/chat/completions HTTP/1.1\r\nX-Correlation-Id: %x\r\n"
                + "X-Service-Class: %s\r\n%sX-Session-Key: %x\r\nX-Time-Left: 4.000\r\nX-Facts: prefix=%x,"
                + "prompt_len=100,prefix_len=50,max_out=20\r\nContent-Length: 2\r\n\r\n{}", number + 1,
                config.settings().classes().get(number % classes).name(), account, number + 1,
                number % 9 + 1);
    }

    /** Opens a simulated server connection that answers every write; a discovery connection never opens. */
    @Override
    public <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeSide) {
        SimulatedConnection connection = new SimulatedConnection();
        S handler = makeSide.apply(connection);
        if (!address.equals(config.discoveryAddress())) {
            connection.serverHandler = handler;
            tasks.add(handler::onConnected);
        }
        return handler;
    }

    @Override
    public void stop() {
        // not used
    }

    private final class SimulatedConnection extends NoOpConnection {
        private ConnectionHandler serverHandler;

        @Override
        public void write(ByteBuffer bytes) {
            ConnectionHandler handler = serverHandler;
            if (handler == null) {
                return;
            }
            int size = bytes.remaining();
            tasks.add(() -> {
                handler.onWritten(size);
                handler.onReceived(bytes(RESPONSE_HEAD));
                EVENTS.forEach(e -> handler.onReceived(bytes(Integer.toHexString(e.length()) + "\r\n" + e
                        + "\r\n")));
                handler.onReceived(bytes("0\r\n\r\n"));
            });
        }

        private ByteBuffer bytes(String text) {
            return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void close() {
            if (serverHandler != null) {
                tasks.add(serverHandler::onClosed);
            }
        }
    }
}
