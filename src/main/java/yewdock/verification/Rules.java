package yewdock.verification;

import java.time.LocalTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import yewdock.testbed.Ledger;
import yewdock.testbed.Ledger.AtBox;
import yewdock.testbed.Ledger.AtClient;
import yewdock.testbed.Ledger.End;
import yewdock.testbed.Ledger.Told;

/** Checks a run against the rules of the platform, by the records of the stand-in servers and clients. */
public final class Rules {
    /**
     * A server gets no new attempt later than this after the router was told that it drains: the platform's
     * grace of one second, and the same 50 ms of tolerance as on the bench.
     */
    static final long DRAIN_GRACE_NANOS = 1_050_000_000L;

    /** Messages show the states of a server this long before and after the violation. */
    private static final long SHOWN_RANGE_NANOS = 6_000_000_000L;

    private Rules() {
    }

    /** All violations of a run, one line each. */
    public static List<String> broken(Ledger ledger) {
        List<String> violations = new ArrayList<>();
        checkResponses(ledger.atClients(), violations);
        checkConcurrentAttempts(ledger.atBoxes(), violations);
        checkDrains(ledger.atBoxes(), ledger.told(), violations);
        return violations;
    }

    /**
     * The violations of a run in which routers are killed. Requests are lost with them, so only wrong streams
     * and attempts at drained servers count.
     */
    public static List<String> brokenOverKills(Ledger ledger, List<OperatorDrain> operatorDrains) {
        List<String> violations = new ArrayList<>();
        ledger.atClients().stream().filter(answer -> answer.end() == End.SERVED && !answer.exact())
                .forEach(answer ->
                violations.add("request " + answer.id() + ": its stream differs from the reference"));
        checkDrains(ledger.atBoxes(), ledger.told(), violations);
        checkOperatorDrains(ledger.atBoxes(), operatorDrains, violations);
        return violations;
    }

    /** All violations of a run in which operators drained servers. */
    public static List<String> broken(Ledger ledger, List<OperatorDrain> operatorDrains) {
        List<String> violations = broken(ledger);
        checkOperatorDrains(ledger.atBoxes(), operatorDrains, violations);
        return violations;
    }

    private static void checkOperatorDrains(List<AtBox> attempts, List<OperatorDrain> operatorDrains,
            List<String> violations) {
        for (AtBox attempt : attempts) {
            for (OperatorDrain drain : operatorDrains) {
                if (drain.server().equals(attempt.box()) && attempt.began()
                        > drain.acknowledgedAt() + DRAIN_GRACE_NANOS && attempt.began() < drain.revokedAt()) {
                    violations.add("at " + wallClock(attempt.began()) + " request " + attempt.id()
                            + " came to " + attempt.box() + " "
                            + (attempt.began() - drain.acknowledgedAt()) / 1_000_000
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
    private static void checkResponses(List<AtClient> answers, List<String> violations) {
        Map<String, Integer> answersById = new HashMap<>();
        for (AtClient answer : answers) {
            if (answersById.merge(answer.id(), 1, Integer::sum) > 1) {
                violations.add("request " + answer.id() + " has more than one final answer");
            }
            switch (answer.end()) {
                case SERVED -> {
                    if (!answer.exact()) {
                        violations.add("request " + answer.id() + ": its stream differs from the reference");
                    }
                }
                case REFUSED, FAILED -> {
                    if (answer.status() == 0) {
                        violations.add("request " + answer.id() + ": its answer is unreadable");
                    }
                }
                default -> violations.add("request " + answer.id() + ": " + answer.end());
            }
        }
    }

    /** No request is in flight at two servers at once. */
    private static void checkConcurrentAttempts(List<AtBox> attempts, List<String> violations) {
        Map<String, List<AtBox>> byId = new HashMap<>();
        attempts.forEach(attempt -> byId.computeIfAbsent(attempt.id(), id -> new ArrayList<>()).add(attempt));
        byId.forEach((id, attemptsOfId) -> {
            attemptsOfId.sort(Comparator.comparingLong(AtBox::began));
            for (int i = 1; i < attemptsOfId.size(); i++) {
                if (attemptsOfId.get(i).began() < attemptsOfId.get(i - 1).ended()) {
                    violations.add("request " + id + " is in flight twice at once, at "
                            + attemptsOfId.get(i - 1).box() + " and " + attemptsOfId.get(i).box());
                }
            }
        });
    }

    /** After the grace, a server gets no new attempt while it drains, as any router process was told. */
    private static void checkDrains(List<AtBox> attempts, List<Told> notices, List<String> violations) {
        Map<String, TreeMap<Long, Boolean>> states = new HashMap<>();
        List<Told> inOrder = new ArrayList<>(notices);
        inOrder.sort(Comparator.comparingLong(Told::at));
        for (Told notice : inOrder) {
            TreeMap<Long, Boolean> statesOfServer = states.computeIfAbsent(notice.box(), name ->
                    new TreeMap<>());
            boolean isUp = notice.state().equals("up");
            // a repeated notice to another process does not restart the grace
            if (statesOfServer.isEmpty() || statesOfServer.lastEntry().getValue() != isUp) {
                statesOfServer.put(notice.at(), isUp);
            }
        }
        for (AtBox attempt : attempts) {
            Map.Entry<Long, Boolean> state = states.getOrDefault(attempt.box(), new TreeMap<>())
                    .floorEntry(attempt.began());
            if (state != null && !state.getValue() && attempt.began() > state.getKey() + DRAIN_GRACE_NANOS) {
                violations.add("at " + wallClock(attempt.began()) + " request " + attempt.id() + " came to "
                        + attempt.box() + " " + (attempt.began() - state.getKey()) / 1_000_000
                        + " ms after the server's drain was told; " + statesAround(attempt, inOrder));
            }
        }
    }

    private static LocalTime wallClock(long nanos) {
        return LocalTime.now().minusNanos(System.nanoTime() - nanos);
    }

    /** The states told of an attempt's server around its arrival, in milliseconds from then. */
    private static String statesAround(AtBox attempt, List<Told> notices) {
        StringBuilder text = new StringBuilder("told");
        for (Told notice : notices) {
            if (notice.box().equals(attempt.box()) && Math.abs(
                    notice.at() - attempt.began()) < SHOWN_RANGE_NANOS) {
                text.append(' ').append((notice.at() - attempt.began()) / 1_000_000).append(':')
                        .append(notice.state()).append("->").append(notice.connection());
            }
        }
        return text.toString();
    }

    /** Number of requests that ended in this way. */
    public static long count(Ledger ledger, End end) {
        return ledger.atClients().stream().filter(answer -> answer.end() == end).count();
    }
}
