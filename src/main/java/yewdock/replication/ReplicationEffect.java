package yewdock.replication;

import java.util.List;
import java.util.Map;
import yewdock.wire.PeerFrame;

/** The effects that replication asks for. */
public sealed interface ReplicationEffect {
    /** Send a frame to a peer. */
    record SendToPeer(String peer, PeerFrame frame) implements ReplicationEffect {
    }

    /** Close the connection to a peer once all frames sent before are written. */
    record ClosePeer(String peer, String why) implements ReplicationEffect {
    }

    /** Store the records of these keys, changed by a peer's frames or by purging tombstones. */
    record StoreRecords(List<String> keys) implements ReplicationEffect {
    }

    /** Log an event with its fields. */
    record LogEvent(String event, Map<String, Object> fields) implements ReplicationEffect {
    }
}
