import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Starts routers with the deploy file's command {@code run} and writes the record of a case. Started from the
 * project's root with the file for the record as the first argument; all addresses are loopback addresses.
 */
final class Rig implements AutoCloseable {
    /** A router's process and where it listens. */
    static final class Router {
        final String name;
        final Process process;
        final int port;
        final Path log;

        Router(String name, Process process, int port, Path log) {
            this.name = name;
            this.process = process;
            this.port = port;
            this.log = log;
        }
    }

    private static final long STARTED = System.nanoTime();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path temporary;
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();

    /** When each request came whole to a worker, and when a worker wrote its last event, by id. */
    final Map<String, Double> got = new ConcurrentHashMap<>();
    final Map<String, Double> lastEvent = new ConcurrentHashMap<>();

    Rig(String recordFile) throws IOException {
        temporary = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::cleanUp));
        note("begin", "TROUBLE=" + (trouble ? 1 : 0));
    }

    /** Seconds since the start of the script. */
    static double now() {
        return (System.nanoTime() - STARTED) / 1e9;
    }

    /** Writes a line to the record: time, who, what. */
    synchronized void note(String who, String what) {
        record.printf(Locale.ROOT, "%8.3f %s %s%n", now(), who, what);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        }
    }

    static ServerSocket listen() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.bind(new InetSocketAddress("127.0.0.1", 0), 512);
        return socket;
    }

    /** The configuration of a router of a small deployment, as the page on deployment has it. */
    static String config(String name, int port, int discoveryPort, String known, String settings) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\","
                + "\"discovery\":\"127.0.0.1:" + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + known + ",\"settings\":" + settings + "}";
    }

    /** The settings of the page on the wire, as nested JSON; a class's effect may differ, as on short days. */
    static String settings(String effect) {
        StringBuilder classes = new StringBuilder();
        String[] names = {"complete", "agent", "chat", "bulk"};
        double[] aims = {0.5, 1.5, 1.2, 3.0};
        double[] giveUps = {1.5, 6.0, 4.0, 12.0};
        int[] worths = {1, 5, 5, 3};
        for (int i = 0; i < names.length; i++) {
            classes.append(i == 0 ? "" : ",").append("{\"name\":\"" + names[i] + "\",\"effect\":\"" + effect
                    + "\",\"group\":\"all\",\"window\":5.0,\"aim\":" + aims[i] + ",\"give_up\":" + giveUps[i]
                    + ",\"late_worth\":0.0,\"stream\":true,\"worth\":" + worths[i] + "}");
        }
        StringBuilder orgs = new StringBuilder();
        String[] orgNames = {"kathmandu-metro", "lalitpur-metro", "pokhara-metro", "bharatpur-metro",
            "biratnagar-metro", "birgunj-metro", "butwal-sub", "dharan-sub"};
        double[] quotas = {7, 7, 6, 5, 2, 2, 2, 2};
        double[] shares = {0.2, 0.21, 0.18, 0.16, 0.07, 0.07, 0.06, 0.05};
        for (int i = 0; i < orgNames.length; i++) {
            orgs.append(i == 0 ? "" : ",").append("{\"name\":\"" + orgNames[i] + "\",\"quota_rps\":"
                    + quotas[i] + ",\"share\":" + shares[i] + "}");
        }
        return "{\"instances\":2,\"ordinal\":0,\"tier\":0,\"tiers\":[\"model-fleet\"],\"zone\":0,"
                + "\"zones\":[\"kathmandu\",\"pokhara\"],\"shapes\":[\"big-gpu\",\"mid-gpu\",\"small-gpu\"],"
                + "\"discovery\":\"ask\",\"weights\":\"none\",\"workload\":\"llm\",\"worth_by\":\"request\","
                + "\"over_share_worth\":0.05,\"resolution\":0.005,"
                + "\"orgs\":[" + orgs + "],"
                + "\"classes\":[" + classes + "],\"clients\":{\"marks_retry\":true},"
                + "\"limits\":{\"max_attempts\":5,\"cancelling\":true,\"connect_timeout\":0.25,\"keepalive\":5.0,"
                + "\"retry_after\":true,\"max_retry_after\":2.0,\"may_duplicate\":false,\"probes\":true,"
                + "\"streams_per_conn\":1,\"most_held\":20000},"
                + "\"contract\":{\"answer_slack\":0.02,\"drain_grace\":1.0,\"cold\":8.7,\"cold_from\":0.32,"
                + "\"fall_multiple\":3.0,\"fall\":2.0,\"ask_within\":10.0},"
                + "\"report\":{\"source\":\"answers\",\"names\":[\"eps\",\"qps\",\"inflight\",\"x1\"]},"
                + "\"domain\":{\"resume\":false,\"aim_us_per_1000_prompt_tokens\":[60000.0,30000.0,30000.0,"
                + "60000.0],\"token_aim\":[0.1,0.1,0.06,0.08]}}";
    }

    /** Starts a router with an empty temporary folder of its own. */
    Router start(String name, int port, int discoveryPort, String known, String settings) throws IOException {
        Path config = temporary.resolve(name + "-" + processes.size() + ".json");
        Files.writeString(config, config(name, port, discoveryPort, known, settings));
        Path shared = temporary.resolve("tmp-" + name);
        Files.createDirectories(shared);
        String run = null;
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"") && line.endsWith("\"")) {
                run = line.substring("run = \"".length(), line.length() - 1);
            }
        }
        Path log = temporary.resolve(name + "-" + processes.size() + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_NAME", name);
        builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("PROXY_DISCOVERY", "127.0.0.1:" + discoveryPort);
        builder.environment().put("TMPDIR", shared.toString());
        builder.environment().remove("PROXY_OPERATOR");
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        note(name, "started, process " + process.pid() + ", listens on 127.0.0.1:" + port);
        return new Router(name, process, port, log);
    }

    /** Waits until the router says that it is ready; the case can't run if it doesn't. */
    void awaitReady(Router router) throws Exception {
        for (int i = 0; i < 200; i++) {
            if (get(router.port, "/ready").startsWith("HTTP/1.1 200")) {
                note(router.name, "is ready");
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("the router is not ready");
    }

    /** One GET on a connection of its own; empty if there is no answer in two seconds. */
    static String get(int port, String path) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            socket.setSoTimeout(2000);
            socket.getOutputStream().write(("GET " + path
                    + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    /** Sends a signal to a router's process. */
    void signal(Router router, String signal) throws Exception {
        note(router.name, "is sent SIG" + signal);
        new ProcessBuilder("/bin/kill", "-" + signal, String.valueOf(router.process.pid())).inheritIO().start()
                .waitFor();
    }

    /** Writes the end of the record; whether a rule was broken: a request lost, or the router has crashed. */
    boolean verdict(Router router, OrdinaryClients clients) throws IOException {
        boolean alive = router.process.isAlive();
        String ready = get(router.port, "/ready");
        note(router.name, "at the end: " + (alive ? "alive" : "has ended") + ", GET /ready: "
                + (ready.isEmpty() ? "no answer in 2 s" : ready.split("\r")[0]));
        noteLog(router);
        boolean broken = !clients.lost.isEmpty() || !alive;
        note("result", (broken ? "the rule was broken" : "the rule held") + ": of " + clients.asked
                + " requests " + clients.lost.size() + " were lost");
        return broken;
    }

    /** Copies a router's log to the record. */
    void noteLog(Router router) throws IOException {
        List<String> lines = Files.readAllLines(router.log, StandardCharsets.ISO_8859_1);
        int from = Math.max(0, lines.size() - 200);
        for (String line : lines.subList(from, lines.size())) {
            note(router.name + " log", line);
        }
    }

    /** Ends all processes that were started and removes the temporary folder; also when the script is ended. */
    private void cleanUp() {
        synchronized (processes) {
            for (Process process : processes) {
                process.descendants().forEach(ProcessHandle::destroyForcibly);
                process.destroyForcibly();
                process.onExit().join();
            }
        }
        if (Files.exists(temporary)) {
            try (Stream<Path> files = Files.walk(temporary)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException | UncheckedIOException e) {
                note("rig", "the temporary folder stays: " + e);
            }
        }
    }

    @Override
    public void close() {
        cleanUp();
        record.close();
    }

    static void sleepUntil(double seconds) throws InterruptedException {
        long nanos = (long) ((seconds - now()) * 1e9);
        if (nanos > 0) {
            TimeUnit.NANOSECONDS.sleep(nanos);
        }
    }
}
