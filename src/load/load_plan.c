/*
 * load_plan: plans which jobs arrive at which time. Arrivals don't depend
 * on answers (open loop): interarrival times are exponentially distributed
 * or read from a recording.
 */
#include "load/load_internal.h"

#include "base/clock.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_S 1000000
#define US_PER_MS 1000
#define MILLI_PER_UNIT 1000
#define FIELDS_MIN 5
#define FIELDS_MAX 6
#define ARRIVAL_MAX_MS 86400000
#define RUN_MAX_MS 600000
#define DEADLINE_MAX_MS 3600000

struct load_plan {
	GRand *random;
	const struct settings *settings;
	int64_t next_us;
	int64_t end_us;
	GPtrArray *recorded; /* struct load_job; NULL: generate jobs */
	guint next_recorded;
	GHashTable *targets; /* maps classes to target_ms; from a recording */
};

/* ---- Jobs ---- */

void load_job_free(struct load_job *job)
{
	g_free(job->run_ms);
	g_free(job->declared_ms);
	g_free(job);
}

static void compute_ideal(struct load_job *job)
{
	job->ideal_ms = 0;
	for (uint32_t i = 0; i < job->n_tasks; i++)
		job->ideal_ms = MAX(job->ideal_ms, job->run_ms[i]);
}

static void append_payload(GString *out, const struct load_job *job,
			   uint32_t index)
{
	g_string_append_printf(out, "{\"run_ms\":%u,\"echo\":\"%s/%u\"}",
			       job->run_ms[index], job->key_text, index);
}

char *load_job_body(const struct load_job *job)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out, "{\"class\":\"%s\",", job->class_name);
	if (job->deadline_ms)
		g_string_append_printf(out, "\"deadline_ms\":%u,",
				       job->deadline_ms);
	g_string_append(out, "\"tasks\":[");
	for (uint32_t i = 0; i < job->n_tasks; i++) {
		g_string_append_printf(out, "%s{\"payload\":", i ? "," : "");
		append_payload(out, job, i);
		if (job->declared_ms)
			g_string_append_printf(out, ",\"declared_ms\":%u",
					       job->declared_ms[i]);
		g_string_append_c(out, '}');
	}
	g_string_append(out, "]}");
	return g_string_free(out, FALSE);
}

char *load_task_body(const struct load_job *job)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out,
			       "{\"key\":\"%s\",\"index\":0,\"class\":\"%s\","
			       "\"payload\":",
			       job->key_text, job->class_name);
	append_payload(out, job, 0);
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

/* ---- Recorded jobs ---- */

static bool parse_number(const char *text, uint64_t max, uint32_t *number)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 0, max, &value, NULL))
		return false;
	*number = (uint32_t)value;
	return true;
}

/* A list shorter than n is repeated cyclically. */
static uint32_t *parse_list(const char *text, uint32_t n)
{
	char **parts = g_strsplit(text, ",", -1);
	guint length = g_strv_length(parts);
	uint32_t *list = g_new0(uint32_t, n);
	bool valid = length > 0;

	for (uint32_t i = 0; valid && i < n; i++)
		valid = parse_number(parts[i % length], RUN_MAX_MS, &list[i]);
	g_strfreev(parts);
	if (!valid)
		g_clear_pointer(&list, g_free);
	return list;
}

static bool parse_job(struct load_job *job, char **words)
{
	guint n = g_strv_length(words);
	uint32_t at_ms;

	if (n < FIELDS_MIN || n > FIELDS_MAX ||
	    !parse_number(words[0], ARRIVAL_MAX_MS, &at_ms) ||
	    g_strlcpy(job->class_name, words[1], CF_NAME_SIZE) >=
		    CF_NAME_SIZE ||
	    !parse_number(words[2], CF_JOB_TASKS_MAX, &job->n_tasks) ||
	    !job->n_tasks ||
	    !parse_number(words[4], DEADLINE_MAX_MS, &job->deadline_ms))
		return false;
	job->planned_us = (int64_t)at_ms * US_PER_MS;
	job->run_ms = parse_list(words[3], job->n_tasks);
	if (!job->run_ms)
		return false;
	if (n == FIELDS_MAX) {
		job->declared_ms = parse_list(words[5], job->n_tasks);
		if (!job->declared_ms)
			return false;
	}
	compute_ideal(job);
	return true;
}

static void parse_comment(struct load_plan *plan, char **words)
{
	uint32_t target_ms;

	if (g_strv_length(words) >= 4 && !strcmp(words[1], "class") &&
	    parse_number(words[3], UINT32_MAX, &target_ms))
		g_hash_table_insert(plan->targets, g_strdup(words[2]),
				    GUINT_TO_POINTER(target_ms));
}

static bool parse_line(struct load_plan *plan, const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	struct load_job *job;
	bool valid = true;

	if (line[0] == '#') {
		parse_comment(plan, words);
	} else if (line[0]) {
		job = g_new0(struct load_job, 1);
		valid = parse_job(job, words);
		if (valid)
			g_ptr_array_add(plan->recorded, job);
		else
			load_job_free(job);
	}
	g_strfreev(words);
	return valid;
}

static gint compare_arrivals(gconstpointer a, gconstpointer b)
{
	const struct load_job *x = *(struct load_job *const *)a;
	const struct load_job *y = *(struct load_job *const *)b;

	return x->planned_us < y->planned_us ? -1
					     : x->planned_us > y->planned_us;
}

static bool read_file(struct load_plan *plan, const char *path, GError **error)
{
	char *text;
	char **lines;
	bool valid = true;

	if (!g_file_get_contents(path, &text, NULL, error))
		return false;
	lines = g_strsplit(text, "\n", -1);
	plan->recorded = g_ptr_array_new();
	for (guint i = 0; valid && lines[i]; i++) {
		valid = parse_line(plan, g_strchomp(lines[i]));
		if (!valid)
			g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
				    "%s line %u: expected \"at_ms class "
				    "tasks run_ms,... deadline_ms "
				    "[declared_ms,...]\"",
				    path, i + 1);
	}
	g_ptr_array_sort(plan->recorded, compare_arrivals);
	g_strfreev(lines);
	g_free(text);
	return valid;
}

/* ---- Create and destroy ---- */

struct load_plan *load_plan_create(const struct settings *settings,
				   uint64_t seed, GError **error)
{
	const guint32 words[] = { (guint32)seed, (guint32)(seed >> 32) };
	const char *path = settings_text(settings, "play");
	struct load_plan *plan = g_new0(struct load_plan, 1);

	plan->random = g_rand_new_with_seed_array(words, G_N_ELEMENTS(words));
	plan->settings = settings;
	plan->end_us = settings_number(settings, "duration-s") * US_PER_S;
	plan->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (path && !read_file(plan, path, error)) {
		load_plan_destroy(plan);
		return NULL;
	}
	return plan;
}

void load_plan_destroy(struct load_plan *plan)
{
	if (!plan)
		return;
	if (plan->recorded) {
		for (guint i = plan->next_recorded; i < plan->recorded->len;
		     i++)
			load_job_free(g_ptr_array_index(plan->recorded, i));
		g_ptr_array_unref(plan->recorded);
	}
	g_hash_table_destroy(plan->targets);
	g_rand_free(plan->random);
	g_free(plan);
}

uint32_t load_plan_target_ms(const struct load_plan *plan, const char *name)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(plan->targets, name));
}

/* ---- Next job ---- */

static uint32_t draw_run_ms(struct load_plan *plan)
{
	double run_ms = (double)settings_number(plan->settings, "run-ms");

	if (settings_bool(plan->settings, "run-spread"))
		run_ms *= exp2(g_rand_double_range(plan->random, -1, 1));
	return (uint32_t)MIN(run_ms, RUN_MAX_MS);
}

static struct load_job *generate_job(struct load_plan *plan)
{
	const struct settings *s = plan->settings;
	double rate = (double)settings_number(s, "rate");
	double gap_s = -log(1 - g_rand_double(plan->random)) / rate;
	struct load_job *job;

	plan->next_us += (int64_t)(gap_s * US_PER_S);
	if (plan->next_us >= plan->end_us)
		return NULL;
	job = g_new0(struct load_job, 1);
	job->planned_us = plan->next_us;
	g_strlcpy(job->class_name, settings_text(s, "class"), CF_NAME_SIZE);
	job->n_tasks = (uint32_t)settings_number(s, "tasks");
	job->run_ms = g_new(uint32_t, job->n_tasks);
	for (uint32_t i = 0; i < job->n_tasks; i++)
		job->run_ms[i] = draw_run_ms(plan);
	job->deadline_ms = (uint32_t)settings_number(s, "job-deadline-ms");
	compute_ideal(job);
	return job;
}

static struct load_job *next_recorded(struct load_plan *plan)
{
	if (plan->next_recorded >= plan->recorded->len)
		return NULL;
	return g_ptr_array_index(plan->recorded, plan->next_recorded++);
}

struct load_job *load_plan_next(struct load_plan *plan)
{
	int64_t part_milli = settings_number(plan->settings, "resubmit-milli");
	struct load_job *job = plan->recorded ? next_recorded(plan)
					      : generate_job(plan);

	if (!job)
		return NULL;
	job->resubmit = g_rand_int_range(plan->random, 0, MILLI_PER_UNIT) <
			part_milli;
	if (job->resubmit)
		job->resubmit_after_ms = (uint32_t)g_rand_int_range(
			plan->random, 0, (gint32)(2 * job->ideal_ms + 2));
	return job;
}
