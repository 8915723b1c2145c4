package yewdock.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A simulated language-model server with continuous batching. Each step reads up to a chunk of prompt tokens
 * in order of admission, and generates one token for every running request whose prompt has been read.
 * Running requests and the prefix cache share one memory; when it runs out, the newest request is preempted:
 * it goes back to the head of the queue and is read again.
 */
public final class SimulatedServer {
    private static final int CACHE_BLOCK_TOKENS = 32;
    /** Work for this share of the warm-up time ends the warm-up, where the server kind warms up by work. */
    private static final double WARM_UP_WORK_SHARE = 0.5;
    private static final double MICROS_PER_MILLI = 1e3;
    private static final double MICROS_PER_SECOND = 1e6;

    /**
     * The sampled properties of one kind of server, at the reference speed 1. Memory is counted in tokens of
     * context; attentionMillisPerMillion is the cost of a million pairs of a read token and an earlier token.
     */
    public record ServerSpec(int kind, int slots, int queueLimit, long memoryTokens, double stepMillis,
            double perSequenceMillis, double contextMillisPerThousand, double attentionMillisPerMillion,
            double prefillTokensPerSecond, int prefillChunkTokens, double coldCapacityShare,
            double warmUpSeconds, boolean warmByWork, double baseErrorShare, boolean dropsExpired,
            boolean cachesOutput) {
        /** Milliseconds of a step with this many running requests and tokens of context in total. */
        double stepMillis(int running, double contextTokens) {
            return stepMillis + perSequenceMillis * running + contextMillisPerThousand * contextTokens / 1000;
        }

        /** Seconds of a half-full server at the reference speed that a request takes. */
        double costSeconds(double readTokens, double outputTokens, double contextTokens) {
            double batch = Math.max(1, slots / 2.0);
            return readTokens / prefillTokensPerSecond
                    + outputTokens * stepMillis((int) batch, batch * contextTokens) / 1000 / batch;
        }
    }

    final int number;
    final long id;
    final int site;
    final ServerSpec spec;
    final double speed;
    private final EventCalendar calendar;
    private final UniformRandomProvider random;
    private final ArrayDeque<InferenceJob> queue = new ArrayDeque<>();
    private final List<InferenceJob> running = new ArrayList<>();
    private final PrefixCache prefixCache = new PrefixCache();
    private long usedTokens;
    private long contextTokens;
    private boolean stepScheduled;
    /** Changes with every crash; steps of an earlier incarnation are ignored. */
    private int incarnation;
    private double workSinceStartSeconds;
    private double handshakeMicros;
    boolean alive = true;
    /** Whether it crashed without closing its connections, so that nobody is told. */
    boolean unreachable;
    boolean hung;
    boolean accepting = true;
    /** Factor on the duration of each step; 1 outside a disturbance. */
    double slowdown = 1;
    /** Share of requests that fail during a disturbance, besides the base share of its kind. */
    double errorShare;
    boolean crashedByOverload;
    int crashes;
    int connections;
    /** Time of the last start; 0 if it has run since before the simulation and is warm. */
    long startedAtMicros;
    /** Seconds of all work done. */
    double workDoneSeconds;
    /** Seconds of work done for requests that nobody waited for any more, or that a crash lost. */
    double workWastedSeconds;
    long preemptions;

    /** Creates a server that is warm and idle. */
    public SimulatedServer(int number, long id, int site, ServerSpec spec, double speed,
            EventCalendar calendar, UniformRandomProvider random) {
        this.number = number;
        this.id = id;
        this.site = site;
        this.spec = spec;
        this.speed = speed;
        this.calendar = calendar;
        this.random = random;
    }

    /** Queues a job; returns false if all slots and the queue are full, or if nothing new is accepted. */
    public boolean submit(InferenceJob job) {
        if (!accepting || running.size() + queue.size() >= spec.slots + spec.queueLimit) {
            return false;
        }
        queue.add(job);
        if (!stepScheduled) {
            startStep();
        }
        return true;
    }

    /** Draws whether a request fails with an error. */
    boolean drawsError() {
        return random.nextDouble() < spec.baseErrorShare + errorShare;
    }

    /** Adds the cost of a new connection to the next step. */
    void addHandshake(double micros) {
        handshakeMicros += micros;
    }

    /** The share of its full capacity that it has now, from the cold share to 1. */
    double capacityShare() {
        if (startedAtMicros == 0) {
            return 1;
        }
        double warmByTime = (calendar.nowMicros() - startedAtMicros) / MICROS_PER_SECOND / spec.warmUpSeconds;
        double warm = spec.warmByWork ? Math.max(warmByTime,
                workSinceStartSeconds / (WARM_UP_WORK_SHARE * spec.warmUpSeconds)) : warmByTime;
        return Math.min(1, spec.coldCapacityShare + (1 - spec.coldCapacityShare) * warm);
    }

    /** Admits queued jobs and schedules the end of the next step, if there is anything to run. */
    private void startStep() {
        if (hung || !alive) {
            stepScheduled = false;
            return;
        }
        admitQueued();
        if (running.isEmpty()) {
            stepScheduled = false;
            return;
        }
        stepScheduled = true;
        double budget = spec.prefillChunkTokens;
        double tokenPairs = 0;
        for (int i = 0; i < running.size() && budget > 0; i++) {
            InferenceJob job = running.get(i);
            if (job.unreadTokens > 0) {
                double part = Math.min(budget, job.unreadTokens);
                budget -= part;
                tokenPairs += part
                        * (job.request.promptTokens + job.generatedTokens - job.unreadTokens + part / 2);
            }
        }
        double readTokens = spec.prefillChunkTokens - budget;
        double millis = spec.stepMillis(running.size(), contextTokens)
                + readTokens / spec.prefillTokensPerSecond * 1000
                + spec.attentionMillisPerMillion * tokenPairs / 1e6;
        double micros = (millis * MICROS_PER_MILLI / speed * slowdown + handshakeMicros) / capacityShare();
        handshakeMicros = 0;
        int startedBy = incarnation;
        calendar.scheduleAfter(Math.max(1, micros), () -> {
            if (incarnation == startedBy) {
                finishStep();
            }
        });
    }

    /** Moves queued jobs into free slots while memory allows; one job is admitted even beyond the memory. */
    private void admitQueued() {
        while (running.size() < spec.slots && !queue.isEmpty()) {
            InferenceJob job = queue.peek();
            if (spec.dropsExpired && job.abandoned && job.generatedTokens == 0
                    && job.expiresAtMicros <= calendar.nowMicros()) {
                queue.poll();
                job.listener.failed(job);
                continue;
            }
            int sharedTokens = job.request.prefix == 0 ? 0 : job.request.prefixTokens;
            job.ownPromptTokens = job.request.promptTokens - sharedTokens;
            long neededTokens = job.ownPromptTokens + job.generatedTokens + (long) sharedTokens;
            if (!running.isEmpty() && usedTokens + neededTokens > spec.memoryTokens) {
                return;
            }
            queue.poll();
            job.cachedTokens = prefixCache.take(job.request, CACHE_BLOCK_TOKENS);
            if (job.firstCachedTokens < 0) {
                job.firstCachedTokens = job.cachedTokens;
            }
            // at least one token is read even on a full cache hit: the first output token is computed from it
            job.unreadTokens = Math.max(1, job.request.promptTokens + job.generatedTokens - job.cachedTokens);
            usedTokens += job.ownPromptTokens + job.generatedTokens;
            contextTokens += job.request.promptTokens + job.generatedTokens;
            running.add(job);
            prefixCache.evictTo(Math.max(0, spec.memoryTokens - usedTokens));
        }
    }

    /** Applies the step that ends now: reads prompts, generates tokens, completes jobs, preempts. */
    private void finishStep() {
        double budget = spec.prefillChunkTokens;
        List<InferenceJob> finished = null;
        for (int i = 0; i < running.size(); i++) {
            InferenceJob job = running.get(i);
            if (job.unreadTokens > 0) {
                double part = Math.min(budget, job.unreadTokens);
                budget -= part;
                job.unreadTokens -= part;
                if (job.unreadTokens > 0) {
                    continue;
                }
                prefixCache.putPrefix(job.request);
            }
            job.generatedTokens++;
            usedTokens++;
            contextTokens++;
            if (job.generatedTokens == 1) {
                job.listener.firstToken(job);
            }
            job.listener.tokenGenerated(job);
            if (job.generatedTokens >= job.request.outputTokens) {
                if (finished == null) {
                    finished = new ArrayList<>();
                }
                finished.add(job);
            }
        }
        if (finished != null) {
            running.removeAll(finished);
            for (InferenceJob job : finished) {
                release(job);
                prefixCache.putSession(job.request,
                        job.ownPromptTokens + (spec.cachesOutput ? job.generatedTokens : 0));
                workDoneSeconds += job.costSeconds;
                workSinceStartSeconds += job.costSeconds / speed;
                workWastedSeconds += job.abandoned ? job.costSeconds : 0;
            }
        }
        prefixCache.evictTo(Math.max(0, spec.memoryTokens - usedTokens));
        while (usedTokens > spec.memoryTokens && running.size() > 1) {
            InferenceJob newest = running.remove(running.size() - 1);
            release(newest);
            queue.addFirst(newest);
            preemptions++;
        }
        if (finished != null) {
            for (InferenceJob job : finished) {
                job.listener.completed(job);
            }
        }
        startStep();
    }

    /** Frees the memory of a job that leaves the batch. */
    private void release(InferenceJob job) {
        usedTokens -= job.ownPromptTokens + job.generatedTokens;
        contextTokens -= job.request.promptTokens + job.generatedTokens;
    }

    /** Kills the process and all its jobs; silently: no connection is closed, so nobody is told. */
    void crash(boolean silently) {
        alive = false;
        unreachable = silently;
        incarnation++;
        crashes++;
        connections = 0;
        stepScheduled = false;
        List<InferenceJob> all = new ArrayList<>(running);
        all.addAll(queue);
        running.clear();
        queue.clear();
        prefixCache.clear();
        usedTokens = 0;
        contextTokens = 0;
        for (InferenceJob job : all) {
            workWastedSeconds += job.costSeconds * Math.min(1,
                    (double) job.generatedTokens / job.request.outputTokens);
            job.listener.failed(job);
        }
    }

    /**
     * Fails every stream that has started, as routers do after a silence; the server doesn't notice and goes
     * on with its jobs.
     */
    void breakStreams() {
        for (InferenceJob job : new ArrayList<>(running)) {
            if (job.generatedTokens > 0) {
                job.listener.failed(job);
            }
        }
    }

    /** Starts it again after a crash, cold and idle. */
    void restart() {
        alive = true;
        unreachable = false;
        accepting = true;
        hung = false;
        workSinceStartSeconds = 0;
        startedAtMicros = Math.max(1, calendar.nowMicros());
    }

    /** Suspends the server, or resumes it where it stopped. */
    void setHung(boolean hang) {
        hung = hang;
        if (!hung && alive && !stepScheduled) {
            startStep();
        }
    }

    /** The number of requests running and queued. */
    public int inFlight() {
        return running.size() + queue.size();
    }

    /** The number of requests in the batch. */
    int running() {
        return running.size();
    }

    /** The number of requests in the queue. */
    int queued() {
        return queue.size();
    }

    /** Prompt tokens still to be read, of running and queued requests. */
    double pendingPromptTokens() {
        double sum = 0;
        for (InferenceJob job : running) {
            sum += job.unreadTokens;
        }
        for (InferenceJob job : queue) {
            sum += job.request.promptTokens;
        }
        return sum;
    }

    /** The share of the memory that running requests use. */
    double memoryUsedShare() {
        return (double) usedTokens / spec.memoryTokens;
    }

    /**
     * Estimates the microseconds until the first token of a request that is sent now; infinite if the server
     * would not accept it.
     */
    double firstTokenMicros(SimulatedRequest request) {
        if (!alive || hung || !accepting || inFlight() >= spec.slots + spec.queueLimit) {
            return Double.POSITIVE_INFINITY;
        }
        double intervalMicros = tokenIntervalMicros(1);
        double unreadTokens =
                Math.max(1, request.promptTokens - prefixCache.lookup(request, CACHE_BLOCK_TOKENS))
                        + pendingPromptTokens();
        double readMicros = unreadTokens / spec.prefillTokensPerSecond * MICROS_PER_SECOND / speed * slowdown
                / capacityShare();
        double steps = Math.ceil(unreadTokens / spec.prefillChunkTokens) + 1;
        int ahead = inFlight() + 1 - spec.slots;
        double slotWaitMicros = 0;
        if (ahead > 0 && !running.isEmpty()) {
            int[] remaining = new int[running.size()];
            for (int i = 0; i < remaining.length; i++) {
                remaining[i] = running.get(i).request.outputTokens - running.get(i).generatedTokens;
            }
            java.util.Arrays.sort(remaining);
            slotWaitMicros = remaining[Math.min(ahead, remaining.length) - 1] * intervalMicros;
        }
        return slotWaitMicros + readMicros + steps * intervalMicros;
    }

    /** Microseconds between the tokens of a request, with this many requests more than now. */
    double tokenIntervalMicros(int more) {
        return spec.stepMillis(Math.min(spec.slots, running.size() + more), contextTokens)
                * MICROS_PER_MILLI / speed * slowdown / capacityShare();
    }
}
