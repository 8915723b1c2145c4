package yewdock.replica;

import java.util.List;
import java.util.Map;
import yewdock.wire.PeerFrame;

/** The effects that replication asks for. */
public sealed interface ReplicaEffect {
    /** Send a frame to a peer. */
    record Send(String peer, PeerFrame frame) implements ReplicaEffect {
    }

    /** Close the connection to a peer once all frames sent before are written. */
    record Close(String peer, String why) implements ReplicaEffect {
    }

    /** Store the records of these keys, changed by a peer's frames or by purging tombstones. */
    record Store(List<String> keys) implements ReplicaEffect {
    }

    /** Log an event with its fields. */
    record Note(String event, Map<String, Object> fields) implements ReplicaEffect {
    }
}
