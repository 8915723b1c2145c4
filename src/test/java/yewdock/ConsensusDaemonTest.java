package yewdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yewdock.testbed.Fleet;
import yewdock.testbed.Load;
import yewdock.verification.AgreedInstallation;
import yewdock.verification.Router;

/** Consensus among router daemons in separate processes, connected by relays that can hold messages back. */
class ConsensusDaemonTest {
    private static final String MAIN = Main.class.getName();

    @TempDir
    private Path folder;

    /** The settings line for the time within which an override must be agreed on. */
    private static String agreementTimeout(int seconds) {
        return "  agreed_within_s = " + seconds + "\n";
    }

    private static Load newLoad(AgreedInstallation installation, int index, Fleet fleet, long seed) {
        return new Load(new Load.Plan(installation.address(index), 4, 100, 5, 2, seed), fleet.ledger());
    }

    /**
     * Three voting members and one follower: a drain that one instance accepts holds at all of them while the
     * leader is cut off from its peers, after a kill and a restart, and after an upgrade.
     */
    @Test
    void agreedDrainHoldsThroughLeaderIsolationAndRestart() throws Exception {
        try (Fleet fleet = new Fleet(3, 16);
                AgreedInstallation installation = new AgreedInstallation(MAIN, folder, fleet, 3, 1,
                        agreementTimeout(2))) {
            installation.whole();
            String server = fleet.boxes().get(0).name();
            Router.Said result = installation.router(3).ask("drain", List.of(server));
            long drainedAt = System.nanoTime();
            assertEquals(0, result.exit(), result.lines());
            assertTrue(result.lines().contains("by agreement, revision 1"), result.lines());
            Load[] loads = new Load[4];
            for (int i = 0; i < 4; i++) {
                loads[i] = newLoad(installation, i, fleet, i + 1);
                loads[i].start();
            }
            int leader = installation.leader();
            installation.cutOff(leader, true, true);
            installation.await(leader, s -> s.contains("in doubt, refusing"));
            installation.await(3, s -> s.contains("agreement: lease") && !s.contains("leader i" + leader));
            String secondServer = fleet.boxes().get(1).name();
            assertEquals(0,
                    installation.router(3).ask("drain", List.of(secondServer, "noise in its fan")).exit());
            // the isolated leader's command may still be proposed once the partition heals; it names a server
            // that is not drained, so that it has no effect then
            String undrainedServer = fleet.boxes().get(2).name();
            assertEquals(1, installation.router(leader).ask("undrain", List.of(undrainedServer)).exit());
            long secondDrainedAt = System.nanoTime();
            installation.heal();
            installation.whole();
            assertNotEquals(-1, installation.leader());
            installation.restart(3);
            installation.whole();
            // the new generation learns the rules before it serves, and the supervisor stays a voting member
            assertEquals(0, installation.router(1).ask("upgrade", List.of()).exit(),
                    installation.router(1).log());
            installation.await(1, s -> s.contains("agreement: lease") && s.contains("votes"));
            String rules = installation.router(3).ask("rules", List.of()).lines();
            assertTrue(rules.contains("box/" + secondServer + " = out"), rules);
            assertTrue(rules.contains("noise in its fan"), rules);
            for (Load load : loads) {
                load.stop();
            }
            fleet.ledger().atBoxes().forEach(a -> {
                assertTrue(!a.box().equals(server) || a.began() < drainedAt, "sent to " + server);
                assertTrue(!a.box().equals(secondServer) || a.began() < secondDrainedAt,
                        "sent to " + secondServer);
            });
            assertTrue(fleet.ledger().atBoxes().stream().anyMatch(a -> a.began() > secondDrainedAt));
            assertTrue(installation.router(3).leave(),
                    "follower did not exit: " + installation.router(3).log());
            assertTrue(installation.router(0).leave(),
                    "voting member did not exit: " + installation.router(0).log());
        }
    }

    /**
     * Without a quorum an instance refuses new requests at once with 503 and a time to retry after, and sends
     * none to a server; once a quorum is back it holds its lease again.
     */
    @Test
    void withoutQuorumNewRequestsAreRefused() throws Exception {
        try (Fleet fleet = new Fleet(2, 16);
                AgreedInstallation installation = new AgreedInstallation(MAIN, folder, fleet, 3, 0,
                        agreementTimeout(1))) {
            installation.whole();
            installation.kill(0);
            installation.kill(1);
            installation.await(2, s -> s.contains("in doubt, refusing"));
            String server = fleet.boxes().get(0).name();
            assertEquals(0, installation.router(2).ask("drain", List.of(server, "--here")).exit());
            Load load = newLoad(installation, 2, fleet, 1);
            load.start();
            while (fleet.ledger().atClients().size() < 20) {
                Thread.onSpinWait();
            }
            load.stop();
            assertTrue(fleet.ledger().atClients().stream().allMatch(a -> a.status() == 503));
            assertTrue(fleet.ledger().atBoxes().isEmpty());
            installation.restart(0);
            installation.await(2, s -> s.contains("agreement: lease"));
        }
    }
}
