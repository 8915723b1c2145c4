package yewdock.desk;

import java.util.List;
import umberspread.Routing;

/**
 * The deployment's settings for sending requests to servers. Times are in microseconds.
 *
 * @param connectTimeout time in which a connection to a server must be established
 * @param keepalive idle time after which a server closes a connection
 * @param listPushed whether an agent on this machine holds the endpoint list and answers at no cost;
 *     otherwise discovery is one service for all routers, and the module decides when to call it
 * @param drainGrace time after a drain was told in which attempts may still be sent to its server
 * @param askWithin longest time between discovery calls where discovery is polled
 * @param copies whether two attempts of one request may be in flight together at all
 * @param mostTries limit on the attempts of a request
 * @param repeatable by request class: whether running a request twice is harmless
 * @param classes names of the request classes
 * @param coldFor longest time for which a server is cold after its start
 */
public record Terms(long connectTimeout, long keepalive, boolean listPushed, long drainGrace, long askWithin,
        boolean copies, int mostTries, List<Boolean> repeatable, List<String> classes, long coldFor) {
    public Terms {
        repeatable = List.copyOf(repeatable);
        classes = List.copyOf(classes);
    }

    /** Derives these settings from the module's; the keepalive is not part of the module's settings. */
    public static Terms of(Routing.Settings moduleSettings, long keepaliveMicros) {
        Routing.Contract contract = moduleSettings.contract();
        return new Terms(moduleSettings.limits().connectTimeout(), keepaliveMicros,
                !moduleSettings.askForList(),
                contract.drainGrace(), contract.askWithin(), moduleSettings.limits().mayDuplicate(),
                moduleSettings.limits().maxAttempts(),
                moduleSettings.classes().stream().map(c -> c.effect() != Routing.Effect.FRAGILE).toList(),
                moduleSettings.classes().stream().map(Routing.RequestClass::name).toList(),
                        contract.coldFor());
    }

    /** Whether two attempts of a request of this class may be in flight together. */
    boolean mayHedge(int requestClass) {
        return copies && requestClass < repeatable.size() && repeatable.get(requestClass);
    }
}
