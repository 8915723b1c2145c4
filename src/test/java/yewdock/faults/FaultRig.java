package yewdock.faults;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

/** Routers in processes of their own, each with its discovery and its clients, and servers that all share. */
final class FaultRig implements Closeable {
    private static final int CLIENTS_PER_ROUTER = 8;
    private static final long FIRST_VERSION = 1;
    private static final int FIRST_SERVER = 0xa0;
    private static final Path TEMPLATE = Path.of("src/test/resources/exchanges/config.json");

    private final DrainJudge judge;
    private final Queue<RecordingServer.Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final List<RecordingServer> servers = new ArrayList<>();
    private final List<ScriptedDiscovery> discoveries = new ArrayList<>();
    private final List<RouterProcess> routers = new ArrayList<>();
    private final List<Traffic> traffic = new ArrayList<>();
    private final Path folder;
    private final String mode;
    private final double graceSeconds;
    private final UnaryOperator<String> editConfiguration;

    FaultRig(Path folder, boolean pushed, long graceMillis, int routerCount, int serverCount)
            throws Exception {
        this(folder, pushed, graceMillis, routerCount, serverCount, UnaryOperator.identity());
    }

    /** The same with routers whose configuration is edited. */
    FaultRig(Path folder, boolean pushed, long graceMillis, int routerCount, int serverCount,
            UnaryOperator<String> editConfiguration) throws Exception {
        this.folder = folder;
        this.editConfiguration = editConfiguration;
        this.mode = pushed ? "push" : "ask";
        this.graceSeconds = graceMillis / 1000.0;
        judge = new DrainJudge(graceMillis, pushed, System::nanoTime);
        for (int i = 0; i < serverCount; i++) {
            addServer();
        }
        for (int i = 0; i < routerCount; i++) {
            ScriptedDiscovery discovery = new ScriptedDiscovery(i, judge);
            servers.forEach(server -> discovery.set(server.name(), server.address(), EndpointState.UP));
            discoveries.add(discovery);
            routers.add(start(i, discovery.version()));
        }
        for (int i = 0; i < routerCount; i++) {
            traffic.add(new Traffic(i, routers.get(i).port(), CLIENTS_PER_ROUTER));
        }
    }

    /** Another server, of which discovery does not know yet. */
    RecordingServer addServer() throws IOException {
        String name = "s-" + Integer.toHexString(FIRST_SERVER + servers.size());
        RecordingServer server = new RecordingServer(name, this::attempted);
        servers.add(server);
        return server;
    }

    private void attempted(RecordingServer.Attempt attempt) {
        attempts.add(attempt);
        judge.attempted(routerOf(attempt.requestId()), attempt.server(), attempt.firstByteAt());
    }

    /** Clients put the router's number in front of each request's id. */
    private static int routerOf(String requestId) {
        return Integer.parseInt(requestId.substring(0, requestId.indexOf('-')), 16);
    }

    /** All attempts of requests whose ids begin so. */
    List<RecordingServer.Attempt> attemptsOf(String idPrefix) {
        return attempts.stream().filter(attempt -> attempt.requestId().startsWith(idPrefix)).toList();
    }

    private RouterProcess start(int router, long knownVersion) throws IOException {
        Path own = Files.createDirectories(folder.resolve("router-" + router));
        return new RouterProcess(own, configuration(discoveries.get(router).address(), knownVersion));
    }

    /** The platform's configuration, with all servers known and up. */
    String configuration(String discovery, long knownVersion) throws IOException {
        String template = Files.readString(TEMPLATE);
        String known = servers.stream().map(server -> "{\"id\":\"" + server.name() + "\",\"addr\":\""
                + server.address() + "\",\"zone\":\"kathmandu\",\"kind\":\"big-gpu\",\"cell\":1,"
                + "\"state\":\"up\",\"weight\":1.0,\"started_ms\":0}").collect(Collectors.joining(","));
        int from = template.indexOf("\"known\"");
        int to = template.indexOf("\"settings\"");
        return editConfiguration.apply(template.substring(0, from) + "\"known\":{\"version\":" + knownVersion
                + ",\"full\":true,\"servers\":[" + known + "]},\n " + template.substring(to))
                .replace("127.0.0.1:8000", "127.0.0.1:0").replace("127.0.0.1:8500", discovery)
                .replace("\"discovery\":\"ask\"", "\"discovery\":\"" + mode + "\"")
                .replace("\"drain_grace\":1.0", "\"drain_grace\":" + graceSeconds);
    }

    /** Kills a router's process and starts it again, with the list that it had at first. */
    void restartRouter(int router) throws Exception {
        traffic.get(router).close();
        routers.get(router).close();
        judge.processStarted(router, true);
        routers.set(router, start(router, FIRST_VERSION));
        traffic.set(router, new Traffic(router, routers.get(router).port(), CLIENTS_PER_ROUTER));
    }

    DrainJudge judge() {
        return judge;
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

    /** Tells each router's discovery that a server has this state. */
    void setEverywhere(int server, EndpointState state) {
        for (ScriptedDiscovery discovery : discoveries) {
            discovery.set(servers.get(server).name(), servers.get(server).address(), state);
        }
    }

    /** A log of each router, for a failed test. */
    String logs() {
        return routers.stream().map(RouterProcess::log).collect(Collectors.joining("\n---\n"));
    }

    @Override
    public void close() throws IOException {
        traffic.forEach(Traffic::close);
        routers.forEach(RouterProcess::close);
        for (ScriptedDiscovery discovery : discoveries) {
            discovery.close();
        }
        for (RecordingServer server : servers) {
            server.close();
        }
    }
}
