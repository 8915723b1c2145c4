package yewdock.sockets;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.Executor;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/** Accepts a connection only when there is room for it; until then it waits in the system's queue. */
final class BoundedAcceptor extends NioSocketAcceptor {
    private static final int BACKLOG = 512;

    private final IoProcessor<NioSession> processor;
    private final ConnectionRoom room;
    private final Lingering lingering;
    /** Whether another process may listen at the same address, each with a queue of its own. */
    private volatile boolean shares;
    // set by init, which the constructor above this one calls: no initial value may wipe it out
    private KnownSelectors selectors;
    private volatile ServerSocketChannel shared;

    BoundedAcceptor(Executor threads, IoProcessor<NioSession> processor, ConnectionRoom room,
            Lingering lingering) {
        super(threads, processor);
        this.processor = processor;
        this.room = room;
        this.lingering = lingering;
        setReuseAddress(true);
        setBacklog(BACKLOG);
    }

    /** Another process may listen at the same address from now on. */
    void shareAddress() {
        shares = true;
        // MINA would end every connection with the listener
        setCloseOnDeactivation(false);
    }

    /**
     * Connections are taken from a listener that others may take them from too. It is ours to stop with,
     * never to close: what waits in its queue is for whoever accepts next.
     */
    void use(ServerSocketChannel listener) {
        shared = listener;
        setCloseOnDeactivation(false);
    }

    @Override
    protected void init(SelectorProvider none) throws Exception {
        selectors = new KnownSelectors();
        super.init(selectors);
    }

    @Override
    protected ServerSocketChannel open(SocketAddress address) throws Exception {
        if (shares) {
            ServerSocketChannel beside = ServerSocketChannel.open();
            try {
                beside.configureBlocking(false);
                beside.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                beside.setOption(StandardSocketOptions.SO_REUSEPORT, true);
                beside.bind(address, BACKLOG);
                beside.register(selectors.made(), SelectionKey.OP_ACCEPT);
            } catch (IOException | RuntimeException e) {
                beside.close();
                throw e;
            }
            return beside;
        }
        if (shared == null) {
            return super.open(address);
        }
        // a key cancelled by an earlier stop must be gone before the listener is registered anew
        selectors.made().selectNow();
        shared.configureBlocking(false);
        shared.register(selectors.made(), SelectionKey.OP_ACCEPT);
        return shared;
    }

    /** Closing a shared listener would take the descriptors of standard output along, too. */
    @Override
    protected void close(ServerSocketChannel listening) throws Exception {
        if (listening != shared) {
            takeAllThatWait(listening);
            super.close(listening);
            return;
        }
        SelectionKey key = listening.keyFor(selectors.made());
        if (key != null) {
            key.cancel();
        }
        selectors.made().wakeup();
    }

    /** Connections in the queue are made as far as their clients know: closing would reset them. */
    private void takeAllThatWait(ServerSocketChannel listening) throws Exception {
        selectors.made().selectNow();
        for (NioSession session = accept(processor, listening); session != null;
                session = accept(processor, listening)) {
            initSession(session, null, null);
            session.getProcessor().add(session);
            selectors.made().selectNow();
        }
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> reader, ServerSocketChannel listening)
            throws Exception {
        if (!room.tryAcquire()) {
            lingering.makeRoom();
            room.acquire();
        }
        NioSession session = null;
        try {
            // null, where another process was quicker to take the connection
            session = super.accept(reader, listening);
        } finally {
            if (session == null) {
                room.release();
            }
        }
        return session;
    }
}
