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

class RuleStateMachineTest {
    private final RuleStateMachine rules = new RuleStateMachine();

    private static RuleChange.Builder change(String id, String subject, long base) {
        return RuleChange.newBuilder().setId(id).setWho("staff").setSubject(subject).setBase(base);
    }

    private static RuleValue noNewRequests() {
        return RuleValue.newBuilder().setOut(true).build();
    }

    private static RuleValue rateLimit(double share) {
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

    private ChangeRejection rejectionOf(RuleCommand command) {
        return ChangeRejection.of(rules.apply(command).getRefusal());
    }

    @Test
    void aChangeIsPreparedAndThenTakesEffect() {
        assertEquals(null, rejectionOf(prepare(change("a", "box/s-1", 0).setValue(noNewRequests()))));
        assertEquals(Set.of("s-1"), rules.view().cordonedServers());
        assertEquals(0, rules.revision());
        rules.apply(force("a"));
        assertEquals(1, rules.revision("box/s-1"));
        rules.apply(prepare(change("b", "box/s-1", 1)));
        assertEquals(Set.of("s-1"), rules.view().cordonedServers(),
                "the server must get no requests until the change has taken effect");
        rules.apply(force("b"));
        assertEquals(Set.of(), rules.view().cordonedServers());
        assertEquals(List.of("a", "b"), rules.history().stream().map(h -> h.getChange().getId()).toList());
    }

    @Test
    void invalidCommandsAreRejectedAndChangeNothing() {
        rules.apply(prepare(change("a", "share/birgunj", 0).setValue(rateLimit(5))));
        assertEquals(ChangeRejection.ALREADY_PENDING, rejectionOf(prepare(change("b", "share/birgunj", 0)
                .setValue(rateLimit(6)))));
        rules.apply(force("a"));
        assertEquals(ChangeRejection.STALE, rejectionOf(prepare(change("c", "share/birgunj", 0)
                .setValue(rateLimit(6)))));
        assertEquals(ChangeRejection.UNCHANGED, rejectionOf(prepare(change("d", "share/birgunj", 1)
                .setValue(rateLimit(5)))));
        assertEquals(ChangeRejection.NOT_PENDING, rejectionOf(force("never")));
        assertEquals(ChangeRejection.TOO_LARGE, rejectionOf(prepare(change("e", "share/birgunj", 1)
                .setWhy("x".repeat(RuleStateMachine.MAX_CHANGE_BYTES)))));
        assertEquals(5, rules.view().rateLimits().get("birgunj"));
        for (int i = rules.subjects().size(); i < RuleStateMachine.MAX_SUBJECTS; i++) {
            rules.apply(prepare(change("f" + i, "box/" + i, 0).setValue(noNewRequests())));
        }
        assertEquals(ChangeRejection.TOO_MANY_SUBJECTS, rejectionOf(prepare(change("g", "box/last", 0)
                .setValue(noNewRequests()))));
    }

    @Test
    void invalidChangesAreFoundBeforeTheyAreProposed() {
        assertEquals(ChangeRejection.INVALID, RuleStateMachine.validate(change("a", "moon/1", 0).build()));
        assertEquals(ChangeRejection.INVALID,
                RuleStateMachine.validate(change("a", "box/", 0).setValue(noNewRequests()).build()));
        assertEquals(ChangeRejection.INVALID,
                RuleStateMachine.validate(change("a", "share/x", 0).setValue(rateLimit(-1)).build()));
        assertEquals(ChangeRejection.INVALID,
                RuleStateMachine.validate(change("a", "share/x", 0).setValue(rateLimit(Double.NaN)).build()));
        assertEquals(ChangeRejection.INVALID,
                RuleStateMachine.validate(change("", "box/x", 0).setValue(noNewRequests()).build()));
        assertEquals(null, RuleStateMachine.validate(change("a", "setting/k", 0)
                .setValue(RuleValue.newBuilder().setText("v")).build()));
    }

    /** A retry after a lost answer gets the same outcome, also once the change is in effect or withdrawn. */
    @Test
    void theSameChangeIsAppliedOnce() {
        RuleCommand command = prepare(change("a", "box/s-1", 0).setValue(noNewRequests()));
        RuleOutcome first = rules.apply(command);
        assertEquals(first, rules.apply(command));
        rules.apply(force("a"));
        assertEquals(1, rules.apply(command).getRevision());
        assertEquals(1, rules.apply(force("a")).getRevision());
        assertEquals(1, rules.revision());
        rules.apply(prepare(change("b", "box/s-2", 0).setValue(noNewRequests())));
        assertTrue(rules.apply(withdraw("b")).getWithdrawn());
        assertTrue(rules.apply(force("b")).getWithdrawn());
        assertEquals(Set.of("s-1"), rules.view().cordonedServers());
    }

    /** Kinds of rules that only newer versions know are replicated and kept, but not applied. */
    @Test
    void rulesOfNewerVersionsAreKeptAndNotApplied() throws InvalidProtocolBufferException {
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

    /** Any commands give the same bytes and chain whether or not a snapshot is installed in between. */
    @Property(tries = 300)
    void aSnapshotAtAnyPointChangesNothing(@ForAll @Size(max = 60) List<@IntRange(max = 719) Integer> draws,
            @ForAll @IntRange(max = 60) int snapshotAt) {
        RuleStateMachine direct = new RuleStateMachine();
        RuleStateMachine viaSnapshot = new RuleStateMachine();
        int i = 0;
        for (int draw : draws) {
            String id = "c" + draw % 12;
            String subject = RuleKind.values()[draw / 12 % 3].subject("x" + draw / 36 % 2);
            RuleCommand command = switch (draw / 72 % 4) {
                case 0, 1 -> prepare(change(id, subject, direct.revision(subject)).setValue(
                        subject.startsWith("box") ? noNewRequests() : rateLimit(draw % 7)));
                case 2 -> force(id);
                default -> withdraw(id);
            };
            if (i++ == snapshotAt) {
                RuleStateMachine next = new RuleStateMachine();
                next.install(viaSnapshot.snapshot());
                viaSnapshot = next;
            }
            assertEquals(direct.apply(command), viaSnapshot.apply(command));
        }
        assertArrayEquals(ReplicatedRecords.bytes(direct.snapshot()),
                ReplicatedRecords.bytes(viaSnapshot.snapshot()));
        assertEquals(direct.chain(), viaSnapshot.chain());
        assertEquals(direct.view(), viaSnapshot.view());
    }

    @Test
    void differentHistoriesHaveDifferentChains() {
        RuleStateMachine other = new RuleStateMachine();
        rules.apply(prepare(change("a", "box/s-1", 0).setValue(noNewRequests())));
        other.apply(prepare(change("a", "box/s-2", 0).setValue(noNewRequests())));
        assertFalse(rules.chain() == other.chain());
    }

    @Test
    void thePendingValueContradictsNeitherOldNorNew() {
        assertEquals(noNewRequests(), RuleKind.SERVER.pendingValue(noNewRequests(), null));
        assertEquals(noNewRequests(), RuleKind.SERVER.pendingValue(null, noNewRequests()));
        assertEquals(rateLimit(3), RuleKind.RATE_LIMIT.pendingValue(rateLimit(3), rateLimit(8)));
        assertEquals(rateLimit(3), RuleKind.RATE_LIMIT.pendingValue(rateLimit(8), rateLimit(3)));
        assertEquals(rateLimit(3), RuleKind.RATE_LIMIT.pendingValue(null, rateLimit(3)));
    }

    @Test
    void everyRejectionSaysWhatToDo() {
        Set<String> texts = new HashSet<>();
        for (ChangeRejection rejection : ChangeRejection.values()) {
            assertEquals(rejection, ChangeRejection.of(rejection.number()));
            assertTrue(rejection.message().contains("; "), rejection.message());
            assertTrue(texts.add(rejection.message()));
        }
        assertEquals(null, ChangeRejection.of(0));
    }
}
