package yewdock.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.function.Consumer;
import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;
import umberspread.BoundedLoadRouter;
import yewdock.admin.AdminInterface;
import yewdock.core.CoreSettings;
import yewdock.core.Counters;
import yewdock.core.Reducer;
import yewdock.platform.Config;
import yewdock.platform.ConnectionManager;
import yewdock.sockets.MinaTransport;

/** One router in this process, as the platform runs it: no keeper, no store. */
public final class StandaloneRouter {
    /** Makes what a router needs to be replaced by a process beside it. */
    public interface HandoverFactory {
        ProcessHandover make(String folder, Config config);
    }

    private StandaloneRouter() {
    }

    /** Serves as the configuration in this file says, to the end; returns the exit code. */
    public static int run(String file, HandoverFactory maker) {
        Consumer<String> log = line -> Logger.info("{}", line);
        if (file == null) {
            Logger.error("the configuration can't be read: PROXY_CONFIG is not set");
            return 1;
        }
        // before all else: a SIGHUP that comes meanwhile would end the process
        ConfigurationFile configurationFile = ConfigurationFile.at(Path.of(file));
        Config config;
        try {
            config = read(file, log);
        } catch (IOException | IllegalArgumentException e) {
            Logger.error("the configuration can't be read: {}", e.toString());
            return 1;
        }
        String operator = config.operatorAddress().isEmpty()
                ? Objects.requireNonNullElse(System.getenv("PROXY_OPERATOR"), "") : config.operatorAddress();
        Counters counters = new Counters();
        // only a router with a door for operators is replaced by a process beside it
        ProcessHandover succession = operator.isEmpty() ? null
                : maker.make(Objects.requireNonNullElse(System.getenv("TMPDIR"), ""), config);
        if (succession != null) {
            succession.fetchPredecessorState();
        }
        Reducer desk = new Reducer(CoreSettings.of(config.settings(), config.keepaliveMicros()),
                config.bounds(),
                counters,
                actions -> succession == null
                        ? new BoundedLoadRouter(config.settings(), config.seed(), actions)
                        : succession.router(actions));
        MinaTransport sockets = new MinaTransport(config.bounds().maxClientConnections(),
                config.settings().contract().drainGrace());
        ConnectionManager front = new ConnectionManager(config, desk, counters, sockets, sockets.clock(),
                log);
        // The JVM ends when its hooks have: this one holds it until nothing is owed.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            sockets.shutDownGracefully();
            Logger.info("counters at exit:\n{}", counters);
            shutLogger();
        }, "leave"));
        configurationFile.readBy(() -> reconfigure(sockets, file, log));
        if (!configurationFile.takesSignal()) {
            Logger.warn("SIGHUP was ignored when this process was started: {} is read again whenever it has "
                    + "changed", file);
        }
        try {
            if (succession != null) {
                AdminInterface door = new AdminInterface(front);
                sockets.listenForOperators(operator, AdminInterface.MAX_ACCEPTED_CONNECTIONS,
                        AdminInterface.IDLE_TIMEOUT_SECONDS,
                        door::accept);
            }
        } catch (IOException | IllegalArgumentException e) {
            Logger.error("can't listen for operators on {}: {}", operator, e.getMessage());
            Runtime.getRuntime().halt(1);
        }
        try {
            if (succession == null) {
                sockets.serve(config.listenAddress(), front, desk);
            } else {
                succession.serve(sockets, front, desk);
            }
        } catch (IOException e) {
            Logger.error("can't listen on {}: {}", config.listenAddress(), e.getMessage());
            Runtime.getRuntime().halt(1);
        }
        return 0;
    }

    private static boolean reconfigure(MinaTransport sockets, String file, Consumer<String> log) {
        try {
            sockets.reconfigure(read(file, log));
            return true;
        } catch (IOException | IllegalArgumentException e) {
            Logger.warn("the new configuration can't be read, the old one stays: {}", e.toString());
            return false;
        }
    }

    /** Whether a configuration can be read from this file. */
    static boolean isReadable(Path file) {
        try {
            read(file.toString(), line -> { });
            return true;
        } catch (IOException | IllegalArgumentException e) {
            return false;
        }
    }

    /** The configuration in this file; null where none was named. */
    static Config read(String file, Consumer<String> log) throws IOException {
        if (file == null) {
            throw new IllegalArgumentException("PROXY_CONFIG is not set");
        }
        return Config.read(Files.readString(Path.of(file)), log);
    }

    private static void shutLogger() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
