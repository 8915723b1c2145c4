package yewdock.rules;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import yewdock.state.ReplicatedRecords;
import yewdock.wire.RuleChange;
import yewdock.wire.RuleCommand;
import yewdock.wire.RuleOutcome;
import yewdock.wire.RuleValue;
import yewdock.wire.Withdrawal;

class RulesTest {
    private final RuleStateMachine rules = new RuleStateMachine();

    private static RuleChange.Builder change(String id, String subject, long base) {
        return RuleChange.newBuilder().setId(id).setWho("staff").setSubject(subject).setBase(base);
    }

    private static RuleValue out() {
        return RuleValue.newBuilder().setOut(true).build();
    }

    private static RuleValue share(double share) {
        return RuleValue.newBuilder().setShare(share).build();
    }

    private static RuleCommand prepare(RuleChange.Builder change) {
        return RuleCommand.newBuilder().setPrepare(change).build();
    }

    private static RuleCommand force(String id) {
        return RuleCommand.newBuilder().setForce(id).build();
    }

    private static RuleCommand withdraw(String id) {
        return RuleCommand.newBuilder().setWithdraw(Withdrawal.newBuilder().setId(id)).build();
    }

    private ChangeRejection refused(RuleCommand command) {
        return ChangeRejection.of(rules.apply(command).getRefusal());
    }

    @Test
    void aChangeIsPreparedAndThenTakesForce() {
        assertEquals(null, refused(prepare(change("a", "box/s-1", 0).setValue(out()))));
        assertEquals(Set.of("s-1"), rules.view().cordonedServers());
        assertEquals(0, rules.revision());
        rules.apply(force("a"));
        assertEquals(1, rules.revision("box/s-1"));
        rules.apply(prepare(change("b", "box/s-1", 1)));
        assertEquals(Set.of("s-1"), rules.view().cordonedServers(), "not back before all know");
        rules.apply(force("b"));
        assertEquals(Set.of(), rules.view().cordonedServers());
        assertEquals(List.of("a", "b"), rules.history().stream().map(h -> h.getChange().getId()).toList());
    }

    @Test
    void whatCannotBeIsRefusedAndChangesNothing() {
        rules.apply(prepare(change("a", "share/birgunj", 0).setValue(share(5))));
        assertEquals(ChangeRejection.ALREADY_PENDING,
                refused(prepare(change("b", "share/birgunj", 0).setValue(share(6)))));
        rules.apply(force("a"));
        assertEquals(ChangeRejection.STALE,
                refused(prepare(change("c", "share/birgunj", 0).setValue(share(6)))));
        assertEquals(ChangeRejection.UNCHANGED,
                refused(prepare(change("d", "share/birgunj", 1).setValue(share(5)))));
        assertEquals(ChangeRejection.NOT_PENDING, refused(force("never")));
        assertEquals(ChangeRejection.TOO_LARGE, refused(prepare(change("e", "share/birgunj", 1)
                .setWhy("x".repeat(RuleStateMachine.MAX_CHANGE_BYTES)))));
        assertEquals(5, rules.view().rateLimits().get("birgunj"));
        for (int i = rules.subjects().size(); i < RuleStateMachine.MAX_SUBJECTS; i++) {
            rules.apply(prepare(change("f" + i, "box/" + i, 0).setValue(out())));
        }
        assertEquals(ChangeRejection.TOO_MANY_SUBJECTS,
                refused(prepare(change("g", "box/last", 0).setValue(out()))));
    }

    @Test
    void flawsAreFoundBeforeAnybodyIsAsked() {
        assertEquals(ChangeRejection.INVALID, RuleStateMachine.validate(change("a", "moon/1", 0).build()));
        assertEquals(ChangeRejection.INVALID,
                RuleStateMachine.validate(change("a", "box/", 0).setValue(out()).build()));
        assertEquals(ChangeRejection.INVALID,
                RuleStateMachine.validate(change("a", "share/x", 0).setValue(share(-1)).build()));
        assertEquals(ChangeRejection.INVALID,
                RuleStateMachine.validate(change("a", "share/x", 0).setValue(share(Double.NaN)).build()));
        assertEquals(ChangeRejection.INVALID,
                RuleStateMachine.validate(change("", "box/x", 0).setValue(out()).build()));
        assertEquals(null, RuleStateMachine.validate(change("a", "setting/k", 0)
                .setValue(RuleValue.newBuilder().setText("v")).build()));
    }

    /**
     * A retry whose first answer was lost gets that answer, also once the change is in force or withdrawn.
     */
    @Test
    void theSameChangeIsAppliedOnce() {
        RuleCommand ask = prepare(change("a", "box/s-1", 0).setValue(out()));
        RuleOutcome first = rules.apply(ask);
        assertEquals(first, rules.apply(ask));
        rules.apply(force("a"));
        assertEquals(1, rules.apply(ask).getRevision());
        assertEquals(1, rules.apply(force("a")).getRevision());
        assertEquals(1, rules.revision());
        rules.apply(prepare(change("b", "box/s-2", 0).setValue(out())));
        assertTrue(rules.apply(withdraw("b")).getWithdrawn());
        assertTrue(rules.apply(force("b")).getWithdrawn());
        assertEquals(Set.of("s-1"), rules.view().cordonedServers());
    }

    /** Kinds of a later program take force and are kept; this program's routers don't act by them. */
    @Test
    void whatALaterProgramKnowsIsKeptAndNotActedOn() throws InvalidProtocolBufferException {
        RuleValue later = RuleValue.newBuilder().setUnknownFields(UnknownFieldSet.newBuilder().addField(99,
                UnknownFieldSet.Field.newBuilder().addVarint(7).build()).build()).build();
        rules.apply(prepare(change("a", "moon/1", 0).setValue(later)));
        rules.apply(force("a"));
        RuleCommand unknown = RuleStateMachine.parseCommand(new byte[] {(byte) 0x82, 0x08, 0x01, 0x41});
        rules.apply(unknown);
        RuleStateMachine next = new RuleStateMachine();
        next.install(rules.snapshot());
        assertEquals(later, next.subjects().get(0).getValue());
        assertEquals(List.of(ByteString.copyFrom(ReplicatedRecords.bytes(unknown))),
                next.snapshot().getUnreadList());
        assertEquals(3, next.view().step());
        assertEquals(Set.of(), next.view().cordonedServers());
    }

    /** Any commands, taken through a snapshot at any point or not, make the same bytes and the same chain. */
    @Property(tries = 300)
    void aSnapshotAtAnyPointGoesOnTheSame(@ForAll @Size(max = 60) List<@IntRange(max = 719) Integer> draws,
            @ForAll @IntRange(max = 60) int at) {
        RuleStateMachine whole = new RuleStateMachine();
        RuleStateMachine through = new RuleStateMachine();
        int i = 0;
        for (int draw : draws) {
            String id = "c" + draw % 12;
            String subject = RuleKind.values()[draw / 12 % 3].subject("x" + draw / 36 % 2);
            RuleCommand command = switch (draw / 72 % 4) {
                case 0, 1 -> prepare(change(id, subject, whole.revision(subject)).setValue(
                        subject.startsWith("box") ? out() : share(draw % 7)));
                case 2 -> force(id);
                default -> withdraw(id);
            };
            if (i++ == at) {
                RuleStateMachine next = new RuleStateMachine();
                next.install(through.snapshot());
                through = next;
            }
            assertEquals(whole.apply(command), through.apply(command));
        }
        assertArrayEquals(ReplicatedRecords.bytes(whole.snapshot()),
                ReplicatedRecords.bytes(through.snapshot()));
        assertEquals(whole.chain(), through.chain());
        assertEquals(whole.view(), through.view());
    }

    @Test
    void differentHistoriesHaveDifferentChains() {
        RuleStateMachine other = new RuleStateMachine();
        rules.apply(prepare(change("a", "box/s-1", 0).setValue(out())));
        other.apply(prepare(change("a", "box/s-2", 0).setValue(out())));
        assertFalse(rules.chain() == other.chain());
    }

    @Test
    void betweenTwoValuesNothingThatEitherContradicts() {
        assertEquals(out(), RuleKind.SERVER.between(out(), null));
        assertEquals(out(), RuleKind.SERVER.between(null, out()));
        assertEquals(share(3), RuleKind.RATE_LIMIT.between(share(3), share(8)));
        assertEquals(share(3), RuleKind.RATE_LIMIT.between(share(8), share(3)));
        assertEquals(share(3), RuleKind.RATE_LIMIT.between(null, share(3)));
    }

    @Test
    void everyRefusalSaysWhatToDo() {
        Set<String> texts = new HashSet<>();
        for (ChangeRejection r : ChangeRejection.values()) {
            assertEquals(r, ChangeRejection.of(r.number()));
            assertTrue(r.message().contains("; "), r.message());
            assertTrue(texts.add(r.message()));
        }
        assertEquals(null, ChangeRejection.of(0));
    }
}
