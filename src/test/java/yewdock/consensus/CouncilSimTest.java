package yewdock.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import yewdock.verification.CouncilSim;
import yewdock.verification.CouncilSim.Plant;
import yewdock.wire.Append;
import yewdock.wire.Appended;
import yewdock.wire.RaftFrame;

class CouncilSimTest {
    private static final long SECOND = 1_000_000;

    @Test
    void aCouncilIsFoundedAndAgreesOnAChange() {
        CouncilSim sim = new CouncilSim(3, 2, 1, Plant.NONE);
        sim.run(5 * SECOND);
        assertNotNull(sim.leader(), sim.judge().notes().toString());
        for (int i = 0; i < sim.size(); i++) {
            assertTrue(sim.host(i).council().holdsLease(), sim.host(i).name());
        }
        sim.propose(sim.host(4));
        sim.run(SECOND);
        assertEquals(1, sim.judge().forced());
        for (int i = 0; i < sim.size(); i++) {
            assertEquals(1, sim.host(i).council().localRules().revision(), sim.host(i).name());
        }
        assertEquals(List.of(), sim.judge().broken());
    }

    /**
     * The library forgot to ask for votes, at two of three members at once: seed 874, before they began
     * anew.
     */
    @Test
    void membersWhomNobodyLeadsFindALeader() {
        CouncilSim sim = troubled(3, 3, 874, Plant.NONE);
        assertNotNull(sim.leader(), sim.judge().notes().toString());
        assertTrue(sim.judge().notes().containsKey("agreement.nobody_leads"));
    }

    private static CouncilSim troubled(int members, int followers, long seed, Plant plant) {
        CouncilSim sim = new CouncilSim(members, followers, seed, plant);
        sim.run(5 * SECOND);
        sim.trouble(20 * SECOND);
        sim.run(15 * SECOND);
        return sim;
    }

    @Test
    void troublesBreakNothing() {
        int forced = 0;
        long behind = 0;
        for (int seed = 1; seed <= 60; seed++) {
            CouncilSim sim = troubled(seed % 2 == 0 ? 3 : 5, 3, seed, Plant.NONE);
            assertNotNull(sim.leader(), "seed " + seed + " " + sim.judge().notes());
            sim.judge().nothingLost(sim.leader().council().committedRules());
            assertEquals(List.of(), sim.judge().broken(), "seed " + seed);
            for (int i = 0; i < sim.size(); i++) {
                assertTrue(sim.host(i).council().holdsLease(), "seed " + seed + " " + sim.host(i).name());
                assertEquals(sim.leader().council().committedRules().chain(),
                        sim.host(i).council().localRules().chain());
            }
            forced += sim.judge().forced();
            behind = Math.max(behind, sim.judge().longestBehind());
        }
        assertTrue(forced > 500, "changes in force: " + forced);
        assertTrue(behind > SECOND, "nobody was ever behind: " + behind);
    }

    /**
     * A judge that sees nothing proves nothing: each of these is a mistake that the runs above could hide.
     */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void eachPlantedFaultIsSeen(Plant plant) {
        for (int seed = 1; seed <= 60; seed++) {
            CouncilSim sim = troubled(3, 3, seed, plant);
            if (sim.leader() != null) {
                sim.judge().nothingLost(sim.leader().council().committedRules());
            }
            if (!sim.judge().broken().isEmpty()) {
                System.out.println(plant + " seed " + seed + ": " + sim.judge().broken().get(0));
                return;
            }
        }
        fail(plant + " was not seen in 60 seeds");
    }

    /** Else a leader could count an answer to a round of an earlier term for one that it begins now. */
    @Test
    void aLateAnswerOfAnEarlierTermIsNotTaken() {
        RaftFrame.Builder frame = RaftFrame.newBuilder().setTerm(3);
        assertTrue(Member.outdated(frame.setAppended(Appended.getDefaultInstance()).build(), 4));
        assertFalse(Member.outdated(frame.build(), 3));
        assertFalse(Member.outdated(frame.build(), 2));
        assertFalse(Member.outdated(frame.setAppend(Append.getDefaultInstance()).build(), 4));
    }

    @Test
    void aRouterWhoseListIsBehindIsToldOncePerVersion() {
        CouncilSim sim = new CouncilSim(3, 2, 1, Plant.NONE);
        sim.run(5 * SECOND);
        for (int i = 0; i < 5; i++) {
            sim.host(i).council().endpointListInUse("list", i == 4 ? 6 : 7);
        }
        sim.run(SECOND);
        assertEquals(1, sim.listsCaughtUp());
        sim.host(2).council().endpointListInUse("list", 8);
        sim.run(SECOND);
        assertEquals(5, sim.listsCaughtUp());
    }

    /**
     * The service starts anew and counts from below: what the others hold of its earlier life is no newer.
     */
    @Test
    void aListThatStartsAnewIsNotAskedForWithoutEnd() {
        Lists lists = new Lists();
        lists.heard("a", "x", 100);
        lists.heard("b", "x", 100);
        lists.heard("c", "y", 300);
        lists.heard("a", "x", 5);
        assertEquals(5, lists.newest("x"));
        lists.heard("b", "x", 100);
        assertEquals(5, lists.newest("x"));
        lists.heard("b", "x", 6);
        assertEquals(6, lists.newest("x"));
        assertEquals(-1, lists.newest("z"));
    }

    /**
     * A member whose disk is full votes for nothing; the others go on, and it does when there is room again.
     */
    @Test
    void aMemberWithoutRoomOnItsDiskComesBackByItself() {
        for (int one = 0; one < 3; one++) {
            CouncilSim sim = new CouncilSim(3, 1, one + 1, Plant.NONE);
            sim.run(5 * SECOND);
            sim.host(one).full(true);
            sim.propose(sim.host(3));
            sim.run(8 * SECOND);
            sim.propose(sim.host(3));
            sim.run(4 * SECOND);
            assertTrue(sim.judge().forced() >= 1, "the others did not go on without " + one);
            assertTrue(sim.host(3).council().holdsLease());
            sim.host(one).full(false);
            sim.run(8 * SECOND);
            assertEquals(sim.leader().council().committedRules().chain(),
                    sim.host(one).council().committedRules().chain());
            assertEquals(List.of(), sim.judge().broken());
        }
    }

    /** It forgot what it voted: it has to ask to be taken in, and votes as another member then. */
    @Test
    void aMemberThatLostItsDiskIsTakenInAnew() {
        for (int seed = 1; seed <= 10; seed++) {
            CouncilSim sim = new CouncilSim(3, 1, seed, Plant.NONE);
            sim.run(5 * SECOND);
            for (int i = 0; i < 6; i++) {
                CouncilSim.Host one = sim.host((seed + i) % 3);
                one.wipe();
                sim.propose(sim.host(3));
                sim.run(SECOND / 2);
                one.start();
                sim.propose(sim.host(3));
                sim.run(8 * SECOND);
                assertTrue(one.council().isVotingMember(), "seed " + seed + " round " + i + " "
                        + sim.judge().notes());
            }
            sim.judge().nothingLost(sim.leader().council().committedRules());
            assertEquals(List.of(), sim.judge().broken(), "seed " + seed);
        }
    }

    /** Without a majority nobody acts by rules that others may have changed; with one again all do. */
    @Test
    void withoutAMajorityAllAreInDoubtWithinTheStatedTime() {
        CouncilSim sim = new CouncilSim(3, 2, 1, Plant.NONE);
        sim.run(5 * SECOND);
        sim.host(0).kill();
        sim.host(1).kill();
        sim.run(3 * SECOND);
        for (int i = 2; i < 5; i++) {
            assertFalse(sim.host(i).council().holdsLease(), sim.host(i).name());
        }
        sim.heal();
        sim.run(5 * SECOND);
        for (int i = 0; i < 5; i++) {
            assertTrue(sim.host(i).council().holdsLease(), sim.host(i).name());
        }
    }

    /** The others don't wait for a router that is cut off longer than its lease, and it refuses by then. */
    @Test
    void aRouterThatIsCutOffHoldsAChangeUpForOneLeaseAtMost() {
        CouncilSim sim = new CouncilSim(3, 2, 1, Plant.NONE);
        sim.run(5 * SECOND);
        sim.propose(sim.host(3));
        sim.run(SECOND / 2);
        assertEquals(1, sim.judge().forced());
        assertTrue(sim.judge().timesToForce().get(0) < SECOND / 10, sim.judge().timesToForce().toString());
        sim.cutOff(sim.host(4), true, true);
        sim.propose(sim.host(3));
        sim.run(2 * SECOND);
        assertEquals(1, sim.judge().forced());
        sim.run(SECOND);
        assertEquals(2, sim.judge().forced());
        assertFalse(sim.host(4).council().holdsLease());
        assertEquals(List.of(), sim.judge().broken());
    }
}
