package yewdock.faults;

/** What a server does with the attempts that reach it. */
enum ServerBehaviour {
    ANSWERS,
    /** Reads requests and never says anything. */
    SILENT,
    /** Closes the connection when a request has come. */
    CLOSES,
    /** Begins its answer's head and says no more. */
    HALF_HEAD,
    /** Sends what is no HTTP. */
    GARBAGE,
    /** Sends one byte of its answer at a time, and never the last. */
    TRICKLES,
    /** Answers each request twice. */
    ANSWERS_TWICE,
    /** Turns each request away without processing it. */
    FULL
}
