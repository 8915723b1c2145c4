package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Servers that hang, vanish, lie or are slow, and clients that are hostile: every request of the clients
 * beside them gets its final answer, at most half a second after its time.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class FinalAnswersUnderFaultsTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final int SERVERS = 4;
    private static final int CLIENTS = 8;
    private static final int REQUESTS = 12;
    private static final int HOSTILE = 30;
    private static final double TIME_LEFT = 2;
    private static final double LATEST_SECONDS = TIME_LEFT + 0.5;
    private static final int CUT_OFF = -1;

    @TempDir
    private Path folder;

    private final Queue<String> lost = new ConcurrentLinkedQueue<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();

    /** Clients that ask one request after the other, each until it has its answer. */
    private void ask(FaultRig rig) throws Exception {
        int port = rig.router(0).port();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String idPrefix = "0-client" + i + '-';
            Thread client = new Thread(() -> askInTurn(port, idPrefix), idPrefix);
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private void askInTurn(int port, String idPrefix) {
        for (int i = 0; i < REQUESTS; i++) {
            String id = idPrefix + i;
            long from = System.nanoTime();
            try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
                socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(10));
                socket.getOutputStream().write(Traffic.request(id, TIME_LEFT));
                int status = statusOf(socket);
                double took = (System.nanoTime() - from) / 1e9;
                answered.incrementAndGet();
                if (status == 200) {
                    served.incrementAndGet();
                } else if (took > LATEST_SECONDS) {
                    lost.add(id + " got " + status + " after " + took + " s");
                }
            } catch (IOException e) {
                lost.add(id + " got no answer: " + e + " after " + (System.nanoTime() - from) / 1e9 + " s");
            }
        }
    }

    /** The status, or that a stream that had begun was cut off, which its client sees. */
    private static int statusOf(Socket socket) throws IOException {
        String head = Traffic.readHead(socket.getInputStream(), socket.getInputStream().read());
        int status = Integer.parseInt(head.split(" ", 3)[1]);
        if (status != 200) {
            return status;
        }
        String rest = new String(readToLastChunk(socket), StandardCharsets.US_ASCII);
        return rest.endsWith("0\r\n\r\n") ? status : CUT_OFF;
    }

    private static byte[] readToLastChunk(Socket socket) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int c = socket.getInputStream().read(); c >= 0; c = socket.getInputStream().read()) {
            all.write(c);
            if (all.toString(StandardCharsets.US_ASCII).endsWith("0\r\n\r\n")) {
                break;
            }
        }
        return all.toByteArray();
    }

    private void assertAllAnswered(FaultRig rig) {
        assertEquals(List.of(), lost.stream().limit(5).toList(), lost.size() + " lost\n" + rig.logs());
        assertEquals(CLIENTS * REQUESTS, answered.get());
    }

    /** Half of the servers turn bad while requests are on their way. */
    @ParameterizedTest
    @EnumSource(value = ServerBehaviour.class, names = "ANSWERS", mode = EnumSource.Mode.EXCLUDE)
    void badServersLeaveNoRequestWithoutItsAnswer(ServerBehaviour behaviour) throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVERS)) {
            rig.server(0).behave(behaviour);
            rig.server(1).behave(behaviour);
            ask(rig);
            assertAllAnswered(rig);
            assertTrue(served.get() > CLIENTS * REQUESTS / 2, "served " + served.get());
        }
    }

    /** All servers turn bad: nothing can be served, and every request hears so in time. */
    @Test
    void whereNoServerAnswersEachRequestHearsSoInTime() throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, 2)) {
            rig.server(0).behave(ServerBehaviour.SILENT);
            rig.server(1).behave(ServerBehaviour.HALF_HEAD);
            ask(rig);
            assertAllAnswered(rig);
        }
    }

    /** Many hostile clients come again and again beside the others. */
    @ParameterizedTest
    @EnumSource(HostileClient.class)
    void hostileClientsLeaveNoRequestWithoutItsAnswer(HostileClient hostile) throws Exception {
        List<Socket> held = new ArrayList<>();
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVERS)) {
            int port = rig.router(0).port();
            Thread attackers = new Thread(() -> {
                for (int i = 0; i < HOSTILE; i++) {
                    held.add(hostile.attack(port, "0-hostile" + i));
                }
            });
            attackers.setDaemon(true);
            attackers.start();
            ask(rig);
            assertAllAnswered(rig);
            assertEquals(CLIENTS * REQUESTS, served.get());
            attackers.join(TimeUnit.SECONDS.toMillis(10));
            assertFalse(held.isEmpty());
        } finally {
            for (Socket socket : held) {
                if (socket != null) {
                    socket.close();
                }
            }
        }
    }
}
