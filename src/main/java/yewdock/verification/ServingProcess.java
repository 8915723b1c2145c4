package yewdock.verification;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * A router process started with {@code serve}, as the platform starts it, with an address for operator
 * commands. Several of them in succession form one router.
 */
public final class ServingProcess implements Closeable {
    private static final List<String> SMALL_HEAP_FLAGS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m");
    private static final long WAIT_MILLIS = 30_000;
    private static final int COMMAND_TIMEOUT_MILLIS = 5_000;
    private static final String LISTEN_MESSAGE = "listens on /";
    private static final String OPERATOR_LISTEN_MESSAGE = "operators call /";

    private final Process process;
    private final ProcessLog log;
    private final long startedAt = System.nanoTime();

    private ServingProcess(Process process) {
        this.process = process;
        this.log = new ProcessLog(process, line -> { });
    }

    /**
     * Starts a process.
     *
     * @param mainAndArguments the main class, followed by its arguments
     * @param folder holds the files of the process
     * @param configuration the platform's configuration, with an address for operators
     */
    public static ServingProcess start(List<String> mainAndArguments, Path folder, String configuration)
            throws IOException {
        return start(mainAndArguments, folder, configuration, Map.of());
    }

    /** As above, with further environment variables. */
    public static ServingProcess start(List<String> mainAndArguments, Path folder, String configuration,
            Map<String, String> environment) throws IOException {
        return start(SMALL_HEAP_FLAGS, mainAndArguments, folder, configuration, environment);
    }

    /** As above, with these flags of the JVM. */
    public static ServingProcess start(List<String> jvmFlags, List<String> mainAndArguments, Path folder,
            String configuration, Map<String, String> environment) throws IOException {
        Path config = Files.writeString(Files.createTempFile(folder, "config", ".json"), configuration);
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin",
                "java").toString()));
        command.addAll(jvmFlags);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(mainAndArguments);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
        builder.environment().putAll(environment);
        return new ServingProcess(builder.start());
    }

    /** The client address; waits until the process listens on it. */
    public InetSocketAddress address() throws IOException {
        return awaitAddress(LISTEN_MESSAGE);
    }

    private InetSocketAddress awaitAddress(String message) throws IOException {
        String line = awaitLogLine(l -> l.contains(message));
        if (line == null) {
            throw new IOException("the process did not log its address:\n" + log());
        }
        return ProcessLog.parseAddress(line.substring(line.indexOf(message) + message.length()));
    }

    /** Sends an operator command and returns the whole answer. */
    public String sendCommand(String line) throws IOException {
        InetSocketAddress at = awaitAddress(OPERATOR_LISTEN_MESSAGE);
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(COMMAND_TIMEOUT_MILLIS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Waits until the process reports ready; returns the time since its start, in nanoseconds. */
    public long awaitReady() throws IOException {
        long waitStart = System.nanoTime();
        while (System.nanoTime() - waitStart < TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS)) {
            if (sendCommand("health").startsWith("YES")) {
                return System.nanoTime() - startedAt;
            }
            Thread.onSpinWait();
        }
        throw new IOException("the process did not become ready:\n" + log());
    }

    /** The start time, in nanoseconds as by {@link System#nanoTime}. */
    public long startedAt() {
        return startedAt;
    }

    /**
     * Waits for a matching log line, also among those already written.
     *
     * @return the line, or null if the process ends or the wait times out without one
     */
    public String awaitLogLine(Predicate<String> wanted) {
        return log.await(wanted, WAIT_MILLIS);
    }

    /** All log lines so far. */
    public String log() {
        return log.text();
    }

    /** The handle of the process. */
    public ProcessHandle process() {
        return process.toHandle();
    }

    /** Resident memory in kilobytes, or 0 if the process has ended. */
    public long residentKilobytes() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                    .filter(l -> l.startsWith("VmRSS:"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", ""))).findFirst().orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Sends SIGTERM. */
    public void terminate() {
        process.destroy();
    }

    /** Waits for the process to end; returns false if it does not in time. */
    public boolean awaitExit() {
        try {
            return process.waitFor(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** The exit code; the process must have ended. */
    public int exitCode() {
        return process.exitValue();
    }

    /** Kills the process and waits until it has ended. */
    @Override
    public void close() {
        process.destroyForcibly();
        awaitExit();
    }
}
