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

/** A client connection: reads one request at a time and writes its response. */
final class ClientConnectionHandler implements ConnectionHandler, MessageReader.Sink, InputMemory.Holder {
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final double MICROS_PER_SECOND = 1e6;
    /** How many bytes are kept of what a client sends while its previous request is open. */
    private static final int MAX_PIPELINED_BYTES = 64 * 1024;
    /** Memory for the objects of one received message or one write, in addition to its bytes. */
    private static final int MESSAGE_OVERHEAD_BYTES = 256;
    /** No further request is read while more than this of earlier responses is unwritten. */
    private static final int MAX_UNWRITTEN_BYTES = 16 * 1024;
    /** How much a growing body buffer may take in relation to its bytes. */
    private static final int BODY_BUFFER_FACTOR = 2;

    private final ConnectionManager manager;
    private final long clientId;
    private final Connection connection;
    private final MessageReader reader = new MessageReader(MessageReader.Kind.REQUEST, this);
    private final Deque<Input> unreadInput = new ArrayDeque<>();
    /** Memory of the unread input. */
    private int unreadBytes;
    /** Memory of what has been written to the connection and not yet to its socket. */
    private int unwrittenBytes;
    /** Whether {@link #readRequests} is running: a request may be answered while it is read. */
    private boolean readingRequests;
    /** When the first byte of the current request arrived, from which its timeout is counted. */
    private Arrival requestArrival;
    /** The head of the current request, until it is answered. */
    private MessageHead head;
    private ByteArrayOutputStream body;
    private ClientRequest request;
    /** Whether a request has been read whose response is not complete. */
    private boolean requestOpen;
    private boolean responseStarted;
    private boolean closing;
    /** Whether to close the connection unless its input that is not delivered yet begins a request. */
    private boolean closeOnceRead;
    /**
     * Whether the client has sent more after the open request than is kept. The excess is read and dropped,
     * since otherwise a disconnect after it would go unnoticed; the connection closes after the response.
     */
    private boolean inputOverflowed;
    /** Whether a request was rejected of which the client may still be sending the rest. */
    private boolean rejected;

    /** Bytes from the client and the time of their arrival. */
    private record Input(ByteBuffer bytes, Arrival arrival) {
        int memoryBytes() {
            return bytes.remaining() + MESSAGE_OVERHEAD_BYTES;
        }
    }

    ClientConnectionHandler(ConnectionManager manager, long clientId, Connection connection) {
        this.manager = manager;
        this.clientId = clientId;
        this.connection = connection;
    }

    ClientRequest request() {
        return request;
    }

    @Override
    public void onConnected() {
        // client connections are established when they are accepted
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        onReceived(bytes, Arrival.at(manager.now()));
    }

    @Override
    public void onReceived(ByteBuffer bytes, Arrival arrival) {
        if (closing) {
            return;
        }
        addUnread(new Input(bytes, arrival));
        readRequests();
        if (inputOverflowed || unreadBytes > MAX_PIPELINED_BYTES) {
            dropUnreadInput();
        }
        trimUnreadInput();
        updateInputMemory();
        if (closeOnceRead && !closing && !requestOpen && reader.atMessageStart() && unreadInput.isEmpty()) {
            closeUnlessUndelivered();
        }
    }

    private void addUnread(Input input) {
        unreadInput.add(input);
        unreadBytes += input.memoryBytes();
    }

    private void clearUnread() {
        unreadInput.clear();
        unreadBytes = 0;
    }

    /** Drops what was received of the current request and behind it. */
    private void discardRequest() {
        body = null;
        reader.startNext();
        clearUnread();
    }

    /** Drops what the client has sent behind its open request; the connection closes after the response. */
    private void dropUnreadInput() {
        inputOverflowed = true;
        clearUnread();
        if (!requestOpen && !closing) {
            // the client has not read its earlier responses
            discardRequest();
            closing = true;
            connection.closeLingering();
        }
    }

    /** Copies the rest of a message that has been read in part, whose buffer may be much larger. */
    private void trimUnreadInput() {
        Input first = unreadInput.peek();
        if (first != null && first.bytes.remaining() < first.bytes.capacity()) {
            unreadInput.poll();
            ByteBuffer rest = ByteBuffer.allocate(first.bytes.remaining()).put(first.bytes).flip();
            unreadInput.addFirst(new Input(rest, first.arrival));
        }
    }

    private void updateInputMemory() {
        long bytes = unreadBytes + reader.bufferedBytes();
        if (body != null) {
            bytes += head.memoryBytes() + (long) BODY_BUFFER_FACTOR * body.size();
        }
        manager.inputMemory().update(this, bytes);
    }

    @Override
    public void discardInput() {
        if (requestOpen) {
            dropUnreadInput();
        } else if (!closing) {
            manager.counters().add("clients.input_discarded");
            rejectForRoom();
        }
    }

    private void rejectForRoom() {
        reject(503, "no room for another request");
    }

    private void readRequests() {
        if (readingRequests) {
            return;
        }
        readingRequests = true;
        try {
            while (canReadRequest()) {
                readRequest();
            }
        } catch (BadMessageException e) {
            if (!closing) {
                manager.counters().add("requests.malformed");
                reject(e.status(), e.getMessage());
            }
        } catch (RuntimeException e) {
            // A bug that shows in reading one request must leave neither it nor the others unanswered.
            manager.counters().add("faults");
            manager.log("fault: " + e);
            discardRequest();
            closing = true;
            respond(500, "a fault in the router\n", "");
        } finally {
            readingRequests = false;
        }
    }

    private boolean canReadRequest() {
        return !requestOpen && !closing && !unreadInput.isEmpty() && unwrittenBytes <= MAX_UNWRITTEN_BYTES;
    }

    /** Reads up to the end of the current request or of the oldest unread message. */
    private void readRequest() throws BadMessageException {
        Input next = unreadInput.peek();
        boolean atMessageStart = reader.atMessageStart();
        unreadBytes -= next.memoryBytes();
        try {
            reader.read(next.bytes);
        } finally {
            if (next.bytes.hasRemaining()) {
                unreadBytes += next.memoryBytes();
            } else {
                unreadInput.poll();
            }
            if (atMessageStart && !reader.atMessageStart()) {
                requestArrival = next.arrival;
                closeOnceRead = false;
                manager.dispatch(new Event.ClientRequestStarted(clientId));
            }
        }
        // the connection may have been due to be closed when the request began
        if (reader.isComplete() && !closing) {
            reader.startNext();
            requestComplete();
        }
    }

    /** Rejects a request and drops what follows it, which must not be parsed as another request. */
    private void reject(int status, String reason) {
        discardRequest();
        closing = true;
        rejected = true;
        respond(status, reason + "\n", "");
    }

    /** Rejects a request whose id is that of an open one: at the servers, both would run at the same time. */
    void rejectDuplicate() {
        reject(409, "a request of this id is open");
    }

    /** Closes the connection, which has no open request; a partly received request gets a 408 response. */
    void closeOrTimeOut() {
        if (closing) {
            connection.close();
        } else if (reader.atMessageStart()) {
            closeUnlessUndelivered();
        } else {
            manager.counters().add("requests.malformed");
            reject(408, "the request did not come in time");
        }
    }

    /** Refuses a partly received request, whose connection another client needs. */
    void refusePartialRequest() {
        if (closing || reader.atMessageStart()) {
            closeOrTimeOut();
        } else {
            rejectForRoom();
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
    }

    @Override
    public void end() {
        // handled by readRequests(), once the reader has returned
    }

    private void requestComplete() throws BadMessageException {
        requestOpen = true;
        responseStarted = false;
        int query = head.target().indexOf('?');
        String path = query < 0 ? head.target() : head.target().substring(0, query);
        switch (path) {
            case ClientRequest.PATH -> {
                if (!head.method().equals("POST")) {
                    respond(405, "POST only\n", "Allow: POST\r\n");
                } else if (!head.startLineThird().equals("HTTP/1.1")) {
                    throw new BadMessageException(505, "streams need HTTP/1.1");
                } else {
                    request = new ClientRequest(head, body.toByteArray());
                    body = null;
                    ModelRequest read =
                            request.toModelRequest(manager.names(), requestArrival, manager.now());
                    manager.dispatch(new Event.RequestReceived(clientId, read));
                }
            }
            case "/ready" -> {
                String reason = manager.notReadyReason();
                respond(reason.isEmpty() ? 200 : 503, (reason.isEmpty() ? "ready" : reason) + "\n", "");
            }
            case "/counters" -> respond(200, manager.counters().toString(), "");
            default -> respond(404, "no such path\n", "");
        }
    }

    // ---- responses

    void refuse(long retryAfter) {
        respond(503, "refused\n", retryAfter > 0
                ? String.format(Locale.ROOT, "Retry-After: %.3f\r\n", retryAfter / MICROS_PER_SECOND) : "");
    }

    void fail() {
        respond(504, "failed\n", "");
    }

    /** Writes each piece of the stream as one chunk; the response head goes out with the first. */
    void writeChunk(ByteBuffer bytes) {
        StringBuilder prefix = new StringBuilder();
        if (!responseStarted) {
            responseStarted = true;
            request = null;
            prefix.append("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    + "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n").append(connectionHeader())
                    .append("\r\n");
        }
        prefix.append(Integer.toHexString(bytes.remaining())).append("\r\n");
        byte[] prefixBytes = prefix.toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer chunk = ByteBuffer.allocate(prefixBytes.length + bytes.remaining() + 2);
        chunk.put(prefixBytes).put(bytes).put((byte) '\r').put((byte) '\n').flip();
        write(chunk);
    }

    void endResponse() {
        if (!responseStarted) {
            writeResponseHead();
        }
        write(LAST_CHUNK);
        responseFinished();
    }

    private void writeResponseHead() {
        responseStarted = true;
        write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + connectionHeader() + "\r\n");
    }

    /** Closes without a last chunk, which tells the client that the stream is incomplete. */
    void abort() {
        closing = true;
        connection.closeAfterWriting();
    }

    private void respond(int status, String text, String fields) {
        write("HTTP/1.1 " + status + " " + Statuses.reason(status) + "\r\n" + fields
                + "Content-Type: text/plain\r\nContent-Length: "
                + text.getBytes(StandardCharsets.UTF_8).length + "\r\n" + connectionHeader() + "\r\n"
                + ("HEAD".equals(head == null ? "" : head.method()) ? "" : text));
        responseFinished();
    }

    private String connectionHeader() {
        if (closing || inputOverflowed || manager.leaving() || head != null && !head.keepsAlive()) {
            closing = true;
            return "Connection: close\r\n";
        }
        return "";
    }

    private void responseFinished() {
        requestOpen = false;
        request = null;
        body = null;
        head = null;
        if (closing || inputOverflowed) {
            clearUnread();
        }
        updateInputMemory();
        if (closing || inputOverflowed) {
            closing = true;
            if (rejected || inputOverflowed) {
                connection.closeLingering();
            } else {
                connection.closeAfterWriting();
            }
            return;
        }
        if (manager.closesAfterResponse() && unreadInput.isEmpty()) {
            closeIfIdle();
            return;
        }
        manager.dispatch(new Event.ClientIdle(clientId));
        readRequests();
    }

    /** Whether a request is open, is partly received, or may have been read and not handled yet. */
    boolean hasRequestInProgress() {
        return requestOpen || !closing
                && (!reader.atMessageStart() || !unreadInput.isEmpty() || connection.hasUndelivered());
    }

    void closeIfIdle() {
        if (!closing && !hasRequestInProgress()) {
            closeUnlessUndelivered();
        }
    }

    private void closeUnlessUndelivered() {
        closing = connection.closeUnlessUndelivered();
        closeOnceRead = !closing;
    }

    private void write(String text) {
        write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    private void write(ByteBuffer bytes) {
        unwrittenBytes += bytes.remaining() + MESSAGE_OVERHEAD_BYTES;
        connection.write(bytes);
    }

    @Override
    public void onWritten(int bytes) {
        unwrittenBytes -= bytes + MESSAGE_OVERHEAD_BYTES;
        if (requestOpen && responseStarted) {
            manager.dispatch(new Event.ClientBytesWritten(clientId, unwrittenBytes));
        }
        if (canReadRequest()) {
            readRequests();
            updateInputMemory();
        }
    }

    /** The lingering close has timed out. */
    @Override
    public void onIdle() {
        if (closing) {
            connection.close();
        }
    }

    @Override
    public void onClosed() {
        closing = true;
        manager.inputMemory().update(this, 0);
        manager.clientClosed(clientId);
    }
}
