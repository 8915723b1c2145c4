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

/** A real store in a process that may not make a file larger than so much, and then may. */
class StoreFullTest {
    private static final int RECORD = 3_000;

    @TempDir
    private Path folder;

    @Test
    void withNoRoomItGoesOnFromMemoryAndWithRoomAgainItHasAll() throws Exception {
        Process process = new ProcessBuilder("sh", "-c", "ulimit -S -f 400; exec \"$@\"", "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), Full.class.getName(), folder.toString())
                .redirectErrorStream(true).start();
        String said = new String(process.getInputStream().readAllBytes());
        assertEquals(0, process.waitFor(), said);
        assertEquals(List.of("full UNWRITABLE", "room", "all there"), said.lines().toList());
        try (RecordFile store = RecordFile.open(folder)) {
            assertEquals(0, store.missingCommits());
        }
    }

    /** The process. */
    static final class Full {
        private Full() {
        }

        public static void main(String[] words) throws Exception {
            Path folder = Path.of(words[0]);
            BlockingQueue<Committer.StoreHealth> said = new LinkedBlockingQueue<>();
            Map<String, byte[]> all = new TreeMap<>();
            try (Committer committer = new Committer(RecordFile.open(folder), () -> RecordFile.open(folder),
                    new Committer.CommitTiming(1, 20), said::add)) {
                Committer.StoreHealth health = null;
                for (int i = 0; health == null && i < 1_000; i++) {
                    Map<String, byte[]> one = Map.of("k" + i, new byte[RECORD]);
                    all.putAll(one);
                    committer.put(one);
                    health = said.poll(10, TimeUnit.MILLISECONDS);
                }
                System.out.println("full " + (health == null ? "never" : health.kind()));
                long ticket = committer.put(Map.of("last", new byte[RECORD]));
                all.put("last", new byte[RECORD]);
                raise();
                committer.durable(ticket).get(20, TimeUnit.SECONDS);
                System.out.println("room");
            }
            try (RecordFile store = RecordFile.open(folder)) {
                System.out.println(store.all().keySet().equals(all.keySet()) ? "all there"
                        : store.all().size() + " of " + all.size());
            }
        }

        private static void raise() throws IOException, InterruptedException {
            new ProcessBuilder("prlimit", "--pid", Long.toString(ProcessHandle.current().pid()),
                    "--fsize=unlimited:unlimited").inheritIO().start().waitFor();
        }
    }
}
