package yewdock.faults;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** A language-model server that tells of each attempt and when its first byte came, and answers at once. */
final class RecordingServer implements Closeable {
    private static final int BACKLOG = 256;
    private static final byte[] ANSWER = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\n0\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);

    /** An attempt as the server saw it; times are System.nanoTime's. */
    record Attempt(String server, String head, long firstByteAt) {
        /** The id that the client gave its request. */
        String requestId() {
            return Traffic.field(head, "x-correlation-id");
        }

        /** How many seconds the router says that its client will wait. */
        double timeLeft() {
            return Double.parseDouble(Traffic.field(head, "x-time-left"));
        }
    }

    private final String name;
    private final Consumer<Attempt> attempts;
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    RecordingServer(String name, Consumer<Attempt> attempts) throws IOException {
        this.name = name;
        this.attempts = attempts;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        thread(this::accept);
    }

    String name() {
        return name;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                thread(() -> serve(socket));
            } catch (IOException e) {
                // closed
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (int first = in.read(); first >= 0; first = in.read()) {
                long at = System.nanoTime();
                String head = Traffic.readHead(in, first);
                in.readNBytes(Traffic.contentLength(head));
                attempts.accept(new Attempt(name, head, at));
                socket.getOutputStream().write(ANSWER);
            }
        } catch (IOException e) {
            // the router ended the connection
        } finally {
            open.remove(socket);
        }
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work, "server");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
