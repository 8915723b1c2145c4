package yewdock.council;

/** A monotonic clock and delayed tasks on a single thread. All times are in microseconds. */
public interface Loop {
    /** The time of a monotonic clock, unrelated to the time of day. */
    long now();

    /** Runs a task on the scheduler's thread after this delay at the earliest; tasks run in order of time. */
    void after(long delayMicros, Runnable task);
}
