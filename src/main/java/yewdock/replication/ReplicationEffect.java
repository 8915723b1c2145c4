package yewdock.replication;

import java.util.List;
import java.util.Map;
import yewdock.wire.PeerFrame;

/** All that an instance's copying can ask for. */
public sealed interface ReplicationEffect {
    /** Send a peer something. */
    record SendToPeer(String peer, PeerFrame frame) implements ReplicationEffect {
    }

    /** Close the connection to a peer, once what was sent is written. */
    record ClosePeer(String peer, String why) implements ReplicationEffect {
    }

    /** These keys have changed here, by what a peer sent or by forgetting: they are to be stored. */
    record StoreRecords(List<String> keys) implements ReplicationEffect {
    }

    /** A line for the log: an event's name and its fields. */
    record LogEvent(String event, Map<String, Object> fields) implements ReplicationEffect {
    }
}
