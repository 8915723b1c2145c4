package yewdock.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leases that a council's leader grants, and when a prepared change may take force: when every router
 * that could still act without knowing of it has said that it knows, or its lease has run out. Pure: times
 * of the leader's monotonic clock go in.
 *
 * <p>A lease is granted only to a router that holds the last prepared change, and only once a majority has
 * confirmed the leader after the call came. So whoever holds a lease from a moment after a change was
 * prepared knows of it, and all other leases are over one length after that. A leader that took over less
 * than one length ago doesn't know who holds leases, and lets that length pass.
 */
public final class LeaseGrantor {
    private final LeaseTiming terms;
    private final Map<String, Holder> leaseCount = new HashMap<>();
    private final Map<String, Long> seen = new HashMap<>();
    private List<LeaseRequest> waiting = new ArrayList<>();
    private List<LeaseRequest> confirming = List.of();
    private boolean leading;
    private long since;

    /** A process of a router; another process of the same router is another holder. */
    private record Holder(long step, long expires) {
    }

    /**
     * A router's call.
     *
     * @param router its name
     * @param incarnation which process of it
     * @param number the call's number
     * @param step the step of the rules that all its parts have taken up
     */
    public record LeaseRequest(String router, long incarnation, long number, long step) {
        private String holder() {
            return router + "/" + incarnation;
        }
    }

    public LeaseGrantor(LeaseTiming terms) {
        this.terms = terms;
    }

    /** This instance leads from now on. */
    public void becomeLeader(long now) {
        leading = true;
        since = now;
        leaseCount.clear();
        forgetCalls();
    }

    /** It leads no more: it grants nothing, and what it knows of leases is worth nothing. */
    public void stepDown() {
        leading = false;
        leaseCount.clear();
        forgetCalls();
    }

    private void forgetCalls() {
        waiting.clear();
        confirming = List.of();
    }

    /** A router asks; answered once a majority has confirmed the leader, in a round that begins later. */
    public void request(LeaseRequest ask) {
        if (leading) {
            waiting.add(ask);
        }
    }

    /** Whether a round of confirming is worth beginning; then it has begun with all that wait. */
    public boolean beginConfirmation() {
        if (!leading || !confirming.isEmpty() || waiting.isEmpty()) {
            return false;
        }
        confirming = waiting;
        waiting = new ArrayList<>();
        return true;
    }

    /** The round has failed: its routers ask again by themselves. */
    public void confirmationFailed() {
        confirming = List.of();
    }

    /**
     * The round has confirmed the leader. Returns the calls that are granted.
     *
     * @param lastPrepared the step of the last change that was prepared, as the leader's rules have it now
     */
    public List<LeaseRequest> confirm(long lastPrepared, long now) {
        List<LeaseRequest> granted = new ArrayList<>();
        if (leading) {
            for (LeaseRequest ask : confirming) {
                if (ask.step >= lastPrepared) {
                    leaseCount.put(ask.holder(), new Holder(ask.step, now + terms.expiryMicros()));
                    granted.add(ask);
                }
            }
        }
        confirming = List.of();
        return granted;
    }

    /**
     * Which changes may take force now. Every instance calls it with what its rules have under way, leader
     * or not: the time from which a change was known here is what a leader goes by that has just taken
     * over.
     */
    public List<String> changesToApply(Map<String, Long> underWay, long now) {
        seen.keySet().retainAll(underWay.keySet());
        underWay.keySet().forEach(id -> seen.putIfAbsent(id, now));
        leaseCount.values().removeIf(h -> h.expires <= now);
        List<String> due = new ArrayList<>();
        if (!leading) {
            return due;
        }
        boolean knowsHolders = now - since >= terms.expiryMicros();
        underWay.forEach((id, step) -> {
            boolean allKnow = knowsHolders && leaseCount.values().stream().allMatch(h -> h.step >= step);
            if (allKnow || now - seen.get(id) >= terms.expiryMicros()) {
                due.add(id);
            }
        });
        return due;
    }

    /** How many leases may be held. */
    public int leaseCount() {
        return leaseCount.size();
    }
}
