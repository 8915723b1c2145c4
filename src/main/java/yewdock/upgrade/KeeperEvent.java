package yewdock.upgrade;

import java.util.List;
import yewdock.wire.Frame;

/** All that can happen to the keeper. Generations go by numbers, which never repeat; so do commands. */
public sealed interface KeeperEvent {
    /** The keeper has its listener: the first generation is to start. */
    record Begun(List<String> program) implements KeeperEvent {
    }

    /** An operator wants an upgrade to this program, or with an empty list to the one that serves. */
    record Asked(long command, List<String> program) implements KeeperEvent {
    }

    /** An operator wants to know how things stand. */
    record StatusAsked(long command) implements KeeperEvent {
    }

    /** A generation says something. */
    record Heard(int generation, Frame frame) implements KeeperEvent {
    }

    /** A generation's connection is closed, or what came over it makes no sense. */
    record Lost(int generation, String why) implements KeeperEvent {
    }

    /** A generation's process has ended, or could not be started. */
    record Ended(int generation, String how) implements KeeperEvent {
    }

    /** SIGHUP. */
    record HungUp() implements KeeperEvent {
    }

    /** SIGTERM. */
    record Leave() implements KeeperEvent {
    }

    /** Time has passed. */
    record Tick() implements KeeperEvent {
    }
}
