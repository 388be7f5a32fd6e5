/*
 * leased_standin_internal: declarations shared by the files of the stand-in.
 */
#ifndef SUPPORT_LEASED_STANDIN_INTERNAL_H
#define SUPPORT_LEASED_STANDIN_INTERNAL_H

#include "platform/standin.h"
#include "support/leased_standin.h"

#include <glib.h>

#define SLOWDOWNS_MAX 2

struct interval {
	char task[STANDIN_TASK_ID_SIZE];
	char label[STANDIN_LABEL_SIZE];
	const struct standin *server;
	int64_t begin_ms, end_ms; /* end_ms is 0 while it runs */
	bool listed, poll_followed; /* a poll came after one that listed it */
};

struct slowdown {
	char label[STANDIN_LABEL_SIZE], beside[STANDIN_LABEL_SIZE];
	double factor; /* 0: none */
};

struct standin_record {
	GMutex lock;
	GPtrArray *intervals; /* struct interval */
	struct slowdown slowdowns[SLOWDOWNS_MAX];
	bool refuses_stops, refuses_polls;
	uint32_t starts_to_refuse;
	bool adds_odd_entries;
	uint32_t polls; /* of all stand-ins */
	GHashTable *starts; /* "server task number" of each start call */
	/* Masks of 1 << enum standin_call, for all stand-ins; atomic. */
	gint held_kinds, muted_kinds;
	gint answers_polls_at_once; /* atomic */
};

struct interval *standin_begin_interval(struct standin_record *record,
					const struct standin *server,
					const struct standin_request *order,
					int64_t now_ms);
void standin_note_start(struct standin_record *record, const char *server,
			const struct standin_request *order);

#endif
