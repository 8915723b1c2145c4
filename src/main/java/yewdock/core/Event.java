package yewdock.core;

import java.nio.ByteBuffer;
import java.util.Map;
import umberspread.Routing;

/** All that can happen to the desk. Clients and lines to boxes go by numbers. */
public sealed interface Event {
    /** The router is up; this is the list as it was last held, and where news of it is to be had. */
    record Started(EndpointList endpointList, String discoveryAddress) implements Event {
    }

    /** A new configuration says that the list is to be had here. */
    record DiscoveryAddressChanged(String address) implements Event {
    }

    /** A client has connected. */
    record ClientConnected(long client) implements Event {
    }

    /** The first byte of a client's request has come. */
    record ClientRequestStarted(long client) implements Event {
    }

    /** A client has had its answer, and its connection stays. */
    record ClientIdle(long client) implements Event {
    }

    /** A client's request has come in whole. */
    record RequestReceived(long client, ModelRequest request) implements Event {
    }

    /** The client's connection is gone. */
    record ClientDisconnected(long client) implements Event {
    }

    /** Bytes passed on to the client have left. */
    record ClientBytesWritten(long client, int bytes) implements Event {
    }

    /** The connection to a box is made. */
    record ServerConnected(long connection) implements Event {
    }

    /**
     * What was written to this line was too late to be begun, and none of it has gone out: the process stood
     * still since it was decided. The connection closes, through no fault of the box.
     */
    record AttemptNotStarted(long connection) implements Event {
    }

    /** The connection to a box is truly closed, or was never made. */
    record ServerDisconnected(long connection) implements Event {
    }

    /** The last byte of a try has been written to its line. */
    record AttemptWritten(long connection) implements Event {
    }

    /** An answer has begun to come, and neither it nor its first event is whole yet. */
    record ResponseStarted(long connection) implements Event {
    }

    /** What came over a line can't be read: the rest of it is of no use. */
    record ResponseMalformed(long connection) implements Event {
    }

    /** A piece of a box's stream. */
    record ResponseChunk(long connection, ByteBuffer bytes) implements Event {
    }

    /** A box's answer is whole. report may be null; reusable tells whether the line can take another try. */
    record ResponseCompleted(long connection, Routing.Outcome outcome, boolean reusable, long cachedTokens,
            Routing.LoadReport loadReport) implements Event {
    }

    /** The box list has answered. */
    record EndpointListReceived(EndpointList list) implements Event {
    }

    /** The connection to discovery broke, or was not made: it may be another process that answers next. */
    record DiscoveryConnectionLost() implements Event {
    }

    /** A call for the list that was set aside is answered, after the one that was made anew beside it. */
    record LateEndpointListReceived(EndpointList list) implements Event {
    }

    /** A call for the box list has failed. */
    record DiscoveryCallFailed() implements Event {
    }

    /**
     * The agreed rules may be acted by until then; past that this router is in doubt and takes nothing new.
     * A client that is refused for it is told to come back after so long; 0: no advice.
     */
    record LeaseGranted(long untilMicros, long retryAfterMicros) implements Event {
    }

    /** The process stood still for about so long, and did nothing meanwhile. */
    record ProcessResumed(long pausedMicros) implements Event {
    }

    /** Another router acts on a newer box list than this one. */
    record EndpointListOutdated() implements Event {
    }

    /** Another generation of this router is about to take over: it owns the ids from now on. */
    record HandoverStarted() implements Event {
    }

    /** What another generation holds; it takes the place of what was known of that one. */
    record GenerationStateReceived(int generation, GenerationState state) implements Event {
    }

    /** Another generation tells something. */
    record GenerationMessageReceived(int generation, GenerationMessage message) implements Event {
    }

    /** Another generation has ended, and what it had out with it. */
    record GenerationGone(int generation) implements Event {
    }

    /** Another generation serves: no new connections come, the rest ends by itself or after so long. */
    record HandedOver(long limitMicros) implements Event {
    }

    /** The generation that was to take over is gone: this one owns the ids and serves as before. */
    record HandoverAborted() implements Event {
    }

    /** What the list tells is to be told on from now on, for somebody keeps it. */
    record EndpointListRelayEnabled() implements Event {
    }

    /** All the operators' marks that hold from now on, by the boxes' names. */
    record OverridesReplaced(Map<String, OperatorOverride> overrides) implements Event {
    }

    /** An operator has called; box is the name that the call says, or "". */
    record OperatorCommandReceived(long caller, OperatorCommand command, String server) implements Event {
    }

    /** Another process of this router was told something of a box, which holds here too. */
    record OverrideChanged(String server, OperatorOverride override) implements Event {
    }

    /** An older process of this router is there, or no more. */
    record OlderGenerationChanged(OlderGeneration older) implements Event {
    }

    /** The router is to leave. */
    record ShutdownRequested() implements Event {
    }

    /** A time for which a timer was set has come. */
    record Tick() implements Event {
    }
}
