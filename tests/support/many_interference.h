/*
 * many_interference: classes that slow each other down in many_world, and the
 * agents' estimates of that. Estimates are sent at most once a second; unlike
 * the agent, this neither renews them nor reports classes on their own.
 */
#ifndef SUPPORT_MANY_INTERFERENCE_H
#define SUPPORT_MANY_INTERFERENCE_H

#include "leased/dispatch.h"
#include "leased/speed_estimate.h"
#include "support/many_world.h"

/* How fast a run advances. */
struct many_pace {
	size_t class;
	uint32_t beside; /* bit set of the classes beside it in this step */
	double delay_ms; /* not yet added to its end */
};

void many_pace_add(struct many_pace *pace, const struct many_pace *other);
/* Ends a step of 1 ms. Returns by how many ms the run ends later. */
int64_t many_pace_delay(struct many_pace *pace, const struct many_load *load);

struct many_estimate;
struct many_estimate_report;

struct many_estimate *many_estimate_create(void);
void many_estimate_destroy(struct many_estimate *estimate);
/* Counts a result in both estimates, like agent_count_result(). */
void many_estimate_result(struct many_estimate *estimate,
			  struct speed_estimate *speed_estimate,
			  const struct run_result *result, int64_t now_ms);
void many_estimate_runs(struct many_estimate *estimate,
			const struct run_table *table,
			const struct many_load *load, int64_t now_ms);
/* Returns NULL if nothing is to be reported. */
struct many_estimate_report *
many_estimate_report(struct many_estimate *estimate, uint32_t dispatcher,
		     int64_t now_ms);
/* Whether the report has to be sent even if nothing else has changed. */
bool many_estimate_is_due(const struct many_estimate_report *report);
void many_estimate_free_report(struct many_estimate_report *report);
void many_estimate_apply(const struct many_estimate_report *report,
			 struct dispatch *d, uint64_t agent, const char *server,
			 int64_t now_ms);

#endif
