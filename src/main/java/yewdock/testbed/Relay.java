package yewdock.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP relay between two instances that injects network faults: it can hold back the bytes of one direction
 * or both, as a partition does, delay them, or close all connections.
 */
public final class Relay implements Closeable {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private final InetSocketAddress target;
    private final ServerSocket listener;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private boolean blocksToTarget;
    private boolean blocksFromTarget;
    private long delayMillis;
    private volatile boolean closed;

    /** Relays connections from a free loopback port to the target. */
    public Relay(InetSocketAddress target) throws IOException {
        this.target = target;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(this::acceptLoop);
    }

    /** The port on which the relay listens. */
    public int port() {
        return listener.getLocalPort();
    }

    /**
     * Sets whether bytes sent to the target, and bytes sent by the target, are held back. Held bytes are kept
     * and passed on when the direction is unblocked.
     */
    public synchronized void block(boolean toTarget, boolean fromTarget) {
        blocksToTarget = toTarget;
        blocksFromTarget = fromTarget;
        notifyAll();
    }

    /** Delays each piece of data by this time from now on. */
    public synchronized void setDelayMillis(long millis) {
        delayMillis = millis;
    }

    /** Closes all connections at once. */
    public void resetConnections() {
        openSockets.forEach(Relay::close);
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptLoop() {
        while (!closed) {
            try {
                Socket from = listener.accept();
                openSockets.add(from);
                startThread(() -> relayConnection(from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void relayConnection(Socket from) {
        Socket to = new Socket();
        openSockets.add(to);
        try {
            awaitUnblocked(true);
            to.connect(target, CONNECT_TIMEOUT_MILLIS);
            to.setTcpNoDelay(true);
            from.setTcpNoDelay(true);
            startThread(() -> copyBytes(to, from, false));
            copyBytes(from, to, true);
        } catch (IOException e) {
            closeBoth(from, to);
        }
    }

    private synchronized void awaitUnblocked(boolean toTarget) throws IOException {
        try {
            while (!closed && (toTarget ? blocksToTarget : blocksFromTarget)) {
                wait();
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private synchronized long delayMillis() {
        return delayMillis;
    }

    private void copyBytes(Socket from, Socket to, boolean toTarget) {
        byte[] bytes = new byte[64 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                awaitUnblocked(toTarget);
                long waitMillis = delayMillis();
                if (waitMillis > 0) {
                    Thread.sleep(waitMillis);
                }
                out.write(bytes, 0, count);
            }
        } catch (IOException e) {
            // one side closed its connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        closeBoth(from, to);
    }

    private void closeBoth(Socket a, Socket b) {
        close(a);
        close(b);
        openSockets.remove(a);
        openSockets.remove(b);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // nothing is left to release
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            listener.close();
        } catch (IOException e) {
            // nothing is left to release
        }
        block(false, false);
        resetConnections();
    }
}
