package yewdock.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.function.Consumer;
import org.tinylog.Logger;
import umberspread.BoundedLoadRouter;
import yewdock.admin.AdminInterface;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Reducer;
import yewdock.logging.EventLog;
import yewdock.platform.Config;
import yewdock.platform.ConnectionManager;
import yewdock.sockets.MinaTransport;
import yewdock.sockets.MonotonicClock;

/** Runs a single router in this process, without supervisor and store. */
public final class StandaloneRouter {
    /** Creates the handover with a process that runs alongside this one. */
    public interface HandoverFactory {
        ProcessHandover create(String folder, Config config);
    }

    private StandaloneRouter() {
    }

    /** Serves with the configuration in this file until the process ends; returns the exit code. */
    public static int run(String configFile, HandoverFactory factory) {
        FatalErrors.haltProcess();
        Consumer<String> log = line -> Logger.info("{}", line);
        if (configFile == null) {
            Logger.error("the configuration can't be read: PROXY_CONFIG is not set");
            return 1;
        }
        // first of all: a SIGHUP before its handler is installed would end the process
        ConfigurationFile configurationFile = ConfigurationFile.at(Path.of(configFile));
        Config config;
        try {
            config = read(configFile, log);
        } catch (IOException | IllegalArgumentException e) {
            Logger.error("the configuration can't be read: {}", e.toString());
            return 1;
        }
        String operatorAddress = config.operatorAddress().isEmpty()
                ? Objects.requireNonNullElse(System.getenv("PROXY_OPERATOR"), "") : config.operatorAddress();
        Counters counters = new Counters();
        // only a router with an admin interface can be replaced by a process that runs alongside it
        ProcessHandover handover = operatorAddress.isEmpty() ? null
                : factory.create(Objects.requireNonNullElse(System.getenv("TMPDIR"), ""), config);
        if (handover != null) {
            handover.fetchPredecessorState();
        }
        Reducer reducer = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(), counters, actions -> handover == null
                        ? new BoundedLoadRouter(config.settings(), config.seed(), actions)
                        : handover.router(actions));
        MinaTransport transport = new MinaTransport(config.bounds().maxClientConnections(),
                config.settings().contract().drainGrace());
        ConnectionManager connectionManager = new ConnectionManager(config, reducer, counters, transport,
                transport.clock(), log);
        connectionManager.followWallClock(MonotonicClock::wallMicros);
        connectionManager.reportTransitionsTo(new RequestTransitionLog(transport.clock())::write);
        // The JVM exits when its shutdown hooks have finished; this one waits for all open requests.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            transport.shutDownGracefully();
            Logger.info("counters at exit:\n{}", counters);
            EventLog.flush();
        }, "leave"));
        configurationFile.setReader(() -> {
            boolean readable = reconfigure(transport, configFile, log);
            if (readable && handover != null) {
                handover.configurationReloaded();
            }
            return readable;
        });
        if (!configurationFile.handlesSignal()) {
            Logger.warn("SIGHUP was ignored when this process was started: {} is read again whenever it has "
                    + "changed", configFile);
        }
        try {
            if (handover != null) {
                AdminInterface adminInterface = new AdminInterface(connectionManager);
                transport.listenForOperators(operatorAddress, AdminInterface.MAX_ACCEPTED_CONNECTIONS,
                        AdminInterface.IDLE_TIMEOUT_SECONDS, adminInterface::accept);
            }
        } catch (IOException | IllegalArgumentException e) {
            Logger.error("can't listen for operators on {}: {}", operatorAddress, e.getMessage());
            Runtime.getRuntime().halt(1);
        }
        try {
            if (handover == null) {
                transport.serve(config.listenAddress(), connectionManager, reducer);
            } else {
                handover.serve(transport, connectionManager, reducer, configurationFile);
            }
        } catch (IOException e) {
            Logger.error("can't listen on {}: {}", config.listenAddress(), e.getMessage());
            Runtime.getRuntime().halt(1);
        }
        return 0;
    }

    private static boolean reconfigure(MinaTransport transport, String configFile, Consumer<String> log) {
        try {
            transport.reconfigure(read(configFile, log));
            return true;
        } catch (IOException | IllegalArgumentException e) {
            Logger.warn("the new configuration can't be read, the old one stays: {}", e.toString());
            return false;
        }
    }

    /** Whether this file holds a readable configuration. */
    static boolean isReadable(Path file) {
        try {
            read(file.toString(), line -> { });
            return true;
        } catch (IOException | IllegalArgumentException e) {
            return false;
        }
    }

    /** Reads the configuration file; throws IllegalArgumentException if file is null. */
    static Config read(String file, Consumer<String> log) throws IOException {
        if (file == null) {
            throw new IllegalArgumentException("PROXY_CONFIG is not set");
        }
        return Config.read(Files.readString(Path.of(file)), log);
    }
}
