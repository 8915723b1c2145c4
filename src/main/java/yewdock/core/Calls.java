package yewdock.core;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Operators' calls, as a part of the reducer: each is answered in the turn in which it came, so that a yes is
 * true from then on. Boxes are put out of use through {@link KnownServers}, the rest is answered or kept
 * here.
 */
final class Calls {
    /** After a no at /ready new connections stop within 0.3 s: idle ones are closed from here on, */
    static final long SEND_AWAY_AFTER = 500_000;
    /** and looked for so often, since at 4 s none may be there. */
    static final long SEND_AWAY_EVERY = 300_000;

    private final Turn turn;
    private final CoreSettings terms;
    private final Counters counters;
    private final KnownServers boxes;
    private final IntSupplier pending;
    /** Empty when a request that came now could be served here, else why not. */
    private final Supplier<String> unready;
    private final Runnable changed;
    private boolean quiesced;
    private long sendAwayAt;

    Calls(Turn turn, CoreSettings terms, Counters counters, KnownServers boxes, IntSupplier pending,
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

    void called(Event.OperatorCommandReceived e, boolean leaving) {
        turn.count("calls." + e.command().name().toLowerCase(Locale.ROOT));
        switch (e.command()) {
            case HEALTH -> {
                String why = unready.get();
                answer(e, why.isEmpty(), why.isEmpty() ? "ready" : why);
            }
            case COUNTERS -> turn.tell(0, m -> turn.effect(new Effect.AnswerStatistics(e.caller(),
                    figures(m.unavailableServers(turn.now())))));
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

    private void cordon(Event.OperatorCommandReceived e) {
        String box = e.server();
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

    private void uncordon(Event.OperatorCommandReceived e) {
        String box = e.server();
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
        turn.effect(new Effect.PublishOverride(box, boxes.marks().get(box)));
    }

    private void quiesce(Event.OperatorCommandReceived e) {
        if (!quiesced) {
            quiesced = true;
            turn.log("quiesced");
            sendAwayAt = turn.now() + SEND_AWAY_AFTER;
            sendAway(sendAwayAt);
        }
        answer(e, true, "sends clients away");
    }

    /** Clients that are idle are led away again and again, until a call to take them comes. */
    private void sendAway(long mine) {
        turn.at(mine, () -> {
            if (quiesced && sendAwayAt == mine) {
                turn.effect(new Effect.CloseIdleClients());
                sendAwayAt = turn.now() + SEND_AWAY_EVERY;
                sendAway(sendAwayAt);
            }
        });
    }

    private void answer(Event.OperatorCommandReceived e, boolean yes, String text) {
        turn.effect(new Effect.AnswerCommand(e.caller(), yes, text));
    }

    private RouterStatistics figures(Set<Long> avoidedByChoice) {
        List<RouterStatistics.ClassStatistics> classes = terms.classNames().stream().map(name ->
                new RouterStatistics.ClassStatistics(name,
                count(name, Ending.COMPLETED), count(name, Ending.REJECTED),
                count(name, Ending.FAILED))).toList();
        int avoided = 0;
        for (ModelServer box : boxes.told()) {
            ModelServer over = boxes.get(box.id());
            avoided += over == null || !over.takesWork() || avoidedByChoice.contains(box.id()) ? 1 : 0;
        }
        return new RouterStatistics(classes, counters.get("tries.written"), pending.getAsInt(),
                boxes.told().size(),
                avoided);
    }

    private long count(String name, Ending ending) {
        return counters.get(ending.counter(name));
    }
}
