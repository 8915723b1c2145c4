package yewdock.baseline;

import java.util.Set;
import umberspread.Routing;
import umberspread.Routing.Request;

/**
 * Policies without hashing: they choose at random, in turn, by requests in flight, by load reports, or by the
 * true state of the servers.
 */
final class LoadPolicy extends BaselinePolicy {
    private static final int MAX_RANDOM_DRAWS = 8;

    /** How a server is chosen. */
    enum Strategy { RANDOM, ROUND_ROBIN, LEAST_OPEN, TWO_CHOICES, REPORTED, SEES_ALL }

    private final Strategy strategy;
    private final TrueServerState trueState;
    private int nextIndex;

    LoadPolicy(Routing.Settings settings, long seed, Routing.Actions actions, Strategy way,
            TrueServerState trueState) {
        super(settings, seed, actions);
        this.strategy = way;
        this.trueState = trueState;
        this.nextIndex = random.nextInt(1 << 16);
    }

    @Override
    TrackedServer choose(Request request, Set<TrackedServer> triedServers, long now) {
        if (readyServers.isEmpty()) {
            return null;
        }
        return switch (strategy) {
            case RANDOM -> randomServer(triedServers, now);
            case ROUND_ROBIN -> nextServer(triedServers, now);
            case TWO_CHOICES -> lessLoaded(randomServer(triedServers, now), randomServer(triedServers, now));
            case LEAST_OPEN, REPORTED -> leastLoaded(triedServers, now);
            case SEES_ALL -> soonestFirstToken(request, triedServers, now);
        };
    }

    private TrackedServer randomServer(Set<TrackedServer> triedServers, long now) {
        for (int i = 0; i < MAX_RANDOM_DRAWS; i++) {
            TrackedServer server = readyServers.get(random.nextInt(readyServers.size()));
            if (!triedServers.contains(server) && isAdmittedInSlowStart(server, now)) {
                return server;
            }
        }
        return nextServer(triedServers, now);
    }

    private TrackedServer nextServer(Set<TrackedServer> triedServers, long now) {
        for (int i = 0; i < readyServers.size(); i++) {
            TrackedServer server = readyServers.get(Math.floorMod(nextIndex++, readyServers.size()));
            if (!triedServers.contains(server) && isAdmittedInSlowStart(server, now)) {
                return server;
            }
        }
        // a request is refused rather than sent to a cold server that it could overload
        return null;
    }

    private static TrackedServer lessLoaded(TrackedServer a, TrackedServer b) {
        return a == null || b != null && b.inFlight < a.inFlight ? b : a;
    }

    private TrackedServer leastLoaded(Set<TrackedServer> triedServers, long now) {
        TrackedServer best = null;
        double least = Double.POSITIVE_INFINITY;
        int start = random.nextInt(readyServers.size());
        for (int i = 0; i < readyServers.size(); i++) {
            TrackedServer server = readyServers.get((start + i) % readyServers.size());
            double load = strategy == Strategy.LEAST_OPEN ? server.inFlight : reportedLoad(server);
            if (load < least && !triedServers.contains(server) && isAdmittedInSlowStart(server, now)) {
                least = load;
                best = server;
            }
        }
        return best;
    }

    /** The last reported load plus the requests sent since; without a report, the requests in flight. */
    private static double reportedLoad(TrackedServer server) {
        if (server.lastReport == null || Double.isNaN(server.lastReport.inFlight())) {
            return server.inFlight;
        }
        double unreadKilotokens = Double.isNaN(server.lastReport.unreadKilotokens()) ? 0
                : server.lastReport.unreadKilotokens();
        return server.lastReport.inFlight() + unreadKilotokens + server.sentSinceReport;
    }

    /**
     * The server with the soonest first token. A server that misses the inter-token target ranks as if its
     * first token came later by the first-token target. Null if the request is best refused.
     */
    private TrackedServer soonestFirstToken(Request request, Set<TrackedServer> triedServers, long now) {
        TrackedServer best = null;
        double soonest = Double.POSITIVE_INFINITY;
        Routing.RequestClass requestClass = settings.classes().get(request.requestClass());
        for (TrackedServer server : readyServers) {
            if (!triedServers.contains(server) && isAdmittedInSlowStart(server, now)) {
                double microsToFirstToken = trueState.microsToFirstToken(server.state.id(), request);
                if (trueState.interTokenMicros(server.state.id()) > requestClass.interTokenTarget()) {
                    microsToFirstToken += requestClass.firstTokenTarget();
                }
                if (microsToFirstToken < soonest) {
                    soonest = microsToFirstToken;
                    best = server;
                }
            }
        }
        double targetMicros = requestClass.firstTokenTarget()
                + requestClass.targetPerKilotoken() * request.promptTokens() / 1000;
        // an answer that is worthless when late is refused: it would only delay other requests
        return soonest > targetMicros && triedServers.isEmpty() && requestClass.lateWorth() == 0 ? null
                : best;
    }
}
