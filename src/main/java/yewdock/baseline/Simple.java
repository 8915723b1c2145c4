package yewdock.baseline;

import java.util.Set;
import umberspread.Routing;
import umberspread.Routing.Request;

/** Policies that look at boxes, not at what is asked: chance, turns, counts, reports, and the true state. */
final class Simple extends Textbook {
    private static final int DRAWS = 8;

    /** How a box is chosen. */
    enum Way { RANDOM, ROUND_ROBIN, LEAST_OPEN, TWO_CHOICES, REPORTED, SEES_ALL }

    private final Way way;
    private final Sight sight;
    private int turn;

    Simple(Routing.Settings settings, long seed, Routing.Actions actions, Way way, Sight sight) {
        super(settings, seed, actions);
        this.way = way;
        this.sight = sight;
        this.turn = random.nextInt(1 << 16);
    }

    @Override
    Box choose(Request request, Set<Box> tried, long now) {
        if (ready.isEmpty()) {
            return null;
        }
        return switch (way) {
            case RANDOM -> drawn(tried, now);
            case ROUND_ROBIN -> next(tried, now);
            case TWO_CHOICES -> lesser(drawn(tried, now), drawn(tried, now));
            case LEAST_OPEN, REPORTED -> least(tried, now);
            case SEES_ALL -> best(request, tried, now);
        };
    }

    private Box drawn(Set<Box> tried, long now) {
        for (int i = 0; i < DRAWS; i++) {
            Box box = ready.get(random.nextInt(ready.size()));
            if (!tried.contains(box) && warmEnough(box, now)) {
                return box;
            }
        }
        return next(tried, now);
    }

    private Box next(Set<Box> tried, long now) {
        for (int i = 0; i < ready.size(); i++) {
            Box box = ready.get(Math.floorMod(turn++, ready.size()));
            if (!tried.contains(box) && warmEnough(box, now)) {
                return box;
            }
        }
        // a request is turned away sooner than a cold box is pushed over
        return null;
    }

    private static Box lesser(Box a, Box b) {
        return a == null || b != null && b.open < a.open ? b : a;
    }

    private Box least(Set<Box> tried, long now) {
        Box best = null;
        double least = Double.POSITIVE_INFINITY;
        int at = random.nextInt(ready.size());
        for (int i = 0; i < ready.size(); i++) {
            Box box = ready.get((at + i) % ready.size());
            double load = way == Way.LEAST_OPEN ? box.open : reported(box);
            if (load < least && !tried.contains(box) && warmEnough(box, now)) {
                least = load;
                best = box;
            }
        }
        return best;
    }

    /** What the box last said, and what was sent since: with nothing said, the own count. */
    private static double reported(Box box) {
        if (box.report == null || Double.isNaN(box.report.inFlight())) {
            return box.open;
        }
        double unread = Double.isNaN(box.report.unreadKilotokens()) ? 0 : box.report.unreadKilotokens();
        return box.report.inFlight() + unread + box.sinceReport;
    }

    /** The soonest first token, among boxes that keep the pace where there are any. */
    private Box best(Request request, Set<Box> tried, long now) {
        Box best = null;
        double soonest = Double.POSITIVE_INFINITY;
        Routing.RequestClass type = settings.classes().get(request.requestClass());
        for (Box box : ready) {
            if (!tried.contains(box) && warmEnough(box, now)) {
                double in = sight.firstTokenIn(box.replica.id(), request);
                if (sight.paceIn(box.replica.id()) > type.interTokenTarget()) {
                    in += type.firstTokenTarget();
                }
                if (in < soonest) {
                    soonest = in;
                    best = box;
                }
            }
        }
        double aim = type.firstTokenTarget() + type.targetPerKilotoken() * request.promptTokens() / 1000;
        // an answer that comes too late is worth nothing, and makes others late
        return soonest > aim && tried.isEmpty() && type.lateWorth() == 0 ? null : best;
    }
}
