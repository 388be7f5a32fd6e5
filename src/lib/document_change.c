/*
 * document_change: see document_change.h. The earlier document is cut into
 * blocks, which are looked up by their hash at each position of the new one. A
 * match is extended to both sides as far as the documents agree.
 */
#include "lib/document_change.h"

#include "proto/wire.pb-c.h"

#include <string.h>
#include <xxhash.h>

/* ---- Constants ------------------------------------------------------ */

#define BLOCK_BYTES 32
/* Multiplier of the rolling hash of a block. */
#define HASH_BASE 0x9e3779b1U
#define NOT_FOUND UINT32_MAX
#define SLOTS_MIN 16 /* a power of 2, as are all counts of slots */

/* ---- Types ---------------------------------------------------------- */

struct text {
	const uint8_t *data;
	uint32_t size;
};

/* Open addressing; a slot holds the position of a block. */
struct block_index {
	uint32_t *slots;
	uint32_t mask;
};

struct change_builder {
	struct text from, to;
	struct block_index blocks;
	uint32_t expected_at; /* in from, where the last copied range ended */
	GArray *pieces; /* Cfw__DocumentPiece */
};

/* ---- Hash of a block ------------------------------------------------ */

static uint32_t hash_block(const uint8_t *at)
{
	uint32_t hash = 0;

	for (int i = 0; i < BLOCK_BYTES; i++)
		hash = hash * HASH_BASE + at[i];
	return hash;
}

/* The weight of the oldest byte of a block. */
static uint32_t oldest_weight(void)
{
	uint32_t weight = 1;

	for (int i = 1; i < BLOCK_BYTES; i++)
		weight *= HASH_BASE;
	return weight;
}

static uint32_t slot_of(const struct block_index *blocks, uint32_t hash)
{
	return (hash ^ hash >> 15) & blocks->mask;
}

/* ---- Index of blocks ------------------------------------------------ */

static struct block_index index_blocks(const struct text *from)
{
	struct block_index blocks = { .mask = SLOTS_MIN - 1 };

	while (blocks.mask < 2 * (from->size / BLOCK_BYTES))
		blocks.mask = 2 * blocks.mask + 1;
	blocks.slots = g_new(uint32_t, (size_t)blocks.mask + 1);
	memset(blocks.slots, 0xff,
	       ((size_t)blocks.mask + 1) * sizeof(*blocks.slots));
	for (uint32_t at = 0; at + BLOCK_BYTES <= from->size;
	     at += BLOCK_BYTES) {
		uint32_t slot = slot_of(&blocks, hash_block(from->data + at));

		/* One position of each hash is enough. */
		if (blocks.slots[slot] == NOT_FOUND)
			blocks.slots[slot] = at;
	}
	return blocks;
}

static bool same_block(const struct change_builder *b, uint32_t from_at,
		       uint32_t to_at)
{
	return from_at + BLOCK_BYTES <= b->from.size &&
	       !memcmp(b->from.data + from_at, b->to.data + to_at, BLOCK_BYTES);
}

/* Where the block at to_at stands in the earlier document. The place that
 * follows the last range comes first, as most documents keep their order. */
static uint32_t find_block(const struct change_builder *b, uint32_t hash,
			   uint32_t to_at)
{
	uint32_t at;

	if (same_block(b, b->expected_at, to_at))
		return b->expected_at;
	at = b->blocks.slots[slot_of(&b->blocks, hash)];
	return at != NOT_FOUND && same_block(b, at, to_at) ? at : NOT_FOUND;
}

/* ---- Pieces --------------------------------------------------------- */

static void add_piece(struct change_builder *b, uint32_t insert_at,
		      uint32_t insert_end, uint32_t copy_at,
		      uint32_t copy_bytes)
{
	Cfw__DocumentPiece piece = CFW__DOCUMENT_PIECE__INIT;

	piece.insert.data = (uint8_t *)b->to.data + insert_at;
	piece.insert.len = insert_end - insert_at;
	piece.copy_at = copy_at;
	piece.copy_bytes = copy_bytes;
	g_array_append_val(b->pieces, piece);
	b->expected_at = copy_at + copy_bytes;
}

/* Extends a match to both sides. *to_at moves back to where it begins, at most
 * to floor_at. Returns its length. */
static uint32_t extend_match(const struct change_builder *b, uint32_t *from_at,
			     uint32_t *to_at, uint32_t floor_at)
{
	uint32_t size = BLOCK_BYTES;

	while (*to_at + size < b->to.size && *from_at + size < b->from.size &&
	       b->from.data[*from_at + size] == b->to.data[*to_at + size])
		size++;
	while (*to_at > floor_at && *from_at > 0 &&
	       b->from.data[*from_at - 1] == b->to.data[*to_at - 1]) {
		(*from_at)--;
		(*to_at)--;
		size++;
	}
	return size;
}

static void find_pieces(struct change_builder *b)
{
	uint32_t weight = oldest_weight(), done_at = 0, at = 0, hash = 0;
	bool hashed = false;

	while (at + BLOCK_BYTES <= b->to.size) {
		uint32_t from_at, begin_at = at, size;

		if (!hashed)
			hash = hash_block(b->to.data + at);
		hashed = true;
		from_at = find_block(b, hash, at);
		if (from_at == NOT_FOUND) {
			if (at + BLOCK_BYTES < b->to.size)
				hash = (hash - b->to.data[at] * weight) *
					       HASH_BASE +
				       b->to.data[at + BLOCK_BYTES];
			at++;
			continue;
		}
		size = extend_match(b, &from_at, &begin_at, done_at);
		add_piece(b, done_at, begin_at, from_at, size);
		done_at = at = begin_at + size;
		hashed = false;
	}
	if (done_at < b->to.size)
		add_piece(b, done_at, b->to.size, 0, 0);
}

/* ---- Public functions ----------------------------------------------- */

static struct text text_of(GBytes *bytes)
{
	gsize size;
	struct text text = { .data = g_bytes_get_data(bytes, &size) };

	text.size = (uint32_t)size;
	return text;
}

static GBytes *pack_change(const struct change_builder *b)
{
	Cfw__DocumentChange message = CFW__DOCUMENT_CHANGE__INIT;
	g_autofree Cfw__DocumentPiece **pieces =
		g_new(Cfw__DocumentPiece *, b->pieces->len + 1);
	uint8_t *data;
	size_t size;

	for (guint i = 0; i < b->pieces->len; i++)
		pieces[i] = &g_array_index(b->pieces, Cfw__DocumentPiece, i);
	message.from_bytes = b->from.size;
	message.to_bytes = b->to.size;
	message.to_hash = XXH3_64bits(b->to.data, b->to.size);
	message.pieces = pieces;
	message.n_pieces = b->pieces->len;
	size = cfw__document_change__get_packed_size(&message);
	data = g_malloc(size + 1);
	cfw__document_change__pack(&message, data);
	return g_bytes_new_take(data, size);
}

GBytes *document_change_find(GBytes *from, GBytes *to)
{
	struct change_builder b = { .from = text_of(from), .to = text_of(to) };
	GBytes *change;

	b.pieces = g_array_new(FALSE, FALSE, sizeof(Cfw__DocumentPiece));
	b.blocks = index_blocks(&b.from);
	find_pieces(&b);
	change = pack_change(&b);
	g_free(b.blocks.slots);
	g_array_unref(b.pieces);
	return change;
}

/* Returns NULL, or a text that says what is wrong. */
static const char *append_pieces(const Cfw__DocumentChange *change,
				 const struct text *from, GByteArray *to)
{
	for (size_t i = 0; i < change->n_pieces; i++) {
		const Cfw__DocumentPiece *piece = change->pieces[i];

		if (piece->copy_at > from->size ||
		    piece->copy_bytes > from->size - piece->copy_at)
			return "copy_bytes: beyond the document";
		if ((uint64_t)to->len + piece->insert.len + piece->copy_bytes >
		    change->to_bytes)
			return "to_bytes: the pieces are longer";
		if (piece->insert.len)
			g_byte_array_append(to, piece->insert.data,
					    (guint)piece->insert.len);
		if (piece->copy_bytes)
			g_byte_array_append(to, from->data + piece->copy_at,
					    piece->copy_bytes);
	}
	return NULL;
}

static const char *apply_pieces(const Cfw__DocumentChange *change,
				const struct text *from, GByteArray *to)
{
	const char *fault;

	if (change->from_bytes != from->size)
		return "from_bytes: for another document";
	fault = append_pieces(change, from, to);
	if (fault)
		return fault;
	if (to->len != change->to_bytes ||
	    XXH3_64bits(to->data, to->len) != change->to_hash)
		return "to_hash: another document results";
	return NULL;
}

GBytes *document_change_apply(GBytes *from, GBytes *change, GError **error)
{
	gsize size;
	const uint8_t *data = g_bytes_get_data(change, &size);
	Cfw__DocumentChange *read =
		cfw__document_change__unpack(NULL, size, data);
	GByteArray *to = g_byte_array_new();
	struct text text = text_of(from);
	const char *fault = read ? apply_pieces(read, &text, to) : "malformed";

	if (read)
		cfw__document_change__free_unpacked(read, NULL);
	if (!fault)
		return g_byte_array_free_to_bytes(to);
	g_byte_array_unref(to);
	g_set_error(error, g_quark_from_static_string("document-change"), 0,
		    "change of a document: %s", fault);
	return NULL;
}
