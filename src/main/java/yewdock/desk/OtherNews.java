package yewdock.desk;

/**
 * What the processes of one router tell each other while more than one of them lives: an old generation that
 * finishes what it has, and the new one that has taken its place.
 */
public sealed interface OtherNews {
    /** A finishing generation asks whether it may take a request of this id. */
    record Claim(String id, long number) implements OtherNews {
    }

    /** The answer to a claim of the generation to. */
    record Claimed(int to, String id, long number, boolean granted) implements OtherNews {
    }

    /** No request of this id is open here any more. */
    record Released(String id) implements OtherNews {
    }

    /** A try has gone out to a box. */
    record Sent(long token, long box) implements OtherNews {
    }

    /** A try that was told as sent is over. */
    record Ended(long token) implements OtherNews {
    }

    /** What the box list at this address has told. */
    record Told(EndpointList list, String address) implements OtherNews {
    }
}
