/*
 * coordinator: what its files share. One loop thread owns all of it;
 * only coordinator_start, coordinator_stop and the admin routes run on
 * other threads, and these post to the loop.
 */
#ifndef ROLES_COORDINATOR_H
#define ROLES_COORDINATOR_H

#include "chervilferry.h"
#include "base/counters.h"
#include "net/admin.h"
#include "net/link.h"
#include "leased/formats.h"
#include "roles/role.h"
#include "store/group.h"

#include <string.h>

#define QUORUM_MAX_AGE_MS 500 /* a grant needs a quorum this recent */
#define LEDGER_FILE "ledger"

/* What waits for an entry to be applied: an operator or a dispatcher. */
struct waiter {
	struct http_request *request; /* or NULL */
	struct link *link; /* of the dispatcher that wants a fence */
	uint64_t seq;
	uint64_t incarnation; /* to be fenced */
};

/* A read that waits for a quorum heard after its arrival. */
struct pending_read {
	struct http_request *request;
	bool routes; /* the operators' routes as they were sent */
	int64_t arrived_ms;
};

/* One process that holds a lease, as the roster shows it. */
struct holder {
	Cfw__Role role;
	uint64_t incarnation;
	char name[CF_NAME_SIZE];
	char data_centre[CF_NAME_SIZE];
	char rack[CF_NAME_SIZE];
	char address[CF_NAME_SIZE];
	bool draining;
	struct cf_capacity capacity;
	int64_t renewed_ms;
};

/* The leader's state, new for each term of office. */
struct leadership {
	struct cf_lease_table *leases;
	GHashTable *holders; /* incarnation -> struct holder */
	GHashTable *pending_fences; /* incarnations with a fence under way */
	GHashTable *released; /* incarnations that gave their lease back */
	uint64_t roster_version;
	int64_t last_departure_ms; /* wall; keys up to here may be there */
	bool settled;
	uint64_t
		member_change_index; /* newest entry of the membership upkeep */
	int64_t member_change_ms;
};

struct coordinator_counters {
	struct counter *granted;
	struct counter *refused;
	struct counter *votes_for;
	struct counter *votes_none;
	struct counter *commands;
	struct counter *dropped;
	struct counter *leading;
	struct counter *holders;
	struct counter *revision;
};

struct coordinator {
	struct loop *loop;
	GThread *thread;
	struct loop_timer *tick;
	struct link_hub *hub;
	struct group *group;
	struct admin *admin;
	struct cf_config *config;
	struct Cfw__Configuration
		*grant_config; /* of grant_config_revision, for grants */
	uint64_t grant_config_revision;

	uint32_t id;
	uint64_t incarnation;
	char name[CF_NAME_SIZE];
	char data_centre[CF_NAME_SIZE];
	char *data_folder;
	uint32_t lease_ms;
	uint16_t port;
	GArray *first_members; /* struct cf_member */
	char **join; /* addresses, or NULL */
	struct http_server *control; /* the platform's interface, or NULL */
	const struct formats *formats;
	char control_address[CF_NAME_SIZE]; /* empty: none */
	char link_address[CF_NAME_SIZE]; /* where others reach this one */
	uint32_t target_voters; /* 0: every member that is added */
	bool reset_and_rejoin; /* it was removed: ends with an empty data folder
				*/
	int64_t disk_failed_ms; /* 0: the disk works */
	bool exit_for_disk; /* by itself, to begin anew from its disk */
	int64_t next_join_ms;
	GHashTable *unreachable; /* member id -> int64_t *, since when */

	GPtrArray *peers; /* struct link, dialled */
	GPtrArray *accepted; /* struct link that other coordinators made */
	uint64_t peers_revision; /* of the configuration they follow */
	GHashTable *identities; /* member id -> GBytes, as heard */

	struct leadership *leadership; /* NULL: not leading */
	GHashTable *waiters; /* command id (GBytes) -> GPtrArray */
	GPtrArray *reads; /* struct pending_read */

	struct cf_ledger *ledger;
	int64_t abstain_until_ms; /* wall clock; abstains before */
	struct cf_lease *voter_lease; /* of a voter that does not lead */
	int64_t next_renewal_ms;
	int64_t next_expiry_ms;

	const char *why_not_ready; /* NULL: it is ready */
	bool stopping;
	struct coordinator_counters counters;
};

/* ---- Ports (coordinator.c), also for standalone --------------------- */

uint16_t coordinator_port(const struct coordinator *c);
uint16_t coordinator_admin_port(const struct coordinator *c);

/* ---- First members (coordinator_members.c) -------------------------- */

/* "1=IP:PORT/ADMIN-IP:PORT,2=..." to struct cf_member; own_id has to be
 * among them. NULL and error otherwise. */
GArray *first_members_parse(const char *text, uint32_t own_id, GError **error);
/* Leader: this member, a voter or not, could be one at once. */
bool coordinator_can_vote(const struct coordinator *c,
			  const struct cf_member *member);
void coordinator_reconcile_members(struct coordinator *c, int64_t now_ms);
/* Address of a member, as configured or first named; NULL unknown. */
const char *coordinator_member_address(const struct coordinator *c, uint32_t id,
				       bool admin);
/* The log's members are those of the newest applied view. */
bool coordinator_view_is_stable(const struct coordinator *c);

/* ---- A group that finds its members itself (coordinator_join.c) ----- */

/* Reads or makes this member's id and first members; false: error. */
bool coordinator_init_identity(struct coordinator *c,
			       const struct settings *settings, GError **error);
/* Asks to be added while this member is none. */
void coordinator_send_join_request(struct coordinator *c, int64_t now_ms);
void coordinator_join_request(struct coordinator *c,
			      const struct Cfw__JoinRequest *request);
/* Leader: removes a voter that can't be reached where another member is
 * ready to take its place; true: it did. */
bool coordinator_remove_unreachable(struct coordinator *c, int64_t now_ms);
/* Leader: tells one that was removed, and tries to take part, that it is. */
void coordinator_notify_removed(struct link *link);
/* Empties the data folder of a member that was removed. */
void coordinator_clear_folder(const struct coordinator *c);

/* ---- The platform's interface (coordinator_control.c) --------------- */

bool coordinator_open_control(struct coordinator *c, GError **error);

/* ---- Log (coordinator_log.c) ---------------------------------------- */

extern const struct group_handlers coordinator_group_handlers;

/* Proposes a packed command; on success the waiter, if any, is answered
 * when it is applied or leadership is lost. 0: not the leader. */
uint64_t coordinator_propose(struct coordinator *c, GBytes *command,
			     const struct waiter *waiter);
/* Gives the command a random id and proposes it. */
uint64_t coordinator_propose_own(struct coordinator *c,
				 struct Cfw__Command *command,
				 const struct waiter *waiter);
void coordinator_fail_waiters(struct coordinator *c, const char *why);
void coordinator_drop_waiters(struct coordinator *c, const struct link *link);

/* ---- Links (coordinator_links.c) ------------------------------------ */

extern const struct link_handlers coordinator_link_handlers;

void coordinator_update_peers(struct coordinator *c); /* dials them */
struct link *coordinator_link_to(const struct coordinator *c, uint32_t id);

/* ---- Leases (coordinator_leases.c) ---------------------------------- */

bool coordinator_may_grant(const struct coordinator *c, int64_t now_ms);
void coordinator_begin_leadership(struct coordinator *c, int64_t now_ms);
void coordinator_end_leadership(struct coordinator *c);
void coordinator_lease_request(struct coordinator *c, struct link *link,
			       const struct Cfw__LeaseRequest *request);
void coordinator_expire_leases(struct coordinator *c, int64_t now_ms);
void coordinator_renew_voter_lease(struct coordinator *c, int64_t now_ms);
void coordinator_lease_grant(struct coordinator *c,
			     const struct Cfw__LeaseGrant *grant);

/* ---- Fences and the roster (coordinator_roster.c) ------------------- */

struct Cfw__Roster *coordinator_build_roster(const struct coordinator *c);
void coordinator_free_roster(struct Cfw__Roster *roster);
void coordinator_fence_request(struct coordinator *c, struct link *link,
			       const struct Cfw__FenceRequest *request);
void coordinator_fence_answer(struct coordinator *c,
			      const struct waiter *waiter, bool fenced,
			      bool alive, const char *message);

/* ---- Claims (coordinator_claims.c) ---------------------------------- */

bool coordinator_open_ledger(struct coordinator *c, int64_t wall_ms,
			     GError **error);
void coordinator_save_ledger(struct coordinator *c);
void coordinator_claim_request(struct coordinator *c, struct link *link,
			       const struct Cfw__ClaimRequest *request);

/* ---- Operators' interface (coordinator_admin.c) --------------------- */

void coordinator_add_routes(struct coordinator *c);
void coordinator_answer_reads(struct coordinator *c, int64_t now_ms);
void coordinator_fail_reads(struct coordinator *c, const char *why);
void coordinator_answer_command(struct http_request *request,
				const struct cf_command_result *result);
void coordinator_answer_not_leader(struct coordinator *c,
				   struct http_request *request,
				   const char *why);

#endif
