package yewdock.desk;

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
    static final long WAIT = 5_000_000;
    /**
     * Range in microseconds by which long polls are randomly shortened. A change reaches all routers at once,
     * so their next calls start together; if those also ended together, or were given up together when they
     * got no answer, the calls after them would wait for each other.
     */
    private static final long APART = 1_300_000;
    /**
     * Time in microseconds after which a change in discovery counts as known, even if a call failed or was
     * not answered.
     */
    private static final long COUNTS_AS_TOLD = 6_000_000;
    /**
     * Shares, in tenths, of what is left of that time and the drain grace after a long poll. Three tenths are
     * for the answer to the long poll, six for the answer to the call that follows it, which may have to
     * queue at the service. If both get no answer, the second is given up with a tenth left for the third to
     * deliver the change.
     */
    private static final int WAITED_TENTHS = 3;
    private static final int ANEW_TENTHS = 6;
    /**
     * Timeout in microseconds of any other call. A busy service answers or fails a call after it has queued
     * for 2 s. A call given up earlier still uses its place in the queue, and the next call queues behind it:
     * many routers that do so would keep the service busy for ever and none would get an answer.
     */
    private static final long TURN = 2_100_000;
    private static final int TENTHS = 10;
    /**
     * Unanswered calls in a row after which the next call is made at once; after that the module decides
     * when.
     */
    private static final int SILENT_CALLS = 2;
    /**
     * Divisor of the drain grace: a long poll at an agent may last this fraction, and its answer may take
     * another.
     */
    private static final int GRACE_PARTS = 4;
    private static final long LEAST_PART = 50_000;
    /**
     * Longest factor for an agent's answer time after calls have failed, since the agent may be slow. With a
     * larger one, a list that the agent recovers just after such a call was sent would arrive after the
     * grace.
     */
    private static final int MOST_PATIENCE = 2;
    /**
     * Delay in microseconds before the first call after a failure at an agent; it doubles with each failure.
     */
    private static final long AGAIN = 20_000;
    /**
     * Delay in microseconds before the call after an immediate answer without changes. Discovery ends a watch
     * after 200 ms without a call.
     */
    private static final long PACE = 50_000;

    /**
     * Time in microseconds after a change in which another one counts as part of a series, such as a release
     * brings. After such a change the next call is delayed and collects what has changed by then. With an
     * immediate call after each change, the calls of many routers would exceed the service's capacity, and
     * the routers that hear of every change would crowd out the others.
     */
    private static final long SERIES = 2_000_000;
    /** Longest delay in microseconds before the call after a change in a series. */
    private static final long REST = 1_000_000;

    private final Terms terms;
    private final LongSupplier now;
    private final Timers timers;
    private final Counters counters;
    private final Consumer<Effect> effects;
    private final Runnable whenLate;
    private final EndpointListVersions versions = new EndpointListVersions();
    private String address;
    /** Number of the current call; a timer of an older call has no effect. */
    private long call;
    private long calledAt;
    /** Whether a call is in flight. */
    private boolean out;
    /** Whether the module waits for an answer. */
    private boolean asked;
    private int failures;
    private int silences;
    /** Whether the call after a pause of the process is in flight. */
    private boolean catchesUp;
    private long newsAt = -SERIES;

    DiscoveryWatch(Terms terms, LongSupplier now, Timers timers, Counters counters, Consumer<Effect> effects,
            Runnable whenLate) {
        this.terms = terms;
        this.now = now;
        this.timers = timers;
        this.counters = counters;
        this.effects = effects;
        this.whenLate = whenLate;
    }

    /** Starts the watch at an address, with the known version of the list. */
    void begin(String where, long known) {
        address = where;
        versions.startWith(known);
        calledAt = now.getAsLong();
        if (terms.listPushed()) {
            ask(0);
        } else {
            remember();
        }
    }

    /**
     * Calls discovery if the module has not done so within the longest allowed time, since changes count as
     * told after that.
     */
    private void remember() {
        timers.at(now.getAsLong() + terms.askWithin(), () -> {
            if (!out && now.getAsLong() - calledAt >= terms.askWithin()) {
                ask(0);
            }
            remember();
        });
    }

    /**
     * Moves the watch to another address. The whole list is asked for at once: the versions of the two
     * addresses may be unrelated, and the last list from the old address may be outdated.
     */
    void move(String where) {
        if (where.equals(address)) {
            return;
        }
        address = where;
        versions.startWith(EndpointListVersions.NONE);
        failures = 0;
        silences = 0;
        hangUpAndAsk();
    }

    private void hangUpAndAsk() {
        if (out) {
            effects.accept(new Effect.HangUpList());
        }
        ask(0);
    }

    /**
     * Handles a pause of the process. An answer that arrived during the pause has been read by now, but
     * changes after it were not watched and may count as known before the next answer. After a long pause the
     * list is therefore asked for again.
     */
    void resumed(long stalled) {
        if (stalled >= longestPause()) {
            counters.add("list.resumed");
            catchesUp = true;
            hangUpAndAsk();
        }
    }

    /** Whether the call after a pause is still unanswered. */
    boolean catchesUp() {
        return catchesUp;
    }

    private long longestPause() {
        return terms.listPushed() ? part() : Math.min(COUNTS_AS_TOLD - TURN, terms.askWithin() / 2);
    }

    /** The next answer may come from another discovery process, whose versions are unrelated. */
    void lost() {
        versions.wantWhole();
    }

    /**
     * Another router has a newer list: the current call should have delivered it, so it is given up as
     * broken.
     */
    void askAnew() {
        counters.add("list.behind");
        hangUpAndAsk();
    }

    /** Whether an agent on this machine holds the list. */
    boolean pushed() {
        return terms.listPushed();
    }

    String address() {
        return address;
    }

    /** Returns the version of the held list, or -1. */
    long version() {
        return versions.newest();
    }

    /**
     * Whether an answer follows the held list; to be called once for each answer, before {@link #came}. From
     * an answer that doesn't follow, only changes that end the use of a server may be taken.
     */
    boolean follows(EndpointList list) {
        boolean follows = versions.follows(list, now.getAsLong());
        if (!follows) {
            counters.add("list.older");
        }
        return follows;
    }

    /** The module asks for the list and all its changes from now on. */
    void follow() {
        asked = true;
        if (!out) {
            ask(0);
        }
    }

    /**
     * Makes a call. Discovery keeps a watch only if the next call comes within 200 ms of the last answer.
     */
    private void ask(long wait) {
        ask(wait, patience(wait));
    }

    private void ask(long wait, long patience) {
        out = true;
        long mine = ++call;
        calledAt = now.getAsLong();
        counters.add("list.calls");
        effects.accept(new Effect.AskList(address, versions.since(), wait));
        timers.at(calledAt + wait + patience, () -> {
            if (out && call == mine) {
                silent(wait > 0);
            }
        });
    }

    /**
     * Handles a call that got no answer in time: its connection is broken or the service is late, and changes
     * it should have delivered count as known soon. Where discovery is polled, the call is repeated at once,
     * and only a service that stays silent is left to the module's backoff. A long poll stays open beside the
     * new call: a service with more callers than capacity may answer it late and refuse the new one.
     */
    private void silent(boolean watched) {
        boolean mayComeLate = watched && !terms.listPushed();
        effects.accept(mayComeLate ? new Effect.SetListCallAside() : new Effect.HangUpList());
        if (!terms.listPushed() && silences < SILENT_CALLS) {
            silences++;
            counters.add("list.silent");
            ask(0, watched ? tenths(ANEW_TENTHS) : patience(0));
        } else {
            whenLate.run();
        }
    }

    private void askLater(long delay, long wait) {
        long last = call;
        timers.at(now.getAsLong() + delay, () -> {
            if (!out && call == last) {
                ask(wait);
            }
        });
    }

    /**
     * Returns the length of a long poll at an agent: half of the grace is left for what follows the answer.
     */
    private long part() {
        return Math.min(WAIT, Math.max(LEAST_PART, terms.drainGrace() / GRACE_PARTS));
    }

    private long patience(long wait) {
        if (terms.listPushed()) {
            return part() * Math.min(MOST_PATIENCE, 1 + failures);
        }
        return wait > 0 ? tenths(WAITED_TENTHS) : TURN;
    }

    private long tenths(int parts) {
        return (COUNTS_AS_TOLD - WAIT + terms.drainGrace()) / TENTHS * parts;
    }

    /**
     * Handles an answer that doesn't follow the held list: the whole list is asked for until an answer is
     * believed.
     */
    void cameOlder(EndpointList list) {
        answered();
        if (list.full()) {
            askLater(terms.listPushed() ? part() : EndpointListVersions.LONGEST_LAG, 0);
        } else {
            ask(0);
        }
    }

    private void answered() {
        out = false;
        asked = false;
        failures = 0;
        silences = 0;
        catchesUp = false;
        counters.add("list.answers");
    }

    /**
     * Handles an answer and schedules the next call; returns whether the module should be told of the answer.
     */
    boolean came(EndpointList list) {
        boolean news = asked || list.full() || !list.boxes().isEmpty();
        answered();
        long wait = terms.listPushed() ? part() : list.boxes().isEmpty() ? WAIT
                : WAIT - (long) (Mixing.unit(now.getAsLong()) * APART);
        boolean series = !list.boxes().isEmpty() && now.getAsLong() - newsAt < SERIES;
        newsAt = list.boxes().isEmpty() ? newsAt : now.getAsLong();
        if (series && !terms.listPushed()) {
            askLater(Math.min(REST, terms.askWithin() / 2), wait);
        } else if (news || now.getAsLong() - calledAt >= PACE) {
            ask(wait);
        } else {
            askLater(PACE, wait);
        }
        return news;
    }

    /** Handles a failed call; returns whether the module should be told of it, which then calls again. */
    boolean failed() {
        boolean tell = asked || !terms.listPushed();
        out = false;
        asked = false;
        catchesUp = false;
        counters.add("list.failures");
        if (terms.listPushed()) {
            askLater(Math.min(part(), AGAIN << Math.min(failures, 8)), 0);
            failures++;
        }
        return tell;
    }
}
