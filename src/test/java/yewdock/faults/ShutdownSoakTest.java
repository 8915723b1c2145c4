package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A router in its own process under faulty servers, slow writers and a series of signals, whose clients keep
 * using their open connections until SIGKILL comes at the earliest time that the platform allows. Every third
 * seed has a crowd of clients that hold connections without a whole request.
 *
 * <p>{@code -Dsoak.seeds=N} plays more seeds, {@code -Dsoak.first=S} begins with seed S.
 */
@Timeout(1_200)
class ShutdownSoakTest {
    private static final int SEEDS = Integer.getInteger("soak.seeds", 6);
    private static final int FIRST_SEED = Integer.getInteger("soak.first", 1);
    private static final int MIN_REQUESTS_PER_SEED = 100;
    private static final int PARALLEL_RUNS = 4;

    @TempDir
    private Path folder;

    @Test
    void noRuleIsBrokenUpToSigkillAtItsEarliest() throws Exception {
        ExecutorService runs = Executors.newFixedThreadPool(PARALLEL_RUNS);
        Map<Integer, Future<SoakRun.Report>> reports = new TreeMap<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            int seedOfRun = seed;
            reports.put(seed, runs.submit(() ->
                    new SoakRun(folder.resolve("seed-" + seedOfRun), seedOfRun).play()));
        }
        List<String> violations = new ArrayList<>();
        int requests = 0;
        for (Map.Entry<Integer, Future<SoakRun.Report>> report : reports.entrySet()) {
            SoakRun.Report result = report.getValue().get();
            requests += result.requests();
            result.violations().forEach(violation ->
                    violations.add("seed " + report.getKey() + ": " + violation));
        }
        runs.shutdown();
        assertEquals(List.of(), violations, () -> violations.size() + " violations");
        assertTrue(requests > SEEDS * MIN_REQUESTS_PER_SEED, requests + " requests only");
    }
}
