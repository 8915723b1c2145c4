package yewdock.core;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Executes the operators' commands. Each is answered within the same event, so that a positive answer holds
 * from then on. Cordons are kept in {@link KnownServers}, the quiesced state is kept here.
 */
final class OperatorCommandHandler {
    /**
     * Delay in microseconds from the quiesce command to closing idle client connections. New connections stop
     * arriving within 0.3 s after /ready has begun to fail.
     */
    static final long CLOSE_IDLE_DELAY_MICROS = 500_000;
    /**
     * Interval in microseconds at which idle client connections are closed again; none may be left after 4 s.
     */
    static final long CLOSE_IDLE_INTERVAL_MICROS = 300_000;

    private final ReducerContext context;
    private final CoreSettings settings;
    private final Counters counters;
    private final KnownServers servers;
    private final IntSupplier pendingRequests;
    /** Returns an empty text if a request that arrived now could be served here, else the reason. */
    private final Supplier<String> notReadyReason;
    private final Runnable overrideChanged;
    private boolean quiesced;
    private long closeIdleAt;

    OperatorCommandHandler(ReducerContext context, CoreSettings settings, Counters counters,
            KnownServers servers,
            IntSupplier pendingRequests, Supplier<String> notReadyReason, Runnable overrideChanged) {
        this.context = context;
        this.settings = settings;
        this.counters = counters;
        this.servers = servers;
        this.pendingRequests = pendingRequests;
        this.notReadyReason = notReadyReason;
        this.overrideChanged = overrideChanged;
    }

    boolean quiesced() {
        return quiesced;
    }

    void execute(Event.OperatorCommandReceived event, boolean shuttingDown) {
        context.count("calls." + event.command().name().toLowerCase(Locale.ROOT));
        switch (event.command()) {
            case HEALTH -> {
                String reason = notReadyReason.get();
                answer(event, reason.isEmpty(), reason.isEmpty() ? "ready" : reason);
            }
            case COUNTERS -> context.callModule(0, m ->
                    context.emit(new Effect.AnswerStatistics(event.caller(),
                    statistics(m.unavailableServers(context.now())))));
            case CORDON -> cordon(event);
            case UNCORDON -> uncordon(event);
            case QUIESCE -> quiesce(event);
            case RESUME -> {
                quiesced = false;
                answer(event, !shuttingDown, shuttingDown ? "leaving" : "takes clients");
            }
            default -> answer(event, false, "unknown call");
        }
    }

    private void cordon(Event.OperatorCommandReceived event) {
        String server = event.server();
        if (servers.isCordoned(server)) {
            answer(event, true, server + " was cordoned before");
        } else if (!servers.isListed(server)) {
            answer(event, false, "no box of this id is known");
        } else {
            servers.cordon(server);
            overrideChanged(server);
            context.log("cordoned " + server);
            answer(event, true, server + " gets nothing new");
        }
    }

    private void uncordon(Event.OperatorCommandReceived event) {
        String server = event.server();
        if (servers.isCordoned(server)) {
            servers.uncordon(server);
            overrideChanged(server);
            context.log("uncordoned " + server);
            answer(event, true, server + " may serve again");
        } else if (servers.isListed(server)) {
            answer(event, true, server + " was not cordoned");
        } else {
            answer(event, false, "no box of this id is known");
        }
    }

    private void overrideChanged(String server) {
        overrideChanged.run();
        context.emit(new Effect.PublishOverride(server, servers.overrides().get(server)));
    }

    private void quiesce(Event.OperatorCommandReceived event) {
        if (!quiesced) {
            quiesced = true;
            context.log("quiesced");
            closeIdleAt = context.now() + CLOSE_IDLE_DELAY_MICROS;
            closeIdleClients(closeIdleAt);
        }
        answer(event, true, "sends clients away");
    }

    /** Closes idle client connections, and repeats until the router is resumed. */
    private void closeIdleClients(long timeMicros) {
        context.runAt(timeMicros, () -> {
            if (quiesced && closeIdleAt == timeMicros) {
                context.emit(new Effect.CloseIdleClients());
                closeIdleAt = context.now() + CLOSE_IDLE_INTERVAL_MICROS;
                closeIdleClients(closeIdleAt);
            }
        });
    }

    private void answer(Event.OperatorCommandReceived event, boolean accepted, String text) {
        context.emit(new Effect.AnswerCommand(event.caller(), accepted, text));
    }

    private RouterStatistics statistics(Set<Long> avoidedByModule) {
        List<RouterStatistics.ClassStatistics> classes = settings.classNames().stream().map(className ->
                new RouterStatistics.ClassStatistics(
                className, count(className, RequestOutcome.COMPLETED),
                count(className, RequestOutcome.REJECTED),
                count(className, RequestOutcome.FAILED))).toList();
        int unavailable = 0;
        for (ModelServer server : servers.listed()) {
            ModelServer current = servers.get(server.id());
            unavailable += current == null || !current.takesWork() || avoidedByModule.contains(server.id())
                    ? 1 : 0;
        }
        return new RouterStatistics(classes, counters.get("tries.written"), pendingRequests.getAsInt(),
                servers.listed().size(), unavailable);
    }

    private long count(String className, RequestOutcome outcome) {
        return counters.get(outcome.counterName(className));
    }
}
