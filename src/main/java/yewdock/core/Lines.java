package yewdock.core;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** The connections to boxes, as a part of the reducer: which are there, which rest, and for how long. */
final class Lines {
    /** When this part of the lines is taken, idle ones are closed before others are opened. */
    private static final double FULL_PART = 0.75;
    /** A line idle for this part of the keepalive is closed: a box closing it might cross a try. */
    private static final double KEEP_PART = 0.8;
    /** A line takes another try only so long after its last: a second answer may come right after one. */
    static final long SETTLE = 50_000;

    private final Turn turn;
    private final int most;
    private final long idleFor;
    private final KnownServers boxes;
    private final Map<Long, Line> lines = new HashMap<>();
    private final Map<Long, Deque<Line>> idle = new HashMap<>();
    private long last;

    Lines(Turn turn, int most, long keepalive, KnownServers boxes) {
        this.turn = turn;
        this.most = most;
        this.idleFor = (long) (keepalive * KEEP_PART);
        this.boxes = boxes;
    }

    int kept() {
        return lines.size() + idle.size();
    }

    /** A line that is open or being made; null if there is none of this number. */
    Line get(long id) {
        return lines.get(id);
    }

    /** A line to the box that has rested long enough, which rests no more; null if there is none. */
    Line take(ModelServer box) {
        Deque<Line> waiting = idle.get(box.id());
        Line line = waiting == null ? null : settled(waiting);
        if (line == null && lines.size() >= most * FULL_PART) {
            closeLongestIdle();
        }
        return line;
    }

    /** Takes the line that has rested least, but long enough: what still came over it has come by now. */
    private Line settled(Deque<Line> waiting) {
        Iterator<Line> youngestFirst = waiting.descendingIterator();
        while (youngestFirst.hasNext()) {
            Line line = youngestFirst.next();
            if (turn.now() - line.idleSince >= SETTLE) {
                youngestFirst.remove();
                return line;
            }
        }
        return null;
    }

    /** Lines that wait for tries must not keep a try from getting one. */
    private void closeLongestIdle() {
        Line longest = null;
        for (Deque<Line> waiting : idle.values()) {
            Line first = waiting.peekFirst();
            if (first != null && (longest == null || first.idleSince < longest.idleSince)) {
                longest = first;
            }
        }
        if (longest != null) {
            idle.get(longest.box.id()).removeFirst();
            turn.count("lines.retired");
            close(longest);
        }
    }

    /** Asks for a new line for a try; null if there is no room for another. */
    Line open(ModelServer box, Try t) {
        if (lines.size() >= most) {
            turn.count("lines.no_room");
            return null;
        }
        Line line = new Line(++last, box);
        line.current = t;
        t.line = line;
        lines.put(line.id, line);
        turn.count("lines.opened");
        turn.effect(new Effect.OpenServerConnection(line.id, box.address()));
        return line;
    }

    void close(Line line) {
        if (!line.closing) {
            line.closing = true;
            turn.effect(new Effect.CloseServerConnection(line.id));
        }
    }

    /** The line is truly closed: it is forgotten; null if that was done before. */
    Line down(long id) {
        Line line = lines.remove(id);
        if (line != null) {
            turn.count("lines.closed");
            restsNoMore(line);
        }
        return line;
    }

    /** A line that is of no use for another try. */
    void spoilt(Line line) {
        restsNoMore(line);
        close(line);
    }

    private void restsNoMore(Line line) {
        Deque<Line> waiting = idle.get(line.box.id());
        if (waiting != null) {
            waiting.remove(line);
        }
    }

    /** The line's try has ended: it rests where it can take another, and is closed where it can't. */
    void free(Line line, boolean reusable) {
        line.current = null;
        ModelServer box = boxes.get(line.box.id());
        if (reusable && box != null && box.takesWork() && box.address().equals(line.box.address())) {
            read(line);
            rest(line);
        } else {
            close(line);
        }
    }

    private void rest(Line line) {
        line.idleSince = turn.now();
        idle.computeIfAbsent(line.box.id(), id -> new ArrayDeque<>()).addLast(line);
        turn.at(turn.now() + idleFor, () -> {
            Deque<Line> waiting = idle.get(line.box.id());
            if (turn.now() - line.idleSince >= idleFor && waiting != null && waiting.remove(line)) {
                turn.count("lines.retired");
                close(line);
            }
        });
    }

    /** Reads no more from the line, for its client is slow. */
    void hold(Line line) {
        if (!line.held) {
            line.held = true;
            turn.effect(new Effect.PauseReading(line.id, true));
        }
    }

    /** Reads from the line again. */
    void read(Line line) {
        if (line.held) {
            line.held = false;
            turn.effect(new Effect.PauseReading(line.id, false));
        }
    }

    /** Lines at rest to boxes that take no work any more, or have moved, are of no use. */
    void closeIdleToLeavers() {
        for (Map.Entry<Long, Deque<Line>> entry : idle.entrySet()) {
            ModelServer box = boxes.get(entry.getKey());
            entry.getValue().removeIf(line -> {
                boolean leaves = box == null || !box.takesWork()
                        || !box.address().equals(line.box.address());
                if (leaves) {
                    close(line);
                }
                return leaves;
            });
        }
        idle.values().removeIf(Deque::isEmpty);
    }
}
