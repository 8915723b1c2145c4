package yewdock.consensus;

/**
 * One loop on one thread, as the council sees it: a monotonic clock and tasks to be done later.
 * Microseconds.
 */
public interface TaskScheduler {
    /** The clock, which never goes back and stands for no time of day. */
    long nowMicros();

    /** Does this on the loop's thread, after so long at the earliest; in the order of their times. */
    void schedule(long micros, Runnable task);
}
