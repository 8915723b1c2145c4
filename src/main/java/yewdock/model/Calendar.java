package yewdock.model;

import java.util.PriorityQueue;

/**
 * The event calendar of a simulation. Events run in order of time, and events of the same time in the order
 * in which they were scheduled, so that runs are reproducible. Times are microseconds of virtual time; a time
 * in the past counts as now.
 */
public final class Calendar {
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(1024);
    private long now;
    private long nextSequence;
    private long executedCount;

    private record ScheduledEvent(long timeMicros, long sequence, Runnable action)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return timeMicros != other.timeMicros ? Long.compare(timeMicros, other.timeMicros)
                    : Long.compare(sequence, other.sequence);
        }
    }

    /** The current time: that of the latest event. */
    public long now() {
        return now;
    }

    /** Schedules an event at a time. */
    public void at(long time, Runnable action) {
        events.add(new ScheduledEvent(Math.max(time, now), nextSequence++, action));
    }

    /** Schedules an event after a delay in microseconds. */
    public void after(double micros, Runnable action) {
        at(now + Math.max(0, Math.round(micros)), action);
    }

    /** Runs the next event; returns false if there is none. */
    public boolean runNext() {
        ScheduledEvent entry = events.poll();
        if (entry == null) {
            return false;
        }
        now = entry.timeMicros;
        executedCount++;
        entry.action.run();
        return true;
    }

    /** Runs all events up to and including a time, and advances the clock to it. */
    public void runTo(long time) {
        while (!events.isEmpty() && events.peek().timeMicros <= time) {
            runNext();
        }
        now = Math.max(now, time);
    }

    /** The time of the next event; {@link Long#MAX_VALUE} if there is none. */
    public long nextAt() {
        return events.isEmpty() ? Long.MAX_VALUE : events.peek().timeMicros;
    }

    /** How many events have run. */
    public long executedCount() {
        return executedCount;
    }

    /** How many events are scheduled. */
    public int pendingCount() {
        return events.size();
    }
}
