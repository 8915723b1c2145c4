package yewdock.faults;

/** What goes wrong with one call to discovery. */
enum CallFault {
    /** 503, as an overloaded service answers. */
    UNAVAILABLE,
    /** The connection is reset without an answer. */
    RESET,
    /** The connection is reset in the middle of the answer. */
    HALF_ANSWERED,
    /** The answer is no JSON. */
    MALFORMED,
    /** The answer's length is larger than its body, and the connection stays open. */
    WRONG_LENGTH,
    /** The head arrives and nothing more. */
    HEAD_ONLY,
    /** No answer, and the connection stays open. */
    SILENT
}
