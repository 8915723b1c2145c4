package yewdock.consensus;

/** A monotonic clock and delayed tasks on a single thread. All times are in microseconds. */
public interface TaskScheduler {
    /** The time of a monotonic clock, unrelated to the time of day. */
    long nowMicros();

    /** Runs a task on the scheduler's thread after this delay at the earliest; tasks run in order of time. */
    void schedule(long delayMicros, Runnable task);
}
