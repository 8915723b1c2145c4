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

/** The connection on which the box list is watched. */
final class DiscoveryConnectionHandler implements ConnectionHandler, MessageReader.Sink {
    private static final int MOST_LIST = 4 << 20;
    private static final int OK = 200;

    private final ConnectionManager front;
    private final EndpointListReader lists;
    private final String host;
    private final Connection wire;
    private final MessageReader reader = new MessageReader(MessageReader.Kind.RESPONSE, this);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private MessageHead head;
    private String waiting;
    private boolean up;
    private boolean out;
    private boolean gone;

    DiscoveryConnectionHandler(ConnectionManager front, EndpointListReader lists, String host,
            Connection wire) {
        this.front = front;
        this.lists = lists;
        this.host = host;
        this.wire = wire;
    }

    /** Whether this is a connection to that address. */
    boolean leadsTo(String address) {
        return host.equals(address);
    }

    /** Whether a call is to be answered. */
    boolean isAsked() {
        return out;
    }

    void ask(long since, long wait) {
        String query = since < 0 ? "" : "?since=" + since + "&timeout_ms=" + wait / 1000;
        waiting = "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        out = true;
        writeIfUp();
    }

    private void writeIfUp() {
        if (up && waiting != null) {
            wire.write(ByteBuffer.wrap(waiting.getBytes(StandardCharsets.ISO_8859_1)));
            waiting = null;
        }
    }

    @Override
    public void onConnected() {
        up = true;
        writeIfUp();
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        try {
            while (bytes.hasRemaining() && !gone) {
                if (!out) {
                    throw new BadMessageException(502, "an answer that nobody asked for");
                }
                reader.read(bytes);
                if (reader.isComplete()) {
                    reader.startNext();
                    whole();
                }
            }
        } catch (BadMessageException | JSONException e) {
            front.log("the box list's answer is malformed: " + e.getMessage());
            wire.close();
        }
    }

    private void whole() {
        if (head.status() != OK) {
            out = false;
            closeUnlessKept();
            front.listFailed(this);
            return;
        }
        EndpointList list = lists.read(body.toString(StandardCharsets.UTF_8));
        out = false;
        if (head.keepsAlive()) {
            front.listCame(this, list);
        } else {
            gone = true;
            wire.close();
            front.listCameLast(this, list);
        }
    }

    private void closeUnlessKept() {
        if (!head.keepsAlive()) {
            gone = true;
            front.listClosed(this);
            wire.close();
        }
    }

    /** What the end of the connection makes of the call: a body without a length is whole, if it reads so. */
    private EndpointList endOfConnection() {
        if (!reader.readsUntilClose() || head.status() != OK) {
            return null;
        }
        try {
            return lists.read(body.toString(StandardCharsets.UTF_8));
        } catch (JSONException e) {
            front.log("the box list's answer is malformed: " + e.getMessage());
            return null;
        }
    }

    @Override
    public void head(MessageHead read) {
        head = read;
        body.reset();
    }

    @Override
    public void body(ByteBuffer piece) {
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        if (body.size() + bytes.length <= MOST_LIST) {
            body.writeBytes(bytes);
        }
    }

    @Override
    public void end() {
        // taken up by received, once the reader has let go of the bytes
    }

    @Override
    public void onIdle() {
        // the desk keeps the times of the router's own connections
    }

    @Override
    public void onWritten(int bytes) {
        // nothing waits for it
    }

    void hangUp() {
        gone = true;
        wire.close();
    }

    /** A close between calls only means that the next call needs a new connection. */
    @Override
    public void onClosed() {
        if (gone) {
            return;
        }
        gone = true;
        EndpointList last = endOfConnection();
        if (last == null) {
            front.listClosed(this);
            front.dispatch(new Event.DiscoveryConnectionLost());
            if (out) {
                front.listFailed(this);
            }
        } else if (out) {
            front.listCameLast(this, last);
        } else {
            front.listClosed(this);
        }
    }
}
