package yewdock.core;

import java.util.Locale;

/** How a request that was taken has ended. */
enum Ending {
    COMPLETED, REJECTED, FAILED;

    /** The counter of a class's requests that ended so. */
    String counter(String requestClass) {
        return "requests." + requestClass + "." + name().toLowerCase(Locale.ROOT);
    }
}
