/*
 * key: job keys, UUID version 7 (RFC 9562). The first 48 bits are the
 * Unix time in milliseconds, by which vote ledgers and start gates expire
 * their entries.
 */
#include "chervilferry.h"

#include <string.h>
#include <xxhash.h>

/* ---- Constants ---- */

#define TEXT_LENGTH (CF_KEY_TEXT_SIZE - 1)
#define TIME_BYTES 6

static const char hex_digits[] = "0123456789abcdef";

/* ---- Functions ---- */

static bool is_dash_position(size_t position)
{
	return position == 8 || position == 13 || position == 18 ||
	       position == 23;
}

bool cf_key_parse(const char *text, struct cf_key *key)
{
	struct cf_key parsed = { { 0 } };
	size_t nibble = 0;

	if (!text || strlen(text) != TEXT_LENGTH)
		return false;
	for (size_t i = 0; i < TEXT_LENGTH; i++) {
		int digit = g_ascii_xdigit_value(text[i]);

		if (is_dash_position(i)) {
			if (text[i] != '-')
				return false;
			continue;
		}
		if (digit < 0)
			return false;
		parsed.bytes[nibble / 2] |=
			(uint8_t)(nibble % 2 ? digit : digit << 4);
		nibble++;
	}
	if (parsed.bytes[6] >> 4 != 7 || parsed.bytes[8] >> 6 != 2)
		return false;
	*key = parsed;
	return true;
}

void cf_key_format(const struct cf_key *key, char text[CF_KEY_TEXT_SIZE])
{
	size_t nibble = 0;

	for (size_t i = 0; i < TEXT_LENGTH; i++) {
		uint8_t byte;

		if (is_dash_position(i)) {
			text[i] = '-';
			continue;
		}
		byte = key->bytes[nibble / 2];
		text[i] = hex_digits[nibble % 2 ? byte & 15 : byte >> 4];
		nibble++;
	}
	text[TEXT_LENGTH] = '\0';
}

void cf_key_make(struct cf_key *key, int64_t wall_ms, uint64_t random_a,
		 uint64_t random_b)
{
	for (size_t i = 0; i < TIME_BYTES; i++)
		key->bytes[i] = (uint8_t)((uint64_t)wall_ms >>
					  (8 * (TIME_BYTES - 1 - i)));
	key->bytes[6] = (uint8_t)(0x70 | (random_a >> 8 & 0x0f));
	key->bytes[7] = (uint8_t)random_a;
	for (size_t i = 0; i < 8; i++)
		key->bytes[8 + i] = (uint8_t)(random_b >> (8 * (7 - i)));
	key->bytes[8] = (uint8_t)(0x80 | (key->bytes[8] & 0x3f));
}

int64_t cf_key_time_ms(const struct cf_key *key)
{
	int64_t time_ms = 0;

	for (size_t i = 0; i < TIME_BYTES; i++)
		time_ms = time_ms << 8 | key->bytes[i];
	return time_ms;
}

bool cf_key_equal(const struct cf_key *a, const struct cf_key *b)
{
	return memcmp(a->bytes, b->bytes, CF_KEY_SIZE) == 0;
}

guint cf_key_hash(gconstpointer key)
{
	return (guint)XXH3_64bits(key, CF_KEY_SIZE);
}

gboolean cf_key_hash_equal(gconstpointer a, gconstpointer b)
{
	return cf_key_equal(a, b);
}
