package yewdock.sockets;

import java.nio.ByteBuffer;
import java.util.concurrent.Semaphore;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.tinylog.Logger;
import yewdock.platform.Arrival;
import yewdock.platform.ConnectionHandler;

/** Puts what MINA sees on connections into the dispatcher's queue. */
class SessionEvents extends IoHandlerAdapter {
    private final WholeReads processor;
    private final Lingering lingering;
    /** Room for bytes in the queue: where there is none, MINA's thread waits and reads no more. */
    private final Semaphore queueRoom;
    private final LongSupplier clock;
    /** When bytes came that were read at some time; asked on the dispatcher's thread. */
    private final LongFunction<Arrival> arrival;

    SessionEvents(WholeReads processor, Lingering lingering, Semaphore queueRoom, LongSupplier clock,
            LongFunction<Arrival> arrival) {
        this.processor = processor;
        this.lingering = lingering;
        this.queueRoom = queueRoom;
        this.clock = clock;
        this.arrival = arrival;
    }

    @Override
    public void sessionOpened(IoSession session) {
        SessionWire.of(session).postToSide(ConnectionHandler::onConnected);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        SessionWire wire = SessionWire.of(session);
        if (hasLeft(wire, session)) {
            return;
        }
        ByteBuffer bytes = processor.withAllBehind(session, ((IoBuffer) message).buf());
        if (wire.isDeaf()) {
            drop(wire, session, bytes.remaining());
        } else if (wire.purpose() == ConnectionPurpose.DISCOVERY) {
            wire.postToSide(side -> side.onReceived(bytes));
        } else {
            handOn(wire, bytes);
        }
    }

    /** Whether this is from a client that has gone since: what it asks for must not be begun. */
    private static boolean hasLeft(SessionWire wire, IoSession session) {
        return wire.purpose() == ConnectionPurpose.CLIENT && WholeReads.hasEnded(session);
    }

    private void drop(SessionWire wire, IoSession session, int size) {
        if (!lingering.mayDrop(wire.drop(size))) {
            session.closeNow();
        }
    }

    private void handOn(SessionWire wire, ByteBuffer bytes) {
        int size = bytes.remaining();
        long readAt = clock.getAsLong();
        wire.messageRead();
        queueRoom.acquireUninterruptibly(size);
        wire.postMessage(side -> side.onReceived(bytes, arrival.apply(readAt)), () ->
                queueRoom.release(size));
    }

    @Override
    public void messageSent(IoSession session, Object message) {
        int bytes = ((IoBuffer) message).limit();
        SessionWire.of(session).postToSide(side -> side.onWritten(bytes));
    }

    /** Only a connection that lingers has an idle time, and one that operators made. */
    @Override
    public void sessionIdle(IoSession session, IdleStatus status) {
        SessionWire.of(session).postToSide(ConnectionHandler::onIdle);
    }

    @Override
    public void sessionClosed(IoSession session) {
        SessionWire.of(session).postDown();
    }

    /** Resets and the like; the session closes, and that is what counts. */
    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        Logger.debug(cause, "a connection broke");
        session.closeNow();
    }
}
