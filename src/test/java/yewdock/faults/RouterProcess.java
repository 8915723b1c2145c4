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

/** A router in a process of its own, started as the platform starts it. */
final class RouterProcess implements Closeable {
    private static final String LISTENS = "listens on";
    private static final int READY_SECONDS = 30;

    private final Path configuration;
    private final Process process;
    private final List<String> log = new ArrayList<>();
    private final CompletableFuture<Integer> port = new CompletableFuture<>();

    RouterProcess(Path folder, String configurationText) throws IOException {
        configuration = Files.writeString(folder.resolve("config.json"), configurationText);
        ProcessBuilder builder = new ProcessBuilder("env", "--default-signal=HUP,TERM",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx48m", "-cp", System.getProperty("java.class.path"),
                "yewdock.Main", "serve");
        builder.environment().put("PROXY_CONFIG", configuration.toString());
        process = builder.redirectErrorStream(true).start();
        Thread reader = new Thread(this::read, "log");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader lines = process.inputReader()) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                synchronized (log) {
                    log.add(line);
                }
                if (line.contains(LISTENS)) {
                    port.complete(Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
                }
            }
        } catch (IOException e) {
            // the process has ended
        }
        port.completeExceptionally(new IOException("the router ended:\n" + log()));
    }

    /** Where clients connect, once it listens. */
    int port() throws Exception {
        return port.get(READY_SECONDS, TimeUnit.SECONDS);
    }

    /** All that it has said. */
    String log() {
        synchronized (log) {
            return String.join("\n", log);
        }
    }

    Path configuration() {
        return configuration;
    }

    /** Sends a signal by its name, such as STOP, CONT or HUP. */
    void signal(String name) throws Exception {
        ProcessSignals.send(name, List.of(process.pid()));
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
