package yewdock.testbed;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Reserves ports for listeners that another process opens, or that are closed and opened again. The ports are
 * below the range from which the kernel assigns local ports to outgoing connections and to listeners on
 * port 0, and none is returned twice, so nothing else in a test run takes one while nobody listens on it.
 */
public final class ListenPorts {
    private static final int FIRST_PORT = 10_240;
    /** The first port of the kernel's default range, see {@code net.ipv4.ip_local_port_range}. */
    private static final int END_PORT = 32_768;
    /** Starts at random, since other processes on the machine may reserve ports the same way. */
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(END_PORT - FIRST_PORT));

    private ListenPorts() {
    }

    /** Returns a loopback port on which nobody listens; throws BindException if none is free. */
    public static int reserve() throws IOException {
        for (int attempt = FIRST_PORT; attempt < END_PORT; attempt++) {
            int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), END_PORT - FIRST_PORT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new BindException("no port from " + FIRST_PORT + " to " + (END_PORT - 1) + " is free");
    }

    /** Returns a listener on such a port, which stays the test's own while it is closed and opened again. */
    public static ServerSocket listen(int backlog) throws IOException {
        for (int attempt = FIRST_PORT; attempt < END_PORT; attempt++) {
            try {
                return new ServerSocket(reserve(), backlog, InetAddress.getByName("127.0.0.1"));
            } catch (BindException e) {
                // another process has taken it since
            }
        }
        throw new BindException("no port from " + FIRST_PORT + " to " + (END_PORT - 1) + " can be bound");
    }

    private static boolean isFree(int port) throws IOException {
        try (ServerSocket listener = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
            return listener.isBound();
        } catch (BindException e) {
            return false;
        }
    }
}
