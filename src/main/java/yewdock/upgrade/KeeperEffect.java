package yewdock.upgrade;

import java.util.List;
import java.util.Map;
import yewdock.wire.Frame;

/** An action that {@link Upgrade} asks the supervisor to execute. */
public sealed interface KeeperEffect {
    /** Starts a generation's process with the listener as its standard input. */
    record Start(int generation, List<String> program) implements KeeperEffect {
    }

    /** Sends a frame to a generation. */
    record Tell(int generation, Frame frame) implements KeeperEffect {
    }

    /** Kills a generation's process. */
    record Kill(int generation) implements KeeperEffect {
    }

    /** Sends a line to an operator; after the last one the operator's command exits with this code. */
    record Reply(long command, String line, boolean last, int exit) implements KeeperEffect {
    }

    /** Writes a log line: the name of an event and its fields. */
    record Note(String event, Map<String, Object> fields) implements KeeperEffect {
    }

    /** Ends the supervisor with this exit code; no generation is left. */
    record Stop(int exit) implements KeeperEffect {
    }
}
