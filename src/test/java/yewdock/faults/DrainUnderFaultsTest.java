package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Router processes under traffic, faults between them and discovery, and servers that drain or go meanwhile:
 * nothing begins at a server after its router counts as told and the grace is over.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class DrainUnderFaultsTest {
    private static final long GRACE_MILLIS = 500;
    private static final int SERVERS = 4;
    /** What counts as told at the latest 6 s on must be kept a grace later; more attempts are watched. */
    private static final long UNTIL_JUDGED_MILLIS = 7_500;

    @TempDir
    private Path folder;

    private static void pass(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }

    private static void assertKept(FaultRig rig) {
        DrainJudge judge = rig.judge();
        assertEquals(List.of(), judge.violations().stream().limit(5).toList(),
                judge.violations().size() + " attempts of " + judge.attempts() + "\n" + rig.logs());
        assertTrue(judge.attempts() > 100, "too little traffic: " + judge.attempts());
    }

    /** A planted fault: the server is told to drain on a list that the router is not shown. */
    @Test
    void theJudgeSeesADrainThatIsIgnored() throws Exception {
        try (FaultRig rig = new FaultRig(folder, true, GRACE_MILLIS, 1, 2)) {
            pass(500);
            rig.judge().changed(0, rig.server(0).name(), EndpointState.DRAINING, true);
            pass(GRACE_MILLIS + 1_000);
            assertFalse(rig.judge().violations().isEmpty());
        }
    }

    /** Discovery loses its process and comes back counting from 1: its answers are about other versions. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void discoveryRestartsWithLowerVersions(boolean pushed) throws Exception {
        try (FaultRig rig = new FaultRig(folder, pushed, GRACE_MILLIS, 2, SERVERS)) {
            pass(1_500);
            for (int router = 0; router < 2; router++) {
                rig.discovery(router).stop();
            }
            pass(300);
            rig.setEverywhere(0, EndpointState.DRAINING);
            rig.setEverywhere(1, EndpointState.REMOVED);
            for (int router = 0; router < 2; router++) {
                rig.discovery(router).restart(1);
            }
            pass(UNTIL_JUDGED_MILLIS);
            assertKept(rig);
        }
    }

    /** An entry that can't be used as a whole still says that its server drains. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aSpoiltEntryStillDrainsItsServer(boolean pushed) throws Exception {
        try (FaultRig rig = new FaultRig(folder, pushed, GRACE_MILLIS, 2, SERVERS)) {
            pass(1_500);
            rig.discovery(0).setSpoilt(rig.server(0).name(), "", EndpointState.DRAINING,
                    "\"addr\":\"\",\"zone\":\"nowhere\",\"kind\":\"big-gpu\"");
            rig.discovery(1).setSpoilt(rig.server(1).name(), "", EndpointState.DRAINING,
                    "\"addr\":\"127.0.0.1:9\",\"zone\":\"kathmandu\",\"kind\":\"big-gpu\",\"weight\":-1");
            pass(UNTIL_JUDGED_MILLIS);
            assertKept(rig);
        }
    }

    /** Processes stand still for longer than the grace while servers drain, and clients go on writing. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aPausedRouterReadsItsNewsBeforeItSends(boolean pushed) throws Exception {
        try (FaultRig rig = new FaultRig(folder, pushed, GRACE_MILLIS, 3, SERVERS)) {
            pass(1_500);
            for (int round = 0; round < 3; round++) {
                rig.signalAll("STOP");
                pass(100);
                rig.setEverywhere(round, EndpointState.DRAINING);
                pass(GRACE_MILLIS + 1_000);
                rig.signalAll("CONT");
                pass(1_500);
            }
            assertKept(rig);
        }
    }

    /** What changes after the news that ended its watch is not told to a router that stands still. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aPausedRouterAsksForWhatItsWatchDidNotBring(boolean pushed) throws Exception {
        try (FaultRig rig = new FaultRig(folder, pushed, GRACE_MILLIS, 3, SERVERS)) {
            pass(1_500);
            rig.signalAll("STOP");
            pass(100);
            rig.setEverywhere(0, EndpointState.DRAINING);
            pass(300);
            rig.setEverywhere(1, EndpointState.DRAINING);
            pass(pushed ? GRACE_MILLIS + 500 : 6_000 + GRACE_MILLIS + 500);
            rig.signalAll("CONT");
            pass(1_500);
            assertKept(rig);
        }
    }

    /** Several calls in a row fail, each in another way, and a server drains as the first of them fails. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void callsThatFailInARowKeepADrain(boolean pushed) throws Exception {
        List<List<CallFault>> sequences = pushed ? List.of(
                List.of(CallFault.RESET, CallFault.UNAVAILABLE, CallFault.HALF_ANSWERED),
                List.of(CallFault.WRONG_LENGTH),
                List.of(CallFault.HEAD_ONLY),
                List.of(CallFault.SILENT)) : List.of(
                List.of(CallFault.RESET, CallFault.UNAVAILABLE, CallFault.HALF_ANSWERED, CallFault.MALFORMED),
                List.of(CallFault.MALFORMED, CallFault.WRONG_LENGTH, CallFault.RESET),
                List.of(CallFault.HEAD_ONLY, CallFault.UNAVAILABLE, CallFault.UNAVAILABLE),
                List.of(CallFault.SILENT, CallFault.RESET));
        try (FaultRig rig = new FaultRig(folder, pushed, GRACE_MILLIS, sequences.size(), SERVERS)) {
            pass(1_500);
            for (int router = 0; router < sequences.size(); router++) {
                rig.discovery(router).failNextCalls(sequences.get(router));
                rig.discovery(router).resetOpenWatches();
            }
            rig.setEverywhere(0, EndpointState.DRAINING);
            pass(UNTIL_JUDGED_MILLIS);
            assertKept(rig);
        }
    }

    /** A watch fell silent, and the answer to the next call is from before the drain that was told. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anOlderListDoesNotPutADrainingServerBack(boolean pushed) throws Exception {
        try (FaultRig rig = new FaultRig(folder, pushed, GRACE_MILLIS, 2, SERVERS)) {
            pass(1_500);
            rig.setEverywhere(3, EndpointState.DRAINING);
            pass(500);
            for (int router = 0; router < 2; router++) {
                rig.discovery(router).answerNextCallWithPresentList();
            }
            rig.setEverywhere(0, EndpointState.DRAINING);
            rig.setEverywhere(1, EndpointState.REMOVED);
            pass(UNTIL_JUDGED_MILLIS);
            assertKept(rig);
        }
    }

    /**
     * Discovery moves while no call is out: changes in a row have just been told, or a call was refused. The
     * connection to the old one is still there.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aListThatMovesBetweenTwoCallsIsFollowed(boolean refused) throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 2, SERVERS);
                ScriptedDiscovery first = new ScriptedDiscovery(0, rig.judge());
                ScriptedDiscovery second = new ScriptedDiscovery(1, rig.judge())) {
            List<ScriptedDiscovery> next = List.of(first, second);
            pass(1_500);
            for (int i = 0; i < SERVERS; i++) {
                for (ScriptedDiscovery discovery : next) {
                    discovery.set(rig.server(i).name(), rig.server(i).address(), EndpointState.UP);
                }
            }
            if (refused) {
                for (int router = 0; router < 2; router++) {
                    rig.discovery(router).failNextCalls(List.of(CallFault.UNAVAILABLE));
                }
            }
            rig.setEverywhere(3, EndpointState.DRAINING);
            pass(50);
            rig.setEverywhere(3, EndpointState.UP);
            pass(100);
            for (int router = 0; router < 2; router++) {
                Files.writeString(rig.router(router).configuration(),
                        rig.configuration(next.get(router).address(), 1));
                rig.router(router).signal("HUP");
            }
            pass(200);
            for (ScriptedDiscovery discovery : next) {
                discovery.set(rig.server(0).name(), rig.server(0).address(), EndpointState.DRAINING);
                discovery.set(rig.server(1).name(), rig.server(1).address(), EndpointState.REMOVED);
            }
            pass(UNTIL_JUDGED_MILLIS);
            assertKept(rig);
        }
    }

    /** SIGHUP comes while the new configuration is half written, and discovery has moved. */
    @Test
    void aConfigurationThatIsHalfWrittenAtSighupIsReadOnceItIsWhole() throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVERS);
                ScriptedDiscovery next = new ScriptedDiscovery(0, rig.judge())) {
            pass(1_500);
            for (int i = 0; i < SERVERS; i++) {
                next.set(rig.server(i).name(), rig.server(i).address(), EndpointState.UP);
            }
            String moved = rig.configuration(next.address(), 1);
            Files.writeString(rig.router(0).configuration(), moved.substring(0, moved.length() / 2));
            rig.router(0).signal("HUP");
            pass(500);
            Files.writeString(rig.router(0).configuration(), moved);
            next.set(rig.server(0).name(), rig.server(0).address(), EndpointState.DRAINING);
            pass(UNTIL_JUDGED_MILLIS);
            assertKept(rig);
        }
    }
}
