package yewdock.model;

import java.util.PriorityQueue;

/**
 * The event calendar of a simulation. Events run in order of time, and events of the same time in the order
 * in which they were scheduled, so that runs are reproducible. Times are microseconds of virtual time; a time
 * in the past counts as now.
 */
public final class EventCalendar {
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(1024);
    private long nowMicros;
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
    public long nowMicros() {
        return nowMicros;
    }

    /** Schedules an event at a time. */
    public void scheduleAt(long time, Runnable action) {
        events.add(new ScheduledEvent(Math.max(time, nowMicros), nextSequence++, action));
    }

    /** Schedules an event after a delay in microseconds. */
    public void scheduleAfter(double micros, Runnable action) {
        scheduleAt(nowMicros + Math.max(0, Math.round(micros)), action);
    }

    /** Runs the next event; returns false if there is none. */
    public boolean runNext() {
        ScheduledEvent entry = events.poll();
        if (entry == null) {
            return false;
        }
        nowMicros = entry.timeMicros;
        executedCount++;
        entry.action.run();
        return true;
    }

    /** Runs all events up to and including a time, and advances the clock to it. */
    public void runUntil(long time) {
        while (!events.isEmpty() && events.peek().timeMicros <= time) {
            runNext();
        }
        nowMicros = Math.max(nowMicros, time);
    }

    /** The time of the next event; {@link Long#MAX_VALUE} if there is none. */
    public long nextTimeMicros() {
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
