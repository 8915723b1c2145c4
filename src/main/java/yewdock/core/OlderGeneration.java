package yewdock.core;

/** What an older process of this router does beside this one. */
public enum OlderGeneration {
    /** There is none, or it is nobody's business any more. */
    NONE,
    /** It serves, and this one waits to take over. */
    SERVING,
    /** This one serves, and the older one finishes what it has: who hears that this one is ready ends it. */
    FINISHING
}
