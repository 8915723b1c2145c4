package yewdock.platform;

import java.nio.ByteBuffer;

/** A {@link Connection} without a socket: it discards what is written to it, and closing it has no effect. */
public class NoOpConnection implements Connection {
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
    public boolean hasUndelivered() {
        return false;
    }

    @Override
    public boolean closeUnlessUndelivered() {
        close();
        return true;
    }

    @Override
    public void closeLingering() {
        close();
    }

    @Override
    public void setReadingPaused(boolean held) {
        // nothing is received, so there is nothing to hold back
    }
}
