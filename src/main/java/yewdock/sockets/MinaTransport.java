package yewdock.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.tinylog.Logger;
import yewdock.core.Event;
import yewdock.core.Reducer;
import yewdock.platform.Addresses;
import yewdock.platform.Config;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;
import yewdock.platform.ConnectionManager;
import yewdock.platform.Transport;
import yewdock.sockets.TaskQueue.Task;

/**
 * The transport: MINA's sockets, and the one thread on which the front and the desk run. What MINA's
 * threads see goes into a queue in the order in which they see it; nothing else crosses between the threads.
 */
public final class MinaTransport implements Transport {
    /**
     * Clients beyond the desk's bound by more than this are not accepted: they wait until the desk has closed
     * others. Out of descriptors, accepting fails and nobody is served.
     */
    private static final int CLOSING_CLIENTS = 24;
    /** So many bytes may wait in the queue before no more is read: MINA reads faster than the desk. */
    private static final int MOST_QUEUED = 4 << 20;
    private static final int LARGEST_READ = 16 * 1024;
    private static final long LAST_WRITES_MILLIS = 300;
    /** Writing out takes less, also on a machine that is busy. */
    private static final long LEAST_ATTEMPTS_WAIT = 50_000;
    /** Later than this its client may long have gone, and has less time left than the attempt says. */
    private static final long MOST_ATTEMPTS_WAIT = 100_000;

    private final TaskQueue queue = new TaskQueue();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "mina");
        thread.setDaemon(true);
        return thread;
    });
    private final BoundedAcceptor acceptor;
    private final NioSocketConnector connector;
    private final WholeReads processor;
    private final Lingering lingering;
    private final ConnectionRoom room;
    private final Semaphore queueRoom = new Semaphore(MOST_QUEUED);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final MonotonicClock clock = new MonotonicClock();
    private final long attemptsWait;
    private final DispatcherLoop loop;
    private final SessionEvents events;
    private volatile ConnectionManager front;

    /**
     * Sockets for so many clients at once. An attempt of which nothing has been written within half of the
     * time in which drains must be kept, or 0.1 s, is not begun: the process stood still meanwhile.
     */
    public MinaTransport(int mostClients, long drainGrace) {
        this(mostClients, drainGrace, Lingering.SECONDS);
    }

    /** The same, lingering for so long. */
    MinaTransport(int mostClients, long drainGrace, int lingerSeconds) {
        attemptsWait = Math.max(LEAST_ATTEMPTS_WAIT, Math.min(MOST_ATTEMPTS_WAIT, drainGrace / 2));
        lingering = new Lingering(lingerSeconds);
        room = new ConnectionRoom(mostClients + CLOSING_CLIENTS);
        // One processor for all: the router has one core.
        processor = new WholeReads(threads, this::tooLate, MinaTransport::isClient);
        loop = new DispatcherLoop(queue, processor, clock, event -> front.dispatch(event));
        events = new SessionEvents(processor, lingering, queueRoom, clock, loop::arrival);
        acceptor = acceptor(room, ConnectionPurpose.CLIENT, wire -> front.accept(wire));
        connector = new NioSocketConnector(threads, processor);
        connector.setHandler(events);
        // Time-outs of connecting are the desk's; MINA's own must never come first.
        connector.setConnectTimeoutMillis(TimeUnit.HOURS.toMillis(1));
        configure(connector.getSessionConfig());
    }

    /** Accepts connections that lead to such peers, while there is room. */
    private BoundedAcceptor acceptor(ConnectionRoom space, ConnectionPurpose purpose,
            Function<Connection, ConnectionHandler> greet) {
        BoundedAcceptor made = new BoundedAcceptor(threads, processor, space, lingering);
        made.setHandler(new AcceptedSessions(events, space, () -> wire(purpose), greet));
        configure(made.getSessionConfig());
        return made;
    }

    private SessionWire wire(ConnectionPurpose purpose) {
        return new SessionWire(purpose, queue, lingering, loop::decidingSince);
    }

    private static void configure(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setMaxReadBufferSize(LARGEST_READ);
    }

    public MonotonicClock clock() {
        return clock;
    }

    /** Listens, and serves until told to stop. */
    public void serve(String address, ConnectionManager front, Reducer desk) throws IOException {
        this.front = front;
        front.start();
        acceptor.bind(Addresses.parse(address));
        Logger.info("listens on {}", acceptor.getLocalAddress());
        work(desk);
    }

    /** Serves until told to stop, but takes no connections before {@link #acceptFrom}. */
    public void serveWithoutListening(Runnable start, ConnectionManager front, Reducer desk) {
        this.front = front;
        start.run();
        work(desk);
    }

    /**
     * Listens for clients beside another process that does, where both share the address. Called on the
     * desk's thread; returns the address, which a port of 0 has been replaced in.
     */
    public String listenShared(String address) throws IOException {
        acceptor.shareAddress();
        acceptor.bind(Addresses.parse(address));
        Logger.info("listens on {}", acceptor.getLocalAddress());
        return acceptor.getLocalAddress().getAddress().getHostAddress() + ':'
                + acceptor.getLocalAddress().getPort();
    }

    /**
     * Listens there too, for so many callers at once, each of which is given up when it says nothing for so
     * many seconds. Called before the desk's thread serves.
     */
    public void listenForOperators(String address, int most, int patience, Function<Connection,
            ConnectionHandler> greet)
            throws IOException {
        BoundedAcceptor also = acceptor(new ConnectionRoom(most), ConnectionPurpose.OPERATOR, greet);
        also.getSessionConfig().setReaderIdleTime(patience);
        also.bind(Addresses.parse(address));
        Logger.info("operators call {}", also.getLocalAddress());
    }

    /** How many bytes of clients and servers wait for the desk's thread. */
    int queuedBytes() {
        return MOST_QUEUED - queueRoom.availablePermits();
    }

    /** How many connections of clients there are. */
    int connectionsAccepted() {
        return acceptor.getManagedSessionCount();
    }

    /** How many ends of clients, and how much of discovery's, wait for the desk's thread. */
    int urgentWaiting() {
        return queue.urgentSize();
    }

    /** Has the desk's thread do this, after all that has come before it; any thread may call it. */
    public void post(Runnable work) {
        queue.add(new Task(null, work));
    }

    /** The same after so long. */
    public void postDelayed(long millis, Runnable work) {
        Thread timer = new Thread(() -> {
            try {
                Thread.sleep(millis);
                post(work);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "later");
        timer.setDaemon(true);
        timer.start();
    }

    /**
     * Takes connections from a listener that others may take them from too. Ours to stop with, never to
     * close: what waits in its queue is for whoever accepts next. Called on the desk's thread.
     */
    public void acceptFrom(ServerSocketChannel listener) throws IOException {
        acceptor.use(listener);
        acceptor.bind(listener.getLocalAddress());
    }

    /** Takes no more connections; those that are there go on. Called on the desk's thread. */
    public void stopAccepting() {
        // the acceptor's thread may be waiting for room, and unbinding waits for it
        room.release(Short.MAX_VALUE);
        acceptor.unbind();
        room.shrink(Short.MAX_VALUE);
    }

    private void work(Reducer desk) {
        loop.run(desk);
        writeOut();
        ended.countDown();
    }

    /** Hands a new configuration to the front; any thread may call it. */
    public void reconfigure(Config config) {
        queue.add(new Task(null, () -> front.reconfigure(config)));
    }

    /** Tells the desk to leave, and waits until nothing is owed any more. */
    public void shutDownGracefully() {
        queue.add(new Task(null, () -> front.dispatch(new Event.ShutdownRequested())));
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void stop() {
        loop.stop();
    }

    private void writeOut() {
        // The acceptor's thread may be waiting for room.
        room.release(Short.MAX_VALUE);
        acceptor.setCloseOnDeactivation(false);
        acceptor.unbind();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_WRITES_MILLIS);
        for (IoSession session : acceptor.getManagedSessions().values()) {
            SessionWire.of(session).closeAfterWriting();
        }
        for (IoSession session : acceptor.getManagedSessions().values()) {
            session.getCloseFuture().awaitUninterruptibly(
                    Math.max(0, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
        }
    }

    @Override
    public <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeSide) {
        return connect(address, makeSide, wire(ConnectionPurpose.SERVER));
    }

    @Override
    public <S extends ConnectionHandler> S connectToDiscovery(String address, Function<Connection,
            S> makeSide) {
        return connect(address, makeSide, wire(ConnectionPurpose.DISCOVERY));
    }

    private <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeSide,
            SessionWire wire) {
        S side = makeSide.apply(wire);
        wire.tellTo(side);
        InetSocketAddress to = Addresses.parse(address);
        ConnectFuture future = connector.connect(to, (session, connecting) -> wire.attachTo(session));
        wire.connectingAs(future);
        future.addListener(done -> {
            if (!future.isConnected()) {
                wire.postDown();
            }
        });
        return side;
    }

    private static boolean isClient(IoSession session) {
        return SessionWire.of(session).purpose() == ConnectionPurpose.CLIENT;
    }

    /** Whether what is to be written is an attempt that was decided too long ago; its side is told. */
    private boolean tooLate(IoSession session) {
        SessionWire wire = SessionWire.of(session);
        boolean late = wire.purpose() == ConnectionPurpose.SERVER
                && clock.getAsLong() - wire.decidedAt() > attemptsWait;
        if (late) {
            wire.postToSide(ConnectionHandler::onWriteExpired);
        }
        return late;
    }
}
