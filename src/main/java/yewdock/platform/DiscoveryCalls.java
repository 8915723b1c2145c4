package yewdock.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import yewdock.core.Counters;
import yewdock.core.Effect;
import yewdock.core.EndpointList;
import yewdock.core.Event;

/**
 * The open discovery calls: the current one, and those that were not answered in time and stay open beside
 * it, since a slow service still answers them. Each call has a connection of its own.
 */
final class DiscoveryCalls {
    /** Calls that stay open beside the current one. */
    private static final int MAX_CALLS_ASIDE = 3;
    /** Age in microseconds from which a call without an answer may be cancelled for a newer one. */
    private static final long MAX_AGE_MICROS = 10_000_000;

    /** A call that was set aside. */
    private static final class CallAside {
        private final DiscoveryConnectionHandler connection;
        /** Whether a call has been answered since this one was set aside. */
        private boolean superseded;

        CallAside(DiscoveryConnectionHandler connection) {
            this.connection = connection;
        }
    }

    private final Transport transport;
    private final EndpointListReader listReader;
    private final LongSupplier clock;
    private final Counters counters;
    private final Consumer<String> log;
    private final Consumer<Event> events;
    /** The connection of the current call, or of the next one; null if that needs a new connection. */
    private DiscoveryConnectionHandler current;
    /** The calls that were set aside, oldest first. */
    private final Deque<CallAside> callsAside = new ArrayDeque<>();

    DiscoveryCalls(Transport transport, EndpointListReader listReader, LongSupplier clock, Counters counters,
            Consumer<String> log, Consumer<Event> events) {
        this.transport = transport;
        this.listReader = listReader;
        this.clock = clock;
        this.counters = counters;
        this.log = log;
        this.events = events;
    }

    /** Makes a call, which becomes the current one. Connections to other addresses are closed. */
    void call(Effect.CallDiscovery call) {
        if (current != null && !current.isTo(call.address())) {
            // between calls, the connection to the previous discovery address is still open
            cancelCurrent();
        }
        closeCallsAside(aside -> !aside.connection.isTo(call.address()));
        if (current == null) {
            current = transport.connectToDiscovery(call.address(), connection ->
                    new DiscoveryConnectionHandler(this, listReader, call.address(), connection));
        }
        current.call(call.sinceVersion(), call.maxWaitMicros());
    }

    /**
     * Leaves the current call open beside the next one. If there are too many such calls, the newest one is
     * cancelled, since a service that is slower than the calls follow each other answers the oldest one next;
     * but an oldest one without an answer for long has a broken connection.
     */
    void setCurrentAside() {
        if (current == null) {
            return;
        }
        if (callsAside.size() >= MAX_CALLS_ASIDE) {
            long oldestCalledAt = callsAside.peek().connection.calledAt();
            boolean oldestBroken = clock.getAsLong() - oldestCalledAt >= MAX_AGE_MICROS;
            CallAside dropped = oldestBroken ? callsAside.poll() : callsAside.pollLast();
            dropped.connection.close();
        }
        callsAside.add(new CallAside(current));
        current = null;
    }

    /** Cancels the current call. */
    void cancelCurrent() {
        if (current != null) {
            current.close();
            current = null;
        }
    }

    /** Cancels the calls that were set aside. */
    void cancelCallsAside() {
        closeCallsAside(aside -> true);
    }

    /** Cancels all calls. */
    void closeAll() {
        cancelCurrent();
        cancelCallsAside();
    }

    private void closeCallsAside(Predicate<CallAside> condition) {
        for (CallAside aside : List.copyOf(callsAside)) {
            if (condition.test(aside)) {
                callsAside.remove(aside);
                aside.connection.close();
            }
        }
    }

    /** Removes and returns the call with this connection that was set aside; null if there is none. */
    private CallAside takeAside(DiscoveryConnectionHandler connection) {
        for (Iterator<CallAside> calls = callsAside.iterator(); calls.hasNext();) {
            CallAside aside = calls.next();
            if (aside.connection == connection) {
                calls.remove();
                return aside;
            }
        }
        return null;
    }

    /**
     * Handles the answer to a call. An answer to a call that was set aside counts as well: discovery takes
     * what it has written as delivered. If it is the first one since, its connection is used from now on, and
     * the current call is set aside in its turn.
     */
    void answered(DiscoveryConnectionHandler connection, EndpointList list, long delayMicros) {
        CallAside aside = takeAside(connection);
        if (isSuperseded(aside)) {
            connection.close();
        } else if (aside != null) {
            replaceCurrent(connection);
        }
        reportAnswer(aside, list, delayMicros);
    }

    /** Handles an answer that ends its connection: the next call needs a new one. */
    void answeredAndClosed(DiscoveryConnectionHandler connection, EndpointList list, long delayMicros) {
        CallAside aside = takeAside(connection);
        connectionClosed(connection);
        if (aside != null && !isSuperseded(aside)) {
            setOpenCallAside();
        }
        reportAnswer(aside, list, delayMicros);
    }

    private static boolean isSuperseded(CallAside aside) {
        return aside != null && aside.superseded;
    }

    /** Reports the answer to a call, which was set aside unless that is null. */
    private void reportAnswer(CallAside aside, EndpointList list, long delayMicros) {
        if (isSuperseded(aside)) {
            events.accept(new Event.LateEndpointListReceived(list, delayMicros));
            return;
        }
        if (aside != null) {
            counters.add("list.late_answers");
        }
        callsAside.forEach(other -> other.superseded = true);
        events.accept(new Event.EndpointListReceived(list, delayMicros));
    }

    private void replaceCurrent(DiscoveryConnectionHandler connection) {
        setOpenCallAside();
        cancelCurrent();
        current = connection;
    }

    /** Sets the current call aside if it is not answered yet. */
    private void setOpenCallAside() {
        if (current != null && current.isCallOpen()) {
            setCurrentAside();
        }
    }

    /** Handles a failed call; if it was set aside, another one is open or will be. */
    void failed(DiscoveryConnectionHandler connection) {
        if (takeAside(connection) != null) {
            connection.close();
        } else {
            events.accept(new Event.DiscoveryCallFailed());
        }
    }

    /** Handles the end of a connection. */
    void connectionClosed(DiscoveryConnectionHandler connection) {
        if (current == connection) {
            current = null;
        }
    }

    /** Handles a connection that broke or could not be made. */
    void connectionLost(DiscoveryConnectionHandler connection) {
        connectionClosed(connection);
        events.accept(new Event.DiscoveryConnectionLost());
    }

    /** The router's clock, in microseconds. */
    long now() {
        return clock.getAsLong();
    }

    void log(String line) {
        log.accept(line);
    }
}
