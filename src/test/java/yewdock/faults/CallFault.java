package yewdock.faults;

/** A fault that {@link ScriptedDiscovery} injects into one call from a router. */
enum CallFault {
    /** A 503 response, as from an overloaded service. */
    UNAVAILABLE,
    /** The connection is reset without a response. */
    RESET,
    /** The connection is reset in the middle of the response body. */
    HALF_ANSWERED,
    /** The response body is not valid JSON. */
    MALFORMED,
    /** Content-Length is larger than the body, and the connection stays open. */
    WRONG_LENGTH,
    /** Only the status line is sent, and the connection stays open. */
    HEAD_ONLY,
    /** No response, and the connection stays open. */
    SILENT
}
