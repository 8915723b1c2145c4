package yewdock.sockets;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.mina.core.future.IoFuture;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.tinylog.Logger;

/**
 * Accepts connections up to a limit; more of them wait in the kernel's accept queue. Each session carries the
 * earliest time at which it may have come into that queue.
 */
final class BoundedAcceptor extends NioSocketAcceptor {
    private static final int BACKLOG = 512;
    /** The earliest time at which the session's connection may have been made, in microseconds. */
    private static final AttributeKey CONNECTED_SINCE =
            new AttributeKey(BoundedAcceptor.class, "connectedSince");
    /** Pause after a failed accept; the connection stays in the queue, and descriptors may be freed. */
    private static final long RETRY_MILLIS = 5;
    /** How often accepting may fail while the queue of a listener that closes is emptied. */
    private static final int MAX_FAILURES_AT_CLOSE = 100;
    private static final long LOG_INTERVAL_NANOS = 1_000_000_000;

    private final IoProcessor<NioSession> processor;
    private final ConnectionLimit limit;
    private final LingeringClose lingering;
    private final LongSupplier clock;
    private final AcceptQueueTimes queueTimes = new AcceptQueueTimes(BACKLOG);
    /** Whether other processes may listen on the same address (SO_REUSEPORT), each with its own queue. */
    private volatile boolean sharesAddress;
    // set in init(), which the superclass's constructor calls: an initializer here would overwrite it
    private CapturingSelectorProvider selectorProvider;
    private volatile ServerSocketChannel externalListener;
    private volatile boolean lastAcceptFailed;
    /** The earliest time at which the last accepted connection may have been made. */
    private long lastConnectedSince;
    /** Failed accepts since the last line about them, and when that was written. */
    private int failures;
    private long failureLoggedNanos = System.nanoTime() - LOG_INTERVAL_NANOS;

    BoundedAcceptor(Executor executor, IoProcessor<NioSession> processor, ConnectionLimit limit,
            LingeringClose lingering, LongSupplier clock) {
        super(executor, processor);
        this.processor = processor;
        this.limit = limit;
        this.lingering = lingering;
        this.clock = clock;
        setReuseAddress(true);
        setBacklog(BACKLOG);
    }

    /** Lets other processes listen on the same address. To be called before binding. */
    void shareAddress() {
        sharesAddress = true;
        // otherwise MINA closes all connections together with the listener
        setCloseOnDeactivation(false);
    }

    /**
     * Accepts from a listener that other processes accept from, too. The acceptor may stop accepting, but
     * never closes the listener: connections in its queue are left to the process that accepts next.
     */
    void useListener(ServerSocketChannel listener) {
        externalListener = listener;
        setCloseOnDeactivation(false);
    }

    @Override
    protected void init(SelectorProvider unused) throws Exception {
        selectorProvider = new CapturingSelectorProvider();
        super.init(selectorProvider);
    }

    @Override
    protected ServerSocketChannel open(SocketAddress address) throws Exception {
        if (sharesAddress) {
            ServerSocketChannel channel = ServerSocketChannel.open();
            try {
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
                channel.bind(address, BACKLOG);
                channel.register(selectorProvider.lastOpened(), SelectionKey.OP_ACCEPT);
            } catch (IOException | RuntimeException e) {
                channel.close();
                throw e;
            }
            return channel;
        }
        if (externalListener == null) {
            return super.open(address);
        }
        // a key that an earlier stop cancelled must be deregistered before the listener is registered again
        selectorProvider.lastOpened().selectNow();
        externalListener.configureBlocking(false);
        externalListener.register(selectorProvider.lastOpened(), SelectionKey.OP_ACCEPT);
        return externalListener;
    }

    /** Returns the earliest time at which an accepted session's connection may have been made. */
    static long connectedSince(IoSession session) {
        return (Long) session.getAttribute(CONNECTED_SINCE);
    }

    /** Waits for connections; the queue is empty up to the end of the wait, if there is one. */
    @Override
    protected int select() throws Exception {
        int ready = selectorProvider.lastOpened().selectNow();
        if (ready > 0) {
            return ready;
        }
        ready = super.select();
        queueTimes.queueEmptyUntil(clock.getAsLong());
        return ready;
    }

    /** Only deregisters an external listener: closing it would also close standard output's descriptors. */
    @Override
    protected void close(ServerSocketChannel listener) throws Exception {
        if (listener != externalListener) {
            acceptPending(listener);
            super.close(listener);
            return;
        }
        SelectionKey key = listener.keyFor(selectorProvider.lastOpened());
        if (key != null) {
            key.cancel();
        }
        selectorProvider.lastOpened().wakeup();
    }

    /** Accepts what is in the queue: for the clients, it is connected already and closing would reset it. */
    private void acceptPending(ServerSocketChannel listener) throws Exception {
        selectorProvider.lastOpened().selectNow();
        int failuresAtClose = 0;
        NioSession session = accept(processor, listener);
        while (session != null || lastAcceptFailed && ++failuresAtClose < MAX_FAILURES_AT_CLOSE) {
            if (session != null) {
                initSession(session, null, null);
                session.getProcessor().add(session);
            }
            selectorProvider.lastOpened().selectNow();
            session = accept(processor, listener);
        }
    }

    /**
     * Accepts one connection; null if there is none or accepting failed. MINA's own handling of a failure
     * would stop accepting for a second.
     */
    @Override
    protected NioSession accept(IoProcessor<NioSession> sessionProcessor, ServerSocketChannel listener)
            throws Exception {
        if (!limit.tryAcquire()) {
            lingering.closeOldest();
            limit.acquire();
        }
        NioSession session = null;
        lastAcceptFailed = false;
        try {
            // null if another process has accepted the connection first
            session = super.accept(sessionProcessor, listener);
            if (session != null) {
                lastConnectedSince = queueTimes.accepted(clock.getAsLong());
            }
        } catch (IOException e) {
            lastAcceptFailed = true;
            logFailure(e);
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        } finally {
            if (session == null) {
                limit.release();
            }
        }
        return session;
    }

    /** Called after each accept, on the same thread: a session has no attributes before. */
    @Override
    protected void finishSessionInitialization0(IoSession session, IoFuture future) {
        session.setAttribute(CONNECTED_SINCE, lastConnectedSince);
    }

    private void logFailure(IOException failure) {
        long nowNanos = System.nanoTime();
        failures++;
        if (nowNanos - failureLoggedNanos >= LOG_INTERVAL_NANOS) {
            Logger.warn("accepting failed {} times: {}", failures, failure.getMessage());
            failures = 0;
            failureLoggedNanos = nowNanos;
        }
    }
}
