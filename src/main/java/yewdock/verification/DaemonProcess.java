package yewdock.verification;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import yewdock.daemon.OperatorClient;

/** A daemon running as a process, with its log and its operator commands. */
public final class DaemonProcess implements Closeable {
    private static final long RESPONSE_TIMEOUT_MILLIS = 60_000;
    private static final long EXIT_TIMEOUT_SECONDS = 30;
    private static final int SIGTERM_EXIT_CODE = 128 + 15;

    private final Path folder;
    private final Process process;
    private final ProcessLog log;
    private final CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();

    private DaemonProcess(Path folder, Process process) {
        this.folder = folder;
        this.process = process;
        this.log = new ProcessLog(process, this::parseListenAddress);
    }

    /**
     * Starts a daemon; returns once it listens and its first generation serves.
     *
     * @param mainClass the main class of the daemon
     * @param folder holds the files of the daemon
     * @param configuration the platform's configuration
     * @param upgradeBlock the content of the upgrade block in the operator's settings file
     */
    public static DaemonProcess start(String mainClass, Path folder, String configuration,
            String upgradeBlock) throws IOException {
        return start(mainClass, folder, configuration, upgradeBlock, "");
    }

    /** Starts a daemon as above, with more blocks in the operator's settings file. */
    public static DaemonProcess start(String mainClass, Path folder, String configuration,
            String upgradeBlock, String moreBlocks) throws IOException {
        DaemonProcess router = launch(mainClass, folder, configuration, upgradeBlock, moreBlocks);
        if (router.awaitLogLine(line -> line.contains("upgrade.done")) == null) {
            throw new IOException("the daemon did not start serving:\n" + router.log());
        }
        return router;
    }

    /** Starts a daemon as above, but returns at once. */
    public static DaemonProcess launch(String mainClass, Path folder, String configuration,
            String upgradeBlock, String moreBlocks) throws IOException {
        Path config = Files.writeString(folder.resolve("config.json"), configuration);
        Path operator = Files.writeString(folder.resolve("operator.hcl"), "daemon {\n  config = \"" + config
                + "\"\n  control = \"" + folder.resolve("run")
                        + "\"\n}\nupgrade {\n" + upgradeBlock + "\n}\n" + moreBlocks);
        // the calling process may ignore SIGHUP, and the daemon would inherit that
        Process process = new ProcessBuilder("env", "--default-signal=HUP,TERM",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx32m", "-cp",
                System.getProperty("java.class.path"), mainClass, "daemon", "--settings",
                operator.toString()).redirectErrorStream(true).start();
        return new DaemonProcess(folder, process);
    }

    private void parseListenAddress(String line) {
        int at = line.indexOf("keeper.listens address=/");
        if (at >= 0) {
            address.complete(ProcessLog.parseAddress(line.substring(at + 24).split(" ")[0]));
        }
    }

    /**
     * Waits for a matching log line, also among those already written.
     *
     * @return the line, or null if the daemon ends or the wait times out without one
     */
    public String awaitLogLine(Predicate<String> wanted) {
        return log.await(wanted, RESPONSE_TIMEOUT_MILLIS);
    }

    /** All log lines so far. */
    public String log() {
        return log.text();
    }

    /** The client address; waits until the daemon listens on it. */
    public InetSocketAddress address() {
        return address.join();
    }

    /** The folder with the daemon's files. */
    public Path folder() {
        return folder;
    }

    /** The daemon's own process. */
    public ProcessHandle process() {
        return process.toHandle();
    }

    /** The processes of its generations, oldest first. */
    public List<ProcessHandle> generations() {
        return process.toHandle().children().sorted((a, b) -> Long.compare(a.pid(), b.pid())).toList();
    }

    /** Sends an operator command with its arguments and returns its output and exit code. */
    public CommandResult sendCommand(String command, List<String> arguments) throws IOException {
        List<String> lines = new ArrayList<>();
        int exit = OperatorClient.sendCommand(folder.resolve("run"), command, arguments,
                RESPONSE_TIMEOUT_MILLIS, lines::add);
        return new CommandResult(String.join("\n", lines), exit);
    }

    /** The output and the exit code of an operator command. */
    public record CommandResult(String output, int exitCode) {
    }

    /**
     * Sends SIGTERM; returns whether the daemon ended in time with the exit code of a JVM after that signal.
     */
    public boolean terminate() {
        process.destroy();
        try {
            return process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    && process.exitValue() == SIGTERM_EXIT_CODE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Waits for the daemon to end and returns its exit code, or -1 if it does not end in time. */
    public int awaitExitCode() {
        try {
            return process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS) ? process.exitValue() : -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    /** Kills the daemon and its generations and waits until they have ended. */
    @Override
    public void close() {
        List<ProcessHandle> all = new ArrayList<>(process.descendants().toList());
        process.destroyForcibly();
        all.forEach(ProcessHandle::destroyForcibly);
        all.add(process.toHandle());
        for (ProcessHandle each : all) {
            // a zombie counts as alive but has no command any more
            while (each.isAlive() && each.info().command().isPresent()) {
                Thread.onSpinWait();
            }
        }
    }
}
