package yewdock.platform;

/**
 * When bytes came, in microseconds of the router's clock. They were read at the latest time; where the
 * process stood still before that, they may have waited since the earliest.
 */
public record Arrival(long earliest, long latest) {
    /** Of the time that is left for certain, so much counts whatever the process has missed. */
    private static final int LEAST_PART = 4;

    /** Bytes that came at this time. */
    public static Arrival at(long time) {
        return new Arrival(time, time);
    }

    /**
     * What is left now to a client that would wait for so long when these bytes came. No more than what is
     * left for certain; but a client that is still there after a pause longer than its patience has asked
     * within the pause, nobody knows when, and is not failed unheard.
     */
    long left(long patience, long now) {
        long atLeast = patience - Math.max(0, now - earliest);
        long atMost = patience - Math.max(0, now - latest);
        return Math.max(0, Math.max(atLeast, atMost / LEAST_PART));
    }
}
