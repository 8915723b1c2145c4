package umberspread.adapter;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import umberspread.BoundedLoadRouter;
import umberspread.Routing;

/** Hosts many gateways' routers and translates between the wire and {@link Routing}. */
final class Host {
    private static final int ENTRY_BYTES = 21;
    private static final double MICROS = 1e6;
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

    private final Main.RouterFactory maker;

    Host(Reply reply, PrintStream err) {
        this(reply, err, BoundedLoadRouter::new);
    }

    Host(Reply reply, PrintStream err, Main.RouterFactory maker) {
        this.reply = reply;
        this.err = err;
        this.maker = maker;
    }

    /** One gateway: its router, and the router's actions on the wire. */
    private static final class Gateway implements Routing.Actions {
        private final int number;
        private final Reply reply;
        private final List<String> reportNames;
        private final Routing.Events router;

        Gateway(int number, SettingsParser.Parsed parsed, long seed, Reply reply, Main.RouterFactory maker) {
            this.number = number;
            this.reply = reply;
            this.reportNames = parsed.reportNames();
            this.router = maker.create(parsed.settings(), seed, this);
        }

        @Override
        public void send(long requestId, long replicaId, long timeout) {
            reply.dispatch(number, requestId, replicaId, timeout / MICROS);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            reply.dropAttempt(number, requestId, attempt);
        }

        @Override
        public void refuse(long requestId, long retryAfter) {
            reply.busy(number, requestId, retryAfter / MICROS);
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
            reply.wakeAt(number, time / MICROS, token);
        }

        @Override
        public void log(String line) {
            reply.print(number, line);
        }
    }

    /** Handles one batch; the actions are then in the reply. */
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
                case 0 -> note(frame);
                case 1 -> view(frame, now, gateway);
                case 2 -> firstToken(frame, now, gateway);
                case 3 -> {
                    long request = frame.u64();
                    deliver(gateway, g -> g.requestAbandoned(now, request));
                }
                case 4 -> echo(frame);
                case 5 -> {
                    int token = (int) frame.u32();
                    deliver(gateway, g -> g.woken(now, token));
                }
                case 6 -> finished(frame, now, gateway);
                case 7 -> arrival(frame, now, gateway);
                case 8 -> gateways.remove(number);
                case 9 -> init(frame, now, number);
                default -> throw frame.bad("unknown event code " + code);
            }
        }
        frame.end();
    }

    private interface Call {
        void on(Routing.Events router);
    }

    private void deliver(Gateway gateway, Call call) {
        if (gateway == null) {
            return;
        }
        try {
            call.on(gateway.router);
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
            gateway = new Gateway(number, SettingsParser.parse(text), seed, reply, maker);
        } catch (WireException e) {
            throw frame.bad(e.getMessage());
        }
        gateways.put(number, gateway);
        deliver(gateway, g -> g.started(now));
    }

    private void view(Frame frame, long now, Gateway gateway) throws WireException {
        frame.u64();
        int code = frame.u8();
        Routing.ListKind kind = code < LIST_KINDS.length ? LIST_KINDS[code] : null;
        if (kind == null) {
            throw frame.bad("unknown list kind " + code);
        }
        int n = frame.count(frame.u32(), ENTRY_BYTES);
        List<Routing.ServerState> entries = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            int cell = frame.u16();
            int shape = frame.u8();
            int state = frame.u8();
            if (state >= LIFECYCLES.length) {
                throw frame.bad("unknown lifecycle " + state);
            }
            double weight = frame.f32();
            int zone = frame.u8();
            long started = micros(frame.f64());
            entries.add(new Routing.ServerState(frame.u32(), zone, shape, cell, weight, LIFECYCLES[state],
                    started));
        }
        deliver(gateway, g -> g.listReceived(now, kind, entries));
    }

    private void arrival(Frame frame, long now, Gateway gateway) throws WireException {
        long id = frame.u64();
        int tenant = (int) frame.u32();
        int flags = frame.u16();
        long session = frame.u64();
        frame.f64();
        double maxTokens = frame.f32();
        double prefixTokens = frame.f32();
        long patience = micros(frame.f64());
        double promptTokens = frame.f32();
        int requestClass = frame.u16();
        long prefix = frame.u64();
        Routing.Request request = new Routing.Request(id, requestClass, tenant, (flags & 2) != 0, session,
                prefix, promptTokens, prefixTokens, maxTokens, patience);
        deliver(gateway, g -> g.requestArrived(now, request));
    }

    private void firstToken(Frame frame, long now, Gateway gateway) throws WireException {
        long request = frame.u64();
        int attempt = frame.u16();
        frame.u32();
        frame.f64();
        deliver(gateway, g -> g.firstToken(now, request, attempt));
    }

    private void finished(Frame frame, long now, Gateway gateway) throws WireException {
        long request = frame.u64();
        int attempt = frame.u16();
        frame.u32();
        Routing.Outcome outcome = outcome(frame);
        long took = micros(frame.f64());
        boolean over = frame.u8() != 0;
        long kept = frame.u32();
        Routing.LoadReport report = report(frame, gateway);
        deliver(gateway, g -> g.attemptEnded(now, request, attempt, outcome, took, over, kept, report));
    }

    /** The router never probes; the record is read and dropped. */
    private static void echo(Frame frame) throws WireException {
        frame.u32();
        outcome(frame);
        frame.f64();
        frame.bytes(4L * frame.u8());
    }

    private static void note(Frame frame) throws WireException {
        frame.u32();
        frame.bytes(frame.u16());
    }

    private static Routing.Outcome outcome(Frame frame) throws WireException {
        int code = frame.u16();
        if (code >= OUTCOMES.length) {
            throw frame.bad("unknown outcome code " + code);
        }
        return OUTCOMES[code];
    }

    private static Routing.LoadReport report(Frame frame, Gateway gateway) throws WireException {
        int n = frame.count(frame.u8(), 4);
        double[] v = new double[n];
        for (int i = 0; i < n; i++) {
            v[i] = frame.f32();
        }
        if (n == 0 || gateway == null) {
            return null;
        }
        List<String> names = gateway.reportNames;
        return new Routing.LoadReport(value(names, v, "inflight"), value(names, v, "queue"),
                value(names, v, "util"), value(names, v, "latency_ms"), value(names, v, "qps"),
                value(names, v, "eps"), value(names, v, "x0"), value(names, v, "x1"));
    }

    private static double value(List<String> names, double[] values, String name) {
        int i = names.indexOf(name);
        return i >= 0 && i < values.length ? values[i] : Double.NaN;
    }

    private static long micros(double seconds) {
        return Math.round(seconds * MICROS);
    }
}
