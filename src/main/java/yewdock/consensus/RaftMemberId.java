package yewdock.consensus;

import io.microraft.RaftEndpoint;

/**
 * Identifies a Raft member by its instance and its disk. An instance that comes back with an empty disk has
 * forgotten its votes, so it has to count as a different member.
 *
 * @param id the instance's name, "#", and the number of its disk
 */
record RaftMemberId(String id) implements RaftEndpoint {
    private static final char DISK_SEPARATOR = '#';

    static RaftMemberId of(String instance, String diskNumber) {
        return new RaftMemberId(instance + DISK_SEPARATOR + diskNumber);
    }

    /** The name of the instance. */
    String instance() {
        return id.substring(0, id.lastIndexOf(DISK_SEPARATOR));
    }

    @Override
    public Object getId() {
        return id;
    }

    @Override
    public String toString() {
        return id;
    }
}
