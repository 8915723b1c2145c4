package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * With servers that hang, disconnect, send invalid responses or are slow, and with hostile clients, every
 * request of the other clients gets its final response: success, or an error at most half a second after the
 * client's timeout.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class FinalResponsesUnderFaultsTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final int SERVER_COUNT = 4;
    private static final int CLIENT_COUNT = 8;
    private static final int REQUESTS_PER_CLIENT = 12;
    private static final int HOSTILE_CLIENT_COUNT = 30;

    @TempDir
    private Path folder;

    private final RequestSequences requests = new RequestSequences(CLIENT_COUNT, REQUESTS_PER_CLIENT);

    /** Half of the servers show the faulty behaviour. */
    @ParameterizedTest
    @EnumSource(value = ServerBehaviour.class, names = "ANSWERS", mode = EnumSource.Mode.EXCLUDE)
    void everyRequestGetsAResponseDespiteFaultyServers(ServerBehaviour behaviour) throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT)) {
            rig.server(0).setBehaviour(behaviour);
            rig.server(1).setBehaviour(behaviour);
            requests.run(rig);
            requests.assertServed(rig, CLIENT_COUNT * REQUESTS_PER_CLIENT / 2 + 1);
        }
    }

    /** All servers are faulty: nothing can be served, and every request gets an error in time. */
    @Test
    void everyRequestGetsAnErrorInTimeWhenNoServerResponds() throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, 2)) {
            rig.server(0).setBehaviour(ServerBehaviour.SILENT);
            rig.server(1).setBehaviour(ServerBehaviour.HALF_HEAD);
            requests.run(rig);
            requests.assertAllGotResponses(rig);
        }
    }

    /** Hostile clients connect one after the other while the others send their requests. */
    @ParameterizedTest
    @EnumSource(HostileClient.class)
    void everyRequestGetsAResponseDespiteHostileClients(HostileClient hostile) throws Exception {
        List<Socket> hostileConnections = new ArrayList<>();
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT)) {
            int port = rig.router(0).port();
            Thread attackers = new Thread(() -> {
                for (int i = 0; i < HOSTILE_CLIENT_COUNT; i++) {
                    hostileConnections.add(hostile.attack(port, "0-hostile" + i));
                }
            });
            attackers.setDaemon(true);
            attackers.start();
            requests.run(rig);
            requests.assertServed(rig, CLIENT_COUNT * REQUESTS_PER_CLIENT);
            attackers.join(TimeUnit.SECONDS.toMillis(10));
            assertFalse(hostileConnections.isEmpty());
        } finally {
            for (Socket socket : hostileConnections) {
                if (socket != null) {
                    socket.close();
                }
            }
        }
    }
}
