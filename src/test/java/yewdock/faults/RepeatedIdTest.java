package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yewdock.Main;
import yewdock.testbed.Fleet;
import yewdock.verification.ServingProcess;

/** Guards against a request id that runs twice when it comes again after its client has left. */
@Timeout(90)
class RepeatedIdTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final double CLIENT_TIMEOUT_SECONDS = 5;
    private static final long CLOSE_MILLIS = 300;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final List<String> SERVE = List.of(Main.class.getName(), "serve");

    @TempDir
    private Path folder;

    private static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private static int status(Socket socket) throws IOException {
        String head = ClientTraffic.readHead(socket.getInputStream(), socket.getInputStream().read());
        return Integer.parseInt(head.split(" ", 3)[1]);
    }

    @Test
    void idOfAClientThatLeftDoesNotRunAgain() throws Exception {
        byte[] request = ClientTraffic.request("0-again", CLIENT_TIMEOUT_SECONDS);
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, 1)) {
            InetSocketAddress router =
                    new InetSocketAddress(InetAddress.getByName("127.0.0.1"), rig.router(0).port());
            rig.server(0).setBehaviour(ServerBehaviour.SILENT);
            try (Socket first = connect(router)) {
                first.getOutputStream().write(request);
                TimeUnit.MILLISECONDS.sleep(CLOSE_MILLIS);
            }
            TimeUnit.MILLISECONDS.sleep(CLOSE_MILLIS);
            rig.server(0).setBehaviour(ServerBehaviour.ANSWERS);
            try (Socket second = connect(router)) {
                second.getOutputStream().write(request);
                assertEquals(409, status(second), rig.logs());
            }
            assertEquals(1, rig.attemptsWithIdPrefix("0-again").size());
        }
    }

    /** A request that never reached a server may come again. */
    @Test
    void idThatHasNotRunMayComeAgain() throws Exception {
        byte[] request = ClientTraffic.request("0-refused", CLIENT_TIMEOUT_SECONDS);
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, 1)) {
            InetSocketAddress router =
                    new InetSocketAddress(InetAddress.getByName("127.0.0.1"), rig.router(0).port());
            rig.server(0).setBehaviour(ServerBehaviour.FULL);
            try (Socket first = connect(router)) {
                first.getOutputStream().write(request);
                assertEquals(503, status(first));
            }
            rig.server(0).setBehaviour(ServerBehaviour.ANSWERS);
            try (Socket second = connect(router)) {
                second.getOutputStream().write(request);
                assertTrue(status(second) != 409, rig.logs());
            }
        }
    }

    /** The client leaves the older process of a replacement, before or after the newer one has taken over. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void idOfAClientThatLeftDoesNotRunAtTheOtherProcess(boolean leavesBefore) throws Exception {
        try (Fleet fleet = new Fleet(2, 8);
                ServingProcess older = ServingProcess.start(SERVE, folder,
                        fleet.configurationWithOperator("127.0.0.1:0"))) {
            older.awaitReady();
            Socket first = connect(older.address());
            first.getOutputStream().write(request("one"));
            assertEquals('H', first.getInputStream().read());
            if (leavesBefore) {
                first.close();
                TimeUnit.MILLISECONDS.sleep(CLOSE_MILLIS);
            }
            try (ServingProcess newer = ServingProcess.start(SERVE, folder,
                    fleet.configurationWithOperator("127.0.0.1:" + older.address().getPort()))) {
                assertNotNull(newer.awaitLogLine(l -> l.contains("succession.took_over")), newer.log());
                assertNotNull(older.awaitLogLine(l -> l.contains("succession.lets_go")), older.log());
                first.close();
                TimeUnit.MILLISECONDS.sleep(CLOSE_MILLIS);
                try (Socket second = connect(newer.address())) {
                    second.getOutputStream().write(request("one"));
                    assertEquals(409, status(second), newer.log());
                }
            }
        }
    }

    private static byte[] request(String id) {
        String body = "{\"max_tokens\":200,\"pace_ms\":30}";
        return ("POST /v1/chat/completions HTTP/1.1\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: chat\r\nX-Account: " + Fleet.TENANT + "\r\nX-Time-Left: 4\r\n"
                + "X-Facts: prompt_len=9,prefix_len=0,max_out=9\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII);
    }
}
