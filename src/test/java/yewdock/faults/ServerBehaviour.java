package yewdock.faults;

/** How a {@link RecordingServer} responds to the attempts that reach it. */
enum ServerBehaviour {
    /** Sends a complete response at once. */
    ANSWERS,
    /** Reads requests and never responds. */
    SILENT,
    /** Closes the connection after reading a request. */
    CLOSES,
    /** Sends the beginning of the response head and nothing more. */
    HALF_HEAD,
    /** Sends bytes that are not HTTP. */
    GARBAGE,
    /** Sends the response one byte at a time, and never the last byte. */
    TRICKLES,
    /** Sends the whole response twice. */
    ANSWERS_TWICE,
    /** Rejects each request with a 503 marked as not processed. */
    FULL
}
