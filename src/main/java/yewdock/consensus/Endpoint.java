package yewdock.consensus;

import io.microraft.RaftEndpoint;

/**
 * A member as Raft knows it: an instance's name and the disk that remembers its votes. An instance that
 * comes back with an empty disk is another member, for it has forgotten what it voted.
 *
 * @param id the name, "#", and the disk's own number
 */
record Endpoint(String id) implements RaftEndpoint {
    private static final char DISK = '#';

    static Endpoint of(String name, String disk) {
        return new Endpoint(name + DISK + disk);
    }

    String name() {
        return id.substring(0, id.lastIndexOf(DISK));
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
