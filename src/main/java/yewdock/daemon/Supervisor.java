package yewdock.daemon;

import java.io.File;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import yewdock.logging.EventLog;
import yewdock.platform.Addresses;
import yewdock.platform.Config;
import yewdock.settings.OperatorSettings;
import yewdock.sockets.MonotonicClock;
import yewdock.upgrade.Stage;
import yewdock.upgrade.SupervisorEffect;
import yewdock.upgrade.SupervisorEvent;
import yewdock.upgrade.SupervisorReducer;
import yewdock.upgrade.UpgradeLimits;
import yewdock.wire.Answer;
import yewdock.wire.Frame;
import yewdock.wire.Hello;
import yewdock.wire.State;

/**
 * The daemon's parent process. It holds the listener, starts generations that inherit it as standard input,
 * and executes the effects of {@link SupervisorReducer}. It never accepts or reads a client connection.
 */
public final class Supervisor {
    static final String GENERATION_VARIABLE = "YEWDOCK_GENERATION";
    static final String CONTROL_VARIABLE = "YEWDOCK_CONTROL";
    static final String SECRET_VARIABLE = "YEWDOCK_SECRET";
    static final String STORE_VARIABLE = "YEWDOCK_KEEPS";
    static final String CONSENSUS_VARIABLE = "YEWDOCK_AGREES";
    private static final long MAX_SLEEP_MICROS = 1_000_000;
    private static final int SECRET_BYTES = 16;
    private static final long FLUSH_TIMEOUT_MILLIS = 500;
    private static final Set<String> OVERRIDE_COMMANDS = Set.of("drain", "undrain", "mark-gone");

    private final OperatorSettings settings;
    private final List<String> defaultMainCommand;
    private final SupervisorReducer reducer;
    private final MonotonicClock clock = new MonotonicClock();
    private final BlockingQueue<SupervisorEvent> events = new LinkedBlockingQueue<>();
    private final Map<Integer, ControlConnection> generationConnections = new ConcurrentHashMap<>();
    private final Map<Integer, String> secrets = new ConcurrentHashMap<>();
    private final Map<Integer, Process> processes = new HashMap<>();
    private final Map<Long, ControlConnection> operatorConnections = new ConcurrentHashMap<>();
    private final AtomicLong lastCommandId = new AtomicLong();
    private final SecureRandom random = new SecureRandom();
    private final CountDownLatch ended = new CountDownLatch(1);
    private ServerSocketChannel listener;
    private ServerSocketChannel controlListener;
    /** Null if no store is configured. */
    private StateService stateService;
    private int exitCode = -1;

    /**
     * Creates a supervisor.
     *
     * @param usual main class and arguments of a generation, unless an upgrade names others
     */
    public Supervisor(OperatorSettings settings, List<String> usual) {
        this.settings = settings;
        this.defaultMainCommand = List.copyOf(usual);
        OperatorSettings.UpgradeSettings upgradeSettings = settings.upgrade();
        UpgradeLimits limits = new UpgradeLimits(Map.of(Stage.START, upgradeSettings.startMicros(),
                Stage.CHECK, upgradeSettings.checkMicros(), Stage.STATE, upgradeSettings.stateMicros(),
                Stage.READY, upgradeSettings.readyMicros(), Stage.SHARE, upgradeSettings.shareMicros(),
                Stage.TAKE, upgradeSettings.takeMicros(), Stage.GO, upgradeSettings.goMicros(),
                Stage.LET_GO, upgradeSettings.letGoMicros()),
                upgradeSettings.finishMicros(), upgradeSettings.maxFinishing());
        this.reducer = new SupervisorReducer(limits);
    }

    /** Listens, starts the first generation and runs until the last has ended; returns the exit code. */
    public int run() throws IOException {
        Config config = Config.read(Files.readString(settings.daemon().configFile()), line -> { });
        openControl();
        if (settings.store().enabled()) {
            stateService = new StateService(settings, frame ->
                    generationConnections.values().forEach(connection -> connection.send(frame)));
            stateService.configurationApplied(Files.readString(settings.daemon().configFile()));
        }
        listener = InheritedListener.asStandardInput(Addresses.parse(config.listenAddress()));
        EventLog.info("keeper.listens", "address", listener.getLocalAddress(), "control",
                ControlConnection.socketIn(settings.daemon().controlFolder()));
        Thread accepting = new Thread(new AcceptLoop(controlListener::accept, "control.broken",
                channel -> new ControlClient(channel).start()), "control");
        accepting.setDaemon(true);
        accepting.start();
        ConfigurationFile configurationFile = ConfigurationFile.at(settings.daemon().configFile());
        configurationFile.setReader(() -> {
            events.add(new SupervisorEvent.ReloadRequested());
            return StandaloneRouter.isReadable(settings.daemon().configFile());
        });
        if (!configurationFile.handlesSignal()) {
            EventLog.warn("configuration.looked_at", "why",
                    "SIGHUP was ignored when this process was started",
                    "file", settings.daemon().configFile());
        }
        Thread leave = new Thread(() -> {
            events.add(new SupervisorEvent.ShutdownRequested());
            try {
                ended.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "leave");
        Runtime.getRuntime().addShutdownHook(leave);
        String program = settings.daemon().classPath();
        events.add(new SupervisorEvent.ListenerOpened(List.of(program.isEmpty() ? ownClassPath() : program)));
        while (exitCode < 0) {
            runOnce();
        }
        controlListener.close();
        Files.deleteIfExists(ControlConnection.socketIn(settings.daemon().controlFolder()));
        if (stateService != null) {
            stateService.close();
        }
        EventLog.info("keeper.ends", "exit", exitCode);
        ended.countDown();
        return exitCode;
    }

    private void runOnce() {
        try {
            long waitMicros = Math.max(0, Math.min(reducer.nextTimerDue() - clock.getAsLong(),
                    MAX_SLEEP_MICROS));
            SupervisorEvent event = events.poll(waitMicros, TimeUnit.MICROSECONDS);
            if (event instanceof SupervisorEvent.ProcessEnded exited) {
                processes.remove(exited.generation());
                secrets.remove(exited.generation());
            }
            if (event instanceof SupervisorEvent.ReloadRequested) {
                configurationReloaded();
            }
            if (event != null) {
                reducer.reduce(event, clock.getAsLong()).forEach(this::execute);
            }
            if (reducer.nextTimerDue() <= clock.getAsLong()) {
                reducer.reduce(new SupervisorEvent.Tick(), clock.getAsLong()).forEach(this::execute);
            }
        } catch (InterruptedException e) {
            EventLog.warn("keeper.interrupted");
        }
    }

    /** Stores the reloaded configuration; an invalid one is refused here and by the generations. */
    private void configurationReloaded() {
        if (stateService != null) {
            try {
                String text = Files.readString(settings.daemon().configFile());
                Config.read(text, line -> { });
                stateService.configurationApplied(text);
            } catch (IOException | IllegalArgumentException e) {
                EventLog.warn("configuration.not_kept", "why", e.getMessage());
            }
        }
    }

    /** The class path of this process, with absolute paths. */
    private static String ownClassPath() {
        StringBuilder all = new StringBuilder();
        for (String part : System.getProperty("java.class.path").split(File.pathSeparator)) {
            all.append(all.length() == 0 ? "" : File.pathSeparator).append(Path.of(part).toAbsolutePath());
        }
        return all.toString();
    }

    // ---- the control socket

    private void openControl() throws IOException {
        Path folder = settings.daemon().controlFolder();
        Files.createDirectories(folder);
        Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwx------"));
        Path socket = ControlConnection.socketIn(folder);
        if (Files.exists(socket)) {
            // left over from a daemon that was killed, or in use by a running one
            try {
                ControlConnection.inFolder(folder).close();
                throw new IOException("a daemon runs already, its control socket is " + socket);
            } catch (IOException e) {
                if (e.getMessage().startsWith("a daemon runs")) {
                    throw e;
                }
                Files.delete(socket);
            }
        }
        controlListener = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        controlListener.bind(UnixDomainSocketAddress.of(socket));
        Files.setPosixFilePermissions(socket, PosixFilePermissions.fromString("rw-------"));
    }

    /**
     * A connection of the control socket; the first frame tells whether a generation or operator opened it.
     */
    private final class ControlClient {
        private final ControlConnection connection;
        private int generation;
        private long commandId;

        ControlClient(SocketChannel channel) {
            connection = new ControlConnection(channel);
        }

        void start() {
            connection.start("peer", this::frameReceived, this::connectionLost);
        }

        private void frameReceived(Frame frame) {
            if (generation != 0) {
                if (stateService != null) {
                    stateService.frameReceived(frame);
                    stateService.consensus(generation, connection, frame);
                }
                if (!frame.hasKeep() && !frame.hasTakenUp()) {
                    events.add(new SupervisorEvent.FrameReceived(generation, frame));
                }
            } else if (commandId != 0) {
                connection.close();
            } else if (frame.hasHello()) {
                hello(frame);
            } else if (frame.hasAsk()) {
                commandId = lastCommandId.incrementAndGet();
                if (stateService != null && stateService.handleCommand(frame.getAsk().getCommand(),
                        frame.getAsk().getWordsList(), this::answer)) {
                    return;
                }
                if (OVERRIDE_COMMANDS.contains(frame.getAsk().getCommand())) {
                    answer(Answer.newBuilder().setLine("no store is configured: store.folder is not set")
                            .setLast(true).setExit(1).build());
                    return;
                }
                if (frame.getAsk().getCommand().equals("rules")) {
                    answer(Answer.newBuilder().setLine("consensus is off: agreement.members is not set")
                            .setLast(true).setExit(1).build());
                    return;
                }
                operatorConnections.put(commandId, connection);
                if (stateService != null && frame.getAsk().getCommand().equals("status")) {
                    stateService.status().forEach(l -> answer(Answer.newBuilder().setLine(l).build()));
                }
                events.add(frame.getAsk().getCommand().equals("upgrade")
                        ? new SupervisorEvent.UpgradeRequested(commandId, frame.getAsk().getWordsList())
                        : new SupervisorEvent.StatusRequested(commandId));
            } else {
                connection.close();
            }
        }

        private void answer(Answer answer) {
            connection.send(Frame.newBuilder().setAnswer(answer).build());
        }

        private void hello(Frame frame) {
            Hello hello = frame.getHello();
            if (!hello.getSecret().equals(secrets.get(hello.getGeneration()))) {
                connection.close();
                return;
            }
            generation = hello.getGeneration();
            generationConnections.put(generation, connection);
            events.add(new SupervisorEvent.FrameReceived(generation, frame));
        }

        private void connectionLost(String why) {
            if (generation != 0) {
                generationConnections.remove(generation, connection);
                if (stateService != null) {
                    stateService.generationGone(generation);
                }
                events.add(new SupervisorEvent.ConnectionLost(generation, why));
            } else if (commandId != 0) {
                operatorConnections.remove(commandId);
            }
        }
    }

    // ---- effects

    private void execute(SupervisorEffect effect) {
        if (effect instanceof SupervisorEffect.SendFrame e) {
            ControlConnection connection = generationConnections.get(e.generation());
            if (connection != null && e.frame().hasState() && stateService != null) {
                sendStateAndOverrides(connection, e.frame());
            } else if (connection != null) {
                connection.send(e.frame());
            }
        } else if (effect instanceof SupervisorEffect.StartProcess e) {
            start(e.generation(), e.program());
        } else if (effect instanceof SupervisorEffect.KillProcess e) {
            Process process = processes.get(e.generation());
            if (process != null) {
                process.destroyForcibly();
            }
        } else if (effect instanceof SupervisorEffect.Reply e) {
            ControlConnection connection = operatorConnections.get(e.command());
            if (connection != null) {
                connection.send(Frame.newBuilder().setAnswer(Answer.newBuilder().setLine(e.line())
                        .setLast(e.last()).setExit(e.exit())).build());
            }
        } else if (effect instanceof SupervisorEffect.WriteLog e) {
            EventLog.info(e.event(), e.fields());
        } else if (effect instanceof SupervisorEffect.ExitSupervisor e) {
            exitCode = e.exit();
            operatorConnections.values().forEach(connection ->
                    connection.flushAndClose(FLUSH_TIMEOUT_MILLIS));
        }
    }

    /** Sends a generation its state, or the stored one if no predecessor gave any, then the overrides. */
    private void sendStateAndOverrides(ControlConnection connection, Frame frame) {
        State stored = frame.getState().hasModule() ? null : stateService.initialState();
        connection.send(stored == null ? frame : Frame.newBuilder().setState(stored).build());
        stateService.withOverrides(connection::send);
    }

    /**
     * Starts a generation; program is a class path, followed by main class and arguments if not the default.
     */
    private void start(int number, List<String> program) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(settings.daemon().jvmFlags());
        command.addAll(List.of("-cp", program.get(0)));
        command.addAll(program.size() > 1 ? program.subList(1, program.size())
                : defaultMainCommand);
        byte[] secret = new byte[SECRET_BYTES];
        random.nextBytes(secret);
        secrets.put(number, HexFormat.of().formatHex(secret));
        ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
        builder.environment().put(GENERATION_VARIABLE, Integer.toString(number));
        builder.environment().put(SECRET_VARIABLE, secrets.get(number));
        builder.environment().put(CONTROL_VARIABLE,
                settings.daemon().controlFolder().toAbsolutePath().toString());
        if (stateService != null) {
            builder.environment().put(STORE_VARIABLE, "1");
        }
        if (settings.consensus().enabled()) {
            builder.environment().put(CONSENSUS_VARIABLE, "1");
        }
        builder.environment().put("PROXY_CONFIG", settings.daemon().configFile().toString());
        builder.environment().put("YEWDOCK_LOG", settings.log().form());
        try {
            Process process = builder.start();
            processes.put(number, process);
            process.onExit().thenAccept(done -> events.add(new SupervisorEvent.ProcessEnded(number,
                    "the process exited with " + done.exitValue())));
        } catch (IOException e) {
            events.add(new SupervisorEvent.ProcessEnded(number, "the process can't be started: "
                    + e.getMessage()));
        }
    }
}
