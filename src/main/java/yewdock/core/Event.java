package yewdock.core;

import java.nio.ByteBuffer;
import java.util.Map;
import umberspread.Routing;

/**
 * An input of the reducer. Client and server connections are identified by numbers; all times are in
 * microseconds.
 */
public sealed interface Event {
    /**
     * The router has started, with the last endpoint list that was stored and the address of the discovery
     * service. If it awaits confirmation, an earlier process may have received a drain that is not in the
     * list, which is used only once discovery has answered or can't be reached.
     */
    record Started(EndpointList endpointList, String discoveryAddress, boolean awaitsConfirmation)
            implements Event {
        public Started(EndpointList endpointList, String discoveryAddress) {
            this(endpointList, discoveryAddress, false);
        }
    }

    /** A new configuration names another discovery address. */
    record DiscoveryAddressChanged(String address) implements Event {
    }

    /** A client has connected. */
    record ClientConnected(long client) implements Event {
    }

    /** The first byte of a client's request has been received. */
    record ClientRequestStarted(long client) implements Event {
    }

    /** A client's response has been written in full and its connection stays open. */
    record ClientIdle(long client) implements Event {
    }

    /** A client's request has been received in full. */
    record RequestReceived(long client, ModelRequest request) implements Event {
    }

    /** The client's connection has closed. */
    record ClientDisconnected(long client) implements Event {
    }

    /** Part of a response has been written to the client's connection, and this much memory has not. */
    record ClientBytesWritten(long client, int unwrittenBytes) implements Event {
    }

    /** A connection to a server has been established. */
    record ServerConnected(long connection) implements Event {
    }

    /**
     * The attempt written to this server connection was dropped before any byte of it went out, because the
     * process was paused after the decision to send it. The connection closes, which doesn't count against
     * the server.
     */
    record AttemptNotStarted(long connection) implements Event {
    }

    /** The connection to a server has closed, or could not be established. */
    record ServerDisconnected(long connection) implements Event {
    }

    /** The last byte of an attempt has been written to its server connection. */
    record AttemptWritten(long connection) implements Event {
    }

    /** Bytes of a response have arrived that complete neither its head and first event nor a later part. */
    record ResponseProgressed(long connection) implements Event {
    }

    /** The data received on a server connection can't be parsed; the rest of it is ignored. */
    record ResponseMalformed(long connection) implements Event {
    }

    /** A part of a server's response stream. */
    record ResponseChunk(long connection, ByteBuffer bytes) implements Event {
    }

    /**
     * A server's response is complete. The load report is null if the response carries none; reusable tells
     * whether the connection can take another attempt.
     */
    record ResponseCompleted(long connection, Routing.Outcome outcome, boolean reusable, long cachedTokens,
            Routing.LoadReport loadReport) implements Event {
    }

    /**
     * The discovery service has answered with an endpoint list, {@code delayMicros} after the call or, where
     * the call was a long poll, after the end of its wait; 0 for an answer within the wait.
     */
    record EndpointListReceived(EndpointList list, long delayMicros) implements Event {
        /** An answer without delay. */
        public EndpointListReceived(EndpointList list) {
            this(list, 0);
        }
    }

    /**
     * The discovery connection broke or could not be established. The next response may come from another
     * discovery process.
     */
    record DiscoveryConnectionLost() implements Event {
    }

    /**
     * A discovery call that was set aside has been answered, after a call that was made in its place; the
     * delay is that of {@link EndpointListReceived}.
     */
    record LateEndpointListReceived(EndpointList list, long delayMicros) implements Event {
    }

    /** A discovery call has failed. */
    record DiscoveryCallFailed() implements Event {
    }

    /**
     * The router holds a lease on the agreed rules until this time; after that it is in doubt and takes no
     * new requests. The second value is the retry delay for clients that are refused in doubt; 0 gives none.
     */
    record LeaseGranted(long untilMicros, long retryAfterMicros) implements Event {
    }

    /** The process was paused for about this long and handled nothing meanwhile. */
    record ProcessResumed(long pausedMicros) implements Event {
    }

    /** Another router instance uses a newer endpoint list than this one. */
    record EndpointListOutdated() implements Event {
    }

    /** Another generation of this router is about to take over and owns the request ids from now on. */
    record HandoverStarted() implements Event {
    }

    /** The full state of another generation; it replaces all that was known of that generation. */
    record GenerationStateReceived(int generation, GenerationState state) implements Event {
    }

    /** A message from another generation. */
    record GenerationMessageReceived(int generation, GenerationMessage message) implements Event {
    }

    /** Another generation has ended, and with it its attempts in flight. */
    record GenerationGone(int generation) implements Event {
    }

    /**
     * Another generation now accepts the new connections. This one finishes its open requests, at most until
     * the time limit.
     */
    record HandedOver(long limitMicros) implements Event {
    }

    /**
     * The generation that was to take over has ended: this one owns the request ids and serves as before.
     */
    record HandoverAborted() implements Event {
    }

    /**
     * Endpoint lists are to be sent on to the other processes from now on, because one of them stores them.
     */
    record EndpointListRelayEnabled() implements Event {
    }

    /** All operator overrides that hold from now on, by server name. */
    record OverridesReplaced(Map<String, OperatorOverride> overrides) implements Event {
    }

    /** An operator has sent a command; the server name is "" if the command carries none. */
    record OperatorCommandReceived(long caller, OperatorCommand command, String server) implements Event {
    }

    /** Another process of this router has recorded an operator override, which holds here too. */
    record OverrideChanged(String server, OperatorOverride override) implements Event {
    }

    /** The state of this router's older process has changed. */
    record OlderGenerationChanged(OlderGeneration older) implements Event {
    }

    /** The router is to shut down. */
    record ShutdownRequested() implements Event {
    }

    /** A timer is due. */
    record Tick() implements Event {
    }
}
