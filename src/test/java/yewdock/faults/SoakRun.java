package yewdock.faults;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import yewdock.faults.SoakClient.Result;

/** One seed of the soak: a router, servers, clients and a series of signals, and what came of it. */
final class SoakRun {
    private static final int SERVER_COUNT = 4;
    private static final int CLIENT_COUNT = 40;
    private static final int CROWD_SIZE = 300;
    private static final int SEEDS_PER_CROWD = 3;
    private static final long SERVE_MILLIS = 2_000;
    /** New connections arrive for this long after SIGTERM. */
    private static final long CONNECT_MILLIS = 400;
    /** The earliest SIGKILL after SIGTERM: the longest deadline, but 3 s at most, and 0.7 s. */
    private static final long KILL_MILLIS = 3_700;
    /** Requests that are whole later than this after SIGTERM must have ended before SIGKILL. */
    private static final double LATE_SECONDS = 0.75;
    /** How much later than its timeout a request's error may come. */
    private static final double MAX_OVERDUE_SECONDS = 0.5;
    /** How long before its connection's end a request may have been written and not been read. */
    private static final double CROSSING_SECONDS = 0.1;
    private static final long MEMORY_LIMIT_BYTES = 192L << 20;
    private static final int MAX_VIOLATIONS = 5;

    /** What came of a run. */
    record Report(int requests, List<String> violations) {
    }

    private final Path folder;
    private final int seed;
    private final Random random;
    private final Map<String, SoakServer.Response> responsesByRequest = new ConcurrentHashMap<>();
    private final Queue<Result> results = new ConcurrentLinkedQueue<>();
    private final List<Socket> crowd = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    SoakRun(Path folder, int seed) {
        this.folder = folder;
        this.seed = seed;
        this.random = new Random(seed);
    }

    /** Plays the run and returns its report. */
    Report play() throws Exception {
        Files.createDirectories(folder);
        List<SoakServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVER_COUNT; i++) {
            servers.add(new SoakServer("s-a" + i, seed, attempt ->
                    responsesByRequest.put(attempt.requestId(), attempt.response())));
        }
        try (ScriptedDiscovery discovery = discoveryListing(servers);
                RouterProcess router = new RouterProcess(folder, configuration(servers, discovery),
                        RouterProcess.deployedMemoryFlags(), Map.of())) {
            List<SoakClient> clients = startClients(router.port());
            if (seed % SEEDS_PER_CROWD == 0) {
                gatherCrowd(router.port());
            }
            TimeUnit.MILLISECONDS.sleep(SERVE_MILLIS / 2);
            disturb(router);
            TimeUnit.MILLISECONDS.sleep(SERVE_MILLIS / 2);
            shutDownAndKill(router, clients);
        } finally {
            for (SoakServer server : servers) {
                server.close();
            }
            for (Socket socket : crowd) {
                socket.close();
            }
        }
        return new Report(results.size(), violations.stream().limit(MAX_VIOLATIONS).toList());
    }

    private static ScriptedDiscovery discoveryListing(List<SoakServer> servers) throws IOException {
        ScriptedDiscovery discovery = new ScriptedDiscovery(0, new DrainRuleChecker(1_000, false,
                System::nanoTime));
        servers.forEach(server -> discovery.setState(server.name(), server.address(), EndpointState.UP));
        return discovery;
    }

    private static String configuration(List<SoakServer> servers, ScriptedDiscovery discovery)
            throws IOException {
        String listed = servers.stream().map(server ->
                RouterConfigurations.serverEntry(server.name(), server.address()))
                .collect(Collectors.joining(","));
        return RouterConfigurations.withServers(listed, 1)
                .replace("127.0.0.1:8000", "127.0.0.1:0").replace("127.0.0.1:8500", discovery.address());
    }

    private List<SoakClient> startClients(int port) {
        List<SoakClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            SoakClient client = new SoakClient("0-" + seed + "-" + i + "-", port, i % 3 == 0,
                    seed * 100L + i, results);
            clients.add(client);
            Thread thread = new Thread(client, "soak-client");
            thread.setDaemon(true);
            thread.start();
        }
        return clients;
    }

    /** Connects clients that send nothing, half a head, or half a body. */
    private void gatherCrowd(int port) throws IOException {
        for (int i = 0; i < CROWD_SIZE; i++) {
            Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
            crowd.add(socket);
            OutputStream out = socket.getOutputStream();
            String request = new String(ClientTraffic.request("0-crowd" + i, 3), StandardCharsets.US_ASCII);
            switch (i % 3) {
                case 1 -> out.write(request.substring(0, 60).getBytes(StandardCharsets.US_ASCII));
                case 2 -> out.write(request.replace("Content-Length: 2", "Content-Length: 60000")
                        .getBytes(StandardCharsets.US_ASCII));
                default -> { }
            }
        }
    }

    /** Sends a series of signals that must have no effect on requests. */
    private void disturb(RouterProcess router) throws Exception {
        for (int i = random.nextInt(3); i > 0; i--) {
            if (random.nextBoolean()) {
                router.signal("HUP");
            } else {
                router.signal("STOP");
                TimeUnit.MILLISECONDS.sleep(20 + random.nextInt(110));
                router.signal("CONT");
            }
        }
    }

    private void shutDownAndKill(RouterProcess router, List<SoakClient> clients) throws Exception {
        long terminatedNanos = System.nanoTime();
        router.signal("TERM");
        if (random.nextInt(3) == 0) {
            router.signal("TERM");
        }
        TimeUnit.MILLISECONDS.sleep(CONNECT_MILLIS);
        clients.forEach(SoakClient::stopConnecting);
        long killNanos = terminatedNanos + TimeUnit.MILLISECONDS.toNanos(KILL_MILLIS);
        TimeUnit.NANOSECONDS.sleep(killNanos - System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(50));
        if (router.isAlive() && router.peakMemoryBytes() > MEMORY_LIMIT_BYTES) {
            violations.add("the router used " + (router.peakMemoryBytes() >> 20) + " MB");
        }
        TimeUnit.NANOSECONDS.sleep(killNanos - System.nanoTime());
        long killedNanos = System.nanoTime();
        router.close();
        TimeUnit.MILLISECONDS.sleep(300);
        results.forEach(result -> check(result, terminatedNanos, killedNanos, router));
    }

    private void check(Result result, long terminatedNanos, long killedNanos, RouterProcess router) {
        boolean late = seconds(terminatedNanos, result.writtenNanos()) > LATE_SECONDS;
        boolean killed = result.endedNanos() >= killedNanos;
        double took = seconds(result.writtenNanos(), result.endedNanos());
        switch (result.ending()) {
            case COMPLETE -> {
                if (!result.body().contains("data: [DONE]\n\n")) {
                    report(result, "a stream without [DONE] was ended as complete", took, terminatedNanos);
                }
            }
            case CUT_OFF -> {
                if (killed ? late : isServedWhole(result)) {
                    report(result, killed ? "its stream was under way at SIGKILL" : "its stream was cut off",
                            took, terminatedNanos);
                }
            }
            case ERROR -> {
                if (took > result.timeoutSeconds() + MAX_OVERDUE_SECONDS) {
                    report(result, "its error came late", took, terminatedNanos);
                }
            }
            case NO_RESPONSE -> {
                boolean crossed = !result.firstOnConnection() && took < CROSSING_SECONDS
                        && !responsesByRequest.containsKey(result.id());
                if (killed ? late : !crossed) {
                    report(result, "it got no response" + (killed ? " before SIGKILL" : ""), took,
                            terminatedNanos);
                }
            }
            default -> { }
        }
    }

    private boolean isServedWhole(Result result) {
        return responsesByRequest.get(result.id()) == SoakServer.Response.COMPLETE;
    }

    private void report(Result result, String what, double took, long terminatedNanos) {
        violations.add(result.id() + ": " + what + " " + took + " s after it was written, which was "
                + seconds(terminatedNanos, result.writtenNanos()) + " s after SIGTERM; server: "
                + responsesByRequest.get(result.id()));
    }

    private static double seconds(long fromNanos, long toNanos) {
        return (toNanos - fromNanos) / 1e9;
    }
}
