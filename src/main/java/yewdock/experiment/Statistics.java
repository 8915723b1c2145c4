package yewdock.experiment;

import java.util.Arrays;
import org.apache.commons.statistics.distribution.BinomialDistribution;
import org.apache.commons.statistics.inference.WilcoxonSignedRankTest;

/** Distribution-free statistics: medians with confidence intervals, paired tests, rank correlation. */
final class Statistics {
    private static final double TAIL_PROBABILITY = 0.025;

    private Statistics() {
    }

    /** A median with its 95% confidence interval; the whole range of the values if there are under six. */
    record Estimate(double median, double low, double high) {
    }

    /** The median of the values, all NaN if there are none. */
    static Estimate median(double[] values) {
        if (values.length == 0) {
            return new Estimate(Double.NaN, Double.NaN, Double.NaN);
        }
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int n = sorted.length;
        double median = (sorted[(n - 1) / 2] + sorted[n / 2]) / 2;
        BinomialDistribution binomial = BinomialDistribution.of(n, 0.5);
        int k = 0;
        while (k + 1 <= n / 2 && binomial.cumulativeProbability(k) <= TAIL_PROBABILITY) {
            k++;
        }
        // under six values no 95% interval exists: the whole range is given
        int lowIndex = Math.max(0, k - 1);
        return new Estimate(median, sorted[lowIndex], sorted[n - 1 - lowIndex]);
    }

    /** The median of paired differences, and the p-value of the Wilcoxon signed-rank test. */
    record PairedComparison(Estimate difference, double p) {
    }

    /** Compares values with a base, paired by index; p is 1 if no pair differs or there is one pair only. */
    static PairedComparison compare(double[] values, double[] base) {
        double[] differences = new double[Math.min(values.length, base.length)];
        boolean anyDiffers = false;
        for (int i = 0; i < differences.length; i++) {
            differences[i] = values[i] - base[i];
            anyDiffers |= differences[i] != 0;
        }
        double p = anyDiffers && differences.length > 1
                ? WilcoxonSignedRankTest.withDefaults().test(differences).getPValue() : 1;
        return new PairedComparison(median(differences), p);
    }

    /** Spearman's rank correlation coefficient; ties get their mean rank. */
    static double spearman(double[] a, double[] b) {
        double[] x = ranks(a);
        double[] y = ranks(b);
        double mean = (x.length + 1) / 2.0;
        double xy = 0;
        double xx = 0;
        double yy = 0;
        for (int i = 0; i < x.length; i++) {
            xy += (x[i] - mean) * (y[i] - mean);
            xx += (x[i] - mean) * (x[i] - mean);
            yy += (y[i] - mean) * (y[i] - mean);
        }
        return xy / Math.sqrt(xx * yy);
    }

    private static double[] ranks(double[] values) {
        double[] ranks = new double[values.length];
        for (int i = 0; i < values.length; i++) {
            for (double other : values) {
                ranks[i] += other < values[i] ? 1 : other == values[i] ? 0.5 : 0;
            }
            ranks[i] += 0.5;
        }
        return ranks;
    }
}
