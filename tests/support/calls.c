/*
 * calls: concurrent requests to dispatchers; see calls.h.
 */
#include "calls.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

/* ---- Constants ---- */

#define CALL_TIMEOUT_MS 40000
#define STARTS_WAIT_MS 20000

/* ---- Calls ---- */

void call_init(struct call *call, struct cluster *c, const char *dispatcher,
	       const char *method, const char *key, const char *body)
{
	memset(call, 0, sizeof(*call));
	g_strlcpy(call->address, cluster_address(c, dispatcher, "http"),
		  sizeof(call->address));
	g_strlcpy(call->method, method, sizeof(call->method));
	g_strlcpy(call->key, key, sizeof(call->key));
	if (!strcmp(method, "POST"))
		call->body = body ? g_strdup(body)
				  : cluster_job_body("default", 1, 5, 5000);
}

static gpointer run(gpointer arg)
{
	struct call *call = arg;
	char path[80];

	if (call->body)
		snprintf(path, sizeof(path), "/v1/jobs");
	else
		snprintf(path, sizeof(path), "/v1/jobs/%s", call->key);
	call->status = cluster_http(call->address, call->method, path,
				    call->body ? call->key : NULL, call->body,
				    &call->answer, CALL_TIMEOUT_MS);
	return NULL;
}

void call_start(struct call *call)
{
	call->thread = g_thread_new("call", run, call);
}

void call_join(struct call *call)
{
	g_thread_join(call->thread);
	call->thread = NULL;
}

void call_run(struct call *call)
{
	run(call);
}

void call_clear(struct call *call)
{
	g_free(call->body);
	g_free(call->answer);
}

/* ---- Answers ---- */

bool call_answer_contains(const struct call *call, const char *text)
{
	return call->answer && strstr(call->answer, text);
}

bool call_ran_none(const struct call *call)
{
	return call_answer_contains(call, "\"ran\":\"none\"");
}

bool call_ran_unknown(const struct call *call)
{
	return call_answer_contains(call, "\"ran\":\"unknown\"");
}

bool call_same_complete(const struct call *a, const struct call *b)
{
	return a->status == 200 && b->status == 200 &&
	       !g_strcmp0(a->answer, b->answer);
}

/* ---- Counters ---- */

int64_t cluster_sum(struct cluster *c, const char *role, const char *metric)
{
	int64_t sum = 0;
	int i;

	for (i = 0; i < c->n_procs; i++)
		if (c->procs[i].pid && !strcmp(c->procs[i].role, role))
			sum += cluster_metric(c, c->procs[i].name, metric);
	return sum;
}

static bool enough_started(struct cluster *c, void *starts)
{
	return cluster_sum(c, "agent",
			   "chervilferry_agent_tasks_started_total") >=
	       *(int64_t *)starts;
}

void cluster_wait_starts(struct cluster *c, int64_t starts)
{
	if (!cluster_wait(c, enough_started, &starts, STARTS_WAIT_MS))
		fail_msg("fewer than %d tasks have started", (int)starts);
}
