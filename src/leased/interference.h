/*
 * interference: estimates, for one backend server, how much longer runs of a
 * class take while runs of another class, or further runs of the same one, run
 * there too. For each class, log(run time / expected run time) is fitted by
 * weighted least squares to a constant, the load and its square, and the part
 * of its time that the run spent beside each class. A slow server raises the
 * constant and overload the load terms, so that neither looks like interference
 * between classes. The module does no I/O; the present time is an argument. It
 * is not thread-safe.
 */
#ifndef LEASED_INTERFERENCE_H
#define LEASED_INTERFERENCE_H

#include "leased/run_table.h"

/* Standard deviation of log(actual / declared run time), as measured with the
 * callers of the leased dispatcher. */
#define INTERFERENCE_RUN_SD 0.43
/* An estimate without new runs of its pair is dropped after this time. */
#define INTERFERENCE_EXPIRY_MS 30000
#define INTERFERENCE_CLASSES_MAX 12

/* Runs of class_name take exp(log) times as long beside runs of another class.
 * The standard error of log is INTERFERENCE_RUN_SD / sqrt(samples), so samples
 * counts what the runs say about this pair, which is less than their number. */
struct class_slowdown {
	char class_name[CF_NAME_SIZE];
	char beside[CF_NAME_SIZE];
	double log;
	uint32_t samples;
};

struct class_runs {
	char class_name[CF_NAME_SIZE];
	uint32_t running;
};

struct interference;

struct interference *interference_create(void);
void interference_destroy(struct interference *interference); /* may be NULL */
/* Sets what runs on the server from now on (const struct run_request). */
void interference_set_running(struct interference *interference,
			      const GPtrArray *runs, uint32_t capacity_milli,
			      int64_t now_ms);
/* Counts a run that ended, before interference_set_running() without it.
 * speed_log is the logarithm of the server's speed as a factor on run times; 0
 * if it isn't known. */
void interference_add_result(struct interference *interference,
			     const struct run_result *result, double speed_log,
			     int64_t now_ms);
/* Returns the run's time without the estimated slowdown by the pairs that this
 * server alone is certain of, in proportion to the time that it spent beside
 * each class. Called like interference_add_result(), before it. */
uint32_t interference_alone_ms(struct interference *interference,
			       const struct run_result *result, int64_t now_ms);
/* Returns the known pairs (struct class_slowdown), valid until the next call.
 * The list is empty unless a pair is, or was until recently, suspected to
 * interfere. */
const GArray *interference_list_slowdowns(struct interference *interference,
					  int64_t now_ms);
/* Appends what runs on the server now (struct class_runs). */
void interference_list_classes(const struct interference *interference,
			       GArray *classes);

#endif
