/*
 * The error budget of a class after a minute in which a tenth of its answers
 * were late.
 */
#include <chervilferry.h>

#include <stdio.h>

int main(void)
{
	struct cf_admit_class class = { "scan-request", 200, 95000 };
	struct cf_burn *burn = cf_burn_create();
	struct cf_burn_class report;
	int64_t now_ms = 0;
	char *text;
	size_t n;
	int i;

	cf_burn_set_classes(burn, &class, 1);
	for (i = 0; i < 600; i++) {
		now_ms += 100;
		cf_burn_record(burn, "scan-request", i % 10 ? 120 : 900, true,
			       now_ms);
	}
	text = cf_burn_text(burn, now_ms);
	fputs(text, stdout);
	g_free(text);
	n = cf_burn_report(burn, now_ms, &report, 1);
	cf_burn_destroy(burn);
	return n == 1 && report.burn_5min > 1.0 ? 0 : 1;
}
