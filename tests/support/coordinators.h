/*
 * coordinators: a group of coordinators in the test process, on loopback,
 * each with its own data folder. Functions that wait poll a condition and
 * fail the test if it is not met within FIXTURE_WAIT_MS.
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

/* Chooses ports and folders; nodes 0 to n_first - 1 are first members. */
void fixture_prepare(struct group_fixture *c, size_t n_first);
void fixture_start(struct group_fixture *c, size_t i, bool join);
void fixture_stop(struct group_fixture *c, size_t i); /* gracefully */
void fixture_clear(struct group_fixture *c); /* stops all, removes files */
void fixture_empty_folder(const char *folder);

/* Sends a request to any of the servers; fails the test if the status is
 * not the expected one. */
json_t *fixture_request(struct group_fixture *c, const char *method,
			const char *path, const char *body, uint32_t expected);
/* Sets the target of class "a"; returns the revision. */
json_int_t fixture_set_class(struct group_fixture *c, const char *id,
			     uint32_t target, uint64_t base, uint32_t expected);
json_int_t fixture_class_target(struct group_fixture *c);
/* A numeric field of the node's own status; -1: the node doesn't answer. */
json_int_t fixture_status(struct group_fixture *c, size_t i, const char *field);
void fixture_wait_revision(struct group_fixture *c, size_t i,
			   json_int_t revision);
size_t fixture_leader(struct group_fixture *c); /* waits for a leader */
/* Waits until the member is: 1 a voter, 0 listed but no voter, -1 not
 * listed. */
void fixture_wait_voter(struct group_fixture *c, json_int_t id, int voter);
/* Waits until the disk of every member is registered. */
void fixture_wait_identities(struct group_fixture *c);

#endif
