package yewdock.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ProtocolFamily;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.Pipe;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.AbstractSelector;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.tinylog.Logger;
import yewdock.desk.Desk;
import yewdock.desk.Event;
import yewdock.platform.Addresses;
import yewdock.platform.Arrival;
import yewdock.platform.Config;
import yewdock.platform.Front;
import yewdock.platform.Side;
import yewdock.platform.Wire;
import yewdock.platform.Wires;
import yewdock.sockets.TaskQueue.Task;

/**
 * The transport: MINA's sockets, and the one thread on which the front and the desk run. What MINA's
 * threads see goes into a queue in the order in which they see it; nothing else crosses between the threads.
 */
public final class Sockets implements Wires {
    private static final AttributeKey WIRE = new AttributeKey(Sockets.class, "wire");
    /**
     * Clients beyond the desk's bound by more than this are not accepted: they wait until the desk has closed
     * others. Out of descriptors, accepting fails and nobody is served.
     */
    private static final int CLOSING_CLIENTS = 24;
    /** So many bytes may wait in the queue before no more is read: MINA reads faster than the desk. */
    private static final int MOST_QUEUED = 4 << 20;
    private static final int BACKLOG = 512;
    private static final int LARGEST_READ = 16 * 1024;
    private static final long LAST_WRITES_MILLIS = 300;
    /** A pause of the process that falls into a sleep is not seen: it can't be longer than this. */
    private static final long LONGEST_SLEEP = 100_000;
    /** After so long without a look at what has come, the sockets are read before anything else is done. */
    private static final long LONGEST_WITHOUT_NEWS = 100_000;
    private static final long READ_MILLIS = 10;
    /** Writing out takes less, also on a machine that is busy. */
    private static final long LEAST_ATTEMPTS_WAIT = 50_000;
    /** Later than this its client may long have gone, and has less time left than the attempt says. */
    private static final long MOST_ATTEMPTS_WAIT = 100_000;
    /** A shorter pause makes no difference to anyone's time. */
    private static final long SHORTEST_STALL = 50_000;
    /** So long after a pause all that came in it has been accepted and read. */
    private static final long READ_AFTER_STALL = 100_000;
    /** For so long nothing else is done while discovery is asked for what a pause may have hidden. */
    private static final long CATCH_UP = 250_000;

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
    private final Room room;
    private final Semaphore queueRoom = new Semaphore(MOST_QUEUED);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Clock clock = new Clock();
    private final long attemptsWait;
    private volatile Front front;
    /** When the task that is being done was begun: all news that was there before has been read. */
    private long decidingSince;
    /** The last time in which the process stood still, and what came then was not read. */
    private long stalledFrom;
    private long stalledUntil;
    private boolean stopped;

    /** Whom a connection leads to. */
    private enum Purpose { CLIENT, SERVER, DISCOVERY }

    private static final class Room extends Semaphore {
        private static final long serialVersionUID = 1;

        Room(int permits) {
            super(permits);
        }

        void less(int permits) {
            reducePermits(permits);
        }
    }

    /**
     * Sockets for so many clients at once. An attempt of which nothing has been written within half of the
     * time in which drains must be kept, or 0.1 s, is not begun: the process stood still meanwhile.
     */
    public Sockets(int mostClients, long drainGrace) {
        this(mostClients, drainGrace, Lingering.SECONDS);
    }

    /** The same, lingering for so long. */
    Sockets(int mostClients, long drainGrace, int lingerSeconds) {
        attemptsWait = Math.max(LEAST_ATTEMPTS_WAIT, Math.min(MOST_ATTEMPTS_WAIT, drainGrace / 2));
        lingering = new Lingering(lingerSeconds);
        room = new Room(mostClients + CLOSING_CLIENTS);
        // One processor for all: the router has one core.
        processor = new WholeReads(threads, this::tooLate, this::isClient);
        acceptor = new BoundedAcceptor(threads, processor, room, wire -> front.accept(wire));
        connector = new NioSocketConnector(threads, processor);
        connector.setHandler(new Handler());
        // Time-outs of connecting are the desk's; MINA's own must never come first.
        connector.setConnectTimeoutMillis(TimeUnit.HOURS.toMillis(1));
        configure(connector.getSessionConfig());
    }

    private static void configure(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setMaxReadBufferSize(LARGEST_READ);
    }

    public Clock clock() {
        return clock;
    }

    /** Listens, and serves until told to stop. */
    public void serve(String address, Front front, Desk desk) throws IOException {
        this.front = front;
        front.start();
        acceptor.bind(Addresses.of(address));
        Logger.info("listens on {}", acceptor.getLocalAddress());
        loop(desk);
    }

    /** Serves until told to stop, but takes no connections before {@link #accept}. */
    public void serveLater(Runnable start, Front front, Desk desk) {
        this.front = front;
        start.run();
        loop(desk);
    }

    /**
     * Listens for clients beside another process that does, where both share the address. Called on the
     * desk's thread; returns the address, which a port of 0 has been replaced in.
     */
    public String listenBeside(String address) throws IOException {
        acceptor.shares = true;
        // MINA would end every connection with the listener
        acceptor.setCloseOnDeactivation(false);
        acceptor.bind(Addresses.of(address));
        Logger.info("listens on {}", acceptor.getLocalAddress());
        return acceptor.getLocalAddress().getAddress().getHostAddress() + ':'
                + acceptor.getLocalAddress().getPort();
    }

    /**
     * Listens there too, for so many callers at once, each of which is given up when it says nothing for so
     * many seconds. Called before the desk's thread serves.
     */
    public void listenAlso(String address, int most, int patience, Function<Wire, Side> greet)
            throws IOException {
        BoundedAcceptor also = new BoundedAcceptor(threads, processor, new Room(most), greet);
        also.getSessionConfig().setReaderIdleTime(patience);
        also.bind(Addresses.of(address));
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
    public void postAfter(long millis, Runnable work) {
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
    public void accept(ServerSocketChannel listener) throws IOException {
        acceptor.shared = listener;
        acceptor.setCloseOnDeactivation(false);
        acceptor.bind(listener.getLocalAddress());
    }

    /** Takes no more connections; those that are there go on. Called on the desk's thread. */
    public void stopAccepting() {
        // the acceptor's thread may be waiting for room, and unbinding waits for it
        room.release(Short.MAX_VALUE);
        acceptor.unbind();
        room.less(Short.MAX_VALUE);
    }

    private void loop(Desk desk) {
        decidingSince = clock.getAsLong();
        while (!stopped) {
            long wait = Math.max(0, Math.min(desk.nextDue() - clock.getAsLong(), LONGEST_SLEEP));
            try {
                Task task = queue.poll(wait);
                // counted from before the last task: the process may have stood still in the midst of it
                long unread = clock.getAsLong() - decidingSince;
                if (unread > LONGEST_WITHOUT_NEWS) {
                    if (task != null) {
                        queue.putBack(task);
                    }
                    readNewsFirst(desk, unread - wait);
                    if (unread - wait >= SHORTEST_STALL) {
                        runAllThatWait();
                    }
                    task = queue.poll(0);
                }
                decidingSince = clock.getAsLong();
                if (task != null) {
                    run(task);
                }
                if (desk.nextDue() <= clock.getAsLong()) {
                    run(new Task(null, () -> front.happened(new Event.Tick())));
                }
            } catch (InterruptedException e) {
                Logger.warn("the desk's thread was interrupted");
            }
        }
        writeOut();
        ended.countDown();
    }

    /**
     * The process may have stood still, and news of discovery and clients' ends wait in sockets beside their
     * requests and times that have come: they are read before any of these are acted upon. After a pause in
     * which discovery may have had more to tell than one answer holds, it is asked anew first.
     */
    private void readNewsFirst(Desk desk, long stalled) throws InterruptedException {
        if (stalled >= SHORTEST_STALL) {
            stalledUntil = clock.getAsLong();
            stalledFrom = stalledUntil - stalled;
        }
        processor.awaitRead(READ_MILLIS);
        for (Task urgent = queue.pollUrgent(); urgent != null; urgent = queue.pollUrgent()) {
            run(urgent);
        }
        run(new Task(null, () -> front.happened(new Event.Resumed(stalled))));
        long until = clock.getAsLong() + CATCH_UP;
        for (long left = CATCH_UP; desk.catchesUp() && left > 0; left = until - clock.getAsLong()) {
            Task news = queue.pollUrgent(left);
            if (news != null) {
                run(news);
            }
        }
    }

    /** What came in a pause goes before times that came due in it: an answer that was there is not late. */
    private void runAllThatWait() throws InterruptedException {
        for (int left = queue.size(); left > 0; left--) {
            decidingSince = clock.getAsLong();
            Task task = queue.poll(0);
            if (task != null) {
                run(task);
            }
        }
    }

    /** When bytes came that were read at this time: in a pause of the process nothing is read. */
    private Arrival arrival(long readAt) {
        boolean mayHaveWaited = readAt > stalledFrom && readAt <= stalledUntil + READ_AFTER_STALL;
        return new Arrival(mayHaveWaited ? stalledFrom : readAt, readAt);
    }

    /** One event's fault must not stop the others. */
    private void run(Task task) {
        try {
            task.work().run();
        } catch (RuntimeException | Error e) {
            Logger.error(e, "fault in an event");
            if (task.wire() != null) {
                task.wire().close();
            }
        }
    }

    /** Hands a new configuration to the front; any thread may call it. */
    public void reconfigure(Config config) {
        queue.add(new Task(null, () -> front.reconfigure(config)));
    }

    /** Tells the desk to leave, and waits until nothing is owed any more. */
    public void leave() {
        queue.add(new Task(null, () -> front.happened(new Event.Leave())));
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void stop() {
        stopped = true;
    }

    private void writeOut() {
        // The acceptor's thread may be waiting for room.
        room.release(Short.MAX_VALUE);
        acceptor.setCloseOnDeactivation(false);
        acceptor.unbind();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_WRITES_MILLIS);
        for (IoSession session : acceptor.getManagedSessions().values()) {
            ((SessionWire) session.getAttribute(WIRE)).closeAfterWriting();
        }
        for (IoSession session : acceptor.getManagedSessions().values()) {
            session.getCloseFuture().awaitUninterruptibly(
                    Math.max(0, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
        }
    }

    /** Remembers the selector that MINA keeps to itself: a shared listener must be registered with it. */
    private static final class KnownSelectors extends SelectorProvider {
        private final SelectorProvider real = SelectorProvider.provider();
        private AbstractSelector made;

        @Override
        public AbstractSelector openSelector() throws IOException {
            made = real.openSelector();
            return made;
        }

        @Override
        public ServerSocketChannel openServerSocketChannel() throws IOException {
            return real.openServerSocketChannel();
        }

        @Override
        public SocketChannel openSocketChannel() throws IOException {
            return real.openSocketChannel();
        }

        @Override
        public DatagramChannel openDatagramChannel() throws IOException {
            return real.openDatagramChannel();
        }

        @Override
        public DatagramChannel openDatagramChannel(ProtocolFamily family) throws IOException {
            return real.openDatagramChannel(family);
        }

        @Override
        public Pipe openPipe() throws IOException {
            return real.openPipe();
        }
    }

    /** Accepts a connection only when there is room for it; until then it waits in the system's queue. */
    private final class BoundedAcceptor extends NioSocketAcceptor {
        private final Room room;
        /** Whether another process may listen at the same address, each with a queue of its own. */
        private volatile boolean shares;
        // set by init, which the constructor above this one calls: no initial value may wipe it out
        private KnownSelectors selectors;
        private volatile ServerSocketChannel shared;

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
                    beside.register(selectors.made, SelectionKey.OP_ACCEPT);
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
            selectors.made.selectNow();
            shared.configureBlocking(false);
            shared.register(selectors.made, SelectionKey.OP_ACCEPT);
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
            SelectionKey key = listening.keyFor(selectors.made);
            if (key != null) {
                key.cancel();
            }
            selectors.made.wakeup();
        }

        /** Connections in the queue are made as far as their clients know: closing would reset them. */
        private void takeAllThatWait(ServerSocketChannel listening) throws Exception {
            selectors.made.selectNow();
            for (NioSession session = accept(processor, listening); session != null;
                    session = accept(processor, listening)) {
                initSession(session, null, null);
                session.getProcessor().add(session);
                selectors.made.selectNow();
            }
        }

        BoundedAcceptor(Executor threads, IoProcessor<NioSession> processor, Room room,
                Function<Wire, Side> greet) {
            super(threads, processor);
            this.room = room;
            setReuseAddress(true);
            setBacklog(BACKLOG);
            setHandler(new Handler(room, greet));
            configure(getSessionConfig());
        }

        @Override
        protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel listening)
                throws Exception {
            if (!room.tryAcquire()) {
                lingering.makeRoom();
                room.acquire();
            }
            NioSession session = null;
            try {
                // null, where another process was quicker to take the connection
                session = super.accept(processor, listening);
            } finally {
                if (session == null) {
                    room.release();
                }
            }
            return session;
        }
    }

    @Override
    public <S extends Side> S connect(String address, Function<Wire, S> makeSide) {
        return connect(address, makeSide, new SessionWire(Purpose.SERVER));
    }

    @Override
    public <S extends Side> S connectToDiscovery(String address, Function<Wire, S> makeSide) {
        return connect(address, makeSide, new SessionWire(Purpose.DISCOVERY));
    }

    private <S extends Side> S connect(String address, Function<Wire, S> makeSide, SessionWire wire) {
        S side = makeSide.apply(wire);
        wire.side = side;
        InetSocketAddress to = Addresses.of(address);
        ConnectFuture future = connector.connect(to, (session, connecting) -> {
            wire.session = session;
            session.setAttribute(WIRE, wire);
        });
        wire.connecting = future;
        future.addListener(done -> {
            if (!future.isConnected()) {
                add(new Task(wire, wire::down));
            }
        });
        return side;
    }

    private boolean isClient(IoSession session) {
        return session.getService() == acceptor;
    }

    /** Whether what is to be written is an attempt that was decided too long ago; its side is told. */
    private boolean tooLate(IoSession session) {
        SessionWire wire = (SessionWire) session.getAttribute(WIRE);
        boolean late = wire != null && wire.purpose == Purpose.SERVER
                && clock.getAsLong() - wire.decidedAt > attemptsWait;
        if (late) {
            later(wire, Side::notBegun);
        }
        return late;
    }

    private void add(Task task) {
        if (task.wire().leadsToDiscovery()) {
            queue.addUrgent(task);
        } else {
            queue.add(task);
        }
    }

    /** Has the dispatcher's thread do this for the connection's side, unless it is down by then. */
    private void later(SessionWire wire, Consumer<Side> work) {
        add(new Task(wire, () -> {
            if (!wire.isDown && wire.side != null) {
                work.accept(wire.side);
            }
        }));
    }

    /** A connection of MINA's. Its calls come from the desk's thread, its session from MINA's. */
    final class SessionWire implements Wire {
        private final Purpose purpose;
        /** When what is written to it was decided on, by what was known then. */
        private volatile long decidedAt;
        private volatile IoSession session;
        private ConnectFuture connecting;
        private Side side;
        private boolean isDown;
        /** What was written last; null if nothing was. */
        private WriteFuture last;
        /** Whether what comes is dropped, and how much of it has come. */
        private volatile boolean deaf;
        private int dropped;
        /** How many messages have been read of which the side has yet to hear. */
        private final AtomicInteger unheard = new AtomicInteger();

        SessionWire(Purpose purpose) {
            this.purpose = purpose;
        }

        boolean leadsToDiscovery() {
            return purpose == Purpose.DISCOVERY;
        }

        @Override
        public void write(ByteBuffer bytes) {
            decidedAt = decidingSince;
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
                add(new Task(this, this::down));
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
        public boolean hasUnheard() {
            return unheard.get() > 0;
        }

        @Override
        public boolean closeUnlessUnheard() {
            // what is not read from now on meets the close
            session.suspendRead();
            if (hasUnheard()) {
                session.resumeRead();
                return false;
            }
            closeAfterWriting();
            return true;
        }

        @Override
        public void linger() {
            if (!deaf) {
                deaf = true;
                lingering.begin(session, last);
            }
        }

        @Override
        public void hold(boolean held) {
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
                    side.down();
                }
            }
        }
    }

    /** Puts what MINA sees into the queue. */
    private final class Handler extends IoHandlerAdapter {
        private final Room room;
        private final Function<Wire, Side> greet;

        /** For connections of our own making. */
        Handler() {
            this(null, null);
        }

        /** For those that others make: each takes room until it is closed. */
        Handler(Room room, Function<Wire, Side> greet) {
            this.room = room;
            this.greet = greet;
        }

        @Override
        public void sessionCreated(IoSession session) {
            if (session.getAttribute(WIRE) == null) {
                SessionWire wire = new SessionWire(Purpose.CLIENT);
                wire.session = session;
                session.setAttribute(WIRE, wire);
                session.getCloseFuture().addListener(closed -> room.release());
                queue.add(new Task(wire, () -> {
                    if (!wire.isDown) {
                        wire.side = greet.apply(wire);
                    }
                }));
            }
        }

        @Override
        public void sessionOpened(IoSession session) {
            later(wire(session), Side::up);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            SessionWire wire = wire(session);
            if (endsUnanswered(session)) {
                return;
            }
            ByteBuffer bytes = processor.withAllBehind(session, ((IoBuffer) message).buf());
            int size = bytes.remaining();
            if (wire.deaf) {
                wire.dropped += size;
                if (!lingering.mayDrop(wire.dropped)) {
                    session.closeNow();
                }
                return;
            }
            if (wire.purpose == Purpose.DISCOVERY) {
                later(wire, side -> side.received(bytes));
                return;
            }
            long readAt = clock.getAsLong();
            wire.unheard.incrementAndGet();
            queueRoom.acquireUninterruptibly(size);
            queue.add(new Task(wire, () -> {
                queueRoom.release(size);
                wire.unheard.decrementAndGet();
                if (wire.side != null && !wire.isDown) {
                    wire.side.received(bytes, arrival(readAt));
                }
            }));
        }

        /** Whether a client has sent this and gone: what it asks for must not be begun. */
        private boolean endsUnanswered(IoSession session) {
            return room == Sockets.this.room && WholeReads.hasEnded(session);
        }

        @Override
        public void messageSent(IoSession session, Object message) {
            int bytes = ((IoBuffer) message).limit();
            later(wire(session), side -> side.written(bytes));
        }

        /** Only a connection that lingers has an idle time, and one that operators made. */
        @Override
        public void sessionIdle(IoSession session, IdleStatus status) {
            later(wire(session), Side::idle);
        }

        /**
         * A client is gone at once, before all that waits to be done: what still came of its bytes would
         * begin attempts that nobody waits for. Of others, what came before their end still counts: an
         * answer, an operator's call.
         */
        @Override
        public void sessionClosed(IoSession session) {
            SessionWire wire = wire(session);
            Task end = new Task(wire, wire::down);
            if (room == Sockets.this.room) {
                queue.addUrgent(end);
            } else {
                add(end);
            }
        }

        /** Resets and the like; the session closes, and that is what counts. */
        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            Logger.debug(cause, "a connection broke");
            session.closeNow();
        }

        private SessionWire wire(IoSession session) {
            return (SessionWire) session.getAttribute(WIRE);
        }
    }
}
