/*
 * observe: what failure tests look at: coordinators' status, operators'
 * answers, and single events in the traces of a cluster.
 */
#ifndef SUPPORT_OBSERVE_H
#define SUPPORT_OBSERVE_H

#include "support/cluster.h"

#define OBSERVE_ID_SIZE 33 /* a command id as hex text */

void observe_make_id(char id[OBSERVE_ID_SIZE]);

/* One command at one coordinator; HTTP status, 0 without an answer. */
uint32_t observe_command(struct cluster *c, const char *coordinator,
			 const char *id, uint64_t base, const char *change,
			 uint64_t *revision, int64_t timeout_ms);
/* The same at any that leads, until one decides on it. */
uint32_t observe_command_anywhere(struct cluster *c, const char *id,
				  uint64_t base, const char *change,
				  uint64_t *revision);
/* Sets the target of a class; the revision that did it. */
uint64_t observe_set_target(struct cluster *c, const char *class_name,
			    int target_ms);
/* The target in force by a quorum read at the leader; -1: none. */
int64_t observe_target(struct cluster *c, const char *class_name);
/* A number or boolean of a coordinator's status; -1: none. */
int64_t observe_status(struct cluster *c, const char *coordinator,
		       const char *field);
/* Is the process on the leader's roster? */
bool observe_on_roster(struct cluster *c, const char *name);
bool observe_is_voter(struct cluster *c, int id); /* and registered */
bool observe_is_member(struct cluster *c, int id);
/* Waits for one whose leader it is known to be by a majority. */
const char *observe_wait_leader(struct cluster *c, int64_t wait_ms);
int64_t observe_task_starts(struct cluster *c); /* of running agents */

/* Events of a process, in the order of its trace. */
struct observed_event {
	int64_t time_us;
	int incarnation_index; /* 0, 1, ..: restarts */
	uint64_t revision; /* of "config" events */
};

/* Array of struct observed; free with g_array_unref. */
GArray *observe_events(struct cluster *c, const char *name, const char *event);
/* Events after a time; first_us and last_us may be NULL. */
int observe_count(struct cluster *c, const char *name, const char *event,
		  int64_t after_us, int64_t *first_us, int64_t *last_us);
/* "config" events of a lower revision than one before, over all lives. */
int observe_reverts(struct cluster *c, const char *name);
/* When the revision was first in force there; -1: never. */
int64_t observe_applied_us(struct cluster *c, const char *name,
			   uint64_t revision);

#endif
