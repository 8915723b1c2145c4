package yewdock.platform;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import yewdock.core.Event;
import yewdock.core.ModelRequest;
import yewdock.http.BadMessageException;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;

/** A client's connection: reads one request at a time, writes its answer. */
final class ClientConnectionHandler implements ConnectionHandler, MessageReader.Sink {
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final double MICROS = 1e6;
    /** What a client sends on while its request is open is kept up to so many bytes. */
    private static final int MOST_AHEAD = 64 * 1024;

    private final ConnectionManager front;
    private final long id;
    private final Connection wire;
    private final MessageReader reader = new MessageReader(MessageReader.Kind.REQUEST, this);
    private final Deque<Arrived> ahead = new ArrayDeque<>();
    private int aheadBytes;
    /** When the first byte came of the request that is read: its client's time runs since before that. */
    private Arrival requestArrival;
    private MessageHead head;
    private ByteArrayOutputStream body;
    private ClientRequest request;
    /** Whether a request is open: taken, and not yet answered to its end. */
    private boolean busy;
    private boolean begun;
    private boolean closing;
    /**
     * Whether more came behind the open request than is kept. It is read on and thrown away, or the client's
     * end behind it would not be seen, and the connection closes with the answer.
     */
    private boolean overrun;
    /** Whether the client may still be sending what was not taken. */
    private boolean turnedDown;

    /** Bytes from the client, and when they came. */
    private record Arrived(ByteBuffer bytes, Arrival when) {
    }

    ClientConnectionHandler(ConnectionManager front, long id, Connection wire) {
        this.front = front;
        this.id = id;
        this.wire = wire;
    }

    ClientRequest request() {
        return request;
    }

    @Override
    public void onConnected() {
        // a client's connection is up from the first
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        onReceived(bytes, Arrival.at(front.now()));
    }

    @Override
    public void onReceived(ByteBuffer bytes, Arrival arrival) {
        if (closing) {
            return;
        }
        ahead.add(new Arrived(bytes, arrival));
        aheadBytes += bytes.remaining();
        readOn();
        if (aheadBytes > MOST_AHEAD && busy) {
            overrun = true;
        }
        if (overrun) {
            ahead.clear();
            aheadBytes = 0;
        }
    }

    private void readOn() {
        try {
            while (!busy && !closing && !ahead.isEmpty()) {
                ByteBuffer next = ahead.peek().bytes;
                boolean fresh = reader.atMessageStart();
                aheadBytes -= next.remaining();
                try {
                    reader.read(next);
                } finally {
                    aheadBytes += next.remaining();
                    if (fresh && !reader.atMessageStart()) {
                        requestArrival = ahead.peek().when;
                        front.dispatch(new Event.ClientRequestStarted(id));
                    }
                }
                if (!next.hasRemaining()) {
                    ahead.poll();
                }
                if (reader.isComplete()) {
                    reader.startNext();
                    whole();
                }
            }
        } catch (BadMessageException e) {
            front.counters().add("requests.malformed");
            turnDown(e.status(), e.getMessage());
        } catch (RuntimeException e) {
            // A fault of ours in reading one request must leave neither it nor the others unanswered.
            front.counters().add("faults");
            front.log("fault: " + e);
            forgetBody();
            closing = true;
            answer(500, "a fault in the router\n", "");
        }
    }

    /** What is behind a request that can't be read, or is turned down, must not be taken for another. */
    private void turnDown(int status, String why) {
        forgetBody();
        ahead.clear();
        aheadBytes = 0;
        closing = true;
        turnedDown = true;
        answer(status, why + "\n", "");
    }

    /** Two requests of one id at the boxes would be two copies out at once. */
    void turnDownTwin() {
        turnDown(409, "a request of this id is open");
    }

    /** The desk wants the connection back: no request is open. */
    void giveUp() {
        if (closing) {
            wire.close();
        } else if (reader.atMessageStart()) {
            closing = wire.closeUnlessUndelivered();
        } else {
            front.counters().add("requests.malformed");
            turnDown(408, "the request did not come in time");
        }
    }

    @Override
    public void head(MessageHead read) {
        head = read;
        body = new ByteArrayOutputStream();
        if (read.hasToken("Expect", "100-continue")) {
            write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    @Override
    public void body(ByteBuffer piece) throws BadMessageException {
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        body.writeBytes(bytes);
        if (!front.coming(bytes.length)) {
            throw new BadMessageException(503, "no room for another request");
        }
    }

    private void forgetBody() {
        if (body != null) {
            front.coming(-body.size());
            body = null;
        }
    }

    @Override
    public void end() {
        // taken up by readOn, once the reader has let go of the bytes
    }

    private void whole() throws BadMessageException {
        busy = true;
        begun = false;
        int query = head.target().indexOf('?');
        String path = query < 0 ? head.target() : head.target().substring(0, query);
        switch (path) {
            case ClientRequest.PATH -> {
                if (!head.method().equals("POST")) {
                    answer(405, "POST only\n", "Allow: POST\r\n");
                } else if (!head.startLineThird().equals("HTTP/1.1")) {
                    throw new BadMessageException(505, "streams need HTTP/1.1");
                } else {
                    request = new ClientRequest(head, body.toByteArray());
                    forgetBody();
                    ModelRequest read = request.read(front.names(), requestArrival, front.now());
                    front.dispatch(new Event.RequestReceived(id, read));
                }
            }
            case "/ready" -> {
                String why = front.unready();
                answer(why.isEmpty() ? 200 : 503, (why.isEmpty() ? "ready" : why) + "\n", "");
            }
            case "/counters" -> answer(200, front.counters().toString(), "");
            default -> answer(404, "no such path\n", "");
        }
    }

    // ---- answers

    void refuse(long retryAfter) {
        answer(503, "refused\n", retryAfter > 0
                ? String.format(Locale.ROOT, "Retry-After: %.3f\r\n", retryAfter / MICROS) : "");
    }

    void fail() {
        answer(504, "failed\n", "");
    }

    /** The head goes out with the stream's first piece; each piece is one chunk, as it came. */
    void passOn(ByteBuffer bytes) {
        StringBuilder before = new StringBuilder();
        if (!begun) {
            begun = true;
            request = null;
            before.append("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    + "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n").append(connection())
                    .append("\r\n");
        }
        before.append(Integer.toHexString(bytes.remaining())).append("\r\n");
        byte[] start = before.toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer all = ByteBuffer.allocate(start.length + bytes.remaining() + 2);
        all.put(start).put(bytes).put((byte) '\r').put((byte) '\n').flip();
        wire.write(all);
    }

    void endAnswer() {
        if (!begun) {
            passOnNothing();
        }
        write(LAST_CHUNK);
        finished();
    }

    private void passOnNothing() {
        begun = true;
        write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + connection() + "\r\n");
    }

    /** The connection's end without a last chunk tells the client that the stream is not whole. */
    void cutOff() {
        closing = true;
        wire.closeAfterWriting();
    }

    private void answer(int status, String text, String fields) {
        write("HTTP/1.1 " + status + " " + Statuses.reason(status) + "\r\n" + fields
                + "Content-Type: text/plain\r\nContent-Length: "
                + text.getBytes(StandardCharsets.UTF_8).length + "\r\n" + connection() + "\r\n"
                + ("HEAD".equals(head == null ? "" : head.method()) ? "" : text));
        finished();
    }

    private String connection() {
        if (closing || overrun || front.leaving() || head != null && !head.keepsAlive()) {
            closing = true;
            return "Connection: close\r\n";
        }
        return "";
    }

    private void finished() {
        busy = false;
        request = null;
        forgetBody();
        if (closing || overrun) {
            closing = true;
            if (turnedDown || overrun) {
                wire.closeLingering();
            } else {
                wire.closeAfterWriting();
            }
            return;
        }
        if (front.closingIdle() && ahead.isEmpty()) {
            closeIfIdle();
            return;
        }
        front.dispatch(new Event.ClientIdle(id));
        readOn();
    }

    /** Whether a request is read in part or may be read already, or is open. */
    boolean midway() {
        return busy || !closing && (!reader.atMessageStart() || !ahead.isEmpty() || wire.hasUndelivered());
    }

    void closeIfIdle() {
        if (!closing && !midway()) {
            closing = wire.closeUnlessUndelivered();
        }
    }

    private void write(String text) {
        wire.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void onWritten(int bytes) {
        if (busy && begun) {
            front.dispatch(new Event.ClientBytesWritten(id, bytes));
        }
    }

    /** It has lingered long enough. */
    @Override
    public void onIdle() {
        if (closing) {
            wire.close();
        }
    }

    @Override
    public void onClosed() {
        closing = true;
        forgetBody();
        front.clientClosed(id);
    }
}
