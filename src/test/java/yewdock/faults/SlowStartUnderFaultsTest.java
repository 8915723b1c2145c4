package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * A cold server starts while all others reject requests, so that the traffic of several router processes
 * could all move to it. What the routers send it together must stay within its slow-start capacity: in each
 * overload window N requests, as the contract allows for its warmth, plus 2 x sqrt(N) + 2 for random
 * variation.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class SlowStartUnderFaultsTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final int ROUTER_COUNT = 4;
    private static final int SERVER_COUNT = 4;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long OBSERVATION_MILLIS = 5_000;
    private static final double NANOS_PER_SECOND = 1e9;
    /** As in the configuration template, like the three constants that follow. */
    private static final double COLD_DURATION_SECONDS = 8.7;
    private static final double COLD_CAPACITY_SHARE = 0.32;
    private static final double OVERLOAD_MULTIPLE = 3;
    private static final double OVERLOAD_WINDOW_SECONDS = 2;
    /** Tells each router how many routers share the traffic. */
    private static final UnaryOperator<String> WITH_INSTANCE_COUNT =
            text -> replaceRequired(text, "\"instances\":2", "\"instances\":" + ROUTER_COUNT);
    /** Defect for the test of the check: each router uses the budget of all and treats the server as warm. */
    private static final UnaryOperator<String> WITH_WHOLE_BUDGET_EACH = text -> replaceRequired(
            replaceRequired(text, "\"fall_multiple\":3.0", "\"fall_multiple\":"
                    + OVERLOAD_MULTIPLE * ROUTER_COUNT),
            "\"cold_from\":0.32", "\"cold_from\":1.0");

    @TempDir
    private Path folder;

    private static String replaceRequired(String text, String from, String to) {
        assertTrue(text.contains(from), from + " is not in the configuration");
        return text.replace(from, to);
    }

    /**
     * The result of a run.
     *
     * @param excess requests above the allowed number in the worst window; negative if all are below
     * @param requests how many attempts the cold server received in all
     */
    private record Outcome(double excess, int requests) {
    }

    private Outcome runColdStart(UnaryOperator<String> configuration) throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, ROUTER_COUNT, SERVER_COUNT,
                configuration)) {
            Thread.sleep(WARM_UP_MILLIS);
            double warmRate = warmRate(rig);
            for (int i = 0; i < SERVER_COUNT; i++) {
                rig.server(i).setBehaviour(ServerBehaviour.FULL);
            }
            RecordingServer coldServer = rig.addServer();
            long startedNanos = System.nanoTime();
            long startedMillis = System.currentTimeMillis();
            for (int router = 0; router < ROUTER_COUNT; router++) {
                rig.discovery(router).setStateWithFields(coldServer.name(), coldServer.address(),
                        EndpointState.UP,
                        "\"addr\":\"" + coldServer.address()
                        + "\",\"zone\":\"kathmandu\",\"kind\":\"big-gpu\","
                        + "\"cell\":1,\"weight\":1.0,\"started_ms\":" + startedMillis);
            }
            Thread.sleep(OBSERVATION_MILLIS);
            List<Double> arrivalSeconds = rig.attemptsWithIdPrefix("").stream()
                    .filter(attempt -> attempt.server().equals(coldServer.name()))
                    .map(attempt -> (attempt.firstByteNanos() - startedNanos) / NANOS_PER_SECOND)
                    .sorted().toList();
            return new Outcome(worstWindowExcess(arrivalSeconds, warmRate), arrivalSeconds.size());
        }
    }

    /** Mean requests per second and server over the last second; taken as the capacity of a warm server. */
    private static double warmRate(FaultRig rig) {
        long sinceNanos = System.nanoTime() - (long) NANOS_PER_SECOND;
        return rig.attemptsWithIdPrefix("").stream()
                .filter(attempt -> attempt.firstByteNanos() > sinceNanos).count() / (double) SERVER_COUNT;
    }

    /** Returns by how many requests the worst window exceeds what is allowed; times count from the start. */
    private static double worstWindowExcess(List<Double> arrivalSeconds, double warmRate) {
        double worst = Double.NEGATIVE_INFINITY;
        int windowStart = 0;
        for (int i = 0; i < arrivalSeconds.size(); i++) {
            while (arrivalSeconds.get(windowStart) <= arrivalSeconds.get(i) - OVERLOAD_WINDOW_SECONDS) {
                windowStart++;
            }
            double warmth = COLD_CAPACITY_SHARE
                    + (1 - COLD_CAPACITY_SHARE) * arrivalSeconds.get(i) / COLD_DURATION_SECONDS;
            double allowed = OVERLOAD_MULTIPLE * warmth * warmRate * OVERLOAD_WINDOW_SECONDS;
            worst = Math.max(worst, i - windowStart + 1 - (allowed + 2 * Math.sqrt(allowed) + 2));
        }
        return worst;
    }

    @Test
    void routersTogetherKeepAColdServerWithinItsCapacity() throws Exception {
        Outcome outcome = runColdStart(WITH_INSTANCE_COUNT);
        assertTrue(outcome.excess <= 0, "exceeds the allowed requests by " + outcome.excess + " of "
                + outcome.requests);
        assertTrue(outcome.requests > 0, "the cold server received no requests");
    }

    /** Tests the check itself with a planted defect. */
    @Test
    void routersThatEachUseTheWholeBudgetAreDetected() throws Exception {
        Outcome outcome = runColdStart(WITH_WHOLE_BUDGET_EACH);
        assertTrue(outcome.excess > 0, "exceeds the allowed requests by " + outcome.excess + " of "
                + outcome.requests);
    }
}
