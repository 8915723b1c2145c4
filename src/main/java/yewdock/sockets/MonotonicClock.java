package yewdock.sockets;

import java.util.function.LongSupplier;

/**
 * Microseconds that never go back, counted from the Unix epoch as it was known at the start: times that
 * others give in Unix time need no other conversion.
 */
public final class MonotonicClock implements LongSupplier {
    private final long offset = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;

    @Override
    public long getAsLong() {
        return offset + System.nanoTime() / 1000;
    }
}
