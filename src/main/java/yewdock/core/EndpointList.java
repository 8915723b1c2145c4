package yewdock.core;

import java.util.List;

/**
 * The list of servers, or the changes to it since an older version if it is not full. The version is -1 when
 * nothing is known.
 */
public record EndpointList(long version, boolean full, List<ModelServer> servers) {
    /** The list before anything is known. */
    public static final EndpointList UNKNOWN = new EndpointList(-1, true, List.of());

    public EndpointList {
        servers = List.copyOf(servers);
    }
}
