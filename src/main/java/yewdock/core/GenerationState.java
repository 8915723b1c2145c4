package yewdock.core;

import java.util.List;
import java.util.Map;

/**
 * What one generation holds that no other may double: ids of its open requests, its tries that are out, and
 * the box list as it knows it, with the times at which it was told of each box's state.
 */
public record GenerationState(List<String> requestIds, List<GenerationMessage.AttemptSent> attemptsInFlight,
        EndpointList endpointList,
        String discoveryAddress,
        Map<Long, Long> toldAt) {
    public GenerationState {
        requestIds = List.copyOf(requestIds);
        attemptsInFlight = List.copyOf(attemptsInFlight);
        toldAt = Map.copyOf(toldAt);
    }
}
