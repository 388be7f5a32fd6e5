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

bool run_name_equal(const struct run_name *a, const struct run_name *b)
{
	return a->index == b->index && a->number == b->number &&
	       !strcmp(a->job, b->job);
}
