/*
 * claim: a voter's ledger of votes on job keys. There is one hash table with
 * open addressing per span of key time, so that expiry frees whole tables.
 * Votes refer to owners by number, which keeps a vote at 20 bytes.
 *
 * Only the vote of the highest epoch is kept for a key. A vote for an epoch
 * above 0 requires that the claim's prior owner is fenced. If the key has a
 * vote already, that vote must be for the prior owner and the epoch just
 * before. Lower epochs then get no vote. As any two majorities share a
 * voter, they cannot elect two unfenced owners.
 */
#include "chervilferry.h"

#include <string.h>
#include <xxhash.h>

/* ---- Constants ---- */

#define SPAN_MS 10000 /* key time covered by one table */
#define INITIAL_SLOTS 64
#define MAX_LOAD_PERCENT 80 /* load factor above which a table grows */
#define SNAPSHOT_MAGIC 0x6c647231u
#define OWNERS_MAX UINT16_MAX

/* ---- Types ---- */

/* Also the layout in a saved ledger. Owner 0 marks an empty slot. */
struct vote {
	struct cf_key key;
	uint16_t owner; /* 1-based index into the ledger's owners */
	uint16_t epoch;
};

struct span {
	struct vote *slots;
	uint32_t n_slots, n_votes;
};

struct save_header {
	uint32_t magic, n_owners;
	uint64_t n_votes;
	int64_t safe_after_ms, expired_until_ms;
};

struct cf_ledger {
	GHashTable *spans; /* key time / SPAN_MS (int64_t) -> struct span */
	GArray *owners; /* uint64_t incarnations */
	int64_t horizon_ms;
	int64_t safe_after_ms;
	int64_t expired_until_ms; /* votes on keys up to here may have expired
				   */
	size_t n_votes;
};

/* ---- Spans ---- */

static void span_destroy(gpointer data)
{
	struct span *span = data;

	g_free(span->slots);
	g_free(span);
}

static struct vote *span_slot(const struct span *span, const struct cf_key *key)
{
	uint64_t hash = XXH3_64bits(key->bytes, CF_KEY_SIZE);
	uint32_t slot = (uint32_t)((hash >> 32) * span->n_slots >> 32);

	while (span->slots[slot].owner &&
	       !cf_key_equal(&span->slots[slot].key, key))
		slot = slot + 1 == span->n_slots ? 0 : slot + 1;
	return &span->slots[slot];
}

static void span_grow(struct span *span)
{
	struct span larger = { 0 };

	larger.n_slots = span->n_slots + span->n_slots / 2;
	larger.slots = g_new0(struct vote, larger.n_slots);
	for (uint32_t i = 0; i < span->n_slots; i++) {
		if (span->slots[i].owner)
			*span_slot(&larger, &span->slots[i].key) =
				span->slots[i];
	}
	g_free(span->slots);
	span->slots = larger.slots;
	span->n_slots = larger.n_slots;
}

static struct span *find_span(const struct cf_ledger *ledger,
			      const struct cf_key *key)
{
	int64_t number = cf_key_time_ms(key) / SPAN_MS;

	return g_hash_table_lookup(ledger->spans, &number);
}

static struct vote *find_vote(const struct cf_ledger *ledger,
			      const struct cf_key *key)
{
	struct span *span = find_span(ledger, key);
	struct vote *vote = span ? span_slot(span, key) : NULL;

	return vote && vote->owner ? vote : NULL;
}

static void add_vote(struct cf_ledger *ledger, const struct vote *vote)
{
	struct span *span = find_span(ledger, &vote->key);

	if (!span) {
		int64_t number = cf_key_time_ms(&vote->key) / SPAN_MS;

		span = g_new0(struct span, 1);
		span->n_slots = INITIAL_SLOTS;
		span->slots = g_new0(struct vote, span->n_slots);
		g_hash_table_insert(ledger->spans,
				    g_memdup2(&number, sizeof(number)), span);
	}
	if ((uint64_t)(span->n_votes + 1) * 100 >
	    (uint64_t)span->n_slots * MAX_LOAD_PERCENT)
		span_grow(span);
	*span_slot(span, &vote->key) = *vote;
	span->n_votes++;
	ledger->n_votes++;
}

/* ---- Owners ---- */

static uint64_t owner_at(const struct cf_ledger *ledger, uint16_t number)
{
	return g_array_index(ledger->owners, uint64_t, number - 1);
}

/* Returns 0 if the numbers are used up; the caller then abstains. */
static uint16_t owner_number(struct cf_ledger *ledger, uint64_t owner)
{
	for (guint i = ledger->owners->len; i > 0; i--) {
		if (owner_at(ledger, (uint16_t)i) == owner)
			return (uint16_t)i;
	}
	if (ledger->owners->len >= OWNERS_MAX)
		return 0;
	g_array_append_val(ledger->owners, owner);
	return (uint16_t)ledger->owners->len;
}

/* ---- Ledger ---- */

struct cf_ledger *cf_ledger_create(int64_t horizon_ms, int64_t safe_after_ms)
{
	struct cf_ledger *ledger = g_new0(struct cf_ledger, 1);

	ledger->spans = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, span_destroy);
	ledger->owners = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	ledger->horizon_ms = horizon_ms;
	ledger->safe_after_ms = safe_after_ms;
	ledger->expired_until_ms = INT64_MIN;
	return ledger;
}

void cf_ledger_destroy(struct cf_ledger *ledger)
{
	if (!ledger)
		return;
	g_hash_table_destroy(ledger->spans);
	g_array_free(ledger->owners, TRUE);
	g_free(ledger);
}

/* Decides on a claim for a key that already has a vote here. */
static enum cf_vote vote_existing(struct cf_ledger *ledger,
				  struct vote *existing,
				  const struct cf_claim *claim, bool may_vote,
				  bool prior_fenced, uint64_t *owner)
{
	uint16_t number;

	*owner = owner_at(ledger, existing->owner);
	if (!may_vote || claim->epoch < existing->epoch ||
	    claim->epoch > UINT16_MAX || !claim->owner)
		return CF_VOTE_ABSTAIN;
	if (claim->epoch == existing->epoch)
		return CF_VOTE_FOR;
	if (!prior_fenced || claim->epoch != existing->epoch + 1u ||
	    claim->prior_owner != *owner)
		return CF_VOTE_UNFENCED;
	number = owner_number(ledger, claim->owner);
	if (!number)
		return CF_VOTE_ABSTAIN;
	existing->owner = number;
	existing->epoch = (uint16_t)claim->epoch;
	*owner = claim->owner;
	return CF_VOTE_FOR;
}

enum cf_vote cf_ledger_vote(struct cf_ledger *ledger,
			    const struct cf_claim *claim, bool may_vote,
			    bool prior_fenced, int64_t wall_ms, uint64_t *owner)
{
	int64_t time_ms = cf_key_time_ms(&claim->key);
	struct vote vote = { claim->key, 0, (uint16_t)claim->epoch };
	struct vote *existing;

	*owner = 0;
	if (time_ms <= ledger->expired_until_ms ||
	    time_ms <= wall_ms - ledger->horizon_ms)
		return CF_VOTE_TOO_OLD;
	existing = find_vote(ledger, &claim->key);
	if (existing)
		return vote_existing(ledger, existing, claim, may_vote,
				     prior_fenced, owner);
	if (time_ms > wall_ms + CF_CLOCK_SKEW_MS)
		return CF_VOTE_TOO_NEW;
	if (!may_vote || time_ms <= ledger->safe_after_ms)
		return CF_VOTE_ABSTAIN;
	if (claim->epoch > 0 && !prior_fenced)
		return CF_VOTE_UNFENCED;
	if (claim->epoch <= UINT16_MAX && claim->owner)
		vote.owner = owner_number(ledger, claim->owner);
	if (!vote.owner)
		return CF_VOTE_ABSTAIN;
	add_vote(ledger, &vote);
	*owner = claim->owner;
	return CF_VOTE_FOR;
}

void cf_ledger_expire(struct cf_ledger *ledger, int64_t wall_ms)
{
	GHashTableIter iter;
	gpointer number, value;

	g_hash_table_iter_init(&iter, ledger->spans);
	while (g_hash_table_iter_next(&iter, &number, &value)) {
		struct span *span = value;
		int64_t last_ms = (*(int64_t *)number + 1) * SPAN_MS - 1;

		if (last_ms > wall_ms - ledger->horizon_ms)
			continue;
		ledger->expired_until_ms =
			MAX(ledger->expired_until_ms, last_ms);
		ledger->n_votes -= span->n_votes;
		g_hash_table_iter_remove(&iter);
	}
}

size_t cf_ledger_size(const struct cf_ledger *ledger)
{
	return ledger->n_votes;
}

/* ---- Save and load ---- */

GBytes *cf_ledger_save(const struct cf_ledger *ledger)
{
	struct save_header header = { SNAPSHOT_MAGIC, ledger->owners->len,
				      ledger->n_votes, ledger->safe_after_ms,
				      ledger->expired_until_ms };
	GByteArray *bytes = g_byte_array_new();
	GHashTableIter iter;
	gpointer value;

	g_byte_array_append(bytes, (const guint8 *)&header, sizeof(header));
	g_byte_array_append(bytes, (const guint8 *)ledger->owners->data,
			    ledger->owners->len * sizeof(uint64_t));
	g_hash_table_iter_init(&iter, ledger->spans);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct span *span = value;

		for (uint32_t i = 0; i < span->n_slots; i++) {
			if (span->slots[i].owner)
				g_byte_array_append(
					bytes, (const guint8 *)&span->slots[i],
					sizeof(struct vote));
		}
	}
	return g_byte_array_free_to_bytes(bytes);
}

static bool check_saved(const guint8 *data, gsize size_bytes, GError **error)
{
	struct save_header header = { 0 };
	gsize expected = sizeof(header);

	if (size_bytes >= sizeof(header)) {
		memcpy(&header, data, sizeof(header));
		expected += header.n_owners * sizeof(uint64_t);
		expected += header.n_votes * sizeof(struct vote);
	}
	if (size_bytes != expected || header.magic != SNAPSHOT_MAGIC ||
	    header.n_owners > OWNERS_MAX ||
	    header.n_votes > size_bytes / sizeof(struct vote)) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
			    "saved ledger of %zu bytes is damaged", size_bytes);
		return false;
	}
	return true;
}

/*
 * Restores the saved safe_after_ms too: votes lost in an unclean stop are
 * still lost after a later clean one.
 */
bool cf_ledger_load(struct cf_ledger *ledger, GBytes *saved, GError **error)
{
	gsize size_bytes;
	const guint8 *data = g_bytes_get_data(saved, &size_bytes);
	struct save_header header;
	struct vote vote;

	if (!check_saved(data, size_bytes, error))
		return false;
	memcpy(&header, data, sizeof(header));
	data += sizeof(header);
	g_hash_table_remove_all(ledger->spans);
	ledger->n_votes = 0;
	g_array_set_size(ledger->owners, 0);
	g_array_append_vals(ledger->owners, data, header.n_owners);
	data += header.n_owners * sizeof(uint64_t);
	for (uint64_t i = 0; i < header.n_votes; i++) {
		memcpy(&vote, data + i * sizeof(vote), sizeof(vote));
		if (vote.owner && vote.owner <= header.n_owners)
			add_vote(ledger, &vote);
	}
	ledger->safe_after_ms = header.safe_after_ms;
	ledger->expired_until_ms = header.expired_until_ms;
	return true;
}
