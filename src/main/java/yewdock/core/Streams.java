package yewdock.core;

import umberspread.Routing.Outcome;

/** What comes back over lines, as a part of the reducer: streams, how they end, and who reads them. */
final class Streams {
    /** A stream silent for so long is taken for broken: its client counts as lost after 5 s. */
    static final long SILENCE = 4_500_000;
    /** Of a stream that has not begun no more came for so long after its head's first byte: it is spoilt. */
    static final long OPENING = 500_000;
    /** A client that takes nothing for so long is cut off, for its stream holds a box's line. */
    static final long STALL = 30_000_000;
    /** So much may wait for a slow client before its box is no longer read; at so little it goes on. */
    static final int MOST_UNSENT = 64 * 1024;
    static final int FEW_UNSENT = 16 * 1024;

    private final Turn turn;
    private final Lines lines;
    private final Answers answers;
    private final Tries tries;

    Streams(Turn turn, Lines lines, Answers answers) {
        this.turn = turn;
        this.lines = lines;
        this.answers = answers;
        this.tries = answers.tries();
    }

    /** An answer's head and first event come together: one that stops in between never comes whole. */
    void answerBegan(long id) {
        Line line = lines.get(id);
        Try t = line == null ? null : line.current;
        if (t != null && t.closingAs == null && !t.begun()) {
            long heard = turn.now();
            t.lastPieceAt = heard;
            turn.at(heard + OPENING, () -> {
                if (t.line == line && line.current == t && !t.begun() && t.closingAs == null
                        && t.lastPieceAt == heard) {
                    turn.count("streams.unopened");
                    tries.hangUp(t, Outcome.ERROR);
                }
            });
        }
    }

    /**
     * The try has failed and may have run: the box took it and answered, so it is neither refused nor broken
     * off, which would speak against the box as a whole.
     */
    void answerSpoilt(long id) {
        Line line = lines.get(id);
        if (line == null) {
            return;
        }
        Try t = line.current;
        if (t != null && t.begun() && !t.owed.over) {
            // the client's connection ends now; the line's may take its time
            answers.fail(t.owed, Outcome.ERROR);
        } else if (t != null && t.written) {
            tries.hangUp(t, Outcome.ERROR);
        }
        // What was never written never ran: ServerDisconnected comes behind the news of the last byte, and
        // tells.
        lines.spoilt(line);
    }

    void piece(Event.ResponseChunk e) {
        Line line = lines.get(e.connection());
        Try t = line == null ? null : line.current;
        if (t == null || t.closingAs != null || t.owed.over) {
            return;
        }
        Owed o = t.owed;
        t.lastPieceAt = turn.now();
        o.unsent += e.bytes().remaining();
        turn.effect(new Effect.ForwardChunk(o.client, e.bytes()));
        if (!o.begun()) {
            tries.won(t);
            turn.at(turn.now() + SILENCE, () -> listen(t));
        }
        if (o.unsent > MOST_UNSENT) {
            lines.hold(line);
        }
    }

    void clientTook(Event.ClientBytesWritten e) {
        Owed o = answers.ofClient(e.client());
        if (o == null || !o.begun()) {
            return;
        }
        o.unsent = Math.max(0, o.unsent - e.bytes());
        o.tookAt = turn.now();
        Line line = o.winner.line;
        if (line.held && line.current == o.winner && o.unsent <= FEW_UNSENT) {
            o.winner.lastPieceAt = turn.now();
            lines.read(line);
        }
    }

    /** Ends a stream that has fallen silent for good, as a vanished machine's does, or that nobody reads. */
    private void listen(Try t) {
        Owed o = t.owed;
        if (!o.out.contains(t) || o.over || t.closingAs != null) {
            return;
        }
        long end = t.line.held ? o.tookAt + STALL : t.lastPieceAt + SILENCE;
        if (turn.now() >= end) {
            turn.count(t.line.held ? "streams.unread" : "streams.silent");
            answers.fail(o, Outcome.RESET);
        } else {
            turn.at(t.line.held ? Math.min(end, turn.now() + SILENCE) : end, () -> listen(t));
        }
    }

    void answered(Event.ResponseCompleted e) {
        Line line = lines.get(e.connection());
        Try t = line == null ? null : line.current;
        if (t == null || t.closingAs != null) {
            return;
        }
        lines.free(line, e.reusable());
        Owed o = t.owed;
        Outcome outcome = e.outcome();
        if (outcome == Outcome.OK && !o.over && (t.begun() || !o.begun())) {
            answers.served(t);
        } else if (t.begun()) {
            answers.cutOffIfBegun(t);
            outcome = Outcome.RESET;
        }
        tries.end(t, outcome, e.cachedTokens(), e.loadReport());
    }

    /** A try whose line breaks before its last byte was written never ran; after that it may have. */
    void lineDown(long id) {
        Line line = lines.down(id);
        Try t = line == null ? null : line.current;
        if (t == null) {
            return;
        }
        line.current = null;
        if (t.closingAs != null) {
            tries.end(t, t.closingAs, 0, null);
            return;
        }
        answers.cutOffIfBegun(t);
        tries.end(t, t.written || t.begun() ? Outcome.RESET : Outcome.CONNECT_FAILED, 0, null);
    }
}
