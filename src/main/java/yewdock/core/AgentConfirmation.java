package yewdock.core;

/**
 * Whether the agent on this machine has confirmed the endpoint list, where one holds it. What the agent holds
 * counts as known whether or not it was received, so a list that the agent has not confirmed must not be
 * used: one of its servers may be draining. While an agent that has confirmed the list is silent, it learns
 * of no change, and the list stays in use.
 */
final class AgentConfirmation {
    /**
     * Time in microseconds for which a new process holds requests for the agent's first answer. Until the
     * answer comes, it then refuses them.
     */
    static final long FIRST_ANSWER_TIMEOUT_MICROS = 1_000_000;
    /**
     * Time in microseconds after which a new process reports that it is ready although it still refuses
     * requests, since most restarted routers have to be ready within 10 s.
     */
    static final long READY_TIMEOUT_MICROS = 8_000_000;
    /** Time in microseconds after which the contents of an agent at a new address count as known. */
    static final long MOVED_AGENT_KNOWN_AFTER_MICROS = 4_000_000;

    private final ReducerContext context;
    /** Whether the agent has not answered since the start of this process. */
    private boolean firstAnswerAwaited;
    /** Whether the time has not passed yet for which that delays readiness. */
    private boolean readinessDelayed;

    AgentConfirmation(ReducerContext context) {
        this.context = context;
    }

    /** Awaits the agent's first answer to a new process. */
    void awaitFirstAnswer() {
        firstAnswerAwaited = true;
        readinessDelayed = true;
        context.limitListUse(context.now() + FIRST_ANSWER_TIMEOUT_MICROS);
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

    /** Handles an answer of the agent; returns whether it is the first one. */
    boolean confirmed() {
        boolean first = firstAnswerAwaited;
        firstAnswerAwaited = false;
        context.limitListUse(Long.MAX_VALUE);
        return first;
    }

    /** Whether the agent has not answered since the start of this process. */
    boolean isFirstAnswerAwaited() {
        return firstAnswerAwaited;
    }

    /** Whether this process is not ready because the agent has not answered yet. */
    boolean delaysReadiness() {
        return firstAnswerAwaited && readinessDelayed;
    }
}
