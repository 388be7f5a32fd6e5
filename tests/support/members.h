/*
 * members: the members of the group as one coordinator of a leased system
 * reports them. Functions that wait fail after the time given.
 */
#ifndef SUPPORT_MEMBERS_H
#define SUPPORT_MEMBERS_H

#include "support/leased_system.h"

enum membership { MEMBER_NOT_LISTED, MEMBER_LEARNER, MEMBER_VOTER };

/* The membership of the coordinator with this number; its member id is stored
 * in *id unless id is NULL. */
enum membership members_find(struct leased_system *s, int observer, int number,
			     uint32_t *id);
void members_wait(struct leased_system *s, int observer, int number,
		  enum membership expected);
/* Waits until a running coordinator, other than the excluded one, leads. */
int members_wait_other_leader(struct leased_system *s, int excluded);
int members_wait_leader(struct leased_system *s);
/* Freezes each leader until the wanted coordinator leads; shorter than a member
 * may be unreachable. */
void members_make_lead(struct leased_system *s, int wanted);
/* Waits until this many voters could vote, as the leader counts them. */
void members_wait_voters(struct leased_system *s, int expected);
void members_empty_disk(struct leased_system *s, int number);
struct proc *members_proc(struct leased_system *s, int number);

#endif
