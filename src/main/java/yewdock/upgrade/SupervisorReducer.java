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
 * Everything that the keeper decides: which generation serves, how far an upgrade has come, and the way back
 * from each of its stages. A pure reducer: events in, effects out, no I/O and no clock of its own.
 *
 * <p>At every moment one generation at least has the listener and has not been told to let it go, unless its
 * process has died. A new generation that fails in any way at any stage is killed, and the old one told to
 * take back what it had given.
 */
public final class SupervisorReducer {
    /** A serving process that died is replaced after so long, doubled with each death in a row. */
    static final long RESTART_AFTER = 100_000;
    static final int MOST_DOUBLINGS = 6;
    /** One that has served so long has started well: the next death counts as the first in a row. */
    static final long SERVED_WELL = 10_000_000;
    /** An old generation ends itself at its limit; so much later it is killed. */
    static final long FINISH_SLACK = 5_000_000;
    private static final double MICROS_A_MILLI = 1000.0;

    private final UpgradeLimits limits;
    private final Map<Integer, SupervisedGeneration> generations = new TreeMap<>();
    private List<SupervisorEffect> effects = new ArrayList<>();
    private long now;
    private int last;
    private SupervisedGeneration servingGeneration;
    private SupervisedGeneration next;
    private Stage stage;
    private long stageBegan;
    private long upgradeBegan;
    private long command;
    private final Map<Stage, Long> took = new EnumMap<>(Stage.class);
    /** Older generations that have yet to tell what they hold, and those that have. */
    private final Set<Integer> awaited = new HashSet<>();
    private final Set<Integer> shared = new HashSet<>();
    private List<String> program = List.of();
    private int deaths;
    private long restartAt = Long.MAX_VALUE;
    private boolean everServed;
    private boolean leaving;
    private boolean stopped;
    private long upgrades;
    private long failures;
    private String lastFailure = "";

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

    public SupervisorReducer(UpgradeLimits limits) {
        this.limits = limits;
    }

    /** Takes one event and tells what to do about it. */
    public List<SupervisorEffect> reduce(SupervisorEvent event, long time) {
        now = Math.max(now, time);
        effects = new ArrayList<>();
        take(event);
        if (leaving && !stopped && generations.isEmpty()) {
            stop(0);
        }
        return effects;
    }

    /** When the next {@link SupervisorEvent.Tick} is due. */
    public long nextTimerDue() {
        long due = next == null ? restartAt : stageBegan + limits.stageTimeoutMicros().get(stage);
        for (SupervisedGeneration g : generations.values()) {
            due = Math.min(due, g.killAt);
        }
        return due;
    }

    /** The generation that serves, or 0. */
    public int servingGeneration() {
        return servingGeneration == null ? 0 : servingGeneration.number;
    }

    /** The generation that an upgrade is bringing up, or 0. */
    public int upcomingGeneration() {
        return next == null ? 0 : next.number;
    }

    private void take(SupervisorEvent event) {
        if (event instanceof SupervisorEvent.FrameReceived e) {
            heard(e.generation(), e.frame());
        } else if (event instanceof SupervisorEvent.ListenerOpened e) {
            program = List.copyOf(e.program());
            begin(program, 0);
        } else if (event instanceof SupervisorEvent.UpgradeRequested e) {
            asked(e);
        } else if (event instanceof SupervisorEvent.StatusRequested e) {
            status(e.command());
        } else if (event instanceof SupervisorEvent.ConnectionLost e) {
            lost(e);
        } else if (event instanceof SupervisorEvent.ProcessEnded e) {
            ended(e.generation(), e.reason());
        } else if (event instanceof SupervisorEvent.ReloadRequested) {
            generations.values().stream().filter(g -> g.connected).forEach(g -> tell(g,
                    Frame.newBuilder().setReconfigure(Reconfigure.getDefaultInstance())));
        } else if (event instanceof SupervisorEvent.ShutdownRequested) {
            leave();
        } else if (event instanceof SupervisorEvent.Tick) {
            tick();
        }
    }

    // ---- an upgrade, stage by stage

    private void asked(SupervisorEvent.UpgradeRequested e) {
        String refusal = null;
        if (leaving) {
            refusal = "the router is leaving";
        } else if (next != null) {
            refusal = "generation " + next.number + " is on its way, at stage " + stage;
        } else if (servingGeneration == null) {
            refusal = "no generation serves: one is being started";
        } else if (finishing() >= limits.maxFinishing()) {
            refusal = finishing() + " older generations are still finishing what they have";
        }
        if (refusal != null) {
            effects.add(new SupervisorEffect.Reply(e.command(), "not now: " + refusal, true, 1));
            return;
        }
        begin(e.program().isEmpty() ? program : List.copyOf(e.program()), e.command());
    }

    private long finishing() {
        return generations.values().stream().filter(g -> g != servingGeneration && !g.failed).count();
    }

    private void begin(List<String> what, long asker) {
        next = new SupervisedGeneration(++last, what, now);
        generations.put(last, next);
        command = asker;
        restartAt = Long.MAX_VALUE;
        took.clear();
        awaited.clear();
        shared.clear();
        upgradeBegan = now;
        stage = Stage.START;
        stageBegan = now;
        note("generation.start", "generation", last, "program", String.join(" ", what));
        effects.add(new SupervisorEffect.StartProcess(last, what));
    }

    private void enter(Stage s) {
        took.put(stage, now - stageBegan);
        stage = s;
        stageBegan = now;
        note("upgrade.stage", "generation", next.number, "stage", s);
    }

    private void heard(int number, Frame frame) {
        SupervisedGeneration g = generations.get(number);
        if (g == null) {
            return;
        }
        if (frame.hasNews()) {
            news(g, frame.getNews());
        } else if (frame.hasSay()) {
            note("generation.says", "generation", number, "line", frame.getSay().getLine());
        } else if (g == next) {
            ofNext(frame);
        } else if (frame.hasState() && g == servingGeneration && stage == Stage.STATE && next != null) {
            tell(next, Frame.newBuilder().setState(frame.getState()));
            enter(Stage.READY);
        } else if (frame.hasSharing()) {
            sharing(g, frame.getSharing());
        } else if (frame.hasLetGoDone() && g == servingGeneration && next != null && stage == Stage.LET_GO) {
            arrived("");
        }
    }

    private void ofNext(Frame frame) {
        if (frame.hasFailed()) {
            fail(frame.getFailed().getWhy());
        } else if (frame.hasHello() && stage == Stage.START) {
            next.connected = true;
            enter(Stage.CHECK);
        } else if (frame.hasChecked() && stage == Stage.CHECK) {
            if (servingGeneration != null) {
                enter(Stage.STATE);
                tell(servingGeneration, Frame.newBuilder().setGiveState(GiveState.getDefaultInstance()));
            } else {
                withoutState();
            }
        } else if (frame.hasReady() && stage == Stage.READY) {
            if (!frame.getReady().getNote().isEmpty()) {
                note("upgrade.ready", "generation", next.number, "line", frame.getReady().getNote());
            }
            enter(Stage.TAKE);
            tell(next, Frame.newBuilder().setTake(Take.getDefaultInstance()));
        } else if (frame.hasTook() && stage == Stage.TAKE) {
            askToShare();
        } else if (frame.hasServing() && stage == Stage.GO) {
            serves();
        } else {
            fail("it said " + frame.getWhatCase().name().toLowerCase(Locale.ROOT) + ", which nobody asked");
        }
    }

    private void withoutState() {
        tell(next, Frame.newBuilder().setState(State.getDefaultInstance()));
        enter(Stage.READY);
    }

    private void askToShare() {
        enter(Stage.SHARE);
        for (SupervisedGeneration g : generations.values()) {
            if (g != next && g.connected) {
                awaited.add(g.number);
                tell(g, Frame.newBuilder().setShare(Share.getDefaultInstance()));
            }
        }
        goIfAllShared();
    }

    /** What a generation holds goes to the one that owns the ids next, and all it says after that, too. */
    private void sharing(SupervisedGeneration g, Sharing held) {
        Frame.Builder named = Frame.newBuilder().setSharing(held.toBuilder().setGeneration(g.number));
        if (next != null && awaited.remove(g.number)) {
            shared.add(g.number);
            tell(next, named);
            goIfAllShared();
        } else if (servingGeneration != null && g != servingGeneration) {
            tell(servingGeneration, named);
        }
    }

    private void goIfAllShared() {
        if (stage == Stage.SHARE && awaited.isEmpty()) {
            enter(Stage.GO);
            tell(next, Frame.newBuilder().setGo(Go.getDefaultInstance()));
        }
    }

    private void serves() {
        enter(Stage.LET_GO);
        next.servesSince = now;
        if (servingGeneration == null) {
            arrived("");
        } else {
            tell(servingGeneration, Frame.newBuilder().setLetGo(
                    LetGo.newBuilder().setLimitMicros(limits.finishTimeoutMicros())));
        }
    }

    private void arrived(String remark) {
        took.put(stage, now - stageBegan);
        SupervisedGeneration old = servingGeneration;
        if (old != null) {
            old.killAt = now + limits.finishTimeoutMicros() + FINISH_SLACK;
        }
        servingGeneration = next;
        program = servingGeneration.program;
        next = null;
        everServed = true;
        StringBuilder stages = new StringBuilder();
        took.forEach((s, t) -> stages.append(stages.length() == 0 ? "" : ", ").append(s)
                .append(String.format(Locale.ROOT, " %.1f", t / MICROS_A_MILLI)));
        if (old != null || command != 0) {
            upgrades++;
        }
        note("upgrade.done", "generation", servingGeneration.number, "before", old == null ? 0 : old.number,
                "took_ms", (now - upgradeBegan) / 1000, "stages_ms", stages);
        reply("generation " + servingGeneration.number + " serves"
                + (old == null ? "" : ", generation " + old.number + " finishes what it has") + "; ms: "
                + stages + remark, 0);
    }

    /** The new generation is given up, and everything is again as it was before. */
    private void fail(String why) {
        SupervisedGeneration failed = next;
        Stage at = stage;
        next = null;
        failed.connected = false;
        failed.failed = true;
        failures++;
        lastFailure = "generation " + failed.number + " at stage " + at + ": " + why;
        note("upgrade.failed", "generation", failed.number, "stage", at, "why", why);
        effects.add(new SupervisorEffect.KillProcess(failed.number));
        if (servingGeneration != null) {
            if (at.compareTo(Stage.SHARE) >= 0) {
                takeBack(failed.number);
            }
        } else if (leaving) {
            // nothing to go back to, and nothing is wanted
            restartAt = Long.MAX_VALUE;
        } else if (everServed) {
            restart();
        } else {
            stop(1);
        }
        reply("upgrade failed at stage " + at + ": " + why
                + (servingGeneration == null ? "" : "; generation " + servingGeneration.number
                        + " serves as before"), 1);
    }

    private void takeBack(int failed) {
        tell(servingGeneration, Frame.newBuilder().setTakeBack(TakeBack.getDefaultInstance()));
        tell(servingGeneration, Frame.newBuilder().setOtherGone(
                OtherGone.newBuilder().setGeneration(failed)));
        for (SupervisedGeneration g : generations.values()) {
            // what these have told the failed one since, the one that owns the ids again doesn't know
            if (g != servingGeneration && g.number != failed && g.connected) {
                tell(g, Frame.newBuilder().setShare(Share.getDefaultInstance()));
            }
        }
    }

    // ---- what generations tell each other

    private void news(SupervisedGeneration from, News told) {
        News named = told.toBuilder().setGeneration(from.number).build();
        Frame.Builder frame = Frame.newBuilder().setNews(named);
        switch (told.getWhatCase()) {
            case GRANTED, DENIED -> {
                SupervisedGeneration to = generations.get(told.getOf());
                if (to != null) {
                    tell(to, frame);
                }
            }
            case BOXES -> toAllBut(from, frame, named.getBoxes());
            default -> {
                SupervisedGeneration owner = ownerFor(from);
                if (owner != null && owner != from) {
                    tell(owner, frame);
                }
            }
        }
    }

    private void toAllBut(SupervisedGeneration from, Frame.Builder frame, Boxes boxes) {
        for (SupervisedGeneration g : generations.values()) {
            boolean knowsNothingYet = g == next && stage.compareTo(Stage.READY) < 0;
            if (g != from && g.connected && !knowsNothingYet && boxes.getBoxesCount() > 0) {
                tell(g, frame);
            }
        }
    }

    /** Who owns the ids as far as this generation is concerned. */
    private SupervisedGeneration ownerFor(SupervisedGeneration from) {
        if (next != null && (shared.contains(from.number) || stage == Stage.LET_GO)) {
            return next;
        }
        return servingGeneration;
    }

    // ---- ends

    private void lost(SupervisorEvent.ConnectionLost e) {
        SupervisedGeneration g = generations.get(e.generation());
        if (g == null) {
            return;
        }
        g.connected = false;
        if (g == next) {
            fail(e.reason());
        } else {
            note("generation.lost", "generation", g.number, "why", e.reason());
            if (next != null && awaited.remove(g.number)) {
                goIfAllShared();
            }
        }
    }

    private void ended(int number, String how) {
        SupervisedGeneration g = generations.get(number);
        if (g == null) {
            return;
        }
        note("generation.ended", "generation", number, "how", how);
        if (g == next) {
            // fail kills by number: the process is gone, and must be forgotten only after that
            fail(how);
            generations.remove(number);
            return;
        }
        generations.remove(number);
        toldGone(number);
        if (g == servingGeneration) {
            servingDied();
        } else if (next != null && awaited.remove(number)) {
            goIfAllShared();
        }
    }

    private void toldGone(int number) {
        for (SupervisedGeneration other : generations.values()) {
            if (other.connected) {
                tell(other, Frame.newBuilder().setOtherGone(
                        OtherGone.newBuilder().setGeneration(number)));
            }
        }
    }

    /** The one that serves was killed. One on its way goes on without it; otherwise another is started. */
    private void servingDied() {
        long servedFor = now - servingGeneration.servesSince;
        int number = servingGeneration.number;
        servingGeneration = null;
        deaths = servedFor >= SERVED_WELL ? 0 : deaths;
        if (next == null) {
            if (!leaving && !fallBack(number)) {
                restart();
            }
        } else if (stage == Stage.STATE) {
            withoutState();
        } else if (stage == Stage.SHARE && awaited.remove(number)) {
            goIfAllShared();
        } else if (stage == Stage.LET_GO) {
            arrived("; generation " + number + " was gone before it had let go");
        }
    }

    /** The newest of those that still finish serves again: it is there at once, and it served well before. */
    private boolean fallBack(int dead) {
        for (SupervisedGeneration g : generations.values()) {
            if (g.connected && (servingGeneration == null || g.number > servingGeneration.number)) {
                servingGeneration = g;
            }
        }
        if (servingGeneration == null) {
            return false;
        }
        servingGeneration.killAt = Long.MAX_VALUE;
        servingGeneration.servesSince = now;
        program = servingGeneration.program;
        note("generation.fall_back", "generation", servingGeneration.number, "dead", dead);
        takeBack(dead);
        return true;
    }

    private void restart() {
        restartAt = now + (RESTART_AFTER << Math.min(deaths++, MOST_DOUBLINGS));
        note("generation.restart", "after_ms", (restartAt - now) / 1000);
    }

    private void tick() {
        if (next != null && now >= stageBegan + limits.stageTimeoutMicros().get(stage)) {
            if (stage == Stage.LET_GO) {
                // the new one serves: what hangs is the old one, and its time is limited
                arrived("; generation " + servingGeneration.number + " has not said that it let go");
            } else {
                fail("nothing came within " + limits.stageTimeoutMicros().get(stage) / 1000 + " ms");
            }
        }
        if (now >= restartAt) {
            begin(program, 0);
        }
        for (SupervisedGeneration g : List.copyOf(generations.values())) {
            if (now >= g.killAt) {
                g.killAt = Long.MAX_VALUE;
                note("generation.killed", "generation", g.number, "why", "over its limit");
                effects.add(new SupervisorEffect.KillProcess(g.number));
            }
        }
    }

    private void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        restartAt = Long.MAX_VALUE;
        note("keeper.leaves", "generations", generations.size());
        if (next != null && stage != Stage.LET_GO) {
            fail("the router was told to leave");
        }
        for (SupervisedGeneration g : generations.values()) {
            g.killAt = Math.min(g.killAt, now + limits.finishTimeoutMicros() + FINISH_SLACK);
            tell(g, Frame.newBuilder().setLeave(Leave.getDefaultInstance()));
        }
    }

    private void stop(int exit) {
        if (!stopped) {
            stopped = true;
            effects.add(new SupervisorEffect.ExitSupervisor(exit));
        }
    }

    // ---- words

    private void status(long asker) {
        for (SupervisedGeneration g : generations.values()) {
            String role = g == servingGeneration ? "serves" : g == next ? "comes, at stage " + stage
                    : g.failed ? "failed and is being ended" : "finishes";
            effects.add(new SupervisorEffect.Reply(asker, String.format(Locale.ROOT,
                    "generation %d %s, started %.1f s ago", g.number, role, (now - g.startedAt) / 1e6),
                    false, 0));
        }
        effects.add(new SupervisorEffect.Reply(asker, "upgrades done " + upgrades + ", failed " + failures
                + (lastFailure.isEmpty() ? "" : "; last failure: " + lastFailure), true,
                servingGeneration == null ? 1 : 0));
    }

    private void reply(String line, int exit) {
        if (command != 0) {
            effects.add(new SupervisorEffect.Reply(command, line, true, exit));
            command = 0;
        }
    }

    private void tell(SupervisedGeneration g, Frame.Builder frame) {
        effects.add(new SupervisorEffect.SendFrame(g.number, frame.build()));
    }

    private void note(String event, Object... fields) {
        effects.add(new SupervisorEffect.WriteLog(event, LogFields.of(fields)));
    }
}
