/*
 * load_check: checks that an answer holds every result of a job, and no
 * other job's results.
 */
#include "load/load_internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define STATUS_OK 200

static bool is_own(const struct load_job *job, json_t *result, uint32_t index)
{
	const char *echo = json_string_value(json_object_get(result, "echo"));
	json_t *inner = json_object_get(result, "index");
	char wanted[CF_KEY_TEXT_SIZE + 16];

	g_snprintf(wanted, sizeof(wanted), "%s/%u", job->key_text, index);
	return echo && !strcmp(echo, wanted) && json_is_integer(inner) &&
	       json_integer_value(inner) == index;
}

static uint64_t hash_results(json_t *results)
{
	char *text = json_dumps(results, JSON_COMPACT | JSON_SORT_KEYS);
	uint64_t hash = text ? XXH3_64bits(text, strlen(text)) : 0;

	free(text);
	return hash;
}

static void check_results(const struct load_job *job, json_t *results,
			  struct load_verdict *verdict)
{
	bool *seen = g_new0(bool, job->n_tasks);
	uint32_t n = 0;
	json_t *item;
	size_t i;

	verdict->own_results = true;
	json_array_foreach(results, i, item)
	{
		json_int_t index =
			json_integer_value(json_object_get(item, "index"));

		if (index < 0 || index >= job->n_tasks || seen[index])
			continue;
		seen[index] = true;
		n++;
		if (!is_own(job, json_object_get(item, "result"),
			    (uint32_t)index))
			verdict->own_results = false;
	}
	verdict->all_results = n == job->n_tasks &&
			       json_array_size(results) == n;
	verdict->results_hash = hash_results(results);
	g_free(seen);
}

static void check_failure(json_t *root, struct load_verdict *verdict)
{
	const char *ran = json_string_value(json_object_get(root, "ran"));
	const char *reason = json_string_value(json_object_get(root, "reason"));

	if (!g_strcmp0(ran, "none"))
		verdict->outcome = LOAD_NOT_RUN;
	else if (!g_strcmp0(ran, "unknown"))
		verdict->outcome = LOAD_MAY_HAVE_RUN;
	if (reason)
		g_strlcpy(verdict->reason, reason, sizeof(verdict->reason));
}

void load_check_job(const struct load_job *job, uint32_t status,
		    const void *body, size_t size_bytes,
		    struct load_verdict *verdict)
{
	json_t *root = json_loadb(body ? body : "", size_bytes,
				  JSON_REJECT_DUPLICATES, NULL);
	const char *outcome =
		json_string_value(json_object_get(root, "outcome"));

	memset(verdict, 0, sizeof(*verdict));
	verdict->outcome = LOAD_LOST;
	g_snprintf(verdict->reason, sizeof(verdict->reason),
		   "status_%u_without_outcome", status);
	if (status == STATUS_OK && !g_strcmp0(outcome, "complete")) {
		verdict->outcome = LOAD_COMPLETE;
		check_results(job, json_object_get(root, "results"), verdict);
	} else if (!g_strcmp0(outcome, "failed")) {
		check_failure(root, verdict);
	}
	json_decref(root);
}

bool load_check_task(const struct load_job *job, uint32_t status,
		     const void *body, size_t size_bytes)
{
	json_t *root = json_loadb(body ? body : "", size_bytes, 0, NULL);
	bool own_results = status == STATUS_OK &&
			   is_own(job, json_object_get(root, "result"), 0);

	json_decref(root);
	return own_results;
}
