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

/** The program itself, in a process of its own, on sockets of this machine. */
@Timeout(60)
class ServeTest {
    private static final int SMALL_LIMIT = 160;
    private static final String BODY = "{\"model\":\"chat\"}";

    @TempDir
    private Path folder;

    private Process start(String config, String... before) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        List<String> command = new ArrayList<>(List.of(before));
        command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "yewdock.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("PROXY_CONFIG", file.toString());
        return builder.redirectErrorStream(true).start();
    }

    @Test
    void unreadableConfigurationEndsItWithOneClearLine() throws Exception {
        Process router = start("{\"name\":");
        String said = new String(router.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, router.waitFor());
        assertEquals(1, said.lines().count(), said);
        assertTrue(said.contains("the configuration can't be read"), said);
    }

    /** Served after SIGTERM too; then it ends by itself, its counters printed. */
    @Test
    void servesThroughSigtermAndThenEnds() throws Exception {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        try (ServerSocket box = new ServerSocket(0, 50, local);
                ServerSocket list = new ServerSocket(0, 50, local)) {
            String config = Files.readString(RecordedExchange.FOLDER.resolve("config.json"))
                    .replace("127.0.0.1:8000", "127.0.0.1:0").replace("127.0.0.1:8500", at(list))
                    .replace("127.0.0.1:9001", at(box)).replace("127.0.0.1:9002", at(box));
            Process router = start(config);
            BufferedReader log = router.inputReader();
            String line = log.readLine();
            while (!line.contains("listens on")) {
                line = log.readLine();
            }
            int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
            assertOversizedIsAnswered(local, port);
            try (Socket client = new Socket(local, port)) {
                client.getOutputStream().write(("POST /v1/chat/completions HTTP/1.1\r\n"
                        + "X-Correlation-Id: 1\r\nX-Service-Class: chat\r\n"
                        + "X-Account: lalitpur-metro\r\nX-Time-Left: 30\r\n"
                        + "X-Facts: prompt_len=1,prefix_len=0,max_out=9\r\nContent-Length: " + BODY.length()
                        + "\r\n\r\n" + BODY).getBytes(StandardCharsets.US_ASCII));
                try (Socket atBox = box.accept()) {
                    BufferedReader asked = new BufferedReader(new InputStreamReader(atBox.getInputStream(),
                            StandardCharsets.US_ASCII));
                    assertEquals("POST /v1/chat/completions HTTP/1.1", asked.readLine());
                    router.toHandle().destroy();
                    while (!line.contains("leaving")) {
                        line = log.readLine();
                    }
                    atBox.getOutputStream().write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "9\r\ndata: 1\n\n\r\n0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    String answer = new String(client.getInputStream().readAllBytes(),
                            StandardCharsets.US_ASCII);
                    assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n"), answer);
                    assertTrue(answer.contains("\r\nConnection: close\r\n"), answer);
                    assertTrue(answer.endsWith("\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n"), answer);
                }
            }
            String rest = log.lines().reduce("", (a, b) -> a + b + "\n");
            assertTrue(router.waitFor(30, TimeUnit.SECONDS));
            assertTrue(rest.contains("answers.served 1\n"), rest);
        }
    }

    /** Told to end before discovery has said anything, and told again: it ends by itself, once. */
    @Test
    void endsAtSigtermBeforeTheFirstListAndAtASecondOne() throws Exception {
        try (ServerSocket list = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            list.setSoTimeout(20_000);
            Process router = start(Files.readString(RecordedExchange.FOLDER.resolve("config.json"))
                    .replace("127.0.0.1:8000", "127.0.0.1:0").replace("127.0.0.1:8500", at(list)));
            try (Socket asked = list.accept()) {
                assertEquals("GET /v1/endpoints?since=7&timeout_ms=0 HTTP/1.1", new BufferedReader(
                        new InputStreamReader(asked.getInputStream(), StandardCharsets.US_ASCII)).readLine());
                BufferedReader log = router.inputReader();
                router.toHandle().destroy();
                String said = readUntil(log, "leaving");
                router.toHandle().destroy();
                said += log.lines().reduce("", (a, b) -> a + b + "\n");
                assertTrue(router.waitFor(30, TimeUnit.SECONDS));
                assertEquals(1, said.split("counters at exit", -1).length - 1, said);
                assertEquals(1, said.split("leaving", -1).length - 1, said);
            } finally {
                router.destroyForcibly();
            }
        }
    }

    /**
     * Idle clients fill what there is of descriptors while discovery is down: the list is asked for all the
     * same once it is back, and a client that asks is answered.
     */
    @Test
    void idleClientsDoNotKeepItFromTheListUnderASmallRealLimit() throws Exception {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        int away;
        try (ServerSocket list = new ServerSocket(0, 50, local)) {
            away = list.getLocalPort();
        }
        String config = Files.readString(RecordedExchange.FOLDER.resolve("config.json"))
                .replace("127.0.0.1:8000", "127.0.0.1:0").replace("127.0.0.1:8500", "127.0.0.1:" + away)
                .replaceFirst("\\{", "{\"limits\":{\"sockets\":" + SMALL_LIMIT + ",\"memory_mb\":160},");
        Process router = start(config, "sh", "-c", "ulimit -n " + SMALL_LIMIT + "; exec \"$@\"", "sh");
        List<Socket> idle = new ArrayList<>();
        try {
            BufferedReader log = router.inputReader();
            String line = log.readLine();
            while (!line.contains("listens on")) {
                line = log.readLine();
            }
            int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
            for (int i = 0; i < 2 * SMALL_LIMIT; i++) {
                idle.add(new Socket(local, port));
            }
            try (ServerSocket list = new ServerSocket(away, 50, local)) {
                list.setSoTimeout(10_000);
                try (Socket call = list.accept()) {
                    assertTrue(new BufferedReader(new InputStreamReader(call.getInputStream(),
                            StandardCharsets.US_ASCII)).readLine().startsWith("GET /v1/endpoints"));
                    Socket asks = new Socket(local, port);
                    idle.add(asks);
                    asks.getOutputStream().write("GET /ready HTTP/1.1\r\n\r\n".getBytes(
                            StandardCharsets.US_ASCII));
                    assertEquals("HTTP/1.1 200 OK", new BufferedReader(new InputStreamReader(
                            asks.getInputStream(), StandardCharsets.US_ASCII)).readLine());
                }
            }
        } finally {
            for (Socket client : idle) {
                client.close();
            }
            router.destroyForcibly().waitFor();
        }
    }

    /** News comes in more reads than one, after times in which nothing happened: it is read in its order. */
    @Test
    void aLongListIsReadInItsOrderAfterQuietTimes() throws Exception {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        try (ServerSocket list = new ServerSocket(0, 50, local)) {
            list.setSoTimeout(20_000);
            Process router = start(Files.readString(RecordedExchange.FOLDER.resolve("config.json"))
                    .replace("127.0.0.1:8000", "127.0.0.1:0").replace("127.0.0.1:8500", at(list)));
            try (Socket call = list.accept()) {
                call.setSoTimeout(20_000);
                BufferedReader asked = new BufferedReader(new InputStreamReader(call.getInputStream(),
                        StandardCharsets.US_ASCII));
                assertEquals("GET /v1/endpoints?since=7&timeout_ms=0 HTTP/1.1", readCall(asked));
                for (int version = 8; version < 14; version++) {
                    // longer than a tenth of a second, after which the sockets are read before all else
                    Thread.sleep(250);
                    String servers = IntStream.range(100, 400)
                            .mapToObj(i -> "{\"id\":\"s-" + i + "\",\"state\":\"removed\"}")
                            .collect(Collectors.joining(","));
                    String body = "{\"version\":" + version + ",\"full\":false,\"servers\":["
                            + servers + "]}";
                    call.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length()
                            + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
                    assertTrue(readCall(asked).startsWith("GET /v1/endpoints?since=" + version + "&"));
                }
            } finally {
                router.destroyForcibly();
            }
        }
    }

    /** The first line of a request, which is read to its end. */
    private static String readCall(BufferedReader from) throws IOException {
        String first = from.readLine();
        String line = first;
        while (line != null && !line.isEmpty()) {
            line = from.readLine();
        }
        return String.valueOf(first);
    }

    /** SIGHUP must not end it: a bad file changes nothing, a good one moves the watch. */
    @Test
    void takesNewConfigurationsAtSighup() throws Exception {
        takesNewConfigurations(true, "env", "--default-signal=HUP");
    }

    /** Started with SIGHUP ignored, as nohup does, the JVM can't take it: the file is looked at instead. */
    @Test
    void takesNewConfigurationsAlsoWhereSighupIsIgnored() throws Exception {
        takesNewConfigurations(false, "sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
    }

    /** The platform may start the router from a process that ignores SIGHUP: the run line undoes that. */
    @Test
    void theRunLineTakesSighupWhoeverStartsIt() throws Exception {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        String before = run.substring(run.indexOf("exec ") + "exec ".length(), run.indexOf("java "));
        assertFalse(before.isBlank(), run);
        takesNewConfigurations(true, "sh", "-c", "trap '' HUP; exec " + before + "\"$@\"", "sh");
    }

    private void takesNewConfigurations(boolean bySignal, String... before) throws Exception {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        try (ServerSocket list = new ServerSocket(0, 50, local);
                ServerSocket next = new ServerSocket(0, 50, local)) {
            next.setSoTimeout(20_000);
            String config = Files.readString(RecordedExchange.FOLDER.resolve("config.json"))
                    .replace("127.0.0.1:8000", "127.0.0.1:0");
            Process router = start(config.replace("127.0.0.1:8500", at(list)), before);
            try {
                BufferedReader log = router.inputReader();
                String first = readUntil(log, "listens on");
                assertEquals(bySignal, !first.contains("is read again whenever it has changed"), first);
                Files.writeString(folder.resolve("config.json"), "{");
                hangUp(router);
                readUntil(log, "the old one stays");
                Files.writeString(folder.resolve("config.json"),
                        config.replace("127.0.0.1:8500", at(next)));
                hangUp(router);
                hangUp(router);
                try (Socket asked = next.accept()) {
                    assertEquals("GET /v1/endpoints HTTP/1.1", new BufferedReader(new InputStreamReader(
                            asked.getInputStream(), StandardCharsets.US_ASCII)).readLine());
                    hangUp(router);
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

    /** Reads to the line with these words; returns all that was read. */
    private static String readUntil(BufferedReader log, String words) throws IOException {
        StringBuilder read = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            read.append(line).append('\n');
            if (line.contains(words)) {
                return read.toString();
            }
        }
        throw new IOException("it ended without saying '" + words + "':\n" + read);
    }

    private static void hangUp(Process router) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(router.pid())).start().waitFor());
    }

    /** Closing on bytes that were never read would reset the connection and could take the answer along. */
    private static void assertOversizedIsAnswered(InetAddress local, int port) throws IOException {
        try (Socket client = new Socket(local, port)) {
            String head = "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n";
            byte[] request = (head + "x".repeat(1_000_000)).getBytes(StandardCharsets.US_ASCII);
            client.getOutputStream().write(request);
            String answer = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
        }
    }

    private static String at(ServerSocket socket) {
        return "127.0.0.1:" + socket.getLocalPort();
    }
}
