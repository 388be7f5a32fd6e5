/*
 * fit: least squares fit of a straight line to measured points, with the
 * largest residual. Used by the benchmarks in this folder.
 */
#ifndef BENCH_FIT_H
#define BENCH_FIT_H

#include <math.h>
#include <stddef.h>
#include <stdio.h>

#define FIT_POINTS_MAX 16

struct fit {
	double x[FIT_POINTS_MAX], y[FIT_POINTS_MAX];
	size_t n;
};

/* Adds a point. Points beyond FIT_POINTS_MAX are ignored. */
static inline void fit_add(struct fit *fit, double x, double y)
{
	if (fit->n == FIT_POINTS_MAX)
		return;
	fit->x[fit->n] = x;
	fit->y[fit->n++] = y;
}

/* Fits y = intercept + slope * x. Returns the largest vertical distance
 * of a point from the line, as a fraction of the largest absolute y. */
static inline double fit_line(const struct fit *fit, double *slope,
			      double *intercept)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, max_residual = 0, max_y = 0;
	double n = (double)fit->n;

	for (size_t i = 0; i < fit->n; i++) {
		sx += fit->x[i];
		sy += fit->y[i];
		sxx += fit->x[i] * fit->x[i];
		sxy += fit->x[i] * fit->y[i];
	}
	*slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	*intercept = (sy - *slope * sx) / n;
	for (size_t i = 0; i < fit->n; i++) {
		max_residual = fmax(max_residual, fabs(fit->y[i] - *intercept -
						       *slope * fit->x[i]));
		max_y = fmax(max_y, fabs(fit->y[i]));
	}
	return max_y > 0 ? max_residual / max_y : 0;
}

/* Prints one line: name, slope, unit, intercept (printed as "base"),
 * residual and the points. */
static inline void fit_print(const struct fit *fit, const char *name,
			     const char *unit)
{
	double slope, intercept, residual = fit_line(fit, &slope, &intercept);

	printf("%-26s %12.3f %-22s base %10.2f residual %5.1f%%  at", name,
	       slope, unit, intercept, 100 * residual);
	for (size_t i = 0; i < fit->n; i++)
		printf(" %g:%.4g", fit->x[i], fit->y[i]);
	printf("\n");
	fflush(stdout);
}

#endif
