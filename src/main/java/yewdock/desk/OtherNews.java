package yewdock.desk;

/**
 * A message between the processes of one router while an old generation finishes its requests and a new one
 * has taken over.
 */
public sealed interface OtherNews {
    /**
     * A finishing generation asks the owner of the request ids whether it may accept a request with this id.
     */
    record Claim(String id, long number) implements OtherNews {
    }

    /** The answer to a claim, for the generation that made it. */
    record Claimed(int to, String id, long number, boolean granted) implements OtherNews {
    }

    /** The request with this id is no longer open in the sender. */
    record Released(String id) implements OtherNews {
    }

    /** An attempt has been sent to a server. */
    record Sent(long token, long box) implements OtherNews {
    }

    /** An attempt that was reported as sent has ended. */
    record Ended(long token) implements OtherNews {
    }

    /** An endpoint list or changes to it, as received from discovery at this address. */
    record Told(EndpointList list, String address) implements OtherNews {
    }
}
