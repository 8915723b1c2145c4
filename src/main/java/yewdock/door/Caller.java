package yewdock.door;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import yewdock.desk.Call;
import yewdock.platform.Side;
import yewdock.platform.Wire;

/** A connection to the admin interface: reads one command line, sends one answer and closes. */
final class Caller implements Side {
    /** Maximum length of a command line in bytes. */
    static final int MAX_LINE_BYTES = 512;

    private final Door adminInterface;
    private final long id;
    private final Wire connection;
    private final StringBuilder line = new StringBuilder();
    /** Whether further bytes are ignored: a command was taken or rejected, or the connection is closed. */
    private boolean inputClosed;

    Caller(Door adminInterface, long id, Wire connection) {
        this.adminInterface = adminInterface;
        this.id = id;
        this.connection = connection;
    }

    @Override
    public void up() {
        // an accepted connection is always up
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (inputClosed) {
            return;
        }
        while (bytes.hasRemaining()) {
            char c = (char) (bytes.get() & 0xff);
            if (c == '\n') {
                parseCommand(line.toString());
                return;
            }
            line.append(c);
            if (line.length() > MAX_LINE_BYTES) {
                reject("the line is too long");
                return;
            }
        }
    }

    private void parseCommand(String text) {
        String[] words = text.strip().split("\\s+");
        Call command = commandNamed(words[0]);
        int wanted = command != null && command.namesBox() ? 2 : 1;
        if (command == null) {
            reject("unknown call; there are health, counters, cordon ID, uncordon ID, quiesce, resume");
        } else if (words.length != wanted) {
            reject(wanted == 2 ? "one id is wanted" : "nothing is wanted behind this call");
        } else {
            inputClosed = true;
            adminInterface.dispatch(id, command, wanted == 2 ? words[1] : "");
        }
    }

    private static Call commandNamed(String word) {
        for (Call command : Call.values()) {
            if (command.name().toLowerCase(Locale.ROOT).equals(word)) {
                return command;
            }
        }
        return null;
    }

    private void reject(String reason) {
        inputClosed = true;
        answer("NO " + reason + "\n");
    }

    /** Writes the answer and closes once the client has had time to read it. */
    void answer(String text) {
        connection.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        connection.linger();
    }

    /** Frees the place for another connection; closes at once unless a command is already being answered. */
    void evict() {
        adminInterface.remove(id);
        if (!inputClosed) {
            inputClosed = true;
            connection.close();
        }
    }

    @Override
    public void written(int bytes) {
        // closing waits until everything is written
    }

    /**
     * No command came within the idle timeout, or the connection has lingered long enough after an answer.
     */
    @Override
    public void idle() {
        inputClosed = true;
        connection.close();
    }

    @Override
    public void down() {
        inputClosed = true;
        adminInterface.remove(id);
    }
}
