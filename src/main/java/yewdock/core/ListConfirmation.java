package yewdock.core;

/**
 * Whether discovery has confirmed the endpoint list that this process started with.
 *
 * <p>Where an agent on this machine holds the list, its contents count as known whether or not they were
 * received, so a list that the agent has not confirmed must not be used: one of its servers may be draining.
 * While an agent that has confirmed the list is silent, it learns of no change, and the list stays in use.
 *
 * <p>Where discovery is polled and the list is stored, a drain that the process before received may have been
 * lost with that process before it was stored. The answer to the first call contains it.
 */
final class ListConfirmation {
    /**
     * Time in microseconds for which a new process holds requests for the agent's first answer. Until the
     * answer comes, it then refuses them.
     */
    static final long FIRST_ANSWER_TIMEOUT_MICROS = 1_000_000;
    /**
     * The same time where discovery is polled: the first calls of a fleet are spread, and each may have to
     * queue at the service.
     */
    static final long FIRST_POLLED_ANSWER_TIMEOUT_MICROS = 2_000_000;
    /**
     * Time in microseconds after which a list is used although polled discovery has not answered: it can't
     * be reached, since otherwise a change would count as known by then.
     */
    static final long UNREACHABLE_AFTER_MICROS = DiscoveryWatch.KNOWN_AFTER_MICROS;
    /**
     * Time in microseconds after which a new process reports that it is ready although it still refuses
     * requests, since most restarted routers have to be ready within 10 s.
     */
    static final long READY_TIMEOUT_MICROS = 8_000_000;
    /** Time in microseconds after which the contents of an agent at a new address count as known. */
    static final long MOVED_AGENT_KNOWN_AFTER_MICROS = 4_000_000;

    private final ReducerContext context;
    /** Whether discovery has not answered since the start of this process. */
    private boolean firstAnswerAwaited;
    /** Whether the time has not passed yet for which that delays readiness. */
    private boolean readinessDelayed;

    ListConfirmation(ReducerContext context) {
        this.context = context;
    }

    /** Awaits the agent's first answer to a new process. */
    void awaitFirstAnswer() {
        await(FIRST_ANSWER_TIMEOUT_MICROS);
    }

    /** Awaits the first answer of polled discovery; if it can't be reached, runs the action. */
    void awaitFirstPolledAnswer(Runnable onUnreachable) {
        await(FIRST_POLLED_ANSWER_TIMEOUT_MICROS);
        context.runAt(context.now() + UNREACHABLE_AFTER_MICROS, () -> {
            if (firstAnswerAwaited) {
                context.count("list.used_unconfirmed");
                onUnreachable.run();
            }
        });
    }

    private void await(long timeoutMicros) {
        firstAnswerAwaited = true;
        readinessDelayed = true;
        context.limitListUse(context.now() + timeoutMicros);
        context.runAt(context.now() + READY_TIMEOUT_MICROS, () -> readinessDelayed = false);
    }

    /** Awaits the first answer of an agent at a new address. */
    void awaitMovedAgent() {
        context.limitListUse(Math.min(context.listUsableUntil(),
                context.now() + MOVED_AGENT_KNOWN_AFTER_MICROS));
    }

    /** Awaits an answer after a pause of the process, in which the agent may have learned of changes. */
    void awaitAnswerAfterPause() {
        context.limitListUse(context.now());
    }

    /** Handles an answer of discovery; returns whether it is the first one. */
    boolean confirmed() {
        boolean first = firstAnswerAwaited;
        firstAnswerAwaited = false;
        context.limitListUse(Long.MAX_VALUE);
        return first;
    }

    /** Whether discovery has not answered since the start of this process. */
    boolean isFirstAnswerAwaited() {
        return firstAnswerAwaited;
    }

    /** Whether this process is not ready because discovery has not answered yet. */
    boolean delaysReadiness() {
        return firstAnswerAwaited && readinessDelayed;
    }
}
