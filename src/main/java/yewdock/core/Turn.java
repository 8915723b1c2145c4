package yewdock.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import umberspread.Routing;

/**
 * One turn of the reducer, which its parts share: the time, what is asked of the transport, the times to
 * come, and what the module is to be told and has asked for. Neither of the latter happens inside the other.
 */
final class Turn {
    /** Something to do for a request (0: none), so that a fault in it is known to be that request's. */
    record Step(long request, Runnable task) {
    }

    private final Counters counters;
    private final Timers timers = new Timers();
    private final Deque<Step> tellings = new ArrayDeque<>();
    private final Deque<Step> askings = new ArrayDeque<>();
    private List<Effect> effects = new ArrayList<>();
    private Routing.Events module;
    private long now;
    /** Where nothing is agreed, nothing is in doubt. */
    private long leasedUntil = Long.MAX_VALUE;
    private long comeBack;

    Turn(Counters counters) {
        this.counters = counters;
    }

    /** Who is told; the module needs the desk's actions before it is there. */
    void module(Routing.Events made) {
        module = made;
    }

    /** What is agreed may be acted by until then. */
    void leased(long until, long next) {
        leasedUntil = until;
        comeBack = next;
    }

    /**
     * Whether the agreed rules may have changed unheard: compared at each decision, for a timer may come
     * late.
     */
    boolean inDoubt() {
        return now >= leasedUntil;
    }

    /** When a client that is refused in doubt should come back. */
    long comeBack() {
        return comeBack;
    }

    /** The next event's turn begins; time never goes back. */
    void begin(long time) {
        now = Math.max(now, time);
        effects = new ArrayList<>();
    }

    long now() {
        return now;
    }

    List<Effect> effects() {
        return effects;
    }

    void effect(Effect effect) {
        effects.add(effect);
    }

    void log(String line) {
        effects.add(new Effect.Log(line));
    }

    void count(String name) {
        counters.add(name);
    }

    Timers timers() {
        return timers;
    }

    void at(long time, Runnable task) {
        timers.at(time, task);
    }

    void tell(long request, Consumer<Routing.Events> what) {
        tellings.add(new Step(request, () -> what.accept(module)));
    }

    void ask(long request, Runnable what) {
        askings.add(new Step(request, what));
    }

    /** What is to be done next: what the module has asked for goes before what it is told next. */
    Step next() {
        return askings.isEmpty() ? tellings.poll() : askings.poll();
    }

    int kept() {
        return timers.size() + tellings.size() + askings.size();
    }
}
