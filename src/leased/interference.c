/*
 * interference: see interference.h. interference_fit.c has the least squares.
 */
#include "leased/interference.h"

#include "leased/interference_fit.h"

#include <math.h>
#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* A run beside a class for less than this part of its time doesn't renew the
 * estimate of the pair. */
#define BESIDE_MIN 0.1
/* A larger error of a single run says more about the run than the server. */
#define LOG_RATIO_MAX 2.0
/* Results of one job are averaged until no more have come for this time. */
#define JOB_WAIT_MS 400
#define JOBS_MAX 64
/* Between two computations of the estimates. */
#define FIT_INTERVAL_MS 500
/* A pair is suspected from the first values and no longer from the second. The
 * limits are low because dispatchers combine the estimates of many servers. */
#define SUSPECT_LOG 0.077 /* 8 % */
#define SUSPECT_ERRORS 2.5
#define CLEARED_LOG 0.039 /* 4 % */
#define CLEARED_ERRORS 1.0
/* A suspected pair corrects interference_alone_ms() only from this many errors
 * on: one server's suspicions include chance, and with those the correction
 * made fewer jobs be in time on overloaded servers without interference
 * (test_dispatch_speed). */
#define CERTAIN_ERRORS 4.0
/* Less certain estimates are not reported. */
#define SAMPLES_MIN 2
/* Estimates are reported for this long after the last suspicion, so that
 * dispatchers see a slowdown end. */
#define REPORT_AFTER_SUSPICION_MS 30000
/* A class that was not seen for this long may be replaced by a new one. */
#define CLASS_EXPIRY_MS 60000

/* ---- Types ---------------------------------------------------------- */

/* Integrals over time since the creation. */
struct integrals {
	double load; /* used part of the capacity x ms */
	/* Time with at least one and at least two runs of each class. */
	double one_ms[INTERFERENCE_CLASSES_MAX];
	double two_ms[INTERFERENCE_CLASSES_MAX];
};

struct tracked_run {
	struct run_name name;
	size_t class;
	uint32_t cpu_milli;
	int64_t started_ms;
	struct integrals at_start;
	bool running; /* included in the list that is being read */
};

/* Results of one job: its tasks have the same error of the declared time, so
 * their mean counts as one observation. */
struct job_mean {
	char job[LEASED_JOB_SIZE];
	size_t class;
	int64_t last_ms;
	uint32_t tasks;
	double x[FIT_TERMS], y; /* sums */
};

struct class_state {
	char name[CF_NAME_SIZE]; /* empty: unused */
	int64_t seen_ms;
	uint32_t running;
	struct fit fit;
	/* When a run of this class last ran beside each class; 0: never. */
	int64_t beside_ms[INTERFERENCE_CLASSES_MAX];
	bool suspected[INTERFERENCE_CLASSES_MAX];
	/* Estimated logarithm beside each class; 0 unless certain. */
	double logs[INTERFERENCE_CLASSES_MAX];
};

struct interference {
	struct class_state classes[INTERFERENCE_CLASSES_MAX];
	struct integrals integrals;
	int64_t integrated_ms; /* 0: not yet */
	double load;
	uint32_t capacity_milli;
	GArray *runs; /* struct tracked_run */
	GArray *jobs; /* struct job_mean */
	GArray *slowdowns; /* struct class_slowdown */
	int64_t fitted_ms, suspected_ms; /* 0: never */
};

/* ---- Lifecycle ------------------------------------------------------ */

struct interference *interference_create(void)
{
	struct interference *i = g_new0(struct interference, 1);

	i->runs = g_array_new(FALSE, FALSE, sizeof(struct tracked_run));
	i->jobs = g_array_new(FALSE, FALSE, sizeof(struct job_mean));
	i->slowdowns = g_array_new(FALSE, TRUE, sizeof(struct class_slowdown));
	return i;
}

void interference_destroy(struct interference *i)
{
	if (!i)
		return;
	g_array_unref(i->runs);
	g_array_unref(i->jobs);
	g_array_unref(i->slowdowns);
	g_free(i);
}

/* ---- Classes -------------------------------------------------------- */

/* Returns INTERFERENCE_CLASSES_MAX if the class is not known. */
static size_t find_class(const struct interference *i, const char *name)
{
	size_t k = 0;

	while (k < INTERFERENCE_CLASSES_MAX &&
	       (!name[0] || strcmp(i->classes[k].name, name) != 0))
		k++;
	return k;
}

static void replace_class(struct interference *i, size_t k, const char *name)
{
	for (guint j = i->jobs->len; j-- > 0;)
		if (g_array_index(i->jobs, struct job_mean, j).class == k)
			g_array_remove_index_fast(i->jobs, j);
	for (size_t a = 0; a < INTERFERENCE_CLASSES_MAX; a++) {
		fit_clear_term(&i->classes[a].fit, FIT_CLASS + k);
		i->classes[a].beside_ms[k] = 0;
		i->classes[a].suspected[k] = false;
		i->classes[a].logs[k] = 0;
	}
	memset(&i->classes[k], 0, sizeof(i->classes[k]));
	g_strlcpy(i->classes[k].name, name, sizeof(i->classes[k].name));
}

/* Returns INTERFERENCE_CLASSES_MAX if there are too many classes: runs of the
 * others count only as load. */
static size_t add_class(struct interference *i, const char *name,
			int64_t now_ms)
{
	size_t found = find_class(i, name);

	for (size_t k = 0; found == INTERFERENCE_CLASSES_MAX && name[0] &&
			   k < INTERFERENCE_CLASSES_MAX;
	     k++) {
		const struct class_state *class = &i->classes[k];

		if (class->running ||
		    (class->name[0] &&
		     now_ms - class->seen_ms < CLASS_EXPIRY_MS))
			continue;
		replace_class(i, k, name);
		found = k;
	}
	if (found < INTERFERENCE_CLASSES_MAX)
		i->classes[found].seen_ms = now_ms;
	return found;
}

/* ---- What runs ------------------------------------------------------ */

static void integrate(struct interference *i, int64_t now_ms)
{
	double ms = i->integrated_ms ? (double)(now_ms - i->integrated_ms) : 0;

	i->integrated_ms = now_ms;
	i->integrals.load += i->load * ms;
	for (size_t k = 0; k < INTERFERENCE_CLASSES_MAX; k++) {
		i->integrals.one_ms[k] += i->classes[k].running > 0 ? ms : 0;
		i->integrals.two_ms[k] += i->classes[k].running > 1 ? ms : 0;
	}
}

static struct tracked_run *find_run(const struct interference *i,
				    const struct run_name *name)
{
	for (guint r = 0; r < i->runs->len; r++) {
		struct tracked_run *run =
			&g_array_index(i->runs, struct tracked_run, r);

		if (run_name_equal(&run->name, name))
			return run;
	}
	return NULL;
}

static void track_run(struct interference *i, const struct run_request *request,
		      int64_t now_ms)
{
	struct tracked_run *known = find_run(i, &request->name);
	struct tracked_run run = { .name = request->name,
				   .cpu_milli = request->cpu_milli,
				   .started_ms = now_ms,
				   .running = true };

	if (known) {
		known->running = true;
		return;
	}
	run.class = add_class(i, request->class_name, now_ms);
	run.at_start = i->integrals;
	g_array_append_val(i->runs, run);
}

static void count_running(struct interference *i, int64_t now_ms)
{
	uint64_t used = 0;

	for (size_t k = 0; k < INTERFERENCE_CLASSES_MAX; k++)
		i->classes[k].running = 0;
	for (guint r = i->runs->len; r-- > 0;) {
		struct tracked_run *run =
			&g_array_index(i->runs, struct tracked_run, r);

		if (!run->running) {
			g_array_remove_index_fast(i->runs, r);
			continue;
		}
		run->running = false;
		used += run->cpu_milli;
		if (run->class == INTERFERENCE_CLASSES_MAX)
			continue;
		i->classes[run->class].running++;
		i->classes[run->class].seen_ms = now_ms;
	}
	i->load = (double)used / MAX(i->capacity_milli, 1);
}

void interference_set_running(struct interference *i, const GPtrArray *runs,
			      uint32_t capacity_milli, int64_t now_ms)
{
	integrate(i, now_ms);
	i->capacity_milli = capacity_milli;
	for (guint r = 0; r < runs->len; r++)
		track_run(i, g_ptr_array_index(runs, r), now_ms);
	count_running(i, now_ms);
}

void interference_list_classes(const struct interference *i, GArray *classes)
{
	for (size_t k = 0; k < INTERFERENCE_CLASSES_MAX; k++) {
		struct class_runs class = { .running = i->classes[k].running };

		if (!class.running)
			continue;
		g_strlcpy(class.class_name, i->classes[k].name,
			  sizeof(class.class_name));
		g_array_append_val(classes, class);
	}
}

/* ---- Results -------------------------------------------------------- */

static void observe_jobs(struct interference *i, int64_t now_ms)
{
	for (guint j = i->jobs->len; j-- > 0;) {
		struct job_mean *mean =
			&g_array_index(i->jobs, struct job_mean, j);

		if (now_ms - mean->last_ms < JOB_WAIT_MS &&
		    i->jobs->len < JOBS_MAX)
			continue;
		for (size_t t = 0; t < FIT_TERMS; t++)
			mean->x[t] /= mean->tasks;
		fit_add(&i->classes[mean->class].fit, mean->x,
			mean->y / mean->tasks, now_ms);
		g_array_remove_index_fast(i->jobs, j);
	}
}

static void add_to_job(struct interference *i, const struct tracked_run *run,
		       const double x[FIT_TERMS], double y, int64_t now_ms)
{
	struct job_mean *mean = NULL;

	observe_jobs(i, now_ms);
	for (guint j = 0; !mean && j < i->jobs->len; j++) {
		mean = &g_array_index(i->jobs, struct job_mean, j);
		if (strcmp(mean->job, run->name.job) != 0)
			mean = NULL;
	}
	if (!mean) {
		struct job_mean new_mean = { .class = run->class };

		g_strlcpy(new_mean.job, run->name.job, sizeof(new_mean.job));
		g_array_append_val(i->jobs, new_mean);
		mean = &g_array_index(i->jobs, struct job_mean,
				      i->jobs->len - 1);
	}
	for (size_t t = 0; t < FIT_TERMS; t++)
		mean->x[t] += x[t];
	mean->y += y;
	mean->tasks++;
	mean->last_ms = now_ms;
}

static void fill_terms(const struct interference *i,
		       const struct tracked_run *run, int64_t now_ms,
		       double x[FIT_TERMS])
{
	const struct integrals *from = &run->at_start;
	double ms = (double)MAX(now_ms - run->started_ms, 1);
	double load = (i->integrals.load - from->load) / ms -
		      (double)run->cpu_milli / MAX(i->capacity_milli, 1);

	x[FIT_CONSTANT] = 1;
	x[FIT_LOAD] = MAX(load, 0);
	x[FIT_LOAD_SQUARE] = x[FIT_LOAD] * x[FIT_LOAD];
	for (size_t k = 0; k < INTERFERENCE_CLASSES_MAX; k++)
		x[FIT_CLASS + k] = (k == run->class ? i->integrals.two_ms[k] -
							      from->two_ms[k]
						    : i->integrals.one_ms[k] -
							      from->one_ms[k]) /
				   ms;
}

void interference_add_result(struct interference *i,
			     const struct run_result *result, double speed_log,
			     int64_t now_ms)
{
	const struct tracked_run *run = find_run(i, &result->name);
	double x[FIT_TERMS], y;

	if (!run || run->class == INTERFERENCE_CLASSES_MAX ||
	    result->outcome != RUN_OUTCOME_DONE || !result->run_ms ||
	    !result->expected_ms)
		return;
	integrate(i, now_ms);
	fill_terms(i, run, now_ms, x);
	for (size_t k = 0; k < INTERFERENCE_CLASSES_MAX; k++)
		if (x[FIT_CLASS + k] >= BESIDE_MIN)
			i->classes[run->class].beside_ms[k] = now_ms;
	y = log((double)result->run_ms / result->expected_ms) - speed_log;
	add_to_job(i, run, x, CLAMP(y, -LOG_RATIO_MAX, LOG_RATIO_MAX), now_ms);
}

uint32_t interference_alone_ms(struct interference *i,
			       const struct run_result *result, int64_t now_ms)
{
	const struct tracked_run *run = find_run(i, &result->name);
	double x[FIT_TERMS], log_sum = 0;

	if (!run || run->class == INTERFERENCE_CLASSES_MAX)
		return result->run_ms;
	integrate(i, now_ms);
	fill_terms(i, run, now_ms, x);
	for (size_t k = 0; k < INTERFERENCE_CLASSES_MAX; k++)
		log_sum += i->classes[run->class].logs[k] * x[FIT_CLASS + k];
	return (uint32_t)lround(result->run_ms / exp(log_sum));
}

/* ---- Estimates ------------------------------------------------------ */

static void judge_pair(struct interference *i, struct class_state *class,
		       size_t beside, double estimate, double error,
		       int64_t now_ms)
{
	bool *suspected = &class->suspected[beside];
	double samples = INTERFERENCE_RUN_SD / error;
	struct class_slowdown slowdown = { .log = estimate };

	samples *= samples;
	slowdown.samples = (uint32_t)MIN(samples, 1e6);
	if (slowdown.samples < SAMPLES_MIN || !class->beside_ms[beside] ||
	    now_ms - class->beside_ms[beside] >= INTERFERENCE_EXPIRY_MS) {
		*suspected = false;
		return;
	}
	*suspected = estimate >= (*suspected ? CLEARED_LOG : SUSPECT_LOG) &&
		     estimate >= error * (*suspected ? CLEARED_ERRORS
						     : SUSPECT_ERRORS);
	if (*suspected)
		i->suspected_ms = now_ms;
	if (*suspected && estimate >= error * CERTAIN_ERRORS)
		class->logs[beside] = estimate;
	g_strlcpy(slowdown.class_name, class->name,
		  sizeof(slowdown.class_name));
	g_strlcpy(slowdown.beside, i->classes[beside].name,
		  sizeof(slowdown.beside));
	g_array_append_val(i->slowdowns, slowdown);
}

static void fit_class(struct interference *i, struct class_state *class,
		      int64_t now_ms)
{
	double estimates[FIT_TERMS], errors[FIT_TERMS];

	memset(class->logs, 0, sizeof(class->logs));
	if (!fit_solve(&class->fit, now_ms, estimates, errors))
		return;
	for (size_t k = 0; k < INTERFERENCE_CLASSES_MAX; k++)
		if (i->classes[k].name[0])
			judge_pair(i, class, k, estimates[FIT_CLASS + k],
				   errors[FIT_CLASS + k], now_ms);
}

const GArray *interference_list_slowdowns(struct interference *i,
					  int64_t now_ms)
{
	if (i->fitted_ms && now_ms - i->fitted_ms < FIT_INTERVAL_MS)
		return i->slowdowns;
	i->fitted_ms = now_ms;
	observe_jobs(i, now_ms);
	g_array_set_size(i->slowdowns, 0);
	for (size_t k = 0; k < INTERFERENCE_CLASSES_MAX; k++)
		if (i->classes[k].name[0])
			fit_class(i, &i->classes[k], now_ms);
	if (!i->suspected_ms ||
	    now_ms - i->suspected_ms >= REPORT_AFTER_SUSPICION_MS)
		g_array_set_size(i->slowdowns, 0);
	return i->slowdowns;
}
