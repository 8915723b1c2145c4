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
 * The rules as a state machine: the same commands in the same order give the same state, byte for byte, in
 * any program that knows the commands, whatever kinds of subjects it knows. A change is prepared, and then
 * takes force or is withdrawn. Pure: no I/O, no clock. Not thread-safe.
 *
 * <p>Each command is a step. The chain is a hash over all of them and their outcomes: two instances at one
 * step with different chains do not hold the same rules, and that is a fault.
 */
public final class RuleStateMachine {
    /** So many subjects may have a value or a change under way. */
    public static final int MAX_SUBJECTS = 10_000;
    /** A change with more bytes is refused. */
    public static final int MAX_CHANGE_BYTES = 16 * 1024;
    /** So many outcomes are remembered, for retries after a lost answer. */
    static final int MOST_OUTCOMES = 4_000;
    static final int MOST_HISTORY = 1_000;
    private static final int MOST_UNREAD = 100;

    private long step;
    private long revision;
    private long chain;
    private long lastPreparedStep;
    private final TreeMap<String, SubjectState> subjects = new TreeMap<>();
    /** The subjects with a change under way, by its id, oldest first. */
    private final LinkedHashMap<String, String> under = new LinkedHashMap<>();
    private final LinkedHashMap<String, RuleOutcome> outcomes = new LinkedHashMap<>();
    private final ArrayDeque<HistoryLine> history = new ArrayDeque<>();
    private final ArrayDeque<ByteString> unread = new ArrayDeque<>();
    private RulesView view = RulesView.EMPTY;

    /** What is wrong with a change before anybody is asked, or null: kinds are the proposer's to know. */
    public static ChangeRejection validate(RuleChange change) {
        if (change.getSerializedSize() > MAX_CHANGE_BYTES) {
            return ChangeRejection.TOO_LARGE;
        }
        return change.getId().isEmpty() || !RuleKind.isValid(change.getSubject(),
                change.hasValue() ? change.getValue() : null) ? ChangeRejection.INVALID : null;
    }

    /** Takes one command; the outcome is that of its change. */
    public RuleOutcome apply(RuleCommand command) {
        step++;
        RuleOutcome outcome = switch (command.getWhatCase()) {
            case PREPARE -> prepare(command.getPrepare());
            case FORCE -> force(command.getForce());
            case WITHDRAW -> withdraw(command.getWithdraw().getId());
            default -> unread(command);
        };
        HashStream64 hash = Hashing.xxh3_64().hashStream();
        byte[] bytes = ReplicatedRecords.bytes(command);
        hash.putLong(chain).putBytes(bytes).putInt(bytes.length);
        hash.putInt(outcome.getRefusal()).putLong(outcome.getRevision());
        chain = hash.getAsLong();
        view = null;
        return outcome;
    }

    private RuleOutcome unread(RuleCommand command) {
        add(unread, command.toByteString(), MOST_UNREAD);
        return RuleOutcome.newBuilder().setStep(step).build();
    }

    private static <T> void add(ArrayDeque<T> all, T one, int most) {
        all.add(one);
        if (all.size() > most) {
            all.remove();
        }
    }

    private RuleOutcome prepare(RuleChange change) {
        RuleOutcome before = outcomes.get(change.getId());
        if (before != null) {
            return before;
        }
        SubjectState state = subjects.get(change.getSubject());
        ChangeRejection refusal = refusal(change, state);
        if (refusal == null) {
            SubjectState.Builder next = state == null
                    ? SubjectState.newBuilder().setSubject(change.getSubject()) : state.toBuilder();
            subjects.put(change.getSubject(), next.setPending(change).setPendingStep(step).build());
            under.put(change.getId(), change.getSubject());
            lastPreparedStep = step;
        }
        return note(RuleOutcome.newBuilder().setId(change.getId()).setStep(step)
                .setRefusal(refusal == null ? 0 : refusal.number()).build());
    }

    /** Nothing here may depend on the kinds that a program knows. */
    private ChangeRejection refusal(RuleChange change, SubjectState state) {
        if (change.getSerializedSize() > MAX_CHANGE_BYTES) {
            return ChangeRejection.TOO_LARGE;
        }
        if (state != null && state.hasPending()) {
            return ChangeRejection.ALREADY_PENDING;
        }
        if (change.getBase() != (state == null ? 0 : state.getRevision())) {
            return ChangeRejection.STALE;
        }
        RuleValue now = state != null && state.hasValue() ? state.getValue() : null;
        if (Objects.equals(now, change.hasValue() ? change.getValue() : null)) {
            return ChangeRejection.UNCHANGED;
        }
        return state == null && subjects.size() >= MAX_SUBJECTS ? ChangeRejection.TOO_MANY_SUBJECTS : null;
    }

    /** Once: a second force of the same change, by a leader who did not see the first, changes nothing. */
    private RuleOutcome force(String id) {
        String subject = under.remove(id);
        if (subject == null) {
            return notUnderWay(id);
        }
        SubjectState state = subjects.get(subject);
        RuleChange change = state.getPending();
        SubjectState.Builder next = state.toBuilder().clearPending().clearPendingStep().clearValue()
                .setRevision(++revision);
        if (change.hasValue()) {
            next.setValue(change.getValue());
        }
        subjects.put(state.getSubject(), next.build());
        add(history, HistoryLine.newBuilder().setRevision(revision).setChange(change).build(), MOST_HISTORY);
        return note(outcomes.get(id).toBuilder().setRevision(revision).build());
    }

    private RuleOutcome withdraw(String id) {
        String subject = under.remove(id);
        if (subject == null) {
            return notUnderWay(id);
        }
        SubjectState state = subjects.get(subject);
        if (state.getRevision() == 0) {
            subjects.remove(state.getSubject());
        } else {
            subjects.put(state.getSubject(), state.toBuilder().clearPending().clearPendingStep().build());
        }
        return note(outcomes.get(id).toBuilder().setWithdrawn(true).build());
    }

    private RuleOutcome notUnderWay(String id) {
        RuleOutcome known = outcomes.get(id);
        return known != null ? known : RuleOutcome.newBuilder().setId(id).setStep(step)
                .setRefusal(ChangeRejection.NOT_PENDING.number()).build();
    }

    /** A change that is under way is never forgotten: its outcome is yet to come. */
    private RuleOutcome note(RuleOutcome outcome) {
        outcomes.put(outcome.getId(), outcome);
        Iterator<RuleOutcome> oldest = outcomes.values().iterator();
        while (outcomes.size() > MOST_OUTCOMES + under.size() && oldest.hasNext()) {
            if (!under.containsKey(oldest.next().getId())) {
                oldest.remove();
            }
        }
        return outcome;
    }

    // ---- reading

    /** How many commands there have been. */
    public long step() {
        return step;
    }

    /** How many changes have taken force. */
    public long revision() {
        return revision;
    }

    /** A hash over all commands and their outcomes. */
    public long chain() {
        return chain;
    }

    /** The step of the last change that was prepared, whatever has become of it since. */
    public long lastPreparedStep() {
        return lastPreparedStep;
    }

    /** The revision at which a subject was last changed, 0 for never. */
    public long revision(String subject) {
        SubjectState state = subjects.get(subject);
        return state == null ? 0 : state.getRevision();
    }

    /** What became of a change, or null where that is not known. */
    public RuleOutcome outcome(String id) {
        return outcomes.get(id);
    }

    /** What is agreed of each subject, by name. */
    public List<SubjectState> subjects() {
        return List.copyOf(subjects.values());
    }

    /** The changes under way with their steps, oldest first. */
    public Map<String, Long> pendingChanges() {
        Map<String, Long> found = new LinkedHashMap<>();
        under.forEach((id, subject) -> found.put(id, subjects.get(subject).getPendingStep()));
        return found;
    }

    /** The last changes that took force, oldest first. */
    public List<HistoryLine> history() {
        return new ArrayList<>(history);
    }

    /** What a router acts by. */
    public RulesView view() {
        if (view == null) {
            view = RulesView.of(step, revision, subjects.values());
        }
        return view;
    }

    // ---- snapshots

    /** All of it, in its one form. */
    public RulesSnapshot snapshot() {
        return RulesSnapshot.newBuilder().setStep(step).setRevision(revision).setChain(chain)
                .addAllSubjects(subjects.values()).addAllOutcomes(outcomes.values()).addAllHistory(history)
                .addAllUnread(unread).setPrepared(lastPreparedStep).build();
    }

    /** Goes on from a snapshot. */
    public void install(RulesSnapshot from) {
        step = from.getStep();
        revision = from.getRevision();
        chain = from.getChain();
        lastPreparedStep = from.getPrepared();
        subjects.clear();
        from.getSubjectsList().forEach(s -> subjects.put(s.getSubject(), s));
        under.clear();
        from.getSubjectsList().stream().filter(SubjectState::hasPending)
                .sorted(Comparator.comparingLong(SubjectState::getPendingStep))
                .forEach(s -> under.put(s.getPending().getId(), s.getSubject()));
        outcomes.clear();
        from.getOutcomesList().forEach(o -> outcomes.put(o.getId(), o));
        history.clear();
        history.addAll(from.getHistoryList());
        unread.clear();
        unread.addAll(from.getUnreadList());
        view = null;
    }

    /** A command as {@link ReplicatedRecords#bytes} wrote it; one of a later program is kept whole. */
    public static RuleCommand parseCommand(byte[] bytes) throws InvalidProtocolBufferException {
        return RuleCommand.parseFrom(bytes);
    }
}
