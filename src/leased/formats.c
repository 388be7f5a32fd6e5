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

/* A server ends far fewer runs between two lists. */
#define POSITION_STEP_MAX 100000

static uint64_t position_at(const struct run_lists *lists, guint i)
{
	return g_array_index(lists->ended, struct listed_run_end, i).position;
}

static uint64_t lowest_position(const struct run_lists *lists)
{
	uint64_t lowest = UINT64_MAX;

	for (guint i = 0; i < lists->ended->len; i++)
		lowest = MIN(lowest, position_at(lists, i));
	return lowest;
}

void run_lists_raise_position(const struct run_lists *lists, uint64_t *position)
{
	uint64_t known = *position ? *position : lowest_position(lists);

	for (guint i = 0; i < lists->ended->len; i++)
		if (position_at(lists, i) <= known + POSITION_STEP_MAX)
			*position = MAX(*position, position_at(lists, i));
}

bool run_name_equal(const struct run_name *a, const struct run_name *b)
{
	return a->index == b->index && a->number == b->number &&
	       !strcmp(a->job, b->job);
}
