/*
 * observe: queries for failure tests: the coordinators' status, the
 * answers to operators' commands, and events in the traces of a cluster.
 */
#ifndef SUPPORT_OBSERVE_H
#define SUPPORT_OBSERVE_H

#include "support/cluster.h"

#define OBSERVE_ID_SIZE 33 /* a command id as hex text */

void observe_make_id(char id[OBSERVE_ID_SIZE]);

/* Sends a command to one coordinator. Returns the HTTP status; 0: no
 * answer. */
uint32_t observe_command(struct cluster *c, const char *coordinator,
			 const char *id, uint64_t base, const char *change,
			 uint64_t *revision, int64_t timeout_ms);
/* Sends a command to all coordinators in turn until one accepts or rejects
 * it. */
uint32_t observe_command_anywhere(struct cluster *c, const char *id,
				  uint64_t base, const char *change,
				  uint64_t *revision);
/* Sets the target of a class; returns the revision of the change. */
uint64_t observe_set_target(struct cluster *c, const char *class_name,
			    int target_ms);
/* The current target of a class, by a quorum read at the leader; -1: none. */
int64_t observe_target(struct cluster *c, const char *class_name);
/* A numeric or boolean field of a coordinator's status; -1: none. */
int64_t observe_status(struct cluster *c, const char *coordinator,
		       const char *field);
/* True if the leader's roster lists the process or there is no answer. */
bool observe_on_roster(struct cluster *c, const char *name);
/* True if the member is a voter and its disk is registered. */
bool observe_is_voter(struct cluster *c, int id);
bool observe_is_member(struct cluster *c, int id);
/* Waits until a majority of the coordinators agrees on a leader. */
const char *observe_wait_leader(struct cluster *c, int64_t wait_ms);
int64_t observe_task_starts(struct cluster *c); /* at running agents */

/* An event in the trace of a process. */
struct observed_event {
	int64_t time_us;
	int incarnation_index; /* number of restarts before it */
	uint64_t revision; /* of "config" events */
};

/* The events of this kind in trace order, as an array of struct
 * observed_event; free with g_array_unref. */
GArray *observe_events(struct cluster *c, const char *name, const char *event);
/* Counts the events after a time; stores the times of the first and the
 * last one. first_us and last_us may be NULL. */
int observe_count(struct cluster *c, const char *name, const char *event,
		  int64_t after_us, int64_t *first_us, int64_t *last_us);
/* Counts "config" events whose revision is lower than an earlier one, over
 * all incarnations. */
int observe_reverts(struct cluster *c, const char *name);
/* When the process first applied the revision or a newer one; -1: never. */
int64_t observe_applied_us(struct cluster *c, const char *name,
			   uint64_t revision);

#endif
