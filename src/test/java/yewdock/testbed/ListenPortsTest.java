package yewdock.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks that reserved ports cannot collide with ports that the kernel assigns or others use. */
class ListenPortsTest {
    private static final Path KERNEL_RANGE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    private static final int RESERVED = 200;

    @Test
    void reservedPortIsOutsideTheKernelRange() throws IOException {
        int port = ListenPorts.reserve();
        int kernelFirst = firstKernelPort();
        assertTrue(port < kernelFirst, port + " is in the kernel's range, which begins at " + kernelFirst);
    }

    private static int firstKernelPort() throws IOException {
        // the kernel returns the line to the first read only, so the buffer must hold all of it
        try (BufferedReader reader = Files.newBufferedReader(KERNEL_RANGE)) {
            return Integer.parseInt(reader.readLine().strip().split("\\s+")[0]);
        }
    }

    @Test
    void reservesNoPortTwice() throws IOException {
        Set<Integer> ports = new HashSet<>();
        for (int i = 0; i < RESERVED; i++) {
            ports.add(ListenPorts.reserve());
        }
        assertEquals(RESERVED, ports.size());
    }

    @Test
    void skipsPortInUse() throws IOException {
        int port = ListenPorts.reserve();
        try (ServerSocket taken = new ServerSocket(port + 1, 1, InetAddress.getByName("127.0.0.1"))) {
            assertNotEquals(taken.getLocalPort(), ListenPorts.reserve());
        } catch (BindException e) {
            // another process uses the port, which serves the test as well
            assertNotEquals(port + 1, ListenPorts.reserve());
        }
    }
}
