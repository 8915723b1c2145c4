package yewdock.testbed;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for listeners that another process opens, or that are closed and opened again. They lie below the
 * range from which the kernel takes the local ports of outgoing connections and of listeners on port 0, and
 * none is handed out twice, so that nothing else of a test run takes one while nobody listens on it.
 */
public final class ListenPorts {
    private static final int FIRST = 10_240;
    /** Where the kernel's own range begins by default, see {@code net.ipv4.ip_local_port_range}. */
    private static final int END = 32_768;
    /** Starts anywhere, since other programs on the machine may reserve ports the same way. */
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(END - FIRST));

    private ListenPorts() {
    }

    /** Returns a port of the loopback address on which nobody listens. */
    public static int reserve() throws IOException {
        for (int tried = FIRST; tried < END; tried++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), END - FIRST);
            if (isFree(port)) {
                return port;
            }
        }
        throw new BindException("no port from " + FIRST + " to " + (END - 1) + " is free");
    }

    private static boolean isFree(int port) throws IOException {
        try (ServerSocket listener = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
            return listener.isBound();
        } catch (BindException e) {
            return false;
        }
    }
}
