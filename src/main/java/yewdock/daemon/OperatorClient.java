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

/** An operator's side of the control socket. */
public final class OperatorClient {
    private OperatorClient() {
    }

    /**
     * Asks the daemon whose control socket is in this folder; the lines of its answer go to out. Returns the
     * exit code that the daemon gives; throws IOException if there is no daemon, or none that answers in
     * time.
     */
    public static int sendCommand(Path control, String command, List<String> words, long millis,
            Consumer<String> out)
            throws IOException {
        ControlConnection link = ControlConnection.inFolder(control);
        BlockingQueue<Frame> answers = new LinkedBlockingQueue<>();
        link.start("daemon", answers::add, why -> answers.add(Frame.getDefaultInstance()));
        link.send(Frame.newBuilder().setAsk(Ask.newBuilder().setCommand(command).addAllWords(words)).build());
        try {
            while (true) {
                Frame frame = answers.poll(millis, TimeUnit.MILLISECONDS);
                if (frame == null) {
                    throw new IOException("the daemon did not answer within " + millis + " ms");
                }
                if (!frame.hasAnswer()) {
                    throw new IOException("the daemon went away before it answered");
                }
                Answer answer = frame.getAnswer();
                out.accept(answer.getLine());
                if (answer.getLast()) {
                    return answer.getExit();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            link.close();
        }
    }
}
