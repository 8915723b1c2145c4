package yewdock.daemon;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import yewdock.wire.Frame;

/** A connection of the control socket. */
public final class ControlConnection extends FramedConnection<Frame> {
    /** The largest frame: a state with thousands of boxes takes under 1 MiB. */
    private static final int MOST_FRAME = 32 << 20;
    private static final int MOST_WAITING = 20_000;

    ControlConnection(SocketChannel channel) {
        super(channel, Frame.parser(), MOST_FRAME, MOST_WAITING, 0);
    }

    /** Connects to the control socket in this folder. */
    public static ControlConnection inFolder(Path control) throws IOException {
        try {
            return connectTo(socketIn(control));
        } catch (IOException e) {
            throw new IOException("no daemon answers at " + socketIn(control) + ": " + e.getMessage(), e);
        }
    }

    /** Connects to the socket at this path; throws IOException where nobody listens. */
    static ControlConnection connectTo(Path socket) throws IOException {
        SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX);
        try {
            channel.connect(UnixDomainSocketAddress.of(socket));
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
        return new ControlConnection(channel);
    }

    static Path socketIn(Path control) {
        return control.resolve("control.sock");
    }
}
