package yewdock.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in that listens on a free port of this machine and serves each connection on a thread of its own.
 */
abstract class Server implements Closeable {
    private static final int BACKLOG = 512;

    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final String name;

    Server(String name) throws IOException {
        this.name = name;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    }

    final void begin() {
        thread(this::accept).start();
    }

    private Thread thread(Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                thread(() -> {
                    try {
                        serve(socket);
                    } catch (IOException e) {
                        // the other side went away, or the stand-in was closed
                    } finally {
                        shut(socket);
                    }
                }).start();
            } catch (IOException e) {
                // closed, or out of descriptors for a moment
            }
        }
    }

    abstract void serve(Socket socket) throws IOException;

    final void shut(Socket socket) {
        open.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // closed all the same
        }
    }

    /** Ends every connection with a reset, as a process that dies does. */
    final void resetAll() {
        for (Socket socket : open) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                // closed already
            }
            shut(socket);
        }
    }

    /** Where it listens. */
    public final String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public final void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // closed all the same
        }
        resetAll();
    }
}
