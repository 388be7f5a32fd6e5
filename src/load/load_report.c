/*
 * load_report: prints the results of a load run as text or as a JSON
 * object of integers, with times in microseconds and ratios in thousandths.
 */
#include "load/load_internal.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000
#define MILLI_PER_UNIT 1000
#define ALL_CLASSES UINT32_MAX

/* ---- Create and destroy ---- */

struct load_report *load_report_create(uint64_t seed)
{
	struct load_report *report = g_new0(struct load_report, 1);

	report->seed = seed;
	report->classes = g_ptr_array_new_with_free_func(g_free);
	report->samples = g_array_new(FALSE, FALSE, sizeof(struct load_sample));
	report->direct = g_array_new(FALSE, FALSE, sizeof(struct load_sample));
	report->reasons =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return report;
}

void load_report_destroy(struct load_report *report)
{
	g_ptr_array_unref(report->classes);
	g_array_unref(report->samples);
	g_array_unref(report->direct);
	g_hash_table_destroy(report->reasons);
	if (report->messages)
		g_hash_table_destroy(report->messages);
	g_free(report);
}

uint32_t load_report_class(struct load_report *report, const char *name)
{
	for (guint i = 0; i < report->classes->len; i++)
		if (!strcmp(g_ptr_array_index(report->classes, i), name))
			return i;
	g_ptr_array_add(report->classes, g_strdup(name));
	return report->classes->len - 1;
}

void load_report_reason(struct load_report *report, const char *ran,
			const char *reason)
{
	char *name = g_strdup_printf("%s %s", ran, reason);
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(report->reasons, name));

	g_hash_table_insert(report->reasons, name, GUINT_TO_POINTER(n + 1));
}

/* ---- Percentiles ---- */

struct percentiles {
	int64_t p50, p90, p99, max;
};

enum measure {
	RESPONSE_US,
	OVERHEAD_US, /* response time minus the longest task's run time */
	SLOWDOWN_MILLI, /* response time / the longest task's run time */
};

static gint compare_numbers(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static int64_t at_percentile(const GArray *sorted, uint32_t percent)
{
	guint at;

	if (!sorted->len)
		return 0;
	at = (guint)(((uint64_t)sorted->len * percent + 99) / 100);
	return g_array_index(sorted, int64_t, MAX(at, 1) - 1);
}

/* Returns false for the slowdown of a job whose run time is 0. */
static bool measure_sample(const struct load_sample *sample, enum measure what,
			   int64_t *value)
{
	int64_t ideal_us = (int64_t)sample->ideal_ms * US_PER_MS;

	*value = sample->response_us;
	if (what == OVERHEAD_US)
		*value -= ideal_us;
	if (what != SLOWDOWN_MILLI)
		return true;
	if (!ideal_us)
		return false;
	*value = sample->response_us * MILLI_PER_UNIT / ideal_us;
	return true;
}

static struct percentiles compute_percentiles(const GArray *samples,
					      enum measure what,
					      uint32_t class_index)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(int64_t));
	struct percentiles percentiles;

	for (guint i = 0; i < samples->len; i++) {
		const struct load_sample *sample =
			&g_array_index(samples, struct load_sample, i);
		int64_t value;

		if ((class_index == ALL_CLASSES ||
		     class_index == sample->class_index) &&
		    measure_sample(sample, what, &value))
			g_array_append_val(values, value);
	}
	g_array_sort(values, compare_numbers);
	percentiles.p50 = at_percentile(values, 50);
	percentiles.p90 = at_percentile(values, 90);
	percentiles.p99 = at_percentile(values, 99);
	percentiles.max = at_percentile(values, 100);
	g_array_unref(values);
	return percentiles;
}

/* ---- JSON ---- */

static void add_percentiles(json_t *to, const char *name, const char *unit,
			    struct percentiles percentiles)
{
	const struct {
		const char *name;
		int64_t value;
	} parts[] = { { "p50", percentiles.p50 },
		      { "p90", percentiles.p90 },
		      { "p99", percentiles.p99 },
		      { "max", percentiles.max } };

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		char *full =
			g_strdup_printf("%s_%s_%s", name, parts[i].name, unit);

		json_object_set_new(to, full, json_integer(parts[i].value));
		g_free(full);
	}
}

static void add_all_percentiles(json_t *to, const char *prefix,
				const GArray *samples, uint32_t class_index)
{
	static const struct {
		const char *name, *unit;
		enum measure what;
	} measures[] = { { "response", "us", RESPONSE_US },
			 { "overhead", "us", OVERHEAD_US },
			 { "slowdown", "milli", SLOWDOWN_MILLI } };

	for (size_t i = 0; i < G_N_ELEMENTS(measures); i++) {
		char *name = g_strconcat(prefix, measures[i].name, NULL);

		add_percentiles(to, name, measures[i].unit,
				compute_percentiles(samples, measures[i].what,
						    class_index));
		g_free(name);
	}
}

static json_t *class_to_json(const struct load_report *report, uint32_t index,
			     const struct load_plan *plan)
{
	const char *name = g_ptr_array_index(report->classes, index);
	uint32_t target_ms = load_plan_target_ms(plan, name);
	json_int_t n = 0, within = 0;
	json_t *json = json_pack("{s:s}", "class", name);

	for (guint i = 0; i < report->samples->len; i++) {
		const struct load_sample *sample =
			&g_array_index(report->samples, struct load_sample, i);

		if (sample->class_index != index)
			continue;
		n++;
		within += sample->response_us <= (int64_t)target_ms * US_PER_MS;
	}
	json_object_set_new(json, "complete", json_integer(n));
	if (target_ms) {
		json_object_set_new(json, "target_ms", json_integer(target_ms));
		json_object_set_new(json, "within_target",
				    json_integer(within));
	}
	add_all_percentiles(json, "", report->samples, index);
	return json;
}

static json_t *reasons_to_json(const struct load_report *report)
{
	json_t *json = json_object();
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, report->reasons);
	while (g_hash_table_iter_next(&iter, &key, &value))
		json_object_set_new(json, key,
				    json_integer(GPOINTER_TO_UINT(value)));
	return json;
}

/* Messages by kind: the count and the rate per 1000 tasks. */
static json_t *messages_to_json(const struct load_report *report)
{
	json_t *json = json_object();
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, report->messages);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		int64_t n = *(const int64_t *)value;
		int64_t tasks = (int64_t)MAX(report->tasks, 1);

		if (n)
			json_object_set_new(
				json, key,
				json_pack("{s:I,s:I}", "sent", (json_int_t)n,
					  "per_1000_tasks",
					  (json_int_t)(n * MILLI_PER_UNIT /
						       tasks)));
	}
	return json;
}

struct count {
	const char *name;
	int64_t value;
};

#define COUNTS 19

static void collect_counts(const struct load_report *r,
			   struct count counts[COUNTS])
{
	const struct count all[COUNTS] = {
		{ "seed", (int64_t)r->seed },
		{ "jobs", (int64_t)r->jobs },
		{ "tasks", (int64_t)r->tasks },
		{ "complete", (int64_t)r->complete },
		{ "not_run", (int64_t)r->not_run },
		{ "may_have_run", (int64_t)r->may_have_run },
		{ "lost", (int64_t)r->lost },
		{ "partial", (int64_t)r->partial },
		{ "crossed", (int64_t)r->crossed },
		{ "tried_again", (int64_t)r->tried_again },
		{ "resent", (int64_t)r->resent },
		{ "resubmitted", (int64_t)r->resubmitted },
		{ "resubmit_mismatch", (int64_t)r->resubmit_mismatch },
		{ "resubmit_refused", (int64_t)r->resubmit_refused },
		{ "direct_calls", (int64_t)r->direct_calls },
		{ "direct_failed", (int64_t)r->direct_failed },
		{ "late_max_us", r->late_max_us },
		{ "elapsed_us", r->elapsed_us },
		{ "admins_failed", r->admins_failed },
	};

	memcpy(counts, all, sizeof(all));
}

static json_t *report_to_json(const struct load_report *report,
			      const struct load_plan *plan)
{
	struct count counts[COUNTS];
	json_t *json = json_object();
	json_t *classes = json_array();

	collect_counts(report, counts);
	for (size_t i = 0; i < COUNTS; i++)
		json_object_set_new(json, counts[i].name,
				    json_integer(counts[i].value));
	add_all_percentiles(json, "", report->samples, ALL_CLASSES);
	if (report->direct_calls)
		add_all_percentiles(json, "direct_", report->direct,
				    ALL_CLASSES);
	for (guint i = 0; i < report->classes->len; i++)
		json_array_append_new(classes, class_to_json(report, i, plan));
	json_object_set_new(json, "classes", classes);
	json_object_set_new(json, "refusals", reasons_to_json(report));
	if (report->messages)
		json_object_set_new(json, "messages", messages_to_json(report));
	return json;
}

/* ---- Text ---- */

static void print_percentiles(GString *out, const char *name,
			      const GArray *samples, enum measure what)
{
	struct percentiles s = compute_percentiles(samples, what, ALL_CLASSES);

	g_string_append_printf(out,
			       "%-18s p50 %.3f  p90 %.3f  p99 %.3f  max %.3f%s"
			       "\n",
			       name, (double)s.p50 / MILLI_PER_UNIT,
			       (double)s.p90 / MILLI_PER_UNIT,
			       (double)s.p99 / MILLI_PER_UNIT,
			       (double)s.max / MILLI_PER_UNIT,
			       what == SLOWDOWN_MILLI ? "" : " ms");
}

static void print_reasons(GString *out, const struct load_report *report)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, report->reasons);
	while (g_hash_table_iter_next(&iter, &key, &value))
		g_string_append_printf(out, "  ran %s: %u\n", (char *)key,
				       GPOINTER_TO_UINT(value));
}

static void print_messages(GString *out, const struct load_report *report)
{
	GHashTableIter iter;
	gpointer key, value;

	if (!report->messages)
		return;
	g_string_append(out, "messages a task, by kind:\n");
	g_hash_table_iter_init(&iter, report->messages);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		int64_t n = *(const int64_t *)value;

		if (n)
			g_string_append_printf(
				out, "  %-16s %.4f (%" G_GINT64_FORMAT ")\n",
				(char *)key,
				(double)n / (double)MAX(report->tasks, 1), n);
	}
}

static void print_text(const struct load_report *report, GString *out)
{
	struct count counts[COUNTS];

	collect_counts(report, counts);
	for (size_t i = 0; i < COUNTS; i++)
		if (counts[i].value || i < 9)
			g_string_append_printf(out,
					       "%-18s %" G_GINT64_FORMAT "\n",
					       counts[i].name, counts[i].value);
	print_reasons(out, report);
	print_percentiles(out, "response", report->samples, RESPONSE_US);
	print_percentiles(out, "over longest task", report->samples,
			  OVERHEAD_US);
	print_percentiles(out, "slowdown", report->samples, SLOWDOWN_MILLI);
	if (report->direct_calls) {
		print_percentiles(out, "direct response", report->direct,
				  RESPONSE_US);
		print_percentiles(out, "direct overhead", report->direct,
				  OVERHEAD_US);
		print_percentiles(out, "direct slowdown", report->direct,
				  SLOWDOWN_MILLI);
	}
	print_messages(out, report);
}

void load_report_print(const struct load_report *report,
		       const struct load_plan *plan, bool json, GString *out)
{
	json_t *object;
	char *text;

	if (!json) {
		print_text(report, out);
		return;
	}
	object = report_to_json(report, plan);
	text = json_dumps(object, JSON_INDENT(2));
	g_string_append_printf(out, "%s\n", text);
	free(text);
	json_decref(object);
}
