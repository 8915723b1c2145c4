package yewdock.platform;

/**
 * When bytes came, in microseconds of the router's clock. They were read at the latest time; where the
 * process stood still before that, they may have waited since the earliest.
 */
public record Arrival(long earliest, long latest) {
    /** A client that is there at the latest time has this part of its patience left on average. */
    private static final int EXPECTED_PART = 2;

    /** Bytes that came at this time. */
    public static Arrival at(long time) {
        return new Arrival(time, time);
    }

    /**
     * What is left now to a client that would wait for so long when these bytes came. No more than what is
     * left for certain; but a client that is still there after a long pause has asked within the pause,
     * nobody knows when, and is not failed unheard.
     */
    long left(long patience, long now) {
        long atLeast = patience - Math.max(0, now - earliest);
        long atMost = patience - Math.max(0, now - latest);
        return Math.max(0, Math.max(atLeast, atMost / EXPECTED_PART));
    }
}
