package yewdock.desk;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/** The connections to servers: which are open, which are idle, and for how long. */
final class Lines {
    /**
     * When this fraction of the connection limit is in use, idle connections are closed before new ones are
     * opened.
     */
    private static final double FULL_PART = 0.75;
    /**
     * An idle connection is closed after this fraction of the keepalive time: at the full time the server
     * might close it while an attempt is being sent.
     */
    private static final double KEEP_PART = 0.8;
    /**
     * Idle time in microseconds before a connection takes another attempt: an unexpected second response may
     * arrive right after the first.
     */
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

    /** Returns a connection that is open or being opened; null if there is none with this number. */
    Line get(long id) {
        return lines.get(id);
    }

    /** Takes an idle connection to the server that has been idle long enough; null if there is none. */
    Line take(ModelServer box) {
        Deque<Line> waiting = idle.get(box.id());
        Line line = waiting == null ? null : settled(waiting);
        if (line == null && lines.size() >= most * FULL_PART) {
            closeLongestIdle();
        }
        return line;
    }

    /** Takes the connection idle for the shortest time that is long enough for late data to have arrived. */
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

    /** Frees a place for a new connection by closing the longest idle one. */
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

    /** Opens a connection for an attempt; null if the limit is reached. */
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
        turn.effect(new Effect.OpenLine(line.id, box.address()));
        return line;
    }

    void close(Line line) {
        if (!line.closing) {
            line.closing = true;
            turn.effect(new Effect.CloseLine(line.id));
        }
    }

    /** Forgets a connection that has closed and returns it; null if it was forgotten before. */
    Line down(long id) {
        Line line = lines.remove(id);
        if (line != null) {
            turn.count("lines.closed");
            restsNoMore(line);
        }
        return line;
    }

    /** Closes a connection that can't take another attempt. */
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

    /**
     * Releases a connection after its attempt: it becomes idle if it can take another one, or else is closed.
     */
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

    /** Pauses reading because the client is slow. */
    void hold(Line line) {
        if (!line.held) {
            line.held = true;
            turn.effect(new Effect.HoldLine(line.id, true));
        }
    }

    /** Resumes reading. */
    void read(Line line) {
        if (line.held) {
            line.held = false;
            turn.effect(new Effect.HoldLine(line.id, false));
        }
    }

    /** Closes idle connections to servers that take no more work or have moved to another address. */
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
