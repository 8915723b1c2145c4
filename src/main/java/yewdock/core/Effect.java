package yewdock.core;

import java.nio.ByteBuffer;

/** All that the desk can ask for. Times are microseconds. */
public sealed interface Effect {
    /** Connect to a box. */
    record OpenServerConnection(long connection, String address) implements Effect {
    }

    /** Send the client's request over a line that is up; the box is told how long the router waits. */
    record SendAttempt(long connection, long client, long timeoutMicros) implements Effect {
    }

    /** Close a line at once; {@link Event.ServerDisconnected} tells when it is closed. */
    record CloseServerConnection(long connection) implements Effect {
    }

    /** Stop reading from a box, or go on. */
    record PauseReading(long connection, boolean paused) implements Effect {
    }

    /** Pass a piece of a stream on; the first begins the answer. */
    record ForwardChunk(long client, ByteBuffer bytes) implements Effect {
    }

    /** End an answer that is whole. */
    record EndResponse(long client) implements Effect {
    }

    /** End the client's connection, with no end of its answer. */
    record AbortResponse(long client) implements Effect {
    }

    /** Turn a request away: trying again is harmless, after retryAfter if that is not 0. */
    record Refuse(long client, long retryAfterMicros) implements Effect {
    }

    /** Tell a client that its request has failed. */
    record Fail(long client) implements Effect {
    }

    /** Call there for what is newer than this version, waiting so long for it; -1: for the whole list. */
    record CallDiscovery(String address, long sinceVersion, long maxWaitMicros) implements Effect {
    }

    /**
     * Leave the call for the list open beside the next one: the first answer of the two counts, and its
     * connection is the one that goes on. A call that was set aside before is given up.
     */
    record SetDiscoveryCallAside() implements Effect {
    }

    /** Give up the call for the list, but not the one that was set aside. */
    record CancelDiscoveryCall() implements Effect {
    }

    /** Close the connection of a client that has no request open; half a request is answered as late. */
    record CloseClient(long client) implements Effect {
    }

    /** Turn down a request that has the id of one that is open: that one is untouched. */
    record RejectDuplicate(long client) implements Effect {
    }

    /** Close the connections of clients that have no request open. */
    record CloseIdleClients() implements Effect {
    }

    /** Answer an operator's call. */
    record AnswerCommand(long caller, boolean accepted, String text) implements Effect {
    }

    /** Answer an operator's call with the figures. */
    record AnswerStatistics(long caller, RouterStatistics statistics) implements Effect {
    }

    /** An operator has said something of a box: keep it, and tell this router's other processes. */
    record PublishOverride(String server, OperatorOverride override) implements Effect {
    }

    /** Tell this router's other generations. */
    record SendToGenerations(GenerationMessage message) implements Effect {
    }

    /** Tell the generation that takes over what this one holds. */
    record SendGenerationState(GenerationState state) implements Effect {
    }

    /** A line for the operator. */
    record Log(String message) implements Effect {
    }

    /** Nothing is owed any more: stop the program. */
    record Stop() implements Effect {
    }
}
