package yewdock.sockets;

import java.io.IOException;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA reads a connection until nothing is left, and forgets what that brought when the last of these
 * reads fails: a stream's end, or a list, behind which its sender has reset the connection. Here they are
 * passed on, and the connection is closed behind them.
 */
final class WholeReads extends NioProcessor {
    WholeReads(Executor threads) {
        super(threads);
    }

    @Override
    protected int read(NioSession session, IoBuffer into) throws Exception {
        try {
            return super.read(session, into);
        } catch (IOException e) {
            if (into.position() == 0) {
                throw e;
            }
            // handled by this thread once what came is passed on
            session.closeNow();
            return 0;
        }
    }
}
