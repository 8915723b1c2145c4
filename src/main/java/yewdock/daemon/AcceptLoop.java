package yewdock.daemon;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import yewdock.logging.EventLog;

/** Accepts connections until the listener is closed. A failed accept is tried again after a pause. */
final class AcceptLoop implements Runnable {
    /** A listener that blocks in accept. */
    interface Listener {
        SocketChannel accept() throws IOException;
    }

    static final long RETRY_MILLIS = 100;

    private final Listener listener;
    private final String failureEvent;
    private final Consumer<SocketChannel> connections;

    /**
     * Makes a loop.
     *
     * @param failureEvent the name of the log line for a failed accept
     * @param connections receives each accepted connection
     */
    AcceptLoop(Listener listener, String failureEvent, Consumer<SocketChannel> connections) {
        this.listener = listener;
        this.failureEvent = failureEvent;
        this.connections = connections;
    }

    @Override
    public void run() {
        while (acceptOne()) {
            // until the listener is closed
        }
    }

    /** Returns false once the listener is closed or the thread is interrupted. */
    private boolean acceptOne() {
        try {
            connections.accept(listener.accept());
            return true;
        } catch (ClosedChannelException e) {
            return false;
        } catch (IOException e) {
            EventLog.warn(failureEvent, "why", e.getMessage());
            return pause();
        }
    }

    private static boolean pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
