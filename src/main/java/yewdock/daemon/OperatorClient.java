package yewdock.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import yewdock.wire.Answer;
import yewdock.wire.Ask;
import yewdock.wire.Frame;

/** Sends operator commands to a daemon over its control socket. */
public final class OperatorClient {
    private OperatorClient() {
    }

    /**
     * Sends a command to the daemon whose control socket is in this folder, and passes the lines of the
     * answer to out. Returns the daemon's exit code for the command; throws IOException if no daemon listens
     * or no line comes within this many milliseconds.
     */
    public static int sendCommand(Path control, String command, List<String> arguments, long timeoutMillis,
            Consumer<String> out)
            throws IOException {
        ControlConnection connection = ControlConnection.inFolder(control);
        BlockingQueue<Frame> answers = new LinkedBlockingQueue<>();
        connection.start("daemon", answers::add, why -> answers.add(Frame.getDefaultInstance()));
        connection.send(Frame.newBuilder().setAsk(Ask.newBuilder().setCommand(command)
                .addAllWords(arguments)).build());
        try {
            while (true) {
                Frame frame = answers.poll(timeoutMillis, TimeUnit.MILLISECONDS);
                if (frame == null) {
                    throw new IOException("the daemon did not answer within " + timeoutMillis + " ms");
                }
                if (!frame.hasAnswer()) {
                    throw new IOException("the daemon closed the connection before it answered");
                }
                Answer answer = frame.getAnswer();
                out.accept(answer.getLine());
                if (answer.getLast()) {
                    return answer.getExit();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the daemon's answer", e);
        } finally {
            connection.close();
        }
    }
}
