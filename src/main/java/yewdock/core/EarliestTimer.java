package yewdock.core;

/** Runs a task at the earliest of the times that were asked for since it ran last. */
final class EarliestTimer {
    private final Timers timers;
    private final Runnable task;
    /** The time in microseconds at which the task runs; Long.MAX_VALUE if it is not to run. */
    private long dueAt = Long.MAX_VALUE;

    EarliestTimer(Timers timers, Runnable task) {
        this.timers = timers;
        this.task = task;
    }

    /** Has the task run at this time in microseconds, or earlier; never if it is Long.MAX_VALUE. */
    void runBy(long time) {
        if (time >= dueAt) {
            return;
        }
        dueAt = time;
        timers.runAt(time, () -> {
            if (dueAt == time) {
                dueAt = Long.MAX_VALUE;
                task.run();
            }
        });
    }
}
