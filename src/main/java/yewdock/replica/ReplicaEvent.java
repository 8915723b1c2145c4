package yewdock.replica;

import java.util.List;
import yewdock.wire.PeerFrame;

/** The events of replication. Peers are identified by their names in the operator's configuration. */
public sealed interface ReplicaEvent {
    /** A connection with a peer was established, by either side. */
    record Up(String peer) implements ReplicaEvent {
    }

    /** A frame from a peer was received. */
    record Heard(String peer, PeerFrame frame) implements ReplicaEvent {
    }

    /** The connection with a peer was closed. */
    record Down(String peer, String why) implements ReplicaEvent {
    }

    /** Records of these keys were written by this instance. */
    record Changed(List<String> keys) implements ReplicaEvent {
    }

    /** The timer is due, see {@link Replica#nextDue}. */
    record Tick() implements ReplicaEvent {
    }
}
