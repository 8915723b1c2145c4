package yewdock.core;

/** What an older process of this router does. */
public enum OlderGeneration {
    /** There is none, or it no longer matters. */
    NONE,
    /** It serves, and this process waits to take over. */
    SERVING,
    /**
     * This process serves, and the older one finishes its open requests. Whoever learns that this process is
     * ready may stop the older one, so readiness is not reported yet.
     */
    FINISHING
}
