package yewdock.platform;

import java.util.function.Function;

/** Opens connections and stops the program; implemented over sockets, and by fakes in tests. */
public interface Transport {
    /** Starts to connect to a server and returns the new handler, which is told of success or failure. */
    <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeHandler);

    /** The same for a discovery connection, whose events are handled before all others that are queued. */
    default <S extends ConnectionHandler> S connectToDiscovery(String address,
            Function<Connection, S> makeHandler) {
        return connect(address, makeHandler);
    }

    /** Writes what is still queued and ends the program. */
    void stop();
}
