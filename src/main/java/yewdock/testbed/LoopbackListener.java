package yewdock.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Base class of the stub servers: listens on a free loopback port and serves each connection on a thread of
 * its own.
 */
abstract class LoopbackListener implements Closeable {
    private static final int BACKLOG = 512;

    private final ServerSocket listener;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private final String name;

    /** Opens the port; connections are accepted from {@link #startAccepting} on. */
    LoopbackListener(String name) throws IOException {
        this.name = name;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    }

    /** Starts the accepting thread; subclasses call it once their fields are set. */
    final void startAccepting() {
        newThread(this::acceptLoop).start();
    }

    private Thread newThread(Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }

    private void acceptLoop() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                openSockets.add(socket);
                newThread(() -> {
                    try {
                        serve(socket);
                    } catch (IOException e) {
                        // the client went away, or the listener was closed
                    } finally {
                        closeSocket(socket);
                    }
                }).start();
            } catch (IOException e) {
                // the listener was closed, or the process is out of file descriptors for a moment
            }
        }
    }

    /** Serves one connection; it is closed when this returns or throws. */
    abstract void serve(Socket socket) throws IOException;

    /** Closes one connection and forgets it. */
    final void closeSocket(Socket socket) {
        openSockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // nothing is left to release
        }
    }

    /** Closes every connection with a TCP reset, as the kernel does for a process that dies. */
    final void resetAll() {
        for (Socket socket : openSockets) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                // closed already
            }
            closeSocket(socket);
        }
    }

    /** The address on which it listens, as host:port. */
    public final String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public final void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // nothing is left to release
        }
        resetAll();
    }
}
