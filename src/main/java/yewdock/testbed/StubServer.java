package yewdock.testbed;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;

/**
 * A stub model server: answers each request with its reference stream, with as many tokens and as long a
 * pause between them as the request asks for. It can refuse new requests, reset streams midway, crash, and
 * run slower during its slow start.
 */
public final class StubServer extends LoopbackListener {
    private static final Pattern TOKENS_FIELD = Pattern.compile("\"max_tokens\":\\s*([0-9]{1,6})");
    private static final Pattern PACE_FIELD = Pattern.compile("\"pace_ms\":\\s*([0-9]{1,6})");
    private static final long SLOW_START_NANOS = 8_700_000_000L;
    /** The share of its capacity that a server has right after a restart. */
    private static final double COLD_CAPACITY = 0.32;

    private final String name;
    private final ObservationLog observations;
    private final int slots;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile boolean draining;
    private volatile int breakAfter = -1;
    private volatile long restartedAtNanos;

    /** Starts a server that processes at most slots requests at once and refuses the others. */
    public StubServer(String name, int slots, ObservationLog observations) throws IOException {
        super("box " + name);
        this.name = name;
        this.slots = slots;
        this.observations = observations;
        startAccepting();
    }

    /** The id of the server in the endpoint list. */
    public String name() {
        return name;
    }

    /** Sets whether the server refuses new requests. */
    public void setDraining(boolean on) {
        draining = on;
    }

    /** Resets each stream after this many events; -1 lets all of them complete. */
    public void breakAfter(int tokens) {
        breakAfter = tokens;
    }

    /** Simulates a crash and restart: all connections are reset and the slow start begins. */
    public void crash() {
        restartedAtNanos = System.nanoTime();
        resetAll();
    }

    @Override
    void serve(Socket socket) throws IOException {
        BlockingHttpConnection connection = new BlockingHttpConnection(socket, MessageReader.Kind.REQUEST);
        while (true) {
            MessageHead head = connection.readMessage();
            long startedAt = System.nanoTime();
            String id = head.field("X-Correlation-Id");
            if (id == null) {
                connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            } else if (draining || inFlight.get() >= slots) {
                observations.add(new ObservationLog.ServerAttempt(id, name, startedAt,
                        System.nanoTime(), false));
                connection.write(
                        "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nX-Backend-Load: inflight="
                        + inFlight.get() + "\r\nContent-Length: 0\r\n\r\n");
            } else {
                streamResponse(connection, socket, id, startedAt);
            }
        }
    }

    private void streamResponse(BlockingHttpConnection connection, Socket socket, String id, long startedAt)
            throws IOException {
        inFlight.incrementAndGet();
        // Only the second write after the client's close fails, so the connection was certainly open at the
        // last successful write but one. The attempt counts as ended then.
        long lastSurelyOpen = startedAt;
        long lastWritten = startedAt;
        boolean complete = false;
        try {
            int tokens = intField(TOKENS_FIELD, connection.body(), 8);
            int paceMillis = intField(PACE_FIELD, connection.body(), 5);
            connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n");
            int sent = 0;
            for (String event : ReferenceStream.events(id, tokens)) {
                if (sent > 0 && sent < tokens) {
                    pauseForToken(paceMillis);
                }
                if (sent++ == breakAfter) {
                    socket.setSoLinger(true, 0);
                    throw new IOException("stream reset by breakAfter");
                }
                writeChunk(connection, event);
                lastSurelyOpen = lastWritten;
                lastWritten = System.nanoTime();
            }
            writeChunk(connection, ": X-Backend-Load: inflight=" + inFlight.get() + ",qps=0,eps=0,x1=0\n\n");
            connection.write("0\r\n\r\n");
            complete = true;
        } finally {
            inFlight.decrementAndGet();
            observations.add(new ObservationLog.ServerAttempt(id, name, startedAt,
                    complete ? System.nanoTime() : lastSurelyOpen, true));
        }
    }

    private static void writeChunk(BlockingHttpConnection connection, String text) throws IOException {
        connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Waits between two tokens; during the slow start longer, in inverse proportion to the capacity. */
    private void pauseForToken(int millis) {
        double capacity = restartedAtNanos == 0 ? 1
                : Math.min(1, COLD_CAPACITY
                + (1 - COLD_CAPACITY) * (System.nanoTime() - restartedAtNanos) / SLOW_START_NANOS);
        try {
            Thread.sleep(Math.round(millis / capacity));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The first number that the pattern captures in the text, or ifAbsent. */
    static int intField(Pattern pattern, String text, int ifAbsent) {
        Matcher matcher = pattern.matcher(text);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : ifAbsent;
    }
}
