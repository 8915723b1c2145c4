package yewdock.consensus;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import yewdock.rules.RuleStateMachine;
import yewdock.state.ReplicatedRecords;
import yewdock.wire.Feed;
import yewdock.wire.RuleCommand;

/** The most recent committed commands, used to bring routers up to date that are slightly behind. No I/O. */
final class CommandBacklog {
    private static final int MAX_COMMANDS = 2_000;
    private static final int MAX_BYTES = 1 << 20;

    private final ArrayDeque<Step> steps = new ArrayDeque<>();
    private long bytes;

    private record Step(long step, long chain, ByteString command) {
    }

    /** Adds a command that was just applied; the rules are those after it. */
    void add(RuleCommand command, RuleStateMachine rules) {
        if (!steps.isEmpty() && steps.peekLast().step != rules.step() - 1) {
            steps.clear();
            bytes = 0;
        }
        ByteString serialized = ByteString.copyFrom(ReplicatedRecords.bytes(command));
        steps.add(new Step(rules.step(), rules.chain(), serialized));
        bytes += serialized.size();
        while (steps.size() > MAX_COMMANDS || bytes > MAX_BYTES && steps.size() > 1) {
            bytes -= steps.remove().command.size();
        }
    }

    /** Whether another instance's rules at this step match; true if the step is too old to be compared. */
    boolean matches(long step, long chain) {
        Iterator<Step> newest = steps.descendingIterator();
        while (newest.hasNext()) {
            Step candidate = newest.next();
            if (candidate.step <= step) {
                return candidate.step != step || candidate.chain == chain;
            }
        }
        return true;
    }

    /** The commands after this step, or a snapshot if they are no longer held; null if there are none. */
    Feed feedAfter(long step, RuleStateMachine rules) {
        if (step >= rules.step()) {
            return null;
        }
        if (steps.isEmpty() || steps.peekLast().step != rules.step() || steps.peekFirst().step > step + 1) {
            return snapshotFeed(rules);
        }
        List<ByteString> commands = new ArrayList<>();
        for (Step candidate : steps) {
            if (candidate.step > step) {
                commands.add(candidate.command);
            }
        }
        return Feed.newBuilder().setAfter(step).addAllCommands(commands).build();
    }

    /** A feed with a snapshot of the rules. */
    static Feed snapshotFeed(RuleStateMachine rules) {
        return Feed.newBuilder().setSnapshot(rules.snapshot()).build();
    }
}
