package yewdock.faults;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import yewdock.faults.FaultShim.Call;
import yewdock.faults.FaultShim.Errno;

/** System calls fail in ways that Linux documents; every request gets its response in time all the same. */
@Timeout(90)
class SystemCallFaultsTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final int SERVER_COUNT = 4;
    private static final int CLIENT_COUNT = 8;
    private static final int REQUESTS_PER_CLIENT = 12;
    private static final int ALL = CLIENT_COUNT * REQUESTS_PER_CLIENT;
    private static final long RECOVERY_MILLIS = 2_000;
    private static final int SHORT_TRANSFER_BYTES = 7;

    @TempDir
    private Path folder;

    private final RequestSequences requests = new RequestSequences(CLIENT_COUNT, REQUESTS_PER_CLIENT);

    private FaultRig rig(FaultShim shim) throws Exception {
        FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT, UnaryOperator.identity(),
                shim.environment());
        rig.router(0).port();
        return rig;
    }

    /** Guards against a pause in accepting after a failed accept. */
    @ParameterizedTest
    @EnumSource(names = {"ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "EINTR"})
    void clientsAreAcceptedDespiteFailedAccepts(Errno error) throws Exception {
        FaultShim shim = new FaultShim(folder);
        try (FaultRig rig = rig(shim)) {
            shim.fail(Call.ACCEPT, error, 2);
            requests.run(rig);
            requests.assertServed(rig, ALL);
            requests.assertSlowestBelow(1.0);
        }
    }

    /** One connection in three to servers can't be made; requests are retried. */
    @ParameterizedTest
    @EnumSource(names = {"EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EHOSTUNREACH", "ETIMEDOUT"})
    void requestsAreAnsweredDespiteFailedConnects(Errno error) throws Exception {
        FaultShim shim = new FaultShim(folder);
        try (FaultRig rig = rig(shim)) {
            shim.fail(Call.CONNECT, error, 3);
            requests.run(rig);
            requests.assertServed(rig, ALL / 2);
            shim.restore(Call.CONNECT);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"ENFILE", "EMFILE", "ENOBUFS"})
    void requestsAreAnsweredDespiteFailedSockets(Errno error) throws Exception {
        FaultShim shim = new FaultShim(folder);
        try (FaultRig rig = rig(shim)) {
            shim.fail(Call.SOCKET, error, 3);
            requests.run(rig);
            requests.assertServed(rig, ALL / 2);
        }
    }

    /** No connection to any server can be made for a while: afterwards all requests are served again. */
    @Test
    void serversAreUsedAgainSoonAfterAllConnectsFailed() throws Exception {
        FaultShim shim = new FaultShim(folder);
        try (FaultRig rig = rig(shim)) {
            shim.fail(Call.CONNECT, Errno.EADDRNOTAVAIL, 1);
            RequestSequences during = new RequestSequences(CLIENT_COUNT, REQUESTS_PER_CLIENT);
            during.run(rig);
            during.assertAllGotResponses(rig);
            shim.restore(Call.CONNECT);
            TimeUnit.MILLISECONDS.sleep(RECOVERY_MILLIS);
            requests.run(rig);
            requests.assertServed(rig, ALL);
        }
    }

    @Test
    void interruptedAndShortTransfersLoseNothing() throws Exception {
        FaultShim shim = new FaultShim(folder);
        try (FaultRig rig = rig(shim)) {
            shim.fail(Call.READ, Errno.EINTR, 2);
            shim.fail(Call.WRITE, Errno.EINTR, 2);
            shim.limitTransfers(Call.READ, SHORT_TRANSFER_BYTES);
            shim.limitTransfers(Call.WRITE, SHORT_TRANSFER_BYTES);
            requests.run(rig);
            requests.assertServed(rig, ALL);
        }
    }
}
