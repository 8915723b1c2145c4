package yewdock.sockets;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import yewdock.desk.Desk;
import yewdock.platform.Front;

/** Sockets that serve on a thread of their own, at a free port of this machine. */
record Listening(Sockets sockets, InetSocketAddress at, Thread serves) {
    static Listening start(Sockets sockets, Front front, Desk desk) throws Exception {
        CompletableFuture<String> address = new CompletableFuture<>();
        Thread serves = new Thread(() -> sockets.serveLater(() -> {
            front.start();
            try {
                address.complete(sockets.listenBeside("127.0.0.1:0"));
            } catch (java.io.IOException e) {
                address.completeExceptionally(e);
            }
        }, front, desk));
        serves.setDaemon(true);
        serves.start();
        String[] parts = address.get(10, TimeUnit.SECONDS).split(":");
        return new Listening(sockets, new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), serves);
    }

    void stop() throws InterruptedException {
        sockets.post(sockets::stop);
        serves.join(10_000);
    }
}
