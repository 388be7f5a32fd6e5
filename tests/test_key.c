/*
 * test_key: text form, time and byte order of UUIDv7 keys.
 */
#include "chervilferry.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <cmocka.h>

static void test_parse(void **state)
{
	static const struct {
		const char *text;
		bool valid;
	} cases[] = {
		/* RFC 9562, appendix A.6 */
		{ "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", true },
		{ "017F22E2-79B0-7CC3-98C4-DC0C0C07398F", true },
		{ "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", false },
		{ "017f22e2-79b0-7cc3-18c4-dc0c0c07398f", false },
		{ "017f22e2-79b0-7cc3-d8c4-dc0c0c07398f", false },
		{ "017f22e2-79b0-7cc3-98c4-dc0c0c07398", false },
		{ "017f22e2-79b0-7cc3-98c4-dc0c0c07398ff", false },
		{ "017f22e279b0-7cc3-98c4-dc0c0c07398f-", false },
		{ "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", false },
		{ "{17f22e2-79b0-7cc3-98c4-dc0c0c07398}", false },
		{ "", false },
		{ NULL, false },
	};
	struct cf_key key;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(cf_key_parse(cases[i].text, &key),
				 cases[i].valid);
	assert_true(cf_key_parse(cases[0].text, &key));
	assert_int_equal(cf_key_time_ms(&key), 1645557742000);
}

static void test_make(void **state)
{
	static const struct {
		int64_t wall_ms;
		uint64_t a, b;
		const char *text;
	} cases[] = {
		{ 1645557742000, 0xcc3, 0x98c4dc0c0c07398f,
		  "017f22e2-79b0-7cc3-98c4-dc0c0c07398f" },
		{ 0, 0, 0, "00000000-0000-7000-8000-000000000000" },
		{ 0xffffffffffff, UINT64_MAX, UINT64_MAX,
		  "ffffffff-ffff-7fff-bfff-ffffffffffff" },
	};
	char text[CF_KEY_TEXT_SIZE];
	struct cf_key key, parsed;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		cf_key_make(&key, cases[i].wall_ms, cases[i].a, cases[i].b);
		cf_key_format(&key, text);
		assert_string_equal(text, cases[i].text);
		assert_true(cf_key_parse(text, &parsed));
		assert_true(cf_key_equal(&key, &parsed));
		assert_int_equal(cf_key_hash(&key), cf_key_hash(&parsed));
		assert_int_equal(cf_key_time_ms(&key), cases[i].wall_ms);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parse),
		cmocka_unit_test(test_make),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
