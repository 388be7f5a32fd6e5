/*
 * Places six tasks on two agents, one of which is already busy.
 */
#include <chervilferry.h>

#include <stdio.h>

#define N_TASKS 6

int main(void)
{
	struct cf_place_agent agents[2] = {
		{ .incarnation = 1,
		  .data_centre = "dc1",
		  .capacity = { .slots = 8, .connections = 64 },
		  .weight_milli = 1000,
		  .slowness = 1.0,
		  .usable = true },
		{ .incarnation = 2,
		  .data_centre = "dc2",
		  .capacity = { .slots = 8, .connections = 64 },
		  .used = { .slots = 6, .connections = 6 },
		  .weight_milli = 1000,
		  .slowness = 1.0,
		  .usable = true },
	};
	struct cf_place_task tasks[N_TASKS];
	struct cf_placer *placer = cf_placer_create("finish", 1);
	size_t placed;
	uint32_t i;

	for (i = 0; i < N_TASKS; i++) {
		tasks[i] = (struct cf_place_task){ .index = i,
						   .predicted_ms = 50,
						   .agent = CF_PLACE_NONE };
	}
	placed = cf_placer_place(placer, agents, 2, tasks, N_TASKS);
	for (i = 0; i < N_TASKS; i++)
		printf("task %u: agent %d\n", i, (int)tasks[i].agent);
	cf_placer_destroy(placer);
	return placed == N_TASKS ? 0 : 1;
}
