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
 * Faults drawn from seeds, against router processes under traffic, while servers drain and go.
 * {@code -Ddrain.seeds=N} plays N seeds in each mode, from {@code -Ddrain.seed} on.
 */
@Timeout(3_600)
@Execution(ExecutionMode.CONCURRENT)
class RandomFaultsTest {
    private static final int SEEDS = Integer.getInteger("drain.seeds", 1);
    private static final long FIRST_SEED = Long.getLong("drain.seed", 1);
    private static final long GRACE_MILLIS = 500;
    private static final int ROUTERS = 2;
    private static final int SERVERS = 4;
    private static final int INCIDENTS = 2;
    private static final long UNTIL_JUDGED_MILLIS = 7_500;

    @TempDir
    private Path folder;

    /** One play: an incident at one of the routers, a server that ends in its midst, time for the judge. */
    private final class Play {
        private final Random random;
        private final boolean pushed;
        private final List<String> script = new ArrayList<>();

        Play(long seed, boolean pushed) {
            this.random = new Random(seed);
            this.pushed = pushed;
            script.add("seed " + seed + (pushed ? ", pushed" : ", asked"));
        }

        void run() throws Exception {
            Path own = Files.createTempDirectory(folder, "play");
            try (FaultRig rig = new FaultRig(own, pushed, GRACE_MILLIS, ROUTERS, SERVERS)) {
                Thread.sleep(1_500);
                for (int i = 0; i < INCIDENTS; i++) {
                    int server = random.nextInt(SERVERS);
                    EndpointState end = random.nextBoolean() ? EndpointState.DRAINING : EndpointState.REMOVED;
                    script.add(rig.server(server).name() + " " + end);
                    incident(rig, random.nextInt(ROUTERS), () -> rig.setEverywhere(server, end));
                    Thread.sleep(UNTIL_JUDGED_MILLIS);
                    rig.setEverywhere(server, EndpointState.UP);
                    Thread.sleep(500);
                }
                DrainJudge judge = rig.judge();
                assertEquals(List.of(), judge.violations().stream().limit(5).toList(), script + ": "
                        + judge.violations().size() + " attempts of " + judge.attempts() + "\n" + rig.logs());
                assertTrue(judge.attempts() > 100, "too little traffic: " + judge.attempts());
            }
        }

        private void incident(FaultRig rig, int router, Runnable inTheMidst) throws Exception {
            ScriptedDiscovery discovery = rig.discovery(router);
            switch (random.nextInt(6)) {
                case 0 -> {
                    CallFault[] kinds = CallFault.values();
                    List<CallFault> faults = List.of(kinds[random.nextInt(kinds.length)]);
                    script.add("router " + router + ": calls " + faults);
                    discovery.failNextCalls(faults);
                    discovery.resetOpenWatches();
                    inTheMidst.run();
                }
                case 1 -> {
                    boolean countsAnew = random.nextBoolean();
                    script.add("router " + router + ": outage, counts anew: " + countsAnew);
                    discovery.stop();
                    Thread.sleep(random.nextInt(3_000));
                    inTheMidst.run();
                    discovery.restart(countsAnew ? 1 : discovery.version() + random.nextInt(2) * 1_000);
                }
                case 2 -> {
                    long millis = 200 + random.nextInt(4_000);
                    script.add("router " + router + ": stands still for " + millis + " ms");
                    rig.router(router).signal("STOP");
                    Thread.sleep(50);
                    inTheMidst.run();
                    Thread.sleep(millis);
                    rig.router(router).signal("CONT");
                }
                case 3 -> {
                    script.add("router " + router + ": killed and started again");
                    inTheMidst.run();
                    Thread.sleep(random.nextInt(1_000));
                    rig.restartRouter(router);
                }
                case 4 -> {
                    script.add("router " + router + ": an older list");
                    discovery.answerNextCallWithPresentList();
                    inTheMidst.run();
                }
                default -> {
                    script.add("router " + router + ": a watch that is reset, twice");
                    discovery.resetOpenWatches();
                    inTheMidst.run();
                    Thread.sleep(100);
                    discovery.resetOpenWatches();
                }
            }
        }
    }

    @TestFactory
    Stream<DynamicTest> drainsAreKept() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS).boxed().flatMap(seed -> Stream.of(false, true)
                .map(pushed -> DynamicTest.dynamicTest("seed " + seed + (pushed ? ", pushed" : ", asked"),
                        () -> new Play(seed, pushed).run())));
    }
}
