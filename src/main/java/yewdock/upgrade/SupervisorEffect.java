package yewdock.upgrade;

import java.util.List;
import java.util.Map;
import yewdock.wire.Frame;

/** All that the keeper's reducer can ask for. */
public sealed interface SupervisorEffect {
    /** Start a generation's process; the listener is its standard input. */
    record StartProcess(int generation, List<String> program) implements SupervisorEffect {
    }

    /** Tell a generation something. */
    record SendFrame(int generation, Frame frame) implements SupervisorEffect {
    }

    /** End a generation's process at once. */
    record KillProcess(int generation) implements SupervisorEffect {
    }

    /** Answer an operator; after the last line the command's process ends with this exit code. */
    record Reply(long command, String line, boolean last, int exit) implements SupervisorEffect {
    }

    /** A line for the log: an event's name and its fields. */
    record WriteLog(String event, Map<String, Object> fields) implements SupervisorEffect {
    }

    /** Nothing is left to keep: end the keeper with this exit code. */
    record ExitSupervisor(int exit) implements SupervisorEffect {
    }
}
