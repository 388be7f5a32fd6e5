/*
 * run_table: see run_table.h. A server runs a few dozen tasks at once, so
 * the runs are kept in one array and searched linearly.
 */
#include "leased/run_table_internal.h"

#include <string.h>

/* ---- Constants ------------------------------------------------------ */

/* An unacknowledged stop is sent again after this time. */
#define STOP_RETRY_MS 65
/* Pause before the next start after the server refused one as too late or
 * because it had less free capacity than was computed here. */
#define NO_CAPACITY_PAUSE_MS 15
/* A run that waits for capacity this long goes back to its dispatcher:
 * another server may have some. Dispatchers that are offered the same capacity
 * at the same time send more than fits. With 5 ms, starts came back too soon
 * where servers refuse some of them. */
#define QUEUED_MAX_MS 12
#define NEVER INT64_MAX

/* ---- Lifecycle ------------------------------------------------------ */

static void free_run(gpointer data)
{
	struct run *run = data;

	g_bytes_unref(run->request.spec);
	g_free(run);
}

struct run_table *run_table_create(void)
{
	struct run_table *table = g_new0(struct run_table, 1);

	table->runs = g_ptr_array_new_with_free_func(free_run);
	g_queue_init(&table->results);
	table->lost = g_array_new(FALSE, FALSE, sizeof(struct lost_run));
	return table;
}

void run_table_destroy(struct run_table *table)
{
	if (!table)
		return;
	g_ptr_array_unref(table->runs);
	g_array_unref(table->lost);
	g_queue_clear_full(&table->results, g_free);
	g_free(table);
}

void run_table_set_capacity(struct run_table *table,
			    const struct cf_capacity *capacity)
{
	table->capacity = *capacity;
}

/* ---- Lookup and results --------------------------------------------- */

struct run *run_table_at(const struct run_table *table, guint i)
{
	return g_ptr_array_index(table->runs, i);
}

struct run *run_table_find(const struct run_table *table,
			   const struct run_name *name, guint *position)
{
	struct run *found = NULL;

	for (guint i = 0; i < table->runs->len; i++) {
		struct run *run = run_table_at(table, i);

		if (!run_name_equal(&run->request.name, name) ||
		    (found && run->state == RUN_QUEUED))
			continue;
		if (position)
			*position = i;
		found = run;
	}
	return found;
}

static struct run *find_of(const struct run_table *table, uint64_t dispatcher,
			   const struct run_name *name, guint *position)
{
	for (guint i = 0; i < table->runs->len; i++) {
		struct run *run = run_table_at(table, i);

		if (run->request.dispatcher != dispatcher ||
		    !run_name_equal(&run->request.name, name))
			continue;
		if (position)
			*position = i;
		return run;
	}
	return NULL;
}

static bool is_task_of_another(const struct run *a, const struct run *b)
{
	return a->request.dispatcher != b->request.dispatcher &&
	       a->request.name.index == b->request.name.index &&
	       !strcmp(a->request.name.job, b->request.name.job);
}

static void count_failure(struct run_table *table,
			  const struct run_result *result)
{
	if (result->outcome == RUN_OUTCOME_DONE) {
		table->failed_in_a_row = 0;
		table->failed_job[0] = '\0';
	}
	if (result->outcome != RUN_OUTCOME_FAILED ||
	    !strcmp(table->failed_job, result->name.job))
		return;
	table->failed_in_a_row =
		MIN(table->failed_in_a_row + 1, RUN_FAILURES_COUNTED_MAX);
	g_strlcpy(table->failed_job, result->name.job,
		  sizeof(table->failed_job));
}

void run_table_finish_at(struct run_table *table, guint position,
			 enum run_outcome outcome, int64_t now_ms)
{
	struct run *run = run_table_at(table, position);
	struct run_result result = { .dispatcher = run->request.dispatcher,
				     .name = run->request.name,
				     .outcome = outcome,
				     .expected_ms = run->request.expected_ms };

	if (outcome != RUN_OUTCOME_NOT_STARTED)
		result.outlived_ms = run_outlived_ms(run, now_ms);
	if (outcome == RUN_OUTCOME_LOST) {
		result.run_ms = run_table_lost_after_ms(run);
		result.doubt = run->loss_doubt;
	} else if (run->started_ms && now_ms > run->started_ms) {
		result.run_ms = (uint32_t)(now_ms - run->started_ms);
	}
	count_failure(table, &result);
	ended_runs_add(&table->ended, &result.name, outcome, now_ms);
	g_queue_push_tail(&table->results, g_memdup2(&result, sizeof(result)));
	g_ptr_array_remove_index(table->runs, position);
}

const struct ended_run *run_table_find_ended(const struct run_table *table,
					     const struct run_name *name,
					     int64_t now_ms)
{
	return ended_runs_find(&table->ended, name, now_ms);
}

bool run_table_has(const struct run_table *table, uint64_t dispatcher,
		   const struct run_name *name)
{
	return find_of(table, dispatcher, name, NULL) != NULL;
}

bool run_table_has_dispatcher(const struct run_table *table,
			      uint64_t dispatcher)
{
	for (guint i = 0; i < table->runs->len; i++)
		if (run_table_at(table, i)->request.dispatcher == dispatcher)
			return true;
	return false;
}

bool run_table_is_idle(const struct run_table *table)
{
	return table->runs->len == 0;
}

bool run_table_pop_result(struct run_table *table, struct run_result *result)
{
	struct run_result *first = g_queue_pop_head(&table->results);

	if (!first)
		return false;
	*result = *first;
	g_free(first);
	return true;
}

GArray *run_table_take_lost(struct run_table *table)
{
	GArray *lost = table->lost;

	table->lost = g_array_new(FALSE, FALSE, sizeof(struct lost_run));
	return lost;
}

/* ---- Free capacity -------------------------------------------------- */

static void sum_load(const struct run_table *table, bool include_queued,
		     struct run_load *load)
{
	load->free_cpu_milli = table->capacity.cpu_milli;
	load->free_memory_mb = table->capacity.memory_mb;
	for (guint i = 0; i < table->runs->len; i++) {
		const struct run *run = run_table_at(table, i);
		bool is_queued = run->state == RUN_QUEUED;

		load->queued += is_queued;
		load->running += !is_queued;
		if (is_queued && !include_queued)
			continue;
		load->free_cpu_milli -= run->request.cpu_milli;
		load->free_memory_mb -= run->request.memory_mb;
	}
}

static int64_t free_accelerators(const struct run_table *table)
{
	int64_t free = table->capacity.accelerators;

	for (guint i = 0; i < table->runs->len; i++)
		if (run_table_at(table, i)->state != RUN_QUEUED)
			free -= run_table_at(table, i)->request.accelerators;
	return free;
}

void run_table_get_load(const struct run_table *table, struct run_load *load)
{
	memset(load, 0, sizeof(*load));
	sum_load(table, true, load);
	load->failed_in_a_row = table->failed_in_a_row;
	if (load->free_memory_mb < 0 || free_accelerators(table) < 0)
		load->free_cpu_milli = MIN(load->free_cpu_milli, -1);
}

/* Nothing fits while the capacity is below what runs there. */
static bool fits(const struct run_table *table, const struct run *run)
{
	struct run_load load = { 0 };

	sum_load(table, false, &load);
	return run->request.cpu_milli <= load.free_cpu_milli &&
	       run->request.memory_mb <= load.free_memory_mb &&
	       run->request.accelerators <= free_accelerators(table);
}

/* ---- Starting ------------------------------------------------------- */

void run_table_enqueue(struct run_table *table,
		       const struct run_request *request, int64_t now_ms)
{
	struct run *run;
	guint position = 0;

	table->now_ms = now_ms;
	if (find_of(table, request->dispatcher, &request->name, NULL))
		return;
	run = g_new0(struct run, 1);
	run->request = *request;
	run->queued_ms = now_ms;
	g_bytes_ref(run->request.spec);
	while (position < table->runs->len &&
	       run_table_at(table, position)->request.target_start_ms <=
		       request->target_start_ms)
		position++;
	g_ptr_array_insert(table->runs, (gint)position, run);
}

/* Whether another dispatcher, to which the job was sent too, runs the task. */
static bool runs_for_another(const struct run_table *table,
			     const struct run *queued)
{
	for (guint i = 0; i < table->runs->len; i++) {
		const struct run *run = run_table_at(table, i);

		if (run->state != RUN_QUEUED && is_task_of_another(run, queued))
			return true;
	}
	return false;
}

static void expire_queued(struct run_table *table, int64_t now_ms)
{
	for (guint i = table->runs->len; i-- > 0;)
		if (run_table_at(table, i)->state == RUN_QUEUED &&
		    MIN(run_table_at(table, i)->request.deadline_ms,
			run_table_at(table, i)->request.lease_end_ms) <= now_ms)
			run_table_finish_at(table, i, RUN_OUTCOME_NOT_STARTED,
					    now_ms);
}

/* Returns the runs that were queued for long to their dispatchers. */
static void return_blocked(struct run_table *table, int64_t now_ms)
{
	for (guint i = table->runs->len; i-- > 0;)
		if (run_table_at(table, i)->state == RUN_QUEUED &&
		    now_ms - run_table_at(table, i)->queued_ms > QUEUED_MAX_MS)
			run_table_finish_at(table, i, RUN_OUTCOME_NOT_STARTED,
					    now_ms);
}

const struct run_request *run_table_next_start(struct run_table *table,
					       int64_t now_ms)
{
	table->now_ms = now_ms;
	expire_queued(table, now_ms);
	if (now_ms < table->next_start_ms)
		return NULL;
	for (guint i = 0; i < table->runs->len; i++) {
		struct run *run = run_table_at(table, i);

		if (run->state != RUN_QUEUED || runs_for_another(table, run))
			continue;
		/* Smaller runs don't overtake the first queued run. */
		if (!fits(table, run)) {
			return_blocked(table, now_ms);
			return NULL;
		}
		run->state = RUN_STARTING;
		run->start_sent_ms = now_ms;
		run->may_have_started = true;
		return &run->request;
	}
	return NULL;
}

static void request_stop(struct run_table *table, struct run *run)
{
	run->state = RUN_STOPPING;
	run->stop_sent_ms = 0;
	if (!run->stop_requested_ms)
		run->stop_requested_ms = table->now_ms;
}

static void handle_refusal(struct run_table *table, guint position,
			   enum run_refusal refusal, int64_t now_ms)
{
	struct run *run = run_table_at(table, position);
	bool retry = refusal == RUN_NO_CAPACITY || refusal == RUN_LEASE_EXPIRED;

	if (retry && !run->stop_requested) {
		run->state = RUN_QUEUED;
		run->may_have_started = false;
		run->lost_ms = 0;
		table->next_start_ms = now_ms + NO_CAPACITY_PAUSE_MS;
		return;
	}
	if (refusal == RUN_STALE || refusal == RUN_FENCED)
		run_table_finish_at(table, position, RUN_OUTCOME_STALE, now_ms);
	else if (refusal == RUN_MALFORMED)
		run_table_finish_at(table, position, RUN_OUTCOME_UNREADABLE,
				    now_ms);
	else if (refusal == RUN_UNHEALTHY)
		run_table_finish_at(table, position, RUN_OUTCOME_REFUSED,
				    now_ms);
	else
		run_table_finish_at(table, position, RUN_OUTCOME_NOT_STARTED,
				    now_ms);
}

void run_table_start_answered(struct run_table *table,
			      const struct run_name *name,
			      enum run_refusal refusal, int64_t now_ms)
{
	guint position;
	struct run *run = run_table_find(table, name, &position);

	table->now_ms = now_ms;
	if (!run || run->state != RUN_STARTING)
		return;
	if (refusal != RUN_ACCEPTED) {
		handle_refusal(table, position, refusal, now_ms);
		return;
	}
	run->state = RUN_RUNNING;
	run->started_ms = now_ms;
	run->seen_ms = now_ms;
	if (run->stop_requested)
		request_stop(table, run);
}

void run_table_start_unanswered(struct run_table *table,
				const struct run_name *name)
{
	struct run *run = run_table_find(table, name, NULL);

	if (run && run->state == RUN_STARTING)
		request_stop(table, run);
}

void run_table_start_not_sent(struct run_table *table,
			      const struct run_name *name, int64_t now_ms)
{
	guint position;
	const struct run *run = run_table_find(table, name, &position);

	if (run && run->state == RUN_STARTING)
		run_table_finish_at(table, position, RUN_OUTCOME_NOT_STARTED,
				    now_ms);
}

/* ---- Stopping ------------------------------------------------------- */

static void stop_at(struct run_table *table, guint position)
{
	struct run *run = run_table_at(table, position);

	switch (run->state) {
	case RUN_QUEUED:
		run_table_finish_at(table, position, RUN_OUTCOME_NOT_STARTED,
				    table->now_ms);
		break;
	case RUN_STARTING:
		run->stop_requested = true;
		break;
	case RUN_RUNNING:
		request_stop(table, run);
		break;
	default:
		break;
	}
}

void run_table_stop(struct run_table *table, uint64_t dispatcher,
		    const struct run_name *name)
{
	guint position;

	if (find_of(table, dispatcher, name, &position))
		stop_at(table, position);
}

static bool is_kept(const struct run *run, const struct run_name *kept,
		    size_t n_kept)
{
	for (size_t i = 0; i < n_kept; i++)
		if (run_name_equal(&run->request.name, &kept[i]))
			return true;
	return false;
}

void run_table_stop_others(struct run_table *table, uint64_t dispatcher,
			   const struct run_name *kept, size_t n_kept)
{
	for (guint i = table->runs->len; i-- > 0;)
		if (run_table_at(table, i)->request.dispatcher == dispatcher &&
		    !is_kept(run_table_at(table, i), kept, n_kept))
			stop_at(table, i);
}

void run_table_return_queued(struct run_table *table)
{
	for (guint i = table->runs->len; i-- > 0;)
		if (run_table_at(table, i)->state == RUN_QUEUED)
			stop_at(table, i);
}

bool run_table_next_stop(struct run_table *table, int64_t now_ms,
			 struct run_name *name)
{
	table->now_ms = now_ms;
	for (guint i = 0; i < table->runs->len; i++) {
		struct run *run = run_table_at(table, i);

		if (run->state != RUN_STOPPING ||
		    (run->stop_sent_ms &&
		     now_ms < run->stop_sent_ms + STOP_RETRY_MS))
			continue;
		run->stop_sent_ms = now_ms;
		*name = run->request.name;
		return true;
	}
	return false;
}

void run_table_stop_acked(struct run_table *table, const struct run_name *name,
			  int64_t now_ms)
{
	struct run *run = run_table_find(table, name, NULL);

	if (!run || run->state != RUN_STOPPING)
		return;
	run->state = RUN_STOPPED;
	run->stop_acked_ms = now_ms;
}

int64_t run_table_stop_age_ms(const struct run_table *table, int64_t now_ms)
{
	int64_t oldest_ms = NEVER;

	for (guint i = 0; i < table->runs->len; i++)
		if (run_table_at(table, i)->state == RUN_STOPPING)
			oldest_ms =
				MIN(oldest_ms,
				    run_table_at(table, i)->stop_requested_ms);
	return oldest_ms == NEVER ? 0 : MAX(now_ms - oldest_ms, 1);
}

bool run_table_awaits_list(const struct run_table *table)
{
	for (guint i = 0; i < table->runs->len; i++)
		if (run_table_at(table, i)->state == RUN_STOPPED)
			return true;
	return false;
}

/* ---- Lease expiry and server restart -------------------------------- */

void run_table_lease_expired(struct run_table *table, int64_t now_ms)
{
	for (guint i = table->runs->len; i-- > 0;)
		run_table_finish_at(
			table, i,
			run_table_at(table, i)->may_have_started
				? run_table_cut_outcome(run_table_at(table, i))
				: RUN_OUTCOME_NOT_STARTED,
			now_ms);
}

/* Even a start that was answered may have reached the new incarnation before
 * the agent knew of it, so only a list of the new incarnation shows which runs
 * it has. Stops that the earlier incarnation acknowledged are requested again.
 */
void run_table_server_restarted(struct run_table *table, int64_t now_ms)
{
	table->now_ms = now_ms;
	table->failed_in_a_row = 0;
	table->unknown_listed = false;
	ended_runs_server_restarted(&table->ended);
	for (guint i = 0; i < table->runs->len; i++) {
		struct run *run = run_table_at(table, i);

		run->listed = false;
		if (run->state == RUN_STOPPED)
			run->stop_requested_ms = 0;
		if (run->state != RUN_QUEUED)
			request_stop(table, run);
	}
}
