/*
 * interference_view: combines what the agents report about classes that slow
 * each other down, and decides which pairs count as interfering. It does no
 * I/O; the present time is an argument. Not thread-safe.
 */
#ifndef LEASED_INTERFERENCE_VIEW_H
#define LEASED_INTERFERENCE_VIEW_H

#include "leased/interference.h"

struct interference_view;

/* A pair whose state changed, or that interferes. */
struct interfering_pair {
	char class_name[CF_NAME_SIZE];
	char beside[CF_NAME_SIZE];
	double log; /* combined estimate */
	double error; /* its standard error */
	uint32_t servers; /* that have reported it */
	bool interferes;
};

struct interference_view *interference_view_create(void);
void interference_view_destroy(struct interference_view *view);
/* Replaces what was reported about a server; service is the one it serves. */
void interference_view_report(struct interference_view *view, uint64_t server,
			      const char *service,
			      const struct class_slowdown *slowdowns, size_t n,
			      int64_t now_ms);
/* Judges all pairs. servers_of returns the number of usable servers of a
 * service. Pairs that changed are appended to changes (struct
 * interfering_pair). */
void interference_view_tick(struct interference_view *view,
			    uint32_t (*servers_of)(const void *arg,
						   const char *service),
			    const void *arg, int64_t now_ms, GArray *changes);
uint32_t interference_view_count(const struct interference_view *view);
/* How many times as long runs of class_name take beside the other class; 1 if
 * the pair isn't known to interfere. */
double interference_view_factor(const struct interference_view *view,
				const char *class_name, const char *beside);

#endif
