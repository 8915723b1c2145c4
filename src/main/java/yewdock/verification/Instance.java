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
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** A router's process as the platform starts it, with a door for operators; several make one router. */
public final class Instance implements Closeable {
    private static final long PATIENCE_MILLIS = 30_000;
    private static final int CALL_MILLIS = 5_000;
    private static final String LISTENS = "listens on /";
    private static final String CALLED = "operators call /";

    private final Process process;
    private final ProcessLog log;
    private final long startedAt = System.nanoTime();

    private Instance(Process process) {
        this.process = process;
        this.log = new ProcessLog(process, line -> { });
    }

    /**
     * Starts a process with this main class and its words, and with its files in this folder; the
     * configuration has an address of its own for operators.
     */
    public static Instance start(List<String> main, Path folder, String configuration) throws IOException {
        Path config = Files.writeString(Files.createTempFile(folder, "config", ".json"), configuration);
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin",
                "java").toString(), "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp",
                System.getProperty("java.class.path")));
        command.addAll(main);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
        return new Instance(builder.start());
    }

    /** Where it listens for clients, once it does. */
    public InetSocketAddress address() throws IOException {
        return said(LISTENS);
    }

    private InetSocketAddress said(String words) throws IOException {
        String line = await(l -> l.contains(words));
        if (line == null) {
            throw new IOException("the process did not come so far:\n" + log());
        }
        return ProcessLog.address(line.substring(line.indexOf(words) + words.length()));
    }

    /** What a call at its door brings. */
    public String call(String line) throws IOException {
        InetSocketAddress at = said(CALLED);
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(CALL_MILLIS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Waits until it says that it is ready; returns how long after its start, in nanoseconds. */
    public long ready() throws IOException {
        long began = System.nanoTime();
        while (System.nanoTime() - began < TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS)) {
            if (call("health").startsWith("YES")) {
                return System.nanoTime() - startedAt;
            }
            Thread.onSpinWait();
        }
        throw new IOException("never ready:\n" + log());
    }

    /** When it was started, by the system's monotonic clock. */
    public long startedAt() {
        return startedAt;
    }

    /** Waits for a line of the log, also one that has come before; null if it ends without it. */
    public String await(Predicate<String> wanted) {
        return log.await(wanted, PATIENCE_MILLIS);
    }

    public String log() {
        return log.text();
    }

    public ProcessHandle process() {
        return process.toHandle();
    }

    /** What it holds in memory, in kilobytes; 0 if it is gone. */
    public long resident() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                    .filter(l -> l.startsWith("VmRSS:"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", ""))).findFirst().orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** SIGTERM. */
    public void leave() {
        process.destroy();
    }

    /** Whether it has ended by itself, waiting for that. */
    public boolean ended() {
        try {
            return process.waitFor(PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** The exit code of a process that has ended. */
    public int exit() {
        return process.exitValue();
    }

    /** SIGKILL. */
    @Override
    public void close() {
        process.destroyForcibly();
        ended();
    }
}
