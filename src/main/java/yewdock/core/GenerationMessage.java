package yewdock.core;

/**
 * A message between the processes of one router while an old generation finishes its requests and a new one
 * has taken over.
 */
public sealed interface GenerationMessage {
    /**
     * A finishing generation asks the owner of the request ids whether it may accept a request with this id.
     */
    record Claim(String id, long claimNumber) implements GenerationMessage {
    }

    /** The answer to a claim, for the generation that made it. */
    record ClaimAnswer(int generation, String id, long claimNumber, boolean granted)
            implements GenerationMessage {
    }

    /**
     * The request with this id is no longer open in the sender.
     *
     * @param mayHaveRun whether a server may have run it without a complete response for its client
     */
    record RequestReleased(String id, boolean mayHaveRun) implements GenerationMessage {
    }

    /** An attempt has been sent to a server. */
    record AttemptSent(long token, long server) implements GenerationMessage {
    }

    /** An attempt that was reported as sent has ended. */
    record AttemptEnded(long token) implements GenerationMessage {
    }

    /** An endpoint list or changes to it, as received from discovery at this address. */
    record EndpointListRelayed(EndpointList list, String discoveryAddress) implements GenerationMessage {
    }
}
