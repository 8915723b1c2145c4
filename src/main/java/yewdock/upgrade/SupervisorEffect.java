package yewdock.upgrade;

import java.util.List;
import java.util.Map;
import yewdock.wire.Frame;

/** An action that {@link SupervisorReducer} asks the supervisor to execute. */
public sealed interface SupervisorEffect {
    /** Starts a generation's process with the listener as its standard input. */
    record StartProcess(int generation, List<String> program) implements SupervisorEffect {
    }

    /** Sends a frame to a generation. */
    record SendFrame(int generation, Frame frame) implements SupervisorEffect {
    }

    /** Kills a generation's process. */
    record KillProcess(int generation) implements SupervisorEffect {
    }

    /** Sends a line to an operator; after the last one the operator's command exits with this code. */
    record Reply(long command, String line, boolean last, int exit) implements SupervisorEffect {
    }

    /** Writes a log line: the name of an event and its fields. */
    record WriteLog(String event, Map<String, Object> fields) implements SupervisorEffect {
    }

    /** Ends the supervisor with this exit code; no generation is left. */
    record ExitSupervisor(int exit) implements SupervisorEffect {
    }
}
