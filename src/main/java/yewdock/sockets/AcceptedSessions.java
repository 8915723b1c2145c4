package yewdock.sockets;

import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;

/** Events of connections that others made: each gets a wire and a side, and takes room until it is closed. */
final class AcceptedSessions extends IoHandlerAdapter {
    private final SessionEvents events;
    private final ConnectionRoom room;
    private final Supplier<SessionWire> makeWire;
    private final Function<Connection, ConnectionHandler> greet;

    AcceptedSessions(SessionEvents events, ConnectionRoom room, Supplier<SessionWire> makeWire,
            Function<Connection, ConnectionHandler> greet) {
        this.events = events;
        this.room = room;
        this.makeWire = makeWire;
        this.greet = greet;
    }

    @Override
    public void sessionCreated(IoSession session) {
        SessionWire wire = makeWire.get();
        wire.attachTo(session);
        session.getCloseFuture().addListener(closed -> room.release());
        wire.postGreeting(greet);
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
    public void sessionIdle(IoSession session, IdleStatus status) {
        events.sessionIdle(session, status);
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
