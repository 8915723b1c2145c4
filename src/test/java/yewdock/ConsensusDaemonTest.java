package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yewdock.testbed.Fleet;
import yewdock.testbed.LoadGenerator;
import yewdock.verification.DaemonCluster;
import yewdock.verification.DaemonProcess;

/** Consensus among router daemons in separate processes, connected by relays that can hold messages back. */
class ConsensusDaemonTest {
    private static final String MAIN = Main.class.getName();

    @TempDir
    private Path folder;

    /** The settings line for the time within which an override must be agreed on. */
    private static String agreementTimeout(int seconds) {
        return "  agreed_within_s = " + seconds + "\n";
    }

    private static LoadGenerator newLoad(DaemonCluster installation, int index, Fleet fleet, long seed) {
        return new LoadGenerator(new LoadGenerator.Profile(installation.clientAddress(index), 4, 100, 5, 2,
                seed), fleet.observations());
    }

    /**
     * Three voting members and one follower: a drain that one instance accepts holds at all of them while the
     * leader is cut off from its peers, after a kill and a restart, and after an upgrade.
     */
    @Test
    void agreedDrainHoldsThroughLeaderIsolationAndRestart() throws Exception {
        try (Fleet fleet = new Fleet(3, 16);
                DaemonCluster installation = new DaemonCluster(MAIN, folder, fleet, 3, 1,
                        agreementTimeout(2))) {
            installation.awaitAllLeases();
            String server = fleet.servers().get(0).name();
            DaemonProcess.CommandResult result = installation.daemon(3).sendCommand("drain", List.of(server));
            long drainedAt = System.nanoTime();
            assertEquals(0, result.exitCode(), result.output());
            assertTrue(result.output().contains("by agreement, revision 1"), result.output());
            LoadGenerator[] loads = new LoadGenerator[4];
            for (int i = 0; i < 4; i++) {
                loads[i] = newLoad(installation, i, fleet, i + 1);
                loads[i].start();
            }
            int leader = installation.leaderIndex();
            installation.isolate(leader, true, true);
            installation.awaitStatus(leader, s -> s.contains("in doubt, refusing"));
            installation.awaitStatus(3, s -> s.contains("agreement: lease") && !s.contains("leader i"
                    + leader));
            String secondServer = fleet.servers().get(1).name();
            assertEquals(0,
                    installation.daemon(3).sendCommand("drain", List.of(secondServer,
                            "noise in its fan")).exitCode());
            // the isolated leader's command may still be proposed once the partition heals; it names a server
            // that is not drained, so that it has no effect then
            String undrainedServer = fleet.servers().get(2).name();
            assertEquals(1, installation.daemon(leader).sendCommand("undrain",
                    List.of(undrainedServer)).exitCode());
            long secondDrainedAt = System.nanoTime();
            installation.healNetwork();
            installation.awaitAllLeases();
            assertNotEquals(-1, installation.leaderIndex());
            installation.restart(3);
            installation.awaitAllLeases();
            // the new generation learns the rules before it serves, and the supervisor stays a voting member
            assertEquals(0, installation.daemon(1).sendCommand("upgrade", List.of()).exitCode(),
                    installation.daemon(1).log());
            installation.awaitStatus(1, s -> s.contains("agreement: lease") && s.contains("votes"));
            String rules = installation.daemon(3).sendCommand("rules", List.of()).output();
            assertTrue(rules.contains("box/" + secondServer + " = out"), rules);
            assertTrue(rules.contains("noise in its fan"), rules);
            for (LoadGenerator load : loads) {
                load.stop();
            }
            fleet.observations().serverAttempts().forEach(a -> {
                assertTrue(!a.server().equals(server) || a.startedNanos() < drainedAt, "sent to " + server);
                assertTrue(!a.server().equals(secondServer) || a.startedNanos() < secondDrainedAt,
                        "sent to " + secondServer);
            });
            assertTrue(fleet.observations().serverAttempts().stream().anyMatch(a ->
                    a.startedNanos() > secondDrainedAt));
            assertTrue(installation.daemon(3).terminate(),
                    "follower did not exit: " + installation.daemon(3).log());
            assertTrue(installation.daemon(0).terminate(),
                    "voting member did not exit: " + installation.daemon(0).log());
        }
    }

    /**
     * Without a quorum an instance refuses new requests at once with 503 and a time to retry after, and sends
     * none to a server; once a quorum is back it holds its lease again.
     */
    @Test
    void withoutQuorumNewRequestsAreRefused() throws Exception {
        try (Fleet fleet = new Fleet(2, 16);
                DaemonCluster installation = new DaemonCluster(MAIN, folder, fleet, 3, 0,
                        agreementTimeout(1))) {
            installation.awaitAllLeases();
            installation.kill(0);
            installation.kill(1);
            installation.awaitStatus(2, s -> s.contains("in doubt, refusing"));
            String server = fleet.servers().get(0).name();
            assertEquals(0, installation.daemon(2).sendCommand("drain", List.of(server,
                    "--here")).exitCode());
            LoadGenerator load = newLoad(installation, 2, fleet, 1);
            load.start();
            while (fleet.observations().requestResults().size() < 20) {
                Thread.onSpinWait();
            }
            load.stop();
            assertTrue(fleet.observations().requestResults().stream().allMatch(a -> a.status() == 503));
            assertTrue(fleet.observations().serverAttempts().isEmpty());
            installation.restart(0);
            installation.awaitStatus(2, s -> s.contains("agreement: lease"));
        }
    }
}
