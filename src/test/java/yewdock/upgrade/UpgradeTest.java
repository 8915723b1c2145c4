package yewdock.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import yewdock.wire.Checked;
import yewdock.wire.Failed;
import yewdock.wire.Frame;
import yewdock.wire.Hello;
import yewdock.wire.LetGoDone;
import yewdock.wire.Ready;
import yewdock.wire.Serving;
import yewdock.wire.Sharing;
import yewdock.wire.State;
import yewdock.wire.Took;

/** The keeper's decisions, stage by stage. */
class UpgradeTest {
    private static final long STAGE = 1_000_000;
    private final SupervisorReducer keeper =
            new SupervisorReducer(UpgradeLimits.uniform(STAGE, 10 * STAGE, 2));
    private final List<String> seen = new ArrayList<>();
    private long now = 1;
    private int exit = -1;

    private void happens(SupervisorEvent event) {
        for (SupervisorEffect effect : keeper.reduce(event, now)) {
            if (effect instanceof SupervisorEffect.SendFrame e) {
                seen.add(e.generation() + " " + e.frame().getWhatCase());
            } else if (effect instanceof SupervisorEffect.StartProcess e) {
                seen.add("start " + e.generation());
            } else if (effect instanceof SupervisorEffect.KillProcess e) {
                seen.add("kill " + e.generation());
            } else if (effect instanceof SupervisorEffect.Reply e) {
                seen.add("reply " + e.exit() + " " + e.line());
            } else if (effect instanceof SupervisorEffect.ExitSupervisor e) {
                exit = e.exit();
            }
        }
    }

    private void says(int generation, Frame.Builder frame) {
        happens(new SupervisorEvent.FrameReceived(generation, frame.build()));
    }

    private List<String> taken() {
        List<String> all = List.copyOf(seen);
        seen.clear();
        return all;
    }

    /** Brings a generation up to just before a stage; old is the one that serves, 0 for none. */
    private void upTo(Stage stage, int old, int next) {
        Map<Stage, Runnable> steps = new EnumMap<>(Stage.class);
        steps.put(Stage.START, () -> says(next, Frame.newBuilder().setHello(Hello.getDefaultInstance())));
        steps.put(Stage.CHECK, () -> says(next, Frame.newBuilder().setChecked(Checked.getDefaultInstance())));
        steps.put(Stage.STATE, () -> says(old, Frame.newBuilder().setState(State.getDefaultInstance())));
        steps.put(Stage.READY, () -> says(next, Frame.newBuilder().setReady(Ready.getDefaultInstance())));
        steps.put(Stage.TAKE, () -> says(next, Frame.newBuilder().setTook(Took.getDefaultInstance())));
        steps.put(Stage.SHARE, () -> says(old, Frame.newBuilder().setSharing(Sharing.getDefaultInstance())));
        steps.put(Stage.GO, () -> says(next, Frame.newBuilder().setServing(Serving.getDefaultInstance())));
        steps.put(Stage.LET_GO, () -> says(old, Frame.newBuilder().setLetGoDone(
                LetGoDone.getDefaultInstance())));
        for (Map.Entry<Stage, Runnable> step : steps.entrySet()) {
            if (step.getKey() == stage) {
                return;
            }
            if (old != 0 || step.getKey() != Stage.STATE && step.getKey() != Stage.SHARE
                    && step.getKey() != Stage.LET_GO) {
                step.getValue().run();
            }
        }
    }

    private void firstServes() {
        happens(new SupervisorEvent.ListenerOpened(List.of("p")));
        upTo(null, 0, 1);
        assertEquals(1, keeper.servingGeneration());
        taken();
    }

    @Test
    void goesThroughItsStages() {
        firstServes();
        happens(new SupervisorEvent.UpgradeRequested(7, List.of()));
        upTo(null, 1, 2);
        assertEquals(2, keeper.servingGeneration());
        List<String> all = taken();
        assertEquals(List.of("start 2", "1 GIVE_STATE", "2 STATE", "2 TAKE", "1 SHARE", "2 SHARING", "2 GO",
                "1 LET_GO"), all.subList(0, 8));
        assertTrue(all.get(8).startsWith("reply 0 generation 2 serves, generation 1 finishes"), all.get(8));
    }

    /** At every stage and in every way: the old one serves on, and the answer names the stage. */
    @Test
    void whateverFailsTheOldOneServesOn() {
        for (Stage stage : Stage.values()) {
            for (String way : List.of("late", "exits", "lost", "fails", "nonsense")) {
                UpgradeTest t = new UpgradeTest();
                t.failAt(stage, way);
            }
        }
    }

    private void failAt(Stage stage, String way) {
        firstServes();
        happens(new SupervisorEvent.UpgradeRequested(7, List.of()));
        upTo(stage, 1, 2);
        taken();
        String at = stage + " " + way;
        switch (way) {
            case "late" -> {
                now += STAGE;
                happens(new SupervisorEvent.Tick());
            }
            case "exits" -> happens(new SupervisorEvent.ProcessEnded(2, "it ended with 3"));
            case "lost" -> happens(new SupervisorEvent.ConnectionLost(2, "its connection broke"));
            case "fails" -> says(2, Frame.newBuilder().setFailed(Failed.newBuilder().setWhy("no")));
            default -> says(2, Frame.newBuilder().setLetGoDone(LetGoDone.getDefaultInstance()));
        }
        List<String> all = taken();
        if (stage == Stage.LET_GO && way.equals("late")) {
            // the new one serves: what is late is the old one
            assertEquals(2, keeper.servingGeneration(), at);
            return;
        }
        assertEquals(1, keeper.servingGeneration(), at);
        assertEquals(0, keeper.upcomingGeneration(), at);
        assertTrue(all.contains("kill 2"), at + all);
        assertEquals(stage.compareTo(Stage.SHARE) >= 0, all.contains("1 TAKE_BACK"), at + all);
        assertTrue(all.stream().anyMatch(l -> l.startsWith("reply 1 upgrade failed at stage " + stage)
                && l.endsWith("generation 1 serves as before")), at + all);
        happens(new SupervisorEvent.ProcessEnded(2, "killed"));
        happens(new SupervisorEvent.UpgradeRequested(8, List.of()));
        upTo(null, 1, 3);
        assertEquals(3, keeper.servingGeneration(), at);
    }

    @Test
    void oneUpgradeAtATimeAndNotTooManyFinishing() {
        firstServes();
        happens(new SupervisorEvent.UpgradeRequested(7, List.of()));
        happens(new SupervisorEvent.UpgradeRequested(8, List.of()));
        assertTrue(taken().contains("reply 1 not now: generation 2 is on its way, at stage start"));
        upTo(null, 1, 2);
        happens(new SupervisorEvent.UpgradeRequested(9, List.of()));
        upTo(Stage.SHARE, 2, 3);
        says(1, Frame.newBuilder().setSharing(Sharing.getDefaultInstance()));
        says(2, Frame.newBuilder().setSharing(Sharing.getDefaultInstance()));
        says(3, Frame.newBuilder().setServing(Serving.getDefaultInstance()));
        says(2, Frame.newBuilder().setLetGoDone(LetGoDone.getDefaultInstance()));
        assertEquals(3, keeper.servingGeneration());
        taken();
        happens(new SupervisorEvent.UpgradeRequested(10, List.of()));
        assertEquals(List.of("reply 1 not now: 2 older generations are still finishing what they have"),
                taken());
    }

    /** The old one is killed outright in the middle: at each stage the new one goes on by itself. */
    @Test
    void theOldOneDiesAtAnyStage() {
        for (Stage stage : Stage.values()) {
            UpgradeTest t = new UpgradeTest();
            t.firstServes();
            t.happens(new SupervisorEvent.UpgradeRequested(7, List.of()));
            t.upTo(stage, 1, 2);
            t.happens(new SupervisorEvent.ConnectionLost(1, "killed"));
            t.happens(new SupervisorEvent.ProcessEnded(1, "killed"));
            for (Stage rest : Stage.values()) {
                if (rest.compareTo(stage) >= 0) {
                    t.upToFrom(rest);
                }
            }
            assertEquals(2, t.keeper.servingGeneration(), stage.toString());
        }
    }

    private void upToFrom(Stage stage) {
        switch (stage) {
            case START -> says(2, Frame.newBuilder().setHello(Hello.getDefaultInstance()));
            case CHECK -> says(2, Frame.newBuilder().setChecked(Checked.getDefaultInstance()));
            case READY -> says(2, Frame.newBuilder().setReady(Ready.getDefaultInstance()));
            case TAKE -> says(2, Frame.newBuilder().setTook(Took.getDefaultInstance()));
            case GO -> says(2, Frame.newBuilder().setServing(Serving.getDefaultInstance()));
            default -> {
                // what the dead one would have said
            }
        }
    }

    @Test
    void aServingOneThatDiesIsReplacedAndAFirstOneThatFailsEndsTheKeeper() {
        firstServes();
        happens(new SupervisorEvent.ProcessEnded(1, "killed"));
        assertEquals(List.of(), taken());
        now = keeper.nextTimerDue();
        happens(new SupervisorEvent.Tick());
        assertEquals(List.of("start 2"), taken());
        SupervisorReducer other = new SupervisorReducer(UpgradeLimits.uniform(STAGE, STAGE, 2));
        other.reduce(new SupervisorEvent.ListenerOpened(List.of("p")), 1);
        assertTrue(other.reduce(new SupervisorEvent.ProcessEnded(1, "it ended with 1"), 2)
                .contains(new SupervisorEffect.ExitSupervisor(1)));
    }

    /**
     * A new one that dies soon after the upgrade: the old one, which still finishes, serves again at once.
     */
    @Test
    void anOldOneThatStillFinishesServesAgain() {
        firstServes();
        happens(new SupervisorEvent.UpgradeRequested(7, List.of("q")));
        upTo(null, 1, 2);
        taken();
        happens(new SupervisorEvent.ConnectionLost(2, "closed"));
        happens(new SupervisorEvent.ProcessEnded(2, "killed"));
        assertEquals(List.of("1 OTHER_GONE", "1 TAKE_BACK", "1 OTHER_GONE"), taken());
        assertEquals(1, keeper.servingGeneration());
    }

    @Test
    void leavingEndsAnUpgradeAndWaitsForAll() {
        firstServes();
        happens(new SupervisorEvent.UpgradeRequested(7, List.of()));
        upTo(Stage.READY, 1, 2);
        happens(new SupervisorEvent.ShutdownRequested());
        List<String> all = taken();
        assertTrue(all.contains("kill 2") && all.contains("1 LEAVE"), all.toString());
        happens(new SupervisorEvent.ProcessEnded(2, "killed"));
        assertEquals(-1, exit);
        happens(new SupervisorEvent.ProcessEnded(1, "it ended with 0"));
        assertEquals(0, exit);
    }
}
