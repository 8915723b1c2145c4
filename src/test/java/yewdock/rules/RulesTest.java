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
import yewdock.state.Records;
import yewdock.wire.RuleChange;
import yewdock.wire.RuleCommand;
import yewdock.wire.RuleOutcome;
import yewdock.wire.RuleValue;
import yewdock.wire.Withdrawal;

class RulesTest {
    private final Rules rules = new Rules();

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

    private Refusal rejectionOf(RuleCommand command) {
        return Refusal.of(rules.take(command).getRefusal());
    }

    @Test
    void aChangeIsPreparedAndThenTakesEffect() {
        assertEquals(null, rejectionOf(prepare(change("a", "box/s-1", 0).setValue(noNewRequests()))));
        assertEquals(Set.of("s-1"), rules.view().out());
        assertEquals(0, rules.revision());
        rules.take(force("a"));
        assertEquals(1, rules.revision("box/s-1"));
        rules.take(prepare(change("b", "box/s-1", 1)));
        assertEquals(Set.of("s-1"), rules.view().out(),
                "the server must get no requests until the change has taken effect");
        rules.take(force("b"));
        assertEquals(Set.of(), rules.view().out());
        assertEquals(List.of("a", "b"), rules.history().stream().map(h -> h.getChange().getId()).toList());
    }

    @Test
    void invalidCommandsAreRejectedAndChangeNothing() {
        rules.take(prepare(change("a", "share/birgunj", 0).setValue(rateLimit(5))));
        assertEquals(Refusal.UNDER_WAY, rejectionOf(prepare(change("b", "share/birgunj", 0)
                .setValue(rateLimit(6)))));
        rules.take(force("a"));
        assertEquals(Refusal.STALE, rejectionOf(prepare(change("c", "share/birgunj", 0)
                .setValue(rateLimit(6)))));
        assertEquals(Refusal.SAME, rejectionOf(prepare(change("d", "share/birgunj", 1)
                .setValue(rateLimit(5)))));
        assertEquals(Refusal.NOT_UNDER_WAY, rejectionOf(force("never")));
        assertEquals(Refusal.TOO_LARGE, rejectionOf(prepare(change("e", "share/birgunj", 1)
                .setWhy("x".repeat(Rules.MOST_BYTES)))));
        assertEquals(5, rules.view().shares().get("birgunj"));
        for (int i = rules.subjects().size(); i < Rules.MOST_SUBJECTS; i++) {
            rules.take(prepare(change("f" + i, "box/" + i, 0).setValue(noNewRequests())));
        }
        assertEquals(Refusal.FULL, rejectionOf(prepare(change("g", "box/last", 0)
                .setValue(noNewRequests()))));
    }

    @Test
    void invalidChangesAreFoundBeforeTheyAreProposed() {
        assertEquals(Refusal.UNFIT, Rules.flaw(change("a", "moon/1", 0).build()));
        assertEquals(Refusal.UNFIT, Rules.flaw(change("a", "box/", 0).setValue(noNewRequests()).build()));
        assertEquals(Refusal.UNFIT, Rules.flaw(change("a", "share/x", 0).setValue(rateLimit(-1)).build()));
        assertEquals(Refusal.UNFIT,
                Rules.flaw(change("a", "share/x", 0).setValue(rateLimit(Double.NaN)).build()));
        assertEquals(Refusal.UNFIT, Rules.flaw(change("", "box/x", 0).setValue(noNewRequests()).build()));
        assertEquals(null, Rules.flaw(change("a", "setting/k", 0)
                .setValue(RuleValue.newBuilder().setText("v")).build()));
    }

    /** A retry after a lost answer gets the same outcome, also once the change is in effect or withdrawn. */
    @Test
    void theSameChangeIsAppliedOnce() {
        RuleCommand command = prepare(change("a", "box/s-1", 0).setValue(noNewRequests()));
        RuleOutcome first = rules.take(command);
        assertEquals(first, rules.take(command));
        rules.take(force("a"));
        assertEquals(1, rules.take(command).getRevision());
        assertEquals(1, rules.take(force("a")).getRevision());
        assertEquals(1, rules.revision());
        rules.take(prepare(change("b", "box/s-2", 0).setValue(noNewRequests())));
        assertTrue(rules.take(withdraw("b")).getWithdrawn());
        assertTrue(rules.take(force("b")).getWithdrawn());
        assertEquals(Set.of("s-1"), rules.view().out());
    }

    /** Kinds of rules that only newer versions know are replicated and kept, but not applied. */
    @Test
    void rulesOfNewerVersionsAreKeptAndNotApplied() throws InvalidProtocolBufferException {
        RuleValue later = RuleValue.newBuilder().setUnknownFields(UnknownFieldSet.newBuilder().addField(99,
                UnknownFieldSet.Field.newBuilder().addVarint(7).build()).build()).build();
        rules.take(prepare(change("a", "moon/1", 0).setValue(later)));
        rules.take(force("a"));
        RuleCommand unknown = Rules.read(new byte[] {(byte) 0x82, 0x08, 0x01, 0x41});
        rules.take(unknown);
        Rules next = new Rules();
        next.install(rules.snapshot());
        assertEquals(later, next.subjects().get(0).getValue());
        assertEquals(List.of(ByteString.copyFrom(Records.bytes(unknown))), next.snapshot().getUnreadList());
        assertEquals(3, next.view().step());
        assertEquals(Set.of(), next.view().out());
    }

    /** Any commands give the same bytes and chain whether or not a snapshot is installed in between. */
    @Property(tries = 300)
    void aSnapshotAtAnyPointChangesNothing(@ForAll @Size(max = 60) List<@IntRange(max = 719) Integer> draws,
            @ForAll @IntRange(max = 60) int snapshotAt) {
        Rules direct = new Rules();
        Rules viaSnapshot = new Rules();
        int i = 0;
        for (int draw : draws) {
            String id = "c" + draw % 12;
            String subject = Kind.values()[draw / 12 % 3].subject("x" + draw / 36 % 2);
            RuleCommand command = switch (draw / 72 % 4) {
                case 0, 1 -> prepare(change(id, subject, direct.revision(subject)).setValue(
                        subject.startsWith("box") ? noNewRequests() : rateLimit(draw % 7)));
                case 2 -> force(id);
                default -> withdraw(id);
            };
            if (i++ == snapshotAt) {
                Rules next = new Rules();
                next.install(viaSnapshot.snapshot());
                viaSnapshot = next;
            }
            assertEquals(direct.take(command), viaSnapshot.take(command));
        }
        assertArrayEquals(Records.bytes(direct.snapshot()), Records.bytes(viaSnapshot.snapshot()));
        assertEquals(direct.chain(), viaSnapshot.chain());
        assertEquals(direct.view(), viaSnapshot.view());
    }

    @Test
    void differentHistoriesHaveDifferentChains() {
        Rules other = new Rules();
        rules.take(prepare(change("a", "box/s-1", 0).setValue(noNewRequests())));
        other.take(prepare(change("a", "box/s-2", 0).setValue(noNewRequests())));
        assertFalse(rules.chain() == other.chain());
    }

    @Test
    void thePendingValueContradictsNeitherOldNorNew() {
        assertEquals(noNewRequests(), Kind.BOX.between(noNewRequests(), null));
        assertEquals(noNewRequests(), Kind.BOX.between(null, noNewRequests()));
        assertEquals(rateLimit(3), Kind.SHARE.between(rateLimit(3), rateLimit(8)));
        assertEquals(rateLimit(3), Kind.SHARE.between(rateLimit(8), rateLimit(3)));
        assertEquals(rateLimit(3), Kind.SHARE.between(null, rateLimit(3)));
    }

    @Test
    void everyRejectionSaysWhatToDo() {
        Set<String> texts = new HashSet<>();
        for (Refusal rejection : Refusal.values()) {
            assertEquals(rejection, Refusal.of(rejection.number()));
            assertTrue(rejection.text().contains("; "), rejection.text());
            assertTrue(texts.add(rejection.text()));
        }
        assertEquals(null, Refusal.of(0));
    }
}
