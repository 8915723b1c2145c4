package yewdock.daemon;

import java.nio.ByteBuffer;
import yewdock.platform.Wire;

/** A {@link Wire} without a socket: it discards what is written to it, and closing it has no effect. */
class NoWire implements Wire {
    @Override
    public void write(ByteBuffer bytes) {
        // discarded
    }

    @Override
    public void close() {
        // no socket to close
    }

    @Override
    public void closeAfterWriting() {
        close();
    }

    @Override
    public boolean hasUnheard() {
        return false;
    }

    @Override
    public boolean closeUnlessUnheard() {
        close();
        return true;
    }

    @Override
    public void linger() {
        close();
    }

    @Override
    public void hold(boolean held) {
        // nothing is received, so there is nothing to hold back
    }
}
