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

/** A daemon in a process of its own, with its log, for proofs and tests. */
public final class Router implements Closeable {
    private static final long ANSWER_MILLIS = 60_000;
    private static final long END_SECONDS = 30;
    private static final int TERMINATED = 128 + 15;

    private final Path folder;
    private final Process process;
    private final ProcessLog log;
    private final CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();

    private Router(Path folder, Process process) {
        this.folder = folder;
        this.process = process;
        this.log = new ProcessLog(process, this::listens);
    }

    /**
     * Starts a daemon, whose program has this main class, with its files in this folder, the platform's
     * configuration as given, and the words of an upgrade block; returns once it listens and its first
     * generation serves.
     */
    public static Router start(String main, Path folder, String configuration,
            String upgradeBlock) throws IOException {
        return start(main, folder, configuration, upgradeBlock, "");
    }

    /** The same with more blocks in the operator's file. */
    public static Router start(String main, Path folder, String configuration, String upgradeBlock,
            String more) throws IOException {
        Router router = launch(main, folder, configuration, upgradeBlock, more);
        if (router.await(line -> line.contains("upgrade.done")) == null) {
            throw new IOException("the daemon did not come up:\n" + router.log());
        }
        return router;
    }

    /** The same, but returns at once. */
    public static Router launch(String main, Path folder, String configuration, String upgradeBlock,
            String more) throws IOException {
        Path config = Files.writeString(folder.resolve("config.json"), configuration);
        Path operator = Files.writeString(folder.resolve("operator.hcl"), "daemon {\n  config = \"" + config
                + "\"\n  control = \"" + folder.resolve("run")
                        + "\"\n}\nupgrade {\n" + upgradeBlock + "\n}\n" + more);
        // whoever runs the proof may ignore SIGHUP, and a daemon would inherit that
        Process process = new ProcessBuilder("env", "--default-signal=HUP,TERM",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx32m", "-cp",
                System.getProperty("java.class.path"), main, "daemon", "--settings",
                operator.toString()).redirectErrorStream(true).start();
        return new Router(folder, process);
    }

    private void listens(String line) {
        int at = line.indexOf("keeper.listens address=/");
        if (at >= 0) {
            address.complete(ProcessLog.address(line.substring(at + 24).split(" ")[0]));
        }
    }

    /** Waits for a line of the log, also one that has come before; null if the daemon ends without it. */
    public String await(Predicate<String> wanted) {
        return log.await(wanted, ANSWER_MILLIS);
    }

    /** All lines so far. */
    public String log() {
        return log.text();
    }

    public InetSocketAddress address() {
        return address.join();
    }

    public Path folder() {
        return folder;
    }

    /** The keeper's process. */
    public ProcessHandle process() {
        return process.toHandle();
    }

    /** The processes of its generations, oldest first. */
    public List<ProcessHandle> generations() {
        return process.toHandle().children().sorted((a, b) -> Long.compare(a.pid(), b.pid())).toList();
    }

    /** What an operator's command brings: its lines, and last its exit code. */
    public Said ask(String command, List<String> words) throws IOException {
        List<String> lines = new ArrayList<>();
        int exit = OperatorClient.sendCommand(folder.resolve("run"), command, words, ANSWER_MILLIS,
                lines::add);
        return new Said(String.join("\n", lines), exit);
    }

    /** Lines and exit code of a command. */
    public record Said(String lines, int exit) {
    }

    /** SIGTERM; tells whether it ended by itself and in time, as a JVM does after that signal. */
    public boolean leave() {
        process.destroy();
        try {
            return process.waitFor(END_SECONDS, TimeUnit.SECONDS) && process.exitValue() == TERMINATED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** How it ended by itself, waiting for that; -1 if it did not in time. */
    public int exit() {
        try {
            return process.waitFor(END_SECONDS, TimeUnit.SECONDS) ? process.exitValue() : -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    /** Ends it and its generations at once, by SIGKILL. */
    @Override
    public void close() {
        List<ProcessHandle> all = new ArrayList<>(process.descendants().toList());
        process.destroyForcibly();
        all.forEach(ProcessHandle::destroyForcibly);
        all.add(process.toHandle());
        for (ProcessHandle each : all) {
            // one that has ended and that nobody has waited for yet has no command any more
            while (each.isAlive() && each.info().command().isPresent()) {
                Thread.onSpinWait();
            }
        }
    }
}
