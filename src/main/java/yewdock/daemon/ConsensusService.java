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
 * Runs this daemon's consensus instance on a single-threaded loop of its own, which outlives upgrades.
 * Sends the agreed rules and the end of the lease to the generations and collects their acknowledgements. A
 * generation that hangs blocks the lease, because the rules that it still applies are unknown.
 */
final class ConsensusService implements ConsensusNode.ConsensusHost, TaskScheduler, Closeable {
    /** Command-line flag of an operator override that applies to this instance only, without consensus. */
    static final String LOCAL_ONLY = "--here";
    private static final String LOG_FOLDER = "council";
    private static final long RETRY_MICROS = 200_000;
    private static final long APPLY_TIMEOUT_MICROS = 15_000_000;
    private static final long STATUS_TIMEOUT_MILLIS = 1_000;
    private static final int ID_BYTES = 8;
    private static final int HISTORY_LINES_SHOWN = 20;

    private final OperatorSettings settings;
    private final Consumer<Set<String>> drainedServersListener;
    private final ScheduledThreadPoolExecutor loop;
    private final SecureRandom random = new SecureRandom();
    private final Map<Integer, GenerationProgress> generationProgress = new HashMap<>();
    private final List<PendingChange> pendingChanges = new ArrayList<>();
    private PeerConnections peerConnections;
    private ConsensusNode consensusNode;
    private RulesView view = RulesView.EMPTY;
    private long chain;
    private long leaseEndMicros = Long.MIN_VALUE;

    /** A connected generation and the last step that it has acknowledged as applied. */
    private static final class GenerationProgress {
        private final ControlConnection connection;
        private long appliedStep;

        GenerationProgress(ControlConnection connection) {
            this.connection = connection;
        }
    }

    /** An operator's change that is not in force yet; the deadline is on the loop's clock. */
    private record PendingChange(RuleChange change, long deadlineMicros, Consumer<Answer> replyTo) {
    }

    /** Creates the service; the consumer receives the names of the servers that are drained by consensus. */
    ConsensusService(OperatorSettings settings, Consumer<Set<String>> drainedServersListener) {
        this.settings = settings;
        this.drainedServersListener = drainedServersListener;
        this.loop = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "agreement");
            thread.setDaemon(true);
            return thread;
        });
        loop.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        schedule(0, EventLog::muteLibraryLogs);
    }

    /** Joins the consensus group over these connections. */
    void start(PeerConnections connections) throws IOException {
        peerConnections = connections;
        OperatorSettings.ConsensusSettings consensusSettings = settings.consensus();
        String self = settings.replication().instance();
        DurableRaftStore disk = null;
        if (consensusSettings.members().contains(self)) {
            Path folder = settings.store().folder().resolve(LOG_FOLDER);
            try {
                disk = new DurableRaftStore(() -> RecordFile.open(folder));
            } catch (IOException e) {
                throw new IOException(e.getMessage() + ", in " + folder
                        + "; an instance that lost its log must rejoin with an empty folder", e);
            }
        }
        DurableRaftStore openedDisk = disk;
        long seed = random.nextLong() >>> 1;
        schedule(0, () -> {
            try {
                consensusNode = new ConsensusNode(new ConsensusNode.ConsensusConfig(
                        settings.replication().cluster(), self, consensusSettings.members(),
                        LeaseTiming.forMaxDelay(consensusSettings.agreedWithinMicros(),
                                consensusSettings.clockDrift())), this, this, openedDisk, seed);
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
            // the loop was shut down
        }
    }

    // ---- other instances

    /** Handles a consensus frame from a peer. */
    void handleFrame(String peer, CouncilFrame frame) {
        schedule(0, () -> {
            if (consensusNode != null) {
                consensusNode.receive(peer, frame);
            }
        });
    }

    @Override
    public void send(String instance, CouncilFrame frame) {
        peerConnections.send(instance, PeerFrame.newBuilder().setCouncil(frame).build());
    }

    @Override
    public boolean isReachable(String instance) {
        return peerConnections.isConnected(instance);
    }

    /** Records the version of the endpoint list that the serving generation applies. */
    void applyingListVersion(String address, long version) {
        schedule(0, () -> {
            if (consensusNode != null) {
                consensusNode.endpointListInUse(address, version);
            }
        });
    }

    @Override
    public void endpointListOutdated(long newest) {
        EventLog.info("list.behind", "newest", newest);
        generationProgress.values().forEach(t -> t.connection.send(Frame.newBuilder().setAskListAnew(
                AskListAnew.getDefaultInstance()).build()));
    }

    @Override
    public void logEvent(String event, Object... fields) {
        EventLog.info(event, fields);
    }

    // ---- generations

    /**
     * Handles a frame from a generation: sends the agreed state to one that is ready, and records the step
     * that one acknowledges.
     */
    void handleFrame(int generation, ControlConnection connection, Frame frame) {
        if (frame.hasReady()) {
            schedule(0, () -> {
                GenerationProgress progress = new GenerationProgress(connection);
                generationProgress.put(generation, progress);
                // the operator overrides of this view were sent earlier: with its state or on change
                sendAgreed(progress);
            });
        } else if (frame.hasTakenUp()) {
            schedule(0, () -> {
                GenerationProgress progress = generationProgress.get(generation);
                if (progress != null) {
                    progress.appliedStep = Math.max(progress.appliedStep, frame.getTakenUp().getStep());
                    acknowledgeIfAllApplied();
                }
            });
        }
    }

    /** Forgets a generation whose connection is closed. */
    void generationGone(int generation) {
        schedule(0, () -> {
            generationProgress.remove(generation);
            acknowledgeIfAllApplied();
        });
    }

    private void acknowledgeIfAllApplied() {
        if (consensusNode != null && generationProgress.values().stream().allMatch(t ->
                t.appliedStep >= view.step())) {
            consensusNode.rulesApplied(view.step(), chain);
        }
    }

    @Override
    public void applyRules(RulesView next) {
        view = next;
        chain = consensusNode.localRules().chain();
        // overrides go first on the same connections, so a generation that gets the step has applied them
        drainedServersListener.accept(next.cordonedServers());
        generationProgress.values().forEach(this::sendAgreed);
        acknowledgeIfAllApplied();
        answerSettledChanges();
    }

    @Override
    public void leaseExtended(long end) {
        leaseEndMicros = end;
        generationProgress.values().forEach(this::sendAgreed);
    }

    private void sendAgreed(GenerationProgress progress) {
        progress.connection.send(Frame.newBuilder().setAgreed(Agreed.newBuilder().setStep(view.step())
                .setChain(chain).setUntil(settings.consensus().serveInDoubt() ? Long.MAX_VALUE
                        : leaseEndMicros)).build());
    }

    // ---- operators

    /** Handles an operator's command; false if it does not need consensus. Answers may come later. */
    boolean handleCommand(String command, List<String> arguments, Predicate<String> isKnown,
            Consumer<Answer> answer) {
        boolean drain = command.equals("drain");
        if (command.equals("rules")) {
            schedule(0, () -> showRules(answer));
            return true;
        }
        if (!drain && !command.equals("undrain")) {
            return false;
        }
        if (arguments.size() == 2 && arguments.get(1).equals(LOCAL_ONLY)) {
            EventLog.warn("mark.without_agreement", "box", arguments.get(0), "command", command);
            return false;
        }
        if (arguments.isEmpty()) {
            answer.accept(lastAnswerLine("exactly one server must be named", 1));
            return true;
        }
        String server = arguments.get(0);
        if (drain && !isKnown.test(server)) {
            answer.accept(lastAnswerLine("no server named " + server + " is known", 1));
            return true;
        }
        byte[] id = new byte[ID_BYTES];
        random.nextBytes(id);
        RuleChange.Builder change = RuleChange.newBuilder().setId(HexFormat.of().formatHex(id))
                .setWho(settings.replication().instance()).setWall(System.currentTimeMillis() * 1000)
                .setWhy(arguments.size() > 1 ? arguments.get(1)
                        : "").setSubject(RuleKind.SERVER.subject(server));
        if (drain) {
            change.setValue(RuleValue.newBuilder().setOut(true));
        }
        schedule(0, () -> {
            if (consensusNode == null) {
                answer.accept(lastAnswerLine("consensus is not running here: see agreement.broken in the log",
                        1));
                return;
            }
            change.setBase(consensusNode.localRules().revision(change.getSubject()));
            propose(new PendingChange(change.build(), nowMicros() + APPLY_TIMEOUT_MICROS, answer));
        });
        return true;
    }

    /** Proposes the change, and retries with the same id until it is accepted, refused or timed out. */
    private void propose(PendingChange pending) {
        consensusNode.propose(pending.change, (Proposed answer) -> {
            RuleOutcome outcome = answer.getOutcome();
            if (!answer.hasOutcome() && nowMicros() < pending.deadlineMicros) {
                schedule(RETRY_MICROS, () -> propose(pending));
            } else if (!answer.hasOutcome()) {
                pending.replyTo.accept(lastAnswerLine("outcome unknown: " + answer.getNobody()
                        + "; check status, or override the server at each instance with " + LOCAL_ONLY, 1));
            } else if (outcome.getRefusal() != 0) {
                ChangeRejection refusal = ChangeRejection.of(outcome.getRefusal());
                pending.replyTo.accept(lastAnswerLine("not agreed: " + (refusal == null
                        ? "refused by a newer version" : refusal.message()),
                                refusal == ChangeRejection.UNCHANGED ? 0 : 1));
            } else {
                pendingChanges.add(pending);
                answerSettledChanges();
                schedule(Math.max(0, pending.deadlineMicros - nowMicros()), this::answerSettledChanges);
            }
        });
    }

    /** Answers the operators whose changes are in force here or have passed their deadline. */
    private void answerSettledChanges() {
        pendingChanges.removeIf(pending -> {
            RuleOutcome outcome = consensusNode.localRules().outcome(pending.change.getId());
            if (outcome != null && outcome.getRevision() > 0) {
                pending.replyTo.accept(lastAnswerLine(RuleKind.name(pending.change.getSubject())
                        + (pending.change.hasValue() ? " is draining" : " has no mark any more")
                        + " by agreement, revision " + outcome.getRevision(), 0));
                return true;
            }
            if (nowMicros() >= pending.deadlineMicros) {
                pending.replyTo.accept(lastAnswerLine(
                        "agreed but not in force yet: it will be applied on its own", 1));
                return true;
            }
            return false;
        });
    }

    private void showRules(Consumer<Answer> answer) {
        if (consensusNode != null) {
            RuleStateMachine rules = consensusNode.localRules();
            for (SubjectState subject : rules.subjects()) {
                answer.accept(answerLine(subject.getSubject() + " = " + format(subject.hasValue()
                        ? subject.getValue() : null)
                        + ", revision " + subject.getRevision() + (subject.hasPending() ? ", under way: "
                        + format(subject.getPending().hasValue() ? subject.getPending().getValue() : null)
                        + " by " + subject.getPending().getWho() : "")));
            }
            List<HistoryLine> history = rules.history();
            for (HistoryLine entry : history.subList(Math.max(0, history.size() - HISTORY_LINES_SHOWN),
                    history.size())) {
                answer.accept(answerLine("revision " + entry.getRevision() + ": "
                        + entry.getChange().getSubject() + " = "
                        + format(entry.getChange().hasValue() ? entry.getChange().getValue() : null) + " by "
                        + entry.getChange().getWho() + (entry.getChange().getWhy().isEmpty() ? ""
                        : ": " + entry.getChange().getWhy())));
            }
        }
        answer.accept(lastAnswerLine("step " + view.step() + ", chain " + Long.toHexString(chain), 0));
    }

    private static String format(RuleValue value) {
        if (value == null) {
            return "as listed";
        }
        return value.hasOut() ? "out" : value.hasShare() ? Double.toString(value.getShare())
                : value.hasText() ? value.getText() : "of a later program";
    }

    /** Status lines for an operator: the leader, the rules in force here, and the end of the lease. */
    List<String> status() {
        try {
            return loop.submit(this::statusLines).get(STATUS_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of();
        } catch (ExecutionException | TimeoutException | RejectedExecutionException e) {
            return List.of("agreement: its loop does not respond (" + e + "); the lease will expire");
        }
    }

    private List<String> statusLines() {
        if (consensusNode == null) {
            return List.of("agreement: not begun");
        }
        // until the first lease its end is Long.MIN_VALUE, and subtracting from that would overflow
        long now = nowMicros();
        String lease = leaseEndMicros > now ? String.format(Locale.ROOT, "lease for %.1f s",
                (leaseEndMicros - now) / 1e6)
                : settings.consensus().serveInDoubt() ? "in doubt, serving on" : "in doubt, refusing";
        return List.of("agreement: " + lease + ", step " + view.step() + ", revision " + view.revision()
                + ", leader " + (consensusNode.isLeader() ? "this instance" : consensusNode.leader() == null
                        ? "unknown"
                : consensusNode.leader()) + ", " + (settings.consensus().members().contains(
                settings.replication().instance()) ? consensusNode.isVotingMember() ? "votes"
                        : "does not vote yet"
                        : "follows"));
    }

    private static Answer answerLine(String text) {
        return Answer.newBuilder().setLine(text).build();
    }

    private static Answer lastAnswerLine(String text, int exit) {
        return Answer.newBuilder().setLine(text).setLast(true).setExit(exit).build();
    }

    @Override
    public void close() {
        schedule(0, () -> {
            if (consensusNode != null) {
                consensusNode.close();
            }
            loop.shutdown();
        });
        try {
            if (!loop.awaitTermination(STATUS_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                loop.shutdownNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
