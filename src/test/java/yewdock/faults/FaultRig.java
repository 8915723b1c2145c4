package yewdock.faults;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

/**
 * A test installation: router processes, each with its own discovery service and clients, and model servers
 * that all routers share. Every attempt at a server is recorded and checked against the drain rule.
 */
final class FaultRig implements Closeable {
    private static final int CLIENTS_PER_ROUTER = 8;
    /** Lower than any version of {@link ScriptedDiscovery}'s first run. */
    private static final long INITIAL_LIST_VERSION = 1;
    private static final int FIRST_SERVER_NUMBER = 0xa0;

    private final DrainRuleChecker checker;
    private final Queue<RecordingServer.Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final List<RecordingServer> servers = new ArrayList<>();
    private final List<ScriptedDiscovery> discoveries = new ArrayList<>();
    private final List<RouterProcess> routers = new ArrayList<>();
    private final List<ClientTraffic> traffic = new ArrayList<>();
    private final Path folder;
    private final String discoveryMode;
    private final double graceSeconds;
    private final UnaryOperator<String> editConfiguration;
    private final Map<String, String> environment;

    /**
     * Starts an installation with all servers up and traffic at each router.
     *
     * @param folder where the routers' files go
     * @param byAgent whether discovery is an agent on the router's machine, else a service that is polled
     * @param graceMillis the drain grace
     */
    FaultRig(Path folder, boolean byAgent, long graceMillis, int routerCount, int serverCount)
            throws Exception {
        this(folder, byAgent, graceMillis, routerCount, serverCount, UnaryOperator.identity());
    }

    /** As above, with a change to the text of each router's configuration. */
    FaultRig(Path folder, boolean byAgent, long graceMillis, int routerCount, int serverCount,
            UnaryOperator<String> editConfiguration) throws Exception {
        this(folder, byAgent, graceMillis, routerCount, serverCount, editConfiguration, Map.of());
    }

    /** As above, with further environment variables for the routers. */
    FaultRig(Path folder, boolean byAgent, long graceMillis, int routerCount, int serverCount,
            UnaryOperator<String> editConfiguration, Map<String, String> environment) throws Exception {
        this.environment = environment;
        this.folder = folder;
        this.editConfiguration = editConfiguration;
        this.discoveryMode = byAgent ? "push" : "ask";
        this.graceSeconds = graceMillis / 1000.0;
        checker = new DrainRuleChecker(graceMillis, byAgent, System::nanoTime);
        for (int i = 0; i < serverCount; i++) {
            addServer();
        }
        for (int i = 0; i < routerCount; i++) {
            ScriptedDiscovery discovery = new ScriptedDiscovery(i, checker);
            servers.forEach(server -> discovery.setState(server.name(), server.address(), EndpointState.UP));
            discoveries.add(discovery);
            routers.add(startRouter(i, discovery.version()));
        }
        for (int i = 0; i < routerCount; i++) {
            traffic.add(new ClientTraffic(i, routers.get(i).port(), CLIENTS_PER_ROUTER));
        }
    }

    /** Starts another server, which discovery does not list yet. */
    RecordingServer addServer() throws IOException {
        String name = "s-" + Integer.toHexString(FIRST_SERVER_NUMBER + servers.size());
        RecordingServer server = new RecordingServer(name, this::attemptReceived);
        servers.add(server);
        return server;
    }

    private void attemptReceived(RecordingServer.Attempt attempt) {
        attempts.add(attempt);
        checker.attemptReceived(routerIndexOf(attempt.requestId()), attempt.server(),
                attempt.firstByteNanos());
    }

    /** Clients prefix each request id with the router's index in hexadecimal and a hyphen. */
    private static int routerIndexOf(String requestId) {
        return Integer.parseInt(requestId.substring(0, requestId.indexOf('-')), 16);
    }

    /** Returns all attempts of requests whose ids start with this prefix. */
    List<RecordingServer.Attempt> attemptsWithIdPrefix(String idPrefix) {
        return attempts.stream().filter(attempt -> attempt.requestId().startsWith(idPrefix)).toList();
    }

    private RouterProcess startRouter(int router, long cachedVersion) throws IOException {
        Path routerFolder = Files.createDirectories(folder.resolve("router-" + router));
        return new RouterProcess(routerFolder,
                configuration(discoveries.get(router).address(), cachedVersion),
                RouterProcess.SMALL_HEAP_FLAGS, environment);
    }

    /**
     * Returns a router's configuration, whose cached endpoint list has all servers up.
     *
     * @param discovery the address of discovery
     * @param cachedVersion the version of the cached endpoint list
     */
    String configuration(String discovery, long cachedVersion) throws IOException {
        String cachedServers = servers.stream()
                .map(server -> RouterConfigurations.serverEntry(server.name(), server.address()))
                .collect(Collectors.joining(","));
        return editConfiguration.apply(RouterConfigurations.withServers(cachedServers, cachedVersion))
                .replace("127.0.0.1:8000", "127.0.0.1:0").replace("127.0.0.1:8500", discovery)
                .replace("\"discovery\":\"ask\"", "\"discovery\":\"" + discoveryMode + "\"")
                .replace("\"drain_grace\":1.0", "\"drain_grace\":" + graceSeconds);
    }

    /** Kills a router's process and starts it again with an endpoint list that is older than all changes. */
    void restartRouter(int router) throws Exception {
        killRouter(router);
        startKilledRouter(router);
    }

    /** Kills a router's process. */
    void killRouter(int router) {
        traffic.get(router).close();
        routers.get(router).close();
    }

    /** Starts a router that was killed, with an endpoint list that is older than all changes. */
    void startKilledRouter(int router) throws Exception {
        checker.routerRestarted(router, true);
        routers.set(router, startRouter(router, INITIAL_LIST_VERSION));
        traffic.set(router, new ClientTraffic(router, routers.get(router).port(), CLIENTS_PER_ROUTER));
    }

    /** The checker that sees every attempt and every change in discovery. */
    DrainRuleChecker checker() {
        return checker;
    }

    RecordingServer server(int index) {
        return servers.get(index);
    }

    ScriptedDiscovery discovery(int router) {
        return discoveries.get(router);
    }

    RouterProcess router(int index) {
        return routers.get(index);
    }

    /** Sends a signal to each router. */
    void signalAll(String name) throws Exception {
        for (RouterProcess router : routers) {
            router.signal(name);
        }
    }

    /** Sets a server's state in the discovery service of each router. */
    void setStateEverywhere(int server, EndpointState state) {
        for (ScriptedDiscovery discovery : discoveries) {
            discovery.setState(servers.get(server).name(), servers.get(server).address(), state);
        }
    }

    /** Returns the logs of all routers, for the message of a failed test. */
    String logs() {
        return routers.stream().map(RouterProcess::log).collect(Collectors.joining("\n---\n"));
    }

    @Override
    public void close() throws IOException {
        traffic.forEach(ClientTraffic::close);
        routers.forEach(RouterProcess::close);
        for (ScriptedDiscovery discovery : discoveries) {
            discovery.close();
        }
        for (RecordingServer server : servers) {
            server.close();
        }
    }
}
