package yewdock.core;

import java.util.List;

/** The list of model boxes, or the changes to it; version is -1 when nothing is known. */
public record EndpointList(long version, boolean full, List<ModelServer> servers) {
    public static final EndpointList UNKNOWN = new EndpointList(-1, true, List.of());

    public EndpointList {
        servers = List.copyOf(servers);
    }
}
