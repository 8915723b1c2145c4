package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The router program in a separate process, over local sockets. */
@Timeout(60)
class ServeTest {
    /** A complete stream, in chunks. */
    private static final String STREAM = "9\r\ndata: 1\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
    private static final int DESCRIPTOR_LIMIT = 160;
    private static final String BODY = "{\"model\":\"chat\"}";

    @TempDir
    private Path folder;

    /** Starts the program; the words in front of its command line set up its environment. */
    private Process start(String config, String... launcher) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        List<String> command = new ArrayList<>(List.of(launcher));
        command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "yewdock.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("PROXY_CONFIG", file.toString());
        return builder.redirectErrorStream(true).start();
    }

    @Test
    void unreadableConfigurationExitsWithOneLine() throws Exception {
        Process router = start("{\"name\":");
        String output = new String(router.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, router.waitFor());
        assertEquals(1, output.lines().count(), output);
        assertTrue(output.contains("the configuration can't be read"), output);
    }

    /** A request that is in flight at SIGTERM is served; then the program prints its counters and exits. */
    @Test
    void finishesOpenRequestAfterSigtermAndExits() throws Exception {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        try (ServerSocket server = new ServerSocket(0, 50, local);
                ServerSocket discovery = new ServerSocket(0, 50, local)) {
            String config = Files.readString(RecordedExchange.FOLDER.resolve("config.json"))
                    .replace("127.0.0.1:8000", "127.0.0.1:0")
                    .replace("127.0.0.1:8500", addressOf(discovery))
                    .replace("127.0.0.1:9001", addressOf(server))
                    .replace("127.0.0.1:9002", addressOf(server));
            Process router = start(config);
            BufferedReader log = router.inputReader();
            String line = log.readLine();
            while (!line.contains("listens on")) {
                line = log.readLine();
            }
            int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
            assertOversizedRequestIsAnswered(local, port);
            try (Socket client = new Socket(local, port)) {
                client.getOutputStream().write(("POST /v1/chat/completions HTTP/1.1\r\n"
                        + "X-Correlation-Id: 1\r\nX-Service-Class: chat\r\n"
                        + "X-Account: lalitpur-metro\r\nX-Time-Left: 30\r\n"
                        + "X-Facts: prompt_len=1,prefix_len=0,max_out=9\r\nContent-Length: " + BODY.length()
                        + "\r\n\r\n" + BODY).getBytes(StandardCharsets.US_ASCII));
                try (Socket serverConnection = server.accept()) {
                    BufferedReader received = new BufferedReader(new InputStreamReader(
                            serverConnection.getInputStream(), StandardCharsets.US_ASCII));
                    assertEquals("POST /v1/chat/completions HTTP/1.1", received.readLine());
                    router.toHandle().destroy();
                    while (!line.contains("leaving")) {
                        line = log.readLine();
                    }
                    serverConnection.getOutputStream().write((
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + STREAM).getBytes(StandardCharsets.US_ASCII));
                    String answer = new String(client.getInputStream().readAllBytes(),
                            StandardCharsets.US_ASCII);
                    assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n"), answer);
                    assertTrue(answer.contains("\r\nConnection: close\r\n"), answer);
                    assertTrue(answer.endsWith("\r\n\r\n" + STREAM), answer);
                }
            }
            String rest = log.lines().reduce("", (a, b) -> a + b + "\n");
            assertTrue(router.waitFor(30, TimeUnit.SECONDS));
            assertTrue(rest.contains("answers.served 1\n"), rest);
        }
    }

    /** Two SIGTERMs before the first answer from discovery: the program shuts down once, by itself. */
    @Test
    void shutsDownOnceOnTwoSigtermsBeforeTheFirstEndpointList() throws Exception {
        try (ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            discovery.setSoTimeout(20_000);
            Process router = start(Files.readString(RecordedExchange.FOLDER.resolve("config.json"))
                    .replace("127.0.0.1:8000", "127.0.0.1:0")
                    .replace("127.0.0.1:8500", addressOf(discovery)));
            try (Socket watch = discovery.accept()) {
                assertEquals("GET /v1/endpoints?since=7&timeout_ms=0 HTTP/1.1", new BufferedReader(
                        new InputStreamReader(watch.getInputStream(), StandardCharsets.US_ASCII)).readLine());
                BufferedReader log = router.inputReader();
                router.toHandle().destroy();
                String output = readUntil(log, "leaving");
                router.toHandle().destroy();
                output += log.lines().reduce("", (a, b) -> a + b + "\n");
                assertTrue(router.waitFor(30, TimeUnit.SECONDS));
                assertEquals(1, output.split("counters at exit", -1).length - 1, output);
                assertEquals(1, output.split("leaving", -1).length - 1, output);
            } finally {
                router.destroyForcibly();
            }
        }
    }

    /**
     * Idle clients use up the file descriptors while discovery is down: once it is back, the endpoint list is
     * still requested, and a client that sends a request is answered.
     */
    @Test
    void idleClientsDoNotBlockDiscoveryAtTheDescriptorLimit() throws Exception {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        int discoveryPort;
        try (ServerSocket discovery = new ServerSocket(0, 50, local)) {
            discoveryPort = discovery.getLocalPort();
        }
        String config = Files.readString(RecordedExchange.FOLDER.resolve("config.json"))
                .replace("127.0.0.1:8000", "127.0.0.1:0")
                .replace("127.0.0.1:8500", "127.0.0.1:" + discoveryPort)
                .replaceFirst("\\{", "{\"limits\":{\"sockets\":" + DESCRIPTOR_LIMIT + ",\"memory_mb\":160},");
        Process router = start(config, "sh", "-c", "ulimit -n " + DESCRIPTOR_LIMIT + "; exec \"$@\"", "sh");
        List<Socket> idleClients = new ArrayList<>();
        try {
            BufferedReader log = router.inputReader();
            String line = log.readLine();
            while (!line.contains("listens on")) {
                line = log.readLine();
            }
            int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
            for (int i = 0; i < 2 * DESCRIPTOR_LIMIT; i++) {
                idleClients.add(new Socket(local, port));
            }
            try (ServerSocket discovery = new ServerSocket(discoveryPort, 50, local)) {
                discovery.setSoTimeout(10_000);
                try (Socket watch = discovery.accept()) {
                    assertTrue(new BufferedReader(new InputStreamReader(watch.getInputStream(),
                            StandardCharsets.US_ASCII)).readLine().startsWith("GET /v1/endpoints"));
                    Socket readyProbe = new Socket(local, port);
                    idleClients.add(readyProbe);
                    readyProbe.getOutputStream().write("GET /ready HTTP/1.1\r\n\r\n".getBytes(
                            StandardCharsets.US_ASCII));
                    assertEquals("HTTP/1.1 200 OK", new BufferedReader(new InputStreamReader(
                            readyProbe.getInputStream(), StandardCharsets.US_ASCII)).readLine());
                }
            }
        } finally {
            for (Socket client : idleClients) {
                client.close();
            }
            router.destroyForcibly().waitFor();
        }
    }

    /** Endpoint lists that arrive in several reads, each after an idle period, are read in order. */
    @Test
    void longEndpointListsAreReadInOrderAfterIdlePeriods() throws Exception {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        try (ServerSocket discovery = new ServerSocket(0, 50, local)) {
            discovery.setSoTimeout(20_000);
            Process router = start(Files.readString(RecordedExchange.FOLDER.resolve("config.json"))
                    .replace("127.0.0.1:8000", "127.0.0.1:0")
                    .replace("127.0.0.1:8500", addressOf(discovery)));
            try (Socket watch = discovery.accept()) {
                watch.setSoTimeout(20_000);
                BufferedReader received = new BufferedReader(new InputStreamReader(watch.getInputStream(),
                        StandardCharsets.US_ASCII));
                assertEquals("GET /v1/endpoints?since=7&timeout_ms=0 HTTP/1.1", readRequestHead(received));
                for (int version = 8; version < 14; version++) {
                    // longer than 100 ms, after which the sockets are read before anything else
                    Thread.sleep(250);
                    String servers = IntStream.range(100, 400)
                            .mapToObj(i -> "{\"id\":\"s-" + i + "\",\"state\":\"removed\"}")
                            .collect(Collectors.joining(","));
                    String body = "{\"version\":" + version + ",\"full\":false,\"servers\":["
                            + servers + "]}";
                    watch.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length()
                            + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
                    assertTrue(readRequestHead(received)
                            .startsWith("GET /v1/endpoints?since=" + version + "&"));
                }
            } finally {
                router.destroyForcibly();
            }
        }
    }

    /** Reads the head of a request and returns its first line, "null" at the end of the stream. */
    private static String readRequestHead(BufferedReader from) throws IOException {
        String first = from.readLine();
        String line = first;
        while (line != null && !line.isEmpty()) {
            line = from.readLine();
        }
        return String.valueOf(first);
    }

    /** SIGHUP must not end the program: a bad file changes nothing, a good one moves the discovery watch. */
    @Test
    void reloadsConfigurationOnSighup() throws Exception {
        reloadsConfiguration(true, "env", "--default-signal=HUP");
    }

    /** Started with SIGHUP ignored, as under nohup, the JVM can't handle it: the file is polled instead. */
    @Test
    void reloadsConfigurationByPollingWhereSighupIsIgnored() throws Exception {
        reloadsConfiguration(false, "sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    }

    /** The platform may start the router from a process that ignores SIGHUP: the run command undoes that. */
    @Test
    void runCommandRestoresSighup() throws Exception {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        String launcher = run.substring(run.indexOf("exec ") + "exec ".length(), run.indexOf("java "));
        assertFalse(launcher.isBlank(), run);
        reloadsConfiguration(true, "sh", "-c", "trap '' HUP; exec " + launcher + "\"$@\"", "sh");
    }

    private void reloadsConfiguration(boolean bySignal, String... launcher) throws Exception {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        try (ServerSocket discovery = new ServerSocket(0, 50, local);
                ServerSocket newDiscovery = new ServerSocket(0, 50, local)) {
            newDiscovery.setSoTimeout(20_000);
            String config = Files.readString(RecordedExchange.FOLDER.resolve("config.json"))
                    .replace("127.0.0.1:8000", "127.0.0.1:0");
            Process router = start(config.replace("127.0.0.1:8500", addressOf(discovery)), launcher);
            try {
                BufferedReader log = router.inputReader();
                String first = readUntil(log, "listens on");
                assertEquals(bySignal, !first.contains("is read again whenever it has changed"), first);
                Files.writeString(folder.resolve("config.json"), "{");
                sendSighup(router);
                readUntil(log, "the old one stays");
                Files.writeString(folder.resolve("config.json"),
                        config.replace("127.0.0.1:8500", addressOf(newDiscovery)));
                sendSighup(router);
                sendSighup(router);
                try (Socket watch = newDiscovery.accept()) {
                    assertEquals("GET /v1/endpoints HTTP/1.1", new BufferedReader(new InputStreamReader(
                            watch.getInputStream(), StandardCharsets.US_ASCII)).readLine());
                    sendSighup(router);
                    router.toHandle().destroy();
                    assertTrue(router.waitFor(30, TimeUnit.SECONDS));
                }
                String rest = log.lines().reduce("", (a, b) -> a + b + "\n");
                assertTrue(rest.contains("counters at exit"), rest);
            } finally {
                router.destroyForcibly();
            }
        }
    }

    /** Reads up to the first line that contains the text; returns all that was read. */
    private static String readUntil(BufferedReader log, String text) throws IOException {
        StringBuilder read = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            read.append(line).append('\n');
            if (line.contains(text)) {
                return read.toString();
            }
        }
        throw new IOException("the log ended without '" + text + "':\n" + read);
    }

    private static void sendSighup(Process router) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(router.pid())).start().waitFor());
    }

    /**
     * An oversized request is answered with 413. Closing the connection with unread bytes would reset it, and
     * the client could lose the response.
     */
    private static void assertOversizedRequestIsAnswered(InetAddress local, int port) throws IOException {
        try (Socket client = new Socket(local, port)) {
            String head = "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n";
            byte[] request = (head + "x".repeat(1_000_000)).getBytes(StandardCharsets.US_ASCII);
            client.getOutputStream().write(request);
            String answer = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
        }
    }

    private static String addressOf(ServerSocket socket) {
        return "127.0.0.1:" + socket.getLocalPort();
    }
}
