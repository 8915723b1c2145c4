package yewdock.admin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import yewdock.core.OperatorCommand;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;

/** A connection to the admin interface: reads one command line, sends one answer and closes. */
final class AdminConnection implements ConnectionHandler {
    /** Maximum length of a command line in bytes. */
    static final int MAX_LINE_BYTES = 512;

    private final AdminInterface adminInterface;
    private final long id;
    private final Connection connection;
    private final StringBuilder line = new StringBuilder();
    /** Whether further bytes are ignored: a command was taken or rejected, or the connection is closed. */
    private boolean inputClosed;

    AdminConnection(AdminInterface adminInterface, long id, Connection connection) {
        this.adminInterface = adminInterface;
        this.id = id;
        this.connection = connection;
    }

    @Override
    public void onConnected() {
        // an accepted connection is always up
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
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
        OperatorCommand command = commandNamed(words[0]);
        int wanted = command != null && command.namesServer() ? 2 : 1;
        if (command == null) {
            reject("unknown call; there are health, counters, cordon ID, uncordon ID, quiesce, resume");
        } else if (words.length != wanted) {
            reject(wanted == 2 ? "one id is wanted" : "nothing is wanted behind this call");
        } else {
            inputClosed = true;
            adminInterface.dispatch(id, command, wanted == 2 ? words[1] : "");
        }
    }

    private static OperatorCommand commandNamed(String word) {
        for (OperatorCommand command : OperatorCommand.values()) {
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
        connection.closeLingering();
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
    public void onWritten(int bytes) {
        // closing waits until everything is written
    }

    /**
     * No command came within the idle timeout, or the connection has lingered long enough after an answer.
     */
    @Override
    public void onIdle() {
        inputClosed = true;
        connection.close();
    }

    @Override
    public void onClosed() {
        inputClosed = true;
        adminInterface.remove(id);
    }
}
