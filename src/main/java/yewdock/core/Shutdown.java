package yewdock.core;

/**
 * The stages of a graceful shutdown. For a while after its start, new connections and requests still arrive
 * and are served. Later requests are refused: the process may be killed before it has served them, while
 * their clients can still send them elsewhere.
 */
final class Shutdown {
    /** Delay in microseconds after which idle client connections are closed; new ones arrive for 0.4 s. */
    static final long CLOSE_IDLE_AFTER_MICROS = 500_000;
    /**
     * Time in microseconds in which requests are accepted. The platform owes later ones nothing only up to
     * 0.7 s after the signal, which a process that is held up may notice 0.1 s late.
     */
    static final long ACCEPT_REQUESTS_MICROS = 600_000;
    /** Earliest exit, in microseconds. */
    static final long MIN_DURATION_MICROS = 800_000;

    private final ReducerContext context;
    private boolean started;
    private long startedAt;

    Shutdown(ReducerContext context) {
        this.context = context;
    }

    boolean isStarted() {
        return started;
    }

    /** Starts the shutdown unless it has started. */
    void start() {
        if (started) {
            return;
        }
        started = true;
        startedAt = context.now();
        context.log("leaving");
        context.runAt(startedAt + CLOSE_IDLE_AFTER_MICROS, () -> context.emit(new Effect.CloseIdleClients()));
        // no task: the reducer checks after every event whether it may exit
        context.runAt(startedAt + MIN_DURATION_MICROS, () -> { });
    }

    /** Whether a request that arrives now is refused. */
    boolean refusesRequests() {
        return started && context.now() > startedAt + ACCEPT_REQUESTS_MICROS;
    }

    /** Whether the process may exit once no request is open. */
    boolean mayExit() {
        return started && context.now() >= startedAt + MIN_DURATION_MICROS;
    }
}
