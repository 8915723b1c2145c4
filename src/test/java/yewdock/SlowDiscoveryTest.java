package yewdock;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import umberspread.BoundedLoadRouter;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Event;
import yewdock.core.Reducer;
import yewdock.platform.Config;
import yewdock.platform.Connection;
import yewdock.platform.ConnectionHandler;
import yewdock.platform.ConnectionManager;
import yewdock.platform.NoOpConnection;
import yewdock.platform.Transport;

/**
 * Discovery takes a long time over each call, from the router's start or from some moment on. A change counts
 * as known 6 s after the service had it, and a drain must be kept from the end of the grace after that.
 * Guards against a slow service that is never heard since each call is given up before its answer. The
 * connection manager, the reducer and the real module, in virtual time.
 */
class SlowDiscoveryTest {
    private static final long SECOND = 1_000_000;
    private static final long STEP = 20_000;
    private static final long KNOWN_AFTER = 6 * SECOND;
    private static final long GRACE = SECOND;
    /** Pauses of the process that a drain has to allow for, out of its grace. */
    private static final long PAUSE = SECOND * 3 / 20;
    private static final int MAX_OPEN_CALLS = 4;
    private static final int SEEDS = 3;
    private static final Pattern CALL =
            Pattern.compile("GET /v1/endpoints(?:\\?since=(\\d+)&timeout_ms=(\\d+))?");
    private static final List<Long> LATENCIES = List.of(SECOND / 2, 2 * SECOND, 2_200_000L, 2_300_000L,
            3 * SECOND, 4 * SECOND, 4_600_000L);

    /** How the service spends its latency on a call, and what it does with the connection. */
    private enum Behaviour { WAITS_THEN_IS_LATE, IS_LATE_THEN_WAITS, CLOSES_AFTER_ANSWER }

    /** One router and its discovery service. */
    private static final class Rig implements Transport {
        private final Reducer reducer;
        private final ConnectionManager connectionManager;
        private final List<Call> connections = new ArrayList<>();
        private final Behaviour behaviour;
        private long latency;
        private long now = 1000 * SECOND;
        private boolean drained;
        private int calls;
        private int maxOpenCalls;

        Rig(Behaviour behaviour, long latency, long seed) throws IOException {
            this(behaviour, latency, seed, "ask");
        }

        Rig(Behaviour behaviour, long latency, long seed, String discovery) throws IOException {
            this.behaviour = behaviour;
            this.latency = latency;
            String text = Files.readString(RecordedExchange.FOLDER.resolve("config.json"))
                    .replace("\"discovery\":\"ask\"", "\"discovery\":\"" + discovery + "\"");
            Config config = Config.read(text, line -> { });
            Counters counters = new Counters();
            reducer = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                    config.bounds(), counters,
                    actions -> new BoundedLoadRouter(config.settings(), seed, actions));
            connectionManager = new ConnectionManager(config, reducer, counters, this, () -> now,
                    line -> { });
            connectionManager.start();
        }

        @Override
        public <S extends ConnectionHandler> S connect(String address, Function<Connection, S> makeHandler) {
            Call connection = new Call();
            connections.add(connection);
            S handler = makeHandler.apply(connection);
            connection.handler = handler;
            return handler;
        }

        @Override
        public void stop() {
            throw new IllegalStateException("the router stops");
        }

        private void pass(long micros) {
            for (long until = now + micros; now < until;) {
                now += STEP;
                List.copyOf(connections).forEach(Call::step);
                if (reducer.nextTimerDue() <= now) {
                    connectionManager.dispatch(new Event.Tick());
                }
                maxOpenCalls = Math.max(maxOpenCalls, connections.size());
            }
        }

        private boolean knowsDrain() {
            return !reducer.notReadyReason().isEmpty();
        }

        private void assertDrainKnownInTime(String situation) {
            drained = true;
            long drainedAt = now;
            while (!knowsDrain()) {
                assertTrue(now - drainedAt < KNOWN_AFTER + GRACE - PAUSE, situation + ", " + behaviour
                        + ", answers after " + latency / 1000 + " ms: drain not known after "
                        + (now - drainedAt) / 1000 + " ms");
                pass(STEP);
            }
        }

        /** A connection to the service, with the call on it. */
        private final class Call extends NoOpConnection {
            private ConnectionHandler handler;
            private boolean connected;
            /** Whether the service has no open call on this connection. */
            private boolean answered = true;
            private long sinceVersion;
            /** When the service begins to handle the call. */
            private long handledAt;
            private long waitEndsAt;
            /** When the service writes the answer; Long.MAX_VALUE until that is known. */
            private long answerAt;
            private String answer;

            private void step() {
                if (!connected) {
                    connected = true;
                    handler.onConnected();
                }
                if (answered) {
                    return;
                }
                boolean changed = sinceVersion < version();
                if (answerAt == Long.MAX_VALUE && (now >= waitEndsAt || changed && waitMayEnd())) {
                    answer = body(sinceVersion);
                    answerAt = behaviour == Behaviour.IS_LATE_THEN_WAITS ? now : now + latency;
                }
                if (now >= answerAt) {
                    write();
                }
            }

            private boolean waitMayEnd() {
                return behaviour != Behaviour.IS_LATE_THEN_WAITS || now >= handledAt;
            }

            private void write() {
                answered = true;
                boolean closes = behaviour == Behaviour.CLOSES_AFTER_ANSWER;
                String text = "HTTP/1.1 200 OK\r\n" + (closes ? "Connection: close\r\n" : "")
                        + "Content-Length: " + answer.length() + "\r\n\r\n" + answer;
                handler.onReceived(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
            }

            @Override
            public void write(ByteBuffer bytes) {
                Matcher call = CALL.matcher(StandardCharsets.US_ASCII.decode(bytes.duplicate()));
                assertTrue(call.find() && answered, "one call at a time");
                calls++;
                answered = false;
                answerAt = Long.MAX_VALUE;
                sinceVersion = call.group(1) == null ? -1 : Long.parseLong(call.group(1));
                handledAt = behaviour == Behaviour.IS_LATE_THEN_WAITS ? now + latency : now;
                waitEndsAt = handledAt + (call.group(2) == null ? 0 : Long.parseLong(call.group(2)) * 1000);
            }

            @Override
            public void close() {
                connections.remove(this);
            }
        }

        private long version() {
            return drained ? 8 : 7;
        }

        private String body(long since) {
            String state = drained ? "draining" : "up";
            String entries = since >= version() ? "" : entry("s-1", state) + "," + entry("s-2", state);
            return "{\"version\":" + version() + ",\"full\":" + (since < 0) + ",\"servers\":[" + entries
                    + "]}";
        }

        private static String entry(String name, String state) {
            return "{\"id\":\"" + name + "\",\"addr\":\"127.0.0.1:9001\",\"zone\":\"kathmandu\","
                    + "\"kind\":\"big-gpu\",\"cell\":1,\"state\":\"" + state
                    + "\",\"weight\":1.0,\"started_ms\":0}";
        }
    }

    /** The service is slow from the router's start, and the drain comes at any moment after it. */
    @Test
    void drainIsKeptIfDiscoveryIsSlowFromStart() throws IOException {
        for (Behaviour behaviour : Behaviour.values()) {
            for (long latency : LATENCIES) {
                for (long drainAfter = 0; drainAfter < 15 * SECOND; drainAfter += SECOND * 3 / 10) {
                    Rig rig = new Rig(behaviour, latency, drainAfter);
                    rig.pass(drainAfter);
                    rig.assertDrainKnownInTime("slow from the start, drain after " + drainAfter / 1000
                            + " ms");
                }
            }
        }
    }

    /** The service was prompt and becomes slow with a long poll open; the drain comes at any moment. */
    @Test
    void drainIsKeptIfDiscoveryBecomesSlow() throws IOException {
        for (Behaviour behaviour : Behaviour.values()) {
            for (long latency : LATENCIES) {
                for (long drainAfter = 0; drainAfter < 18 * SECOND; drainAfter += SECOND * 3 / 10) {
                    Rig rig = new Rig(behaviour, 0, drainAfter);
                    rig.pass(8 * SECOND);
                    rig.latency = latency;
                    rig.pass(drainAfter);
                    rig.assertDrainKnownInTime("drain " + drainAfter / 1000
                            + " ms after the service became slow");
                }
            }
        }
    }

    /** Another router has a newer list each half second: asking for it must not end the calls for it. */
    @Test
    void drainIsKeptWhileOtherRoutersHaveNewerLists() throws IOException {
        for (long latency : LATENCIES) {
            Rig rig = new Rig(Behaviour.WAITS_THEN_IS_LATE, latency, latency);
            rig.pass(10 * SECOND);
            rig.drained = true;
            long drainedAt = rig.now;
            while (!rig.knowsDrain()) {
                rig.connectionManager.dispatch(new Event.EndpointListOutdated());
                rig.pass(SECOND / 2);
                assertTrue(rig.now - drainedAt < KNOWN_AFTER + GRACE - PAUSE, "answers after "
                        + latency / 1000 + " ms: drain not known after " + (rig.now - drainedAt) / 1000
                        + " ms");
            }
        }
    }

    /** Answers that take longer than a drain may are still received, at whatever pace calls are repeated. */
    @Test
    void verySlowDiscoveryIsHeardAtLast() throws IOException {
        for (String discovery : List.of("ask", "push")) {
            for (Behaviour behaviour : Behaviour.values()) {
                for (long latency : List.of(SECOND * 2 / 5, 2 * SECOND, 5 * SECOND, 8 * SECOND)) {
                    Rig rig = new Rig(behaviour, latency, latency, discovery);
                    rig.pass(20 * SECOND);
                    rig.drained = true;
                    rig.pass(3 * latency + SECOND);
                    assertTrue(rig.knowsDrain(), discovery + ", " + behaviour + ": answers after "
                            + latency / 1000 + " ms are not received");
                    assertTrue(rig.maxOpenCalls <= MAX_OPEN_CALLS, "open calls: " + rig.maxOpenCalls);
                }
            }
        }
    }

    /** A slow service costs few calls, and once it is prompt again the router returns to long polls. */
    @Test
    void callRateIsBounded() throws IOException {
        for (Behaviour behaviour : Behaviour.values()) {
            for (int seed = 0; seed < SEEDS; seed++) {
                Rig rig = new Rig(behaviour, 3 * SECOND, seed);
                rig.pass(60 * SECOND);
                assertTrue(rig.calls <= 31, behaviour + ": calls in a minute of slow answers: " + rig.calls);
                assertTrue(rig.maxOpenCalls <= MAX_OPEN_CALLS, "open calls: " + rig.maxOpenCalls);
                rig.latency = 0;
                rig.pass(10 * SECOND);
                rig.calls = 0;
                rig.pass(60 * SECOND);
                assertTrue(rig.calls <= 13, behaviour + ": calls in a minute without delay: " + rig.calls);
            }
        }
    }

    /** An answer from before a pause of the process, read after it, is no proof that the list is current. */
    @Test
    void callsFromBeforeAPauseAreCancelled() throws IOException {
        Rig rig = new Rig(Behaviour.WAITS_THEN_IS_LATE, 3 * SECOND, 1);
        rig.pass(12 * SECOND);
        rig.now += 5 * SECOND;
        rig.connectionManager.dispatch(new Event.ProcessResumed(5 * SECOND));
        assertTrue(rig.reducer.isCatchingUp());
        assertTrue(rig.connections.size() <= 1, "calls from before the pause are open");
        rig.pass(4 * SECOND);
        assertTrue(!rig.reducer.isCatchingUp());
    }
}
