package yewdock.sockets;

import java.nio.ByteBuffer;
import java.util.concurrent.Semaphore;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.tinylog.Logger;
import yewdock.platform.Arrival;
import yewdock.platform.ConnectionHandler;

/**
 * Queues the events of MINA's sessions as tasks for the dispatcher. The memory of queued bytes is limited: if
 * there is no space, MINA's thread blocks and reads no more.
 */
class SessionEvents extends IoHandlerAdapter {
    /** Memory for the objects of one queued message, in addition to its bytes. */
    static final int MESSAGE_OVERHEAD_BYTES = 256;

    private final CompleteReadProcessor processor;
    private final LingeringClose lingering;
    /** The memory that messages may still take in the queue. */
    private final Semaphore queueSpace;
    /** The same for those from discovery, which are handled first and must not wait for space of others. */
    private final Semaphore discoverySpace;
    private final LongSupplier clock;
    /** Gives the arrival of bytes by the time of their reading; called on the dispatcher's thread. */
    private final LongFunction<Arrival> arrival;

    SessionEvents(CompleteReadProcessor processor, LingeringClose lingering, Semaphore queueSpace,
            Semaphore discoverySpace, LongSupplier clock, LongFunction<Arrival> arrival) {
        this.processor = processor;
        this.lingering = lingering;
        this.queueSpace = queueSpace;
        this.discoverySpace = discoverySpace;
        this.clock = clock;
        this.arrival = arrival;
    }

    @Override
    public void sessionOpened(IoSession session) {
        MinaConnection.of(session).postToHandler(ConnectionHandler::onConnected);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        MinaConnection connection = MinaConnection.of(session);
        if (clientHasDisconnected(connection, session)) {
            return;
        }
        ByteBuffer bytes = trim(processor.withRemainder(session, ((IoBuffer) message).buf()));
        if (connection.isDroppingInput()) {
            drop(connection, session, bytes.remaining());
        } else {
            enqueue(connection, bytes);
        }
    }

    /** Copies a message out of a buffer that is mostly empty, since it may be kept for long. */
    private static ByteBuffer trim(ByteBuffer bytes) {
        if (bytes.remaining() > bytes.capacity() / 2) {
            return bytes;
        }
        return ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
    }

    /** Whether the sender is a client that has disconnected since: no attempt must be started for it. */
    private static boolean clientHasDisconnected(MinaConnection connection, IoSession session) {
        return connection.purpose() == ConnectionPurpose.CLIENT && CompleteReadProcessor.isAtEnd(session);
    }

    private void drop(MinaConnection connection, IoSession session, int size) {
        if (!lingering.mayDrop(connection.drop(size))) {
            session.closeNow();
        }
    }

    private void enqueue(MinaConnection connection, ByteBuffer bytes) {
        int size = bytes.capacity() + MESSAGE_OVERHEAD_BYTES;
        long readAt = clock.getAsLong();
        connection.countUndelivered();
        Semaphore space = connection.purpose() == ConnectionPurpose.DISCOVERY ? discoverySpace : queueSpace;
        space.acquireUninterruptibly(size);
        long waitedSince = connection.waitedSince(readAt);
        connection.postMessage(
                handler -> handler.onReceived(bytes, arrival.apply(readAt).orAsEarlyAs(waitedSince)),
                () -> space.release(size));
    }

    @Override
    public void messageSent(IoSession session, Object message) {
        int bytes = ((IoBuffer) message).limit();
        MinaConnection.of(session).postToHandler(handler -> handler.onWritten(bytes));
    }

    @Override
    public void sessionClosed(IoSession session) {
        MinaConnection.of(session).postClosed();
    }

    /** Closes the session after a reset or another I/O error; its end is reported by sessionClosed(). */
    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        Logger.debug(cause, "connection failed");
        session.closeNow();
    }
}
