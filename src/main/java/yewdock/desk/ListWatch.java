package yewdock.desk;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** The watch on the box list, as a part of the reducer: one call at a time, at one address. */
final class ListWatch {
    /** How long a call for the list may wait for news, and how much longer the answer may take. */
    static final long WAIT = 4_000_000;
    static final long PATIENCE = 2_500_000;

    private final LongSupplier now;
    private final Timers timers;
    private final Counters counters;
    private final Consumer<Effect> effects;
    private final Runnable whenLate;
    private String address;
    private long version = -1;
    private long call;
    private boolean out;
    private boolean asked;

    ListWatch(LongSupplier now, Timers timers, Counters counters, Consumer<Effect> effects,
            Runnable whenLate) {
        this.now = now;
        this.timers = timers;
        this.counters = counters;
        this.effects = effects;
        this.whenLate = whenLate;
    }

    /** Where the list is to be had, and which version of it is known. */
    void begin(String where, long known) {
        address = where;
        version = known;
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
        version = -1;
        if (out) {
            effects.accept(new Effect.HangUpList());
        }
        ask(0);
    }

    String address() {
        return address;
    }

    long version() {
        return version;
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
        out = true;
        long mine = ++call;
        counters.add("list.calls");
        effects.accept(new Effect.AskList(address, version, wait));
        timers.at(now.getAsLong() + wait + PATIENCE, () -> {
            if (out && call == mine) {
                effects.accept(new Effect.HangUpList());
                whenLate.run();
            }
        });
    }

    /** An answer has come and the next call goes out; tells whether the module should hear of the answer. */
    boolean came(BoxList list) {
        boolean news = asked || list.full() || !list.boxes().isEmpty();
        asked = false;
        version = list.version();
        counters.add("list.answers");
        ask(WAIT);
        return news;
    }

    void failed() {
        out = false;
        asked = false;
        counters.add("list.failures");
    }
}
