package yewdock.faults;

/** The state of a server in the endpoint list. */
enum EndpointState {
    UP("up"), DRAINING("draining"), REMOVED("removed");

    private final String protocolName;

    EndpointState(String word) {
        this.protocolName = word;
    }

    /** Returns the value of the "state" field in the endpoint list. */
    String protocolName() {
        return protocolName;
    }
}
