/*
 * load_metrics: reads from /metrics how many messages of each kind the
 * processes have sent.
 */
#include "load/load_internal.h"

#include "net/http_client.h"

#include <string.h>

#define SENT_PREFIX "chervilferry_link_messages_total{dir=\"out\",kind=\""
#define TIMEOUT_MS 3000

static void add(GHashTable *sums, const char *kind, int64_t amount)
{
	int64_t *sum = g_hash_table_lookup(sums, kind);

	if (!sum) {
		sum = g_new0(int64_t, 1);
		g_hash_table_insert(sums, g_strdup(kind), sum);
	}
	*sum += amount;
}

void load_metrics_parse(const char *text, GHashTable *sums)
{
	char **lines = g_strsplit(text, "\n", -1);

	for (size_t i = 0; lines[i]; i++) {
		char *kind, *end;

		if (!g_str_has_prefix(lines[i], SENT_PREFIX))
			continue;
		kind = lines[i] + strlen(SENT_PREFIX);
		end = strstr(kind, "\"} ");
		if (!end)
			continue;
		*end = '\0';
		add(sums, kind, g_ascii_strtoll(end + 3, NULL, 10));
	}
	g_strfreev(lines);
}

GHashTable *load_metrics_read(char *const *admins, uint32_t *n_failed)
{
	GHashTable *sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	for (size_t i = 0; admins[i]; i++) {
		char *url = g_strdup_printf("http://%s/metrics", admins[i]);
		struct http_call call = {
			.method = "GET",
			.url = url,
			.timeout_ms = TIMEOUT_MS,
		};
		struct http_answer answer;

		http_call_now(&call, &answer);
		if (answer.result == HTTP_OK && answer.status == 200) {
			char *text = g_strndup(answer.body, answer.size_bytes);

			load_metrics_parse(text, sums);
			g_free(text);
		} else {
			(*n_failed)++;
		}
		g_free((void *)answer.body);
		g_free(url);
	}
	return sums;
}
