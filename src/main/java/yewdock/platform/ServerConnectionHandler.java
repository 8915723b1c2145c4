package yewdock.platform;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import umberspread.Routing.Outcome;
import yewdock.core.Event;
import yewdock.http.BadMessageException;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;

/** A server connection: writes one attempt at a time and reads its response. */
final class ServerConnectionHandler implements ConnectionHandler, MessageReader.Sink {
    /** Header fields that apply to a single connection, or that the router writes itself. */
    private static final Set<String> NOT_FORWARDED = Set.of("connection", "keep-alive", "transfer-encoding",
            "content-length", "expect", "te", "trailer", "upgrade", "proxy-connection", "x-time-left");
    private static final double MICROS_PER_SECOND = 1e6;
    /** A first event longer than this is passed to the client before it is complete. */
    private static final int MAX_PENDING_START_BYTES = 16 * 1024;

    private final ConnectionManager manager;
    private final long connectionId;
    private final Connection connection;
    private final MessageReader reader = new MessageReader(MessageReader.Kind.RESPONSE, this);
    /** The stream of the current response; null before its head has been read. */
    private ResponseStream stream;
    /**
     * What has been received of a stream whose first event is not complete. If the server connection breaks
     * after a client has got a part of that event, the client can only be disconnected; as long as it has
     * got nothing, the request can be retried on another server.
     */
    private ByteArrayOutputStream pendingStart = new ByteArrayOutputStream();
    private boolean attemptOpen;
    /** Whether the response's body has started; for a stream, whether its first event has been passed on. */
    private boolean bodyStarted;
    /** Whether the bytes that are being read have completed a part of the body. */
    private boolean partForwarded;
    /** Whether an earlier attempt on this connection got a complete response. */
    private boolean respondedBefore;
    private int unwrittenBytes;
    /** What is kept of the current response's head; null before it. */
    private ResponseHead head;
    private boolean closing;

    /** The part of a response's head that counts after it: the whole head may be large. */
    private record ResponseHead(int status, boolean keepsAlive, boolean unprocessed) {
        static ResponseHead of(MessageHead head) {
            return new ResponseHead(head.status(), head.keepsAlive(),
                    "1".equals(head.field("X-Unprocessed")));
        }
    }

    ServerConnectionHandler(ConnectionManager manager, long connectionId, Connection connection) {
        this.manager = manager;
        this.connectionId = connectionId;
        this.connection = connection;
    }

    @Override
    public void onConnected() {
        if (!closing) {
            manager.dispatch(new Event.ServerConnected(connectionId));
        }
    }

    void send(ClientRequest request, long timeoutMicros) {
        StringBuilder requestHead = new StringBuilder(512);
        requestHead.append(request.head().method()).append(' ').append(request.head().target())
                .append(" HTTP/1.1\r\n");
        for (MessageHead.Field f : request.head().fields()) {
            if (!NOT_FORWARDED.contains(f.name().toLowerCase(Locale.ROOT))) {
                requestHead.append(f.name()).append(": ").append(f.value()).append("\r\n");
            }
        }
        requestHead.append(String.format(Locale.ROOT, "X-Time-Left: %.3f\r\nContent-Length: %d\r\n\r\n",
                Math.max(0, timeoutMicros) / MICROS_PER_SECOND, request.body().length));
        byte[] headBytes = requestHead.toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer message = ByteBuffer.allocate(headBytes.length + request.body().length);
        message.put(headBytes).put(request.body()).flip();
        attemptOpen = true;
        bodyStarted = false;
        pendingStart = new ByteArrayOutputStream();
        stream = null;
        head = null;
        unwrittenBytes = message.remaining();
        connection.write(message);
    }

    @Override
    public void onIdle() {
        // the reducer times the connections that the router opens
    }

    @Override
    public void onWritten(int bytes) {
        unwrittenBytes -= bytes;
        if (unwrittenBytes == 0) {
            manager.dispatch(new Event.AttemptWritten(connectionId));
        }
    }

    @Override
    public void onWriteExpired() {
        manager.dispatch(new Event.AttemptNotStarted(connectionId));
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        if (closing) {
            return;
        }
        partForwarded = false;
        try {
            while (bytes.hasRemaining()) {
                // On a reused connection, bytes that come before the attempt is written belong to the
                // previous one and would be taken for this attempt's response.
                if (!attemptOpen || respondedBefore && unwrittenBytes > 0) {
                    throw new BadMessageException(502, "unexpected response: no request is open");
                }
                reader.read(bytes);
                if (reader.isComplete()) {
                    reader.startNext();
                    responseComplete(!bytes.hasRemaining());
                }
            }
            if (attemptOpen && !partForwarded && !reader.atMessageStart()) {
                manager.dispatch(new Event.ResponseProgressed(connectionId));
            }
        } catch (BadMessageException e) {
            manager.counters().add("boxes.malformed_answers");
            closing = true;
            manager.dispatch(new Event.ResponseMalformed(connectionId));
        }
    }

    @Override
    public void head(MessageHead read) {
        head = ResponseHead.of(read);
        stream = new ResponseStream(manager.counters(), LoadReports.of(read.field(LoadReports.HEADER)));
    }

    @Override
    public void body(ByteBuffer piece) {
        if (head.status() != 200) {
            bodyStarted = true;
            partForwarded = true;
            return;
        }
        boolean first = !bodyStarted;
        stream.read(piece);
        if (!first) {
            partForwarded = true;
            manager.dispatch(new Event.ResponseChunk(connectionId, piece));
            return;
        }
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        pendingStart.writeBytes(bytes);
        if (stream.firstEventComplete() || pendingStart.size() > MAX_PENDING_START_BYTES) {
            flushPendingStart();
        }
    }

    private void flushPendingStart() {
        bodyStarted = true;
        partForwarded = true;
        ByteBuffer start = ByteBuffer.wrap(pendingStart.toByteArray());
        pendingStart = new ByteArrayOutputStream(0);
        manager.dispatch(new Event.ResponseChunk(connectionId, start));
    }

    @Override
    public void end() {
        // handled by received(), once the reader has returned
    }

    private void responseComplete(boolean nothingBehind) {
        attemptOpen = false;
        respondedBefore = true;
        Outcome outcome = switch (head.status()) {
            case 200 -> stream.isComplete() ? Outcome.OK : Outcome.ERROR;
            case 503, 504 -> head.unprocessed() ? Outcome.FULL : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
        boolean incompleteStream = head.status() == 200 && outcome == Outcome.ERROR;
        if (incompleteStream) {
            manager.counters().add("streams.incomplete");
        }
        boolean reusable = nothingBehind && unwrittenBytes == 0 && head.keepsAlive() && !incompleteStream;
        ResponseStream completed = stream;
        head = null;
        stream = null;
        pendingStart = new ByteArrayOutputStream(0);
        manager.dispatch(new Event.ResponseCompleted(connectionId, outcome, reusable,
                completed.cachedTokens(), completed.loadReport()));
    }

    void setReadingPaused(boolean paused) {
        connection.setReadingPaused(paused);
    }

    void close() {
        closing = true;
        connection.close();
    }

    @Override
    public void onClosed() {
        if (!closing && attemptOpen && head != null && head.status() != 200) {
            // The status decides the outcome, also where the body was delimited by the connection's end.
            responseComplete(false);
        }
        closing = true;
        manager.serverConnectionClosed(connectionId);
    }
}
