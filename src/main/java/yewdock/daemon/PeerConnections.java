package yewdock.daemon;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import yewdock.logging.EventLog;
import yewdock.platform.Addresses;
import yewdock.settings.OperatorSettings;
import yewdock.wire.PeerFrame;

/**
 * The connections to the other instances. Of two the one whose name comes first calls the other. Each has
 * threads of its own and is read no faster than the settings allow, so that a peer that sends without end
 * costs what it is allowed to and no request waits for it.
 */
final class PeerConnections implements Closeable {
    /** What is done with what comes; called on the connections' threads. */
    interface PeerHandler {
        void up(String peer);

        void heard(String peer, PeerFrame frame);

        void down(String peer, String why);
    }

    private static final int MOST_FRAME = 4 << 20;
    private static final int MOST_WAITING = 1_000;
    private static final int MOST_STRANGERS = 16;
    private static final int FIRST_MILLIS = 2_000;
    private static final int CONNECT_MILLIS = 2_000;
    private static final long REDIAL_MILLIS = 500;
    private static final long LAST_WORDS_MILLIS = 200;
    private static final double MEGA = 1e6;

    private final OperatorSettings.ReplicationSettings settings;
    private final PeerHandler hearer;
    private final Map<String, FramedConnection<PeerFrame>> links = new ConcurrentHashMap<>();
    private final Semaphore strangers = new Semaphore(MOST_STRANGERS);
    private final ServerSocketChannel listener;
    private volatile boolean closed;

    /** Listens, and begins to call. */
    PeerConnections(OperatorSettings.ReplicationSettings settings, PeerHandler hearer) throws IOException {
        this.settings = settings;
        this.hearer = hearer;
        listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        try {
            listener.bind(Addresses.parse(settings.listen()));
        } catch (IOException e) {
            listener.close();
            throw new IOException("copies.listen: " + settings.listen() + ": " + e.getMessage(), e);
        }
        begin("peers", this::accept);
        settings.peers().forEach((name, address) -> {
            if (settings.instance().compareTo(name) < 0) {
                begin("call " + name, () -> call(name, Addresses.parse(address)));
            }
        });
    }

    private static void begin(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private FramedConnection<PeerFrame> framed(SocketChannel channel) throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        return new FramedConnection<>(channel, PeerFrame.parser(), MOST_FRAME, MOST_WAITING,
                settings.readMegabytesPerSecond() * MEGA);
    }

    private void call(String name, InetSocketAddress address) {
        while (!closed) {
            if (!links.containsKey(name)) {
                try {
                    SocketChannel channel = SocketChannel.open();
                    try {
                        channel.socket().connect(address, CONNECT_MILLIS);
                        take(name, framed(channel));
                    } catch (IOException e) {
                        channel.close();
                    }
                } catch (IOException e) {
                    EventLog.warn("peer.unreachable", "peer", name, "why", e.getMessage());
                }
            }
            try {
                TimeUnit.MILLISECONDS.sleep(REDIAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void accept() {
        while (!closed) {
            try {
                SocketChannel channel = listener.accept();
                if (strangers.tryAcquire()) {
                    begin("stranger", () -> greet(channel));
                } else {
                    channel.close();
                }
            } catch (IOException e) {
                if (!closed) {
                    EventLog.warn("peers.broken", "why", e.getMessage());
                    return;
                }
            }
        }
    }

    /** The first frame tells whose connection it is; one that doesn't come in time ends it. */
    private void greet(SocketChannel channel) {
        Thread patience = new Thread(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(FIRST_MILLIS);
                channel.close();
            } catch (InterruptedException | IOException e) {
                // it has come, or is closed anyway
            }
        }, "patience");
        patience.setDaemon(true);
        patience.start();
        try {
            FramedConnection<PeerFrame> link = framed(channel);
            PeerFrame first = link.readFirst();
            patience.interrupt();
            String name = first.getHello().getInstance();
            if (!settings.peers().containsKey(name) || settings.instance().compareTo(name) < 0) {
                EventLog.warn("peer.stranger", "instance", name, "from", channel.getRemoteAddress());
                link.close();
            } else {
                FramedConnection<PeerFrame> before = links.get(name);
                if (before != null) {
                    // it calls anew, so it has lost the connection that seems to stand here
                    before.close();
                    links.remove(name, before);
                    hearer.down(name, "it has called anew");
                }
                take(name, link);
                hearer.heard(name, first);
            }
        } catch (IOException | RuntimeException e) {
            patience.interrupt();
            close(channel);
        } finally {
            strangers.release();
        }
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // closed all the same
        }
    }

    private void take(String name, FramedConnection<PeerFrame> link) {
        links.put(name, link);
        hearer.up(name);
        link.start("peer " + name, frame -> {
            if (links.get(name) == link) {
                hearer.heard(name, frame);
            }
        }, why -> {
            if (links.remove(name, link)) {
                hearer.down(name, why);
            }
        });
    }

    /** Whether a connection to it stands. */
    boolean up(String peer) {
        return links.containsKey(peer);
    }

    void send(String peer, PeerFrame frame) {
        FramedConnection<PeerFrame> link = links.get(peer);
        if (link != null) {
            link.send(frame);
        }
    }

    /** Closes a connection once what was sent over it is written; the caller knows that it is down. */
    void close(String peer) {
        FramedConnection<PeerFrame> link = links.remove(peer);
        if (link != null) {
            begin("last words", () -> link.flushAndClose(LAST_WORDS_MILLIS));
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            listener.close();
        } catch (IOException e) {
            // closed all the same
        }
        links.values().forEach(FramedConnection::close);
    }
}
