package umberspread.adapter;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import umberspread.BoundedLoadRouter;
import umberspread.Routing;

/**
 * Hosts the routing modules of many simulated gateways and translates between the simulator's wire format and
 * {@link Routing}.
 */
final class Host {
    private static final int SERVER_BYTES = 21;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final Routing.Outcome[] OUTCOMES = {Routing.Outcome.ERROR, Routing.Outcome.OK,
        Routing.Outcome.FULL, Routing.Outcome.TIMEOUT, Routing.Outcome.CONNECT_FAILED, Routing.Outcome.RESET,
        Routing.Outcome.CANCELLED, Routing.Outcome.NOT_SENT};
    private static final Routing.ListKind[] LIST_KINDS = {Routing.ListKind.FULL, null, Routing.ListKind.DELTA,
        Routing.ListKind.CACHED, Routing.ListKind.FAILED};
    private static final Routing.Lifecycle[] LIFECYCLES = {Routing.Lifecycle.GONE, Routing.Lifecycle.READY,
        Routing.Lifecycle.DRAINING};

    private final Map<Integer, Gateway> gateways = new HashMap<>();
    private final Reply reply;
    private final PrintStream err;
    private final Main.RouterFactory routerFactory;

    Host(Reply reply, PrintStream err) {
        this(reply, err, BoundedLoadRouter::new);
    }

    Host(Reply reply, PrintStream err, Main.RouterFactory routerFactory) {
        this.reply = reply;
        this.err = err;
        this.routerFactory = routerFactory;
    }

    /** One simulated gateway: its routing module, whose actions it writes to the reply. */
    private static final class Gateway implements Routing.Actions {
        private final int number;
        private final Reply reply;
        private final List<String> reportNames;
        private final Routing.Events router;

        Gateway(int number, SettingsParser.Parsed parsed, long seed, Reply reply,
                Main.RouterFactory routerFactory) {
            this.number = number;
            this.reply = reply;
            this.reportNames = parsed.reportNames();
            this.router = routerFactory.create(parsed.settings(), seed, this);
        }

        @Override
        public void send(long requestId, long serverId, long timeout) {
            reply.dispatch(number, requestId, serverId, timeout / MICROS_PER_SECOND);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            reply.dropAttempt(number, requestId, attempt);
        }

        @Override
        public void refuse(long requestId, long retryAfter) {
            reply.busy(number, requestId, retryAfter / MICROS_PER_SECOND);
        }

        @Override
        public void fail(long requestId) {
            reply.giveUp(number, requestId);
        }

        @Override
        public void watchEndpointList() {
            reply.follow(number);
        }

        @Override
        public void wakeAt(long time, int token) {
            reply.wakeAt(number, time / MICROS_PER_SECOND, token);
        }

        @Override
        public void log(String line) {
            reply.print(number, line);
        }
    }

    /** Delivers the events of one batch; the resulting actions are added to the reply. */
    void handle(Frame frame) throws WireException {
        long now = micros(frame.clock);
        for (int i = 0; i < frame.records; i++) {
            int code = frame.nextCode();
            int number = frame.u16();
            Gateway gateway = gateways.get(number);
            if (gateway == null && code != 9 && code >= 0 && code <= 8) {
                err.println("event " + code + " for gateway " + number + ", which is not up, ignored");
            }
            switch (code) {
                case 0 -> skipNote(frame);
                case 1 -> endpointList(frame, now, gateway);
                case 2 -> firstToken(frame, now, gateway);
                case 3 -> {
                    long request = frame.u64();
                    deliver(gateway, router -> router.requestAbandoned(now, request));
                }
                case 4 -> skipProbeResult(frame);
                case 5 -> {
                    int token = (int) frame.u32();
                    deliver(gateway, router -> router.woken(now, token));
                }
                case 6 -> attemptEnded(frame, now, gateway);
                case 7 -> requestArrived(frame, now, gateway);
                case 8 -> gateways.remove(number);
                case 9 -> init(frame, now, number);
                default -> throw frame.invalid("unknown event code " + code);
            }
        }
        frame.requireEnd();
    }

    private interface Delivery {
        void to(Routing.Events router);
    }

    private void deliver(Gateway gateway, Delivery delivery) {
        if (gateway == null) {
            return;
        }
        try {
            delivery.to(gateway.router);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            String line = e + (trace.length > 0 ? " at " + trace[0] : "");
            err.println("gateway " + gateway.number + ": " + line);
            reply.fault(gateway.number, line);
        }
    }

    private void init(Frame frame, long now, int number) throws WireException {
        long seed = frame.u64();
        byte[] text = frame.bytes(frame.u32());
        Gateway gateway;
        try {
            gateway = new Gateway(number, SettingsParser.parse(text), seed, reply, routerFactory);
        } catch (WireException e) {
            throw frame.invalid(e.getMessage());
        }
        gateways.put(number, gateway);
        deliver(gateway, router -> router.started(now));
    }

    private void endpointList(Frame frame, long now, Gateway gateway) throws WireException {
        frame.u64();
        int code = frame.u8();
        Routing.ListKind listKind = code < LIST_KINDS.length ? LIST_KINDS[code] : null;
        if (listKind == null) {
            throw frame.invalid("unknown list kind " + code);
        }
        int count = frame.count(frame.u32(), SERVER_BYTES);
        List<Routing.ServerState> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int cell = frame.u16();
            int kind = frame.u8();
            int state = frame.u8();
            if (state >= LIFECYCLES.length) {
                throw frame.invalid("unknown lifecycle " + state);
            }
            double weight = frame.f32();
            int zone = frame.u8();
            long started = micros(frame.f64());
            entries.add(new Routing.ServerState(frame.u32(), zone, kind, cell, weight, LIFECYCLES[state],
                    started));
        }
        deliver(gateway, router -> router.listReceived(now, listKind, entries));
    }

    private void requestArrived(Frame frame, long now, Gateway gateway) throws WireException {
        long id = frame.u64();
        int tenant = (int) frame.u32();
        int flags = frame.u16();
        long session = frame.u64();
        frame.f64();
        double maxTokens = frame.f32();
        double prefixTokens = frame.f32();
        long clientTimeout = micros(frame.f64());
        double promptTokens = frame.f32();
        int requestClass = frame.u16();
        long prefix = frame.u64();
        Routing.Request request = new Routing.Request(id, requestClass, tenant, (flags & 2) != 0, session,
                prefix, promptTokens, prefixTokens, maxTokens, clientTimeout);
        deliver(gateway, router -> router.requestArrived(now, request));
    }

    private void firstToken(Frame frame, long now, Gateway gateway) throws WireException {
        long request = frame.u64();
        int attempt = frame.u16();
        frame.u32();
        frame.f64();
        deliver(gateway, router -> router.firstToken(now, request, attempt));
    }

    private void attemptEnded(Frame frame, long now, Gateway gateway) throws WireException {
        long request = frame.u64();
        int attempt = frame.u16();
        frame.u32();
        Routing.Outcome outcome = outcome(frame);
        long took = micros(frame.f64());
        boolean requestOver = frame.u8() != 0;
        long keptTokens = frame.u32();
        Routing.LoadReport report = report(frame, gateway);
        deliver(gateway, router -> router.attemptEnded(now, request, attempt, outcome, took, requestOver,
                keptTokens, report));
    }

    /** Reads and drops a probe result: the module never sends probes. */
    private static void skipProbeResult(Frame frame) throws WireException {
        frame.u32();
        outcome(frame);
        frame.f64();
        frame.bytes(4L * frame.u8());
    }

    private static void skipNote(Frame frame) throws WireException {
        frame.u32();
        frame.bytes(frame.u16());
    }

    private static Routing.Outcome outcome(Frame frame) throws WireException {
        int code = frame.u16();
        if (code >= OUTCOMES.length) {
            throw frame.invalid("unknown outcome code " + code);
        }
        return OUTCOMES[code];
    }

    private static Routing.LoadReport report(Frame frame, Gateway gateway) throws WireException {
        int count = frame.count(frame.u8(), 4);
        double[] values = new double[count];
        for (int i = 0; i < count; i++) {
            values[i] = frame.f32();
        }
        if (count == 0 || gateway == null) {
            return null;
        }
        List<String> names = gateway.reportNames;
        return new Routing.LoadReport(value(names, values, "inflight"), value(names, values, "queue"),
                value(names, values, "util"), value(names, values, "latency_ms"), value(names, values, "qps"),
                value(names, values, "eps"), value(names, values, "x0"), value(names, values, "x1"));
    }

    private static double value(List<String> names, double[] values, String name) {
        int index = names.indexOf(name);
        return index >= 0 && index < values.length ? values[index] : Double.NaN;
    }

    private static long micros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }
}
