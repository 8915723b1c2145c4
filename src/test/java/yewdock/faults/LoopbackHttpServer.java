package yewdock.faults;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on loopback that reads one request after the other from each connection and responds to it. */
abstract class LoopbackHttpServer implements Closeable {
    private static final int BACKLOG = 256;

    private final String name;
    private final ServerSocket listener;
    private final Set<Socket> openConnections = ConcurrentHashMap.newKeySet();

    /** Listens; connections are served from {@link #start} on. */
    LoopbackHttpServer(String name) throws IOException {
        this.name = name;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    }

    /** Serves connections. */
    final void start() {
        startThread(this::acceptConnections);
    }

    final String name() {
        return name;
    }

    final String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /**
     * Responds to one request, which has been read to its end; returns false to close the connection.
     *
     * @param firstByteNanos when the request's first byte was read, by System.nanoTime
     */
    abstract boolean respond(Socket socket, String head, long firstByteNanos)
            throws IOException, InterruptedException;

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                openConnections.add(socket);
                startThread(() -> serve(socket));
            } catch (IOException e) {
                // the listener was closed
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (int first = in.read(); first >= 0; first = in.read()) {
                long firstByteNanos = System.nanoTime();
                String head = ClientTraffic.readHead(in, first);
                in.readNBytes(ClientTraffic.contentLength(head));
                if (!respond(socket, head, firstByteNanos)) {
                    return;
                }
            }
        } catch (IOException e) {
            // the router closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            openConnections.remove(socket);
        }
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "server");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : openConnections) {
            socket.close();
        }
    }
}
