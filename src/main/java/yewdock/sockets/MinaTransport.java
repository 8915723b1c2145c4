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
 * The transport over Apache MINA, and the one thread on which the reducer and all connection handlers run.
 * MINA's threads queue events for it in the order of their occurrence; the threads share nothing else.
 */
public final class MinaTransport implements Transport {
    /**
     * Clients that may be accepted above the reducer's limit, while it closes others; more of them wait.
     * Without this limit the process could run out of descriptors, and accepting would fail.
     */
    static final int MAX_CLOSING_CLIENTS = 24;
    /** Bytes that may be queued before reading stops: MINA reads faster than the dispatcher handles them. */
    private static final int MAX_QUEUED_BYTES = 4 << 20;
    private static final int MAX_QUEUED_DISCOVERY_BYTES = 1 << 20;
    private static final int MAX_READ_BYTES = 16 * 1024;
    /**
     * MINA's timeout for connecting, which must never come before the reducer's, also where the wall clock,
     * by which it runs, is stepped forward.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = TimeUnit.DAYS.toMillis(365);
    private static final long FINAL_WRITES_MILLIS = 300;
    /** Least time for an attempt to be written; writes take less even on a busy machine. */
    private static final long MIN_WRITE_DELAY_MICROS = 50_000;
    /** Beyond this, the client may have gone, and has less time left than the attempt's timeout says. */
    private static final long MAX_WRITE_DELAY_MICROS = 100_000;

    private final TaskQueue queue = new TaskQueue();
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "mina");
        thread.setDaemon(true);
        return thread;
    });
    private final SessionTimeouts timeouts = new SessionTimeouts(System::nanoTime);
    private final BoundedAcceptor acceptor;
    private final NioSocketConnector connector;
    private final CompleteReadProcessor processor;
    private final LingeringClose lingering;
    private final ConnectionLimit clientLimit;
    private final Semaphore queueSpace = new Semaphore(MAX_QUEUED_BYTES);
    private final Semaphore discoverySpace = new Semaphore(MAX_QUEUED_DISCOVERY_BYTES);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final MonotonicClock clock = new MonotonicClock();
    private final long maxWriteDelayMicros;
    private final DispatcherLoop loop;
    private final SessionEvents events;
    private volatile ConnectionManager manager;

    /**
     * Makes a transport for up to {@code maxClients} clients at once. An attempt of which nothing has been
     * written within half of the drain grace, at least 0.05 s and at most 0.1 s, is not started: the process
     * was suspended meanwhile.
     */
    public MinaTransport(int maxClients, long drainGraceMicros) {
        this(maxClients, drainGraceMicros, LingeringClose.Timeouts.DEFAULT);
    }

    /** The same with other timeouts for closes. */
    MinaTransport(int maxClients, long drainGraceMicros, LingeringClose.Timeouts closeTimeouts) {
        maxWriteDelayMicros = Math.max(MIN_WRITE_DELAY_MICROS,
                Math.min(MAX_WRITE_DELAY_MICROS, drainGraceMicros / 2));
        lingering = new LingeringClose(closeTimeouts, timeouts);
        clientLimit = new ConnectionLimit(maxClients + MAX_CLOSING_CLIENTS);
        // a single processor, as the router has one core
        processor = new CompleteReadProcessor(executor, this::isExpiredAttempt, MinaTransport::isClient);
        loop = new DispatcherLoop(queue, processor, clock, event -> manager.dispatch(event),
                timeouts::expire);
        events = new SessionEvents(processor, lingering, queueSpace, discoverySpace, clock, loop::arrival);
        acceptor = acceptor(new AcceptedSessions(events, clientLimit, clock,
                () -> newConnection(ConnectionPurpose.CLIENT), connection -> manager.accept(connection)),
                clientLimit);
        connector = new NioSocketConnector(executor, processor);
        connector.setHandler(events);
        connector.setConnectTimeoutMillis(CONNECT_TIMEOUT_MILLIS);
        configure(connector.getSessionConfig());
    }

    /** Makes an acceptor of these sessions, up to the limit. */
    private BoundedAcceptor acceptor(AcceptedSessions sessions, ConnectionLimit limit) {
        BoundedAcceptor newAcceptor = new BoundedAcceptor(executor, processor, limit, lingering,
                clock);
        newAcceptor.setHandler(sessions);
        configure(newAcceptor.getSessionConfig());
        return newAcceptor;
    }

    private MinaConnection newConnection(ConnectionPurpose purpose) {
        return new MinaConnection(purpose, queue, lingering, loop::taskStartedAt);
    }

    private static void configure(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setMaxReadBufferSize(MAX_READ_BYTES);
    }

    /** The clock of the transport and the reducer. */
    public MonotonicClock clock() {
        return clock;
    }

    /** Starts the reducer, listens for clients and serves until stopped. */
    public void serve(String address, ConnectionManager manager, Reducer reducer) throws IOException {
        this.manager = manager;
        manager.start();
        acceptor.bind(Addresses.parse(address));
        Logger.info("listens on {}", acceptor.getLocalAddress());
        runLoop(reducer);
    }

    /** Runs {@code start} and serves until stopped; accepts no clients before {@link #acceptFrom}. */
    public void serveWithoutListening(Runnable start, ConnectionManager manager, Reducer reducer) {
        this.manager = manager;
        start.run();
        runLoop(reducer);
    }

    /**
     * Listens for clients on an address that other processes may listen on, too. Called on the dispatcher's
     * thread. Returns the address, with the actual port in place of a port of 0.
     */
    public String listenShared(String address) throws IOException {
        acceptor.shareAddress();
        acceptor.bind(Addresses.parse(address));
        Logger.info("listens on {}", acceptor.getLocalAddress());
        return acceptor.getLocalAddress().getAddress().getHostAddress() + ':'
                + acceptor.getLocalAddress().getPort();
    }

    /**
     * Listens for operators, up to {@code maxConnections} at once; one that sends nothing for
     * {@code idleSeconds} is reported as idle. Called before serving starts.
     */
    public void listenForOperators(String address, int maxConnections, int idleSeconds,
            Function<Connection, ConnectionHandler> makeHandler) throws IOException {
        ConnectionLimit limit = new ConnectionLimit(maxConnections);
        BoundedAcceptor operatorAcceptor = acceptor(new AcceptedSessions(events, limit, clock,
                () -> newConnection(ConnectionPurpose.OPERATOR), makeHandler) {
            @Override
            public void sessionCreated(IoSession session) {
                super.sessionCreated(session);
                timeouts.start(session, TimeUnit.SECONDS.toNanos(idleSeconds), () ->
                        MinaConnection.of(session).postToHandler(ConnectionHandler::onIdle));
            }

            @Override
            public void messageReceived(IoSession session, Object message) {
                timeouts.restart(session);
                super.messageReceived(session, message);
            }
        }, limit);
        operatorAcceptor.bind(Addresses.parse(address));
        Logger.info("operators call {}", operatorAcceptor.getLocalAddress());
    }

    /** How much memory the queued messages of clients and servers take, with the overhead of each. */
    int queuedBytes() {
        return MAX_QUEUED_BYTES - queueSpace.availablePermits();
    }

    /** How many client connections are open. */
    int connectionsAccepted() {
        return acceptor.getManagedSessionCount();
    }

    /** How many urgent tasks are queued: disconnects of clients and events of discovery connections. */
    int urgentWaiting() {
        return queue.urgentSize();
    }

    /** Queues work for the dispatcher's thread, behind all earlier tasks; any thread may call it. */
    public void post(Runnable work) {
        queue.add(new Task(null, work));
    }

    /** The same after a delay. */
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
     * Accepts clients from a listener that other processes may accept from, too. It is never closed here:
     * connections in its queue are left to the process that accepts next. Called on the dispatcher's thread.
     */
    public void acceptFrom(ServerSocketChannel listener) throws IOException {
        acceptor.useListener(listener);
        acceptor.bind(listener.getLocalAddress());
    }

    /** Stops accepting clients; open connections stay. Called on the dispatcher's thread. */
    public void stopAccepting() {
        // the acceptor's thread may be waiting for a permit, and unbinding waits for that thread
        clientLimit.release(Short.MAX_VALUE);
        acceptor.unbind();
        clientLimit.shrink(Short.MAX_VALUE);
    }

    private void runLoop(Reducer reducer) {
        loop.run(reducer);
        flushAndClose();
        stopped.countDown();
    }

    /** Applies a new configuration; any thread may call it. */
    public void reconfigure(Config config) {
        queue.add(new Task(null, () -> manager.reconfigure(config)));
    }

    /** Starts a graceful shutdown and waits until all open requests are finished. */
    public void shutDownGracefully() {
        queue.add(new Task(null, () -> manager.dispatch(new Event.ShutdownRequested())));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void stop() {
        loop.stop();
    }

    private void flushAndClose() {
        // the acceptor's thread may be waiting for a permit
        clientLimit.release(Short.MAX_VALUE);
        acceptor.setCloseOnDeactivation(false);
        acceptor.unbind();
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FINAL_WRITES_MILLIS);
        for (IoSession session : acceptor.getManagedSessions().values()) {
            MinaConnection.of(session).closeAfterWriting();
        }
        for (IoSession session : acceptor.getManagedSessions().values()) {
            session.getCloseFuture().awaitUninterruptibly(
                    Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime())));
        }
    }

    @Override
    public <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeHandler) {
        return connect(address, makeHandler, newConnection(ConnectionPurpose.SERVER));
    }

    @Override
    public <S extends ConnectionHandler> S connectToDiscovery(String address,
            Function<Connection, S> makeHandler) {
        return connect(address, makeHandler, newConnection(ConnectionPurpose.DISCOVERY));
    }

    private <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeHandler,
            MinaConnection connection) {
        S handler = makeHandler.apply(connection);
        connection.setHandler(handler);
        InetSocketAddress target = Addresses.parse(address);
        ConnectFuture future =
                connector.connect(target, (session, connecting) -> connection.attachTo(session));
        connection.setConnectFuture(future);
        future.addListener(done -> {
            if (!future.isConnected()) {
                connection.postClosed();
            }
        });
        return handler;
    }

    private static boolean isClient(IoSession session) {
        return MinaConnection.of(session).purpose() == ConnectionPurpose.CLIENT;
    }

    /** Whether the next write is an attempt that was decided on too long ago; tells its handler if so. */
    private boolean isExpiredAttempt(IoSession session) {
        MinaConnection connection = MinaConnection.of(session);
        boolean late = connection.purpose() == ConnectionPurpose.SERVER
                && clock.getAsLong() - connection.decidedAt() > maxWriteDelayMicros;
        if (late) {
            connection.postToHandler(ConnectionHandler::onWriteExpired);
        }
        return late;
    }
}
