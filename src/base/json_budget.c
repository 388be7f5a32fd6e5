/*
 * json_budget: see json_budget.h. Replaces the allocator of the JSON library.
 */
#include "base/json_budget.h"

#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <stdlib.h>

struct budget {
	bool active, met;
	uint64_t used_bytes, max_bytes;
};

static _Thread_local struct budget budget;

static void *allocate(size_t size_bytes)
{
	void *memory;

	if (!budget.active)
		return malloc(size_bytes);
	if (budget.used_bytes + size_bytes > budget.max_bytes) {
		budget.met = true;
		return NULL;
	}
	memory = malloc(size_bytes);
	budget.used_bytes += memory ? malloc_usable_size(memory) : 0;
	return memory;
}

/* The memory may be from before the budget began. */
static void release(void *memory)
{
	if (budget.active && memory)
		budget.used_bytes -=
			MIN(budget.used_bytes, malloc_usable_size(memory));
	free(memory);
}

static gpointer install(gpointer unused)
{
	(void)unused;
	json_set_alloc_funcs(allocate, release);
	return NULL;
}

void json_budget_install(void)
{
	static GOnce once = G_ONCE_INIT;

	g_once(&once, install, NULL);
}

void json_budget_begin(uint64_t max_bytes)
{
	budget = (struct budget){ .active = true, .max_bytes = max_bytes };
}

bool json_budget_end(void)
{
	budget.active = false;
	return budget.met;
}
