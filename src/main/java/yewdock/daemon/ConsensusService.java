package yewdock.daemon;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Predicate;
import yewdock.consensus.ConsensusNode;
import yewdock.consensus.DurableRaftStore;
import yewdock.consensus.TaskScheduler;
import yewdock.lease.LeaseTiming;
import yewdock.logging.EventLog;
import yewdock.rules.ChangeRejection;
import yewdock.rules.RuleKind;
import yewdock.rules.RuleStateMachine;
import yewdock.rules.RulesView;
import yewdock.settings.OperatorSettings;
import yewdock.store.RecordFile;
import yewdock.wire.Agreed;
import yewdock.wire.Answer;
import yewdock.wire.AskListAnew;
import yewdock.wire.CouncilFrame;
import yewdock.wire.Frame;
import yewdock.wire.HistoryLine;
import yewdock.wire.PeerFrame;
import yewdock.wire.Proposed;
import yewdock.wire.RuleChange;
import yewdock.wire.RuleOutcome;
import yewdock.wire.RuleValue;
import yewdock.wire.SubjectState;

/**
 * A daemon's part in an agreement: one loop on one thread, beside the keeper's, that outlives upgrades. The
 * generations are told by which rules and until when they may act, and say when they do; a generation that
 * hangs holds the lease up, for nobody knows by what it acts.
 */
final class ConsensusService implements ConsensusNode.ConsensusHost, TaskScheduler, Closeable {
    /** An operator's word for a mark of this instance's own, without asking the others. */
    static final String HERE = "--here";
    private static final String LOG = "council";
    private static final long TRY_AGAIN = 200_000;
    private static final long FORCE_PATIENCE = 15_000_000;
    private static final long STATUS_MILLIS = 1_000;
    private static final int ID_BYTES = 8;
    private static final int SHOWN = 20;

    private final OperatorSettings settings;
    private final Consumer<Set<String>> boxesOut;
    private final ScheduledThreadPoolExecutor loop;
    private final SecureRandom random = new SecureRandom();
    private final Map<Integer, Told> generations = new HashMap<>();
    private final List<Asked> waiting = new ArrayList<>();
    private PeerConnections peers;
    private ConsensusNode council;
    private RulesView view = RulesView.EMPTY;
    private long chain;
    private long until = Long.MIN_VALUE;

    /** A generation that acts by what it is told, and the step that it has said it acts by. */
    private static final class Told {
        private final ControlConnection link;
        private long step;

        Told(ControlConnection link) {
            this.link = link;
        }
    }

    /** An operator's change, until it is in force. */
    private record Asked(RuleChange change, long patience, Consumer<Answer> answer) {
    }

    /** For this operator's file; boxes that get nothing new go to boxesOut. */
    ConsensusService(OperatorSettings settings, Consumer<Set<String>> boxesOut) {
        this.settings = settings;
        this.boxesOut = boxesOut;
        this.loop = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "agreement");
            thread.setDaemon(true);
            return thread;
        });
        loop.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        schedule(0, EventLog::muteLibraryLogs);
    }

    /** Begins to take part, over these connections. */
    void begin(PeerConnections over) throws IOException {
        peers = over;
        OperatorSettings.ConsensusSettings a = settings.consensus();
        String self = settings.replication().instance();
        DurableRaftStore disk = null;
        if (a.members().contains(self)) {
            Path folder = settings.store().folder().resolve(LOG);
            try {
                disk = new DurableRaftStore(() -> RecordFile.open(folder));
            } catch (IOException e) {
                throw new IOException(e.getMessage() + ", in " + folder
                        + "; an instance that has lost it is put in anew with an empty folder", e);
            }
        }
        DurableRaftStore mine = disk;
        long seed = random.nextLong() >>> 1;
        schedule(0, () -> {
            try {
                council = new ConsensusNode(
                        new ConsensusNode.ConsensusConfig(settings.replication().cluster(), self, a.members(),
                                LeaseTiming.forMaxDelay(a.agreedWithinMicros(), a.clockDrift())),
                        this, this, mine, seed);
            } catch (IOException e) {
                EventLog.warn("agreement.broken", "why", e.getMessage());
            }
        });
    }

    // ---- the loop

    @Override
    public long nowMicros() {
        return System.nanoTime() / 1000;
    }

    @Override
    public void schedule(long micros, Runnable task) {
        try {
            loop.schedule(() -> {
                try {
                    task.run();
                } catch (RuntimeException e) {
                    EventLog.warn("agreement.fault", "why", e, "at", e.getStackTrace().length > 0
                            ? e.getStackTrace()[0] : "");
                }
            }, micros, TimeUnit.MICROSECONDS);
        } catch (RejectedExecutionException e) {
            // it has ended
        }
    }

    // ---- other instances

    /** A frame of another instance's. */
    void heard(String peer, CouncilFrame frame) {
        schedule(0, () -> {
            if (council != null) {
                council.receive(peer, frame);
            }
        });
    }

    @Override
    public void send(String instance, CouncilFrame frame) {
        peers.send(instance, PeerFrame.newBuilder().setCouncil(frame).build());
    }

    @Override
    public boolean isReachable(String instance) {
        return peers.up(instance);
    }

    /** The generation that serves acts on this version of the box list. */
    void actsOn(String address, long version) {
        schedule(0, () -> {
            if (council != null) {
                council.endpointListInUse(address, version);
            }
        });
    }

    @Override
    public void endpointListOutdated(long newest) {
        EventLog.info("list.behind", "newest", newest);
        generations.values().forEach(t -> t.link.send(Frame.newBuilder().setAskListAnew(
                AskListAnew.getDefaultInstance()).build()));
    }

    @Override
    public void logEvent(String event, Object... fields) {
        EventLog.info(event, fields);
    }

    // ---- generations

    /** A generation that is ready is told; one that says what it acts by is believed. */
    void heard(int generation, ControlConnection link, Frame frame) {
        if (frame.hasReady()) {
            schedule(0, () -> {
                Told told = new Told(link);
                generations.put(generation, told);
                // the marks of this view were sent to it before: with its state, or as they changed
                tell(told);
            });
        } else if (frame.hasTakenUp()) {
            schedule(0, () -> {
                Told told = generations.get(generation);
                if (told != null) {
                    told.step = Math.max(told.step, frame.getTakenUp().getStep());
                    takenUp();
                }
            });
        }
    }

    /** A generation is no more, and acts by nothing. */
    void gone(int generation) {
        schedule(0, () -> {
            generations.remove(generation);
            takenUp();
        });
    }

    private void takenUp() {
        if (council != null && generations.values().stream().allMatch(t -> t.step >= view.step())) {
            council.rulesApplied(view.step(), chain);
        }
    }

    @Override
    public void applyRules(RulesView next) {
        view = next;
        chain = council.localRules().chain();
        // the marks first, on the same connections: who has heard of the step acts by it
        boxesOut.accept(next.cordonedServers());
        generations.values().forEach(this::tell);
        takenUp();
        settle();
    }

    @Override
    public void leaseExtended(long end) {
        until = end;
        generations.values().forEach(this::tell);
    }

    private void tell(Told told) {
        told.link.send(Frame.newBuilder().setAgreed(Agreed.newBuilder().setStep(view.step()).setChain(chain)
                .setUntil(settings.consensus().serveInDoubt() ? Long.MAX_VALUE : until)).build());
    }

    // ---- operators

    /** An operator's command; false if it is none that goes through the agreement. Answers may come later. */
    boolean asked(String command, List<String> words, Predicate<String> known, Consumer<Answer> answer) {
        boolean drain = command.equals("drain");
        if (command.equals("rules")) {
            schedule(0, () -> show(answer));
            return true;
        }
        if (!drain && !command.equals("undrain")) {
            return false;
        }
        if (words.size() == 2 && words.get(1).equals(HERE)) {
            EventLog.warn("mark.without_agreement", "box", words.get(0), "command", command);
            return false;
        }
        if (words.isEmpty()) {
            answer.accept(last("one box is to be named", 1));
            return true;
        }
        String box = words.get(0);
        if (drain && !known.test(box)) {
            answer.accept(last("no box of the name " + box + " is known", 1));
            return true;
        }
        byte[] id = new byte[ID_BYTES];
        random.nextBytes(id);
        RuleChange.Builder change = RuleChange.newBuilder().setId(HexFormat.of().formatHex(id))
                .setWho(settings.replication().instance()).setWall(System.currentTimeMillis() * 1000)
                .setWhy(words.size() > 1 ? words.get(1) : "").setSubject(RuleKind.SERVER.subject(box));
        if (drain) {
            change.setValue(RuleValue.newBuilder().setOut(true));
        }
        schedule(0, () -> {
            if (council == null) {
                answer.accept(last("this instance takes no part: see agreement.broken in its log", 1));
                return;
            }
            change.setBase(council.localRules().revision(change.getSubject()));
            propose(new Asked(change.build(), nowMicros() + FORCE_PATIENCE, answer));
        });
        return true;
    }

    /** Asked for again, with the same id, until somebody takes it. */
    private void propose(Asked asked) {
        council.propose(asked.change, (Proposed said) -> {
            RuleOutcome outcome = said.getOutcome();
            if (!said.hasOutcome() && nowMicros() < asked.patience) {
                schedule(TRY_AGAIN, () -> propose(asked));
            } else if (!said.hasOutcome()) {
                asked.answer.accept(last("not known to be agreed: " + said.getNobody()
                        + "; see the council in status, or mark the box at each instance with " + HERE, 1));
            } else if (outcome.getRefusal() != 0) {
                ChangeRejection refusal = ChangeRejection.of(outcome.getRefusal());
                asked.answer.accept(last("not agreed: " + (refusal == null ? "refused by a later program"
                        : refusal.message()), refusal == ChangeRejection.UNCHANGED ? 0 : 1));
            } else {
                waiting.add(asked);
                settle();
                schedule(Math.max(0, asked.patience - nowMicros()), this::settle);
            }
        });
    }

    /** Tells operators whose changes are in force here. */
    private void settle() {
        waiting.removeIf(asked -> {
            RuleOutcome outcome = council.localRules().outcome(asked.change.getId());
            if (outcome != null && outcome.getRevision() > 0) {
                asked.answer.accept(last(RuleKind.name(asked.change.getSubject())
                        + (asked.change.hasValue() ? " drains" : " has no mark any more")
                        + " by agreement, revision " + outcome.getRevision(), 0));
                return true;
            }
            if (nowMicros() >= asked.patience) {
                asked.answer.accept(last("agreed, and not in force yet: it takes force by itself", 1));
                return true;
            }
            return false;
        });
    }

    private void show(Consumer<Answer> answer) {
        if (council != null) {
            RuleStateMachine held = council.localRules();
            for (SubjectState s : held.subjects()) {
                answer.accept(line(s.getSubject() + " = " + text(s.hasValue() ? s.getValue() : null)
                        + ", revision " + s.getRevision() + (s.hasPending() ? ", under way: "
                        + text(s.getPending().hasValue() ? s.getPending().getValue() : null) + " by "
                        + s.getPending().getWho() : "")));
            }
            List<HistoryLine> history = held.history();
            for (HistoryLine h : history.subList(Math.max(0, history.size() - SHOWN), history.size())) {
                answer.accept(line("revision " + h.getRevision() + ": " + h.getChange().getSubject() + " = "
                        + text(h.getChange().hasValue() ? h.getChange().getValue() : null) + " by "
                        + h.getChange().getWho() + (h.getChange().getWhy().isEmpty() ? ""
                        : ": " + h.getChange().getWhy())));
            }
        }
        answer.accept(last("step " + view.step() + ", chain " + Long.toHexString(chain), 0));
    }

    private static String text(RuleValue value) {
        if (value == null) {
            return "as listed";
        }
        return value.hasOut() ? "out" : value.hasShare() ? Double.toString(value.getShare())
                : value.hasText() ? value.getText() : "of a later program";
    }

    /** Lines for an operator: who leads, what holds here, and until when. */
    List<String> status() {
        try {
            return loop.submit(this::lines).get(STATUS_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of();
        } catch (ExecutionException | TimeoutException | RejectedExecutionException e) {
            return List.of("agreement: its loop does not answer (" + e + "); the lease runs out by itself");
        }
    }

    private List<String> lines() {
        if (council == null) {
            return List.of("agreement: not begun");
        }
        // before the first lease there is none: its end is the least number, from which nothing may be taken
        long now = nowMicros();
        String lease = until > now ? String.format(Locale.ROOT, "lease for %.1f s", (until - now) / 1e6)
                : settings.consensus().serveInDoubt() ? "in doubt, serving on" : "in doubt, refusing";
        return List.of("agreement: " + lease + ", step " + view.step() + ", revision " + view.revision()
                + ", leader " + (council.isLeader() ? "this instance" : council.leader() == null ? "unknown"
                : council.leader()) + ", " + (settings.consensus().members().contains(
                settings.replication().instance()) ? council.isVotingMember() ? "votes" : "does not vote yet"
                        : "follows"));
    }

    private static Answer line(String text) {
        return Answer.newBuilder().setLine(text).build();
    }

    private static Answer last(String text, int exit) {
        return Answer.newBuilder().setLine(text).setLast(true).setExit(exit).build();
    }

    @Override
    public void close() {
        schedule(0, () -> {
            if (council != null) {
                council.close();
            }
            loop.shutdown();
        });
        try {
            if (!loop.awaitTermination(STATUS_MILLIS, TimeUnit.MILLISECONDS)) {
                loop.shutdownNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
