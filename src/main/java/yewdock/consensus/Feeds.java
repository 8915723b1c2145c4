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

/** The last commands of the rules, from which a router that is a little behind is brought up; pure. */
final class Feeds {
    private static final int MOST = 2_000;
    private static final int MOST_BYTES = 1 << 20;

    private final ArrayDeque<Step> steps = new ArrayDeque<>();
    private long bytes;

    private record Step(long step, long chain, ByteString command) {
    }

    /** A command was taken, and the rules stand so now. */
    void add(RuleCommand command, RuleStateMachine rules) {
        if (!steps.isEmpty() && steps.peekLast().step != rules.step() - 1) {
            steps.clear();
            bytes = 0;
        }
        ByteString form = ByteString.copyFrom(ReplicatedRecords.bytes(command));
        steps.add(new Step(rules.step(), rules.chain(), form));
        bytes += form.size();
        while (steps.size() > MOST || bytes > MOST_BYTES && steps.size() > 1) {
            bytes -= steps.remove().command.size();
        }
    }

    /** Whether rules of another instance at that step are these; true where that is too long ago to tell. */
    boolean same(long step, long chain) {
        Iterator<Step> newest = steps.descendingIterator();
        while (newest.hasNext()) {
            Step s = newest.next();
            if (s.step <= step) {
                return s.step != step || s.chain == chain;
            }
        }
        return true;
    }

    /** What brings a router up from this step; null if there is nothing to tell it. */
    Feed after(long step, RuleStateMachine rules) {
        if (step >= rules.step()) {
            return null;
        }
        if (steps.isEmpty() || steps.peekLast().step != rules.step() || steps.peekFirst().step > step + 1) {
            return whole(rules);
        }
        List<ByteString> commands = new ArrayList<>();
        for (Step s : steps) {
            if (s.step > step) {
                commands.add(s.command);
            }
        }
        return Feed.newBuilder().setAfter(step).addAllCommands(commands).build();
    }

    /** The rules themselves. */
    static Feed whole(RuleStateMachine rules) {
        return Feed.newBuilder().setSnapshot(rules.snapshot()).build();
    }
}
