/*
 * interference_fit: see interference_fit.h.
 */
#include "leased/interference_fit.h"

#include <math.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* Time in which the weight of an observation falls to 1/e. */
#define DECAY_MS 15000.0
#define OBSERVATIONS_MIN 6.0
/* Prior of the coefficients: 0 with this standard deviation. */
#define CONSTANT_SD 4.0
#define TERM_SD 0.5
/* The residual variance is estimated as if this many observations with the
 * usual error had been made before. */
#define PRIOR_OBSERVATIONS 4.0
/* The standard deviation of a residual is at least this: run times are
 * measured in whole ms, and single runs are disturbed by other things. */
#define RESIDUAL_SD_MIN 0.15

/* ---- Sums ----------------------------------------------------------- */

static double decay(const struct fit *fit, int64_t now_ms)
{
	return exp(-(double)(now_ms - fit->updated_ms) / DECAY_MS);
}

void fit_add(struct fit *fit, const double x[FIT_TERMS], double y,
	     int64_t now_ms)
{
	double keep = decay(fit, now_ms);

	fit->updated_ms = now_ms;
	fit->weight = fit->weight * keep + 1;
	fit->yy = fit->yy * keep + y * y;
	for (size_t a = 0; a < FIT_TERMS; a++) {
		fit->xy[a] = fit->xy[a] * keep + x[a] * y;
		for (size_t b = 0; b < FIT_TERMS; b++)
			fit->xx[a][b] = fit->xx[a][b] * keep + x[a] * x[b];
	}
}

void fit_clear_term(struct fit *fit, size_t term)
{
	fit->xy[term] = 0;
	for (size_t a = 0; a < FIT_TERMS; a++) {
		fit->xx[a][term] = 0;
		fit->xx[term][a] = 0;
	}
}

/* ---- Solution ------------------------------------------------------- */

/* Replaces a symmetric positive definite matrix by its inverse
 * (Gauss-Jordan). Pivoting isn't needed for such matrices. */
static void invert(double m[FIT_TERMS][FIT_TERMS])
{
	for (size_t p = 0; p < FIT_TERMS; p++) {
		double pivot = m[p][p];

		m[p][p] = 1;
		for (size_t b = 0; b < FIT_TERMS; b++)
			m[p][b] /= pivot;
		for (size_t a = 0; a < FIT_TERMS; a++) {
			double factor = m[a][p];

			if (a == p)
				continue;
			m[a][p] = 0;
			for (size_t b = 0; b < FIT_TERMS; b++)
				m[a][b] -= factor * m[p][b];
		}
	}
}

static void fill_matrix(const struct fit *fit, double keep,
			double m[FIT_TERMS][FIT_TERMS])
{
	double variance = INTERFERENCE_RUN_SD * INTERFERENCE_RUN_SD;

	for (size_t a = 0; a < FIT_TERMS; a++) {
		double sd = a == FIT_CONSTANT ? CONSTANT_SD : TERM_SD;

		for (size_t b = 0; b < FIT_TERMS; b++)
			m[a][b] = fit->xx[a][b] * keep;
		m[a][a] += variance / (sd * sd);
	}
}

bool fit_solve(const struct fit *fit, int64_t now_ms,
	       double estimates[FIT_TERMS], double errors[FIT_TERMS])
{
	double m[FIT_TERMS][FIT_TERMS];
	double keep = decay(fit, now_ms);
	double squares = fit->yy * keep, variance;

	if (fit->weight * keep < OBSERVATIONS_MIN)
		return false;
	fill_matrix(fit, keep, m);
	invert(m);
	for (size_t a = 0; a < FIT_TERMS; a++) {
		estimates[a] = 0;
		for (size_t b = 0; b < FIT_TERMS; b++)
			estimates[a] += m[a][b] * fit->xy[b] * keep;
		squares -= estimates[a] * fit->xy[a] * keep;
	}
	variance = (MAX(squares, 0) + PRIOR_OBSERVATIONS * INTERFERENCE_RUN_SD *
					      INTERFERENCE_RUN_SD) /
		   (fit->weight * keep + PRIOR_OBSERVATIONS);
	variance = MAX(variance, RESIDUAL_SD_MIN * RESIDUAL_SD_MIN);
	for (size_t a = 0; a < FIT_TERMS; a++)
		errors[a] = sqrt(variance * m[a][a]);
	return true;
}
