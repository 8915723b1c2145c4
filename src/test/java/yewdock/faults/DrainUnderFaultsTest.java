package yewdock.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Servers drain or are removed while faults occur between router processes under traffic and their discovery.
 * No attempt may start at such a server once its router counts as notified and the drain grace has passed.
 */
@Timeout(90)
@Execution(ExecutionMode.CONCURRENT)
class DrainUnderFaultsTest {
    private static final long GRACE_MILLIS = 500;
    private static final int SERVER_COUNT = 4;
    /** The 6 s after which a router counts as notified, the grace, and 1 s to observe further attempts. */
    private static final long OBSERVATION_MILLIS = 7_500;
    /** How long an agent is silent. */
    private static final long SILENCE_MILLIS = 2_500;
    private static final int REPLACEMENT_REQUESTS = 20;
    /** Longer than the time for which a pause of the router matters after its agent fell silent. */
    private static final long PAUSES_MATTER_MILLIS = 1_500;
    /** How often an agent is silenced until its router was not paused beforehand. */
    private static final int MAX_SILENCES = 5;
    /** With an address for operators' calls, a router's processes share a folder and replace each other. */
    private static final UnaryOperator<String> WITH_OPERATOR_CALLS =
            configuration -> configuration.replaceFirst("\\{", "{\"operator\":\"127.0.0.1:0\",");
    /** Time after SIGHUP from which the contents of another agent count as known. */
    private static final long NEW_AGENT_KNOWN_AFTER_MILLIS = 4_000;

    @TempDir
    private Path folder;

    private static void sleep(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }

    private static void assertDrainsKept(FaultRig rig) {
        DrainRuleChecker checker = rig.checker();
        assertEquals(List.of(), checker.violations().stream().limit(5).toList(),
                checker.violations().size() + " attempts of " + checker.attemptCount() + "\n" + rig.logs());
        assertTrue(checker.attemptCount() > 100, "too little traffic: " + checker.attemptCount());
    }

    /** Tests the checker itself: it learns of a drain that the router is never told of. */
    @Test
    void checkerReportsAnIgnoredDrain() throws Exception {
        try (FaultRig rig = new FaultRig(folder, true, GRACE_MILLIS, 1, 2)) {
            sleep(500);
            rig.checker().stateChanged(0, rig.server(0).name(), EndpointState.DRAINING, true);
            sleep(GRACE_MILLIS + 1_000);
            assertFalse(rig.checker().violations().isEmpty());
        }
    }

    /** Guards against a discovery service that is never heard because each of its answers takes 3 s. */
    @Test
    void slowDiscoveryIsHeard() throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT)) {
            rig.discovery(0).delayCalls(3_000);
            rig.restartRouter(0);
            sleep(6_000);
            rig.setStateEverywhere(0, EndpointState.DRAINING);
            sleep(OBSERVATION_MILLIS);
            rig.setStateEverywhere(1, EndpointState.REMOVED);
            sleep(OBSERVATION_MILLIS);
            assertDrainsKept(rig);
        }
    }

    /**
     * An agent learns of a drain while its router is down, and is silent when the router starts again. Guards
     * against a new process that sends by the list it was started with because its agent does not answer.
     */
    @Test
    void aRestartedRouterWaitsForItsSilentAgent() throws Exception {
        try (FaultRig rig = new FaultRig(folder, true, GRACE_MILLIS, 1, SERVER_COUNT)) {
            sleep(1_500);
            rig.killRouter(0);
            rig.setStateEverywhere(0, EndpointState.DRAINING);
            rig.discovery(0).setSilent(true);
            rig.startKilledRouter(0);
            sleep(SILENCE_MILLIS);
            rig.discovery(0).setSilent(false);
            sleep(1_500);
            assertDrainsKept(rig);
        }
    }

    /** A process that replaces another while the agent is silent serves by the list of that one. */
    @Test
    void aReplacementServesByTheListOfItsPredecessorWhileTheAgentIsSilent() throws Exception {
        try (FaultRig rig = new FaultRig(folder, true, GRACE_MILLIS, 1, SERVER_COUNT, WITH_OPERATOR_CALLS)) {
            sleep(1_500);
            rig.setStateEverywhere(0, EndpointState.DRAINING);
            sleep(GRACE_MILLIS);
            silenceAgentOfServingRouter(rig);
            try (RouterProcess replacement = startReplacement(rig)) {
                for (int i = 0; i < REPLACEMENT_REQUESTS; i++) {
                    assertEquals(200, statusOf(replacement.port(), "0-replacement" + i),
                            rig.logs() + "\n---\n" + replacement.log());
                }
            }
            assertDrainsKept(rig);
        }
    }

    /**
     * Silences the agent of a router that serves by a list which the agent has confirmed. A router that was
     * paused shortly before its agent fell silent refuses requests until the agent answers, and a busy
     * machine may pause it: the agent then answers and falls silent anew.
     */
    private static void silenceAgentOfServingRouter(FaultRig rig) throws Exception {
        for (int i = 0; i < MAX_SILENCES; i++) {
            rig.discovery(0).setSilent(true);
            sleep(PAUSES_MATTER_MILLIS);
            if (statusOf(rig.router(0).port(), "0-silence" + i) == 200) {
                return;
            }
            rig.discovery(0).setSilent(false);
            sleep(GRACE_MILLIS);
        }
        throw new AssertionError("the router was paused before each silence of its agent:\n" + rig.logs());
    }

    /**
     * A paused router did not receive a drain before its agent fell silent, and is replaced. Guards against a
     * replacement that takes the list of that router for one which the agent has confirmed.
     */
    @Test
    void aReplacementOfAPausedRouterWaitsForTheSilentAgent() throws Exception {
        try (FaultRig rig = new FaultRig(folder, true, GRACE_MILLIS, 1, SERVER_COUNT, WITH_OPERATOR_CALLS)) {
            sleep(1_500);
            rig.signalAll("STOP");
            sleep(GRACE_MILLIS);
            rig.setStateEverywhere(0, EndpointState.DRAINING);
            rig.discovery(0).setSilent(true);
            rig.signalAll("CONT");
            try (RouterProcess replacement = startReplacement(rig)) {
                for (int i = 0; i < REPLACEMENT_REQUESTS; i++) {
                    assertEquals(503, statusOf(replacement.port(), "0-early" + i), replacement.log());
                }
                rig.discovery(0).setSilent(false);
                sleep(1_500);
                for (int i = 0; i < REPLACEMENT_REQUESTS; i++) {
                    assertEquals(200, statusOf(replacement.port(), "0-late" + i), replacement.log());
                }
            }
            assertDrainsKept(rig);
        }
    }

    /** Starts a process that replaces the first router. */
    private static RouterProcess startReplacement(FaultRig rig) throws Exception {
        return new RouterProcess(rig.router(0).configurationFile().getParent(),
                rig.configuration(rig.discovery(0).address(), 1));
    }

    private static int statusOf(int port, String id) throws Exception {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(ClientTraffic.request(id, 2));
            return ClientTraffic.readResponse(socket.getInputStream());
        }
    }

    /** A paused router does not receive a drain before its agent falls silent. */
    @Test
    void aPausedRouterWaitsForItsSilentAgent() throws Exception {
        try (FaultRig rig = new FaultRig(folder, true, GRACE_MILLIS, 1, SERVER_COUNT)) {
            sleep(1_500);
            rig.signalAll("STOP");
            sleep(100);
            rig.setStateEverywhere(0, EndpointState.DRAINING);
            rig.discovery(0).setSilent(true);
            sleep(GRACE_MILLIS + 500);
            rig.signalAll("CONT");
            sleep(SILENCE_MILLIS);
            rig.discovery(0).setSilent(false);
            sleep(1_500);
            assertDrainsKept(rig);
        }
    }

    /** A router is told of another agent, which is silent: what that one holds counts 4 s later. */
    @Test
    void aRouterWithANewAgentWaitsForItWhileItIsSilent() throws Exception {
        try (FaultRig rig = new FaultRig(folder, true, GRACE_MILLIS, 1, SERVER_COUNT);
                ScriptedDiscovery newAgent = new ScriptedDiscovery(0, rig.checker())) {
            sleep(1_500);
            for (int i = 0; i < SERVER_COUNT; i++) {
                newAgent.setState(rig.server(i).name(), rig.server(i).address(), EndpointState.UP);
            }
            newAgent.setSilent(true);
            Files.writeString(rig.router(0).configurationFile(), rig.configuration(newAgent.address(), 1));
            rig.router(0).signal("HUP");
            sleep(NEW_AGENT_KNOWN_AFTER_MILLIS);
            newAgent.setState(rig.server(0).name(), rig.server(0).address(), EndpointState.DRAINING);
            sleep(SILENCE_MILLIS);
            newAgent.setSilent(false);
            sleep(1_500);
            assertDrainsKept(rig);
        }
    }

    /** Discovery restarts and counts versions from 1, lower than the version that the router has. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void discoveryRestartsWithLowerVersions(boolean byAgent) throws Exception {
        try (FaultRig rig = new FaultRig(folder, byAgent, GRACE_MILLIS, 2, SERVER_COUNT)) {
            sleep(1_500);
            for (int router = 0; router < 2; router++) {
                rig.discovery(router).stop();
            }
            sleep(300);
            rig.setStateEverywhere(0, EndpointState.DRAINING);
            rig.setStateEverywhere(1, EndpointState.REMOVED);
            for (int router = 0; router < 2; router++) {
                rig.discovery(router).restart(1);
            }
            sleep(OBSERVATION_MILLIS);
            assertDrainsKept(rig);
        }
    }

    /** An entry with invalid fields still tells the router that its server drains. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aMalformedEntryStillDrainsItsServer(boolean byAgent) throws Exception {
        try (FaultRig rig = new FaultRig(folder, byAgent, GRACE_MILLIS, 2, SERVER_COUNT)) {
            sleep(1_500);
            rig.discovery(0).setStateWithFields(rig.server(0).name(), "", EndpointState.DRAINING,
                    "\"addr\":\"\",\"zone\":\"nowhere\",\"kind\":\"big-gpu\"");
            rig.discovery(1).setStateWithFields(rig.server(1).name(), "", EndpointState.DRAINING,
                    "\"addr\":\"127.0.0.1:9\",\"zone\":\"kathmandu\",\"kind\":\"big-gpu\",\"weight\":-1");
            sleep(OBSERVATION_MILLIS);
            assertDrainsKept(rig);
        }
    }

    /** Routers are paused for longer than the grace while servers drain and clients keep sending requests. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aPausedRouterReadsItsListBeforeItSends(boolean byAgent) throws Exception {
        try (FaultRig rig = new FaultRig(folder, byAgent, GRACE_MILLIS, 3, SERVER_COUNT)) {
            sleep(1_500);
            for (int round = 0; round < 3; round++) {
                rig.signalAll("STOP");
                sleep(100);
                rig.setStateEverywhere(round, EndpointState.DRAINING);
                sleep(GRACE_MILLIS + 1_000);
                rig.signalAll("CONT");
                sleep(1_500);
            }
            assertDrainsKept(rig);
        }
    }

    /** A paused router's watch ends with the first change; later changes reach it only by another call. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aPausedRouterCallsForChangesItsWatchMissed(boolean byAgent) throws Exception {
        try (FaultRig rig = new FaultRig(folder, byAgent, GRACE_MILLIS, 3, SERVER_COUNT)) {
            sleep(1_500);
            rig.signalAll("STOP");
            sleep(100);
            rig.setStateEverywhere(0, EndpointState.DRAINING);
            sleep(300);
            rig.setStateEverywhere(1, EndpointState.DRAINING);
            sleep(byAgent ? GRACE_MILLIS + 500 : 6_000 + GRACE_MILLIS + 500);
            rig.signalAll("CONT");
            sleep(1_500);
            assertDrainsKept(rig);
        }
    }

    /** Consecutive calls fail in different ways, and a server drains as the first of them fails. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void drainsAreKeptWhenConsecutiveCallsFail(boolean byAgent) throws Exception {
        List<List<CallFault>> sequences = byAgent ? List.of(
                List.of(CallFault.RESET, CallFault.UNAVAILABLE, CallFault.HALF_ANSWERED),
                List.of(CallFault.WRONG_LENGTH),
                List.of(CallFault.HEAD_ONLY),
                List.of(CallFault.SILENT)) : List.of(
                List.of(CallFault.RESET, CallFault.UNAVAILABLE, CallFault.HALF_ANSWERED, CallFault.MALFORMED),
                List.of(CallFault.MALFORMED, CallFault.WRONG_LENGTH, CallFault.RESET),
                List.of(CallFault.HEAD_ONLY, CallFault.UNAVAILABLE, CallFault.UNAVAILABLE),
                List.of(CallFault.SILENT, CallFault.RESET));
        try (FaultRig rig = new FaultRig(folder, byAgent, GRACE_MILLIS, sequences.size(), SERVER_COUNT)) {
            sleep(1_500);
            for (int router = 0; router < sequences.size(); router++) {
                rig.discovery(router).failNextCalls(sequences.get(router));
                rig.discovery(router).resetOpenWatches();
            }
            rig.setStateEverywhere(0, EndpointState.DRAINING);
            sleep(OBSERVATION_MILLIS);
            assertDrainsKept(rig);
        }
    }

    /**
     * A call is answered with an older list, from before the changes: the router must not restore a draining
     * server, and must still take up the changes.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anOlderListDoesNotRestoreADrainingServer(boolean byAgent) throws Exception {
        try (FaultRig rig = new FaultRig(folder, byAgent, GRACE_MILLIS, 2, SERVER_COUNT)) {
            sleep(1_500);
            rig.setStateEverywhere(3, EndpointState.DRAINING);
            sleep(500);
            for (int router = 0; router < 2; router++) {
                rig.discovery(router).answerNextCallWithCurrentList();
            }
            rig.setStateEverywhere(0, EndpointState.DRAINING);
            rig.setStateEverywhere(1, EndpointState.REMOVED);
            sleep(OBSERVATION_MILLIS);
            assertDrainsKept(rig);
        }
    }

    /**
     * The address of discovery changes while no call is open, because changes have just been reported in
     * quick succession or a call has failed. The connection to the old address is still open.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aDiscoveryAddressChangeBetweenCallsIsFollowed(boolean callFails) throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 2, SERVER_COUNT);
                ScriptedDiscovery first = new ScriptedDiscovery(0, rig.checker());
                ScriptedDiscovery second = new ScriptedDiscovery(1, rig.checker())) {
            List<ScriptedDiscovery> newDiscoveries = List.of(first, second);
            sleep(1_500);
            for (int i = 0; i < SERVER_COUNT; i++) {
                for (ScriptedDiscovery discovery : newDiscoveries) {
                    discovery.setState(rig.server(i).name(), rig.server(i).address(), EndpointState.UP);
                }
            }
            if (callFails) {
                for (int router = 0; router < 2; router++) {
                    rig.discovery(router).failNextCalls(List.of(CallFault.UNAVAILABLE));
                }
            }
            rig.setStateEverywhere(3, EndpointState.DRAINING);
            sleep(50);
            rig.setStateEverywhere(3, EndpointState.UP);
            sleep(100);
            for (int router = 0; router < 2; router++) {
                Files.writeString(rig.router(router).configurationFile(),
                        rig.configuration(newDiscoveries.get(router).address(), 1));
                rig.router(router).signal("HUP");
            }
            sleep(200);
            for (ScriptedDiscovery discovery : newDiscoveries) {
                discovery.setState(rig.server(0).name(), rig.server(0).address(), EndpointState.DRAINING);
                discovery.setState(rig.server(1).name(), rig.server(1).address(), EndpointState.REMOVED);
            }
            sleep(OBSERVATION_MILLIS);
            assertDrainsKept(rig);
        }
    }

    /** SIGHUP arrives while the new configuration, with a new discovery address, is half written. */
    @Test
    void aHalfWrittenConfigurationAtSighupIsReadOnceComplete() throws Exception {
        try (FaultRig rig = new FaultRig(folder, false, GRACE_MILLIS, 1, SERVER_COUNT);
                ScriptedDiscovery newDiscovery = new ScriptedDiscovery(0, rig.checker())) {
            sleep(1_500);
            for (int i = 0; i < SERVER_COUNT; i++) {
                newDiscovery.setState(rig.server(i).name(), rig.server(i).address(), EndpointState.UP);
            }
            String newText = rig.configuration(newDiscovery.address(), 1);
            Files.writeString(rig.router(0).configurationFile(), newText.substring(0, newText.length() / 2));
            rig.router(0).signal("HUP");
            sleep(500);
            Files.writeString(rig.router(0).configurationFile(), newText);
            newDiscovery.setState(rig.server(0).name(), rig.server(0).address(), EndpointState.DRAINING);
            sleep(OBSERVATION_MILLIS);
            assertDrainsKept(rig);
        }
    }
}
