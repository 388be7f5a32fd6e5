/*
 * burn_html: writes the burn report as one HTML page that needs no network,
 * because its style and its SVG plots are inline. Each plot covers the last
 * hour, with a point for each bucket.
 */
#include "chervilferry.h"

#include <inttypes.h>

#include "lib/burn_ring.h"

#define PLOT_POINTS BURN_BUCKETS
static const double PLOT_WIDTH = 360;
static const double PLOT_HEIGHT = 120;
static const double PLOT_LEFT = 44;
static const double PLOT_BOTTOM = 18;
static const double NO_VALUE = -1; /* a bucket without answers */

static const char PAGE_HEAD[] =
	"<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
	"<meta name=\"viewport\" content=\"width=device-width\">"
	"<title>Service-level burn</title><style>\n"
	"body{font:15px/1.5 system-ui,sans-serif;color:#1c2733;"
	"background:#f6f8fa;margin:0 auto;max-width:1240px;padding:24px}\n"
	"section{background:#fff;border:1px solid #d9e0e7;border-radius:8px;"
	"padding:12px 20px;margin:16px 0}\n"
	"h1{font-size:22px}h2{font-size:18px;margin:4px 0}"
	"h3{font-size:13px;margin:4px 0;font-weight:600}\n"
	"dl{display:flex;flex-wrap:wrap;gap:4px 28px;margin:8px 0}"
	"dt{font-size:12px;color:#5a6b7b}dd{margin:0;font-weight:600}\n"
	".plots{display:flex;flex-wrap:wrap;gap:16px}"
	".bad{color:#b3261e}.good{color:#1b6e3c}.note{color:#5a6b7b}\n"
	"text{font:11px system-ui,sans-serif;fill:#5a6b7b}\n"
	"</style></head><body><h1>Service-level burn, last hour</h1>\n"
	"<p class=\"note\">A burn of 1 spends the error budget just in time; "
	"late answers, failed jobs and refusals spend it.</p>\n";

struct plot {
	const char *title;
	const char *unit;
	const char *colour;
	bool bars;
	double limit; /* height of a dashed line; below 0: none */
	double values[PLOT_POINTS]; /* oldest first */
};

/* ---- Plots ---------------------------------------------------------- */

static void append_number(GString *out, double value)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	g_string_append(out,
			g_ascii_formatd(text, sizeof(text), "%.4g", value));
}

static double plot_max(const struct plot *plot)
{
	double most = MAX(plot->limit * 1.25, 1.0);

	for (size_t i = 0; i < PLOT_POINTS; i++)
		most = MAX(most, plot->values[i] * 1.1);
	return most;
}

static double plot_x(size_t point)
{
	return PLOT_LEFT +
	       (PLOT_WIDTH - PLOT_LEFT) * (double)point / PLOT_POINTS;
}

static double plot_y(double value, double most)
{
	return (PLOT_HEIGHT - PLOT_BOTTOM) * (1 - value / most);
}

static void plot_rect(GString *out, size_t point, double value, double most,
		      const char *colour)
{
	double y = plot_y(value, most);

	g_string_append(out, "<rect x=\"");
	append_number(out, plot_x(point));
	g_string_append(out, "\" y=\"");
	append_number(out, y);
	g_string_append(out, "\" width=\"2.4\" height=\"");
	append_number(out, PLOT_HEIGHT - PLOT_BOTTOM - y);
	g_string_append_printf(out, "\" fill=\"%s\"/>", colour);
}

/* Draws a line with gaps where there is no value. */
static void plot_line(GString *out, const struct plot *plot, double most)
{
	bool drawing = false;

	g_string_append_printf(out,
			       "<path fill=\"none\" stroke=\"%s\" "
			       "stroke-width=\"1.6\" "
			       "stroke-linecap=\"round\" d=\"",
			       plot->colour);
	for (size_t i = 0; i < PLOT_POINTS; i++) {
		if (plot->values[i] < 0) {
			drawing = false;
			continue;
		}
		g_string_append_c(out, drawing ? 'L' : 'M');
		append_number(out, plot_x(i));
		g_string_append_c(out, ' ');
		append_number(out, plot_y(plot->values[i], most));
		if (!drawing) /* A single point shows as a dot. */
			g_string_append(out, "h0.1");
		drawing = true;
	}
	g_string_append(out, "\"/>");
}

static void plot_limit(GString *out, const struct plot *plot, double most)
{
	if (plot->limit < 0)
		return;
	g_string_append_printf(out, "<line x1=\"%g\" x2=\"%g\" y1=\"",
			       PLOT_LEFT, PLOT_WIDTH);
	append_number(out, plot_y(plot->limit, most));
	g_string_append(out, "\" y2=\"");
	append_number(out, plot_y(plot->limit, most));
	g_string_append(out,
			"\" stroke=\"#b3261e\" stroke-dasharray=\"4 3\"/>");
}

static void plot_axes(GString *out, double most)
{
	double base = PLOT_HEIGHT - PLOT_BOTTOM;

	g_string_append_printf(
		out,
		"<path d=\"M%g 0V%gH%g\" fill=\"none\" stroke=\"#9fb0c0\"/>",
		PLOT_LEFT, base, PLOT_WIDTH);
	g_string_append_printf(out,
			       "<text x=\"%g\" y=\"10\" "
			       "text-anchor=\"end\">",
			       PLOT_LEFT - 4);
	append_number(out, most);
	g_string_append_printf(out,
			       "</text><text x=\"%g\" y=\"%g\" "
			       "text-anchor=\"end\">0</text>"
			       "<text x=\"%g\" y=\"%g\">60 min ago</text>"
			       "<text x=\"%g\" y=\"%g\" "
			       "text-anchor=\"end\">now</text>",
			       PLOT_LEFT - 4, base, PLOT_LEFT, PLOT_HEIGHT - 4,
			       PLOT_WIDTH, PLOT_HEIGHT - 4);
}

static void append_plot(GString *out, const struct plot *plot)
{
	double most = plot_max(plot);

	g_string_append_printf(out,
			       "<div><h3>%s (%s)</h3><svg width=\"%g\" "
			       "height=\"%g\" viewBox=\"0 0 %g %g\" "
			       "role=\"img\" aria-label=\"%s\">",
			       plot->title, plot->unit, PLOT_WIDTH, PLOT_HEIGHT,
			       PLOT_WIDTH, PLOT_HEIGHT, plot->title);
	plot_axes(out, most);
	plot_limit(out, plot, most);
	if (plot->bars) {
		for (size_t i = 0; i < PLOT_POINTS; i++) {
			if (plot->values[i] > 0)
				plot_rect(out, i, plot->values[i], most,
					  plot->colour);
		}
	} else {
		plot_line(out, plot, most);
	}
	g_string_append(out, "</svg></div>\n");
}

/* ---- Classes -------------------------------------------------------- */

static void append_plots(GString *out, const struct burn_history *history,
			 int64_t now_ms)
{
	struct plot burn = { .title = "Burn",
			     .unit = "1 is just in time; dashed",
			     .colour = "#7a4d00",
			     .limit = 1 };
	struct plot attained = { .title = "Attained percentile",
				 .unit = "ms; target dashed",
				 .colour = "#1f5fa8",
				 .limit = history->class.target_ms };
	struct plot refused = { .title = "Refusals",
				.unit = "each 30 s",
				.colour = "#8a3ffc",
				.bars = true,
				.limit = NO_VALUE };

	for (int i = 0; i < PLOT_POINTS; i++) {
		int buckets_ago = PLOT_POINTS - 1 - i;
		struct burn_sum sum;

		burn_sum(history, now_ms, buckets_ago, buckets_ago, &sum);
		burn.values[i] = burn_sum_total(&sum) > 0
					 ? burn_sum_rate(history, &sum)
					 : NO_VALUE;
		attained.values[i] =
			sum.within + sum.late > 0
				? burn_sum_percentile(
					  &sum, history->class.percentile_milli)
				: NO_VALUE;
		refused.values[i] = (double)sum.refused;
	}
	g_string_append(out, "<div class=\"plots\">");
	append_plot(out, &burn);
	append_plot(out, &attained);
	append_plot(out, &refused);
	g_string_append(out, "</div>\n");
}

static void append_fact(GString *out, const char *name, const char *style,
			double value, const char *unit)
{
	g_string_append_printf(out, "<div><dt>%s</dt><dd class=\"%s\">", name,
			       style);
	append_number(out, value);
	g_string_append_printf(out, "%s</dd></div>", unit);
}

static void append_facts(GString *out, const struct cf_burn_class *class)
{
	const char *attained = class->attained_ms <= class->target_ms ? "good"
								      : "bad";
	const char *budget = class->budget_left > 0 ? "good" : "bad";

	g_string_append(out, "<dl>");
	append_fact(out, "Target", "", class->target_ms, " ms");
	append_fact(out, "Percentile", "", class->percentile_milli / 1000.0,
		    " %");
	append_fact(out, "Attained", attained, class->attained_ms, " ms");
	append_fact(out, "Median", "", class->p50_ms, " ms");
	append_fact(out, "Error budget left", budget, class->budget_left * 100,
		    " %");
	append_fact(out, "Burn, 5 min", class->burn_5min > 1 ? "bad" : "good",
		    class->burn_5min, "");
	append_fact(out, "Burn, 1 h", class->burn_1h > 1 ? "bad" : "good",
		    class->burn_1h, "");
	append_fact(out, "Jobs", "", (double)class->total, "");
	append_fact(out, "Failed", "", (double)class->failed, "");
	append_fact(out, "Refused, not run", "", (double)class->refused_not_run,
		    "");
	g_string_append(out, "</dl>\n");
}

static void append_reasons(GString *out, const struct burn_history *history,
			   int64_t now_ms)
{
	struct burn_sum hour;

	burn_sum(history, now_ms, 0, BURN_BUCKETS - 1, &hour);
	if (hour.refused == 0)
		return;
	g_string_append(out, "<p>Refused:");
	for (uint32_t i = 0; i < history->n_reasons; i++) {
		char *reason;

		if (hour.by_reason[i] == 0)
			continue;
		reason = g_markup_escape_text(history->reasons[i], -1);
		g_string_append_printf(out, " %s %" PRIu64, reason,
				       hour.by_reason[i]);
		g_free(reason);
	}
	g_string_append(out, "</p>\n");
}

static void append_class(GString *out, const struct burn_history *history,
			 int64_t now_ms)
{
	struct cf_burn_class class;
	char *name = g_markup_escape_text(history->class.name, -1);

	burn_class(history, now_ms, &class);
	g_string_append_printf(out, "<section><h2>%s</h2>\n", name);
	g_free(name);
	if (class.total == 0) {
		g_string_append_printf(out,
				       "<p class=\"note\">Target %u ms. No "
				       "jobs in the last hour.</p>"
				       "</section>\n",
				       class.target_ms);
		return;
	}
	append_facts(out, &class);
	append_reasons(out, history, now_ms);
	append_plots(out, history, now_ms);
	g_string_append(out, "</section>\n");
}

char *cf_burn_html(const struct cf_burn *burn, int64_t now_ms)
{
	GString *out = g_string_new(PAGE_HEAD);

	if (burn->histories->len == 0)
		g_string_append(out, "<section><p>No classes are set. "
				     "Set one with <code>chervilferry class "
				     "set</code>.</p></section>\n");
	for (guint i = 0; i < burn->histories->len; i++)
		append_class(out, burn->histories->pdata[i], now_ms);
	g_string_append(out, "</body></html>\n");
	return g_string_free(out, FALSE);
}
