package yewdock.sockets;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import umberspread.GenerationRouter;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Reducer;
import yewdock.platform.Config;
import yewdock.platform.ConnectionManager;

/** Sockets that serve on a thread of their own, at a free port of this machine. */
record Listening(MinaTransport sockets, InetSocketAddress at, Thread serves) {
    static Listening start(MinaTransport sockets, ConnectionManager front, Reducer desk) throws Exception {
        CompletableFuture<String> address = new CompletableFuture<>();
        Thread serves = new Thread(() -> sockets.serveWithoutListening(() -> {
            front.start();
            try {
                address.complete(sockets.listenShared("127.0.0.1:0"));
            } catch (java.io.IOException e) {
                address.completeExceptionally(e);
            }
        }, front, desk));
        serves.setDaemon(true);
        serves.start();
        String[] parts = address.get(10, TimeUnit.SECONDS).split(":");
        return new Listening(sockets, new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), serves);
    }

    /** A router with this configuration. */
    static Listening start(MinaTransport sockets, String text) throws Exception {
        Config config = Config.read(text, line -> { });
        Counters counters = new Counters();
        Reducer desk = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(),
                counters,
                actions -> new GenerationRouter(config.settings(), 1, actions));
        return start(sockets, new ConnectionManager(config, desk, counters, sockets, sockets.clock(), line ->
                { }), desk);
    }

    /** Does this on the desk's thread, and waits until it is done. */
    void onDesk(Runnable work) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        sockets.post(() -> {
            work.run();
            done.complete(null);
        });
        done.get(10, TimeUnit.SECONDS);
    }

    void stop() throws InterruptedException {
        sockets.post(sockets::stop);
        serves.join(10_000);
    }
}
