package yewdock.replication;

import java.util.List;
import yewdock.wire.PeerFrame;

/** The events of replication. Peers are identified by their names in the operator's configuration. */
public sealed interface ReplicationEvent {
    /** A connection with a peer was established, by either side. */
    record PeerConnected(String peer) implements ReplicationEvent {
    }

    /** A frame from a peer was received. */
    record PeerFrameReceived(String peer, PeerFrame frame) implements ReplicationEvent {
    }

    /** The connection with a peer was closed. */
    record PeerDisconnected(String peer, String why) implements ReplicationEvent {
    }

    /** Records of these keys were written by this instance. */
    record RecordsChanged(List<String> keys) implements ReplicationEvent {
    }

    /** The timer is due, see {@link Replicator#nextTickDue}. */
    record Tick() implements ReplicationEvent {
    }
}
