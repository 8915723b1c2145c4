package yewdock.desk;

import java.util.List;
import java.util.Map;

/**
 * What one generation holds that no other may double: ids of its open requests, its tries that are out, and
 * the box list as it knows it, with the times at which it was told of each box's state.
 */
public record Holdings(List<String> ids, List<OtherNews.Sent> out, EndpointList boxes, String listAddress,
        Map<Long, Long> toldAt) {
    public Holdings {
        ids = List.copyOf(ids);
        out = List.copyOf(out);
        toldAt = Map.copyOf(toldAt);
    }
}
