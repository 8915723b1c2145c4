package yewdock.daemon;

import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import yewdock.core.RequestTransition;
import yewdock.logging.EventLog;
import yewdock.logging.LogFields;

/**
 * Logs what became of requests that were retried or closed without a complete response. The number of lines
 * is limited, since an outage closes many requests at once; the next line says how many were left out.
 */
final class RequestTransitionLog {
    /** Lines per window; enough to follow a burst without slowing the router down. */
    static final int MAX_LINES_PER_WINDOW = 40;
    /** Clients choose the ids of their requests, of any length that fits into a head. */
    static final int MAX_ID_CHARACTERS = 64;
    private static final long WINDOW_MICROS = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final LongSupplier clock;
    /** Receives an event's name and its fields. */
    private final BiConsumer<String, Map<String, Object>> output;
    private long windowStart = Long.MIN_VALUE;
    private int linesInWindow;
    private long suppressed;

    /** Makes a log on this monotonic clock in microseconds. */
    RequestTransitionLog(LongSupplier clock) {
        this(clock, EventLog::info);
    }

    RequestTransitionLog(LongSupplier clock, BiConsumer<String, Map<String, Object>> output) {
        this.clock = clock;
        this.output = output;
    }

    /** Writes a line for the transition unless the window's limit is reached. */
    void write(RequestTransition transition) {
        long now = clock.getAsLong();
        if (windowStart == Long.MIN_VALUE || now - windowStart >= WINDOW_MICROS) {
            windowStart = now;
            linesInWindow = 0;
        }
        if (linesInWindow >= MAX_LINES_PER_WINDOW) {
            suppressed++;
            return;
        }
        linesInWindow++;
        Map<String, Object> fields = fields(transition);
        if (suppressed > 0) {
            fields.put("suppressed_before", suppressed);
            suppressed = 0;
        }
        output.accept(eventName(transition), fields);
    }

    private static String eventName(RequestTransition transition) {
        if (transition instanceof RequestTransition.AttemptFailed) {
            return "attempt.failed";
        }
        return transition instanceof RequestTransition.Retried ? "request.retried" : "request.closed";
    }

    private static String shortened(String id) {
        return id.length() <= MAX_ID_CHARACTERS ? id : id.substring(0, MAX_ID_CHARACTERS) + "...";
    }

    private static Map<String, Object> fields(RequestTransition transition) {
        if (transition instanceof RequestTransition.AttemptFailed failed) {
            return LogFields.of("id", shortened(failed.requestId()), "attempt", failed.attempt(), "server",
                    failed.server(), "outcome", failed.outcome().name().toLowerCase(Locale.ROOT), "written",
                    failed.written(), "ms", failed.elapsedMicros() / MICROS_PER_MILLI);
        }
        if (transition instanceof RequestTransition.Retried retried) {
            return LogFields.of("id", shortened(retried.requestId()), "attempt", retried.attempt(), "server",
                    retried.server());
        }
        RequestTransition.Closed closed = (RequestTransition.Closed) transition;
        return LogFields.of("id", shortened(closed.requestId()), "reason", closed.reason().label(),
                "streaming", closed.streaming(), "ms", closed.elapsedMicros() / MICROS_PER_MILLI);
    }
}
