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
 * A server starts cold while all others turn requests away, so that the traffic of several router processes
 * could go to it. What they send in all stays within what a cold server bears: in each window N requests, as
 * the contract allows at its warmth, and 2 x root of N + 2 that are put down to chance.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class SlowStartUnderFaultsTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final int ROUTERS = 4;
    private static final int SERVERS = 4;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long WATCHED_MILLIS = 5_000;
    private static final double NANOS = 1e9;
    /** As in the template of the configuration. */
    private static final double COLD_SECONDS = 8.7;
    private static final double COLD_FROM = 0.32;
    private static final double FALL_MULTIPLE = 3;
    private static final double WINDOW_SECONDS = 2;
    private static final UnaryOperator<String> OF_THIS_FLEET =
            text -> replaced(text, "\"instances\":2", "\"instances\":" + ROUTERS);
    /** Each router takes what all of them may send, and takes the server for warm. */
    private static final UnaryOperator<String> EACH_TAKES_THE_WHOLE_BUDGET = text -> replaced(
            replaced(text, "\"fall_multiple\":3.0", "\"fall_multiple\":" + FALL_MULTIPLE * ROUTERS),
            "\"cold_from\":0.32", "\"cold_from\":1.0");

    @TempDir
    private Path folder;

    private static String replaced(String text, String from, String to) {
        assertTrue(text.contains(from), from + " is not in the configuration");
        return text.replace(from, to);
    }

    /** How far the fullest window is over what it may hold, and how many requests the server got in all. */
    private record Outcome(double over, int requests) {
    }

    private Outcome play(UnaryOperator<String> configuration) throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, ROUTERS, SERVERS, configuration)) {
            Thread.sleep(WARM_UP_MILLIS);
            double perServer = warmRate(rig);
            for (int i = 0; i < SERVERS; i++) {
                rig.server(i).behave(ServerBehaviour.FULL);
            }
            RecordingServer cold = rig.addServer();
            long startedAt = System.nanoTime();
            long startedMillis = System.currentTimeMillis();
            for (int router = 0; router < ROUTERS; router++) {
                rig.discovery(router).setSpoilt(cold.name(), cold.address(), EndpointState.UP,
                        "\"addr\":\"" + cold.address() + "\",\"zone\":\"kathmandu\",\"kind\":\"big-gpu\","
                        + "\"cell\":1,\"weight\":1.0,\"started_ms\":" + startedMillis);
            }
            Thread.sleep(WATCHED_MILLIS);
            List<Double> sent = rig.attemptsOf("").stream().filter(a -> a.server().equals(cold.name()))
                    .map(a -> (a.firstByteAt() - startedAt) / NANOS).sorted().toList();
            return new Outcome(over(sent, perServer), sent.size());
        }
    }

    /** Requests a second that each server got in the last second; it is taken for all that it could serve. */
    private static double warmRate(FaultRig rig) {
        long since = System.nanoTime() - (long) NANOS;
        return rig.attemptsOf("").stream().filter(a -> a.firstByteAt() > since).count() / (double) SERVERS;
    }

    private static double over(List<Double> sent, double warmRate) {
        double worst = Double.NEGATIVE_INFINITY;
        int from = 0;
        for (int i = 0; i < sent.size(); i++) {
            while (sent.get(from) <= sent.get(i) - WINDOW_SECONDS) {
                from++;
            }
            double warmth = COLD_FROM + (1 - COLD_FROM) * sent.get(i) / COLD_SECONDS;
            double allowed = FALL_MULTIPLE * warmth * warmRate * WINDOW_SECONDS;
            worst = Math.max(worst, i - from + 1 - (allowed + 2 * Math.sqrt(allowed) + 2));
        }
        return worst;
    }

    @Test
    void allProcessesTogetherSendAColdServerNoMoreThanItBears() throws Exception {
        Outcome outcome = play(OF_THIS_FLEET);
        assertTrue(outcome.over <= 0, "over by " + outcome.over + " of " + outcome.requests);
        assertTrue(outcome.requests > 0, "it was not used at all");
    }

    /** A planted fault shows that the judge can fail. */
    @Test
    void routersThatEachTakeTheWholeBudgetAreCaught() throws Exception {
        Outcome outcome = play(EACH_TAKES_THE_WHOLE_BUDGET);
        assertTrue(outcome.over > 0, "over by " + outcome.over + " of " + outcome.requests);
    }
}
