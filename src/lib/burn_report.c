/*
 * burn_report: writes the burn report as text and as JSON.
 */
#include "chervilferry.h"

#include <inttypes.h>

#include "lib/burn_ring.h"

/* ---- Text ----------------------------------------------------------- */

static void text_reasons(GString *out, const struct burn_history *history,
			 int64_t now_ms)
{
	struct burn_sum hour;

	burn_sum(history, now_ms, 0, BURN_BUCKETS - 1, &hour);
	for (uint32_t i = 0; i < history->n_reasons; i++) {
		if (hour.by_reason[i] > 0)
			g_string_append_printf(
				out, "  refused %s: %" PRIu64 "\n",
				history->reasons[i], hour.by_reason[i]);
	}
}

char *cf_burn_text(const struct cf_burn *burn, int64_t now_ms)
{
	GString *out = g_string_new(NULL);

	if (burn->histories->len == 0)
		g_string_append(out, "no classes are set\n");
	else
		g_string_append_printf(
			out, "%-20s %8s %7s %8s %8s %8s %7s %8s %8s\n", "class",
			"target", "at", "attained", "median", "answers",
			"budget", "burn-5m", "burn-1h");
	for (guint i = 0; i < burn->histories->len; i++) {
		const struct burn_history *history = burn->histories->pdata[i];
		struct cf_burn_class class;

		burn_class(history, now_ms, &class);
		g_string_append_printf(
			out,
			"%-20s %6ums %6.5g%% %6ums %6ums %8" PRIu64
			" %6.0f%% %8.2f %8.2f\n",
			class.name, class.target_ms,
			class.percentile_milli / 1000.0, class.attained_ms,
			class.p50_ms, class.total - class.refused_not_run,
			class.budget_left * 100, class.burn_5min,
			class.burn_1h);
		if (class.failed > 0)
			g_string_append_printf(out, "  failed: %" PRIu64 "\n",
					       class.failed);
		text_reasons(out, history, now_ms);
	}
	return g_string_free(out, FALSE);
}

/* ---- JSON ----------------------------------------------------------- */

static void json_string(GString *out, const char *text)
{
	g_string_append_c(out, '"');
	for (; *text != '\0'; text++) {
		unsigned char c = (unsigned char)*text;

		if (c == '"' || c == '\\')
			g_string_append_printf(out, "\\%c", c);
		else if (c < 0x20)
			g_string_append_printf(out, "\\u%04x", c);
		else
			g_string_append_c(out, (char)c);
	}
	g_string_append_c(out, '"');
}

static void json_number(GString *out, const char *name, double value)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	g_string_append_printf(
		out, ",\"%s\":%s", name,
		g_ascii_formatd(text, sizeof(text), "%.6g", value));
}

static void json_reasons(GString *out, const struct burn_history *history,
			 int64_t now_ms)
{
	const char *separator = "";
	struct burn_sum hour;

	burn_sum(history, now_ms, 0, BURN_BUCKETS - 1, &hour);
	g_string_append(out, ",\"refused\":{");
	for (uint32_t i = 0; i < history->n_reasons; i++) {
		if (hour.by_reason[i] == 0)
			continue;
		g_string_append(out, separator);
		json_string(out, history->reasons[i]);
		g_string_append_printf(out, ":%" PRIu64, hour.by_reason[i]);
		separator = ",";
	}
	g_string_append_c(out, '}');
}

static void json_class(GString *out, const struct burn_history *history,
		       int64_t now_ms)
{
	struct cf_burn_class class;

	burn_class(history, now_ms, &class);
	g_string_append(out, "{\"class\":");
	json_string(out, class.name);
	json_number(out, "target_ms", class.target_ms);
	json_number(out, "percentile", class.percentile_milli / 1000.0);
	json_number(out, "attained_ms", class.attained_ms);
	json_number(out, "p50_ms", class.p50_ms);
	g_string_append_printf(
		out,
		",\"total\":%" PRIu64 ",\"within\":%" PRIu64
		",\"failed\":%" PRIu64 ",\"refused_not_run\":%" PRIu64,
		class.total, class.within, class.failed, class.refused_not_run);
	json_number(out, "budget_left", class.budget_left);
	json_number(out, "burn_5min", class.burn_5min);
	json_number(out, "burn_1h", class.burn_1h);
	json_reasons(out, history, now_ms);
	g_string_append_c(out, '}');
}

char *cf_burn_json(const struct cf_burn *burn, int64_t now_ms)
{
	GString *out = g_string_new("{\"classes\":[");

	for (guint i = 0; i < burn->histories->len; i++) {
		if (i > 0)
			g_string_append_c(out, ',');
		json_class(out, burn->histories->pdata[i], now_ms);
	}
	g_string_append(out, "]}");
	return g_string_free(out, FALSE);
}
