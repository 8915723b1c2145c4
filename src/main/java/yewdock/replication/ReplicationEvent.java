package yewdock.replication;

import java.util.List;
import yewdock.wire.PeerFrame;

/** All that can happen to an instance's copying. Peers go by their names in the operator's file. */
public sealed interface ReplicationEvent {
    /** A connection to a peer stands, made by either side. */
    record PeerConnected(String peer) implements ReplicationEvent {
    }

    /** A peer says something. */
    record PeerFrameReceived(String peer, PeerFrame frame) implements ReplicationEvent {
    }

    /** The connection to a peer is gone. */
    record PeerDisconnected(String peer, String why) implements ReplicationEvent {
    }

    /** These keys have been written here. */
    record RecordsChanged(List<String> keys) implements ReplicationEvent {
    }

    /** Time has passed. */
    record Tick() implements ReplicationEvent {
    }
}
