package yewdock.core;

import java.util.List;
import umberspread.Routing;

/**
 * What the deployment's settings say of carrying requests out. Times are microseconds.
 *
 * @param connectTimeoutMicros a connection to a box not made by then has failed
 * @param keepaliveMicros a box closes a connection that has rested so long
 * @param discoveryByAgent whether an agent on this machine has the box list, which answers at no cost; else
 *     the list is one service for all routers, and the module says when to call it
 * @param drainGraceMicros so long after a drain was told, nothing new may go to its box
 * @param maxPollIntervalMicros a list that is asked must be asked at least so often
 * @param hedging whether two tries of one request may be out together at all
 * @param maxAttempts how many tries a request may have
 * @param idempotentByClass by class: whether running a request twice does no harm
 * @param classNames the classes' names
 * @param maxColdMicros the longest time in which a box that has started is cold
 */
public record CoreSettings(long connectTimeoutMicros, long keepaliveMicros, boolean discoveryByAgent,
        long drainGraceMicros,
        long maxPollIntervalMicros,
        boolean hedging, int maxAttempts, List<Boolean> idempotentByClass, List<String> classNames,
                long maxColdMicros) {
    public CoreSettings {
        idempotentByClass = List.copyOf(idempotentByClass);
        classNames = List.copyOf(classNames);
    }

    /** The terms that a deployment's settings make; keepalive is not the module's business. */
    public static CoreSettings of(Routing.Settings settings, long keepalive) {
        Routing.Contract contract = settings.contract();
        return new CoreSettings(settings.limits().connectTimeout(), keepalive, !settings.pullsEndpointList(),
                contract.drainGrace(), contract.maxDiscoveryInterval(), settings.limits().allowsHedging(),
                settings.limits().maxAttempts(),
                settings.classes().stream().map(c -> c.retrySafety() != Routing.RetrySafety.FRAGILE).toList(),
                settings.classes().stream().map(Routing.RequestClass::name).toList(), contract.warmUpTime());
    }

    /** Whether two tries of a request of this class may be out together. */
    boolean mayCopy(int requestClass) {
        return hedging && requestClass < idempotentByClass.size() && idempotentByClass.get(requestClass);
    }
}
