package yewdock.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.channels.AsynchronousCloseException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class AcceptLoopTest {
    /** Guards against a loop that ends for good after one failed accept. */
    @Test
    void acceptsAfterFailuresUntilTheListenerIsClosed() throws IOException {
        try (SocketChannel first = SocketChannel.open(); SocketChannel second = SocketChannel.open()) {
            Iterator<Object> results = List.<Object>of(new IOException("Too many open files"), first,
                    new IOException("Software caused connection abort"), second).iterator();
            List<SocketChannel> accepted = new ArrayList<>();
            new AcceptLoop(() -> {
                if (!results.hasNext()) {
                    throw new AsynchronousCloseException();
                }
                Object result = results.next();
                if (result instanceof IOException failure) {
                    throw failure;
                }
                return (SocketChannel) result;
            }, "test.failed", accepted::add).run();
            assertEquals(List.of(first, second), accepted);
        }
    }
}
