package yewdock.sockets;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;
import yewdock.sockets.TaskQueue.Task;

/**
 * A connection over a MINA session. Its methods are called on the dispatcher's thread; MINA's threads report
 * events, which reach the handler as tasks in the dispatcher's queue.
 */
final class MinaConnection implements Connection {
    private static final AttributeKey CONNECTION = new AttributeKey(MinaConnection.class, "connection");

    /** Time after a connection was accepted in which what had arrived before is read. */
    private static final long READ_AFTER_ACCEPT_MICROS = 100_000;

    private final ConnectionPurpose purpose;
    private final TaskQueue queue;
    private final LingeringClose lingering;
    /** Gives the time at which the dispatcher's current task started. */
    private final LongSupplier taskStartedAt;
    /** When the task that did the last write started: the write is based on what was known then. */
    private volatile long decidedAt;
    private volatile IoSession session;
    private ConnectFuture connectFuture;
    private ConnectionHandler handler;
    private boolean isClosed;
    /** The last write; null if there was none. */
    private WriteFuture lastWrite;
    /** Whether input is dropped, and how many bytes of it have been. */
    private volatile boolean droppingInput;
    private int droppedBytes;
    /** How many messages have been read that the handler has not received yet. */
    private final AtomicInteger undelivered = new AtomicInteger();
    /** When an accepted connection may have been made at the earliest, until its first bytes are read. */
    private long connectedSince = Long.MAX_VALUE;
    private long acceptedAt;

    MinaConnection(ConnectionPurpose purpose, TaskQueue queue, LingeringClose lingering,
            LongSupplier taskStartedAt) {
        this.purpose = purpose;
        this.queue = queue;
        this.lingering = lingering;
        this.taskStartedAt = taskStartedAt;
    }

    /** Returns the connection of a session; null if it has none yet. */
    static MinaConnection of(IoSession session) {
        return (MinaConnection) session.getAttribute(CONNECTION);
    }

    /** Sets the session, and this as its connection. */
    void attachTo(IoSession newSession) {
        session = newSession;
        newSession.setAttribute(CONNECTION, this);
    }

    /** Sets the handler; called on the dispatcher's thread or before any event can occur. */
    void setHandler(ConnectionHandler newHandler) {
        handler = newHandler;
    }

    void setConnectFuture(ConnectFuture future) {
        connectFuture = future;
    }

    ConnectionPurpose purpose() {
        return purpose;
    }

    boolean isDroppingInput() {
        return droppingInput;
    }

    /** When the task that did the last write started, in microseconds. */
    long decidedAt() {
        return decidedAt;
    }

    /** Counts dropped bytes and returns their total. */
    int drop(int bytes) {
        droppedBytes += bytes;
        return droppedBytes;
    }

    /** Queues a task for the dispatcher; those of discovery connections are urgent. */
    void post(Runnable work) {
        Task task = new Task(this, work);
        if (purpose == ConnectionPurpose.DISCOVERY) {
            queue.addUrgent(task);
        } else {
            queue.add(task);
        }
    }

    /** Queues a call of the handler, which is skipped if the connection is closed by then. */
    void postToHandler(Consumer<ConnectionHandler> work) {
        post(() -> callHandler(work));
    }

    private void callHandler(Consumer<ConnectionHandler> work) {
        if (!isClosed && handler != null) {
            work.accept(handler);
        }
    }

    /** The connection was accepted now, and may have been made as early as the given time in microseconds. */
    void acceptedFromQueue(long since, long now) {
        connectedSince = since;
        acceptedAt = now;
    }

    /**
     * Returns the earliest time at which bytes that are read now may have arrived, in microseconds: the first
     * ones, if they are read soon after their connection was accepted, may have waited with it. Called on
     * MINA's thread.
     */
    long waitedSince(long now) {
        long since = now - acceptedAt <= READ_AFTER_ACCEPT_MICROS ? Math.min(connectedSince, now) : now;
        connectedSince = Long.MAX_VALUE;
        return since;
    }

    /** Counts a message that has been read and not been passed to the handler. */
    void countUndelivered() {
        undelivered.incrementAndGet();
    }

    /** Queues a call of the handler with a message; {@code first} runs before it in any case. */
    void postMessage(Consumer<ConnectionHandler> work, Runnable first) {
        post(() -> {
            first.run();
            undelivered.decrementAndGet();
            callHandler(work);
        });
    }

    /** Queues the creation of the handler of an accepted connection, unless it is closed by then. */
    void postAccepted(Function<Connection, ConnectionHandler> makeHandler) {
        post(() -> {
            if (!isClosed) {
                handler = makeHandler.apply(this);
            }
        });
    }

    /**
     * Queues the end of the connection. That of a client is urgent: handling its remaining bytes first would
     * start attempts for nobody. Bytes that other peers sent before their end, such as a server's response or
     * an operator's command, still count.
     */
    void postClosed() {
        if (purpose == ConnectionPurpose.CLIENT) {
            queue.addUrgent(new Task(this, this::closed));
        } else {
            post(this::closed);
        }
    }

    @Override
    public void write(ByteBuffer bytes) {
        decidedAt = taskStartedAt.getAsLong();
        lastWrite = session.write(IoBuffer.wrap(bytes));
    }

    @Override
    public void close() {
        if (session != null) {
            session.closeNow();
        } else if (connectFuture != null) {
            connectFuture.cancel();
        } else {
            // Connecting failed in an unexpected way: the handler must still be told of the end.
            post(this::closed);
        }
    }

    @Override
    public void closeAfterWriting() {
        if (!droppingInput) {
            droppingInput = true;
            lingering.closeAfterWriting(session);
        }
    }

    @Override
    public boolean hasUndelivered() {
        return undelivered.get() > 0;
    }

    @Override
    public boolean closeUnlessUndelivered() {
        // bytes that are not read from now on are answered by a reset
        session.suspendRead();
        if (hasUndelivered()) {
            session.resumeRead();
            return false;
        }
        closeAfterWriting();
        return true;
    }

    @Override
    public void closeLingering() {
        if (!droppingInput) {
            droppingInput = true;
            lingering.begin(session, lastWrite);
        }
    }

    @Override
    public void setReadingPaused(boolean paused) {
        if (paused) {
            session.suspendRead();
        } else {
            session.resumeRead();
        }
    }

    private void closed() {
        if (!isClosed) {
            isClosed = true;
            if (handler != null) {
                handler.onClosed();
            }
        }
    }
}
