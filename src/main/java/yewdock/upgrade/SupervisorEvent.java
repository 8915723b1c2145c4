package yewdock.upgrade;

import java.util.List;
import yewdock.wire.Frame;

/**
 * An input of {@link SupervisorReducer}. Generations and operator commands are identified by unique numbers.
 */
public sealed interface SupervisorEvent {
    /** The supervisor has opened its listener, so the first generation can start with this program. */
    record ListenerOpened(List<String> program) implements SupervisorEvent {
    }

    /** An operator requests an upgrade to this program; an empty list stands for the one that serves. */
    record UpgradeRequested(long command, List<String> program) implements SupervisorEvent {
    }

    /** An operator requests the status. */
    record StatusRequested(long command) implements SupervisorEvent {
    }

    /** A generation has sent a frame. */
    record FrameReceived(int generation, Frame frame) implements SupervisorEvent {
    }

    /** A generation's connection was closed, or failed because of an unreadable frame. */
    record ConnectionLost(int generation, String reason) implements SupervisorEvent {
    }

    /** A generation's process has exited, or could not be started. */
    record ProcessEnded(int generation, String reason) implements SupervisorEvent {
    }

    /** SIGHUP was received, or the configuration file has changed: generations must reload it. */
    record ReloadRequested() implements SupervisorEvent {
    }

    /** SIGTERM was received: the router must shut down. */
    record ShutdownRequested() implements SupervisorEvent {
    }

    /** The time of {@link SupervisorReducer#nextTimerDue} has come. */
    record Tick() implements SupervisorEvent {
    }
}
