package yewdock.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Grants leases on the consensus leader, and decides when a prepared change may take effect: once every
 * router that could still act without knowing of it has reported that it knows, or its lease has expired.
 * No I/O; all times are microseconds of the leader's monotonic clock.
 *
 * <p>A lease is granted only to a router that has the last prepared change, and only after a majority has
 * confirmed the leader in a round that began after the request arrived. So a router whose lease began after
 * a change was prepared knows of that change, and every other lease has expired one lease length later. A
 * new leader doesn't know who holds leases, so it waits for one lease length first.
 */
public final class LeaseGrantor {
    private final LeaseTiming timing;
    private final Map<String, GrantedLease> leases = new HashMap<>();
    private final Map<String, Long> pendingSince = new HashMap<>();
    private List<LeaseRequest> queued = new ArrayList<>();
    private List<LeaseRequest> inConfirmation = List.of();
    private boolean leading;
    private long leaderSince;

    /** The lease of one process of a router; another process of the same router has a lease of its own. */
    private record GrantedLease(long step, long expiresAt) {
    }

    /**
     * A router's request for a lease.
     *
     * @param router the name of the instance
     * @param incarnation identifies the process of that instance
     * @param number the number of the request
     * @param step the step of the rules that every part of the router applies
     */
    public record LeaseRequest(String router, long incarnation, long number, long step) {
        private String processId() {
            return router + "/" + incarnation;
        }
    }

    /** A grantor that does not lead yet. */
    public LeaseGrantor(LeaseTiming timing) {
        this.timing = timing;
    }

    /** This instance has become the leader. */
    public void becomeLeader(long now) {
        leading = true;
        leaderSince = now;
        leases.clear();
        dropRequests();
    }

    /** This instance is not the leader any more: it grants nothing and forgets the leases it knew of. */
    public void stepDown() {
        leading = false;
        leases.clear();
        dropRequests();
    }

    private void dropRequests() {
        queued.clear();
        inConfirmation = List.of();
    }

    /** Queues a request, to be granted after a confirmation round that begins later than now. */
    public void request(LeaseRequest request) {
        if (leading) {
            queued.add(request);
        }
    }

    /** Begins a confirmation round for all queued requests; false if there are none or one is in progress. */
    public boolean beginConfirmation() {
        if (!leading || !inConfirmation.isEmpty() || queued.isEmpty()) {
            return false;
        }
        inConfirmation = queued;
        queued = new ArrayList<>();
        return true;
    }

    /** The round has failed: its requests are dropped, as routers repeat them by themselves. */
    public void confirmationFailed() {
        inConfirmation = List.of();
    }

    /**
     * The round has confirmed the leader. Returns the requests that are granted.
     *
     * @param lastPrepared the step at which a change was last prepared, in the leader's rules as of now
     * @param now the time in microseconds
     */
    public List<LeaseRequest> confirm(long lastPrepared, long now) {
        List<LeaseRequest> granted = new ArrayList<>();
        if (leading) {
            for (LeaseRequest request : inConfirmation) {
                if (request.step >= lastPrepared) {
                    leases.put(request.processId(), new GrantedLease(request.step,
                            now + timing.expiryMicros()));
                    granted.add(request);
                }
            }
        }
        inConfirmation = List.of();
        return granted;
    }

    /**
     * The ids of the pending changes that may take effect now; empty unless this instance leads. Members that
     * don't lead call it too: a new leader needs to know since when it has seen each change pending.
     *
     * @param pendingSteps the steps at which the pending changes were prepared, by id
     * @param now the time in microseconds
     */
    public List<String> changesToApply(Map<String, Long> pendingSteps, long now) {
        pendingSince.keySet().retainAll(pendingSteps.keySet());
        pendingSteps.keySet().forEach(id -> pendingSince.putIfAbsent(id, now));
        leases.values().removeIf(lease -> lease.expiresAt <= now);
        List<String> due = new ArrayList<>();
        if (!leading) {
            return due;
        }
        boolean knowsAllLeases = now - leaderSince >= timing.expiryMicros();
        pendingSteps.forEach((id, step) -> {
            boolean allKnow = knowsAllLeases && leases.values().stream()
                    .allMatch(lease -> lease.step >= step);
            if (allKnow || now - pendingSince.get(id) >= timing.expiryMicros()) {
                due.add(id);
            }
        });
        return due;
    }

    /** The number of leases that may still be valid. */
    public int leaseCount() {
        return leases.size();
    }
}
