package yewdock.desk;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Executes the operators' commands. Each is answered within the same event, so that a positive answer holds
 * from then on. Cordons are kept in {@link KnownServers}, the quiesced state is kept here.
 */
final class Calls {
    /**
     * Delay in microseconds from the quiesce command to closing idle client connections. New connections stop
     * arriving within 0.3 s after /ready has begun to fail.
     */
    static final long SEND_AWAY_AFTER = 500_000;
    /**
     * Interval in microseconds at which idle client connections are closed again; none may be left after 4 s.
     */
    static final long SEND_AWAY_EVERY = 300_000;

    private final Turn turn;
    private final Terms terms;
    private final Counters counters;
    private final KnownServers boxes;
    private final IntSupplier pending;
    /** Returns an empty text if a request that arrived now could be served here, else the reason. */
    private final Supplier<String> unready;
    private final Runnable changed;
    private boolean quiesced;
    private long sendAwayAt;

    Calls(Turn turn, Terms terms, Counters counters, KnownServers boxes, IntSupplier pending,
            Supplier<String> unready, Runnable changed) {
        this.turn = turn;
        this.terms = terms;
        this.counters = counters;
        this.boxes = boxes;
        this.pending = pending;
        this.unready = unready;
        this.changed = changed;
    }

    boolean quiesced() {
        return quiesced;
    }

    void called(Event.Called e, boolean leaving) {
        turn.count("calls." + e.call().name().toLowerCase(Locale.ROOT));
        switch (e.call()) {
            case HEALTH -> {
                String why = unready.get();
                answer(e, why.isEmpty(), why.isEmpty() ? "ready" : why);
            }
            case COUNTERS -> turn.tell(0, m -> turn.effect(new Effect.AnswerFigures(e.caller(),
                    figures(m.avoided(turn.now())))));
            case CORDON -> cordon(e);
            case UNCORDON -> uncordon(e);
            case QUIESCE -> quiesce(e);
            case RESUME -> {
                quiesced = false;
                answer(e, !leaving, leaving ? "leaving" : "takes clients");
            }
            default -> answer(e, false, "unknown call");
        }
    }

    private void cordon(Event.Called e) {
        String box = e.box();
        if (boxes.cordoned(box)) {
            answer(e, true, box + " was cordoned before");
        } else if (!boxes.named(box)) {
            answer(e, false, "no box of this id is known");
        } else {
            boxes.cordon(box);
            changed(box);
            turn.log("cordoned " + box);
            answer(e, true, box + " gets nothing new");
        }
    }

    private void uncordon(Event.Called e) {
        String box = e.box();
        if (boxes.cordoned(box)) {
            boxes.uncordon(box);
            changed(box);
            turn.log("uncordoned " + box);
            answer(e, true, box + " may serve again");
        } else if (boxes.named(box)) {
            answer(e, true, box + " was not cordoned");
        } else {
            answer(e, false, "no box of this id is known");
        }
    }

    private void changed(String box) {
        changed.run();
        turn.effect(new Effect.MarkChanged(box, boxes.marks().get(box)));
    }

    private void quiesce(Event.Called e) {
        if (!quiesced) {
            quiesced = true;
            turn.log("quiesced");
            sendAwayAt = turn.now() + SEND_AWAY_AFTER;
            sendAway(sendAwayAt);
        }
        answer(e, true, "sends clients away");
    }

    /** Closes idle client connections, and repeats until the router is resumed. */
    private void sendAway(long mine) {
        turn.at(mine, () -> {
            if (quiesced && sendAwayAt == mine) {
                turn.effect(new Effect.CloseIdleClients());
                sendAwayAt = turn.now() + SEND_AWAY_EVERY;
                sendAway(sendAwayAt);
            }
        });
    }

    private void answer(Event.Called e, boolean yes, String text) {
        turn.effect(new Effect.AnswerCall(e.caller(), yes, text));
    }

    private Figures figures(Set<Long> avoidedByChoice) {
        List<Figures.OfClass> classes = terms.classes().stream().map(name -> new Figures.OfClass(name,
                count(name, Ending.COMPLETED), count(name, Ending.REJECTED),
                count(name, Ending.FAILED))).toList();
        int avoided = 0;
        for (ModelServer box : boxes.told()) {
            ModelServer over = boxes.get(box.id());
            avoided += over == null || !over.takesWork() || avoidedByChoice.contains(box.id()) ? 1 : 0;
        }
        return new Figures(classes, counters.get("tries.written"), pending.getAsInt(), boxes.told().size(),
                avoided);
    }

    private long count(String name, Ending ending) {
        return counters.get(ending.counter(name));
    }
}
