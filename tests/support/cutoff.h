/*
 * cutoff: puts a relay in front of each coordinator of a cluster, so that
 * single processes can be cut off from them in one or both directions.
 */
#ifndef SUPPORT_CUTOFF_H
#define SUPPORT_CUTOFF_H

#include "support/cluster.h"
#include "support/relay.h"

struct cutoff;

/* To be called between cluster_create and cluster_start. All processes are
 * given the relays' addresses instead of the coordinators'. */
struct cutoff *cutoff_create(struct cluster *c);
void cutoff_destroy(struct cutoff *cutoff); /* before cluster_destroy */

/* Cuts the coordinator off from all other coordinators; agents and
 * dispatchers still reach it. block_incoming: messages to it are lost;
 * block_outgoing: messages from it are lost. */
void cutoff_peer(struct cutoff *cutoff, const char *coordinator,
		 bool block_incoming, bool block_outgoing);

/* Cuts an agent or dispatcher off from a coordinator (NULL: from all), or
 * reconnects it if cut is false. */
void cutoff_caller(struct cutoff *cutoff, const char *name,
		   const char *coordinator, bool cut);

#endif
