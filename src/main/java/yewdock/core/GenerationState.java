package yewdock.core;

import java.util.List;
import java.util.Map;

/**
 * The state of one generation that the others must respect: the ids of its open requests, its attempts in
 * flight, and its endpoint list with the times, in microseconds, at which it learned of each server's state.
 */
public record GenerationState(List<String> requestIds, List<GenerationMessage.AttemptSent> attemptsInFlight,
        EndpointList endpointList, String discoveryAddress, Map<Long, Long> toldAt) {
    public GenerationState {
        requestIds = List.copyOf(requestIds);
        attemptsInFlight = List.copyOf(attemptsInFlight);
        toldAt = Map.copyOf(toldAt);
    }
}
