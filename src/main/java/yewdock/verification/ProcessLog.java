package yewdock.verification;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** The output of a started process, collected line by line. Thread-safe. */
final class ProcessLog {
    private final Process process;
    private final List<String> lines = new ArrayList<>();

    /** Starts a thread that reads all output of the process and passes each line to the consumer. */
    ProcessLog(Process process, Consumer<String> onLine) {
        this.process = process;
        Thread reader = new Thread(() -> read(onLine), "log");
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Consumer<String> onLine) {
        try (BufferedReader reader = process.inputReader()) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                synchronized (lines) {
                    lines.add(line);
                    lines.notifyAll();
                }
                onLine.accept(line);
            }
        } catch (IOException e) {
            // the process has ended
        }
        synchronized (lines) {
            lines.notifyAll();
        }
    }

    /**
     * Waits for a matching line, also among those already read.
     *
     * @param millis the timeout in milliseconds
     * @return the line, or null if the process ends or the timeout passes without one
     */
    String await(Predicate<String> wanted, long millis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        synchronized (lines) {
            int checked = 0;
            while (true) {
                for (; checked < lines.size(); checked++) {
                    if (wanted.test(lines.get(checked))) {
                        return lines.get(checked);
                    }
                }
                long millisLeft = (end - System.nanoTime()) / 1_000_000;
                if (millisLeft <= 0 || !process.isAlive() && checked == lines.size()) {
                    return null;
                }
                try {
                    lines.wait(Math.min(millisLeft, 100));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return null;
                }
            }
        }
    }

    /** All lines so far, joined by line feeds. */
    String text() {
        synchronized (lines) {
            return String.join("\n", lines);
        }
    }

    /** Parses an address in the form of the logs, host:port. */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
