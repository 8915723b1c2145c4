package yewdock.upgrade;

import java.util.List;
import java.util.Map;
import yewdock.wire.Frame;

/** All that the keeper's reducer can ask for. */
public sealed interface KeeperEffect {
    /** Start a generation's process; the listener is its standard input. */
    record Start(int generation, List<String> program) implements KeeperEffect {
    }

    /** Tell a generation something. */
    record Tell(int generation, Frame frame) implements KeeperEffect {
    }

    /** End a generation's process at once. */
    record Kill(int generation) implements KeeperEffect {
    }

    /** Answer an operator; after the last line the command's process ends with this exit code. */
    record Reply(long command, String line, boolean last, int exit) implements KeeperEffect {
    }

    /** A line for the log: an event's name and its fields. */
    record Note(String event, Map<String, Object> fields) implements KeeperEffect {
    }

    /** Nothing is left to keep: end the keeper with this exit code. */
    record Stop(int exit) implements KeeperEffect {
    }
}
