package yewdock.faults;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * A simulated model server. It reports each attempt with the arrival time of its first byte, and responds as
 * its {@link ServerBehaviour} says.
 */
final class RecordingServer extends LoopbackHttpServer {
    private static final byte[] RESPONSE = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: x\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);

    /**
     * An attempt as the server received it.
     *
     * @param server the server's name
     * @param head the request head
     * @param firstByteNanos when the first byte was read, by System.nanoTime
     */
    record Attempt(String server, String head, long firstByteNanos) {
        /** The request id that the client sent. */
        String requestId() {
            return ClientTraffic.headerField(head, "x-correlation-id");
        }

        /** The remaining client timeout that the router sent, in seconds. */
        double timeLeftSeconds() {
            return Double.parseDouble(ClientTraffic.headerField(head, "x-time-left"));
        }
    }

    /**
     * Bytes to respond with.
     *
     * @param thenClose whether the server closes the connection behind them
     */
    record ScriptedResponse(byte[] bytes, boolean thenClose) {
    }

    private static final byte[] UNPROCESSED_RESPONSE =
            ("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\n"
            + "Content-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    private static final byte[] INVALID_RESPONSE = "\u0000\u0001 no answer at all\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);
    private static final int PARTIAL_HEAD_BYTES = 20;
    private static final long TRICKLE_INTERVAL_MILLIS = 50;

    private volatile ServerBehaviour behaviour = ServerBehaviour.ANSWERS;
    /** Sent instead of the behaviour's response, unless null. */
    private volatile ScriptedResponse scriptedResponse;
    private final Consumer<Attempt> attemptListener;

    RecordingServer(String name, Consumer<Attempt> attempts) throws IOException {
        super(name);
        this.attemptListener = attempts;
        start();
    }

    /** Responds as the current behaviour says. */
    @Override
    boolean respond(Socket socket, String head, long firstByteNanos)
            throws IOException, InterruptedException {
        attemptListener.accept(new Attempt(name(), head, firstByteNanos));
        OutputStream out = socket.getOutputStream();
        ScriptedResponse scripted = scriptedResponse;
        if (scripted != null) {
            out.write(scripted.bytes());
            return !scripted.thenClose();
        }
        switch (behaviour) {
            case ANSWERS -> out.write(RESPONSE);
            case ANSWERS_TWICE -> {
                out.write(RESPONSE);
                out.write(RESPONSE);
            }
            case FULL -> out.write(UNPROCESSED_RESPONSE);
            case HALF_HEAD -> out.write(RESPONSE, 0, PARTIAL_HEAD_BYTES);
            case GARBAGE -> out.write(INVALID_RESPONSE);
            case TRICKLES -> trickle(out);
            case CLOSES -> {
                return false;
            }
            default -> {
                // no response
            }
        }
        return true;
    }

    private static void trickle(OutputStream out) throws IOException, InterruptedException {
        for (int i = 0; i < RESPONSE.length - 1; i++) {
            out.write(RESPONSE[i]);
            Thread.sleep(TRICKLE_INTERVAL_MILLIS);
        }
    }

    /** Sets how the server responds to requests from now on. */
    void setBehaviour(ServerBehaviour newBehaviour) {
        behaviour = newBehaviour;
    }

    /** Sets the bytes that the server responds with to all requests from now on. */
    void respondWith(ScriptedResponse response) {
        scriptedResponse = response;
    }
}
