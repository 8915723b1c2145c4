package yewdock.platform;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import yewdock.core.EndpointList;
import yewdock.core.Event;
import yewdock.http.BadMessageException;
import yewdock.http.MessageHead;
import yewdock.http.MessageReader;

/** A discovery connection: polls for the endpoint list, one request at a time. */
final class DiscoveryConnectionHandler implements ConnectionHandler, MessageReader.Sink {
    private static final int MAX_LIST_BYTES = 4 << 20;
    /** Longest list in values: each takes some hundred bytes when it is parsed. */
    private static final int MAX_LIST_VALUES = 128 * 1024;
    private static final int OK = 200;

    private final ConnectionManager manager;
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
    private boolean requestOpen;
    private boolean closed;

    DiscoveryConnectionHandler(ConnectionManager manager, EndpointListReader listReader, String host,
            Connection connection) {
        this.manager = manager;
        this.listReader = listReader;
        this.host = host;
        this.connection = connection;
    }

    /** Whether the connection is to this address. */
    boolean isTo(String address) {
        return host.equals(address);
    }

    /** Whether a request has not been answered yet. */
    boolean isRequestOpen() {
        return requestOpen;
    }

    /** Polls for changes after this version, or for the whole list if it is negative. */
    void poll(long sinceVersion, long waitMicros) {
        String query = sinceVersion < 0 ? "" : "?since=" + sinceVersion + "&timeout_ms=" + waitMicros / 1000;
        pendingRequest = "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        requestOpen = true;
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
                if (!requestOpen) {
                    throw new BadMessageException(502, "unexpected response: no request is open");
                }
                reader.read(bytes);
                if (reader.isComplete()) {
                    reader.startNext();
                    responseComplete();
                }
            }
        } catch (BadMessageException | JSONException e) {
            manager.log("the box list's answer is malformed: " + e.getMessage());
            connection.close();
        }
    }

    private void responseComplete() {
        if (head.status() != OK) {
            requestOpen = false;
            closeUnlessKeptAlive();
            manager.pollFailed(this);
            return;
        }
        EndpointList list = listReader.read(body.toString(StandardCharsets.UTF_8));
        clearBody();
        requestOpen = false;
        if (head.keepsAlive()) {
            manager.listReceived(this, list);
        } else {
            closed = true;
            connection.close();
            manager.lastListReceived(this, list);
        }
    }

    private void closeUnlessKeptAlive() {
        if (!head.keepsAlive()) {
            closed = true;
            manager.discoveryClosed(this);
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
            manager.log("the box list's answer is malformed: " + e.getMessage());
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
            manager.discoveryClosed(this);
            manager.dispatch(new Event.DiscoveryConnectionLost());
            if (requestOpen) {
                manager.pollFailed(this);
            }
        } else if (requestOpen) {
            manager.lastListReceived(this, lastList);
        } else {
            manager.discoveryClosed(this);
        }
    }
}
