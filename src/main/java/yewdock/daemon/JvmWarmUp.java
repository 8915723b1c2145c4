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
import yewdock.platform.Transport;

/**
 * Requests played through a front, a desk and a module of their own, with connections that are none, before a
 * generation serves: its first clients should not wait while its code is loaded and compiled. Nothing that
 * happens here is known to the generation itself.
 */
final class JvmWarmUp implements Transport {
    private static final int BOXES = 4;
    private static final long STEP = 60_000;
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final List<String> EVENTS = List.of("data: {\"choices\":[{\"index\":0}]}\n\n",
            "data: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":1}}}\n\n",
            ": X-Backend-Load: inflight=1,qps=0,eps=0,x1=0\n\n");

    private final Queue<Runnable> due = new ArrayDeque<>();
    private final Counters counters = new Counters();
    private final Config config;
    private final ConnectionManager front;
    private long now = 1;

    private JvmWarmUp(Config config) {
        this.config = config;
        Reducer desk = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(),
                counters, actions -> new GenerationRouter(config.settings(), 1, actions));
        front = new ConnectionManager(config, desk, counters, this, () -> now, line -> { });
    }

    /** Plays so many requests; returns how many were served. */
    static long play(Config config, int requests) {
        JvmWarmUp rehearsal = new JvmWarmUp(config);
        List<ModelServer> boxes = new ArrayList<>();
        for (int i = 1; i <= BOXES; i++) {
            boxes.add(new ModelServer("s-" + i, "127.0.0.1:" + i, new ServerState(i, 0, 0, 0, 1,
                    Lifecycle.READY,
                    0)));
        }
        rehearsal.front.start(new EndpointList(1, true, boxes));
        for (int i = 0; i < requests; i++) {
            rehearsal.one(i);
        }
        return rehearsal.counters.get("answers.served");
    }

    private void one(int number) {
        now += STEP;
        ConnectionHandler client = front.accept(new Nowhere());
        client.onReceived(ByteBuffer.wrap(request(number).getBytes(StandardCharsets.US_ASCII)));
        for (Runnable next = due.poll(); next != null; next = due.poll()) {
            next.run();
        }
        client.onClosed();
    }

    private String request(int number) {
        String account = config.settings().tenants().isEmpty() ? "" : "X-Account: "
                + config.settings().tenants().get(0).name() + "\r\n";
        int kinds = config.settings().classes().size();
        return String.format(Locale.ROOT, "POST /v1/chat/completions HTTP/1.1\r\nX-Correlation-Id: %x\r\n"
                + "X-Service-Class: %s\r\n%sX-Session-Key: %x\r\nX-Time-Left: 4.000\r\nX-Facts: prefix=%x,"
                + "prompt_len=100,prefix_len=50,max_out=20\r\nContent-Length: 2\r\n\r\n{}", number + 1,
                config.settings().classes().get(number % kinds).name(), account, number + 1, number % 9 + 1);
    }

    /** A box's connection, which answers what is written to it; the list's never comes up. */
    @Override
    public <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeSide) {
        Nowhere wire = new Nowhere();
        S side = makeSide.apply(wire);
        if (!address.equals(config.discoveryAddress())) {
            wire.answers = side;
            due.add(side::onConnected);
        }
        return side;
    }

    @Override
    public void stop() {
        // nobody asks for it
    }

    private final class Nowhere extends NoOpConnection {
        private ConnectionHandler answers;

        @Override
        public void write(ByteBuffer bytes) {
            ConnectionHandler box = answers;
            if (box == null) {
                return;
            }
            int size = bytes.remaining();
            due.add(() -> {
                box.onWritten(size);
                box.onReceived(bytes(ANSWER));
                EVENTS.forEach(e -> box.onReceived(bytes(Integer.toHexString(e.length()) + "\r\n" + e
                        + "\r\n")));
                box.onReceived(bytes("0\r\n\r\n"));
            });
        }

        private ByteBuffer bytes(String text) {
            return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void close() {
            if (answers != null) {
                due.add(answers::onClosed);
            }
        }
    }
}
