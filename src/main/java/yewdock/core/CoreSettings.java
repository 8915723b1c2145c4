package yewdock.core;

import java.util.List;
import umberspread.Routing;

/**
 * What the deployment's settings say of carrying requests out. Times are microseconds.
 *
 * @param connectTimeout a connection to a box not made by then has failed
 * @param keepalive a box closes a connection that has rested so long
 * @param listPushed whether an agent on this machine has the box list, which answers at no cost; else the
 *     list is one service for all routers, and the module says when to call it
 * @param drainGrace so long after a drain was told, nothing new may go to its box
 * @param askWithin a list that is asked must be asked at least so often
 * @param copies whether two tries of one request may be out together at all
 * @param mostTries how many tries a request may have
 * @param repeatable by class: whether running a request twice does no harm
 * @param classes the classes' names
 * @param coldFor the longest time in which a box that has started is cold
 */
public record CoreSettings(long connectTimeout, long keepalive, boolean listPushed, long drainGrace,
        long askWithin,
        boolean copies, int mostTries, List<Boolean> repeatable, List<String> classes, long coldFor) {
    public CoreSettings {
        repeatable = List.copyOf(repeatable);
        classes = List.copyOf(classes);
    }

    /** The terms that a deployment's settings make; keepalive is not the module's business. */
    public static CoreSettings of(Routing.Settings settings, long keepalive) {
        Routing.Contract contract = settings.contract();
        return new CoreSettings(settings.limits().connectTimeout(), keepalive, !settings.askForList(),
                contract.drainGrace(), contract.askWithin(), settings.limits().mayDuplicate(),
                settings.limits().maxAttempts(),
                settings.classes().stream().map(c -> c.effect() != Routing.RetrySafety.FRAGILE).toList(),
                settings.classes().stream().map(Routing.RequestClass::name).toList(), contract.coldFor());
    }

    /** Whether two tries of a request of this class may be out together. */
    boolean mayCopy(int requestClass) {
        return copies && requestClass < repeatable.size() && repeatable.get(requestClass);
    }
}
