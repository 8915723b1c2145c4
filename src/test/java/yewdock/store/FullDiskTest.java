package yewdock.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a store in a process whose file size is limited first, and then is not. */
class FullDiskTest {
    private static final int RECORD = 3_000;

    @TempDir
    private Path folder;

    @Test
    void changesOnAFullDiskAreWrittenOnceThereIsSpace() throws Exception {
        Process process = new ProcessBuilder("sh", "-c", "ulimit -S -f 400; exec \"$@\"", "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), Full.class.getName(), folder.toString())
                .redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes());
        assertEquals(0, process.waitFor(), output);
        assertEquals(List.of("full UNWRITABLE", "room", "all there"), output.lines().toList());
        try (RecordFile store = RecordFile.open(folder)) {
            assertEquals(0, store.missingCommits());
        }
    }

    /** The main class of that process. */
    static final class Full {
        private Full() {
        }

        public static void main(String[] args) throws Exception {
            Path folder = Path.of(args[0]);
            BlockingQueue<Committer.StoreHealth> healthChanges = new LinkedBlockingQueue<>();
            Map<String, byte[]> all = new TreeMap<>();
            try (Committer committer = new Committer(RecordFile.open(folder), () -> RecordFile.open(folder),
                    new Committer.CommitTiming(1, 20), healthChanges::add)) {
                Committer.StoreHealth health = null;
                for (int i = 0; health == null && i < 1_000; i++) {
                    Map<String, byte[]> change = Map.of("k" + i, new byte[RECORD]);
                    all.putAll(change);
                    committer.put(change);
                    health = healthChanges.poll(10, TimeUnit.MILLISECONDS);
                }
                System.out.println("full " + (health == null ? "never" : health.kind()));
                long ticket = committer.put(Map.of("last", new byte[RECORD]));
                all.put("last", new byte[RECORD]);
                liftFileSizeLimit();
                committer.durable(ticket).get(20, TimeUnit.SECONDS);
                System.out.println("room");
            }
            try (RecordFile store = RecordFile.open(folder)) {
                System.out.println(store.all().keySet().equals(all.keySet()) ? "all there"
                        : store.all().size() + " of " + all.size());
            }
        }

        private static void liftFileSizeLimit() throws IOException, InterruptedException {
            new ProcessBuilder("prlimit", "--pid", Long.toString(ProcessHandle.current().pid()),
                    "--fsize=unlimited:unlimited").inheritIO().start().waitFor();
        }
    }
}
