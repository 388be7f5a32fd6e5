/*
 * Three members of a replicated log in one process. Messages are passed by
 * function call and nothing is persisted. A real embedder must write the
 * entries and the hard state to disk before it sends the messages.
 */
#include <chervilferry.h>

#include <stdio.h>
#include <string.h>

#define N_MEMBERS 3
#define TICK_MS 20

static struct cf_replog *logs[N_MEMBERS];
static unsigned int n_applied;

static void apply(int member, const struct cf_entry *entry)
{
	gsize size;
	const char *text;

	if (entry->kind != CF_ENTRY_COMMAND)
		return;
	text = g_bytes_get_data(entry->data, &size);
	printf("member %d applies %u: %.*s\n", member + 1,
	       (unsigned int)entry->index, (int)size, text);
	n_applied++;
}

static bool process_ready(int member, int64_t now_ms)
{
	struct cf_replog *log = logs[member];
	struct cf_replog_ready ready;
	size_t i;

	if (!cf_replog_has_ready(log))
		return false;
	cf_replog_get_ready(log, &ready);
	for (i = 0; i < ready.n_messages; i++)
		cf_replog_step(logs[ready.messages[i].to - 1],
			       &ready.messages[i], now_ms);
	for (i = 0; i < ready.n_committed; i++)
		apply(member, &ready.committed[i]);
	cf_replog_advance(log, now_ms);
	return true;
}

static int find_leader(void)
{
	int i;

	for (i = 0; i < N_MEMBERS; i++)
		if (cf_replog_is_leader(logs[i]))
			return i;
	return -1;
}

int main(void)
{
	struct cf_replog_options options = {
		.members = { .voters = { 1, 2, 3 }, .n_voters = N_MEMBERS }
	};
	int64_t now_ms = 0;
	int i, leader;
	bool proposed = false;

	for (i = 0; i < N_MEMBERS; i++) {
		options.id = (uint32_t)i + 1;
		options.seed = (uint64_t)i + 1;
		logs[i] = cf_replog_create(&options, now_ms);
	}
	while (n_applied < N_MEMBERS && now_ms < 60000) {
		now_ms += TICK_MS;
		for (i = 0; i < N_MEMBERS; i++)
			cf_replog_tick(logs[i], now_ms);
		while (process_ready(0, now_ms) | process_ready(1, now_ms) |
		       process_ready(2, now_ms))
			;
		leader = find_leader();
		if (leader < 0 || proposed)
			continue;
		printf("member %d leads\n", leader + 1);
		GBytes *data = g_bytes_new_static("hello", strlen("hello"));

		proposed = cf_replog_propose(logs[leader], data, 0, now_ms);
		g_bytes_unref(data);
	}
	for (i = 0; i < N_MEMBERS; i++)
		cf_replog_destroy(logs[i]);
	return n_applied == N_MEMBERS ? 0 : 1;
}
