package yewdock.core;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import umberspread.Mixing;

/**
 * The watch on the box list, as a part of the reducer: one call at a time, at one address.
 *
 * <p>A list that is asked is one service for all routers, so the module says when a call is made anew after
 * a failure; the watch only sees that a call is never forgotten. A list that is pushed lies with an agent on
 * this machine, and what the agent has counts as told: there the watch goes on by itself from the first
 * moment, and a call that brings nothing is made anew well within the time in which a drain must be kept.
 */
final class DiscoveryWatch {
    /** How long a call for the list may wait for news. */
    static final long WAIT = 5_000_000;
    /**
     * A change is told to all at once, and their next calls go out together: were they to end together, or
     * to be given up together where they fall silent, those that follow would wait for each other. Each
     * waits for less by a part of this that is drawn.
     */
    private static final long APART = 1_300_000;
    /** What the service has counts as told so long after, whatever call has failed or said nothing. */
    private static final long COUNTS_AS_TOLD = 6_000_000;
    /**
     * Of what is left of that time and the drain's grace after the wait, the answer to a call that waited
     * may take three tenths, and that of the call made anew after it, which may have to wait its turn,
     * six: of two silent calls in a row the second is given up with a tenth left in which the third brings
     * the news.
     */
    private static final int WAITED_TENTHS = 3;
    private static final int ANEW_TENTHS = 6;
    /**
     * Any other call keeps its turn: a busy service answers a call, or fails it, once it has waited for 2 s.
     * Given up before that, its turn is spent on nobody, and the next call waits behind it: many routers that
     * do so keep a service busy for ever, and none of them hears of anything.
     */
    private static final long TURN = 2_100_000;
    private static final int TENTHS = 10;
    /** So many silent calls in a row are followed by the next at once; after that the module says when. */
    private static final int SILENT_CALLS = 2;
    /** Of the drain's grace, a call at an agent may wait for this part, and its answer take another. */
    private static final int GRACE_PARTS = 4;
    private static final long LEAST_PART = 50_000;
    /**
     * An agent's answers may take so many times longer once calls have failed: it may be slow. No longer, or
     * an agent that has the list again the moment after such a call went out is heard past the grace.
     */
    private static final int MOST_PATIENCE = 2;
    /** The first call after a failure at an agent waits so long, each further one twice as long. */
    private static final long AGAIN = 20_000;
    /** An answer with no news that did not wait is followed by a call so much later: 200 ms end a watch. */
    private static final long PACE = 50_000;

    /**
     * News so soon after the last is one of a series, as a release brings: there the next call waits a
     * little, and brings what has changed by then. Calls that follow each change at once would be more
     * than a service of many routers has turns for, and those who hear of everything would leave none to
     * the others.
     */
    private static final long SERIES = 2_000_000;
    private static final long REST = 1_000_000;

    private final CoreSettings terms;
    private final LongSupplier now;
    private final Timers timers;
    private final Counters counters;
    private final Consumer<Effect> effects;
    private final Runnable whenLate;
    private final EndpointListVersions versions = new EndpointListVersions();
    private String address;
    private long call;
    private long calledAt;
    private boolean out;
    private boolean asked;
    private int failures;
    private int silences;
    private boolean catchesUp;
    private long newsAt = -SERIES;

    DiscoveryWatch(CoreSettings terms, LongSupplier now, Timers timers, Counters counters,
            Consumer<Effect> effects,
            Runnable whenLate) {
        this.terms = terms;
        this.now = now;
        this.timers = timers;
        this.counters = counters;
        this.effects = effects;
        this.whenLate = whenLate;
    }

    /** Where the list is to be had, and which version of it is known. */
    void begin(String where, long known) {
        address = where;
        versions.startWith(known);
        calledAt = now.getAsLong();
        if (terms.discoveryByAgent()) {
            ask(0);
        } else {
            remember();
        }
    }

    /** Against a module that forgets to call: nothing told for so long counts as told all the same. */
    private void remember() {
        timers.at(now.getAsLong() + terms.maxPollIntervalMicros(), () -> {
            if (!out && now.getAsLong() - calledAt >= terms.maxPollIntervalMicros()) {
                ask(0);
            }
            remember();
        });
    }

    /**
     * The list is to be had elsewhere from now on. Asked at once, and for the whole list: the versions of the
     * one may mean nothing to the other, and what the old one knew last may be long past.
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
            effects.accept(new Effect.CancelDiscoveryCall());
        }
        ask(0);
    }

    /**
     * The process stood still. An answer that waited was read by now, but changes after it were not watched,
     * and may count as told by now or before the next answer: after a long pause the list is asked for anew.
     */
    void resumed(long stalled) {
        if (stalled >= longestPause()) {
            counters.add("list.resumed");
            catchesUp = true;
            hangUpAndAsk();
        }
    }

    /** Whether the call after a pause is still to be answered. */
    boolean catchesUp() {
        return catchesUp;
    }

    private long longestPause() {
        return terms.discoveryByAgent() ? part() : Math.min(COUNTS_AS_TOLD - TURN,
                terms.maxPollIntervalMicros() / 2);
    }

    /** Discovery may be another process from now on, whose versions mean something else. */
    void lost() {
        versions.wantWhole();
    }

    /** Another router has a newer list: the call that is out should have brought it, so it is broken. */
    void askAnew() {
        counters.add("list.behind");
        hangUpAndAsk();
    }

    boolean pushed() {
        return terms.discoveryByAgent();
    }

    String address() {
        return address;
    }

    /** The version of the list that is held, or -1. */
    long version() {
        return versions.newest();
    }

    /**
     * Whether an answer follows the list that is held; called once for each, before {@link #came}. Of one
     * that does not, only what ends a server's use may be taken over.
     */
    boolean follows(EndpointList list) {
        boolean follows = versions.follows(list, now.getAsLong());
        if (!follows) {
            counters.add("list.older");
        }
        return follows;
    }

    /** The module wants the list, and all changes from now on. */
    void follow() {
        asked = true;
        if (!out) {
            ask(0);
        }
    }

    /** A watch goes on only if its next call comes within 200 ms of the last answer: it is made at once. */
    private void ask(long wait) {
        ask(wait, patience(wait));
    }

    private void ask(long wait, long patience) {
        out = true;
        long mine = ++call;
        calledAt = now.getAsLong();
        counters.add("list.calls");
        effects.accept(new Effect.CallDiscovery(address, versions.since(), wait));
        timers.at(calledAt + wait + patience, () -> {
            if (out && call == mine) {
                silent(wait > 0);
            }
        });
    }

    /**
     * A list that is asked has said nothing for too long: that call is broken, or the service is late, and
     * what was missed counts as told soon. Asked anew at once; a service that stays silent is the module's to
     * spare. A watch stays open meanwhile: a service with more callers than turns may answer it late and
     * refuse the new call.
     */
    private void silent(boolean watched) {
        boolean mayComeLate = watched && !terms.discoveryByAgent();
        effects.accept(mayComeLate ? new Effect.SetDiscoveryCallAside() : new Effect.CancelDiscoveryCall());
        if (!terms.discoveryByAgent() && silences < SILENT_CALLS) {
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

    /** Half of the grace is left for what comes after the answer. */
    private long part() {
        return Math.min(WAIT, Math.max(LEAST_PART, terms.drainGraceMicros() / GRACE_PARTS));
    }

    private long patience(long wait) {
        if (terms.discoveryByAgent()) {
            return part() * Math.min(MOST_PATIENCE, 1 + failures);
        }
        return wait > 0 ? tenths(WAITED_TENTHS) : TURN;
    }

    private long tenths(int parts) {
        return (COUNTS_AS_TOLD - WAIT + terms.drainGraceMicros()) / TENTHS * parts;
    }

    /** An answer that does not follow the held list: the whole list is asked for until one is believed. */
    void cameOlder(EndpointList list) {
        answered();
        if (list.full()) {
            askLater(terms.discoveryByAgent() ? part() : EndpointListVersions.LONGEST_LAG, 0);
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

    /** An answer has come and the next call goes out; tells whether the module should hear of the answer. */
    boolean came(EndpointList list) {
        boolean news = asked || list.full() || !list.servers().isEmpty();
        answered();
        long wait = terms.discoveryByAgent() ? part() : list.servers().isEmpty() ? WAIT
                : WAIT - (long) (Mixing.uniform(now.getAsLong()) * APART);
        boolean series = !list.servers().isEmpty() && now.getAsLong() - newsAt < SERIES;
        newsAt = list.servers().isEmpty() ? newsAt : now.getAsLong();
        if (series && !terms.discoveryByAgent()) {
            askLater(Math.min(REST, terms.maxPollIntervalMicros() / 2), wait);
        } else if (news || now.getAsLong() - calledAt >= PACE) {
            ask(wait);
        } else {
            askLater(PACE, wait);
        }
        return news;
    }

    /** A call has failed; tells whether the module should hear of it, which then calls again. */
    boolean failed() {
        boolean tell = asked || !terms.discoveryByAgent();
        out = false;
        asked = false;
        catchesUp = false;
        counters.add("list.failures");
        if (terms.discoveryByAgent()) {
            askLater(Math.min(part(), AGAIN << Math.min(failures, 8)), 0);
            failures++;
        }
        return tell;
    }
}
