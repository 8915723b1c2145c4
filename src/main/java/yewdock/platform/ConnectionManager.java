package yewdock.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import yewdock.core.Counters;
import yewdock.core.Effect;
import yewdock.core.EndpointList;
import yewdock.core.Event;
import yewdock.core.Reducer;

/**
 * This platform's front: turns what happens on connections into the desk's events, and the desk's effects
 * into bytes. Not thread-safe: one thread runs it, the desk and all sides.
 */
public final class ConnectionManager {
    /** Bodies that are still coming in may hold this much together; the desk bounds those that are whole. */
    private static final int MOST_COMING = 8 << 20;

    private final Reducer desk;
    private Config config;
    private final Counters counters;
    private final Transport wires;
    private final EndpointListReader lists;
    private final NameIndexes names;
    private final LongSupplier clock;
    private final Consumer<String> log;
    /** Takes the effects that concern other generations; without them there is nobody to tell. */
    private Consumer<Effect> others = effect -> { };
    /** Takes the answers to operators' calls. */
    private Consumer<Effect> calls = effect -> { };
    private final Map<Long, ClientConnectionHandler> clients = new LinkedHashMap<>();
    private final Map<Long, ServerConnectionHandler> lines = new HashMap<>();
    private DiscoveryConnectionHandler list;
    /** Its call was late and has been made anew on the other connection; the one answered first stays. */
    private DiscoveryConnectionHandler listAside;
    /** Whether a call has been answered since that one was set aside. */
    private boolean answeredSinceAside;
    private final Deque<Event> waiting = new ArrayDeque<>();
    private boolean working;
    private boolean stopAsked;
    private long lastClient;
    private int coming;
    private boolean closing;

    public ConnectionManager(Config config, Reducer desk, Counters counters, Transport wires,
            LongSupplier clock,
            Consumer<String> log) {
        this.desk = desk;
        this.counters = counters;
        this.wires = wires;
        this.names = config.names();
        this.lists = new EndpointListReader(names, line -> {
            counters.add("list.unusable_entries");
            log.accept(line);
        });
        this.config = config;
        this.clock = clock;
        this.log = log;
    }

    /** The first event: the configuration tells what is known. */
    public void start() {
        start(config.cachedEndpoints());
    }

    /** The first event, with a list that is newer than the configuration's. */
    public void start(EndpointList known) {
        lists.remember(known);
        dispatch(new Event.Started(known, config.discoveryAddress()));
    }

    /** Where the effects go that concern other generations of this router. */
    public void forwardGenerationEffectsTo(Consumer<Effect> teller) {
        others = teller;
    }

    /** Where the answers to operators' calls go. */
    public void forwardOperatorAnswersTo(Consumer<Effect> answerer) {
        calls = answerer;
    }

    /** A new configuration: what can be taken while requests are open is, the rest is named in the log. */
    public void reconfigure(Config next) {
        List<String> waits = config.startsAnew(next);
        log.accept("new configuration: the box list is at " + next.discoveryAddress()
                + (waits.isEmpty() ? "" : "; not taken before a restart: " + String.join(", ", waits)));
        config = next;
        dispatch(new Event.DiscoveryAddressChanged(next.discoveryAddress()));
    }

    /** A client has connected. */
    public ConnectionHandler accept(Connection wire) {
        counters.add("clients.accepted");
        ClientConnectionHandler side = new ClientConnectionHandler(this, ++lastClient, wire);
        clients.put(lastClient, side);
        dispatch(new Event.ClientConnected(lastClient));
        return side;
    }

    /**
     * Takes an event to the desk and does what it asks for. What happens while that is being done waits its
     * turn: a client's next request must not overtake the rest of what the last one's end brings.
     */
    public void dispatch(Event event) {
        waiting.add(event);
        if (working) {
            return;
        }
        working = true;
        try {
            while (!waiting.isEmpty()) {
                desk.reduce(waiting.poll(), clock.getAsLong()).forEach(this::performSafely);
            }
        } finally {
            working = false;
        }
        // A request half read when the desk owes nothing would be lost by stopping now.
        if (stopAsked && clients.values().stream().noneMatch(ClientConnectionHandler::midway)) {
            stopAsked = false;
            if (desk.isHandedOver()) {
                // what the list tells from now on would be told to nobody
                hangUpList();
                hangUpListAside();
            }
            wires.stop();
        }
    }

    /** A fault on one connection must not swallow the effects for the others; the desk's times catch up. */
    private void performSafely(Effect effect) {
        try {
            perform(effect);
        } catch (RuntimeException e) {
            counters.add("faults");
            log.accept("fault: " + e + " in " + effect.getClass().getSimpleName());
        }
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.ForwardChunk e) {
            client(e.client(), c -> c.passOn(e.bytes()));
        } else if (effect instanceof Effect.SendAttempt e) {
            ServerConnectionHandler line = lines.get(e.connection());
            ClientConnectionHandler client = clients.get(e.client());
            if (line != null && client != null) {
                line.send(client.request(), e.timeoutMicros());
            }
        } else if (effect instanceof Effect.EndResponse e) {
            client(e.client(), ClientConnectionHandler::endAnswer);
        } else if (effect instanceof Effect.OpenServerConnection e) {
            wires.connect(e.address(), wire -> {
                ServerConnectionHandler side = new ServerConnectionHandler(this, e.connection(), wire);
                lines.put(e.connection(), side);
                return side;
            });
        } else if (effect instanceof Effect.CloseServerConnection e) {
            ServerConnectionHandler line = lines.get(e.connection());
            if (line != null) {
                line.close();
            }
        } else if (effect instanceof Effect.PauseReading e) {
            ServerConnectionHandler line = lines.get(e.connection());
            if (line != null) {
                line.hold(e.paused());
            }
        } else if (effect instanceof Effect.AbortResponse e) {
            client(e.client(), ClientConnectionHandler::cutOff);
        } else if (effect instanceof Effect.Refuse e) {
            client(e.client(), c -> c.refuse(e.retryAfterMicros()));
        } else if (effect instanceof Effect.Fail e) {
            client(e.client(), ClientConnectionHandler::fail);
        } else if (effect instanceof Effect.CallDiscovery e) {
            askList(e);
        } else if (effect instanceof Effect.CancelDiscoveryCall) {
            hangUpList();
        } else if (effect instanceof Effect.SetDiscoveryCallAside) {
            setListCallAside();
        } else if (effect instanceof Effect.CloseClient e) {
            client(e.client(), ClientConnectionHandler::giveUp);
        } else if (effect instanceof Effect.RejectDuplicate e) {
            client(e.client(), ClientConnectionHandler::turnDownTwin);
        } else if (effect instanceof Effect.CloseIdleClients) {
            closing = true;
            List.copyOf(clients.values()).forEach(ClientConnectionHandler::closeIfIdle);
        } else if (effect instanceof Effect.AnswerCommand || effect instanceof Effect.AnswerStatistics) {
            calls.accept(effect);
        } else if (effect instanceof Effect.SendToGenerations || effect instanceof Effect.SendGenerationState
                || effect instanceof Effect.PublishOverride) {
            others.accept(effect);
        } else if (effect instanceof Effect.Log e) {
            log.accept(e.message());
        } else if (effect instanceof Effect.Stop) {
            stopAsked = true;
        }
    }

    private void client(long id, Consumer<ClientConnectionHandler> call) {
        ClientConnectionHandler side = clients.get(id);
        if (side != null) {
            call.accept(side);
        }
    }

    private void askList(Effect.CallDiscovery e) {
        if (list != null && !list.leadsTo(e.address())) {
            // between two calls the connection to where the list was before is still there
            hangUpList();
        }
        if (listAside != null && !listAside.leadsTo(e.address())) {
            hangUpListAside();
        }
        if (list == null) {
            list = wires.connectToDiscovery(e.address(),
                    wire -> new DiscoveryConnectionHandler(this, lists, e.address(), wire));
        }
        list.ask(e.sinceVersion(), e.maxWaitMicros());
    }

    private void setListCallAside() {
        hangUpListAside();
        listAside = list;
        list = null;
        answeredSinceAside = false;
    }

    private void hangUpList() {
        if (list != null) {
            list.hangUp();
            list = null;
        }
    }

    private void hangUpListAside() {
        if (listAside != null) {
            listAside.hangUp();
            listAside = null;
        }
    }

    /**
     * Of two calls for the list the connection of the first that is answered goes on. The other one is read
     * to its answer all the same: what discovery has written counts as told.
     */
    void listCame(DiscoveryConnectionHandler side, EndpointList answer) {
        if (side != listAside) {
            answeredSinceAside = true;
            dispatch(new Event.EndpointListReceived(answer));
        } else if (answeredSinceAside) {
            hangUpListAside();
            dispatch(new Event.LateEndpointListReceived(answer));
        } else {
            counters.add("list.late_answers");
            if (list != null && !list.isAsked()) {
                hangUpList();
            }
            listAside = list;
            list = side;
            answeredSinceAside = true;
            dispatch(new Event.EndpointListReceived(answer));
        }
    }

    /** The same where the connection ends with the answer: the next call needs another one. */
    void listCameLast(DiscoveryConnectionHandler side, EndpointList answer) {
        boolean late = side == listAside && answeredSinceAside;
        listClosed(side);
        if (side == listAside) {
            listAside = null;
        }
        answeredSinceAside = true;
        dispatch(late ? new Event.LateEndpointListReceived(answer) : new Event.EndpointListReceived(answer));
    }

    /** A call for the list has failed; where it was set aside, another one is out or will be. */
    void listFailed(DiscoveryConnectionHandler side) {
        if (side == listAside) {
            hangUpListAside();
        } else {
            dispatch(new Event.DiscoveryCallFailed());
        }
    }

    void listClosed(DiscoveryConnectionHandler side) {
        if (list == side) {
            list = null;
        }
    }

    void clientClosed(long id) {
        clients.remove(id);
        dispatch(new Event.ClientDisconnected(id));
    }

    void lineClosed(long id) {
        lines.remove(id);
        dispatch(new Event.ServerDisconnected(id));
    }

    /** Counts more, or with a negative number less, of bodies coming in; false if that is too much. */
    boolean coming(int bytes) {
        coming += bytes;
        return coming <= MOST_COMING;
    }

    /** Whether answers should tell clients to close, and idle ones be closed. */
    boolean leaving() {
        return desk.isShuttingDown() || desk.isHandedOver() || desk.isQuiesced();
    }

    /** Whether connections end with their answers, also with those that did not say so. */
    boolean closingIdle() {
        return closing && leaving();
    }

    /** Why this router is not ready; empty if it is. */
    String unready() {
        return desk.notReadyReason();
    }

    /** The router's time. */
    long now() {
        return clock.getAsLong();
    }

    Counters counters() {
        return counters;
    }

    NameIndexes names() {
        return names;
    }

    void log(String line) {
        log.accept(line);
    }
}
