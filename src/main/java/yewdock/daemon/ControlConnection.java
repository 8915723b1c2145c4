package yewdock.daemon;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import yewdock.wire.Frame;

/**
 * A connection over a Unix control socket: between supervisor and generation, or with an operator's command.
 */
public final class ControlConnection extends FramedConnection<Frame> {
    /** Largest frame in bytes; a state with thousands of servers takes under 1 MiB. */
    private static final int MAX_FRAME_BYTES = 32 << 20;
    private static final int MAX_QUEUED_FRAMES = 20_000;
    private static final long MAX_QUEUED_BYTES = 64 << 20;

    ControlConnection(SocketChannel channel) {
        super(channel, Frame.parser(), MAX_FRAME_BYTES, MAX_QUEUED_FRAMES, MAX_QUEUED_BYTES, 0);
    }

    /** Connects to the control socket in this folder. */
    public static ControlConnection inFolder(Path folder) throws IOException {
        try {
            return connectTo(socketIn(folder));
        } catch (IOException e) {
            throw new IOException("no daemon listens at " + socketIn(folder) + ": " + e.getMessage(), e);
        }
    }

    /** Connects to the socket at this path; throws IOException if nobody listens there. */
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

    /** The path of the control socket in this folder. */
    static Path socketIn(Path folder) {
        return folder.resolve("control.sock");
    }
}
