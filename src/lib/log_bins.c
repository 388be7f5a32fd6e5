/*
 * log_bins: see log_bins.h.
 */
#include "lib/log_bins.h"

#include <math.h>

/* Ratio of a bin's upper bound to that of the previous bin. */
static const double BIN_GROWTH = 1.1;

size_t log_bin_of(double value, double first_bound)
{
	double bin;

	if (!(value > first_bound))
		return 0;
	bin = ceil(log(value / first_bound) / log(BIN_GROWTH));
	return bin >= LOG_BINS ? LOG_BINS - 1 : (size_t)bin;
}

double log_bin_value(size_t bin, double first_bound)
{
	return first_bound *
	       pow(BIN_GROWTH, (double)bin - (bin > 0 ? 0.5 : 0.0));
}

size_t log_bins_quantile(const double weights[LOG_BINS], double quantile)
{
	double total = 0;
	double sum = 0;

	for (size_t i = 0; i < LOG_BINS; i++)
		total += weights[i];
	if (total <= 0)
		return 0;
	for (size_t i = 0; i < LOG_BINS; i++) {
		sum += weights[i];
		if (sum >= quantile * total * (1 - 1e-9))
			return i;
	}
	return LOG_BINS - 1;
}

double log_bins_variance(const double weights[LOG_BINS])
{
	double total = 0;
	double sum = 0;
	double squares = 0;

	for (size_t i = 0; i < LOG_BINS; i++) {
		total += weights[i];
		sum += weights[i] * (double)i;
		squares += weights[i] * (double)i * (double)i;
	}
	if (total <= 0)
		return 0;
	return squares / total - sum / total * (sum / total);
}

int log_bins_between(double value, double other)
{
	return (int)lround(log(value / other) / log(BIN_GROWTH));
}
