package yewdock.desk;

import umberspread.Routing.Outcome;

/**
 * The responses on server connections: forwarding the streams to clients, detecting how they end, and pausing
 * them for slow readers.
 */
final class Streams {
    /** Silence in microseconds after which a stream counts as broken; its client gives up after 5 s. */
    static final long SILENCE = 4_500_000;
    /**
     * Time in microseconds for the first stream event to be complete after the last data of the response's
     * start; after that the response counts as malformed.
     */
    static final long OPENING = 500_000;
    /**
     * Time in microseconds after which a client that reads nothing is disconnected, since its stream occupies
     * a server connection.
     */
    static final long STALL = 30_000_000;
    /** Unwritten bytes for a slow client above which its server connection is no longer read. */
    static final int MOST_UNSENT = 64 * 1024;
    /** Unwritten bytes for a slow client at or below which its server connection is read again. */
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

    /**
     * A response's head and first event arrive together: if the rest is missing for too long, it will not
     * come.
     */
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
     * Ends an attempt whose response can't be parsed. It may have run. The server accepted it and responded,
     * so it ends neither as refused nor as reset, which would count against the server as a whole.
     */
    void answerSpoilt(long id) {
        Line line = lines.get(id);
        if (line == null) {
            return;
        }
        Try t = line.current;
        if (t != null && t.begun() && !t.owed.over) {
            // the client's connection closes now; closing the server connection may take longer
            answers.fail(t.owed, Outcome.ERROR);
        } else if (t != null && t.written) {
            tries.hangUp(t, Outcome.ERROR);
        }
        // An attempt that was never written in full has not run: LineDown, which follows the report of the
        // last byte, tells the two cases apart.
        lines.spoilt(line);
    }

    void piece(Event.Piece e) {
        Line line = lines.get(e.line());
        Try t = line == null ? null : line.current;
        if (t == null || t.closingAs != null || t.owed.over) {
            return;
        }
        Owed o = t.owed;
        t.lastPieceAt = turn.now();
        o.unsent += e.bytes().remaining();
        turn.effect(new Effect.PassOn(o.client, e.bytes()));
        if (!o.begun()) {
            tries.won(t);
            turn.at(turn.now() + SILENCE, () -> listen(t));
        }
        if (o.unsent > MOST_UNSENT) {
            lines.hold(line);
        }
    }

    void clientTook(Event.ClientTook e) {
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

    /**
     * Ends a stream that has been silent for too long, for example because its server vanished, or whose
     * client doesn't read it.
     */
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

    void answered(Event.Answered e) {
        Line line = lines.get(e.line());
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
        tries.end(t, outcome, e.keptTokens(), e.report());
    }

    /**
     * Ends the attempt on a connection that has closed. If its last byte was not written it has not run;
     * otherwise it may have.
     */
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
