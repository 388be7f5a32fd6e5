/*
 * leased_standin: see leased_standin.h. Each call first advances the state to
 * the current time. Times are from this host's monotonic clock; a lease end is
 * converted from the stand-in's own clock, which starts anew with each life.
 */
#include "support/leased_standin_internal.h"

#include "base/clock.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

/* ---- Constants ---- */

#define CPU_MILLI 8000
#define REPORT_US 200000
#define WAIT_STEP_US 2000
#define THREADS 6
#define LEASE_MAX_MS 1000
#define CLOCK_START_MS 1
#define STATUS_OK 200
#define STATUS_CONFLICT 409
#define STATUS_UNAVAILABLE 503

/* ---- Types ---- */

struct standin_run {
	char task[STANDIN_TASK_ID_SIZE];
	int64_t number, end_ms;
	double delay_ms; /* not yet added to end_ms */
	struct interval *interval;
};

struct held_call {
	struct standin_request order;
	struct http_request *request;
};

struct standin {
	struct standin_record *record;
	char *name, *address, *control;
	struct http_server *server;
	GThread *reporter;
	gint stopping;
	GMutex lock; /* protects the fields below */
	GPtrArray *runs; /* struct standin_run */
	GArray *ends; /* struct standin_end */
	/* task -> highest number of a run that was stopped or has ended */
	GHashTable *refused_numbers;
	int64_t lease_ms, last_position, seq, born_ms;
	int64_t clock_zero_ms; /* when the stand-in's clock showed 0 */
	int64_t fence; /* highest fencing token seen */
	int64_t advanced_ms;
	bool use_renewed_lease;
	uint32_t held_kinds; /* mask of 1 << enum standin_call */
	GQueue held; /* struct held_call */
	GQueue muted; /* struct http_request, carried out but not answered */
	bool halted;
};

/* ---- Runs ---- */

static struct standin_run *find(struct standin *s, const char *task)
{
	for (guint i = 0; i < s->runs->len; i++) {
		struct standin_run *run = g_ptr_array_index(s->runs, i);

		if (!strcmp(run->task, task))
			return run;
	}
	return NULL;
}

static void raise_refused_number(struct standin *s, const char *task,
				 int64_t number)
{
	int64_t *known = g_hash_table_lookup(s->refused_numbers, task);

	if (known && *known >= number)
		return;
	g_hash_table_replace(s->refused_numbers, g_strdup(task),
			     g_memdup2(&number, sizeof(number)));
}

static void end_run(struct standin *s, struct standin_run *run, bool done,
		    int64_t at_ms)
{
	struct standin_end end = { .position = ++s->last_position,
				   .number = run->number,
				   .done = done };

	g_strlcpy(end.task, run->task, sizeof(end.task));
	g_array_append_val(s->ends, end);
	raise_refused_number(s, run->task, run->number);
	g_mutex_lock(&s->record->lock);
	run->interval->end_ms = at_ms;
	g_mutex_unlock(&s->record->lock);
	g_ptr_array_remove(s->runs, run);
}

static bool has_label(const struct standin *s, const struct standin_run *except,
		      const char *label)
{
	for (guint i = 0; i < s->runs->len; i++) {
		const struct standin_run *run = g_ptr_array_index(s->runs, i);

		if (run != except && !strcmp(run->interval->label, label))
			return true;
	}
	return false;
}

/* Moves the ends of runs that were slowed down since the last call. */
static void slow_down(struct standin *s, int64_t now_ms)
{
	double passed_ms = (double)(now_ms - s->advanced_ms);

	s->advanced_ms = now_ms;
	for (guint i = 0; i < s->runs->len; i++) {
		struct standin_run *run = g_ptr_array_index(s->runs, i);
		int64_t whole_ms;

		for (size_t k = 0; k < SLOWDOWNS_MAX; k++) {
			const struct slowdown *slowdown =
				&s->record->slowdowns[k];

			if (slowdown->factor > 0 &&
			    !strcmp(slowdown->label, run->interval->label) &&
			    has_label(s, run, slowdown->beside))
				run->delay_ms +=
					passed_ms * (1 - 1 / slowdown->factor);
		}
		whole_ms = (int64_t)run->delay_ms;
		run->delay_ms -= (double)whole_ms;
		run->end_ms += whole_ms;
	}
}

static void advance(struct standin *s, int64_t now_ms)
{
	slow_down(s, now_ms);
	for (guint i = s->runs->len; i-- > 0;) {
		struct standin_run *run = g_ptr_array_index(s->runs, i);

		if (run->end_ms <= MIN(now_ms, s->lease_ms))
			end_run(s, run, true, run->end_ms);
		else if (now_ms > s->lease_ms)
			end_run(s, run, false, s->lease_ms);
	}
}

static void renew(struct standin *s, const struct standin_request *order,
		  int64_t now_ms)
{
	int64_t end_ms = MIN(order->lease_end_ms, now_ms + LEASE_MAX_MS);

	s->lease_ms = MAX(s->lease_ms, end_ms);
}

static bool takes_refusal(struct standin_record *record)
{
	bool refused;

	g_mutex_lock(&record->lock);
	refused = record->starts_to_refuse > 0;
	record->starts_to_refuse -= refused;
	g_mutex_unlock(&record->lock);
	return refused;
}

static enum standin_refusal
start(struct standin *s, const struct standin_request *order, int64_t now_ms)
{
	const int64_t *highest_refused =
		g_hash_table_lookup(s->refused_numbers, order->task);
	struct standin_run *run;
	int64_t end_ms;

	if (takes_refusal(s->record))
		return STANDIN_UNHEALTHY;
	renew(s, order, now_ms);
	end_ms = s->use_renewed_lease ? s->lease_ms : order->lease_end_ms;
	if (end_ms <= now_ms)
		return STANDIN_LATE;
	if (highest_refused && *highest_refused >= order->number)
		return STANDIN_STALE;
	if (find(s, order->task))
		return STANDIN_ACCEPTED;
	run = g_new0(struct standin_run, 1);
	g_strlcpy(run->task, order->task, sizeof(run->task));
	run->number = order->number;
	run->end_ms = now_ms + order->run_ms;
	run->interval = standin_begin_interval(s->record, s, order, now_ms);
	g_ptr_array_add(s->runs, run);
	return STANDIN_ACCEPTED;
}

static void stop(struct standin *s, const struct standin_request *order,
		 int64_t now_ms)
{
	struct standin_run *run = find(s, order->task);

	if (run && run->number <= order->number)
		end_run(s, run, false, now_ms);
	raise_refused_number(s, order->task, order->number);
}

void standin_restart(struct standin *s)
{
	standin_restart_born(s, MAX(standin_born_ms(s) + 1, clock_wall_ms()));
}

void standin_restart_born(struct standin *s, int64_t born_ms)
{
	int64_t now_ms = clock_now_ms();

	g_mutex_lock(&s->lock);
	advance(s, now_ms);
	while (s->runs->len)
		end_run(s, g_ptr_array_index(s->runs, 0), false, now_ms);
	g_array_set_size(s->ends, 0);
	g_hash_table_remove_all(s->refused_numbers);
	s->last_position = 0;
	s->lease_ms = 0;
	s->seq = 0;
	s->fence = 0;
	s->clock_zero_ms = now_ms - CLOCK_START_MS;
	s->born_ms = born_ms;
	g_mutex_unlock(&s->lock);
}

int64_t standin_born_ms(struct standin *s)
{
	g_autoptr(GMutexLocker) locker = g_mutex_locker_new(&s->lock);

	return s->born_ms;
}

int64_t standin_fence(struct standin *s)
{
	g_autoptr(GMutexLocker) locker = g_mutex_locker_new(&s->lock);

	return s->fence;
}

int64_t standin_lease_end_ms(struct standin *s)
{
	g_autoptr(GMutexLocker) locker = g_mutex_locker_new(&s->lock);

	return s->lease_ms;
}

/* ---- Lists ---- */

static void drop_seen_ends(struct standin *s, int64_t last_seen)
{
	for (guint i = s->ends->len; i-- > 0;)
		if (g_array_index(s->ends, struct standin_end, i).position <=
		    last_seen)
			g_array_remove_index(s->ends, i);
}

static char *write_lists(struct standin *s, int64_t now_ms)
{
	g_autoptr(GArray) running =
		g_array_new(FALSE, TRUE, sizeof(struct standin_running));
	char *lists;

	for (guint i = 0; i < s->runs->len; i++) {
		const struct standin_run *run = g_ptr_array_index(s->runs, i);
		struct standin_running row = { .number = run->number };

		g_strlcpy(row.task, run->task, sizeof(row.task));
		g_array_append_val(running, row);
	}
	lists = standin_write_lists(now_ms - s->clock_zero_ms, s->born_ms,
				    running, s->ends);
	return s->record->adds_odd_entries ? standin_add_odd_entries(lists)
					   : lists;
}

/* The agent has the answer to a poll when it sends the next one. */
static void note_poll_followed(struct standin *s)
{
	g_mutex_lock(&s->record->lock);
	for (guint i = 0; i < s->runs->len; i++) {
		struct standin_run *run = g_ptr_array_index(s->runs, i);

		run->interval->poll_followed |= run->interval->listed;
	}
	g_mutex_unlock(&s->record->lock);
}

static void note_listed(struct standin *s)
{
	g_mutex_lock(&s->record->lock);
	for (guint i = 0; i < s->runs->len; i++) {
		struct standin_run *run = g_ptr_array_index(s->runs, i);

		run->interval->listed = true;
	}
	g_mutex_unlock(&s->record->lock);
}

/* Long poll: waits for an end that the caller has not seen. */
static char *poll_runs(struct standin *s, const struct standin_request *order)
{
	int64_t until_ms = clock_now_ms() + order->wait_ms;

	if (g_atomic_int_get(&s->record->answers_polls_at_once))
		until_ms = 0;
	renew(s, order, clock_now_ms());
	drop_seen_ends(s, order->last_seen);
	note_poll_followed(s);
	for (;;) {
		int64_t now_ms = clock_now_ms();

		advance(s, now_ms);
		if (now_ms >= until_ms || s->ends->len || s->halted) {
			note_listed(s);
			return write_lists(s, now_ms);
		}
		g_mutex_unlock(&s->lock);
		g_usleep(WAIT_STEP_US);
		g_mutex_lock(&s->lock);
	}
}

/* ---- HTTP ---- */

/* Carries out a call with the lock held. Sets answer to the lists of a poll. */
static enum standin_refusal
carry_out(struct standin *s, struct standin_request *order, char **answer)
{
	int64_t now_ms = clock_now_ms();

	if (s->halted)
		return STANDIN_UNHEALTHY;
	advance(s, now_ms);
	if (order->fence < s->fence)
		return STANDIN_FENCED;
	s->fence = order->fence;
	if (order->lease_end_ms)
		order->lease_end_ms += s->clock_zero_ms;
	if (order->call == STANDIN_START)
		return start(s, order, now_ms);
	if (order->call == STANDIN_STOP && s->record->refuses_stops)
		return STANDIN_STALE;
	s->record->polls += order->call == STANDIN_POLL;
	if (order->call == STANDIN_POLL && s->record->refuses_polls)
		return STANDIN_STALE;
	if (order->call == STANDIN_STOP)
		stop(s, order, now_ms);
	else
		*answer = poll_runs(s, order);
	return STANDIN_ACCEPTED;
}

static uint32_t status_of(enum standin_refusal refusal)
{
	switch (refusal) {
	case STANDIN_ACCEPTED:
		return STATUS_OK;
	case STANDIN_UNHEALTHY:
		return STATUS_UNAVAILABLE;
	default:
		return STATUS_CONFLICT;
	}
}

static bool has_kind(const gint *kinds, enum standin_call call)
{
	return ((uint32_t)g_atomic_int_get(kinds) & (1U << call)) != 0;
}

/* Called with the lock held. */
static bool hold(struct standin *s, const struct standin_request *order,
		 struct http_request *request)
{
	struct held_call *call;

	if (s->halted || (!(s->held_kinds & (1U << order->call)) &&
			  !has_kind(&s->record->held_kinds, order->call)))
		return false;
	call = g_new0(struct held_call, 1);
	call->order = *order;
	call->request = request;
	g_queue_push_tail(&s->held, call);
	return true;
}

static void execute(struct standin *s, struct standin_request *order,
		    struct http_request *request, bool may_hold)
{
	g_autofree char *answer = NULL;
	enum standin_refusal refusal;
	bool muted;

	g_mutex_lock(&s->lock);
	if (may_hold && hold(s, order, request)) {
		g_mutex_unlock(&s->lock);
		return;
	}
	refusal = carry_out(s, order, &answer);
	muted = !s->halted && has_kind(&s->record->muted_kinds, order->call);
	if (muted)
		g_queue_push_tail(&s->muted, request);
	if (!answer)
		answer = standin_write_answer(clock_now_ms() - s->clock_zero_ms,
					      refusal);
	g_mutex_unlock(&s->lock);
	if (!muted)
		http_reply(request, status_of(refusal), "application/json",
			   answer, strlen(answer), NULL);
}

static void handle(void *arg, struct http_request *request)
{
	struct standin *s = arg;
	struct standin_request order;
	size_t size;
	const void *data = http_body(request, &size);

	standin_read_request(http_path(request), data, size, &order);
	g_mutex_lock(&s->lock);
	if (order.call == STANDIN_START && !s->halted)
		standin_note_start(s->record, s->name, &order);
	g_mutex_unlock(&s->lock);
	execute(s, &order, request, true);
}

char *standin_report(struct standin *s)
{
	char *body;

	g_mutex_lock(&s->lock);
	body = standin_write_report("desk", s->address, CPU_MILLI,
				    clock_now_ms() - s->clock_zero_ms,
				    s->born_ms, ++s->seq);
	g_mutex_unlock(&s->lock);
	return body;
}

static void report(struct standin *s)
{
	g_autofree char *path = standin_report_path(s->name);
	g_autofree char *url = g_strdup_printf("http://%s%s", s->control, path);
	g_autofree char *body = standin_report(s);
	struct http_call call = { .method = "POST",
				  .url = url,
				  .body = body,
				  .size_bytes = strlen(body),
				  .timeout_ms = 1000 };
	struct http_answer answer;

	http_call_now(&call, &answer);
	g_free((void *)(uintptr_t)answer.body);
}

static gpointer run_reporter(gpointer arg)
{
	struct standin *s = arg;

	while (!g_atomic_int_get(&s->stopping)) {
		report(s);
		g_usleep(REPORT_US);
	}
	return NULL;
}

/* ---- Held calls ---- */

void standin_hold(struct standin *s, uint32_t kinds)
{
	g_mutex_lock(&s->lock);
	s->held_kinds = kinds;
	g_mutex_unlock(&s->lock);
}

uint32_t standin_held(struct standin *s)
{
	uint32_t n;

	g_mutex_lock(&s->lock);
	n = g_queue_get_length(&s->held);
	g_mutex_unlock(&s->lock);
	return n;
}

static struct held_call *pop_held(struct standin *s)
{
	struct held_call *call;

	g_mutex_lock(&s->lock);
	call = g_queue_pop_head(&s->held);
	g_mutex_unlock(&s->lock);
	return call;
}

void standin_release(struct standin *s)
{
	struct held_call *call;

	standin_hold(s, 0);
	while ((call = pop_held(s))) {
		execute(s, &call->order, call->request, false);
		g_free(call);
	}
}

uint32_t standin_unanswered(struct standin *s)
{
	uint32_t n;

	g_mutex_lock(&s->lock);
	n = g_queue_get_length(&s->held) + g_queue_get_length(&s->muted);
	g_mutex_unlock(&s->lock);
	return n;
}

void standin_end_runs(struct standin *s)
{
	int64_t now_ms = clock_now_ms();

	g_mutex_lock(&s->lock);
	while (s->runs->len)
		end_run(s, g_ptr_array_index(s->runs, 0), true, now_ms);
	g_mutex_unlock(&s->lock);
}

/* The request must be ended, but the server no longer exists for its caller. */
static void drop_request(gpointer request)
{
	http_reply(request, STATUS_UNAVAILABLE, "application/json", "", 0,
		   NULL);
}

void standin_halt(struct standin *s)
{
	struct held_call *call;

	g_mutex_lock(&s->lock);
	s->halted = true;
	advance(s, clock_now_ms());
	while (s->runs->len)
		end_run(s, g_ptr_array_index(s->runs, 0), false,
			clock_now_ms());
	g_mutex_unlock(&s->lock);
	while ((call = pop_held(s))) {
		drop_request(call->request);
		g_free(call);
	}
	g_queue_clear_full(&s->muted, drop_request);
}

void standin_use_renewed_lease(struct standin *s)
{
	s->use_renewed_lease = true;
}

/* ---- Lifecycle ---- */

struct standin *standin_create(struct standin_record *record, const char *name,
			       const char *address,
			       const char *advertised_address,
			       const char *agent_control)
{
	struct standin *s = g_new0(struct standin, 1);
	struct http_server_options options = { .address = address,
					       .threads = THREADS };

	s->record = record;
	s->name = g_strdup(name);
	s->address = g_strdup(advertised_address);
	s->control = g_strdup(agent_control);
	s->born_ms = clock_wall_ms();
	s->advanced_ms = clock_now_ms();
	s->clock_zero_ms = s->advanced_ms - CLOCK_START_MS;
	g_queue_init(&s->held);
	g_queue_init(&s->muted);
	g_mutex_init(&s->lock);
	s->runs = g_ptr_array_new_with_free_func(g_free);
	s->ends = g_array_new(FALSE, TRUE, sizeof(struct standin_end));
	s->refused_numbers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->server = http_server_create(&options, handle, s, NULL);
	assert_non_null(s->server);
	s->reporter = g_thread_new("standin", run_reporter, s);
	return s;
}

uint16_t standin_port(const struct standin *s)
{
	return http_server_port(s->server);
}

void standin_destroy(struct standin *s)
{
	if (!s)
		return;
	g_atomic_int_set(&s->stopping, 1);
	standin_release(s);
	g_queue_clear_full(&s->muted, drop_request);
	http_server_destroy(s->server);
	g_thread_join(s->reporter);
	while (s->runs->len)
		end_run(s, g_ptr_array_index(s->runs, 0), false,
			clock_now_ms());
	g_ptr_array_unref(s->runs);
	g_array_unref(s->ends);
	g_hash_table_destroy(s->refused_numbers);
	g_mutex_clear(&s->lock);
	g_free(s->name);
	g_free(s->address);
	g_free(s->control);
	g_free(s);
}
