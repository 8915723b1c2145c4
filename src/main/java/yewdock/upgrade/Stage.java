package yewdock.upgrade;

import java.util.Locale;

/** The stages of an upgrade, in their order. Up to GO the old generation serves as if nothing happened. */
public enum Stage {
    /** The new process starts and gives its name. */
    START,
    /** It reads its configuration. */
    CHECK,
    /** The old one gives its state. */
    STATE,
    /** The new one takes the state up and gets ready. */
    READY,
    /** The new one takes the listener and tries itself out, but accepts nothing yet. */
    TAKE,
    /**
     * Every older generation tells what it holds, and from then on asks before it takes a request. Nobody
     * answers until the new one goes, so that all that can go wrong by then should have done so before.
     */
    SHARE,
    /** The new one accepts connections. */
    GO,
    /** The old one stops accepting. */
    LET_GO;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
