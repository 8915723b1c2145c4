package yewdock.faults;

/** What discovery says of a server. */
enum EndpointState {
    UP("up"), DRAINING("draining"), REMOVED("removed");

    private final String word;

    EndpointState(String word) {
        this.word = word;
    }

    /** The state as the protocol spells it. */
    String word() {
        return word;
    }
}
