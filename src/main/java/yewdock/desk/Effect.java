package yewdock.desk;

import java.nio.ByteBuffer;

/** An output of the reducer, carried out by the transport. All times are in microseconds. */
public sealed interface Effect {
    /** Open a connection to a server. */
    record OpenLine(long line, String address) implements Effect {
    }

    /**
     * Send the client's request over an established server connection. The server is told how long the router
     * waits.
     */
    record SendTry(long line, long client, long patience) implements Effect {
    }

    /** Close a server connection at once; {@link Event.LineDown} reports that it is closed. */
    record CloseLine(long line) implements Effect {
    }

    /** Stop reading from a server connection, or resume reading. */
    record HoldLine(long line, boolean held) implements Effect {
    }

    /** Forward a part of the stream to the client; the first part starts the response. */
    record PassOn(long client, ByteBuffer bytes) implements Effect {
    }

    /** Finish a complete response. */
    record EndAnswer(long client) implements Effect {
    }

    /**
     * Close the client's connection without finishing its response, so that the client sees it as incomplete.
     */
    record CutOff(long client) implements Effect {
    }

    /** Refuse a request. Retrying it is harmless, after the given delay if that is not 0. */
    record Refuse(long client, long retryAfter) implements Effect {
    }

    /** Report to a client that its request has failed. */
    record Fail(long client) implements Effect {
    }

    /**
     * Call discovery at this address for changes since a list version, with a long poll of the given length;
     * version -1 asks for the whole list.
     */
    record AskList(String address, long since, long longest) implements Effect {
    }

    /**
     * Leave the discovery call open beside the next one. The connection of whichever call is answered first
     * stays in use. A call that was set aside earlier is cancelled.
     */
    record SetListCallAside() implements Effect {
    }

    /** Cancel the current discovery call, but not the one that was set aside. */
    record HangUpList() implements Effect {
    }

    /**
     * Close the connection of a client without an open request; a partly received request is answered with a
     * timeout.
     */
    record CloseClient(long client) implements Effect {
    }

    /** Reject a request whose id belongs to an open request; the open request is not affected. */
    record TurnDownTwin(long client) implements Effect {
    }

    /** Close the connections of all clients without an open request. */
    record CloseIdleClients() implements Effect {
    }

    /** Answer an operator's command. */
    record AnswerCall(long caller, boolean yes, String text) implements Effect {
    }

    /** Answer an operator's command with the statistics. */
    record AnswerFigures(long caller, Figures figures) implements Effect {
    }

    /** Store an operator override and send it to this router's other processes. */
    record MarkChanged(String box, BoxMark mark) implements Effect {
    }

    /** Send a message to this router's other generations. */
    record TellOthers(OtherNews news) implements Effect {
    }

    /** Send this generation's state to the one that takes over. */
    record ShareOut(Holdings held) implements Effect {
    }

    /** Write a log line. */
    record Log(String line) implements Effect {
    }

    /** No request is open any more: stop the process. */
    record Stop() implements Effect {
    }
}
