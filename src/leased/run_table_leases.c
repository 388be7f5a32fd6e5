/*
 * run_table_leases: until when the runs of a server may be kept running. A run
 * may continue while its dispatcher holds its lease; the end of that lease no
 * longer moves once the run has to stop.
 */
#include "leased/run_table_internal.h"

#include "leased/leases.h"

static bool has_to_stop(const struct run *run)
{
	return run->stop_requested || run->state == RUN_STOPPING ||
	       run->state == RUN_STOPPED;
}

void run_table_extend_lease(struct run_table *table, uint64_t dispatcher,
			    int64_t lease_end_ms)
{
	for (guint i = 0; i < table->runs->len; i++) {
		struct run *run = run_table_at(table, i);

		if (run->request.dispatcher == dispatcher && !has_to_stop(run))
			run->request.lease_end_ms =
				MAX(run->request.lease_end_ms, lease_end_ms);
	}
}

/* An end is seen in a list some time later. A run whose stop was acknowledged
 * has ended RUN_STOP_MAX_MS after that. */
int64_t run_outlived_ms(const struct run *run, int64_t now_ms)
{
	int64_t ended_ms = now_ms;

	if (!run->may_have_started)
		return 0;
	if (run->state == RUN_STOPPED)
		ended_ms = MIN(now_ms, run->stop_acked_ms + RUN_STOP_MAX_MS);
	return MAX(ended_ms - run->request.lease_end_ms, 0);
}

bool run_table_has_unknown_runs(const struct run_table *table)
{
	return table->unknown_listed;
}

int64_t run_table_renew_until_ms(const struct run_table *table)
{
	int64_t until_ms = table->unknown_listed ? INT64_MIN : INT64_MAX;

	for (guint i = 0; i < table->runs->len; i++) {
		const struct run *run = run_table_at(table, i);

		if (run->state != RUN_QUEUED && run->state != RUN_STOPPED)
			until_ms = MIN(until_ms, run->request.lease_end_ms);
	}
	return until_ms;
}
