package yewdock.desk;

import java.util.List;
import java.util.Map;

/**
 * The state of one generation that the others must respect: the ids of its open requests, its attempts in
 * flight, and its endpoint list with the times, in microseconds, at which it learned of each server's state.
 */
public record Holdings(List<String> ids, List<OtherNews.Sent> out, EndpointList boxes, String listAddress,
        Map<Long, Long> toldAt) {
    public Holdings {
        ids = List.copyOf(ids);
        out = List.copyOf(out);
        toldAt = Map.copyOf(toldAt);
    }
}
