package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import yewdock.Main;
import yewdock.testbed.Fleet;
import yewdock.verification.ServingProcess;

/**
 * Guards against a router that passes its memory limit: with the memory flags of the deploy file, beside
 * hundreds of clients, while a second process takes its place. The limit holds for both together.
 */
@Timeout(120)
class CrowdMemoryTest {
    private static final List<String> SERVE = List.of(Main.class.getName(), "serve");
    private static final int CROWD_SIZE = 300;
    private static final long MEMORY_LIMIT_BYTES = 192L << 20;
    private static final long SAMPLE_MILLIS = 20;
    private static final long SETTLE_MILLIS = 1_500;
    private static final int SLOW_STEP_BYTES = 2_000;
    private static final int LARGE_BODY_BYTES = 250_000;
    private static final int MANY_SHORT_FIELDS = 200;

    @TempDir
    private Path folder;
    private final List<Socket> crowd = new ArrayList<>();
    private final AtomicLong peakBytes = new AtomicLong();

    /** What each client of the crowd does. */
    private enum CrowdMember {
        /** Writes a large request slowly. */
        WRITES_SLOWLY {
            @Override
            void begin(OutputStream out, String id) throws IOException {
                out.write(largeRequest(id), 0, SLOW_STEP_BYTES);
            }

            @Override
            void proceed(OutputStream out, String id, int step) throws IOException {
                out.write(largeRequest(id), (step + 1) * SLOW_STEP_BYTES, SLOW_STEP_BYTES);
            }
        },
        /** Stops half way through a large request. */
        STOPS_HALF_WAY {
            @Override
            void begin(OutputStream out, String id) throws IOException {
                out.write(largeRequest(id), 0, LARGE_BODY_BYTES / 2);
            }
        },
        /** Sends a request whose head has very many short fields. */
        SENDS_SHORT_FIELDS {
            @Override
            void begin(OutputStream out, String id) throws IOException {
                out.write(request(id, "{\"max_tokens\":40,\"pace_ms\":40}",
                        "a:b\r\n".repeat(MANY_SHORT_FIELDS)));
            }
        },
        /** Reads nothing of a long answer. */
        READS_SLOWLY {
            @Override
            void begin(OutputStream out, String id) throws IOException {
                out.write(request(id, "{\"max_tokens\":3000,\"pace_ms\":0}", ""));
            }
        };

        /** Sends the first bytes. */
        abstract void begin(OutputStream out, String id) throws IOException;

        /** Sends more, some time after the step before. */
        void proceed(OutputStream out, String id, int step) throws IOException {
            // nothing more
        }

        static byte[] largeRequest(String id) {
            return request(id, "{\"max_tokens\":3,\"pace_ms\":1}" + " ".repeat(LARGE_BODY_BYTES), "");
        }

        static byte[] request(String id, String body, String fields) {
            return ("POST /v1/chat/completions HTTP/1.1\r\nX-Correlation-Id: " + id
                    + "\r\nX-Service-Class: chat\r\nX-Account: " + Fleet.TENANT + "\r\nX-Time-Left: 4\r\n"
                    + fields + "X-Facts: prompt_len=9,prefix_len=0,max_out=9\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII);
        }
    }

    @AfterEach
    void disperseCrowd() throws IOException {
        for (Socket socket : crowd) {
            socket.close();
        }
    }

    private ServingProcess start(Fleet fleet, int operatorPort) throws IOException {
        return ServingProcess.start(RouterProcess.deployedMemoryFlags(), SERVE, folder,
                fleet.configurationWithOperator("127.0.0.1:" + operatorPort), Map.of());
    }

    private void gatherCrowd(CrowdMember member, InetSocketAddress router) throws IOException {
        for (int i = 0; i < CROWD_SIZE; i++) {
            Socket socket = new Socket(router.getAddress(), router.getPort());
            crowd.add(socket);
            tryWriting(() -> member.begin(socket.getOutputStream(), "crowd" + crowd.size()));
        }
    }

    private void proceed(CrowdMember member, int step) {
        for (int i = 0; i < crowd.size(); i++) {
            Socket socket = crowd.get(i);
            String id = "crowd" + (i + 1);
            tryWriting(() -> member.proceed(socket.getOutputStream(), id, step));
        }
    }

    private interface Write {
        void run() throws IOException;
    }

    private static void tryWriting(Write write) {
        try {
            write.run();
        } catch (IOException e) {
            // the router closed the connection
        }
    }

    /** Returns a figure of a process's resident memory in bytes: RssAnon, RssFile or RssShmem. */
    private static long residentBytes(ServingProcess router, String kind) throws IOException {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(router.process().pid()), "status"))
                    .stream().filter(line -> line.startsWith(kind + ":"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) << 10).sum();
        } catch (NoSuchFileException e) {
            return 0;
        }
    }

    /** What the processes hold together: the pages of the program's files are the same in both. */
    private static long residentBytes(List<ServingProcess> routers) throws IOException {
        long ownBytes = 0;
        long fileBytes = 0;
        for (ServingProcess router : routers) {
            ownBytes += residentBytes(router, "RssAnon") + residentBytes(router, "RssShmem");
            fileBytes = Math.max(fileBytes, residentBytes(router, "RssFile"));
        }
        return ownBytes + fileBytes;
    }

    /** Samples what the processes use together for this time. */
    private void sample(long millis, List<ServingProcess> routers) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < until) {
            peakBytes.accumulateAndGet(residentBytes(routers), Math::max);
            TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
        }
    }

    @ParameterizedTest
    @EnumSource(CrowdMember.class)
    void bothProcessesOfAReplacementStayWithinTheLimitBesideACrowd(CrowdMember member) throws Exception {
        try (Fleet fleet = new Fleet(4, 64); ServingProcess older = start(fleet, 0)) {
            older.awaitReady();
            gatherCrowd(member, older.address());
            for (int step = 0; step < 3; step++) {
                proceed(member, step);
                sample(SETTLE_MILLIS / 3, List.of(older));
            }
            long olderAlone = peakBytes.get();
            try (ServingProcess newer = start(fleet, older.address().getPort())) {
                sample(SETTLE_MILLIS, List.of(older, newer));
                assertNotNull(newer.awaitLogLine(l -> l.contains("succession.took_over")), newer.log());
                gatherCrowd(member, newer.address());
                for (int step = 0; step < 3; step++) {
                    proceed(member, step);
                    sample(SETTLE_MILLIS / 3, List.of(older, newer));
                }
                assertTrue(newer.process().isAlive());
            }
            assertTrue(peakBytes.get() < MEMORY_LIMIT_BYTES, (olderAlone >> 20) + " MB alone, "
                    + (peakBytes.get() >> 20) + " MB together");
        }
    }
}
