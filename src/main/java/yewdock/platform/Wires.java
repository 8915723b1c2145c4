package yewdock.platform;

import java.util.function.Function;

/** The transport. */
public interface Wires {
    /** Begins to connect; the side is told when the connection is up or down. */
    <S extends Side> S connect(String address, Function<Wire, S> makeSide);

    /** Writes out what is still to be written, and ends the program. */
    void stop();
}
