package yewdock.faults;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.function.Consumer;

/**
 * A model server whose responses are drawn from a seed and the request's id: streams of different lengths,
 * some of them slow, ended early, broken or silent in the middle, and errors.
 */
final class SoakServer extends LoopbackHttpServer {
    /** What a server does with one request. */
    enum Response { COMPLETE, ENDED_EARLY, BROKEN, SILENT, ERROR, FULL }

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

    private final long seed;
    private final Consumer<Attempt> attemptListener;

    SoakServer(String name, long seed, Consumer<Attempt> attemptListener) throws IOException {
        super(name);
        this.seed = seed;
        this.attemptListener = attemptListener;
        start();
    }

    @Override
    boolean respond(Socket socket, String head, long firstByteNanos)
            throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        String requestId = ClientTraffic.headerField(head, "x-correlation-id");
        Random random = new Random(seed * 31 + requestId.hashCode() * 17L + name().hashCode());
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
}
