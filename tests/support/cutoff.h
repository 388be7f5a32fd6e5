/*
 * cutoff: relays before all coordinators of a cluster, so that single
 * processes can be cut off from them, one way or both ways.
 */
#ifndef SUPPORT_CUTOFF_H
#define SUPPORT_CUTOFF_H

#include "support/cluster.h"
#include "support/relay.h"

struct cutoff;

/* Between cluster_create and cluster_start: coordinators are known by
 * their relays' addresses from then on. */
struct cutoff *cutoff_create(struct cluster *c);
void cutoff_destroy(struct cutoff *cutoff); /* before cluster_destroy */

/* Cuts the coordinator off from all others; agents and dispatchers still
 * reach it. deaf: it hears nothing; mute: it is not heard. */
void cutoff_peer(struct cutoff *cutoff, const char *coordinator,
		 bool block_incoming, bool block_outgoing);

/* Cuts an agent or dispatcher off from one coordinator, or from all. */
void cutoff_caller(struct cutoff *cutoff, const char *name,
		   const char *coordinator, bool cut);

#endif
