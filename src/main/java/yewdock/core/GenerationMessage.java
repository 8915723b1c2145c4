package yewdock.core;

/**
 * What the processes of one router tell each other while more than one of them lives: an old generation that
 * finishes what it has, and the new one that has taken its place.
 */
public sealed interface GenerationMessage {
    /** A finishing generation asks whether it may take a request of this id. */
    record Claim(String id, long claimNumber) implements GenerationMessage {
    }

    /** The answer to a claim of the generation to. */
    record ClaimAnswer(int generation, String id, long claimNumber, boolean granted)
            implements GenerationMessage {
    }

    /** No request of this id is open here any more. */
    record RequestReleased(String id) implements GenerationMessage {
    }

    /** A try has gone out to a box. */
    record AttemptSent(long token, long server) implements GenerationMessage {
    }

    /** A try that was told as sent is over. */
    record AttemptEnded(long token) implements GenerationMessage {
    }

    /** What the box list at this address has told. */
    record EndpointListRelayed(EndpointList list, String discoveryAddress) implements GenerationMessage {
    }
}
