/*
 * interference_fit: weighted least squares for interference.c. Observations
 * lose weight with age. A weak prior (ridge) keeps terms without data at 0.
 */
#ifndef LEASED_INTERFERENCE_FIT_H
#define LEASED_INTERFERENCE_FIT_H

#include "leased/interference.h"

/* Positions of the terms. */
#define FIT_CONSTANT 0
#define FIT_LOAD 1
#define FIT_LOAD_SQUARE 2
#define FIT_CLASS 3 /* the first of INTERFERENCE_CLASSES_MAX */
#define FIT_TERMS (FIT_CLASS + INTERFERENCE_CLASSES_MAX)

/* All zero: no observations. */
struct fit {
	double xx[FIT_TERMS][FIT_TERMS], xy[FIT_TERMS], yy, weight;
	int64_t updated_ms;
};

void fit_add(struct fit *fit, const double x[FIT_TERMS], double y,
	     int64_t now_ms);
/* Forgets what was observed of a term. */
void fit_clear_term(struct fit *fit, size_t term);
/* Sets the coefficients and their standard errors. Returns false if there are
 * too few observations. */
bool fit_solve(const struct fit *fit, int64_t now_ms,
	       double estimates[FIT_TERMS], double errors[FIT_TERMS]);

#endif
