package yewdock.rules;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import yewdock.state.ReplicatedRecords;
import yewdock.wire.HistoryLine;
import yewdock.wire.RuleChange;
import yewdock.wire.RuleCommand;
import yewdock.wire.RuleOutcome;
import yewdock.wire.RuleValue;
import yewdock.wire.RulesSnapshot;
import yewdock.wire.SubjectState;

/**
 * The replicated state machine of the rules. The same commands in the same order give the same state, byte
 * for byte, in every version that knows the commands, whatever kinds of subjects it knows. A change is first
 * prepared, and then takes effect (is forced) or is withdrawn. No I/O, no clock. Not thread-safe.
 *
 * <p>Each command is one step. The chain is a hash over all commands and their outcomes: two instances at the
 * same step with different chains have different rules, which is a fault.
 */
public final class RuleStateMachine {
    /** How many subjects may have a value or a pending change. */
    public static final int MAX_SUBJECTS = 10_000;
    /** The largest serialized size of a change, in bytes. */
    public static final int MAX_CHANGE_BYTES = 16 * 1024;
    /** How many outcomes are remembered, for retries after a lost answer. */
    static final int MAX_OUTCOMES = 4_000;
    static final int MAX_HISTORY = 1_000;
    private static final int MAX_UNKNOWN_COMMANDS = 100;

    private long step;
    private long revision;
    private long chain;
    private long lastPreparedStep;
    private final TreeMap<String, SubjectState> subjects = new TreeMap<>();
    /** The subjects with a pending change, by the id of that change, oldest first. */
    private final LinkedHashMap<String, String> pendingSubjects = new LinkedHashMap<>();
    private final LinkedHashMap<String, RuleOutcome> outcomes = new LinkedHashMap<>();
    private final ArrayDeque<HistoryLine> history = new ArrayDeque<>();
    private final ArrayDeque<ByteString> unknownCommands = new ArrayDeque<>();
    private RulesView view = RulesView.EMPTY;

    /**
     * Validates a change before it is proposed; null if it is valid. Only the proposer checks the kind of
     * subject and its value.
     */
    public static ChangeRejection validate(RuleChange change) {
        if (change.getSerializedSize() > MAX_CHANGE_BYTES) {
            return ChangeRejection.TOO_LARGE;
        }
        return change.getId().isEmpty() || !RuleKind.isValid(change.getSubject(),
                change.hasValue() ? change.getValue() : null) ? ChangeRejection.INVALID : null;
    }

    /** Applies one command and returns the outcome of its change. */
    public RuleOutcome apply(RuleCommand command) {
        step++;
        RuleOutcome outcome = switch (command.getWhatCase()) {
            case PREPARE -> prepare(command.getPrepare());
            case FORCE -> force(command.getForce());
            case WITHDRAW -> withdraw(command.getWithdraw().getId());
            default -> keepUnknown(command);
        };
        HashStream64 hash = Hashing.xxh3_64().hashStream();
        byte[] bytes = ReplicatedRecords.bytes(command);
        hash.putLong(chain).putBytes(bytes).putInt(bytes.length);
        hash.putInt(outcome.getRefusal()).putLong(outcome.getRevision());
        chain = hash.getAsLong();
        view = null;
        return outcome;
    }

    /** Keeps a command of a newer version without applying it. */
    private RuleOutcome keepUnknown(RuleCommand command) {
        addBounded(unknownCommands, command.toByteString(), MAX_UNKNOWN_COMMANDS);
        return RuleOutcome.newBuilder().setStep(step).build();
    }

    private static <T> void addBounded(ArrayDeque<T> queue, T element, int maxSize) {
        queue.add(element);
        if (queue.size() > maxSize) {
            queue.remove();
        }
    }

    private RuleOutcome prepare(RuleChange change) {
        RuleOutcome known = outcomes.get(change.getId());
        if (known != null) {
            return known;
        }
        SubjectState state = subjects.get(change.getSubject());
        ChangeRejection rejection = rejection(change, state);
        if (rejection == null) {
            SubjectState.Builder next = state == null
                    ? SubjectState.newBuilder().setSubject(change.getSubject()) : state.toBuilder();
            subjects.put(change.getSubject(), next.setPending(change).setPendingStep(step).build());
            pendingSubjects.put(change.getId(), change.getSubject());
            lastPreparedStep = step;
        }
        return remember(RuleOutcome.newBuilder().setId(change.getId()).setStep(step)
                .setRefusal(rejection == null ? 0 : rejection.number()).build());
    }

    /**
     * Why a change is rejected; null if it is accepted. Must not depend on the kinds of subjects that this
     * version knows, or versions would diverge.
     */
    private ChangeRejection rejection(RuleChange change, SubjectState state) {
        if (change.getSerializedSize() > MAX_CHANGE_BYTES) {
            return ChangeRejection.TOO_LARGE;
        }
        if (state != null && state.hasPending()) {
            return ChangeRejection.ALREADY_PENDING;
        }
        if (change.getBase() != (state == null ? 0 : state.getRevision())) {
            return ChangeRejection.STALE;
        }
        RuleValue current = state != null && state.hasValue() ? state.getValue() : null;
        if (Objects.equals(current, change.hasValue() ? change.getValue() : null)) {
            return ChangeRejection.UNCHANGED;
        }
        return state == null && subjects.size() >= MAX_SUBJECTS ? ChangeRejection.TOO_MANY_SUBJECTS : null;
    }

    /** Idempotent: a new leader that didn't see the first force of a change may force it again. */
    private RuleOutcome force(String id) {
        String subject = pendingSubjects.remove(id);
        if (subject == null) {
            return notPending(id);
        }
        SubjectState state = subjects.get(subject);
        RuleChange change = state.getPending();
        SubjectState.Builder next = state.toBuilder().clearPending().clearPendingStep().clearValue()
                .setRevision(++revision);
        if (change.hasValue()) {
            next.setValue(change.getValue());
        }
        subjects.put(state.getSubject(), next.build());
        addBounded(history, HistoryLine.newBuilder().setRevision(revision).setChange(change).build(),
                MAX_HISTORY);
        return remember(outcomes.get(id).toBuilder().setRevision(revision).build());
    }

    private RuleOutcome withdraw(String id) {
        String subject = pendingSubjects.remove(id);
        if (subject == null) {
            return notPending(id);
        }
        SubjectState state = subjects.get(subject);
        if (state.getRevision() == 0) {
            subjects.remove(state.getSubject());
        } else {
            subjects.put(state.getSubject(), state.toBuilder().clearPending().clearPendingStep().build());
        }
        return remember(outcomes.get(id).toBuilder().setWithdrawn(true).build());
    }

    /** The known outcome of a change that is not pending, or a rejection. */
    private RuleOutcome notPending(String id) {
        RuleOutcome known = outcomes.get(id);
        return known != null ? known : RuleOutcome.newBuilder().setId(id).setStep(step)
                .setRefusal(ChangeRejection.NOT_PENDING.number()).build();
    }

    /** Remembers an outcome. Outcomes of pending changes are never evicted, as they are not final yet. */
    private RuleOutcome remember(RuleOutcome outcome) {
        outcomes.put(outcome.getId(), outcome);
        Iterator<RuleOutcome> oldest = outcomes.values().iterator();
        while (outcomes.size() > MAX_OUTCOMES + pendingSubjects.size() && oldest.hasNext()) {
            if (!pendingSubjects.containsKey(oldest.next().getId())) {
                oldest.remove();
            }
        }
        return outcome;
    }

    // ---- queries

    /** The number of commands applied so far. */
    public long step() {
        return step;
    }

    /** The number of changes that have taken effect. */
    public long revision() {
        return revision;
    }

    /** A hash over all commands and their outcomes. */
    public long chain() {
        return chain;
    }

    /** The step at which a change was last prepared, whether or not it is still pending. */
    public long lastPreparedStep() {
        return lastPreparedStep;
    }

    /** The revision at which a subject was last changed; 0 if never. */
    public long revision(String subject) {
        SubjectState state = subjects.get(subject);
        return state == null ? 0 : state.getRevision();
    }

    /** The outcome of a change; null if it is unknown. */
    public RuleOutcome outcome(String id) {
        return outcomes.get(id);
    }

    /** The state of each subject, in the order of their names. */
    public List<SubjectState> subjects() {
        return List.copyOf(subjects.values());
    }

    /** The ids of the pending changes with the steps at which they were prepared, oldest first. */
    public Map<String, Long> pendingChanges() {
        Map<String, Long> pending = new LinkedHashMap<>();
        pendingSubjects.forEach((id, subject) -> pending.put(id, subjects.get(subject).getPendingStep()));
        return pending;
    }

    /** The most recent changes that took effect, oldest first. */
    public List<HistoryLine> history() {
        return new ArrayList<>(history);
    }

    /** The view of the rules that a router applies. */
    public RulesView view() {
        if (view == null) {
            view = RulesView.of(step, revision, subjects.values());
        }
        return view;
    }

    // ---- snapshots

    /** The whole state in its canonical form. */
    public RulesSnapshot snapshot() {
        return RulesSnapshot.newBuilder().setStep(step).setRevision(revision).setChain(chain)
                .addAllSubjects(subjects.values()).addAllOutcomes(outcomes.values()).addAllHistory(history)
                .addAllUnread(unknownCommands).setPrepared(lastPreparedStep).build();
    }

    /** Replaces the whole state by that of a snapshot. */
    public void install(RulesSnapshot snapshot) {
        step = snapshot.getStep();
        revision = snapshot.getRevision();
        chain = snapshot.getChain();
        lastPreparedStep = snapshot.getPrepared();
        subjects.clear();
        snapshot.getSubjectsList().forEach(state -> subjects.put(state.getSubject(), state));
        pendingSubjects.clear();
        snapshot.getSubjectsList().stream().filter(SubjectState::hasPending)
                .sorted(Comparator.comparingLong(SubjectState::getPendingStep))
                .forEach(state -> pendingSubjects.put(state.getPending().getId(), state.getSubject()));
        outcomes.clear();
        snapshot.getOutcomesList().forEach(outcome -> outcomes.put(outcome.getId(), outcome));
        history.clear();
        history.addAll(snapshot.getHistoryList());
        unknownCommands.clear();
        unknownCommands.addAll(snapshot.getUnreadList());
        view = null;
    }

    /** Parses a command as written by {@link ReplicatedRecords#bytes}; fields of a newer version are kept. */
    public static RuleCommand parseCommand(byte[] bytes) throws InvalidProtocolBufferException {
        return RuleCommand.parseFrom(bytes);
    }
}
