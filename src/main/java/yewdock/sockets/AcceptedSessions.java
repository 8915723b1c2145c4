package yewdock.sockets;

import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;

/** Handles accepted connections, each of which holds a permit of the limit until it is closed. */
class AcceptedSessions extends IoHandlerAdapter {
    private final SessionEvents events;
    private final ConnectionLimit limit;
    private final LongSupplier clock;
    private final Supplier<MinaConnection> makeConnection;
    private final Function<Connection, ConnectionHandler> makeHandler;

    AcceptedSessions(SessionEvents events, ConnectionLimit limit, LongSupplier clock,
            Supplier<MinaConnection> makeConnection, Function<Connection, ConnectionHandler> makeHandler) {
        this.events = events;
        this.limit = limit;
        this.clock = clock;
        this.makeConnection = makeConnection;
        this.makeHandler = makeHandler;
    }

    @Override
    public void sessionCreated(IoSession session) {
        MinaConnection connection = makeConnection.get();
        connection.attachTo(session);
        connection.acceptedFromQueue(BoundedAcceptor.connectedSince(session), clock.getAsLong());
        session.getCloseFuture().addListener(closed -> limit.release());
        connection.postAccepted(makeHandler);
    }

    @Override
    public void sessionOpened(IoSession session) {
        events.sessionOpened(session);
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        events.messageReceived(session, message);
    }

    @Override
    public void messageSent(IoSession session, Object message) {
        events.messageSent(session, message);
    }

    @Override
    public void sessionClosed(IoSession session) {
        events.sessionClosed(session);
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        events.exceptionCaught(session, cause);
    }
}
