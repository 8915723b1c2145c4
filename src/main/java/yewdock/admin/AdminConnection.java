package yewdock.admin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import yewdock.core.OperatorCommand;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;

/** An operator's connection: a line comes, an answer goes, and it is closed. */
final class AdminConnection implements ConnectionHandler {
    /** No call is longer. */
    static final int MOST_LINE = 512;

    private final AdminInterface door;
    private final long id;
    private final Connection wire;
    private final StringBuilder line = new StringBuilder();
    private boolean called;

    AdminConnection(AdminInterface door, long id, Connection wire) {
        this.door = door;
        this.id = id;
        this.wire = wire;
    }

    @Override
    public void onConnected() {
        // a caller's connection is up from the first
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        if (called) {
            return;
        }
        while (bytes.hasRemaining()) {
            char c = (char) (bytes.get() & 0xff);
            if (c == '\n') {
                call(line.toString());
                return;
            }
            line.append(c);
            if (line.length() > MOST_LINE) {
                turnDown("the line is too long");
                return;
            }
        }
    }

    private void call(String text) {
        String[] words = text.strip().split("\\s+");
        OperatorCommand call = named(words[0]);
        int wanted = call != null && call.namesServer() ? 2 : 1;
        if (call == null) {
            turnDown("unknown call; there are health, counters, cordon ID, uncordon ID, quiesce, resume");
        } else if (words.length != wanted) {
            turnDown(wanted == 2 ? "one id is wanted" : "nothing is wanted behind this call");
        } else {
            called = true;
            door.called(id, call, wanted == 2 ? words[1] : "");
        }
    }

    private static OperatorCommand named(String word) {
        for (OperatorCommand call : OperatorCommand.values()) {
            if (call.name().toLowerCase(Locale.ROOT).equals(word)) {
                return call;
            }
        }
        return null;
    }

    private void turnDown(String why) {
        called = true;
        answer("NO " + why + "\n");
    }

    void answer(String text) {
        wire.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        wire.closeLingering();
    }

    /** Others need the place: one that is being answered goes by itself, one that says nothing goes now. */
    void makeRoom() {
        door.forget(id);
        if (!called) {
            called = true;
            wire.close();
        }
    }

    @Override
    public void onWritten(int bytes) {
        // the close waits for it
    }

    /** No call came for long, or it has lingered long enough. */
    @Override
    public void onIdle() {
        called = true;
        wire.close();
    }

    @Override
    public void onClosed() {
        called = true;
        door.forget(id);
    }
}
