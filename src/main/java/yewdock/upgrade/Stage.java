package yewdock.upgrade;

import java.util.Locale;

/** The stages of an upgrade, in order. Before GO the old generation serves without restriction. */
public enum Stage {
    /** The new process starts and identifies itself to the supervisor. */
    START,
    /** The new generation reads its configuration. */
    CHECK,
    /** The old generation sends its state. */
    STATE,
    /** The new generation loads the state and warms up. */
    READY,
    /** The new generation takes the listener and tests itself, but accepts no connections yet. */
    TAKE,
    /**
     * Every older generation reports its open requests, and from then on claims the id of a request before
     * it accepts it. Claims are answered only once the new generation serves, so anything that is likely to
     * fail belongs in an earlier stage.
     */
    SHARE,
    /** The new generation accepts connections. */
    GO,
    /** The old generation stops accepting. */
    LET_GO;

    /** The name in lower case, as in log lines and answers to operators. */
    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
