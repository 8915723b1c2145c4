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
 * A connection of MINA's. Its calls come from the dispatcher's thread, its session from MINA's. What MINA
 * sees reaches its side as tasks in the dispatcher's queue.
 */
final class SessionWire implements Connection {
    private static final AttributeKey WIRE = new AttributeKey(SessionWire.class, "wire");

    private final ConnectionPurpose purpose;
    private final TaskQueue queue;
    private final Lingering lingering;
    /** When the task that the dispatcher does now was begun. */
    private final LongSupplier decidingSince;
    /** When what is written to it was decided on, by what was known then. */
    private volatile long decidedAt;
    private volatile IoSession session;
    private ConnectFuture connecting;
    private ConnectionHandler side;
    private boolean isDown;
    /** What was written last; null if nothing was. */
    private WriteFuture last;
    /** Whether what comes is dropped, and how much of it has come. */
    private volatile boolean deaf;
    private int dropped;
    /** How many messages have been read of which the side has yet to hear. */
    private final AtomicInteger unheard = new AtomicInteger();

    SessionWire(ConnectionPurpose purpose, TaskQueue queue, Lingering lingering, LongSupplier decidingSince) {
        this.purpose = purpose;
        this.queue = queue;
        this.lingering = lingering;
        this.decidingSince = decidingSince;
    }

    /** The wire of a session; null if it has none yet. */
    static SessionWire of(IoSession session) {
        return (SessionWire) session.getAttribute(WIRE);
    }

    /** This is the session's wire from now on. */
    void attachTo(IoSession made) {
        session = made;
        made.setAttribute(WIRE, this);
    }

    /** Its side hears of what comes; done on the dispatcher's thread or before anything can come. */
    void tellTo(ConnectionHandler hears) {
        side = hears;
    }

    void connectingAs(ConnectFuture future) {
        connecting = future;
    }

    ConnectionPurpose purpose() {
        return purpose;
    }

    boolean isDeaf() {
        return deaf;
    }

    /** When what was written last was decided on. */
    long decidedAt() {
        return decidedAt;
    }

    /** Counts bytes that are dropped; returns how many there have been. */
    int drop(int bytes) {
        dropped += bytes;
        return dropped;
    }

    /** Has the dispatcher do this, before other work if it is news of discovery. */
    void post(Runnable work) {
        Task task = new Task(this, work);
        if (purpose == ConnectionPurpose.DISCOVERY) {
            queue.addUrgent(task);
        } else {
            queue.add(task);
        }
    }

    /** Has the dispatcher do this for the connection's side, unless it is down by then. */
    void postToSide(Consumer<ConnectionHandler> work) {
        post(() -> tell(work));
    }

    private void tell(Consumer<ConnectionHandler> work) {
        if (!isDown && side != null) {
            work.accept(side);
        }
    }

    /** A message has been read, of which the side hears when it is posted and done. */
    void messageRead() {
        unheard.incrementAndGet();
    }

    /** Has the dispatcher hand on the message, after this. */
    void postMessage(Consumer<ConnectionHandler> work, Runnable before) {
        post(() -> {
            before.run();
            unheard.decrementAndGet();
            tell(work);
        });
    }

    /** Its side hears that the connection has come, if it has not gone by then. */
    void postGreeting(Function<Connection, ConnectionHandler> greet) {
        post(() -> {
            if (!isDown) {
                side = greet.apply(this);
            }
        });
    }

    /**
     * The connection is closed. A client is gone at once, before all that waits to be done: what still came
     * of its bytes would begin attempts that nobody waits for. Of others, what came before their end still
     * counts: an answer, an operator's call.
     */
    void postDown() {
        if (purpose == ConnectionPurpose.CLIENT) {
            queue.addUrgent(new Task(this, this::down));
        } else {
            post(this::down);
        }
    }

    @Override
    public void write(ByteBuffer bytes) {
        decidedAt = decidingSince.getAsLong();
        last = session.write(IoBuffer.wrap(bytes));
    }

    @Override
    public void close() {
        if (session != null) {
            session.closeNow();
        } else if (connecting != null) {
            connecting.cancel();
        } else {
            // The connecting itself failed in some unforeseen way: its side must still hear of the end.
            post(this::down);
        }
    }

    @Override
    public void closeAfterWriting() {
        if (!deaf) {
            deaf = true;
            session.closeOnFlush();
        }
    }

    @Override
    public boolean hasUndelivered() {
        return unheard.get() > 0;
    }

    @Override
    public boolean closeUnlessUndelivered() {
        // what is not read from now on meets the close
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
        if (!deaf) {
            deaf = true;
            lingering.begin(session, last);
        }
    }

    @Override
    public void setReadingPaused(boolean held) {
        if (held) {
            session.suspendRead();
        } else {
            session.resumeRead();
        }
    }

    private void down() {
        if (!isDown) {
            isDown = true;
            if (side != null) {
                side.onClosed();
            }
        }
    }
}
