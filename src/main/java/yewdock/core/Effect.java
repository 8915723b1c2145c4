package yewdock.core;

import java.nio.ByteBuffer;

/** An output of the reducer, carried out by the transport. All times are in microseconds. */
public sealed interface Effect {
    /** Open a connection to a server. */
    record OpenServerConnection(long connection, String address) implements Effect {
    }

    /**
     * Send the client's request over an established server connection. The server is told how long the router
     * waits.
     */
    record SendAttempt(long connection, long client, long timeoutMicros) implements Effect {
    }

    /** Close a server connection at once; {@link Event.ServerDisconnected} reports that it is closed. */
    record CloseServerConnection(long connection) implements Effect {
    }

    /** Stop reading from a server connection, or resume reading. */
    record PauseReading(long connection, boolean paused) implements Effect {
    }

    /** Forward a part of the stream to the client; the first part starts the response. */
    record ForwardChunk(long client, ByteBuffer bytes) implements Effect {
    }

    /** Finish a complete response. */
    record EndResponse(long client) implements Effect {
    }

    /**
     * Close the client's connection without finishing its response, so that the client sees it as incomplete.
     */
    record AbortResponse(long client) implements Effect {
    }

    /** Refuse a request. Retrying it is harmless, after the given delay if that is not 0. */
    record Refuse(long client, long retryAfterMicros) implements Effect {
    }

    /** Report to a client that its request has failed. */
    record Fail(long client) implements Effect {
    }

    /**
     * Call discovery at this address for changes since a list version, with a long poll of the given length;
     * version -1 asks for the whole list.
     */
    record CallDiscovery(String address, long sinceVersion, long maxWaitMicros) implements Effect {
    }

    /**
     * Leave the discovery call open beside the next ones. The connection of whichever call is answered first
     * stays in use. Only some of the calls that were set aside stay open.
     */
    record SetDiscoveryCallAside() implements Effect {
    }

    /** Cancel the current discovery call, but not those that were set aside. */
    record CancelDiscoveryCall() implements Effect {
    }

    /** Cancel the discovery calls that were set aside. */
    record CancelDiscoveryCallsAside() implements Effect {
    }

    /**
     * Close the connection of a client without an open request; a partly received request is answered with a
     * timeout.
     */
    record CloseClient(long client) implements Effect {
    }

    /** Refuse a partly received request and close its client's connection; retrying it is harmless. */
    record RefusePartialRequest(long client) implements Effect {
    }

    /** Reject a request whose id belongs to an open request; the open request is not affected. */
    record RejectDuplicate(long client) implements Effect {
    }

    /** Close the connections of all clients without an open request. */
    record CloseIdleClients() implements Effect {
    }

    /** Answer an operator's command. */
    record AnswerCommand(long caller, boolean accepted, String text) implements Effect {
    }

    /** Answer an operator's command with the statistics. */
    record AnswerStatistics(long caller, RouterStatistics statistics) implements Effect {
    }

    /** Store an operator override and send it to this router's other processes. */
    record PublishOverride(String server, OperatorOverride override) implements Effect {
    }

    /** Send a message to this router's other generations. */
    record SendToGenerations(GenerationMessage message) implements Effect {
    }

    /** Send this generation's state to the one that takes over. */
    record SendGenerationState(GenerationState state) implements Effect {
    }

    /** Report a step in the life of a request, for the log. */
    record ReportTransition(RequestTransition transition) implements Effect {
    }

    /** Write a log line. */
    record Log(String message) implements Effect {
    }

    /** No request is open any more: stop the process. */
    record Stop() implements Effect {
    }
}
