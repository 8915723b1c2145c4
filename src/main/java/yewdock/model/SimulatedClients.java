package yewdock.model;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * The simulated clients. Each attempt goes to a router of the client's site if there is one; a failed or
 * refused attempt is retried after a backoff until the retries or the request's time are used up.
 */
final class SimulatedClients {
    private static final double MICROS_PER_SECOND = 1e6;

    private final Simulation simulation;
    private final UniformRandomProvider random;
    /** Token bucket of each municipality, which holds two seconds of its quota. */
    private final double[] quotaTokens;
    private final long[] refilledAtMicros;
    private long attemptCount;
    private long openCount;

    SimulatedClients(Simulation simulation, UniformRandomProvider random) {
        this.simulation = simulation;
        this.random = random;
        this.quotaTokens = new double[simulation.parameters.quotaPerSecond.length];
        this.refilledAtMicros = new long[quotaTokens.length];
        for (int municipality = 0; municipality < quotaTokens.length; municipality++) {
            quotaTokens[municipality] = 2 * simulation.parameters.quotaPerSecond[municipality];
        }
    }

    /** The number of requests that have not ended. */
    long openCount() {
        return openCount;
    }

    /** The number of attempts that clients have made. */
    long attemptCount() {
        return attemptCount;
    }

    /** Starts a new request; it has its full worth only while its municipality is within its quota. */
    void submit(SimulatedRequest request) {
        int municipality = request.municipality;
        double quota = simulation.parameters.quotaPerSecond[municipality];
        quotaTokens[municipality] = Math.min(2 * quota, quotaTokens[municipality] + quota
                * (simulation.calendar.nowMicros() - refilledAtMicros[municipality]) / MICROS_PER_SECOND);
        refilledAtMicros[municipality] = simulation.calendar.nowMicros();
        request.withinQuota = quotaTokens[municipality] >= 1;
        quotaTokens[municipality] -= request.withinQuota ? 1 : 0;
        Scenario.RequestClassProfile requestClass =
                simulation.parameters.classes.get(request.requestClass).profile();
        request.worth = requestClass.worth() * (request.withinQuota ? 1
                : simulation.parameters.scenario.clients().overShareWorth());
        openCount++;
        simulation.score.recordRequest(request);
        startAttempt(new WaitingClient(request));
    }

    /** Sends the request to a router; without any router the connection fails. */
    private void startAttempt(WaitingClient client) {
        SimulatedRequest request = client.request;
        request.clientAttempts++;
        long now = simulation.calendar.nowMicros();
        double deadlineMicros = simulation.parameters.classes.get(request.requestClass).profile()
                .deadlineSeconds() * MICROS_PER_SECOND;
        double timeoutMicros = Math.min(simulation.parameters.attemptTimeoutShare * deadlineMicros,
                request.giveUpAtMicros - now);
        SimulatedRouter router = simulation.routerFor(request.site, random);
        double delayMicros = simulation.clientDelay(random);
        client.currentAttempt = new SimulatedRouter.ClientAttempt(++attemptCount, request, client,
                now + Math.round(Math.max(1, timeoutMicros - delayMicros)));
        SimulatedRouter.ClientAttempt attempt = client.currentAttempt;
        if (router == null) {
            simulation.calendar.scheduleAfter(delayMicros, () -> client.connectionLost(attempt));
        } else {
            simulation.calendar.scheduleAfter(delayMicros, () -> router.receive(attempt));
        }
    }

    /** A client that waits for the answer to one request. */
    final class WaitingClient {
        private final SimulatedRequest request;
        private SimulatedRouter.ClientAttempt currentAttempt;
        private long firstTokenAtMicros = -1;
        private boolean wasRefused;

        WaitingClient(SimulatedRequest request) {
            this.request = request;
        }

        /** Handles the first token. */
        void firstToken(SimulatedRouter.ClientAttempt attempt) {
            if (attempt == currentAttempt && !request.ended && firstTokenAtMicros < 0) {
                firstTokenAtMicros = simulation.calendar.nowMicros();
                simulation.score.recordFirstToken(request, firstTokenAtMicros - request.arrivedAtMicros);
            }
        }

        /** Handles the end of the answer. */
        void completed(SimulatedRouter.ClientAttempt attempt) {
            if (attempt != currentAttempt || request.ended) {
                simulation.ruleChecker.recordViolation("answer: request " + request.number
                        + " is answered twice");
                return;
            }
            long now = simulation.calendar.nowMicros();
            Scenario.RequestClassProfile requestClass =
                    simulation.parameters.classes.get(request.requestClass).profile();
            double targetMicros = requestClass.firstTokenTargetSeconds() * MICROS_PER_SECOND
                    + requestClass.firstTokenTargetMillisPerThousand() * request.promptTokens;
            double firstTokenMicros = firstTokenAtMicros < 0 ? now - request.arrivedAtMicros
                    : firstTokenAtMicros - request.arrivedAtMicros;
            double intervalMicros = request.outputTokens < 2 || firstTokenAtMicros < 0 ? 0
                    : (now - firstTokenAtMicros) / (double) (request.outputTokens - 1);
            boolean inTime = firstTokenMicros <= targetMicros
                    && intervalMicros <= requestClass.tokenTargetMillis() * 1e3;
            boolean late = !inTime && intervalMicros <= 2 * requestClass.tokenTargetMillis() * 1e3;
            finish(inTime ? Score.RequestEnd.IN_TIME : Score.RequestEnd.LATE,
                    inTime ? 1 : late ? requestClass.lateWorth() : 0);
        }

        /** Handles a broken stream, or an attempt without an answer in time. */
        void failed(SimulatedRouter.ClientAttempt attempt) {
            if (attempt == currentAttempt && !request.ended) {
                if (firstTokenAtMicros >= 0) {
                    finish(Score.RequestEnd.BROKEN, 0);
                } else {
                    retry(0);
                }
            }
        }

        /** Handles a connection that broke or could not be opened. */
        void connectionLost(SimulatedRouter.ClientAttempt attempt) {
            failed(attempt);
        }

        /** Handles a refusal, or a failure without an answer. */
        void rejected(SimulatedRouter.ClientAttempt attempt, boolean refused, long retryAfter) {
            if (attempt == currentAttempt && !request.ended) {
                wasRefused = refused;
                retry(retryAfter);
            }
        }

        /** Retries after the advised time or a backoff, both in microseconds; 0: no time was advised. */
        private void retry(long retryAfter) {
            long now = simulation.calendar.nowMicros();
            boolean honours = retryAfter > 0
                    && random.nextDouble() < simulation.parameters.retryAfterHonouredShare;
            double waitMicros = honours ? retryAfter
                    : simulation.parameters.backoffMicros * (1 << Math.min(10, request.clientAttempts - 1))
                            * (0.5 + random.nextDouble());
            if (request.clientAttempts > simulation.parameters.maxRetries
                    || now + waitMicros >= request.giveUpAtMicros) {
                finish(wasRefused ? Score.RequestEnd.REFUSED : Score.RequestEnd.FAILED, 0);
            } else {
                simulation.calendar.scheduleAfter(waitMicros, () -> startAttempt(this));
            }
        }

        /** Ends the request with this share of its worth. */
        private void finish(Score.RequestEnd end, double worthShare) {
            request.ended = true;
            openCount--;
            simulation.score.recordEnd(request, end, worthShare, simulation.calendar.nowMicros());
        }
    }
}
