/*
 * lease: the holder's lease and the leader's table of holders (Gray and
 * Cheriton, 1989). The holder measures the duration from when it sent the
 * request, the leader from when the request arrived. So a lease always ends
 * at the holder first, and the leader never ends it too early.
 */
#include "chervilferry.h"

/* ---- Constants ---- */

#define PENDING_REQUESTS_MAX 32 /* requests without a grant yet */

/* ---- Types ---- */

struct cf_lease {
	uint64_t next_seq;
	uint64_t granted_seq; /* newest granted request */
	int64_t sent_ms[PENDING_REQUESTS_MAX];
	int64_t end_ms;
	uint64_t revision;
	bool revoked;
};

struct holder {
	int64_t end_ms;
	bool ended;
	bool reported; /* returned by cf_lease_table_expire */
};

struct cf_lease_table {
	GHashTable *holders; /* incarnation -> struct holder */
	uint32_t duration_ms;
	int64_t settled_ms; /* leases of earlier leaders have expired by then */
};

/* ---- Holder ---- */

struct cf_lease *cf_lease_create(void)
{
	struct cf_lease *lease = g_new0(struct cf_lease, 1);

	lease->next_seq = 1;
	lease->end_ms = INT64_MIN;
	return lease;
}

void cf_lease_destroy(struct cf_lease *lease)
{
	g_free(lease);
}

uint64_t cf_lease_request(struct cf_lease *lease, int64_t now_ms)
{
	uint64_t seq = lease->next_seq++;

	lease->sent_ms[seq % PENDING_REQUESTS_MAX] = now_ms;
	return seq;
}

bool cf_lease_grant(struct cf_lease *lease, uint64_t seq, uint32_t duration_ms,
		    uint64_t revision, int64_t now_ms)
{
	int64_t end_ms;

	if (lease->revoked || seq <= lease->granted_seq ||
	    seq >= lease->next_seq ||
	    lease->next_seq - seq > PENDING_REQUESTS_MAX)
		return false;
	end_ms = lease->sent_ms[seq % PENDING_REQUESTS_MAX] + duration_ms;
	if (end_ms <= now_ms || revision < lease->revision)
		return false;
	lease->granted_seq = seq;
	lease->revision = revision;
	lease->end_ms = MAX(lease->end_ms, end_ms);
	return true;
}

void cf_lease_revoke(struct cf_lease *lease)
{
	lease->revoked = true;
	lease->end_ms = INT64_MIN;
}

bool cf_lease_held(const struct cf_lease *lease, int64_t now_ms)
{
	return now_ms < lease->end_ms;
}

int64_t cf_lease_end_ms(const struct cf_lease *lease)
{
	return lease->end_ms;
}

uint64_t cf_lease_revision(const struct cf_lease *lease)
{
	return lease->revision;
}

/* ---- Leader ---- */

struct cf_lease_table *cf_lease_table_create(uint32_t duration_ms,
					     int64_t now_ms)
{
	struct cf_lease_table *table = g_new0(struct cf_lease_table, 1);

	table->holders = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	table->duration_ms = duration_ms;
	table->settled_ms = now_ms + duration_ms;
	return table;
}

void cf_lease_table_destroy(struct cf_lease_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->holders);
	g_free(table);
}

static struct holder *add_holder(struct cf_lease_table *table,
				 uint64_t incarnation)
{
	struct holder *holder = g_new0(struct holder, 1);

	g_hash_table_insert(table->holders,
			    g_memdup2(&incarnation, sizeof(incarnation)),
			    holder);
	return holder;
}

bool cf_lease_table_renew(struct cf_lease_table *table, uint64_t incarnation,
			  int64_t now_ms)
{
	struct holder *holder =
		g_hash_table_lookup(table->holders, &incarnation);

	if (!holder)
		holder = add_holder(table, incarnation);
	else if (holder->ended || now_ms >= holder->end_ms)
		holder->ended = true;
	if (holder->ended)
		return false;
	holder->end_ms = now_ms + table->duration_ms;
	return true;
}

void cf_lease_table_release(struct cf_lease_table *table, uint64_t incarnation)
{
	struct holder *holder =
		g_hash_table_lookup(table->holders, &incarnation);

	if (!holder)
		holder = add_holder(table, incarnation);
	holder->ended = true;
}

void cf_lease_table_remove(struct cf_lease_table *table, uint64_t incarnation)
{
	g_hash_table_remove(table->holders, &incarnation);
}

enum cf_holder_state cf_lease_table_state(const struct cf_lease_table *table,
					  uint64_t incarnation, int64_t now_ms)
{
	const struct holder *holder =
		g_hash_table_lookup(table->holders, &incarnation);

	if (!holder)
		return CF_HOLDER_NONE;
	if (holder->ended || now_ms >= holder->end_ms)
		return CF_HOLDER_ENDED;
	return CF_HOLDER_ACTIVE;
}

bool cf_lease_table_settled(const struct cf_lease_table *table, int64_t now_ms)
{
	return now_ms >= table->settled_ms;
}

size_t cf_lease_table_expire(struct cf_lease_table *table, int64_t now_ms,
			     uint64_t *incarnations, size_t max)
{
	GHashTableIter iter;
	gpointer incarnation, value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, table->holders);
	while (count < max &&
	       g_hash_table_iter_next(&iter, &incarnation, &value)) {
		struct holder *holder = value;

		if (now_ms >= holder->end_ms)
			holder->ended = true;
		if (!holder->ended || holder->reported)
			continue;
		holder->reported = true;
		incarnations[count++] = *(uint64_t *)incarnation;
	}
	return count;
}
