package yewdock.faults;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * A model server whose responses are drawn from a seed and the request's id: streams of different lengths,
 * some of them slow, ended early, broken or silent in the middle, and errors.
 */
final class SoakServer implements Closeable {
    /** What a server does with one request. */
    enum Response { COMPLETE, ENDED_EARLY, BROKEN, SILENT, ERROR, FULL }

    private static final int BACKLOG = 256;
    private static final int MAX_EVENTS = 12;
    private static final int MAX_EVENTS_OF_LONG_STREAM = 45;
    /** One stream in this many is long. */
    private static final int LONG_STREAM_INTERVAL = 4;
    private static final int MAX_EVENT_GAP_MILLIS = 160;
    private static final int MAX_START_DELAY_MILLIS = 120;
    /** Percentages of the responses with each fault; the others are complete. */
    private static final int FAULT_PERCENT = 3;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** A request that the server has read to its last byte, and how it is answered. */
    record Attempt(String requestId, Response response, long receivedNanos) {
    }

    private final String name;
    private final long seed;
    private final Consumer<Attempt> attemptListener;
    private final ServerSocket listener;
    private final Set<Socket> openConnections = ConcurrentHashMap.newKeySet();

    SoakServer(String name, long seed, Consumer<Attempt> attemptListener) throws IOException {
        this.name = name;
        this.seed = seed;
        this.attemptListener = attemptListener;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        startThread(this::acceptConnections);
    }

    String name() {
        return name;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

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
                String head = ClientTraffic.readHead(in, first);
                in.readNBytes(ClientTraffic.contentLength(head));
                if (!respond(socket.getOutputStream(), ClientTraffic.headerField(head, "x-correlation-id"))) {
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

    /** Responds to one request; returns false to close the connection. */
    private boolean respond(OutputStream out, String requestId) throws IOException, InterruptedException {
        Random random = new Random(seed * 31 + requestId.hashCode() * 17L + name.hashCode());
        int draw = random.nextInt(100) / FAULT_PERCENT;
        Response response = draw > 0 && draw < Response.values().length ? Response.values()[draw]
                : Response.COMPLETE;
        attemptListener.accept(new Attempt(requestId, response, System.nanoTime()));
        switch (response) {
            case ERROR -> write(out, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
            case FULL -> write(out, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\n"
                    + "Content-Length: 0\r\n\r\n");
            default -> {
                return stream(out, requestId, response, random);
            }
        }
        return true;
    }

    private static boolean stream(OutputStream out, String requestId, Response response, Random random)
            throws IOException, InterruptedException {
        Thread.sleep(random.nextInt(MAX_START_DELAY_MILLIS));
        int events = 1 + random.nextInt(random.nextInt(LONG_STREAM_INTERVAL) == 0
                ? MAX_EVENTS_OF_LONG_STREAM : MAX_EVENTS);
        int faultAt = response == Response.COMPLETE ? events : random.nextInt(events);
        write(out, HEAD);
        for (int i = 0; i < faultAt; i++) {
            write(out, chunk(event(requestId, i)));
            Thread.sleep(random.nextInt(MAX_EVENT_GAP_MILLIS));
        }
        switch (response) {
            case COMPLETE -> write(out, chunk("data: [DONE]\n\n") + LAST_CHUNK);
            case ENDED_EARLY -> write(out, LAST_CHUNK);
            case SILENT -> Thread.sleep(Long.MAX_VALUE);
            default -> {
                return false;
            }
        }
        return true;
    }

    /** The event with this number of the request's stream. */
    static String event(String requestId, int number) {
        return "data: {\"id\":\"" + requestId + "\",\"n\":" + number + "}\n\n";
    }

    private static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "soak-server");
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
