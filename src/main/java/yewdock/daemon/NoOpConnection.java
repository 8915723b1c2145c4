package yewdock.daemon;

import java.nio.ByteBuffer;
import yewdock.platform.Connection;

/** A connection that is none: what is written to it goes nowhere, and closing it closes nothing. */
class NoOpConnection implements Connection {
    @Override
    public void write(ByteBuffer bytes) {
        // nobody reads it
    }

    @Override
    public void close() {
        // there is nothing to close
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
        // never full
    }
}
