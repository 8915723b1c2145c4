package yewdock.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Checks the protocol's drain rule independently of the router's code: after a router counts as notified that
 * a server drains or is removed, it may start attempts at that server only within the drain grace, plus the
 * 50 ms that every limit is allowed where real sockets are used.
 *
 * <p>A router counts as notified once discovery has written the change to it, and at the latest 6 s after
 * discovery had the change and was reachable. With discovery by an agent on the router's machine, it counts
 * as notified as soon as the agent has the change and is reachable.
 */
final class DrainRuleChecker {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long SOCKET_SLACK_NANOS = 50 * NANOS_PER_MILLI;
    private static final long NOTIFICATION_LIMIT_NANOS = 6_000 * NANOS_PER_MILLI;

    private record Key(int router, String server) {
    }

    /**
     * A drain or removal of a server. {@code notifiedAtNanos} is when the router counts as notified of it, or
     * Long.MAX_VALUE while discovery is unreachable.
     */
    private static final class DrainNotice {
        private final long changedAtNanos;
        private long notifiedAtNanos;

        DrainNotice(long changedAtNanos, long notifiedAtNanos) {
            this.changedAtNanos = changedAtNanos;
            this.notifiedAtNanos = notifiedAtNanos;
        }
    }

    private final LongSupplier nanoClock;
    private final long graceNanos;
    private final boolean byAgent;
    private final Map<Key, DrainNotice> drainNotices = new HashMap<>();
    private final Map<Integer, Boolean> discoveryReachable = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int attemptCount;
    private int attemptsWithinGrace;

    /**
     * Creates a checker without any drains.
     *
     * @param byAgent whether discovery is an agent on the router's machine
     * @param nanoClock the current time in nanoseconds, the base of all times here
     */
    DrainRuleChecker(long graceMillis, boolean byAgent, LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        this.graceNanos = graceMillis * NANOS_PER_MILLI;
        this.byAgent = byAgent;
    }

    /** Records that a server's state changed in discovery, and whether the router can reach discovery. */
    synchronized void stateChanged(int router, String server, EndpointState state, boolean isReachable) {
        discoveryReachable.put(router, isReachable);
        Key key = new Key(router, server);
        if (state == EndpointState.UP) {
            drainNotices.remove(key);
        } else {
            long nowNanos = nanoClock.getAsLong();
            drainNotices.putIfAbsent(key, new DrainNotice(nowNanos, isReachable ? latestNotification(nowNanos)
                    : Long.MAX_VALUE));
        }
    }

    private long latestNotification(long nowNanos) {
        return byAgent ? nowNanos : nowNanos + NOTIFICATION_LIMIT_NANOS;
    }

    /** Records that discovery has written a server's state to the router. */
    synchronized void stateWritten(int router, String server, EndpointState state) {
        DrainNotice notice = drainNotices.get(new Key(router, server));
        if (notice != null && state != EndpointState.UP) {
            notice.notifiedAtNanos = Math.min(notice.notifiedAtNanos, nanoClock.getAsLong());
        }
    }

    /** Records an outage of discovery: the time limit of pending notifications starts anew after it. */
    synchronized void discoveryUnreachable(int router) {
        long nowNanos = nanoClock.getAsLong();
        drainNotices.forEach((key, notice) -> {
            if (key.router == router && notice.notifiedAtNanos > nowNanos) {
                notice.notifiedAtNanos = Long.MAX_VALUE;
            }
        });
    }

    /** Records that the router can reach discovery again. */
    synchronized void discoveryReachable(int router) {
        long nowNanos = nanoClock.getAsLong();
        drainNotices.forEach((key, notice) -> {
            if (key.router == router && notice.notifiedAtNanos == Long.MAX_VALUE) {
                notice.notifiedAtNanos = latestNotification(nowNanos);
            }
        });
    }

    /** Records a restart of the router's process, with a cached list that may be older than all changes. */
    synchronized void routerRestarted(int router, boolean isReachable) {
        long nowNanos = nanoClock.getAsLong();
        drainNotices.forEach((key, notice) -> {
            if (key.router == router) {
                notice.notifiedAtNanos = isReachable ? latestNotification(nowNanos) : Long.MAX_VALUE;
            }
        });
    }

    /** Records that the first byte of an attempt reached a server, and checks the drain rule. */
    synchronized void attemptReceived(int router, String server, long firstByteNanos) {
        attemptCount++;
        DrainNotice notice = drainNotices.get(new Key(router, server));
        if (notice == null) {
            return;
        }
        if (notice.notifiedAtNanos == Long.MAX_VALUE || firstByteNanos <= notice.notifiedAtNanos
                + graceNanos + SOCKET_SLACK_NANOS) {
            attemptsWithinGrace++;
            return;
        }
        violations.add("router " + router + " sent to " + server + " "
                + (firstByteNanos - notice.notifiedAtNanos) / NANOS_PER_MILLI
                + " ms after it was notified, " + (firstByteNanos - notice.changedAtNanos) / NANOS_PER_MILLI
                + " ms after the change");
    }

    /** Descriptions of the attempts that broke the rule. */
    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** All attempts, at any server. */
    synchronized int attemptCount() {
        return attemptCount;
    }

    /**
     * Attempts at draining or removed servers that were still allowed; if there are none, the rule was not
     * exercised.
     */
    synchronized int attemptsWithinGrace() {
        return attemptsWithinGrace;
    }
}
