package yewdock.baseline;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import umberspread.Mixing;
import umberspread.Routing;
import umberspread.Routing.Request;

/**
 * Consistent hashing, plain or with bounded loads as the paper tells it: the first box from the key's
 * place on
 * that one request more would not lift over the bound, which is the factor times the average, rounded up.
 */
final class Ring extends Textbook {
    private final Options options;
    private final boolean bounded;
    private final LongUnaryOperator hash;
    private long[] places = new long[0];
    private Box[] owners = new Box[0];

    Ring(Routing.Settings settings, long seed, Routing.Actions actions, Options options, boolean bounded) {
        super(settings, seed, actions);
        this.options = options;
        this.bounded = bounded;
        this.hash = Hashes.of(options.hash());
    }

    @Override
    void changed() {
        Map<Long, Box> byPlace = new HashMap<>();
        for (Box box : ready) {
            for (int i = 0; i < options.points(); i++) {
                byPlace.putIfAbsent(hash.applyAsLong(hash.applyAsLong(box.replica.id()) + i), box);
            }
        }
        places = byPlace.keySet().stream().mapToLong(p -> p).sorted().toArray();
        owners = new Box[places.length];
        for (int i = 0; i < places.length; i++) {
            owners[i] = byPlace.get(places[i]);
        }
    }

    @Override
    Box choose(Request request, Set<Box> tried, long now) {
        if (places.length == 0) {
            return null;
        }
        long key = request.sharedPrefix() != 0 ? request.sharedPrefix()
                : request.session() != 0 ? request.session() : request.id();
        int found = Arrays.binarySearch(places, hash.applyAsLong(key));
        int at = found >= 0 ? found : -found - 1;
        Set<Box> seen = new HashSet<>();
        Box over = null;
        for (int i = 0; i < places.length && seen.size() < ready.size(); i++) {
            Box box = owners[(at + i) % places.length];
            if (!seen.add(box) || tried.contains(box) || !warmEnough(box, now)) {
                continue;
            }
            if (!bounded || fits(box, request)) {
                return box;
            }
            over = over == null ? box : over;
        }
        return over;
    }

    private boolean fits(Box box, Request request) {
        double factor = options.factor() / 100.0;
        if (options.rounding().equals("ceil") && options.measure().equals("requests")) {
            // in whole numbers: a sum of fractions may come out just over one
            long parts = 100L * ready.size();
            return box.open + 1 <= ((openInAll + 1L) * options.factor() + parts - 1) / parts;
        }
        if (options.measure().equals("tokens")) {
            double own = tokens(request);
            double fair = (tokensInAll + own) / ready.size() * factor;
            // an empty box always takes one: no request is so large that nobody may have it
            return box.open == 0 || box.tokens + own <= fair;
        }
        double fair = (openInAll + 1.0) / ready.size() * factor;
        double most = options.rounding().equals("chance")
                ? Math.floor(fair + Mixing.uniform(request.id() ^ box.replica.id()))
                : Math.max(1, Math.floor(fair));
        return box.open + 1 <= most;
    }
}
