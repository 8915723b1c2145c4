package yewdock.lease;

import java.util.ArrayDeque;

/**
 * A router's lease: until when it may act by what it holds. Counted from the sending of the call that was
 * granted, so neither the way nor the council's clock has a say. Pure: times of one monotonic clock go in.
 */
public final class Lease {
    private final LeaseTiming terms;
    private final ArrayDeque<Call> calls = new ArrayDeque<>();
    private long numbers;
    private long expiresAt = Long.MIN_VALUE;

    private record Call(long number, long sentAt) {
    }

    public Lease(LeaseTiming terms) {
        this.terms = terms;
    }

    /** A call for a lease goes out now; returns its number. */
    public long beginRenewal(long now) {
        calls.removeIf(c -> now - c.sentAt >= terms.lengthMicros());
        calls.add(new Call(++numbers, now));
        return numbers;
    }

    /** The call of this number is granted; a second time, or too late, it changes nothing. */
    public void granted(long number) {
        for (Call c : calls) {
            if (c.number == number) {
                expiresAt = Math.max(expiresAt, c.sentAt + terms.lengthMicros());
            }
        }
        calls.removeIf(c -> c.number <= number);
    }

    /** The first moment at which it may act no more. */
    public long expiresAt() {
        return expiresAt;
    }

    /** To be asked at each decision, with the clock read for it: a timer may come late. */
    public boolean isValid(long now) {
        return now < expiresAt;
    }
}
