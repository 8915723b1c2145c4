package yewdock.core;

import java.util.List;
import umberspread.Routing;

/**
 * The deployment's settings for sending requests to servers. Times are in microseconds.
 *
 * @param connectTimeoutMicros time in which a connection to a server must be established
 * @param keepaliveMicros idle time after which a server closes a connection
 * @param discoveryByAgent whether an agent on this machine holds the endpoint list and answers at no cost;
 *     otherwise discovery is one service for all routers, and the module decides when to call it
 * @param drainGraceMicros time after a drain was told in which attempts may still be sent to its server
 * @param maxPollIntervalMicros longest time between discovery calls where discovery is polled
 * @param hedging whether two attempts of one request may be in flight together at all
 * @param maxAttempts limit on the attempts of a request
 * @param idempotentByClass by request class: whether running a request twice is harmless
 * @param classNames names of the request classes
 * @param maxColdMicros longest time for which a server is cold after its start
 */
public record CoreSettings(long connectTimeoutMicros, long keepaliveMicros, boolean discoveryByAgent,
        long drainGraceMicros, long maxPollIntervalMicros, boolean hedging, int maxAttempts,
        List<Boolean> idempotentByClass, List<String> classNames, long maxColdMicros) {
    public CoreSettings {
        idempotentByClass = List.copyOf(idempotentByClass);
        classNames = List.copyOf(classNames);
    }

    /** Derives these settings from the module's; the keepalive is not part of the module's settings. */
    public static CoreSettings of(Routing.Settings moduleSettings, long keepaliveMicros) {
        Routing.Contract contract = moduleSettings.contract();
        return new CoreSettings(moduleSettings.limits().connectTimeout(), keepaliveMicros,
                !moduleSettings.pullsEndpointList(), contract.drainGrace(), contract.maxDiscoveryInterval(),
                moduleSettings.limits().allowsHedging(), moduleSettings.limits().maxAttempts(),
                moduleSettings.classes().stream()
                        .map(c -> c.retrySafety() != Routing.RetrySafety.FRAGILE).toList(),
                moduleSettings.classes().stream().map(Routing.RequestClass::name).toList(),
                contract.warmUpTime());
    }

    /** Whether two attempts of a request of this class may be in flight together. */
    boolean mayHedge(int requestClass) {
        return hedging && requestClass < idempotentByClass.size() && idempotentByClass.get(requestClass);
    }
}
