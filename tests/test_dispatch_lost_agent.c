/*
 * test_dispatch_lost_agent: when a dispatcher starts a task again whose agent
 * was lost. Guards against two runs of a task at a time: the run at the lost
 * agent ends with the leases, RUN_END_MAX_MS after the last one was granted.
 */
#include "base/logger.h"
#include "leased/dispatch.h"
#include "leased/leases.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#define TASK_CPU_MILLI 1000
#define DEADLINE_MS 9000

struct starts {
	struct dispatch_sink sink; /* first member */
	uint32_t count;
	uint64_t last_agent;
};

static void count_start(struct dispatch_sink *sink, uint64_t agent,
			const struct start_command *command)
{
	struct starts *s = (struct starts *)sink;

	(void)command;
	s->count++;
	s->last_agent = agent;
}

static void ignore_stop(struct dispatch_sink *sink, uint64_t agent,
			const struct run_name *name)
{
	(void)sink;
	(void)agent;
	(void)name;
}

static void ignore_answer(struct dispatch_sink *sink, void *caller,
			  const struct job_answer *answer)
{
	(void)sink;
	(void)caller;
	(void)answer;
}

static void ignore_demand(struct dispatch_sink *sink, bool has_demand)
{
	(void)sink;
	(void)has_demand;
}

static void connect_agent(struct dispatch *d, uint64_t agent,
			  const char *server, int64_t now_ms)
{
	struct agent_identity identity = { .incarnation = agent,
					   .data_centre = "dc" };
	struct server_state state = { .service = "desk",
				      .capacity = { .cpu_milli = TASK_CPU_MILLI,
						    .memory_mb = 10 },
				      .free_cpu_milli = TASK_CPU_MILLI,
				      .offered_cpu_milli = TASK_CPU_MILLI,
				      .free_memory_mb = 10,
				      .accepting = true };

	g_strlcpy(state.name, server, sizeof(state.name));
	dispatch_agent_connected(d, &identity, now_ms);
	dispatch_update_server(d, agent, &state, now_ms);
	dispatch_finish_report(d, agent, now_ms);
}

static void submit(struct dispatch *d)
{
	struct job_request request = { .id = "j",
				       .route = { .name = "r",
						  .service = "desk",
						  .target_ms = DEADLINE_MS,
						  .stretch_milli = 1600,
						  .attempts_max = 2 },
				       .spec = { .n_tasks = 1,
						 .cpu_milli = TASK_CPU_MILLI,
						 .memory_mb = 1,
						 .estimate_ms = 3000 },
				       .deadline_ms = DEADLINE_MS };

	request.spec.spec = g_bytes_new("x", 1);
	dispatch_submit(d, &request, 0);
	g_bytes_unref(request.spec.spec);
}

static void test_task_starts_again_after_the_leases(void **state)
{
	static const struct dispatch_sink_ops ops = { count_start, ignore_stop,
						      ignore_answer,
						      ignore_demand };
	static const struct {
		const char *what;
		int64_t granted_ms, lost_ms;
	} cases[] = {
		{ "lost at once after a grant", 100, 100 },
		{ "lost late in the lease", 100, 400 },
		{ "found lost after the lease", 100, 900 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct starts s = { .sink.ops = &ops };
		struct dispatch *d = dispatch_create(&s.sink, "dc");
		int64_t now_ms = 0;

		connect_agent(d, 1, "a", 0);
		submit(d);
		assert_int_equal(s.count, 1);
		connect_agent(d, 2, "b", 0);
		dispatch_agent_lease_granted(d, 1, cases[i].granted_ms);
		for (; s.count == 1 && now_ms < 3000; now_ms++) {
			dispatch_agent_lease_granted(d, 2, now_ms);
			if (now_ms == cases[i].lost_ms)
				dispatch_agent_disconnected(d, 1, now_ms);
			dispatch_tick(d, now_ms);
		}
		assert_int_equal(s.count, 2);
		assert_int_equal(s.last_agent, 2);
		assert_true(now_ms - 1 > cases[i].granted_ms + RUN_END_MAX_MS);
		assert_true(now_ms - 1 < cases[i].granted_ms + 1300);
		dispatch_destroy(d);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_task_starts_again_after_the_leases),
	};

	log_configure("test", "test", LOG_ERROR, LOG_FORMAT_TEXT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
