package yewdock.core;

import java.util.Locale;

/** Why a request was closed without a complete response. */
public enum CloseReason {
    /** The module refused the request. */
    REFUSED_BY_MODULE,
    /** Too many requests, or bytes of requests, were open. */
    REFUSED_AT_LIMIT,
    /** The lease on the agreed rules had run out. */
    REFUSED_WITHOUT_LEASE,
    /** The agent had not confirmed the endpoint list. */
    REFUSED_LIST_UNCONFIRMED,
    /** The process that owns the request ids did not answer the claim for this id. */
    REFUSED_UNCLAIMED,
    /** The request came so late in a shutdown that the process may be killed before its response ends. */
    REFUSED_AT_SHUTDOWN,
    /** Another request with the same id was open. */
    DUPLICATE_ID,
    /** The module gave the request up. */
    FAILED_BY_MODULE,
    /** No attempt had a first event when the client's timeout ended. */
    DEADLINE,
    /** The server's connection closed before the end of the stream. */
    CONNECTION_BROKEN,
    /** The server ended its response before the stream's last event. */
    STREAM_INCOMPLETE,
    /** The server's response could not be parsed. */
    RESPONSE_MALFORMED,
    /** The server stopped sending in the middle of the stream. */
    SERVER_SILENT,
    /** The client did not read its stream. */
    CLIENT_NOT_READING,
    /** The client closed its connection. */
    CLIENT_LEFT,
    /** The process was replaced, and its time to finish open requests was over. */
    HANDOVER_LIMIT,
    /** An exception in the router. */
    FAULT;

    /** Returns the name of the counter for requests that were closed for this reason. */
    String counterName() {
        return "requests.closed." + label();
    }

    /** Returns the name in log lines and counters. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
