package yewdock.faults;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import yewdock.verification.ProcessSignals;

/** A router in its own process, started with the {@code serve} command and {@code PROXY_CONFIG}. */
final class RouterProcess implements Closeable {
    /** Precedes the listening address in the log. */
    private static final String LISTENING_MESSAGE = "listens on";
    private static final int START_TIMEOUT_SECONDS = 30;

    private final Path configurationFile;
    private final Process process;
    private final List<String> log = new ArrayList<>();
    private final CompletableFuture<Integer> port = new CompletableFuture<>();

    /** Flags for a small heap. */
    static final List<String> SMALL_HEAP_FLAGS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m");

    /** Starts a router with a small heap. */
    RouterProcess(Path folder, String configurationText) throws IOException {
        this(folder, configurationText, SMALL_HEAP_FLAGS, Map.of());
    }

    /**
     * Starts a router.
     *
     * @param folder where its configuration file goes
     * @param jvmFlags flags of the JVM
     * @param environment further environment variables; TMPDIR is the folder unless it is among them
     */
    RouterProcess(Path folder, String configurationText, List<String> jvmFlags,
            Map<String, String> environment) throws IOException {
        configurationFile = Files.writeString(folder.resolve("config.json"), configurationText);
        List<String> command = new ArrayList<>(List.of("env", "--default-signal=HUP,TERM",
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(jvmFlags);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "yewdock.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().putAll(environment);
        builder.environment().put("PROXY_CONFIG", configurationFile.toString());
        process = builder.redirectErrorStream(true).start();
        Thread reader = new Thread(this::readLog, "log");
        reader.setDaemon(true);
        reader.start();
    }

    private void readLog() {
        try (BufferedReader lines = process.inputReader()) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                synchronized (log) {
                    log.add(line);
                }
                if (line.contains(LISTENING_MESSAGE)) {
                    port.complete(Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
                }
            }
        } catch (IOException e) {
            // the process has exited
        }
        port.completeExceptionally(new IOException("the router exited before it listened:\n" + log()));
    }

    /** Returns the flags that size the JVM's memory in the deploy file. */
    static List<String> deployedMemoryFlags() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        return Arrays.stream(run.split(" ")).filter(word -> word.startsWith("-X") && !word.startsWith("-Xlog")
                && !word.startsWith("-Xshare") && !word.contains("SharedArchiveFile")
                || word.startsWith("-Djdk")).toList();
    }

    /** Returns the peak of the process's resident memory in bytes. */
    long peakMemoryBytes() throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) << 10).findFirst()
                .orElseThrow();
    }

    /** Whether the process has not ended. */
    boolean isAlive() {
        return process.isAlive();
    }

    /** Waits until the router listens and returns the port for clients. */
    int port() throws Exception {
        return port.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns everything the process has written so far. */
    String log() {
        synchronized (log) {
            return String.join("\n", log);
        }
    }

    /** The configuration file, which the router reads at its start and on SIGHUP. */
    Path configurationFile() {
        return configurationFile;
    }

    /** Sends a signal by name, such as STOP, CONT or HUP. */
    void signal(String name) throws Exception {
        ProcessSignals.send(name, List.of(process.pid()));
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
