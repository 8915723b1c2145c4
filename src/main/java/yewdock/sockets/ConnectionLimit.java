package yewdock.sockets;

import java.util.concurrent.Semaphore;

/** Limits the number of accepted connections; its permits are the connections that may still be accepted. */
final class ConnectionLimit extends Semaphore {
    private static final long serialVersionUID = 1;

    ConnectionLimit(int permits) {
        super(permits);
    }

    /** Removes permits, also such as are in use now. */
    void shrink(int permits) {
        reducePermits(permits);
    }
}
