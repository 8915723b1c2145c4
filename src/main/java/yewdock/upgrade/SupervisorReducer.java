package yewdock.upgrade;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import yewdock.logging.LogFields;
import yewdock.wire.Boxes;
import yewdock.wire.Frame;
import yewdock.wire.GiveState;
import yewdock.wire.Go;
import yewdock.wire.Leave;
import yewdock.wire.LetGo;
import yewdock.wire.News;
import yewdock.wire.OtherGone;
import yewdock.wire.Reconfigure;
import yewdock.wire.Share;
import yewdock.wire.Sharing;
import yewdock.wire.State;
import yewdock.wire.Take;
import yewdock.wire.TakeBack;

/**
 * Makes the supervisor's decisions: which generation serves, the progress of an upgrade, and the rollback
 * from each of its stages. A pure reducer: events in, effects out, no I/O and no clock of its own.
 *
 * <p>At all times at least one generation has the listener and has not been told to stop accepting, unless
 * its process has died. A new generation that fails at any stage is killed, and the old one is told to take
 * back what it had handed over.
 */
public final class SupervisorReducer {
    /** Restart backoff of a serving process that died, in microseconds; doubles with each death in a row. */
    static final long RESTART_BACKOFF_MICROS = 100_000;
    static final int MAX_BACKOFF_DOUBLINGS = 6;
    /** After serving this many microseconds, a generation's death counts as the first in a row. */
    static final long STABLE_AFTER_MICROS = 10_000_000;
    /** An old generation ends itself at its limit; it is killed this many microseconds later. */
    static final long FINISH_SLACK_MICROS = 5_000_000;
    private static final double MICROS_PER_MILLI = 1000.0;

    private final UpgradeLimits limits;
    private final Map<Integer, SupervisedGeneration> generations = new TreeMap<>();
    private List<SupervisorEffect> effects = new ArrayList<>();
    private long nowMicros;
    private int lastNumber;
    private SupervisedGeneration servingGeneration;
    private SupervisedGeneration upcoming;
    private Stage stage;
    private long stageStartedAt;
    private long upgradeStartedAt;
    private long upgradeCommand;
    private final Map<Stage, Long> stageDurations = new EnumMap<>(Stage.class);
    /** Older generations that have yet to report their open requests, and those that have. */
    private final Set<Integer> awaitingShare = new HashSet<>();
    private final Set<Integer> shared = new HashSet<>();
    private List<String> program = List.of();
    private int deaths;
    private long restartAt = Long.MAX_VALUE;
    private boolean everServed;
    private boolean shuttingDown;
    private boolean stopped;
    private long upgrades;
    private long failures;
    private String lastFailure = "";

    /** The state of a generation's process; killAt and the other times are in microseconds. */
    private static final class SupervisedGeneration {
        private final int number;
        private final List<String> program;
        private final long startedAt;
        private boolean connected;
        private boolean failed;
        private long servesSince;
        private long killAt = Long.MAX_VALUE;

        SupervisedGeneration(int number, List<String> program, long startedAt) {
            this.number = number;
            this.program = program;
            this.startedAt = startedAt;
        }
    }

    /** Creates a reducer without any generation. */
    public SupervisorReducer(UpgradeLimits limits) {
        this.limits = limits;
    }

    /** Applies one event at this time in microseconds; returns the effects to execute, in order. */
    public List<SupervisorEffect> reduce(SupervisorEvent event, long timeMicros) {
        nowMicros = Math.max(nowMicros, timeMicros);
        effects = new ArrayList<>();
        handle(event);
        if (shuttingDown && !stopped && generations.isEmpty()) {
            stop(0);
        }
        return effects;
    }

    /** When the next {@link SupervisorEvent.Tick} is due, in microseconds; Long.MAX_VALUE if none is. */
    public long nextTimerDue() {
        long due = upcoming == null ? restartAt : stageStartedAt + limits.stageTimeoutMicros().get(stage);
        for (SupervisedGeneration g : generations.values()) {
            due = Math.min(due, g.killAt);
        }
        return due;
    }

    /** The number of the serving generation, or 0. */
    public int servingGeneration() {
        return servingGeneration == null ? 0 : servingGeneration.number;
    }

    /** The number of the generation that is being started, or 0. */
    public int upcomingGeneration() {
        return upcoming == null ? 0 : upcoming.number;
    }

    private void handle(SupervisorEvent event) {
        if (event instanceof SupervisorEvent.FrameReceived e) {
            frameReceived(e.generation(), e.frame());
        } else if (event instanceof SupervisorEvent.ListenerOpened e) {
            program = List.copyOf(e.program());
            startGeneration(program, 0);
        } else if (event instanceof SupervisorEvent.UpgradeRequested e) {
            upgradeRequested(e);
        } else if (event instanceof SupervisorEvent.StatusRequested e) {
            replyStatus(e.command());
        } else if (event instanceof SupervisorEvent.ConnectionLost e) {
            connectionLost(e);
        } else if (event instanceof SupervisorEvent.ProcessEnded e) {
            processEnded(e.generation(), e.reason());
        } else if (event instanceof SupervisorEvent.ReloadRequested) {
            generations.values().stream().filter(g -> g.connected).forEach(g -> send(g,
                    Frame.newBuilder().setReconfigure(Reconfigure.getDefaultInstance())));
        } else if (event instanceof SupervisorEvent.ShutdownRequested) {
            shutDown();
        } else if (event instanceof SupervisorEvent.Tick) {
            tick();
        }
    }

    // ---- an upgrade, stage by stage

    private void upgradeRequested(SupervisorEvent.UpgradeRequested e) {
        String refusal = null;
        if (shuttingDown) {
            refusal = "the router is shutting down";
        } else if (upcoming != null) {
            refusal = "generation " + upcoming.number + " is on its way, at stage " + stage;
        } else if (servingGeneration == null) {
            refusal = "no generation serves yet: one is being started";
        } else if (countFinishing() >= limits.maxFinishing()) {
            refusal = countFinishing() + " older generations are still finishing their requests";
        }
        if (refusal != null) {
            effects.add(new SupervisorEffect.Reply(e.command(), "not now: " + refusal, true, 1));
            return;
        }
        startGeneration(e.program().isEmpty() ? program : List.copyOf(e.program()), e.command());
    }

    private long countFinishing() {
        return generations.values().stream().filter(g -> g != servingGeneration && !g.failed).count();
    }

    private void startGeneration(List<String> newProgram, long commandId) {
        upcoming = new SupervisedGeneration(++lastNumber, newProgram, nowMicros);
        generations.put(lastNumber, upcoming);
        upgradeCommand = commandId;
        restartAt = Long.MAX_VALUE;
        stageDurations.clear();
        awaitingShare.clear();
        shared.clear();
        upgradeStartedAt = nowMicros;
        stage = Stage.START;
        stageStartedAt = nowMicros;
        log("generation.start", "generation", lastNumber, "program", String.join(" ", newProgram));
        effects.add(new SupervisorEffect.StartProcess(lastNumber, newProgram));
    }

    private void enterStage(Stage newStage) {
        stageDurations.put(stage, nowMicros - stageStartedAt);
        stage = newStage;
        stageStartedAt = nowMicros;
        log("upgrade.stage", "generation", upcoming.number, "stage", newStage);
    }

    private void frameReceived(int number, Frame frame) {
        SupervisedGeneration generation = generations.get(number);
        if (generation == null) {
            return;
        }
        if (frame.hasNews()) {
            forwardMessage(generation, frame.getNews());
        } else if (frame.hasSay()) {
            log("generation.says", "generation", number, "line", frame.getSay().getLine());
        } else if (generation == upcoming) {
            handleUpcomingFrame(frame);
        } else if (frame.hasState() && generation == servingGeneration && stage == Stage.STATE
                && upcoming != null) {
            send(upcoming, Frame.newBuilder().setState(frame.getState()));
            enterStage(Stage.READY);
        } else if (frame.hasSharing()) {
            forwardShared(generation, frame.getSharing());
        } else if (frame.hasLetGoDone() && generation == servingGeneration && upcoming != null
                && stage == Stage.LET_GO) {
            completeUpgrade("");
        }
    }

    private void handleUpcomingFrame(Frame frame) {
        if (frame.hasFailed()) {
            failUpgrade(frame.getFailed().getWhy());
        } else if (frame.hasHello() && stage == Stage.START) {
            upcoming.connected = true;
            enterStage(Stage.CHECK);
        } else if (frame.hasChecked() && stage == Stage.CHECK) {
            if (servingGeneration != null) {
                enterStage(Stage.STATE);
                send(servingGeneration, Frame.newBuilder().setGiveState(GiveState.getDefaultInstance()));
            } else {
                startWithoutState();
            }
        } else if (frame.hasReady() && stage == Stage.READY) {
            if (!frame.getReady().getNote().isEmpty()) {
                log("upgrade.ready", "generation", upcoming.number, "line", frame.getReady().getNote());
            }
            enterStage(Stage.TAKE);
            send(upcoming, Frame.newBuilder().setTake(Take.getDefaultInstance()));
        } else if (frame.hasTook() && stage == Stage.TAKE) {
            askToShare();
        } else if (frame.hasServing() && stage == Stage.GO) {
            upcomingServes();
        } else {
            failUpgrade("unexpected frame " + frame.getWhatCase().name().toLowerCase(Locale.ROOT)
                    + " at this stage");
        }
    }

    private void startWithoutState() {
        send(upcoming, Frame.newBuilder().setState(State.getDefaultInstance()));
        enterStage(Stage.READY);
    }

    private void askToShare() {
        enterStage(Stage.SHARE);
        for (SupervisedGeneration g : generations.values()) {
            if (g != upcoming && g.connected) {
                awaitingShare.add(g.number);
                send(g, Frame.newBuilder().setShare(Share.getDefaultInstance()));
            }
        }
        goIfAllShared();
    }

    /** Forwards a generation's open requests to the next owner of the ids; its later news go there, too. */
    private void forwardShared(SupervisedGeneration generation, Sharing sharing) {
        Frame.Builder numbered = Frame.newBuilder().setSharing(
                sharing.toBuilder().setGeneration(generation.number));
        if (upcoming != null && awaitingShare.remove(generation.number)) {
            shared.add(generation.number);
            send(upcoming, numbered);
            goIfAllShared();
        } else if (servingGeneration != null && generation != servingGeneration) {
            send(servingGeneration, numbered);
        }
    }

    private void goIfAllShared() {
        if (stage == Stage.SHARE && awaitingShare.isEmpty()) {
            enterStage(Stage.GO);
            send(upcoming, Frame.newBuilder().setGo(Go.getDefaultInstance()));
        }
    }

    private void upcomingServes() {
        enterStage(Stage.LET_GO);
        upcoming.servesSince = nowMicros;
        if (servingGeneration == null) {
            completeUpgrade("");
        } else {
            send(servingGeneration, Frame.newBuilder().setLetGo(
                    LetGo.newBuilder().setLimitMicros(limits.finishTimeoutMicros())));
        }
    }

    private void completeUpgrade(String remark) {
        stageDurations.put(stage, nowMicros - stageStartedAt);
        SupervisedGeneration old = servingGeneration;
        if (old != null) {
            old.killAt = nowMicros + limits.finishTimeoutMicros() + FINISH_SLACK_MICROS;
        }
        servingGeneration = upcoming;
        program = servingGeneration.program;
        upcoming = null;
        everServed = true;
        StringBuilder stages = new StringBuilder();
        stageDurations.forEach((s, t) -> stages.append(stages.length() == 0 ? "" : ", ").append(s)
                .append(String.format(Locale.ROOT, " %.1f", t / MICROS_PER_MILLI)));
        if (old != null || upgradeCommand != 0) {
            upgrades++;
        }
        log("upgrade.done", "generation", servingGeneration.number, "before", old == null ? 0 : old.number,
                "took_ms", (nowMicros - upgradeStartedAt) / 1000, "stages_ms", stages);
        reply("generation " + servingGeneration.number + " serves"
                + (old == null ? "" : ", generation " + old.number + " finishes its requests") + "; ms: "
                + stages + remark, 0);
    }

    /** Gives the new generation up and rolls the upgrade back. */
    private void failUpgrade(String reason) {
        SupervisedGeneration failed = upcoming;
        Stage failedAt = stage;
        upcoming = null;
        failed.connected = false;
        failed.failed = true;
        failures++;
        lastFailure = "generation " + failed.number + " at stage " + failedAt + ": " + reason;
        log("upgrade.failed", "generation", failed.number, "stage", failedAt, "why", reason);
        effects.add(new SupervisorEffect.KillProcess(failed.number));
        if (servingGeneration != null) {
            if (failedAt.compareTo(Stage.SHARE) >= 0) {
                restoreOwnership(failed.number);
            }
        } else if (shuttingDown) {
            // nothing to roll back to, and no restart during shutdown
            restartAt = Long.MAX_VALUE;
        } else if (everServed) {
            scheduleRestart();
        } else {
            stop(1);
        }
        reply("upgrade failed at stage " + failedAt + ": " + reason
                + (servingGeneration == null ? "" : "; generation " + servingGeneration.number
                        + " serves as before"), 1);
    }

    private void restoreOwnership(int failed) {
        send(servingGeneration, Frame.newBuilder().setTakeBack(TakeBack.getDefaultInstance()));
        send(servingGeneration, Frame.newBuilder().setOtherGone(
                OtherGone.newBuilder().setGeneration(failed)));
        for (SupervisedGeneration g : generations.values()) {
            // the owner lacks what these have reported to the failed generation: they report everything again
            if (g != servingGeneration && g.number != failed && g.connected) {
                send(g, Frame.newBuilder().setShare(Share.getDefaultInstance()));
            }
        }
    }

    // ---- messages between generations

    private void forwardMessage(SupervisedGeneration from, News news) {
        News numbered = news.toBuilder().setGeneration(from.number).build();
        Frame.Builder frame = Frame.newBuilder().setNews(numbered);
        switch (news.getWhatCase()) {
            case GRANTED, DENIED -> {
                SupervisedGeneration to = generations.get(news.getOf());
                if (to != null) {
                    send(to, frame);
                }
            }
            case BOXES -> sendToOthers(from, frame, numbered.getBoxes());
            default -> {
                SupervisedGeneration owner = ownerFor(from);
                if (owner != null && owner != from) {
                    send(owner, frame);
                }
            }
        }
    }

    private void sendToOthers(SupervisedGeneration from, Frame.Builder frame, Boxes endpointList) {
        for (SupervisedGeneration g : generations.values()) {
            boolean knowsNothingYet = g == upcoming && stage.compareTo(Stage.READY) < 0;
            if (g != from && g.connected && !knowsNothingYet && endpointList.getBoxesCount() > 0) {
                send(g, frame);
            }
        }
    }

    /** The generation that owns the request ids, as seen by this one. */
    private SupervisedGeneration ownerFor(SupervisedGeneration from) {
        if (upcoming != null && (shared.contains(from.number) || stage == Stage.LET_GO)) {
            return upcoming;
        }
        return servingGeneration;
    }

    // ---- lost connections and exited processes

    private void connectionLost(SupervisorEvent.ConnectionLost e) {
        SupervisedGeneration generation = generations.get(e.generation());
        if (generation == null) {
            return;
        }
        generation.connected = false;
        if (generation == upcoming) {
            failUpgrade(e.reason());
        } else {
            log("generation.lost", "generation", generation.number, "why", e.reason());
            if (upcoming != null && awaitingShare.remove(generation.number)) {
                goIfAllShared();
            }
        }
    }

    private void processEnded(int number, String reason) {
        SupervisedGeneration generation = generations.get(number);
        if (generation == null) {
            return;
        }
        log("generation.ended", "generation", number, "how", reason);
        if (generation == upcoming) {
            // failUpgrade() refers to the generation by its number, so it is removed only afterwards
            failUpgrade(reason);
            generations.remove(number);
            return;
        }
        generations.remove(number);
        announceGone(number);
        if (generation == servingGeneration) {
            servingGenerationDied();
        } else if (upcoming != null && awaitingShare.remove(number)) {
            goIfAllShared();
        }
    }

    private void announceGone(int number) {
        for (SupervisedGeneration other : generations.values()) {
            if (other.connected) {
                send(other, Frame.newBuilder().setOtherGone(
                        OtherGone.newBuilder().setGeneration(number)));
            }
        }
    }

    /** The serving process died: an upgrade in progress goes on without it, otherwise another one serves. */
    private void servingGenerationDied() {
        long servedFor = nowMicros - servingGeneration.servesSince;
        int number = servingGeneration.number;
        servingGeneration = null;
        deaths = servedFor >= STABLE_AFTER_MICROS ? 0 : deaths;
        if (upcoming == null) {
            if (!shuttingDown && !fallBack(number)) {
                scheduleRestart();
            }
        } else if (stage == Stage.STATE) {
            startWithoutState();
        } else if (stage == Stage.SHARE && awaitingShare.remove(number)) {
            goIfAllShared();
        } else if (stage == Stage.LET_GO) {
            completeUpgrade("; generation " + number + " exited before it stopped accepting");
        }
    }

    /**
     * Lets the newest generation that is still finishing serve again: it needs no start, and is known to
     * work. Returns false if there is none.
     */
    private boolean fallBack(int deadNumber) {
        for (SupervisedGeneration g : generations.values()) {
            if (g.connected && (servingGeneration == null || g.number > servingGeneration.number)) {
                servingGeneration = g;
            }
        }
        if (servingGeneration == null) {
            return false;
        }
        servingGeneration.killAt = Long.MAX_VALUE;
        servingGeneration.servesSince = nowMicros;
        program = servingGeneration.program;
        log("generation.fall_back", "generation", servingGeneration.number, "dead", deadNumber);
        restoreOwnership(deadNumber);
        return true;
    }

    private void scheduleRestart() {
        restartAt = nowMicros + (RESTART_BACKOFF_MICROS << Math.min(deaths++, MAX_BACKOFF_DOUBLINGS));
        log("generation.restart", "after_ms", (restartAt - nowMicros) / 1000);
    }

    private void tick() {
        if (upcoming != null && nowMicros >= stageStartedAt + limits.stageTimeoutMicros().get(stage)) {
            if (stage == Stage.LET_GO) {
                // the new generation serves; the old one hangs and will be killed at its limit
                completeUpgrade("; generation " + servingGeneration.number
                        + " did not confirm that it stopped accepting");
            } else {
                failUpgrade("timed out after " + limits.stageTimeoutMicros().get(stage) / 1000 + " ms");
            }
        }
        if (nowMicros >= restartAt) {
            startGeneration(program, 0);
        }
        for (SupervisedGeneration g : List.copyOf(generations.values())) {
            if (nowMicros >= g.killAt) {
                g.killAt = Long.MAX_VALUE;
                log("generation.killed", "generation", g.number, "why", "over its limit");
                effects.add(new SupervisorEffect.KillProcess(g.number));
            }
        }
    }

    private void shutDown() {
        if (shuttingDown) {
            return;
        }
        shuttingDown = true;
        restartAt = Long.MAX_VALUE;
        log("keeper.leaves", "generations", generations.size());
        if (upcoming != null && stage != Stage.LET_GO) {
            failUpgrade("the router was told to leave");
        }
        for (SupervisedGeneration g : generations.values()) {
            g.killAt = Math.min(g.killAt, nowMicros + limits.finishTimeoutMicros() + FINISH_SLACK_MICROS);
            send(g, Frame.newBuilder().setLeave(Leave.getDefaultInstance()));
        }
    }

    private void stop(int exit) {
        if (!stopped) {
            stopped = true;
            effects.add(new SupervisorEffect.ExitSupervisor(exit));
        }
    }

    // ---- answers and logging

    private void replyStatus(long commandId) {
        for (SupervisedGeneration g : generations.values()) {
            String role = g == servingGeneration ? "serves" : g == upcoming ? "starts, at stage " + stage
                    : g.failed ? "failed and is being killed" : "finishes";
            effects.add(new SupervisorEffect.Reply(commandId, String.format(Locale.ROOT,
                    "generation %d %s, started %.1f s ago", g.number, role, (nowMicros - g.startedAt) / 1e6),
                    false, 0));
        }
        effects.add(new SupervisorEffect.Reply(commandId, "upgrades done " + upgrades + ", failed " + failures
                + (lastFailure.isEmpty() ? "" : "; last failure: " + lastFailure), true,
                servingGeneration == null ? 1 : 0));
    }

    private void reply(String line, int exit) {
        if (upgradeCommand != 0) {
            effects.add(new SupervisorEffect.Reply(upgradeCommand, line, true, exit));
            upgradeCommand = 0;
        }
    }

    private void send(SupervisedGeneration generation, Frame.Builder frame) {
        effects.add(new SupervisorEffect.SendFrame(generation.number, frame.build()));
    }

    private void log(String event, Object... fields) {
        effects.add(new SupervisorEffect.WriteLog(event, LogFields.of(fields)));
    }
}
