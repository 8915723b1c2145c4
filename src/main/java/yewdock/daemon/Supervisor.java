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
 * The small parent: it holds the listener, starts generations that have it as their standard input, and
 * carries out what {@link SupervisorReducer} decides. It never accepts a client's connection and never reads
 * one.
 */
public final class Supervisor {
    static final String GENERATION = "YEWDOCK_GENERATION";
    static final String CONTROL = "YEWDOCK_CONTROL";
    static final String SECRET = "YEWDOCK_SECRET";
    static final String KEEPS = "YEWDOCK_KEEPS";
    static final String AGREES = "YEWDOCK_AGREES";
    private static final long LONGEST_SLEEP = 1_000_000;
    private static final int SECRET_BYTES = 16;
    private static final long LAST_WORDS_MILLIS = 500;
    private static final Set<String> MARKING = Set.of("drain", "undrain", "mark-gone");

    private final OperatorSettings settings;
    private final List<String> defaultMainCommand;
    private final SupervisorReducer upgrade;
    private final MonotonicClock clock = new MonotonicClock();
    private final BlockingQueue<SupervisorEvent> events = new LinkedBlockingQueue<>();
    private final Map<Integer, ControlConnection> links = new ConcurrentHashMap<>();
    private final Map<Integer, String> secrets = new ConcurrentHashMap<>();
    private final Map<Integer, Process> processes = new HashMap<>();
    private final Map<Long, ControlConnection> operators = new ConcurrentHashMap<>();
    private final AtomicLong lastCommand = new AtomicLong();
    private final SecureRandom random = new SecureRandom();
    private final CountDownLatch ended = new CountDownLatch(1);
    private ServerSocketChannel listener;
    private ServerSocketChannel control;
    /** Null where nothing is kept. */
    private StateService archive;
    private int exit = -1;

    /** A keeper whose generations run this main class with these words, where an upgrade names no other. */
    public Supervisor(OperatorSettings settings, List<String> usual) {
        this.settings = settings;
        this.defaultMainCommand = List.copyOf(usual);
        OperatorSettings.UpgradeSettings u = settings.upgrade();
        UpgradeLimits limits = new UpgradeLimits(Map.of(Stage.START, u.startMicros(),
                Stage.CHECK, u.checkMicros(), Stage.STATE, u.stateMicros(),
                Stage.READY, u.readyMicros(), Stage.SHARE, u.shareMicros(),
                Stage.TAKE, u.takeMicros(), Stage.GO, u.goMicros(), Stage.LET_GO, u.letGoMicros()),
                u.finishMicros(), u.maxFinishing());
        this.upgrade = new SupervisorReducer(limits);
    }

    /** Listens, starts the first generation and keeps until the last has ended; returns the exit code. */
    public int run() throws IOException {
        Config config = Config.read(Files.readString(settings.daemon().configFile()), line -> { });
        openControl();
        if (settings.store().enabled()) {
            archive = new StateService(settings, frame -> links.values().forEach(link -> link.send(frame)));
            archive.applied(Files.readString(settings.daemon().configFile()));
        }
        listener = InheritedListener.asStandardInput(Addresses.parse(config.listenAddress()));
        EventLog.info("keeper.listens", "address", listener.getLocalAddress(), "control",
                ControlConnection.socketIn(settings.daemon().controlFolder()));
        Thread accepting = new Thread(this::acceptControl, "control");
        accepting.setDaemon(true);
        accepting.start();
        ConfigurationFile configurationFile = ConfigurationFile.at(settings.daemon().configFile());
        configurationFile.readBy(() -> {
            events.add(new SupervisorEvent.ReloadRequested());
            return StandaloneRouter.isReadable(settings.daemon().configFile());
        });
        if (!configurationFile.takesSignal()) {
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
        events.add(new SupervisorEvent.ListenerOpened(List.of(program.isEmpty() ? ownProgram() : program)));
        while (exit < 0) {
            keepOn();
        }
        control.close();
        Files.deleteIfExists(ControlConnection.socketIn(settings.daemon().controlFolder()));
        if (archive != null) {
            archive.close();
        }
        EventLog.info("keeper.ends", "exit", exit);
        ended.countDown();
        return exit;
    }

    private void keepOn() {
        try {
            long wait = Math.max(0, Math.min(upgrade.nextTimerDue() - clock.getAsLong(), LONGEST_SLEEP));
            SupervisorEvent event = events.poll(wait, TimeUnit.MICROSECONDS);
            if (event instanceof SupervisorEvent.ProcessEnded gone) {
                processes.remove(gone.generation());
                secrets.remove(gone.generation());
            }
            if (event instanceof SupervisorEvent.ReloadRequested) {
                applied();
            }
            if (event != null) {
                upgrade.reduce(event, clock.getAsLong()).forEach(this::perform);
            }
            if (upgrade.nextTimerDue() <= clock.getAsLong()) {
                upgrade.reduce(new SupervisorEvent.Tick(), clock.getAsLong()).forEach(this::perform);
            }
        } catch (InterruptedException e) {
            EventLog.warn("keeper.interrupted");
        }
    }

    /** What can't be read is refused by the generations too, and the old one stays. */
    private void applied() {
        if (archive != null) {
            try {
                String text = Files.readString(settings.daemon().configFile());
                Config.read(text, line -> { });
                archive.applied(text);
            } catch (IOException | IllegalArgumentException e) {
                EventLog.warn("configuration.not_kept", "why", e.getMessage());
            }
        }
    }

    /** What this process was started from. */
    private static String ownProgram() {
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
            // left by a daemon that was killed, or held by one that lives
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
        control = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        control.bind(UnixDomainSocketAddress.of(socket));
        Files.setPosixFilePermissions(socket, PosixFilePermissions.fromString("rw-------"));
    }

    private void acceptControl() {
        while (control.isOpen()) {
            try {
                new Peer(control.accept()).start();
            } catch (IOException e) {
                if (control.isOpen()) {
                    EventLog.warn("control.broken", "why", e.getMessage());
                }
            }
        }
    }

    /** A connection of the control socket: its first frame tells whose it is. */
    private final class Peer {
        private final ControlConnection link;
        private int generation;
        private long command;

        Peer(SocketChannel channel) {
            link = new ControlConnection(channel);
        }

        void start() {
            link.start("peer", this::heard, this::lost);
        }

        private void heard(Frame frame) {
            if (generation != 0) {
                if (archive != null) {
                    archive.heard(frame);
                    archive.agreement(generation, link, frame);
                }
                if (!frame.hasKeep() && !frame.hasTakenUp()) {
                    events.add(new SupervisorEvent.FrameReceived(generation, frame));
                }
            } else if (command != 0) {
                link.close();
            } else if (frame.hasHello()) {
                hello(frame);
            } else if (frame.hasAsk()) {
                command = lastCommand.incrementAndGet();
                if (archive != null && archive.asked(frame.getAsk().getCommand(),
                        frame.getAsk().getWordsList(), this::answer)) {
                    return;
                }
                if (MARKING.contains(frame.getAsk().getCommand())) {
                    answer(Answer.newBuilder().setLine("nothing is kept here: store.folder is not set")
                            .setLast(true).setExit(1).build());
                    return;
                }
                if (frame.getAsk().getCommand().equals("rules")) {
                    answer(Answer.newBuilder().setLine("nothing is agreed here: agreement.members is not set")
                            .setLast(true).setExit(1).build());
                    return;
                }
                operators.put(command, link);
                if (archive != null && frame.getAsk().getCommand().equals("status")) {
                    archive.status().forEach(l -> answer(Answer.newBuilder().setLine(l).build()));
                }
                events.add(frame.getAsk().getCommand().equals("upgrade")
                        ? new SupervisorEvent.UpgradeRequested(command, frame.getAsk().getWordsList())
                        : new SupervisorEvent.StatusRequested(command));
            } else {
                link.close();
            }
        }

        private void answer(Answer answer) {
            link.send(Frame.newBuilder().setAnswer(answer).build());
        }

        private void hello(Frame frame) {
            Hello hello = frame.getHello();
            if (!hello.getSecret().equals(secrets.get(hello.getGeneration()))) {
                link.close();
                return;
            }
            generation = hello.getGeneration();
            links.put(generation, link);
            events.add(new SupervisorEvent.FrameReceived(generation, frame));
        }

        private void lost(String why) {
            if (generation != 0) {
                links.remove(generation, link);
                if (archive != null) {
                    archive.gone(generation);
                }
                events.add(new SupervisorEvent.ConnectionLost(generation, why));
            } else if (command != 0) {
                operators.remove(command);
            }
        }
    }

    // ---- effects

    private void perform(SupervisorEffect effect) {
        if (effect instanceof SupervisorEffect.SendFrame e) {
            ControlConnection link = links.get(e.generation());
            if (link != null && e.frame().hasState() && archive != null) {
                stateWithMarks(link, e.frame());
            } else if (link != null) {
                link.send(e.frame());
            }
        } else if (effect instanceof SupervisorEffect.StartProcess e) {
            start(e.generation(), e.program());
        } else if (effect instanceof SupervisorEffect.KillProcess e) {
            Process process = processes.get(e.generation());
            if (process != null) {
                process.destroyForcibly();
            }
        } else if (effect instanceof SupervisorEffect.Reply e) {
            ControlConnection link = operators.get(e.command());
            if (link != null) {
                link.send(Frame.newBuilder().setAnswer(Answer.newBuilder().setLine(e.line())
                        .setLast(e.last()).setExit(e.exit())).build());
            }
        } else if (effect instanceof SupervisorEffect.WriteLog e) {
            EventLog.info(e.event(), e.fields());
        } else if (effect instanceof SupervisorEffect.ExitSupervisor e) {
            exit = e.exit();
            operators.values().forEach(link -> link.flushAndClose(LAST_WORDS_MILLIS));
        }
    }

    /** Where no generation before it can tell what it knew, what is kept stands in; marks follow at once. */
    private void stateWithMarks(ControlConnection link, Frame frame) {
        State kept = frame.getState().hasModule() ? null : archive.state();
        link.send(kept == null ? frame : Frame.newBuilder().setState(kept).build());
        archive.withMarks(link::send);
    }

    /**
     * The program is a class path, and after it the main class and its words where they are not the usual.
     */
    private void start(int number, List<String> program) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(settings.daemon().jvmFlags());
        command.addAll(List.of("-cp", program.get(0)));
        command.addAll(program.size() > 1 ? program.subList(1, program.size())
                : defaultMainCommand);
        byte[] bytes = new byte[SECRET_BYTES];
        random.nextBytes(bytes);
        secrets.put(number, HexFormat.of().formatHex(bytes));
        ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
        builder.environment().put(GENERATION, Integer.toString(number));
        builder.environment().put(SECRET, secrets.get(number));
        builder.environment().put(CONTROL, settings.daemon().controlFolder().toAbsolutePath().toString());
        if (archive != null) {
            builder.environment().put(KEEPS, "1");
        }
        if (settings.consensus().enabled()) {
            builder.environment().put(AGREES, "1");
        }
        builder.environment().put("PROXY_CONFIG", settings.daemon().configFile().toString());
        builder.environment().put("YEWDOCK_LOG", settings.log().form());
        try {
            Process process = builder.start();
            processes.put(number, process);
            process.onExit().thenAccept(done -> events.add(new SupervisorEvent.ProcessEnded(number,
                    "its process ended with " + done.exitValue())));
        } catch (IOException e) {
            events.add(new SupervisorEvent.ProcessEnded(number, "it can't be started: " + e.getMessage()));
        }
    }
}
