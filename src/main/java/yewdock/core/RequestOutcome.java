package yewdock.core;

import java.util.Locale;

/** How an accepted request has ended. */
enum RequestOutcome {
    COMPLETED, REJECTED, FAILED;

    /** Returns the name of the counter for requests of this class that ended in this way. */
    String counterName(String requestClass) {
        return "requests." + requestClass + "." + name().toLowerCase(Locale.ROOT);
    }
}
