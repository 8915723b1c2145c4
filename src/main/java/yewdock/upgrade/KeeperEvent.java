package yewdock.upgrade;

import java.util.List;
import yewdock.wire.Frame;

/** An input of {@link Upgrade}. Generations and operator commands are identified by unique numbers. */
public sealed interface KeeperEvent {
    /** The supervisor has opened its listener, so the first generation can start with this program. */
    record Begun(List<String> program) implements KeeperEvent {
    }

    /** An operator requests an upgrade to this program; an empty list stands for the one that serves. */
    record Asked(long command, List<String> program) implements KeeperEvent {
    }

    /** An operator requests the status. */
    record StatusAsked(long command) implements KeeperEvent {
    }

    /** A generation has sent a frame. */
    record Heard(int generation, Frame frame) implements KeeperEvent {
    }

    /** A generation's connection was closed, or failed because of an unreadable frame. */
    record Lost(int generation, String why) implements KeeperEvent {
    }

    /** A generation's process has exited, or could not be started. */
    record Ended(int generation, String how) implements KeeperEvent {
    }

    /** SIGHUP was received, or the configuration file has changed: generations must reload it. */
    record HungUp() implements KeeperEvent {
    }

    /** SIGTERM was received: the router must shut down. */
    record Leave() implements KeeperEvent {
    }

    /** The time of {@link Upgrade#nextDue} has come. */
    record Tick() implements KeeperEvent {
    }
}
