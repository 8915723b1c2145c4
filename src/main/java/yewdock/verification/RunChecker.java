package yewdock.verification;

import java.time.LocalTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewdock.testbed.ObservationLog;
import yewdock.testbed.ObservationLog.EndpointUpdate;
import yewdock.testbed.ObservationLog.RequestOutcome;
import yewdock.testbed.ObservationLog.RequestResult;
import yewdock.testbed.ObservationLog.ServerAttempt;

/** Checks a run against the rules of the platform, by the records of the stand-in servers and clients. */
public final class RunChecker {
    /**
     * A server gets no new attempt later than this after the router was told that it drains: the platform's
     * grace of one second, and the same 50 ms of tolerance as on the bench.
     */
    static final long DRAIN_GRACE_NANOS = 1_050_000_000L;

    /** Messages show the states of a server this long before and after the violation. */
    private static final long SHOWN_RANGE_NANOS = 6_000_000_000L;

    private RunChecker() {
    }

    /** All violations of a run, one line each. */
    public static List<String> violations(ObservationLog observations) {
        List<String> violations = new ArrayList<>();
        checkResponses(observations.requestResults(), violations);
        checkConcurrentAttempts(observations.serverAttempts(), violations);
        checkDrains(observations.serverAttempts(), observations.endpointUpdates(), violations);
        return violations;
    }

    /**
     * The violations of a run in which routers are killed. Requests are lost with them, so only wrong streams
     * and attempts at drained servers count.
     */
    public static List<String> violationsWithKills(ObservationLog observations,
            List<OperatorDrain> operatorDrains) {
        List<String> violations = new ArrayList<>();
        observations.requestResults().stream().filter(answer -> answer.outcome() == RequestOutcome.SERVED
                && !answer.matchesReference())
                .forEach(answer ->
                violations.add("request " + answer.id() + ": its stream differs from the reference"));
        checkDrains(observations.serverAttempts(), observations.endpointUpdates(), violations);
        checkOperatorDrains(observations.serverAttempts(), operatorDrains, violations);
        return violations;
    }

    /** All violations of a run in which operators drained servers. */
    public static List<String> violations(ObservationLog observations, List<OperatorDrain> operatorDrains) {
        List<String> violations = violations(observations);
        checkOperatorDrains(observations.serverAttempts(), operatorDrains, violations);
        return violations;
    }

    private static void checkOperatorDrains(List<ServerAttempt> attempts, List<OperatorDrain> operatorDrains,
            List<String> violations) {
        for (ServerAttempt attempt : attempts) {
            for (OperatorDrain drain : operatorDrains) {
                if (drain.server().equals(attempt.server()) && attempt.startedNanos()
                        > drain.acknowledgedAt() + DRAIN_GRACE_NANOS
                                && attempt.startedNanos() < drain.revokedAt()) {
                    violations.add("at " + wallClock(attempt.startedNanos()) + " request " + attempt.id()
                            + " came to " + attempt.server() + " "
                            + (attempt.startedNanos() - drain.acknowledgedAt()) / 1_000_000
                            + " ms after an operator's drain of the server was acknowledged");
                }
            }
        }
    }

    /**
     * A drain by an operator. Times are in nanoseconds as by {@link System#nanoTime}.
     *
     * @param server the name of the drained server
     * @param acknowledgedAt when the drain was acknowledged
     * @param revokedAt when its end was requested, or Long.MAX_VALUE if it lasts
     */
    public record OperatorDrain(String server, long acknowledgedAt, long revokedAt) {
    }

    /**
     * Each request has one final answer, streams match the reference, and no connection is refused or reset.
     */
    private static void checkResponses(List<RequestResult> answers, List<String> violations) {
        Map<String, Integer> answersById = new HashMap<>();
        for (RequestResult answer : answers) {
            if (answersById.merge(answer.id(), 1, Integer::sum) > 1) {
                violations.add("request " + answer.id() + " has more than one final answer");
            }
            switch (answer.outcome()) {
                case SERVED -> {
                    if (!answer.matchesReference()) {
                        violations.add("request " + answer.id() + ": its stream differs from the reference");
                    }
                }
                case REFUSED, FAILED -> {
                    if (answer.status() == 0) {
                        violations.add("request " + answer.id() + ": its answer is unreadable");
                    }
                }
                default -> violations.add("request " + answer.id() + ": " + answer.outcome());
            }
        }
    }

    /** No request is in flight at two servers at once. */
    private static void checkConcurrentAttempts(List<ServerAttempt> attempts, List<String> violations) {
        Map<String, List<ServerAttempt>> byId = new HashMap<>();
        attempts.forEach(attempt -> byId.computeIfAbsent(attempt.id(), id -> new ArrayList<>()).add(attempt));
        byId.forEach((id, attemptsOfId) -> {
            attemptsOfId.sort(Comparator.comparingLong(ServerAttempt::startedNanos));
            for (int i = 1; i < attemptsOfId.size(); i++) {
                if (attemptsOfId.get(i).startedNanos() < attemptsOfId.get(i - 1).endedNanos()) {
                    violations.add("request " + id + " is in flight twice at once, at "
                            + attemptsOfId.get(i - 1).server() + " and " + attemptsOfId.get(i).server());
                }
            }
        });
    }

    /** After the grace, a server gets no new attempt while it drains, as any router process was told. */
    private static void checkDrains(List<ServerAttempt> attempts, List<EndpointUpdate> notices,
            List<String> violations) {
        Map<String, TreeMap<Long, Boolean>> states = new HashMap<>();
        List<EndpointUpdate> inOrder = new ArrayList<>(notices);
        inOrder.sort(Comparator.comparingLong(EndpointUpdate::sentNanos));
        for (EndpointUpdate notice : inOrder) {
            TreeMap<Long, Boolean> statesOfServer = states.computeIfAbsent(notice.server(), name ->
                    new TreeMap<>());
            boolean isUp = notice.state().equals("up");
            // a repeated notice to another process does not restart the grace
            if (statesOfServer.isEmpty() || statesOfServer.lastEntry().getValue() != isUp) {
                statesOfServer.put(notice.sentNanos(), isUp);
            }
        }
        for (ServerAttempt attempt : attempts) {
            Map.Entry<Long, Boolean> state = states.getOrDefault(attempt.server(), new TreeMap<>())
                    .floorEntry(attempt.startedNanos());
            if (state != null && !state.getValue() && attempt.startedNanos() > state.getKey()
                    + DRAIN_GRACE_NANOS) {
                violations.add("at " + wallClock(attempt.startedNanos()) + " request " + attempt.id()
                        + " came to "
                        + attempt.server() + " " + (attempt.startedNanos() - state.getKey()) / 1_000_000
                        + " ms after the server's drain was told; " + statesAround(attempt, inOrder));
            }
        }
    }

    private static LocalTime wallClock(long nanos) {
        return LocalTime.now().minusNanos(System.nanoTime() - nanos);
    }

    /** The states told of an attempt's server around its arrival, in milliseconds from then. */
    private static String statesAround(ServerAttempt attempt, List<EndpointUpdate> notices) {
        StringBuilder text = new StringBuilder("told");
        for (EndpointUpdate notice : notices) {
            if (notice.server().equals(attempt.server()) && Math.abs(
                    notice.sentNanos() - attempt.startedNanos()) < SHOWN_RANGE_NANOS) {
                text.append(' ').append((notice.sentNanos() - attempt.startedNanos()) / 1_000_000).append(':')
                        .append(notice.state()).append("->").append(notice.clientPort());
            }
        }
        return text.toString();
    }

    /** Number of requests that ended in this way. */
    public static long count(ObservationLog observations, RequestOutcome outcome) {
        return observations.requestResults().stream().filter(answer -> answer.outcome() == outcome).count();
    }
}
