/*
 * log_bins: bins whose bounds grow by a tenth, so that a quantile computed
 * from their weights has a bounded relative error (Masson, Rim and Lee,
 * "DDSketch", VLDB 2019). The functions are pure and may be called on any
 * thread.
 */
#ifndef LIB_LOG_BINS_H
#define LIB_LOG_BINS_H

#include <stddef.h>

#define LOG_BINS 160 /* covers a factor of 4 million */

/* Returns the bin of a value; values out of range go to the first or last
 * bin. first_bound is the upper bound of bin 0 and must be above 0. */
size_t log_bin_of(double value, double first_bound);

/* Returns a value in the middle of the bin, within 5 % of each value in it. */
double log_bin_value(size_t bin, double first_bound);

/* Returns the bin in which the running sum of the weights reaches the
 * quantile (0..1) of their total; 0 if all weights are 0. */
size_t log_bins_quantile(const double weights[LOG_BINS], double quantile);

/* Returns the variance of the bin numbers; 0 if all weights are 0. */
double log_bins_variance(const double weights[LOG_BINS]);

/* Returns how many bins a value lies above another; both must be above 0. */
int log_bins_between(double value, double other);

#endif
