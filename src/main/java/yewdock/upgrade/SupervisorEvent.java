package yewdock.upgrade;

import java.util.List;
import yewdock.wire.Frame;

/** All that can happen to the keeper. Generations go by numbers, which never repeat; so do commands. */
public sealed interface SupervisorEvent {
    /** The keeper has its listener: the first generation is to start. */
    record ListenerOpened(List<String> program) implements SupervisorEvent {
    }

    /** An operator wants an upgrade to this program, or with an empty list to the one that serves. */
    record UpgradeRequested(long command, List<String> program) implements SupervisorEvent {
    }

    /** An operator wants to know how things stand. */
    record StatusRequested(long command) implements SupervisorEvent {
    }

    /** A generation says something. */
    record FrameReceived(int generation, Frame frame) implements SupervisorEvent {
    }

    /** A generation's connection is closed, or what came over it makes no sense. */
    record ConnectionLost(int generation, String reason) implements SupervisorEvent {
    }

    /** A generation's process has ended, or could not be started. */
    record ProcessEnded(int generation, String reason) implements SupervisorEvent {
    }

    /** SIGHUP. */
    record ReloadRequested() implements SupervisorEvent {
    }

    /** SIGTERM. */
    record ShutdownRequested() implements SupervisorEvent {
    }

    /** Time has passed. */
    record Tick() implements SupervisorEvent {
    }
}
