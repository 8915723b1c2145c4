package yewdock.faults;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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

    private static final byte[] TURNED_AWAY = ("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\n"
            + "Content-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NO_HTTP = "\u0000\u0001 no answer at all\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);
    private static final int HALF = 20;
    private static final long TRICKLE_MILLIS = 50;

    private final String name;
    private volatile ServerBehaviour behaviour = ServerBehaviour.ANSWERS;
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
                if (!answer(socket)) {
                    return;
                }
            }
        } catch (IOException e) {
            // the router ended the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    /** Does with a request what the server does now; tells whether the connection goes on. */
    private boolean answer(Socket socket) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        switch (behaviour) {
            case ANSWERS -> out.write(ANSWER);
            case ANSWERS_TWICE -> {
                out.write(ANSWER);
                out.write(ANSWER);
            }
            case FULL -> out.write(TURNED_AWAY);
            case HALF_HEAD -> out.write(ANSWER, 0, HALF);
            case GARBAGE -> out.write(NO_HTTP);
            case TRICKLES -> trickle(out);
            case CLOSES -> {
                return false;
            }
            default -> {
                // silent
            }
        }
        return true;
    }

    private static void trickle(OutputStream out) throws IOException, InterruptedException {
        for (int i = 0; i < ANSWER.length - 1; i++) {
            out.write(ANSWER[i]);
            Thread.sleep(TRICKLE_MILLIS);
        }
    }

    /** What it does with requests from now on. */
    void behave(ServerBehaviour next) {
        behaviour = next;
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
