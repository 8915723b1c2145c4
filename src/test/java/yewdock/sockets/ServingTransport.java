package yewdock.sockets;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import umberspread.GenerationRouter;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Reducer;
import yewdock.platform.Config;
import yewdock.platform.ConnectionManager;

/** A transport that serves on a thread of its own, at a free local port. */
record ServingTransport(MinaTransport transport, InetSocketAddress address, Thread thread) {
    /** Starts to serve and waits until the port is bound. */
    static ServingTransport start(MinaTransport transport, ConnectionManager manager, Reducer reducer)
            throws Exception {
        CompletableFuture<String> bound = new CompletableFuture<>();
        Thread thread = new Thread(() -> transport.serveWithoutListening(() -> {
            manager.start();
            try {
                bound.complete(transport.listenShared("127.0.0.1:0"));
            } catch (java.io.IOException e) {
                bound.completeExceptionally(e);
            }
        }, manager, reducer));
        thread.setDaemon(true);
        thread.start();
        String[] parts = bound.get(10, TimeUnit.SECONDS).split(":");
        return new ServingTransport(transport, new InetSocketAddress(parts[0], Integer.parseInt(parts[1])),
                thread);
    }

    /** Starts a router with this configuration. */
    static ServingTransport start(MinaTransport transport, String configuration) throws Exception {
        Config config = Config.read(configuration, line -> { });
        Counters counters = new Counters();
        Reducer reducer = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(), counters,
                actions -> new GenerationRouter(config.settings(), 1, actions));
        return start(transport, new ConnectionManager(config, reducer, counters, transport,
                transport.clock(), line -> { }), reducer);
    }

    /** Runs the task on the dispatcher's thread and waits until it is done. */
    void onDispatcher(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        transport.post(() -> {
            task.run();
            done.complete(null);
        });
        done.get(10, TimeUnit.SECONDS);
    }

    /** Blocks the dispatcher until the returned latch is counted down, for 30 s at most. */
    CountDownLatch blockDispatcher() throws InterruptedException {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        transport.post(() -> {
            started.countDown();
            try {
                release.await(30, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(started.await(10, TimeUnit.SECONDS), "the dispatcher did not become busy");
        return release;
    }

    void stop() throws InterruptedException {
        transport.post(transport::stop);
        thread.join(10_000);
    }
}
