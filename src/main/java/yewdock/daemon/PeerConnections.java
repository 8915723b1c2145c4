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
 * The connections to the other instances. Of two instances the one whose name sorts first connects to the
 * other. Each connection has its own threads and a read rate limit from the settings, so a peer that floods
 * this instance uses bounded resources and delays no request.
 */
final class PeerConnections implements Closeable {
    /** Receives the events of the connections, on their threads. */
    interface PeerHandler {
        /** A connection to the peer is established. */
        void connected(String peer);

        /** The peer has sent a frame. */
        void frameReceived(String peer, PeerFrame frame);

        /** The connection to the peer is lost, for this reason. */
        void disconnected(String peer, String why);
    }

    private static final int MAX_FRAME_BYTES = 4 << 20;
    /** Longest first frame, which any process that connects may send. */
    private static final int MAX_HELLO_BYTES = 16 * 1024;
    private static final int MAX_QUEUED_FRAMES = 1_000;
    private static final long MAX_QUEUED_BYTES = 32 << 20;
    private static final int MAX_UNIDENTIFIED = 16;
    private static final int HELLO_TIMEOUT_MILLIS = 2_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long RECONNECT_MILLIS = 500;
    private static final long FLUSH_TIMEOUT_MILLIS = 200;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private final OperatorSettings.ReplicationSettings settings;
    private final PeerHandler handler;
    private final Map<String, FramedConnection<PeerFrame>> connections = new ConcurrentHashMap<>();
    private final Semaphore unidentified = new Semaphore(MAX_UNIDENTIFIED);
    private final ServerSocketChannel listener;
    private volatile boolean closed;

    /** Listens, and starts connecting to peers. */
    PeerConnections(OperatorSettings.ReplicationSettings settings, PeerHandler handler) throws IOException {
        this.settings = settings;
        this.handler = handler;
        listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        try {
            listener.bind(Addresses.parse(settings.listen()));
        } catch (IOException e) {
            listener.close();
            throw new IOException("copies.listen: " + settings.listen() + ": " + e.getMessage(), e);
        }
        startThread("peers", new AcceptLoop(listener::accept, "peers.broken", this::accepted));
        settings.peers().forEach((name, address) -> {
            if (settings.instance().compareTo(name) < 0) {
                startThread("call " + name, () -> keepConnected(name, Addresses.parse(address)));
            }
        });
    }

    private static void startThread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    private FramedConnection<PeerFrame> wrap(SocketChannel channel) throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        return new FramedConnection<>(channel, PeerFrame.parser(), MAX_FRAME_BYTES, MAX_QUEUED_FRAMES,
                MAX_QUEUED_BYTES, settings.readMegabytesPerSecond() * BYTES_PER_MEGABYTE);
    }

    private void keepConnected(String name, InetSocketAddress address) {
        while (!closed) {
            if (!connections.containsKey(name)) {
                try {
                    SocketChannel channel = SocketChannel.open();
                    try {
                        channel.socket().connect(address, CONNECT_TIMEOUT_MILLIS);
                        register(name, wrap(channel));
                    } catch (IOException e) {
                        channel.close();
                    }
                } catch (IOException e) {
                    EventLog.warn("peer.unreachable", "peer", name, "why", e.getMessage());
                }
            }
            try {
                TimeUnit.MILLISECONDS.sleep(RECONNECT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void accepted(SocketChannel channel) {
        if (unidentified.tryAcquire()) {
            startThread("stranger", () -> identify(channel));
            return;
        }
        try {
            channel.close();
        } catch (IOException e) {
            EventLog.warn("peers.broken", "why", e.getMessage());
        }
    }

    /** Identifies the peer by its first frame; closes the connection if that does not come in time. */
    private void identify(SocketChannel channel) {
        Thread timeout = new Thread(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(HELLO_TIMEOUT_MILLIS);
                channel.close();
            } catch (InterruptedException | IOException e) {
                // the first frame has come, or the channel is closed anyway
            }
        }, "patience");
        timeout.setDaemon(true);
        timeout.start();
        try {
            FramedConnection<PeerFrame> connection = wrap(channel);
            PeerFrame first = connection.readFirst(MAX_HELLO_BYTES);
            timeout.interrupt();
            String name = first.getHello().getInstance();
            if (!settings.peers().containsKey(name) || settings.instance().compareTo(name) < 0) {
                EventLog.warn("peer.stranger", "instance", name, "from", channel.getRemoteAddress());
                connection.close();
            } else {
                FramedConnection<PeerFrame> previous = connections.get(name);
                if (previous != null) {
                    // the peer reconnects, so the connection that still seems open here is dead
                    previous.close();
                    connections.remove(name, previous);
                    handler.disconnected(name, "the peer has reconnected");
                }
                register(name, connection);
                handler.frameReceived(name, first);
            }
        } catch (IOException | RuntimeException e) {
            timeout.interrupt();
            close(channel);
        } finally {
            unidentified.release();
        }
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // the channel counts as closed anyway
        }
    }

    private void register(String name, FramedConnection<PeerFrame> connection) {
        connections.put(name, connection);
        handler.connected(name);
        connection.start("peer " + name, frame -> {
            if (connections.get(name) == connection) {
                handler.frameReceived(name, frame);
            }
        }, why -> {
            if (connections.remove(name, connection)) {
                handler.disconnected(name, why);
            }
        });
    }

    /** Whether a connection to the peer is open. */
    boolean isConnected(String peer) {
        return connections.containsKey(peer);
    }

    /** Sends a frame to the peer; drops it if there is no connection. */
    void send(String peer, PeerFrame frame) {
        FramedConnection<PeerFrame> connection = connections.get(peer);
        if (connection != null) {
            connection.send(frame);
        }
    }

    /**
     * Closes a connection after writing its queued frames; {@link PeerHandler#disconnected} is not called for
     * it.
     */
    void close(String peer) {
        FramedConnection<PeerFrame> connection = connections.remove(peer);
        if (connection != null) {
            startThread("flush and close", () -> connection.flushAndClose(FLUSH_TIMEOUT_MILLIS));
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            listener.close();
        } catch (IOException e) {
            // the channel counts as closed anyway
        }
        connections.values().forEach(FramedConnection::close);
    }
}
