package yewdock.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The random numbers of one run: an independent stream for each concern, so that the draws of one part don't
 * change those of another and all policies receive the same requests.
 */
final class RandomStreams {
    private final long seed;

    RandomStreams(long seed) {
        this.seed = seed;
    }

    /** The stream of a concern. */
    UniformRandomProvider stream(String concern) {
        return RandomSource.XO_SHI_RO_256_PP.create(expand(mix(seed) ^ hash(concern)));
    }

    /** The stream of one of many instances of a concern, from a generator with little state. */
    UniformRandomProvider stream(String concern, long number) {
        return RandomSource.SPLIT_MIX_64.create(mix(mix(seed) ^ hash(concern) ^ mix(number)));
    }

    /** Draws from the log-normal distribution with this mean, independent of sigma. */
    static double logNormal(UniformRandomProvider random, double mean, double sigma) {
        double normal = ZigguratSampler.NormalizedGaussian.of(random).sample();
        return mean * StrictMath.exp(sigma * normal - sigma * sigma / 2);
    }

    /** Draws from the exponential distribution with this mean. */
    static double exponential(UniformRandomProvider random, double mean) {
        return mean * ZigguratSampler.Exponential.of(random).sample();
    }

    /** Hashes a text with 64-bit FNV-1a. */
    private static long hash(String text) {
        long h = 1469598103934665603L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 1099511628211L;
        }
        return h;
    }

    private static long[] expand(long from) {
        long[] all = new long[4];
        for (int i = 0; i < all.length; i++) {
            all[i] = mix(from + i * 0x9e3779b97f4a7c15L);
        }
        return all;
    }

    /** Hashes a number with the finalizer of SplitMix64. */
    static long mix(long x) {
        long z = x + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
