package yewdock.sockets;

import java.util.concurrent.Semaphore;

/** How many more connections may be accepted. */
final class ConnectionRoom extends Semaphore {
    private static final long serialVersionUID = 1;

    ConnectionRoom(int permits) {
        super(permits);
    }

    /** Takes room away, whether or not it is free now. */
    void shrink(int permits) {
        reducePermits(permits);
    }
}
