package yewdock.core;

import java.util.List;
import java.util.Map;

/**
 * The state of one generation that the others must respect: the ids of its open requests and of those that
 * ended recently and may have run, its attempts in flight, and its endpoint list with the times, in
 * microseconds, at which it learned of each server's state. {@code listConfirmed} tells whether discovery has
 * confirmed that list to this generation.
 */
public record GenerationState(List<String> requestIds, List<String> recentIds,
        List<GenerationMessage.AttemptSent> attemptsInFlight, EndpointList endpointList,
        String discoveryAddress, boolean listConfirmed, Map<Long, Long> toldAt) {
    public GenerationState {
        requestIds = List.copyOf(requestIds);
        recentIds = List.copyOf(recentIds);
        attemptsInFlight = List.copyOf(attemptsInFlight);
        toldAt = Map.copyOf(toldAt);
    }
}
