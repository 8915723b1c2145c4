package yewdock.core;

import java.util.List;
import java.util.Map;

/**
 * What one generation holds that no other may double: ids of its open requests, its tries that are out, and
 * the box list as it knows it, with the times at which it was told of each box's state.
 */
public record GenerationState(List<String> ids, List<GenerationMessage.AttemptSent> out, EndpointList boxes,
        String listAddress,
        Map<Long, Long> toldAt) {
    public GenerationState {
        ids = List.copyOf(ids);
        out = List.copyOf(out);
        toldAt = Map.copyOf(toldAt);
    }
}
