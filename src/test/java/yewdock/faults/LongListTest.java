package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against OutOfMemoryError from endpoint lists that are short, and large once they are parsed. */
@Timeout(60)
class LongListTest {
    private static final int LIST_BYTES = 4_000_000;
    private static final int CLIENT_COUNT = 8;
    private static final int REQUESTS_PER_CLIENT = 40;
    private static final long PAUSE_MILLIS = 50;
    private static final int MIN_SERVED = CLIENT_COUNT * REQUESTS_PER_CLIENT * 9 / 10;

    @TempDir
    private Path folder;

    /** A discovery service whose lists have very many values. */
    private static final class LongLists implements Closeable {
        private final ServerSocket listener;
        private final AtomicInteger answered = new AtomicInteger();

        LongLists() throws IOException {
            listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
            Thread thread = new Thread(this::serve, "long lists");
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void serve() {
            byte[] response = response();
            while (!listener.isClosed()) {
                try (Socket socket = listener.accept()) {
                    BufferedReader lines = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                            StandardCharsets.US_ASCII));
                    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                        if (line.isEmpty()) {
                            answered.incrementAndGet();
                            socket.getOutputStream().write(response);
                        }
                    }
                } catch (IOException e) {
                    // the router has closed the connection, or the test is over
                }
            }
        }

        private static byte[] response() {
            String values = "[],".repeat(LIST_BYTES / 3) + "[]";
            String body = "{\"version\":200,\"full\":true,\"servers\":[" + values + "]}";
            return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.US_ASCII);
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    @Test
    void requestsAreServedWhileListsAreTooLong() throws Exception {
        try (LongLists discovery = new LongLists();
                FaultRig rig = new FaultRig(folder, false, 1_000, 1, 4,
                        configuration -> configuration.replace("127.0.0.1:8500", discovery.address()))) {
            RequestSequences requests = new RequestSequences(CLIENT_COUNT, REQUESTS_PER_CLIENT, PAUSE_MILLIS);
            requests.run(rig);
            requests.assertServed(rig, MIN_SERVED);
            assertTrue(discovery.answered.get() > 0, "no list was asked for");
            assertFalse(rig.logs().contains("OutOfMemoryError"), rig.logs());
        }
    }
}
