package yewdock.faults;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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

    RouterProcess(Path folder, String configurationText) throws IOException {
        configurationFile = Files.writeString(folder.resolve("config.json"), configurationText);
        ProcessBuilder builder = new ProcessBuilder("env", "--default-signal=HUP,TERM",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx48m", "-cp", System.getProperty("java.class.path"),
                "yewdock.Main", "serve");
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
