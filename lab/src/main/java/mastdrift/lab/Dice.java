package mastdrift.lab;

import mastdrift.common.Range;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** One stream of random numbers for one purpose, so that what one part of a day draws moves nothing in another. */
public final class Dice {

    private final UniformRandomProvider source;

    /** The same seed and purpose give the same numbers. */
    public Dice(long seed, String purpose) {
        source = RandomSource.XO_SHI_RO_256_PP.create(mix(seed * 0x9E3779B97F4A7C15L + purpose.hashCode()));
    }

    static long mix(long value) {
        long z = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    /** In [0, 1), a function of the two: for what must not hang on the order of draws. */
    static double of(long seed, long item) {
        return (mix(mix(seed) + item * 0x9E3779B97F4A7C15L) >>> 11) * 0x1.0p-53;
    }

    /** In [0, 1). */
    public double unit() {
        return source.nextDouble();
    }

    /** In [0, bound). */
    public int below(int bound) {
        return source.nextInt(bound);
    }

    /** True in that part of all cases. */
    public boolean chance(double part) {
        return source.nextDouble() < part;
    }

    /** Evenly in the range. */
    public double in(Range range) {
        return range.from() + (range.to() - range.from()) * source.nextDouble();
    }

    /** Exponential with that mean. */
    public double exponential(double mean) {
        return mean * ZigguratSampler.Exponential.of(source).sample();
    }

    /** Lognormal with mean 1 and that coefficient of variation. */
    public double noise(double variation) {
        if (variation <= 0) {
            return 1;
        }
        double variance = Math.log1p(variation * variation);
        double normal = ZigguratSampler.NormalizedGaussian.of(source).sample();
        return Math.exp(normal * Math.sqrt(variance) - variance / 2);
    }

    /** Ranks from 1 to so many, of Zipf's law with that exponent. */
    DiscreteSampler zipf(int most, double exponent) {
        return RejectionInversionZipfSampler.of(source, most, exponent);
    }
}
