package yewdock.desk;

/** What an older process of this router does. */
public enum Older {
    /** There is none, or it no longer matters. */
    NONE,
    /** It serves, and this process waits to take over. */
    SERVES,
    /**
     * This process serves, and the older one finishes its open requests. Whoever learns that this process is
     * ready may stop the older one, so readiness is not reported yet.
     */
    FINISHES
}
