/*
 * many_interference: see many_interference.h.
 */
#include "support/many_interference.h"

#include <glib.h>

#define SEND_INTERVAL_MS 1000

/* ---- Slowdowns ------------------------------------------------------ */

void many_pace_add(struct many_pace *pace, const struct many_pace *other)
{
	pace->beside |= 1U << other->class;
}

int64_t many_pace_delay(struct many_pace *pace, const struct many_load *load)
{
	double factor = 1;
	int64_t ms;

	for (size_t i = 0; i < load->n_slowdowns; i++)
		if (load->slowdowns[i].class == pace->class &&
		    pace->beside & 1U << load->slowdowns[i].beside)
			factor *= load->slowdowns[i].factor;
	pace->beside = 0;
	pace->delay_ms += 1 - 1 / factor;
	ms = (int64_t)pace->delay_ms;
	pace->delay_ms -= (double)ms;
	return ms;
}

/* ---- Estimates ------------------------------------------------------ */

struct many_estimate {
	struct interference *interference;
	int64_t sent_ms[MANY_DISPATCHERS_MAX];
	bool sent_any[MANY_DISPATCHERS_MAX];
};

struct many_estimate_report {
	GArray *classes, *slowdowns;
};

struct many_estimate *many_estimate_create(void)
{
	struct many_estimate *estimate = g_new0(struct many_estimate, 1);

	estimate->interference = interference_create();
	return estimate;
}

void many_estimate_destroy(struct many_estimate *estimate)
{
	interference_destroy(estimate->interference);
	g_free(estimate);
}

void many_estimate_result(struct many_estimate *estimate,
			  struct speed_estimate *speed_estimate,
			  const struct run_result *result, int64_t now_ms)
{
	struct run_result alone = *result;
	struct speed speed;

	speed_estimate_get(speed_estimate, now_ms, &speed);
	alone.run_ms =
		interference_alone_ms(estimate->interference, result, now_ms);
	interference_add_result(estimate->interference, result, speed.log,
				now_ms);
	speed_estimate_add(speed_estimate, &alone, now_ms);
}

void many_estimate_runs(struct many_estimate *estimate,
			const struct run_table *table,
			const struct many_load *load, int64_t now_ms)
{
	g_autoptr(GPtrArray) running = g_ptr_array_new();

	run_table_list_running(table, running);
	interference_set_running(estimate->interference, running,
				 load->cpu_milli, now_ms);
}

/* ---- Reports -------------------------------------------------------- */

struct many_estimate_report *
many_estimate_report(struct many_estimate *estimate, uint32_t dispatcher,
		     int64_t now_ms)
{
	const GArray *slowdowns =
		interference_list_slowdowns(estimate->interference, now_ms);
	const struct class_slowdown nothing = { .samples = 0 };
	struct many_estimate_report *report;

	if (!slowdowns->len && !estimate->sent_any[dispatcher])
		return NULL;
	report = g_new0(struct many_estimate_report, 1);
	report->classes = g_array_new(FALSE, FALSE, sizeof(struct class_runs));
	report->slowdowns =
		g_array_new(FALSE, FALSE, sizeof(struct class_slowdown));
	if (slowdowns->len)
		interference_list_classes(estimate->interference,
					  report->classes);
	else
		g_array_append_val(report->slowdowns, nothing);
	estimate->sent_any[dispatcher] = slowdowns->len > 0;
	if (now_ms - estimate->sent_ms[dispatcher] < SEND_INTERVAL_MS)
		return report;
	estimate->sent_ms[dispatcher] = now_ms;
	if (slowdowns->len)
		g_array_append_vals(report->slowdowns, slowdowns->data,
				    slowdowns->len);
	return report;
}

bool many_estimate_is_due(const struct many_estimate_report *report)
{
	return report && report->slowdowns->len > 0;
}

void many_estimate_free_report(struct many_estimate_report *report)
{
	if (!report)
		return;
	g_array_unref(report->classes);
	g_array_unref(report->slowdowns);
	g_free(report);
}

void many_estimate_apply(const struct many_estimate_report *report,
			 struct dispatch *d, uint64_t agent, const char *server,
			 int64_t now_ms)
{
	static const struct interference_report none = { 0 };
	struct interference_report from;

	if (!report) {
		dispatch_update_interference(d, agent, server, &none, now_ms);
		return;
	}
	from.classes = (const struct class_runs *)(void *)report->classes->data;
	from.n_classes = report->classes->len;
	from.slowdowns =
		(const struct class_slowdown *)(void *)report->slowdowns->data;
	from.n_slowdowns = report->slowdowns->len;
	dispatch_update_interference(d, agent, server, &from, now_ms);
}
