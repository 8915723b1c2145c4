package yewdock.platform;

import java.util.function.Function;

/** Opens connections and stops the program; implemented over sockets, and by fakes in tests. */
public interface Transport {
    /** Starts to connect to a server; the handler is told when that has succeeded or failed. */
    <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeSide);

    /** The same for a discovery connection, whose events are handled before all others that are queued. */
    default <S extends ConnectionHandler> S connectToDiscovery(String address, Function<Connection,
            S> makeSide) {
        return connect(address, makeSide);
    }

    /** Writes what is still queued and ends the program. */
    void stop();
}
