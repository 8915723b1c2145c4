package yewdock.platform;

import java.util.function.Function;

/** The transport. */
public interface Transport {
    /** Begins to connect; the side is told when the connection is up or down. */
    <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeSide);

    /** The same for a connection to discovery: what comes over it goes before all else that waits. */
    default <S extends ConnectionHandler> S connectToDiscovery(String address, Function<Connection,
            S> makeSide) {
        return connect(address, makeSide);
    }

    /** Writes out what is still to be written, and ends the program. */
    void stop();
}
