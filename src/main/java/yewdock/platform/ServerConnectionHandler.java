package yewdock.platform;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import org.json.JSONException;
import org.json.JSONObject;
import umberspread.Routing.LoadReport;
import umberspread.Routing.Outcome;
import yewdock.core.Event;
import yewdock.http.BadMessageException;
import yewdock.http.EventStreamLineReader;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;

/** A line to a model box: writes one try at a time, reads its answer. */
final class ServerConnectionHandler implements ConnectionHandler, MessageReader.Sink {
    /** Fields that belong to one connection, or that the router writes itself. */
    private static final Set<String> OWN = Set.of("connection", "keep-alive", "transfer-encoding",
            "content-length", "expect", "te", "trailer", "upgrade", "proxy-connection", "x-time-left");
    private static final double MICROS = 1e6;
    /** A first event longer than this goes to the client before it is whole. */
    private static final int MOST_OPENING = 16 * 1024;

    private final ConnectionManager front;
    private final long line;
    private final Connection wire;
    private final MessageReader reader = new MessageReader(MessageReader.Kind.RESPONSE, this);
    private final EventStreamLineReader events = new EventStreamLineReader(this::eventLine, this::eventEnd);
    /**
     * What has come of a stream whose first event is not whole yet. A client that had a part of that event
     * could only be cut off if the server's connection broke; without it the request may still be tried
     * elsewhere.
     */
    private final ByteArrayOutputStream opening = new ByteArrayOutputStream();
    private boolean data;
    private boolean opened;
    private boolean busy;
    /** Whether a part of the answer's body has come, and of a stream the first event. */
    private boolean flowing;
    /** Whether the line has brought an answer before. */
    private boolean used;
    private int toWrite;
    private MessageHead head;
    private LoadReport report;
    private long kept;
    private boolean gone;

    ServerConnectionHandler(ConnectionManager front, long line, Connection wire) {
        this.front = front;
        this.line = line;
        this.wire = wire;
    }

    @Override
    public void onConnected() {
        if (!gone) {
            front.dispatch(new Event.ServerConnected(line));
        }
    }

    void send(ClientRequest request, long patience) {
        StringBuilder text = new StringBuilder(512);
        text.append(request.head().method()).append(' ').append(request.head().target())
                .append(" HTTP/1.1\r\n");
        for (MessageHead.Field f : request.head().fields()) {
            if (!OWN.contains(f.name().toLowerCase(Locale.ROOT))) {
                text.append(f.name()).append(": ").append(f.value()).append("\r\n");
            }
        }
        text.append(String.format(Locale.ROOT, "X-Time-Left: %.3f\r\nContent-Length: %d\r\n\r\n",
                Math.max(0, patience) / MICROS, request.body().length));
        byte[] start = text.toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer all = ByteBuffer.allocate(start.length + request.body().length);
        all.put(start).put(request.body()).flip();
        busy = true;
        flowing = false;
        opened = false;
        data = false;
        opening.reset();
        head = null;
        report = null;
        kept = 0;
        toWrite = all.remaining();
        wire.write(all);
    }

    @Override
    public void onIdle() {
        // the desk keeps the times of the router's own connections
    }

    @Override
    public void onWritten(int bytes) {
        toWrite -= bytes;
        if (toWrite == 0) {
            front.dispatch(new Event.AttemptWritten(line));
        }
    }

    @Override
    public void onWriteExpired() {
        front.dispatch(new Event.AttemptNotStarted(line));
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        if (gone) {
            return;
        }
        try {
            while (bytes.hasRemaining()) {
                // Also before a try is written: it belongs to the one before, and would pass for this one's.
                if (!busy || used && toWrite > 0) {
                    throw new BadMessageException(502, "an answer that nobody asked for");
                }
                reader.read(bytes);
                if (reader.isComplete()) {
                    reader.startNext();
                    whole(!bytes.hasRemaining());
                }
            }
            if (busy && !flowing && !reader.atMessageStart()) {
                front.dispatch(new Event.ResponseStarted(line));
            }
        } catch (BadMessageException e) {
            front.counters().add("boxes.malformed_answers");
            gone = true;
            front.dispatch(new Event.ResponseMalformed(line));
        }
    }

    @Override
    public void head(MessageHead read) {
        head = read;
        report = LoadReports.of(read.field(LoadReports.HEADER));
    }

    @Override
    public void body(ByteBuffer piece) {
        if (head.status() != 200) {
            flowing = true;
            return;
        }
        boolean first = !flowing;
        events.read(piece);
        if (!first) {
            front.dispatch(new Event.ResponseChunk(line, piece));
            return;
        }
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        opening.writeBytes(bytes);
        if (opened || opening.size() > MOST_OPENING) {
            passOpening();
        }
    }

    private void passOpening() {
        flowing = true;
        ByteBuffer all = ByteBuffer.wrap(opening.toByteArray());
        opening.reset();
        front.dispatch(new Event.ResponseChunk(line, all));
    }

    @Override
    public void end() {
        // taken up by received, once the reader has let go of the bytes
    }

    private void whole(boolean clean) {
        if (opening.size() > 0) {
            passOpening();
        }
        busy = false;
        used = true;
        Outcome outcome = switch (head.status()) {
            case 200 -> Outcome.OK;
            case 503, 504 -> "1".equals(head.field("X-Unprocessed")) ? Outcome.FULL : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
        front.dispatch(new Event.ResponseCompleted(line, outcome, clean && toWrite == 0 && head.keepsAlive(),
                kept,
                report));
    }

    /** A stream's last lines carry the load report, in a comment, and how much of the prompt was kept. */
    private void eventLine(String text) {
        data |= text.startsWith("data");
        if (text.startsWith(":")) {
            LoadReport read = LoadReports.inComment(text);
            report = read == null ? report : read;
        } else if (text.startsWith("data:") && text.contains("\"usage\"")) {
            try {
                JSONObject usage = new JSONObject(text.substring(5)).optJSONObject("usage");
                JSONObject details = usage == null ? null : usage.optJSONObject("prompt_tokens_details");
                kept = details == null ? kept : Math.max(0, details.optLong("cached_tokens"));
            } catch (JSONException e) {
                front.counters().add("boxes.malformed_usage");
            }
        }
    }

    private void eventEnd() {
        opened |= data;
    }

    void hold(boolean held) {
        wire.setReadingPaused(held);
    }

    void close() {
        gone = true;
        wire.close();
    }

    @Override
    public void onClosed() {
        if (!gone && busy && head != null && head.status() != 200) {
            // The status has said all, even where the body's end was the connection's.
            whole(false);
        }
        gone = true;
        front.lineClosed(line);
    }
}
