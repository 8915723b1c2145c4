package yewdock.model;

import org.apache.commons.rng.UniformRandomProvider;

/** A range of values, both ends included, from which a uniformly distributed one is drawn. */
public record Range(double from, double to) {
    public Range {
        if (!(from <= to)) {
            throw new IllegalArgumentException("invalid range from " + from + " to " + to);
        }
    }

    /** A range of one value. */
    public static Range of(double value) {
        return new Range(value, value);
    }

    /** Draws a value. */
    double draw(UniformRandomProvider random) {
        // draws a number even for a single value, so that later draws don't depend on the range
        return from + (to - from) * random.nextDouble();
    }

    /** Draws an integer; a fractional upper end is rounded down. */
    int drawInteger(UniformRandomProvider random) {
        return (int) Math.min(Math.floor(to),
                Math.floor(from + (Math.floor(to) - from + 1) * random.nextDouble()));
    }

    /** The mean of both ends. */
    double middle() {
        return (from + to) / 2;
    }
}
