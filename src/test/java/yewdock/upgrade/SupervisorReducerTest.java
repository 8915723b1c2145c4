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

/** The supervisor's decisions in each stage of an upgrade. */
class SupervisorReducerTest {
    private static final long STAGE_MICROS = 1_000_000;
    private final SupervisorReducer reducer =
            new SupervisorReducer(UpgradeLimits.uniform(STAGE_MICROS, 10 * STAGE_MICROS, 2));
    private final List<String> effects = new ArrayList<>();
    private long now = 1;
    private int exit = -1;

    private void dispatch(SupervisorEvent event) {
        for (SupervisorEffect effect : reducer.reduce(event, now)) {
            if (effect instanceof SupervisorEffect.SendFrame e) {
                effects.add(e.generation() + " " + e.frame().getWhatCase());
            } else if (effect instanceof SupervisorEffect.StartProcess e) {
                effects.add("start " + e.generation());
            } else if (effect instanceof SupervisorEffect.KillProcess e) {
                effects.add("kill " + e.generation());
            } else if (effect instanceof SupervisorEffect.Reply e) {
                effects.add("reply " + e.exit() + " " + e.line());
            } else if (effect instanceof SupervisorEffect.ExitSupervisor e) {
                exit = e.exit();
            }
        }
    }

    private void receive(int generation, Frame.Builder frame) {
        dispatch(new SupervisorEvent.FrameReceived(generation, frame.build()));
    }

    private List<String> takeEffects() {
        List<String> all = List.copyOf(effects);
        effects.clear();
        return all;
    }

    /** Advances an upgrade to the start of a stage (null: to its end); old is the serving generation or 0. */
    private void advanceTo(Stage stage, int old, int next) {
        Map<Stage, Runnable> steps = new EnumMap<>(Stage.class);
        steps.put(Stage.START, () -> receive(next, Frame.newBuilder().setHello(Hello.getDefaultInstance())));
        steps.put(Stage.CHECK, () -> receive(next,
                Frame.newBuilder().setChecked(Checked.getDefaultInstance())));
        steps.put(Stage.STATE, () -> receive(old, Frame.newBuilder().setState(State.getDefaultInstance())));
        steps.put(Stage.READY, () -> receive(next, Frame.newBuilder().setReady(Ready.getDefaultInstance())));
        steps.put(Stage.TAKE, () -> receive(next, Frame.newBuilder().setTook(Took.getDefaultInstance())));
        steps.put(Stage.SHARE, () -> receive(old,
                Frame.newBuilder().setSharing(Sharing.getDefaultInstance())));
        steps.put(Stage.GO, () -> receive(next, Frame.newBuilder().setServing(Serving.getDefaultInstance())));
        steps.put(Stage.LET_GO, () -> receive(old, Frame.newBuilder().setLetGoDone(
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

    private void startFirstGeneration() {
        dispatch(new SupervisorEvent.ListenerOpened(List.of("p")));
        advanceTo(null, 0, 1);
        assertEquals(1, reducer.servingGeneration());
        takeEffects();
    }

    @Test
    void upgradePassesAllStages() {
        startFirstGeneration();
        dispatch(new SupervisorEvent.UpgradeRequested(7, List.of()));
        advanceTo(null, 1, 2);
        assertEquals(2, reducer.servingGeneration());
        List<String> all = takeEffects();
        assertEquals(List.of("start 2", "1 GIVE_STATE", "2 STATE", "2 TAKE", "1 SHARE", "2 SHARING", "2 GO",
                "1 LET_GO"), all.subList(0, 8));
        assertTrue(all.get(8).startsWith("reply 0 generation 2 serves, generation 1 finishes"), all.get(8));
    }

    /**
     * Failures of every kind at every stage: the old generation keeps serving, and the answer names the
     * stage.
     */
    @Test
    void oldGenerationKeepsServingWhenTheNewOneFails() {
        for (Stage stage : Stage.values()) {
            for (String way : List.of("late", "exits", "lost", "fails", "nonsense")) {
                SupervisorReducerTest t = new SupervisorReducerTest();
                t.failAt(stage, way);
            }
        }
    }

    private void failAt(Stage stage, String way) {
        startFirstGeneration();
        dispatch(new SupervisorEvent.UpgradeRequested(7, List.of()));
        advanceTo(stage, 1, 2);
        takeEffects();
        String at = stage + " " + way;
        switch (way) {
            case "late" -> {
                now += STAGE_MICROS;
                dispatch(new SupervisorEvent.Tick());
            }
            case "exits" -> dispatch(new SupervisorEvent.ProcessEnded(2, "it ended with 3"));
            case "lost" -> dispatch(new SupervisorEvent.ConnectionLost(2, "its connection broke"));
            case "fails" -> receive(2, Frame.newBuilder().setFailed(Failed.newBuilder().setWhy("no")));
            default -> receive(2, Frame.newBuilder().setLetGoDone(LetGoDone.getDefaultInstance()));
        }
        List<String> all = takeEffects();
        if (stage == Stage.LET_GO && way.equals("late")) {
            // the new generation serves already; the old one is late
            assertEquals(2, reducer.servingGeneration(), at);
            return;
        }
        assertEquals(1, reducer.servingGeneration(), at);
        assertEquals(0, reducer.upcomingGeneration(), at);
        assertTrue(all.contains("kill 2"), at + all);
        assertEquals(stage.compareTo(Stage.SHARE) >= 0, all.contains("1 TAKE_BACK"), at + all);
        assertTrue(all.stream().anyMatch(l -> l.startsWith("reply 1 upgrade failed at stage " + stage)
                && l.endsWith("generation 1 serves as before")), at + all);
        dispatch(new SupervisorEvent.ProcessEnded(2, "killed"));
        dispatch(new SupervisorEvent.UpgradeRequested(8, List.of()));
        advanceTo(null, 1, 3);
        assertEquals(3, reducer.servingGeneration(), at);
    }

    @Test
    void concurrentUpgradesAndTooManyFinishingAreRefused() {
        startFirstGeneration();
        dispatch(new SupervisorEvent.UpgradeRequested(7, List.of()));
        dispatch(new SupervisorEvent.UpgradeRequested(8, List.of()));
        assertTrue(takeEffects().contains("reply 1 not now: generation 2 is on its way, at stage start"));
        advanceTo(null, 1, 2);
        dispatch(new SupervisorEvent.UpgradeRequested(9, List.of()));
        advanceTo(Stage.SHARE, 2, 3);
        receive(1, Frame.newBuilder().setSharing(Sharing.getDefaultInstance()));
        receive(2, Frame.newBuilder().setSharing(Sharing.getDefaultInstance()));
        receive(3, Frame.newBuilder().setServing(Serving.getDefaultInstance()));
        receive(2, Frame.newBuilder().setLetGoDone(LetGoDone.getDefaultInstance()));
        assertEquals(3, reducer.servingGeneration());
        takeEffects();
        dispatch(new SupervisorEvent.UpgradeRequested(10, List.of()));
        assertEquals(List.of("reply 1 not now: 2 older generations are still finishing their requests"),
                takeEffects());
    }

    /** The old generation is killed during an upgrade: at each stage the new one continues without it. */
    @Test
    void upgradeContinuesWhenTheOldGenerationDies() {
        for (Stage stage : Stage.values()) {
            SupervisorReducerTest t = new SupervisorReducerTest();
            t.startFirstGeneration();
            t.dispatch(new SupervisorEvent.UpgradeRequested(7, List.of()));
            t.advanceTo(stage, 1, 2);
            t.dispatch(new SupervisorEvent.ConnectionLost(1, "killed"));
            t.dispatch(new SupervisorEvent.ProcessEnded(1, "killed"));
            for (Stage rest : Stage.values()) {
                if (rest.compareTo(stage) >= 0) {
                    t.runNewGenerationStep(rest);
                }
            }
            assertEquals(2, t.reducer.servingGeneration(), stage.toString());
        }
    }

    private void runNewGenerationStep(Stage stage) {
        switch (stage) {
            case START -> receive(2, Frame.newBuilder().setHello(Hello.getDefaultInstance()));
            case CHECK -> receive(2, Frame.newBuilder().setChecked(Checked.getDefaultInstance()));
            case READY -> receive(2, Frame.newBuilder().setReady(Ready.getDefaultInstance()));
            case TAKE -> receive(2, Frame.newBuilder().setTook(Took.getDefaultInstance()));
            case GO -> receive(2, Frame.newBuilder().setServing(Serving.getDefaultInstance()));
            default -> {
                // frames that the dead generation would have sent
            }
        }
    }

    @Test
    void dyingServingGenerationIsReplacedAndFailingFirstOneEndsTheSupervisor() {
        startFirstGeneration();
        dispatch(new SupervisorEvent.ProcessEnded(1, "killed"));
        assertEquals(List.of(), takeEffects());
        now = reducer.nextTimerDue();
        dispatch(new SupervisorEvent.Tick());
        assertEquals(List.of("start 2"), takeEffects());
        SupervisorReducer other = new SupervisorReducer(UpgradeLimits.uniform(STAGE_MICROS, STAGE_MICROS, 2));
        other.reduce(new SupervisorEvent.ListenerOpened(List.of("p")), 1);
        assertTrue(other.reduce(new SupervisorEvent.ProcessEnded(1, "it ended with 1"), 2)
                .contains(new SupervisorEffect.ExitSupervisor(1)));
    }

    /** The new generation dies soon after the upgrade: the old one, still finishing, serves again at once. */
    @Test
    void finishingGenerationServesAgain() {
        startFirstGeneration();
        dispatch(new SupervisorEvent.UpgradeRequested(7, List.of("q")));
        advanceTo(null, 1, 2);
        takeEffects();
        dispatch(new SupervisorEvent.ConnectionLost(2, "closed"));
        dispatch(new SupervisorEvent.ProcessEnded(2, "killed"));
        assertEquals(List.of("1 OTHER_GONE", "1 TAKE_BACK", "1 OTHER_GONE"), takeEffects());
        assertEquals(1, reducer.servingGeneration());
    }

    @Test
    void shutdownAbortsAnUpgradeAndWaitsForAllGenerations() {
        startFirstGeneration();
        dispatch(new SupervisorEvent.UpgradeRequested(7, List.of()));
        advanceTo(Stage.READY, 1, 2);
        dispatch(new SupervisorEvent.ShutdownRequested());
        List<String> all = takeEffects();
        assertTrue(all.contains("kill 2") && all.contains("1 LEAVE"), all.toString());
        dispatch(new SupervisorEvent.ProcessEnded(2, "killed"));
        assertEquals(-1, exit);
        dispatch(new SupervisorEvent.ProcessEnded(1, "it ended with 0"));
        assertEquals(0, exit);
    }
}
