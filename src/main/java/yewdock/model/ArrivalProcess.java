package yewdock.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;

/**
 * Generates the requests of a run, session by session. Nothing here depends on the answers, so that every
 * policy receives the same requests. The prompt of a turn contains all earlier turns of its session.
 */
public final class ArrivalProcess {
    private static final int MAX_CONTEXT_TOKENS = 32_000;
    private static final double MICROS_PER_SECOND = 1e6;
    /** Sessions start up to this long before the run, which is about as long as the longest ones last. */
    private static final long HISTORY_MICROS = 120_000_000;
    private static final double FULL_CYCLE_RADIANS = 2 * Math.PI;

    private final SampledScenario parameters;
    private final EventCalendar calendar;
    private final Consumer<SimulatedRequest> sink;
    private final List<SharedStateDiscreteSampler> prefixSamplers = new ArrayList<>();
    private final List<int[]> prefixTokensByClass = new ArrayList<>();
    private final UniformRandomProvider arrivalRandom;
    private final UniformRandomProvider costlyRandom;
    private final double sessionRate;
    private final double[] sessionShareByClass;
    private final double phase;
    private long sessionCount;
    private long requestCount;

    /** Creates the process, which passes each request to the sink at its time in the calendar. */
    public ArrivalProcess(SampledScenario parameters, EventCalendar calendar,
            Consumer<SimulatedRequest> sink) {
        this.parameters = parameters;
        this.calendar = calendar;
        this.sink = sink;
        this.arrivalRandom = parameters.randomStreams.stream("arrivals");
        this.costlyRandom = parameters.randomStreams.stream("costly");
        this.phase = arrivalRandom.nextDouble();
        sessionShareByClass = new double[parameters.classes.size()];
        double sessionsPerRequest = 0;
        for (int classIndex = 0; classIndex < sessionShareByClass.length; classIndex++) {
            SampledScenario.SampledClass sampled = parameters.classes.get(classIndex);
            UniformRandomProvider random = parameters.randomStreams.stream("beginnings", classIndex);
            prefixSamplers.add(RejectionInversionZipfSampler.of(
                    parameters.randomStreams.stream("zipf", classIndex), Math.max(1, sampled.prefixCount()),
                    sampled.prefixZipf()));
            int[] tokens = new int[Math.max(1, sampled.prefixCount())];
            for (int i = 0; i < tokens.length; i++) {
                tokens[i] = (int) Math.max(32, sampled.prefixTokens() * (0.5 + random.nextDouble()));
            }
            prefixTokensByClass.add(tokens);
            sessionShareByClass[classIndex] = parameters.classShare[classIndex] / sampled.turns();
            sessionsPerRequest += sessionShareByClass[classIndex];
        }
        for (int classIndex = 0; classIndex < sessionShareByClass.length; classIndex++) {
            sessionShareByClass[classIndex] /= sessionsPerRequest;
        }
        sessionRate = parameters.requestRate * sessionsPerRequest;
    }

    /**
     * Starts the process. Sessions that began before the run are under way already; of them only the turns
     * within the run are sent.
     */
    public void start() {
        if (sessionRate > 0) {
            long at = -HISTORY_MICROS;
            while (at < 0) {
                at += Math.max(1, Math.round(RandomStreams.exponential(arrivalRandom,
                        MICROS_PER_SECOND / sessionRate)));
                if (at < 0) {
                    startSession(at);
                }
            }
            scheduleNextSession(0);
        }
    }

    private void scheduleNextSession(long now) {
        // thinning: arrivals are drawn at the highest rate, and accepted in proportion to the current rate
        double maxRate = sessionRate * (1 + parameters.swing) * Math.max(1, 1 + parameters.burst)
                * maxBurstFactor();
        long at = now;
        do {
            at += Math.max(1, Math.round(RandomStreams.exponential(arrivalRandom,
                    MICROS_PER_SECOND / maxRate)));
        } while (at < parameters.lengthMicros && arrivalRandom.nextDouble() * maxRate >= sessionRateAt(at));
        if (at >= parameters.lengthMicros) {
            return;
        }
        long when = at;
        calendar.scheduleAt(when, () -> {
            startSession(when);
            scheduleNextSession(when);
        });
    }

    private double maxBurstFactor() {
        double max = 1;
        for (SampledScenario.ScheduledDisturbance scheduled : parameters.disturbances) {
            max = scheduled.disturbance().kind() == Scenario.DisturbanceKind.BURST ? Math.max(max,
                    scheduled.size())
                    : max;
        }
        return max;
    }

    /** The rate at which sessions start at a time, in sessions per second. */
    private double sessionRateAt(long at) {
        double rate = sessionRate * (1 + parameters.swing
                * StrictMath.sin(FULL_CYCLE_RADIANS * (phase + (double) at / parameters.lengthMicros)));
        // short bursts: on average one second in eight, chosen by a hash of its number
        long second = at / 1_000_000;
        if (parameters.burst > 0) {
            boolean inBurst = (RandomStreams.mix(parameters.seed ^ second * 31) & 7) == 0;
            rate *= inBurst ? 1 + parameters.burst : 1 - parameters.burst / 7;
        }
        for (SampledScenario.ScheduledDisturbance scheduled : parameters.disturbances) {
            if (scheduled.disturbance().kind() == Scenario.DisturbanceKind.BURST
                    && at >= scheduled.fromMicros()
                    && at < scheduled.toMicros()) {
                rate *= scheduled.size();
            }
        }
        return rate;
    }

    private void startSession(long startedAtMicros) {
        long sessionNumber = ++sessionCount;
        UniformRandomProvider random = parameters.randomStreams.stream("session", sessionNumber);
        int classIndex = pickIndex(sessionShareByClass, random);
        SampledScenario.SampledClass sampled = parameters.classes.get(classIndex);
        int municipality = pickIndex(parameters.municipalityShare, random);
        int site = pickIndex(parameters.siteShare, random);
        // the number of turns is geometric: each turn is followed by another with the same probability
        int turns = 1;
        double continueProbability = 1 - 1 / Math.max(1, sampled.turns());
        while (turns < 50 && random.nextDouble() < continueProbability) {
            turns++;
        }
        long prefix = 0;
        int prefixTokens = 0;
        if (random.nextDouble() < sampled.prefixShare()) {
            int prefixIndex = prefixSamplers.get(classIndex).sample() - 1;
            int owner = sampled.profile().prefixPerMunicipality() ? municipality + 1 : 0;
            prefix = RandomStreams.mix(parameters.seed ^ (classIndex + 1) * 1_000_003L + prefixIndex
                    + owner * 0x2545f4914f6cdd1dL) | 1;
            prefixTokens = prefixTokensByClass.get(classIndex)[prefixIndex];
        }
        startTurn(classIndex, municipality, site, RandomStreams.mix(parameters.seed + sessionNumber * 7) | 1,
                prefix, prefixTokens, prefixTokens, turns, startedAtMicros, random);
    }

    /** Sends the request of a turn, unless it lies before the run, and schedules the next turn. */
    private void startTurn(int classIndex, int municipality, int site, long session, long prefix,
            int prefixTokens, int contextTokens, int turnsLeft, long now, UniformRandomProvider random) {
        SampledScenario.SampledClass sampled = parameters.classes.get(classIndex);
        double factor = costFactor(classIndex);
        int newTokens = (int) Math.max(1, Math.min(MAX_CONTEXT_TOKENS / 2,
                RandomStreams.logNormal(random, sampled.newTokens(), sampled.newSigma()) * factor));
        int outputTokens = (int) Math.max(1, Math.min(sampled.profile().maxOutputTokens(),
                Math.round(RandomStreams.logNormal(random, sampled.outputTokens(), sampled.outputSigma())
                        * factor)));
        int promptTokens = Math.min(MAX_CONTEXT_TOKENS, contextTokens + newTokens);
        if (now >= 0) {
            long giveUpAt = now + Math.round(sampled.profile().deadlineSeconds() * MICROS_PER_SECOND);
            sink.accept(new SimulatedRequest(++requestCount, classIndex, municipality, site, session,
                    prefix, promptTokens, Math.min(prefixTokens, promptTokens),
                    Math.min(newTokens, promptTokens), outputTokens,
                    sampled.profile().maxOutputTokens(), now, giveUpAt));
        }
        if (turnsLeft > 1) {
            double answerMicros = outputTokens * sampled.profile().tokenTargetMillis() * 1e3 / 2;
            double thinkMicros = RandomStreams.exponential(random,
                    sampled.thinkSeconds() * MICROS_PER_SECOND);
            long at = now + Math.round(answerMicros + thinkMicros);
            Runnable next = () -> startTurn(classIndex, municipality, site, session, prefix, prefixTokens,
                    promptTokens + outputTokens, turnsLeft - 1, at, random);
            if (at < 0) {
                next.run();
            } else if (at < parameters.lengthMicros) {
                calendar.scheduleAt(at, next);
            }
        }
    }

    /** The factor on the tokens of a request that arrives now: 1 unless a disturbance makes it costly. */
    private double costFactor(int classIndex) {
        for (SampledScenario.ScheduledDisturbance scheduled : parameters.disturbances) {
            if (scheduled.disturbance().kind() == Scenario.DisturbanceKind.COSTLY
                    && scheduled.requestClass() == classIndex
                            && calendar.nowMicros() >= scheduled.fromMicros()
                    && calendar.nowMicros() < scheduled.toMicros()
                    && costlyRandom.nextDouble() < scheduled.share()) {
                return scheduled.size();
            }
        }
        return 1;
    }

    /** Draws an index with the given probabilities. */
    private static int pickIndex(double[] shares, UniformRandomProvider random) {
        double remainder = random.nextDouble();
        for (int i = 0; i < shares.length - 1; i++) {
            remainder -= shares[i];
            if (remainder < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }
}
