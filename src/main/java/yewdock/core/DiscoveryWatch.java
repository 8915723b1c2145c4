package yewdock.core;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import umberspread.Mixing;

/**
 * The watch on the endpoint list: one discovery call at a time, at one address.
 *
 * <p>Where discovery is polled, it is one service for all routers, and the module decides when to call again
 * after a failure; the watch only ensures that a call is never forgotten. Where an agent on this machine
 * holds the list, its contents count as known at any moment: the watch runs by itself from the start, and a
 * call without an answer is repeated well within the time in which a drain must be kept.
 */
final class DiscoveryWatch {
    /** Length of a long poll in microseconds. */
    static final long LONG_POLL_MICROS = 5_000_000;
    /**
     * Range in microseconds by which long polls are randomly shortened. A change reaches all routers at once,
     * so their next calls start together; if those also ended together, or were given up together when they
     * got no answer, the calls after them would wait for each other.
     */
    private static final long SPREAD_MICROS = 1_300_000;
    /**
     * Time in microseconds after which a change in discovery counts as known, even if a call failed or was
     * not answered.
     */
    static final long KNOWN_AFTER_MICROS = 6_000_000;
    /**
     * Shares, in tenths, of what is left of that time and the drain grace after a long poll. Three tenths are
     * for the answer to the long poll, six for the answer to the call that follows it, which may have to
     * queue at the service. If both get no answer, the second is given up with a tenth left for the third to
     * deliver the change.
     */
    private static final int LONG_POLL_ANSWER_TENTHS = 3;
    private static final int REPEATED_CALL_TENTHS = 6;
    /**
     * Timeout in microseconds of any other call. A busy service answers or fails a call after it has queued
     * for 2 s. A call given up earlier still uses its place in the queue, and the next call queues behind it:
     * many routers that do so would keep the service busy for ever and none would get an answer.
     */
    private static final long CALL_TIMEOUT_MICROS = 2_100_000;
    /**
     * Time in microseconds from the start of a call to that of the next one while the service takes longer
     * than that timeout to answer. A change is in the answer to the first call after it, so it is received in
     * time as long as an answer takes no longer than what this leaves of the time until it counts as known.
     */
    private static final long SLOW_CALL_INTERVAL_MICROS = CALL_TIMEOUT_MICROS;
    private static final int TENTHS = 10;
    /**
     * Unanswered calls in a row after which the next call is made at once; after that the module decides
     * when.
     */
    private static final int MAX_IMMEDIATE_REPEATS = 2;
    /**
     * Divisor of the drain grace: a long poll at an agent may last this fraction, and its answer may take
     * another.
     */
    private static final int GRACE_DIVISOR = 4;
    /** Lower bound for each of these fractions, in microseconds. */
    private static final long MIN_GRACE_PART_MICROS = 50_000;
    /**
     * Longest factor for an agent's answer time after calls have failed, since the agent may be slow. With a
     * larger one, a list that the agent recovers just after such a call was sent would arrive after the
     * grace.
     */
    private static final int MAX_TIMEOUT_FACTOR = 2;
    /**
     * Delay in microseconds before the first call after a failure at an agent; it doubles with each failure.
     */
    private static final long AGENT_BACKOFF_MICROS = 20_000;
    /**
     * Delay in microseconds before the call after an immediate answer without changes. Discovery ends a watch
     * after 200 ms without a call.
     */
    private static final long MIN_CALL_INTERVAL_MICROS = 50_000;

    /**
     * Time in microseconds after a change in which another one counts as part of a series, such as a release
     * brings. After such a change the next call is delayed and collects what has changed by then. With an
     * immediate call after each change, the calls of many routers would exceed the service's capacity, and
     * the routers that hear of every change would crowd out the others.
     */
    private static final long SERIES_GAP_MICROS = 2_000_000;
    /** Time in microseconds without an answer after which an agent counts as silent. */
    private static final long SILENT_AFTER_MICROS = 1_000_000;
    /** Longest delay in microseconds before the call after a change in a series. */
    private static final long SERIES_DELAY_MICROS = 1_000_000;

    private final CoreSettings settings;
    private final LongSupplier now;
    private final Timers timers;
    private final Counters counters;
    private final Consumer<Effect> effects;
    private final Runnable onFailure;
    private final EndpointListVersions versions = new EndpointListVersions();
    private String address;
    /** Number of the current call; a timer of an older call has no effect. */
    private long callNumber;
    private long calledAt;
    /** Whether a call is in flight. */
    private boolean inFlight;
    /** Whether the last call was a long poll. */
    private boolean longPollOpen;
    /** Whether the module waits for an answer. */
    private boolean moduleWaits;
    private int failures;
    private int unansweredCalls;
    /** Whether the last answer came later than the timeout of its call. */
    private boolean serviceSlow;
    /** Whether the call after a pause of the process is in flight. */
    private boolean catchingUp;
    private long lastChangeAt = -SERIES_GAP_MICROS;
    private long answeredAt;

    DiscoveryWatch(CoreSettings settings, LongSupplier now, Timers timers, Counters counters,
            Consumer<Effect> effects, Runnable onFailure) {
        this.settings = settings;
        this.now = now;
        this.timers = timers;
        this.counters = counters;
        this.effects = effects;
        this.onFailure = onFailure;
    }

    /** Starts the watch at an address, with the known version of the list. */
    void start(String newAddress, long knownVersion) {
        address = newAddress;
        versions.startAt(knownVersion);
        calledAt = now.getAsLong();
        if (settings.discoveryByAgent()) {
            callDiscovery(0);
        } else {
            ensureCalls();
        }
    }

    /**
     * Calls discovery if the module has not done so within the longest allowed time, since changes count as
     * known after that.
     */
    private void ensureCalls() {
        timers.runAt(now.getAsLong() + settings.maxPollIntervalMicros(), () -> {
            if (!inFlight && now.getAsLong() - calledAt >= settings.maxPollIntervalMicros()) {
                callDiscovery(0);
            }
            ensureCalls();
        });
    }

    /**
     * Moves the watch to another address. The whole list is asked for at once: the versions of the two
     * addresses may be unrelated, and the last list from the old address may be outdated.
     */
    void moveTo(String newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        versions.startAt(EndpointListVersions.NONE);
        failures = 0;
        unansweredCalls = 0;
        serviceSlow = false;
        restartCall();
    }

    private void restartCall() {
        if (inFlight) {
            effects.accept(new Effect.CancelDiscoveryCall());
        }
        callDiscovery(0);
    }

    /**
     * Handles a pause of the process. An answer that arrived during the pause has been read by now, but
     * changes after it were not watched and may count as known before the next answer. After a long pause the
     * list is therefore asked for again.
     */
    void processResumed(long pausedMicros) {
        if (pausedMicros >= longPauseMicros()) {
            counters.add("list.resumed");
            catchingUp = true;
            // an answer to a call from before the pause may not contain a change during it
            effects.accept(new Effect.CancelDiscoveryCallsAside());
            restartCall();
        }
    }

    /** Whether the call after a pause is still unanswered. */
    boolean catchingUp() {
        return catchingUp;
    }

    /** Returns the shortest pause of the process after which the list is asked for again. */
    private long longPauseMicros() {
        return settings.discoveryByAgent() ? gracePart() : Math.min(KNOWN_AFTER_MICROS - CALL_TIMEOUT_MICROS,
                settings.maxPollIntervalMicros() / 2);
    }

    /** The next answer may come from another discovery process, whose versions are unrelated. */
    void connectionLost() {
        versions.requestFullList();
    }

    /**
     * Another router has a newer list: a long poll should have delivered it, so its connection may be broken,
     * and another call is made at once. A call without a wait is awaited: a slow service would never be heard
     * if each version of the list, known to another router, ended it.
     */
    void listOutdated() {
        counters.add("list.behind");
        if (settings.discoveryByAgent()) {
            restartCall();
        } else if (!inFlight) {
            callDiscovery(0);
        } else if (longPollOpen) {
            effects.accept(new Effect.SetDiscoveryCallAside());
            callDiscovery(0);
        }
    }

    /** Whether an agent on this machine holds the list. */
    boolean byAgent() {
        return settings.discoveryByAgent();
    }

    /** Whether the agent's last answer had come long before this time, in microseconds. */
    boolean wasSilentAt(long time) {
        return time - answeredAt >= SILENT_AFTER_MICROS;
    }

    String address() {
        return address;
    }

    /** Returns the version of the held list, or -1. */
    long version() {
        return versions.newest();
    }

    /**
     * Whether an answer follows the held list; to be called once for each answer, before
     * {@link #listReceived}. From an answer that doesn't follow, only changes that end the use of a server
     * may be taken.
     */
    boolean follows(EndpointList list) {
        boolean follows = versions.follows(list, now.getAsLong());
        if (!follows) {
            counters.add("list.older");
        }
        return follows;
    }

    /** The module asks for the list and all its changes from now on. */
    void followList() {
        moduleWaits = true;
        if (!inFlight) {
            callDiscovery(0);
        }
    }

    /**
     * Makes a call. Discovery keeps a watch only if the next call comes within 200 ms of the last answer.
     */
    private void callDiscovery(long pollMicros) {
        callDiscovery(pollMicros, answerTimeout(pollMicros));
    }

    private void callDiscovery(long pollMicros, long timeoutMicros) {
        inFlight = true;
        longPollOpen = pollMicros > 0;
        long number = ++callNumber;
        calledAt = now.getAsLong();
        counters.add("list.calls");
        effects.accept(new Effect.CallDiscovery(address, versions.sinceVersion(), pollMicros));
        timers.runAt(calledAt + pollMicros + timeoutMicros, () -> {
            if (inFlight && callNumber == number) {
                callUnanswered(pollMicros > 0);
            }
        });
    }

    /**
     * Handles a call that got no answer in time: its connection is broken or the service is late, and changes
     * it should have delivered count as known soon. The call stays open beside the next one: a service or an
     * agent that takes longer than the timeout over each call would otherwise never be heard, and a service
     * with more callers than capacity may answer it late and refuse the new one. Where discovery is polled,
     * the call is repeated at once, and only a service that stays silent is left to the module's backoff.
     */
    private void callUnanswered(boolean longPoll) {
        effects.accept(new Effect.SetDiscoveryCallAside());
        if (!settings.discoveryByAgent() && unansweredCalls < MAX_IMMEDIATE_REPEATS) {
            unansweredCalls++;
            counters.add("list.silent");
            callDiscovery(0, longPoll ? shareOfSlack(REPEATED_CALL_TENTHS) : answerTimeout(0));
        } else {
            onFailure.run();
        }
    }

    /**
     * Records how long after the end of its wait a call was answered, also of one that was set aside and
     * answered after another.
     */
    void answerDelayed(long delayMicros) {
        serviceSlow = !settings.discoveryByAgent() && delayMicros > CALL_TIMEOUT_MICROS;
        if (serviceSlow) {
            counters.add("list.slow_answers");
        }
    }

    /** Makes a call after a delay, unless another one has been made by then. */
    private void callLater(long delayMicros, long pollMicros) {
        long lastNumber = callNumber;
        timers.runAt(now.getAsLong() + delayMicros, () -> {
            if (!inFlight && callNumber == lastNumber) {
                callDiscovery(pollMicros);
            }
        });
    }

    /**
     * Returns the length of a long poll at an agent: half of the grace is left for what follows the answer.
     */
    private long gracePart() {
        return Math.min(LONG_POLL_MICROS, Math.max(MIN_GRACE_PART_MICROS,
                settings.drainGraceMicros() / GRACE_DIVISOR));
    }

    /** Returns how long the answer may take after a poll of the given length has ended. */
    private long answerTimeout(long pollMicros) {
        if (settings.discoveryByAgent()) {
            return gracePart() * Math.min(MAX_TIMEOUT_FACTOR, 1 + failures);
        }
        return pollMicros > 0 ? shareOfSlack(LONG_POLL_ANSWER_TENTHS) : CALL_TIMEOUT_MICROS;
    }

    /** Returns this many tenths of the time left after a long poll until a drain must be kept. */
    private long shareOfSlack(int tenths) {
        return (KNOWN_AFTER_MICROS - LONG_POLL_MICROS + settings.drainGraceMicros()) / TENTHS * tenths;
    }

    /**
     * Handles an answer that doesn't follow the held list: the whole list is asked for until an answer is
     * believed.
     */
    void olderListReceived(EndpointList list) {
        callAnswered();
        if (list.full()) {
            callLater(settings.discoveryByAgent() ? gracePart() : EndpointListVersions.MAX_LAG_MICROS, 0);
        } else {
            callDiscovery(0);
        }
    }

    private void callAnswered() {
        inFlight = false;
        moduleWaits = false;
        failures = 0;
        unansweredCalls = 0;
        catchingUp = false;
        answeredAt = now.getAsLong();
        counters.add("list.answers");
    }

    /**
     * Handles an answer and schedules the next call; returns whether the module should be told of the answer.
     */
    boolean listReceived(EndpointList list) {
        boolean changed = moduleWaits || list.full() || !list.servers().isEmpty();
        callAnswered();
        long pollMicros = settings.discoveryByAgent() ? gracePart() : list.servers().isEmpty()
                ? LONG_POLL_MICROS
                : LONG_POLL_MICROS - (long) (Mixing.uniform(now.getAsLong()) * SPREAD_MICROS);
        if (serviceSlow) {
            callLater(Math.max(0, calledAt + SLOW_CALL_INTERVAL_MICROS - now.getAsLong()), 0);
            return changed;
        }
        boolean series = !list.servers().isEmpty() && now.getAsLong() - lastChangeAt < SERIES_GAP_MICROS;
        lastChangeAt = list.servers().isEmpty() ? lastChangeAt : now.getAsLong();
        if (series && !settings.discoveryByAgent()) {
            callLater(Math.min(SERIES_DELAY_MICROS, settings.maxPollIntervalMicros() / 2), pollMicros);
        } else if (changed || now.getAsLong() - calledAt >= MIN_CALL_INTERVAL_MICROS) {
            callDiscovery(pollMicros);
        } else {
            callLater(MIN_CALL_INTERVAL_MICROS, pollMicros);
        }
        return changed;
    }

    /** Handles a failed call; returns whether the module should be told of it, which then calls again. */
    boolean callFailed() {
        boolean reportToModule = moduleWaits || !settings.discoveryByAgent();
        inFlight = false;
        moduleWaits = false;
        catchingUp = false;
        counters.add("list.failures");
        if (settings.discoveryByAgent()) {
            callLater(Math.min(gracePart(), AGENT_BACKOFF_MICROS << Math.min(failures, 8)), 0);
            failures++;
        }
        return reportToModule;
    }
}
