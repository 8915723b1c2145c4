package yewdock.verification;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** What a process that was started says, line by line as it comes. Thread-safe. */
final class ProcessLog {
    private final Process process;
    private final List<String> lines = new ArrayList<>();

    /** Reads all that the process says; each line goes to this consumer too, on a thread of its own. */
    ProcessLog(Process process, Consumer<String> each) {
        this.process = process;
        Thread reader = new Thread(() -> read(each), "log");
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Consumer<String> each) {
        try (BufferedReader reader = process.inputReader()) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                synchronized (lines) {
                    lines.add(line);
                    lines.notifyAll();
                }
                each.accept(line);
            }
        } catch (IOException e) {
            // the process has ended
        }
        synchronized (lines) {
            lines.notifyAll();
        }
    }

    /** Waits for a line, also one that has come before; null if the process ends without it, or in time. */
    String await(Predicate<String> wanted, long millis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        synchronized (lines) {
            int seen = 0;
            while (true) {
                for (; seen < lines.size(); seen++) {
                    if (wanted.test(lines.get(seen))) {
                        return lines.get(seen);
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0 || !process.isAlive() && seen == lines.size()) {
                    return null;
                }
                try {
                    lines.wait(Math.min(left, 100));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return null;
                }
            }
        }
    }

    /** All lines so far. */
    String text() {
        synchronized (lines) {
            return String.join("\n", lines);
        }
    }

    /** An address as logs have it. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
