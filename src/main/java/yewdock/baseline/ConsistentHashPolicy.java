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
 * Consistent hashing, plain or with bounded loads as published: the request goes to the first server,
 * clockwise from the key's position, that one more request would not lift over the bound. The bound is the
 * factor times the average load, rounded up.
 */
final class ConsistentHashPolicy extends BaselinePolicy {
    private final PolicyOptions options;
    private final boolean bounded;
    private final LongUnaryOperator hash;
    private long[] positions = new long[0];
    private TrackedServer[] owners = new TrackedServer[0];

    ConsistentHashPolicy(Routing.Settings settings, long seed, Routing.Actions actions, PolicyOptions options,
            boolean bounded) {
        super(settings, seed, actions);
        this.options = options;
        this.bounded = bounded;
        this.hash = HashFunctions.byName(options.hash());
    }

    @Override
    void readyServersChanged() {
        Map<Long, TrackedServer> byPosition = new HashMap<>();
        for (TrackedServer server : readyServers) {
            for (int i = 0; i < options.virtualNodes(); i++) {
                byPosition.putIfAbsent(hash.applyAsLong(hash.applyAsLong(server.state.id()) + i), server);
            }
        }
        positions = byPosition.keySet().stream().mapToLong(p -> p).sorted().toArray();
        owners = new TrackedServer[positions.length];
        for (int i = 0; i < positions.length; i++) {
            owners[i] = byPosition.get(positions[i]);
        }
    }

    @Override
    TrackedServer choose(Request request, Set<TrackedServer> triedServers, long now) {
        if (positions.length == 0) {
            return null;
        }
        long key = request.sharedPrefix() != 0 ? request.sharedPrefix()
                : request.session() != 0 ? request.session() : request.id();
        int index = Arrays.binarySearch(positions, hash.applyAsLong(key));
        int start = index >= 0 ? index : -index - 1;
        Set<TrackedServer> seen = new HashSet<>();
        TrackedServer firstOverBound = null;
        for (int i = 0; i < positions.length && seen.size() < readyServers.size(); i++) {
            TrackedServer server = owners[(start + i) % positions.length];
            if (!seen.add(server) || triedServers.contains(server) || !isAdmittedInSlowStart(server, now)) {
                continue;
            }
            if (!bounded || isWithinBound(server, request)) {
                return server;
            }
            firstOverBound = firstOverBound == null ? server : firstOverBound;
        }
        return firstOverBound;
    }

    private boolean isWithinBound(TrackedServer server, Request request) {
        double factor = options.loadFactorPercent() / 100.0;
        if (options.rounding().equals("ceil") && options.measure().equals("requests")) {
            // integer arithmetic: with doubles the product may come out just above a whole number
            long parts = 100L * readyServers.size();
            return server.inFlight + 1 <= ((totalInFlight + 1L) * options.loadFactorPercent()
                    + parts - 1) / parts;
        }
        if (options.measure().equals("tokens")) {
            double requestTokens = tokenCost(request);
            double bound = (totalInFlightTokens + requestTokens) / readyServers.size() * factor;
            // an idle server always takes one: otherwise a very large request would fit no server
            return server.inFlight == 0 || server.inFlightTokens + requestTokens <= bound;
        }
        double bound = (totalInFlight + 1.0) / readyServers.size() * factor;
        double maxInFlight = options.rounding().equals("chance")
                ? Math.floor(bound + Mixing.uniform(request.id() ^ server.state.id()))
                : Math.max(1, Math.floor(bound));
        return server.inFlight + 1 <= maxInFlight;
    }
}
