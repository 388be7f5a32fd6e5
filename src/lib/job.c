/*
 * job: the state of one job at its dispatcher. It follows where each task is
 * and gives one answer, which is final once it is not CF_ANSWER_NONE.
 */
#include "chervilferry.h"

/* ---- Types ---- */

enum task_state {
	STATE_UNPLACED, /* to be sent */
	STATE_SENT,
	STATE_RUNNING, /* sent, and known to have started */
	STATE_DONE,
	STATE_FAILED,
	STATE_LOST, /* may have run */
	STATES,
};

struct job_task {
	enum task_state state;
	uint64_t agent;
	GBytes *result;
};

struct cf_job {
	struct cf_key key;
	uint64_t number;
	uint32_t n_tasks;
	uint32_t counts[STATES]; /* tasks in each state */
	bool stop_requested;
	enum cf_job_answer answer;
	char *message;
	char *stop_reason;
	struct job_task tasks[];
};

/* ---- Construction ---- */

struct cf_job *cf_job_create(const struct cf_key *key, uint64_t number,
			     uint32_t n_tasks)
{
	struct cf_job *job =
		g_malloc0(sizeof(*job) + n_tasks * sizeof(struct job_task));

	job->key = *key;
	job->number = number;
	job->n_tasks = n_tasks;
	job->counts[STATE_UNPLACED] = n_tasks;
	return job;
}

void cf_job_destroy(struct cf_job *job)
{
	if (!job)
		return;
	for (uint32_t i = 0; i < job->n_tasks; i++) {
		if (job->tasks[i].result)
			g_bytes_unref(job->tasks[i].result);
	}
	g_free(job->message);
	g_free(job->stop_reason);
	g_free(job);
}

/* ---- Task states and the answer ---- */

static bool is_pending(const struct job_task *task)
{
	return task->state == STATE_SENT || task->state == STATE_RUNNING;
}

static void set_task_state(struct cf_job *job, struct job_task *task,
			   enum task_state state)
{
	job->counts[task->state]--;
	job->counts[state]++;
	task->state = state;
}

static void set_answer(struct cf_job *job, enum cf_job_answer answer,
		       const char *message)
{
	job->answer = answer;
	job->message = g_strdup(message ? message : "");
}

static void update_answer(struct cf_job *job, const char *message)
{
	if (job->answer != CF_ANSWER_NONE)
		return;
	if (job->counts[STATE_FAILED])
		set_answer(job, CF_ANSWER_FAILED, message);
	else if (job->counts[STATE_LOST])
		set_answer(job, CF_ANSWER_UNKNOWN, message);
	else if (job->counts[STATE_DONE] == job->n_tasks)
		set_answer(job, CF_ANSWER_COMPLETE, NULL);
	else if (!job->stop_requested)
		return;
	else if (job->counts[STATE_DONE] || job->counts[STATE_RUNNING])
		set_answer(job, CF_ANSWER_UNKNOWN, job->stop_reason);
	else if (!job->counts[STATE_SENT])
		set_answer(job, CF_ANSWER_NOT_RUN, job->stop_reason);
}

/* ---- Events ---- */

bool cf_job_send(struct cf_job *job, uint32_t index, uint64_t agent)
{
	struct job_task *task;

	if (index >= job->n_tasks || job->stop_requested ||
	    job->answer != CF_ANSWER_NONE)
		return false;
	task = &job->tasks[index];
	if (task->state != STATE_UNPLACED)
		return false;
	task->agent = agent;
	set_task_state(job, task, STATE_SENT);
	return true;
}

bool cf_job_event(struct cf_job *job, uint32_t index, uint64_t agent,
		  enum cf_job_event event, GBytes *result, const char *message)
{
	struct job_task *task;

	if (index >= job->n_tasks)
		return false;
	task = &job->tasks[index];
	if (!is_pending(task) || task->agent != agent)
		return false;
	switch (event) {
	case CF_EVENT_DONE:
		/* The task ran, but without its result the answer is not
		 * complete. */
		if (result)
			task->result = g_bytes_ref(result);
		set_task_state(job, task, result ? STATE_DONE : STATE_LOST);
		break;
	case CF_EVENT_FAILED:
		set_task_state(job, task, STATE_FAILED);
		break;
	case CF_EVENT_FENCED:
		if (task->state == STATE_RUNNING)
			return false;
		set_task_state(job, task, STATE_UNPLACED);
		break;
	case CF_EVENT_RUNNING:
		set_task_state(job, task, STATE_RUNNING);
		break;
	case CF_EVENT_LOST:
		set_task_state(job, task, STATE_LOST);
		break;
	default:
		return false;
	}
	update_answer(job, message);
	return true;
}

void cf_job_lose_agent(struct cf_job *job, uint64_t agent)
{
	bool lost = false;

	for (uint32_t i = 0; i < job->n_tasks; i++) {
		struct job_task *task = &job->tasks[i];

		if (!is_pending(task) || task->agent != agent)
			continue;
		set_task_state(job, task, STATE_LOST);
		lost = true;
	}
	if (lost)
		update_answer(job, "an agent was lost");
}

void cf_job_stop(struct cf_job *job, const char *reason)
{
	if (job->stop_requested)
		return;
	job->stop_requested = true;
	job->stop_reason = g_strdup(reason);
	update_answer(job, reason);
}

/* ---- Queries ---- */

enum cf_job_answer cf_job_answer(const struct cf_job *job, const char **message)
{
	if (message)
		*message = job->message ? job->message : "";
	return job->answer;
}

GBytes *cf_job_result(const struct cf_job *job, uint32_t index)
{
	if (job->answer != CF_ANSWER_COMPLETE || index >= job->n_tasks)
		return NULL;
	return job->tasks[index].result;
}

size_t cf_job_unplaced(const struct cf_job *job, uint32_t *indexes, size_t max)
{
	size_t count = 0;

	if (job->stop_requested || job->answer != CF_ANSWER_NONE)
		return 0;
	for (uint32_t i = 0; i < job->n_tasks && count < max; i++) {
		if (job->tasks[i].state == STATE_UNPLACED)
			indexes[count++] = i;
	}
	return count;
}

size_t cf_job_agents(const struct cf_job *job, uint64_t *agents, size_t max)
{
	size_t count = 0;

	for (uint32_t i = 0; i < job->n_tasks && count < max; i++) {
		size_t known = 0;

		if (!is_pending(&job->tasks[i]))
			continue;
		while (known < count && agents[known] != job->tasks[i].agent)
			known++;
		if (known == count)
			agents[count++] = job->tasks[i].agent;
	}
	return count;
}

size_t cf_job_pending_at(const struct cf_job *job, uint64_t agent,
			 uint32_t *indexes, size_t max)
{
	size_t count = 0;

	for (uint32_t i = 0; i < job->n_tasks && count < max; i++) {
		if (is_pending(&job->tasks[i]) && job->tasks[i].agent == agent)
			indexes[count++] = i;
	}
	return count;
}

uint32_t cf_job_pending_count(const struct cf_job *job)
{
	return job->counts[STATE_SENT] + job->counts[STATE_RUNNING];
}
