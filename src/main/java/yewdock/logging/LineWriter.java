package yewdock.logging;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Writes log lines on a thread of its own, so that no caller waits for a reader of the log that is slow or
 * has stopped. Lines that don't fit into the limited queue are dropped, and their number is written instead.
 */
final class LineWriter {
    static final int MAX_QUEUED_CHARACTERS = 256 * 1024;
    private static final long EXIT_FLUSH_MILLIS = 300;

    private final PrintStream out;
    private final Deque<String> lines = new ArrayDeque<>();
    private int queuedCharacters;
    private long dropped;
    private boolean writing;
    private boolean started;

    LineWriter(PrintStream out) {
        this.out = out;
    }

    /** Queues text of one or more lines. */
    synchronized void write(String text) {
        if (queuedCharacters + text.length() > MAX_QUEUED_CHARACTERS) {
            dropped++;
            return;
        }
        if (dropped > 0) {
            add("(" + dropped + " log lines were dropped)");
            dropped = 0;
        }
        add(text);
        start();
        notifyAll();
    }

    private void add(String text) {
        lines.add(text);
        queuedCharacters += text.length();
    }

    private void start() {
        if (!started) {
            started = true;
            Thread thread = new Thread(this::writeLines, "log-writer");
            thread.setDaemon(true);
            thread.start();
            flushAtExit();
        }
    }

    private void flushAtExit() {
        try {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> flush(EXIT_FLUSH_MILLIS), "log-flush"));
        } catch (IllegalStateException e) {
            // the process is exiting already; whoever logs now flushes
        }
    }

    private void writeLines() {
        try {
            while (true) {
                out.println(next());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String next() throws InterruptedException {
        writing = false;
        notifyAll();
        while (lines.isEmpty()) {
            wait();
        }
        writing = true;
        String text = lines.remove();
        queuedCharacters -= text.length();
        return text;
    }

    /** Waits until everything is written, for this time at most. */
    synchronized void flush(long timeoutMillis) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        try {
            for (long left = timeoutMillis; left > 0 && (writing || !lines.isEmpty());
                    left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())) {
                wait(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!writing) {
            out.flush();
        }
    }
}
