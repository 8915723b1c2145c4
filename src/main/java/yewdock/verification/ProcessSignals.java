package yewdock.verification;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Sends signals to processes of this machine. */
public final class ProcessSignals {
    private static final String STOP = "STOP";
    private static final long STOP_TIMEOUT_SECONDS = 10;
    /** States of a thread that has not stopped yet: running, sleeping, in uninterruptible sleep. */
    private static final String RUNNING_STATES = "RSD";

    private ProcessSignals() {
    }

    /**
     * Sends the signal of this name, such as STOP, CONT or HUP. For STOP, returns once every thread of the
     * processes has stopped, because each thread stops only when it is next scheduled.
     */
    public static void send(String name, List<Long> pids) throws IOException {
        List<String> command = new ArrayList<>(List.of("kill", "-" + name));
        pids.forEach(pid -> command.add(pid.toString()));
        try {
            int exit = new ProcessBuilder(command).start().waitFor();
            if (exit != 0) {
                throw new IOException(String.join(" ", command) + " ended with " + exit);
            }
            if (name.equals(STOP)) {
                awaitStopped(pids);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitStopped(List<Long> pids) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(STOP_TIMEOUT_SECONDS);
        for (long pid : pids) {
            while (!isStopped(pid)) {
                if (System.nanoTime() > end) {
                    throw new IOException("process " + pid + " did not stop after SIGSTOP");
                }
                Thread.sleep(1);
            }
        }
    }

    private static boolean isStopped(long pid) throws IOException {
        Path threads = Path.of("/proc", Long.toString(pid), "task");
        if (Files.notExists(threads)) {
            return true;
        }
        try (Stream<Path> all = Files.list(threads)) {
            for (Path thread : all.toList()) {
                if (RUNNING_STATES.indexOf(threadState(thread)) >= 0) {
                    return false;
                }
            }
        }
        return true;
    }

    /** The state letter of a thread; a thread that has ended counts as stopped. */
    private static char threadState(Path thread) throws IOException {
        try (var reader = Files.newBufferedReader(thread.resolve("stat"))) {
            String line = reader.readLine();
            return line.charAt(line.lastIndexOf(')') + 2);
        } catch (NoSuchFileException e) {
            return 'T';
        }
    }
}
