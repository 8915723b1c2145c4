package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Injects random faults into router processes and their discovery, under traffic, while servers drain or are
 * removed, and checks the drain rule.
 *
 * <p>{@code -Ddrain.seeds=N} runs N seeds for each kind of discovery, starting with {@code -Ddrain.seed}.
 */
@Timeout(3_600)
@Execution(ExecutionMode.CONCURRENT)
class RandomFaultsTest {
    private static final int SEED_COUNT = Integer.getInteger("drain.seeds", 1);
    private static final long FIRST_SEED = Long.getLong("drain.seed", 1);
    private static final long GRACE_MILLIS = 500;
    private static final int ROUTER_COUNT = 2;
    private static final int SERVER_COUNT = 4;
    private static final int FAULTS_PER_RUN = 2;
    /** Longer than the 6 s to count as notified plus the grace. */
    private static final long OBSERVATION_MILLIS = 7_500;

    @TempDir
    private Path folder;

    /** One run: faults at one router each, during which a server drains or is removed, with time to check. */
    private final class RandomRun {
        private final Random random;
        private final boolean byAgent;
        /** What happened, for the message of a failed test. */
        private final List<String> schedule = new ArrayList<>();

        RandomRun(long seed, boolean byAgent) {
            this.random = new Random(seed);
            this.byAgent = byAgent;
            schedule.add("seed " + seed + (byAgent ? ", agent" : ", polled"));
        }

        void run() throws Exception {
            Path runFolder = Files.createTempDirectory(folder, "run");
            try (FaultRig rig = new FaultRig(runFolder, byAgent, GRACE_MILLIS, ROUTER_COUNT, SERVER_COUNT)) {
                Thread.sleep(1_500);
                for (int i = 0; i < FAULTS_PER_RUN; i++) {
                    int server = random.nextInt(SERVER_COUNT);
                    EndpointState newState = random.nextBoolean() ? EndpointState.DRAINING
                            : EndpointState.REMOVED;
                    schedule.add(rig.server(server).name() + " " + newState);
                    injectFault(rig, random.nextInt(ROUTER_COUNT),
                            () -> rig.setStateEverywhere(server, newState));
                    Thread.sleep(OBSERVATION_MILLIS);
                    rig.setStateEverywhere(server, EndpointState.UP);
                    Thread.sleep(500);
                }
                DrainRuleChecker checker = rig.checker();
                assertEquals(List.of(), checker.violations().stream().limit(5).toList(), schedule + ": "
                        + checker.violations().size() + " attempts of " + checker.attemptCount() + "\n"
                                + rig.logs());
                assertTrue(checker.attemptCount() > 100, "too little traffic: " + checker.attemptCount());
            }
        }

        private void injectFault(FaultRig rig, int router, Runnable duringFault) throws Exception {
            ScriptedDiscovery discovery = rig.discovery(router);
            switch (random.nextInt(6)) {
                case 0 -> {
                    CallFault[] kinds = CallFault.values();
                    List<CallFault> faults = List.of(kinds[random.nextInt(kinds.length)]);
                    schedule.add("router " + router + ": failing call " + faults);
                    discovery.failNextCalls(faults);
                    discovery.resetOpenWatches();
                    duringFault.run();
                }
                case 1 -> {
                    boolean resetsVersions = random.nextBoolean();
                    schedule.add("router " + router + ": outage of discovery, versions reset: "
                            + resetsVersions);
                    discovery.stop();
                    Thread.sleep(random.nextInt(3_000));
                    duringFault.run();
                    discovery.restart(resetsVersions ? 1 : discovery.version() + random.nextInt(2) * 1_000);
                }
                case 2 -> {
                    long millis = 200 + random.nextInt(4_000);
                    schedule.add("router " + router + ": paused for " + millis + " ms");
                    rig.router(router).signal("STOP");
                    Thread.sleep(50);
                    duringFault.run();
                    Thread.sleep(millis);
                    rig.router(router).signal("CONT");
                }
                case 3 -> {
                    schedule.add("router " + router + ": killed and restarted");
                    duringFault.run();
                    Thread.sleep(random.nextInt(1_000));
                    rig.restartRouter(router);
                }
                case 4 -> {
                    schedule.add("router " + router + ": next call is answered with an older list");
                    discovery.answerNextCallWithCurrentList();
                    duringFault.run();
                }
                default -> {
                    schedule.add("router " + router + ": watch reset twice");
                    discovery.resetOpenWatches();
                    duringFault.run();
                    Thread.sleep(100);
                    discovery.resetOpenWatches();
                }
            }
        }
    }

    @TestFactory
    Stream<DynamicTest> drainsAreKept() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT).boxed()
                .flatMap(seed -> Stream.of(false, true).map(byAgent -> DynamicTest.dynamicTest(
                        "seed " + seed + (byAgent ? ", agent" : ", polled"),
                        () -> new RandomRun(seed, byAgent).run())));
    }
}
