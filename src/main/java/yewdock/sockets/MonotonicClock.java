package yewdock.sockets;

import java.util.function.LongSupplier;

/**
 * A monotonic clock in microseconds, which starts at the Unix time of its creation. Unix times from other
 * sources can be compared with it without conversion.
 */
public final class MonotonicClock implements LongSupplier {
    private final long offset = wallMicros() - System.nanoTime() / 1000;

    /** Returns Unix time in microseconds, by the wall clock, which may be stepped. */
    public static long wallMicros() {
        return System.currentTimeMillis() * 1000;
    }

    @Override
    public long getAsLong() {
        return offset + System.nanoTime() / 1000;
    }
}
