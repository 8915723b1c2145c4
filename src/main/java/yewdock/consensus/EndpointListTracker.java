package yewdock.consensus;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the version of the endpoint list that each router uses, as reported with its lease requests. No I/O.
 * Versions of lists from different addresses are not comparable. A discovery service that restarts counts
 * from a lower version: when a router's version goes back, that version becomes the newest, and routers that
 * merely keep reporting an older, higher one don't raise it again.
 */
final class EndpointListTracker {
    private final Map<String, ReportedList> reports = new HashMap<>();
    private final Map<String, Long> newest = new HashMap<>();

    private record ReportedList(String address, long version) {
    }

    /** Records what a router has reported. */
    void report(String router, String address, long version) {
        ReportedList before = reports.put(router, new ReportedList(address, version));
        boolean sameAddress = before != null && before.address.equals(address);
        if (sameAddress && version < before.version) {
            newest.put(address, version);
        } else if (!sameAddress || version > before.version) {
            newest.merge(address, version, Math::max);
        }
    }

    /** The newest version that any router has of the list this one uses; -1 if it has reported none. */
    long newestFor(String router) {
        ReportedList report = reports.get(router);
        return report == null ? -1 : newest(report.address);
    }

    /** The newest version that any router has of the list from this address; -1 if none has one. */
    long newest(String address) {
        return newest.getOrDefault(address, -1L);
    }
}
