/*
 * coordinators: a group of coordinators in the process of a test, on
 * loopback, with folders of their own. Waits are for conditions; a
 * condition that does not come in FIXTURE_WAIT_MS fails the test.
 */
#ifndef SUPPORT_COORDINATORS_H
#define SUPPORT_COORDINATORS_H

#include "base/settings.h"
#include "coordinator/coordinator.h"

#include <jansson.h>

#define FIXTURE_NODES_MAX 4
#define FIXTURE_WAIT_MS 30000

struct node {
	uint16_t port, admin_port;
	char admin[CF_NAME_SIZE];
	char *folder;
	struct settings *settings;
	struct coordinator *coordinator;
};

struct group_fixture {
	struct node nodes[FIXTURE_NODES_MAX];
	char *first_members;
	char *join;
	char *servers[FIXTURE_NODES_MAX + 1];
};

/* Chooses ports and folders; the first n_first are first members. */
void fixture_prepare(struct group_fixture *c, size_t n_first);
void fixture_start(struct group_fixture *c, size_t i, bool join);
void fixture_stop(struct group_fixture *c, size_t i); /* gracefully */
void fixture_clear(struct group_fixture *c); /* stops all, removes files */
void fixture_empty_folder(const char *folder);

/* One request to any of the servers; the status has to be expected. */
json_t *fixture_request(struct group_fixture *c, const char *method,
			const char *path, const char *body, uint32_t expected);
/* Sets the target of class "a"; gives the revision. */
json_int_t fixture_set_class(struct group_fixture *c, const char *id,
			     uint32_t target, uint64_t base, uint32_t expected);
json_int_t fixture_class_target(struct group_fixture *c);
/* A number of one node's own status; -1: it does not answer. */
json_int_t fixture_status(struct group_fixture *c, size_t i, const char *field);
void fixture_wait_revision(struct group_fixture *c, size_t i,
			   json_int_t revision);
size_t fixture_leader(struct group_fixture *c); /* waits for one */
/* voter: 1 yes, 0 listed only, -1 not listed */
void fixture_wait_voter(struct group_fixture *c, json_int_t id, int voter);
/* Until every member's disk is registered. */
void fixture_wait_identities(struct group_fixture *c);

#endif
