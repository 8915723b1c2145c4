package yewdock.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import umberspread.Routing;

/**
 * The context that the reducer's components share: the time, effects, timers and counters, the calls to make
 * to the module, and the actions that the module has requested. Calls and actions are queued and run one
 * after the other, never nested.
 */
final class ReducerContext {
    /** A task for a request (0: none), which tells to which request an exception in the task belongs. */
    record Step(long requestId, Runnable task) {
    }

    private final Counters counters;
    private final Timers timers = new Timers();
    private final Deque<Step> moduleCalls = new ArrayDeque<>();
    private final Deque<Step> moduleActions = new ArrayDeque<>();
    private List<Effect> effects = new ArrayList<>();
    private Routing.Events module;
    private long now;
    /** The lease's end in microseconds. Without consensus there is no lease to lose. */
    private long leasedUntilMicros = Long.MAX_VALUE;
    private long retryAfterMicros;
    /** The time in microseconds from which the endpoint list may not be used any more. */
    private long listUsableUntilMicros = Long.MAX_VALUE;

    ReducerContext(Counters counters) {
        this.counters = counters;
    }

    /** Sets the module, which can only be created after the reducer's actions exist. */
    void module(Routing.Events newModule) {
        module = newModule;
    }

    /** Extends the lease to this time, with the retry delay for clients that are refused after it. */
    void extendLease(long untilMicros, long retryMicros) {
        leasedUntilMicros = untilMicros;
        retryAfterMicros = retryMicros;
    }

    /**
     * Whether the lease has run out, so that the agreed rules may have changed. Checked at each decision,
     * since a timer may be late.
     */
    boolean inDoubt() {
        return now >= leasedUntilMicros;
    }

    /** Sets the time until which the endpoint list may be used. */
    void limitListUse(long untilMicros) {
        listUsableUntilMicros = untilMicros;
    }

    long listUsableUntil() {
        return listUsableUntilMicros;
    }

    /** Whether the endpoint list may not be used, so that no server may be sent to. */
    boolean isListUnconfirmed() {
        return now >= listUsableUntilMicros;
    }

    /** Whether attempts may be started: the agreed rules and the endpoint list are certain enough. */
    boolean mayStartAttempts() {
        return !inDoubt() && !isListUnconfirmed();
    }

    /** Returns the retry delay in microseconds for a client that is refused in doubt; 0 gives none. */
    long retryAfterMicros() {
        return retryAfterMicros;
    }

    /** Starts the handling of an event; time never goes back. */
    void begin(long timeMicros) {
        now = Math.max(now, timeMicros);
        effects = new ArrayList<>();
    }

    long now() {
        return now;
    }

    List<Effect> effects() {
        return effects;
    }

    void emit(Effect effect) {
        effects.add(effect);
    }

    void log(String line) {
        effects.add(new Effect.Log(line));
    }

    void report(RequestTransition transition) {
        effects.add(new Effect.ReportTransition(transition));
    }

    /** Counts and reports that a request was closed without a complete response. */
    void reportClosed(String requestId, CloseReason reason, boolean streaming, long elapsedMicros) {
        count(reason.counterName());
        report(new RequestTransition.Closed(requestId, reason, streaming, elapsedMicros));
    }

    void count(String name) {
        counters.add(name);
    }

    Timers timers() {
        return timers;
    }

    void runAt(long timeMicros, Runnable task) {
        timers.runAt(timeMicros, task);
    }

    /** Queues a call to the module. */
    void callModule(long requestId, Consumer<Routing.Events> call) {
        moduleCalls.add(new Step(requestId, () -> call.accept(module)));
    }

    /** Queues an action that the module has requested. */
    void queueAction(long requestId, Runnable action) {
        moduleActions.add(new Step(requestId, action));
    }

    /** Returns the next task, or null. The module's actions run before its next call. */
    Step nextStep() {
        return moduleActions.isEmpty() ? moduleCalls.poll() : moduleActions.poll();
    }

    int retainedEntries() {
        return timers.size() + moduleCalls.size() + moduleActions.size();
    }
}
