/*
 * log_bins: bins whose bounds grow by a tenth, so that a quantile read
 * from their counts has a bounded relative error (Masson, Rim and Lee,
 * "DDSketch", VLDB 2019). Pure functions, any thread.
 */
#ifndef LIB_LOG_BINS_H
#define LIB_LOG_BINS_H

#include <stddef.h>

#define LOG_BINS 160 /* covers a factor of 4 million */

/* The bin of a value; those out of range go to the first or last bin.
 * least is the upper bound of bin 0 and above 0. */
size_t log_bin_of(double value, double first_bound);

/* A value in the middle of the bin, within 5 % of each of its values. */
double log_bin_value(size_t bin, double first_bound);

/* The bin in which the running sum of weights reaches the share (0..1)
 * of their total; 0 if there are none. */
size_t log_bins_quantile(const double weights[LOG_BINS], double quantile);

/* Variance of the bins' numbers; 0 if there are none. */
double log_bins_variance(const double weights[LOG_BINS]);

/* How many bins a value lies above another, both above 0. */
int log_bins_between(double value, double other);

#endif
