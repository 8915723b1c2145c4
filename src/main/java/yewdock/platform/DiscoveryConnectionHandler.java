package yewdock.platform;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import yewdock.core.EndpointList;
import yewdock.http.BadMessageException;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;

/** A discovery connection: calls for the endpoint list, one call at a time. */
final class DiscoveryConnectionHandler implements ConnectionHandler, MessageReader.Sink {
    private static final int MAX_LIST_BYTES = 4 << 20;
    /** Longest list in values: each takes some hundred bytes when it is parsed. */
    private static final int MAX_LIST_VALUES = 128 * 1024;
    private static final int OK = 200;

    private final DiscoveryCalls calls;
    private final EndpointListReader listReader;
    private final String host;
    private final Connection connection;
    private final MessageReader reader = new MessageReader(MessageReader.Kind.RESPONSE, this);
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    /** The number of bytes in the body that begin a value: more values are never parsed. */
    private int bodyValues;
    private MessageHead head;
    private String pendingRequest;
    private boolean connected;
    private boolean callOpen;
    private long calledAt;
    /** Length of the open call's long poll in microseconds. */
    private long maxWaitMicros;
    private boolean closed;

    DiscoveryConnectionHandler(DiscoveryCalls calls, EndpointListReader listReader, String host,
            Connection connection) {
        this.calls = calls;
        this.listReader = listReader;
        this.host = host;
        this.connection = connection;
    }

    /** Whether the connection is to this address. */
    boolean isTo(String address) {
        return host.equals(address);
    }

    /** Whether a call has not been answered yet. */
    boolean isCallOpen() {
        return callOpen;
    }

    /** When the last call was made, in microseconds. */
    long calledAt() {
        return calledAt;
    }

    /** Asks for changes after this version, or for the whole list if it is negative. */
    void call(long sinceVersion, long waitMicros) {
        String query = sinceVersion < 0 ? "" : "?since=" + sinceVersion + "&timeout_ms=" + waitMicros / 1000;
        pendingRequest = "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        callOpen = true;
        calledAt = calls.now();
        maxWaitMicros = sinceVersion < 0 ? 0 : waitMicros;
        writeIfConnected();
    }

    private void writeIfConnected() {
        if (connected && pendingRequest != null) {
            connection.write(ByteBuffer.wrap(pendingRequest.getBytes(StandardCharsets.ISO_8859_1)));
            pendingRequest = null;
        }
    }

    @Override
    public void onConnected() {
        connected = true;
        writeIfConnected();
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        try {
            while (bytes.hasRemaining() && !closed) {
                if (!callOpen) {
                    throw new BadMessageException(502, "unexpected response: no request is open");
                }
                reader.read(bytes);
                if (reader.isComplete()) {
                    reader.startNext();
                    responseComplete();
                }
            }
        } catch (BadMessageException | JSONException e) {
            calls.log("the box list's answer is malformed: " + e.getMessage());
            connection.close();
        }
    }

    private void responseComplete() {
        if (head.status() != OK) {
            callOpen = false;
            closeUnlessKeptAlive();
            calls.failed(this);
            return;
        }
        EndpointList list = listReader.read(body.toString(StandardCharsets.UTF_8));
        clearBody();
        callOpen = false;
        if (head.keepsAlive()) {
            calls.answered(this, list, delayMicros());
        } else {
            closed = true;
            connection.close();
            calls.answeredAndClosed(this, list, delayMicros());
        }
    }

    /** Returns how long the call has taken, beyond the wait that it asked for. */
    private long delayMicros() {
        return Math.max(0, calls.now() - calledAt - maxWaitMicros);
    }

    private void closeUnlessKeptAlive() {
        if (!head.keepsAlive()) {
            closed = true;
            calls.connectionClosed(this);
            connection.close();
        }
    }

    /** Returns the list in a body that ends with the connection; null if it is none or incomplete. */
    private EndpointList listAtEndOfConnection() {
        if (!reader.readsUntilClose() || head.status() != OK) {
            return null;
        }
        try {
            return listReader.read(body.toString(StandardCharsets.UTF_8));
        } catch (JSONException e) {
            calls.log("the box list's answer is malformed: " + e.getMessage());
            return null;
        }
    }

    @Override
    public void head(MessageHead read) {
        head = read;
        clearBody();
    }

    /** Frees the buffer: the connection may rest for long. */
    private void clearBody() {
        body = new ByteArrayOutputStream();
        bodyValues = 0;
    }

    @Override
    public void body(ByteBuffer piece) throws BadMessageException {
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        for (byte b : bytes) {
            bodyValues += b == ',' || b == '{' || b == '[' ? 1 : 0;
        }
        if (body.size() + bytes.length > MAX_LIST_BYTES || bodyValues > MAX_LIST_VALUES) {
            throw new BadMessageException(502, "the list is too long");
        }
        body.writeBytes(bytes);
    }

    @Override
    public void end() {
        // handled by received(), once the reader has returned
    }

    @Override
    public void onIdle() {
        // the reducer times the connections that the router opens
    }

    @Override
    public void onWritten(int bytes) {
        // polls need no confirmation that they were sent
    }

    void close() {
        closed = true;
        connection.close();
    }

    /** A close with no open request only means that the next poll needs a new connection. */
    @Override
    public void onClosed() {
        if (closed) {
            return;
        }
        closed = true;
        EndpointList lastList = listAtEndOfConnection();
        if (lastList == null) {
            calls.connectionLost(this);
            if (callOpen) {
                calls.failed(this);
            }
        } else if (callOpen) {
            calls.answeredAndClosed(this, lastList, delayMicros());
        } else {
            calls.connectionClosed(this);
        }
    }
}
