/*
 * coordinator: types and functions shared by the coordinator's files.
 * The loop thread owns all state. Only coordinator_start,
 * coordinator_stop and the HTTP handlers run on other threads; the
 * handlers and coordinator_stop post their work to the loop.
 */
#ifndef ROLES_COORDINATOR_H
#define ROLES_COORDINATOR_H

#include "chervilferry.h"
#include "base/counters.h"
#include "coordinator/routes_sender.h"
#include "net/admin.h"
#include "net/link.h"
#include "leased/formats.h"
#include "roles/role.h"
#include "store/group.h"

#include <string.h>

/* A lease is granted only if a quorum acknowledged the leader this recently. */
#define QUORUM_MAX_AGE_MS 500
#define LEDGER_FILE "ledger"

/* A caller that is answered when its log entry is applied: an operator's
 * request or a dispatcher's fence request. */
struct waiter {
	struct http_request *request; /* operator's; NULL: a fence request */
	struct link *link; /* to the dispatcher that requested the fence */
	uint64_t seq;
	uint64_t incarnation; /* process to fence */
};

/* A linearizable read: answered once a quorum has acknowledged the leader
 * after the read arrived. */
struct pending_read {
	struct http_request *request;
	bool routes; /* read the stored routes, not the configuration */
	int64_t arrived_ms;
};

/* A process that holds a lease, with the fields that the roster lists. */
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

/* State that only the leader has; created when a member becomes leader. */
struct leadership {
	struct cf_lease_table *leases;
	GHashTable *holders; /* incarnation -> struct holder */
	GHashTable *pending_fences; /* incarnations whose fence is proposed */
	GHashTable *released; /* incarnations that released their lease */
	uint64_t roster_version;
	/* Wall clock. A job whose key is not newer may have run on an agent
	 * that is no longer listed. */
	int64_t last_departure_ms;
	bool settled; /* all leases of former leaders have expired */
	/* Log index of the last membership proposal; 0: none pending. */
	uint64_t member_change_index;
	int64_t member_change_ms; /* when it was proposed */
};

/* A coordinator that has asked to be added and isn't a member yet. */
struct joiner {
	struct cf_member member; /* id and addresses only */
	int64_t first_ms, last_ms; /* requests */
	int64_t forwarded_ms; /* to the leader; INT64_MIN: never */
	int64_t proposed_ms; /* its addition; INT64_MIN: never */
	int64_t reported_ms; /* last log line about it, 0: none */
};

/* Voters as the leader counts them. */
struct voters {
	uint32_t meant, listed;
	uint32_t present; /* could vote now */
	uint32_t losses_borne; /* further ones, with a majority left */
};

/* Times of the log lines about redundancy; 0: none. */
struct redundancy {
	int64_t waits_since_ms, wait_reported_ms; /* this one, as a joiner */
	int64_t low_since_ms, voters_reported_ms; /* the voters, as leader */
};

struct coordinator_counters {
	struct counter *granted;
	struct counter *config_copies; /* configurations sent with leases */
	struct counter *config_bytes; /* of them */
	struct counter *routes_documents; /* fetches begun, whole */
	struct counter *routes_changes; /* fetches begun, of a change */
	struct counter *routes_bytes; /* of their parts */
	struct counter *refused;
	struct counter *votes_for;
	struct counter *votes_none;
	struct counter *commands;
	struct counter *dropped;
	struct counter *rejoins;
	struct counter *joins_forwarded;
	struct counter *joiners;
	struct counter *voters_meant;
	struct counter *voters_present;
	struct counter *losses_borne;
	struct counter *leading;
	struct counter *holders;
	struct counter *revision;
};

/* A configuration to send, cached per revision. */
struct grant_config {
	struct Cfw__Configuration *message; /* NULL: none yet */
	uint64_t revision;
	size_t bytes;
};

/* Configurations sent since the last log line. */
struct copies_sent {
	int64_t logged_ms;
	uint64_t copies, bytes;
};

struct coordinator {
	const struct settings *settings;
	struct door_limits doors[DOOR_COUNT];
	struct loop *loop;
	GThread *thread;
	struct loop_timer *tick;
	struct link_hub *hub;
	struct group *group;
	struct admin *admin;
	struct cf_config *config;
	/* Configuration as sent in grants: without routes, and with them for
	 * holders of earlier versions. */
	struct grant_config grant_settings, grant_whole;
	struct copies_sent copies_sent;
	struct routes_sender *routes_sender;

	uint32_t id;
	uint64_t incarnation;
	char name[CF_NAME_SIZE];
	char data_centre[CF_NAME_SIZE];
	char *data_folder;
	uint32_t lease_ms;
	uint16_t port;
	GArray *first_members; /* struct cf_member */
	char **join; /* addresses of members to join, or NULL */
	struct http_server *control; /* platform control interface, or NULL */
	const struct formats *formats;
	char control_address[CF_NAME_SIZE]; /* empty: no control interface */
	char link_address[CF_NAME_SIZE]; /* advertised to other members */
	uint32_t target_voters; /* 0: every added member votes */
	/* This member was removed and changes its identity. Also set while
	 * the process stops because the change failed: then group is NULL. */
	bool rejoining;
	/* Removed, but its id is fixed by the settings: it exits with an
	 * empty data folder. */
	bool exit_removed;
	int64_t disk_failed_ms; /* 0: the disk works */
	/* It exits with status 1 for this reason, to be restarted; or NULL. */
	const char *exit_why;
	int64_t next_join_ms;
	GHashTable *unreachable; /* member id -> int64_t *, since (ms) */

	GArray *joiners; /* struct joiner, at most one for each address */
	/* Addresses that are dialled besides those of members and seeds: former
	 * members, and leaders that were named to this joiner. Kept when the
	 * identity changes, lost when the process ends. */
	GPtrArray *contacts; /* char * */
	bool contacts_changed; /* since the peers were last updated */
	struct redundancy redundancy;

	GPtrArray *peers; /* struct link, dialled by this member */
	GPtrArray *accepted; /* struct link, dialled by other coordinators */
	GPtrArray *sessions; /* struct link, dialled by lease holders */
	uint64_t peers_revision; /* configuration revision behind the peers */
	GHashTable *identities; /* member id -> GBytes, last received */

	struct leadership *leadership; /* NULL: not the leader */
	GHashTable *waiters; /* command id -> GPtrArray of struct waiter */
	GPtrArray *reads; /* struct pending_read */

	struct cf_ledger *ledger;
	/* Wall clock. Abstains on keys that are not newer, because it may have
	 * voted on them before an unclean end. */
	int64_t abstain_until_ms;
	struct cf_lease *voter_lease; /* used while this voter is a follower */
	int64_t next_renewal_ms;
	int64_t next_expiry_ms;

	const char *why_not_ready; /* NULL: ready */
	bool stopping;
	struct coordinator_counters counters;
};

/* ---- Start (coordinator.c) -------------------------------------------- */

bool coordinator_open_links(struct coordinator *c, GError **error);
/* Opens the trace, the replicated log and the ledger. */
bool coordinator_open_replica(struct coordinator *c, GError **error);

/* ---- Ports (coordinator.c), also used by standalone ------------------ */

uint16_t coordinator_port(const struct coordinator *c);
uint16_t coordinator_admin_port(const struct coordinator *c);

/* ---- First members (coordinator_members.c) -------------------------- */

/* Parses "1=IP:PORT/ADMIN-IP:PORT,2=..." into struct cf_member. Returns
 * NULL and sets error if the text is invalid or does not list own_id. */
GArray *first_members_parse(const char *text, uint32_t own_id, GError **error);
/* Leader: true if the member is able to vote now, whether or not it is a
 * voter: it is connected, caught up, and its disk is registered. */
bool coordinator_can_vote(const struct coordinator *c,
			  const struct cf_member *member);
/* Leader: proposes the next change that brings the log's membership closer
 * to the configuration. */
void coordinator_reconcile_members(struct coordinator *c, int64_t now_ms);
/* Address of a member from the configuration, else from the first members;
 * NULL if the member is unknown. */
const char *coordinator_member_address(const struct coordinator *c, uint32_t id,
				       bool admin);
/* True if the log's voters are those of the newest applied view, that is,
 * no membership change is pending. */
bool coordinator_view_is_stable(const struct coordinator *c);

/* ---- Automatic membership (coordinator_join.c) ----------------------- */

/* Loads this member's id and first members, or creates and stores them;
 * false: error. */
bool coordinator_init_identity(struct coordinator *c,
			       const struct settings *settings, GError **error);
/* Marks the data folder as one of a removed member. A folder with the mark
 * is emptied before anything in it is used. */
bool coordinator_mark_rejoin(const struct coordinator *c, GError **error);
/* Empties a marked folder, stores a new id there and removes the mark. */
bool coordinator_renew_identity(struct coordinator *c, GError **error);
/* Leader: whether there was no link to the member for 3 s of calls. */
bool coordinator_is_unreachable(struct coordinator *c, uint32_t id,
				int64_t now_ms);
/* Leader: removes an unreachable voter if another member is ready to
 * replace it. Returns true if a removal was proposed. */
bool coordinator_remove_unreachable(struct coordinator *c, int64_t now_ms);
/* Tells a removed member that still sends messages that it was removed. */
void coordinator_notify_removed(struct link *link);
/* Empties the data folder of a member that was removed. */
bool coordinator_clear_folder(const struct coordinator *c, GError **error);

/* ---- Joiners (coordinator_joiners.c) ---------------------------------- */

/* Whether this coordinator isn't a member and has to be added. */
bool coordinator_waits_to_join(const struct coordinator *c);
/* Requests membership from the other coordinators while this one waits. */
void coordinator_send_join_request(struct coordinator *c, int64_t now_ms);
void coordinator_join_request(struct coordinator *c, struct link *link,
			      const struct Cfw__JoinRequest *request);
/* Leader: proposes the next step for one of the waiting joiners. Returns true
 * if a change was proposed. */
bool coordinator_admit_joiners(struct coordinator *c, int64_t now_ms);
void coordinator_expire_joiners(struct coordinator *c, int64_t now_ms);
void coordinator_propose_removal(struct coordinator *c, uint32_t id,
				 const char *why);
/* Dials this address besides those of members and seeds. */
void coordinator_add_contact(struct coordinator *c, const char *address);

/* ---- Redundancy (coordinator_redundancy.c) ---------------------------- */

/* Leader only. */
void coordinator_count_voters(const struct coordinator *c,
			      struct voters *voters);
/* Sets the gauges, and logs what is missing at a bounded rate. */
void coordinator_report_redundancy(struct coordinator *c, int64_t now_ms);

/* ---- Change of identity (coordinator_rejoin.c) ------------------------- */

/* State that is discarded together with the member's identity: its replica,
 * links, ledger, configuration and the requests that wait for them. */
void coordinator_create_state(struct coordinator *c);
void coordinator_destroy_state(struct coordinator *c);
/* Replaces this removed member by a new one at the end of the loop
 * iteration. */
void coordinator_begin_rejoin(struct coordinator *c);

/* ---- Platform control interface (coordinator_control.c) -------------- */

bool coordinator_open_control(struct coordinator *c, GError **error);

/* ---- Log (coordinator_log.c) ---------------------------------------- */

extern const struct group_handlers coordinator_group_handlers;

/* Proposes a packed command and returns its log index; 0: not the leader.
 * On success the waiter, if any, is answered when the command is applied or
 * leadership is lost. */
uint64_t coordinator_propose(struct coordinator *c, GBytes *command,
			     const struct waiter *waiter);
/* Sets a random command id and proposes the command. */
uint64_t coordinator_propose_own(struct coordinator *c,
				 struct Cfw__Command *command,
				 const struct waiter *waiter);
void coordinator_fail_waiters(struct coordinator *c, const char *why);
void coordinator_drop_waiters(struct coordinator *c, const struct link *link);

/* ---- Links (coordinator_links.c) ------------------------------------ */

extern const struct link_handlers coordinator_link_handlers;

/* Dials members that are new and drops links to removed ones. */
void coordinator_update_peers(struct coordinator *c);
struct link *coordinator_link_to(const struct coordinator *c, uint32_t id);

/* ---- Leases (coordinator_leases.c) ---------------------------------- */

bool coordinator_may_grant(const struct coordinator *c, int64_t now_ms);
void coordinator_begin_leadership(struct coordinator *c, int64_t now_ms);
void coordinator_end_leadership(struct coordinator *c);
void coordinator_lease_request(struct coordinator *c, struct link *link,
			       const struct Cfw__LeaseRequest *request);
/* Names the leader to all lease holders that are connected, without waiting
 * for their next request. */
void coordinator_announce_leader(struct coordinator *c);
void coordinator_expire_leases(struct coordinator *c, int64_t now_ms);
void coordinator_renew_voter_lease(struct coordinator *c, int64_t now_ms);
void coordinator_lease_grant(struct coordinator *c,
			     const struct Cfw__LeaseGrant *grant);

void coordinator_clear_grant_config(struct grant_config *config);

/* ---- Routes for holders (coordinator_routes.c) ----------------------- */

/* Answers with the next part of newer routes. */
void coordinator_routes_request(struct coordinator *c, struct link *link,
				const struct Cfw__RoutesRequest *request);

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

/* ---- Admin interface (coordinator_admin.c) --------------------------- */

void coordinator_add_routes(struct coordinator *c);
void coordinator_answer_reads(struct coordinator *c, int64_t now_ms);
void coordinator_fail_reads(struct coordinator *c, const char *why);
void coordinator_answer_command(struct http_request *request,
				const struct cf_command_result *result);
void coordinator_answer_not_leader(struct coordinator *c,
				   struct http_request *request,
				   const char *why);

#endif
