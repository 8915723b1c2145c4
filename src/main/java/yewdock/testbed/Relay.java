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
 * What lies between two instances: it passes bytes on, and on demand holds them back in one direction or
 * both, as a network does that loses what is sent, passes them on late, or resets all connections.
 */
public final class Relay implements Closeable {
    private static final int CONNECT_MILLIS = 2_000;
    private final InetSocketAddress target;
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private boolean holdsThere;
    private boolean holdsBack;
    private long lateMillis;
    private volatile boolean closed;

    /** To what listens there, from a port of its own. */
    public Relay(InetSocketAddress target) throws IOException {
        this.target = target;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        begin(this::accept);
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** Holds back what is sent to the target, and what the target sends; false lets it go on. */
    public synchronized void hold(boolean there, boolean back) {
        holdsThere = there;
        holdsBack = back;
        notifyAll();
    }

    /** Each piece is so much later from now on. */
    public synchronized void late(long millis) {
        lateMillis = millis;
    }

    /** All connections end at once. */
    public void reset() {
        open.forEach(Relay::close);
    }

    private static void begin(Runnable work) {
        Thread thread = new Thread(work, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket from = listener.accept();
                open.add(from);
                begin(() -> connect(from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket from) {
        Socket to = new Socket();
        open.add(to);
        try {
            await(true);
            to.connect(target, CONNECT_MILLIS);
            to.setTcpNoDelay(true);
            from.setTcpNoDelay(true);
            begin(() -> pass(to, from, false));
            pass(from, to, true);
        } catch (IOException e) {
            end(from, to);
        }
    }

    private synchronized void await(boolean there) throws IOException {
        try {
            while (!closed && (there ? holdsThere : holdsBack)) {
                wait();
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private synchronized long late() {
        return lateMillis;
    }

    private void pass(Socket from, Socket to, boolean there) {
        byte[] bytes = new byte[64 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                await(there);
                long wait = late();
                if (wait > 0) {
                    Thread.sleep(wait);
                }
                out.write(bytes, 0, n);
            }
        } catch (IOException e) {
            // one side is gone
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        end(from, to);
    }

    private void end(Socket a, Socket b) {
        close(a);
        close(b);
        open.remove(a);
        open.remove(b);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // closed all the same
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
        hold(false, false);
        reset();
    }
}
