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

/** A transport that serves on a thread of its own, at a free local port. */
record Listening(MinaTransport sockets, InetSocketAddress address, Thread thread) {
    /** Starts to serve and waits until the port is bound. */
    static Listening start(MinaTransport sockets, ConnectionManager front, Reducer desk) throws Exception {
        CompletableFuture<String> bound = new CompletableFuture<>();
        Thread thread = new Thread(() -> sockets.serveWithoutListening(() -> {
            front.start();
            try {
                bound.complete(sockets.listenShared("127.0.0.1:0"));
            } catch (java.io.IOException e) {
                bound.completeExceptionally(e);
            }
        }, front, desk));
        thread.setDaemon(true);
        thread.start();
        String[] parts = bound.get(10, TimeUnit.SECONDS).split(":");
        return new Listening(sockets, new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), thread);
    }

    /** Starts a router with this configuration. */
    static Listening start(MinaTransport sockets, String configuration) throws Exception {
        Config config = Config.read(configuration, line -> { });
        Counters counters = new Counters();
        Reducer desk = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(), counters,
                actions -> new GenerationRouter(config.settings(), 1, actions));
        return start(sockets, new ConnectionManager(config, desk, counters, sockets, sockets.clock(), line ->
                { }), desk);
    }

    /** Runs the task on the dispatcher's thread and waits until it is done. */
    void onDispatcher(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        sockets.post(() -> {
            task.run();
            done.complete(null);
        });
        done.get(10, TimeUnit.SECONDS);
    }

    void stop() throws InterruptedException {
        sockets.post(sockets::stop);
        thread.join(10_000);
    }
}
