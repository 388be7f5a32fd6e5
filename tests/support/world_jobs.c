/*
 * world_jobs: see world_jobs.h.
 */
#include "support/world_jobs.h"

#include <math.h>

/* ---- Constants ------------------------------------------------------ */

#define MS_PER_S 1000
#define STRETCH_MILLI 1600
#define TARGET_MS 60
#define ATTEMPTS 3
#define WORK_SPREAD 0.4
#define ESTIMATE_SPREAD 0.4
#define TASK_SPREAD 0.15
#define WIDTH_SPREAD 0.4
/* Large jobs are the tenth with the most tasks: this many standard deviations
 * above the mean. */
#define LARGE_WIDTH_SIGMA 1.28
/* Callers wait this long plus twice the job's objective. */
#define CALLER_WAIT_MS 1500

const struct world_class world_order_desk[WORLD_CLASSES] = {
	{ "stock", 34.4, 8, 60, 6200 },
	{ "quote", 6.25, 4, 900, 6200 },
	{ "slot", 100.0, 2, 200, 6200 },
};

/* ---- Random numbers ------------------------------------------------- */

static double random_normal(GRand *random)
{
	double sum = 0;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(random);
	return sum - 6;
}

static double random_lognormal(GRand *random, double mean, double spread)
{
	return mean * exp(spread * random_normal(random));
}

/* ---- Jobs ----------------------------------------------------------- */

uint32_t world_arrivals(GRand *random, const struct world_class *class,
			double factor, double *arrivals_due)
{
	double per_ms = class->jobs_per_s * factor / MS_PER_S;
	uint32_t n;

	*arrivals_due += -log(1 - g_rand_double(random)) * per_ms;
	n = (uint32_t)*arrivals_due;
	*arrivals_due -= n;
	return n;
}

struct world_job *world_job_create(GRand *random,
				   const struct world_class *classes,
				   size_t class, double poison, uint32_t number,
				   int64_t now_ms)
{
	const struct world_class *c = &classes[class];
	struct world_job *job = g_new0(struct world_job, 1);
	double width = random_normal(random);
	uint32_t longest_ms = 0;

	job->number = number;
	job->class = class;
	job->arrived_ms = now_ms;
	job->poison = g_rand_double(random) < poison;
	job->large = width > LARGE_WIDTH_SIGMA;
	job->tasks =
		(uint32_t)MAX(1, lround(c->tasks * exp(WIDTH_SPREAD * width)));
	job->work_ms =
		(uint32_t)random_lognormal(random, c->work_ms, WORK_SPREAD);
	job->task_ms = g_new0(uint32_t, job->tasks);
	job->running = g_new0(uint32_t, job->tasks);
	for (uint32_t i = 0; i < job->tasks; i++) {
		job->task_ms[i] = (uint32_t)random_lognormal(
			random, job->work_ms, TASK_SPREAD);
		longest_ms = MAX(longest_ms, job->task_ms[i]);
	}
	job->objective_ms =
		(int64_t)longest_ms * STRETCH_MILLI / MS_PER_S + TARGET_MS;
	return job;
}

void world_job_destroy(gpointer data)
{
	struct world_job *job = data;

	g_free(job->task_ms);
	g_free(job->running);
	g_free(job);
}

void world_job_request(GRand *random, const struct world_class *classes,
		       struct world_job *job, struct job_request *request)
{
	const struct world_class *c = &classes[job->class];

	*request = (struct job_request){ .arrived_ms = job->arrived_ms,
					 .caller = job };
	request->deadline_ms =
		job->arrived_ms + CALLER_WAIT_MS + 2 * job->objective_ms;
	g_snprintf(request->id, sizeof(request->id), "%u", job->number);
	g_strlcpy(request->route.service, "desk",
		  sizeof(request->route.service));
	g_strlcpy(request->route.name, c->name, sizeof(request->route.name));
	request->route.target_ms = TARGET_MS;
	request->route.stretch_milli = STRETCH_MILLI;
	request->route.attempts_max = ATTEMPTS;
	request->spec.spec = g_bytes_new("x", 1);
	request->spec.n_tasks = job->tasks;
	request->spec.cpu_milli = c->cpu_milli;
	request->spec.memory_mb = 64;
	request->spec.estimate_ms = (uint32_t)random_lognormal(
		random, job->work_ms, ESTIMATE_SPREAD);
}

/* ---- Answers -------------------------------------------------------- */

void world_job_answered(struct world_job *job, const struct job_answer *answer,
			struct world_result *result, int64_t now_ms)
{
	struct world_tally *tally = &result->classes[job->class];
	int64_t took_ms = now_ms - job->arrived_ms;

	job->answered = true;
	switch (answer->verdict) {
	case JOB_VERDICT_COMPLETED:
		tally->in_target += took_ms <= job->objective_ms;
		tally->late += took_ms > job->objective_ms;
		tally->large_served += job->large;
		break;
	case JOB_VERDICT_FAILED:
		tally->failed++;
		break;
	case JOB_VERDICT_REFUSED:
		tally->refused++;
		tally->retry_after_max_s =
			MAX(tally->retry_after_max_s, answer->retry_after_s);
		tally->refused_late += took_ms > job->objective_ms / 4;
		result->false_refusals += job->started;
		break;
	default:
		tally->given_up++;
		break;
	}
}

uint32_t world_served(const struct world_tally *tally)
{
	return tally->in_target + tally->late;
}
