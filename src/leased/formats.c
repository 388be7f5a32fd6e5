/*
 * formats: cleanup and comparison of the types in formats.h.
 */
#include "leased/formats.h"

#include <string.h>

void run_call_clear(struct run_call *call)
{
	g_clear_pointer(&call->path, g_free);
	g_clear_pointer(&call->body, g_free);
}

void run_lists_clear(struct run_lists *lists)
{
	g_clear_pointer(&lists->running, g_array_unref);
	g_clear_pointer(&lists->ended, g_array_unref);
}

void run_lists_raise_position(const struct run_lists *lists, uint64_t *position)
{
	for (guint i = 0; i < lists->ended->len; i++)
		*position =
			MAX(*position, g_array_index(lists->ended,
						     struct listed_run_end, i)
					       .position);
}

bool run_name_equal(const struct run_name *a, const struct run_name *b)
{
	return a->index == b->index && a->number == b->number &&
	       !strcmp(a->job, b->job);
}
