/*
 * test_server_fence: when the fencing token of a backend server is raised and
 * announced, and when the server has accepted it.
 */
#include "leased/server_fence.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#define STARTED_MS 1000000
#define YEAR_MS (365LL * 24 * 3600 * 1000)

enum event { ACCEPT, REFUSE, ACCEPT_OLD, REFUSE_OLD, RAISE };

static void apply(struct server_fence *fence, enum event event)
{
	switch (event) {
	case ACCEPT:
		server_fence_accepted(fence, fence->token);
		break;
	case REFUSE:
		server_fence_refused(fence, fence->token);
		break;
	case ACCEPT_OLD:
		server_fence_accepted(fence, fence->token - 1);
		break;
	case REFUSE_OLD:
		server_fence_refused(fence, fence->token - 1);
		break;
	case RAISE:
		server_fence_raise(fence);
		break;
	}
}

/* A start under a token that the server hasn't seen yet can run beside one of
 * an earlier token. */
static void test_only_the_newest_token_counts(void **state)
{
	static const struct {
		enum event events[3];
		size_t n;
		bool accepted;
		int64_t raised_ms;
	} cases[] = {
		{ { 0 }, 0, false, 0 },
		{ { ACCEPT }, 1, true, 0 },
		{ { ACCEPT_OLD }, 1, false, 0 },
		{ { ACCEPT, REFUSE_OLD }, 2, true, 0 },
		{ { ACCEPT, RAISE }, 2, false, 1 },
		{ { ACCEPT, RAISE, ACCEPT_OLD }, 3, false, 1 },
		{ { ACCEPT, RAISE, ACCEPT }, 3, true, 1 },
		{ { ACCEPT, REFUSE }, 2, false, 1000 },
		{ { REFUSE, REFUSE, REFUSE }, 3, false, 7000 },
		{ { REFUSE, REFUSE, ACCEPT }, 3, true, 3000 },
		{ { REFUSE, ACCEPT, REFUSE }, 3, false, 2000 },
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct server_fence fence;

		server_fence_init(&fence, STARTED_MS);
		for (size_t k = 0; k < cases[i].n; k++)
			apply(&fence, cases[i].events[k]);
		assert_int_equal(fence.accepted, cases[i].accepted);
		assert_int_equal(fence.token - STARTED_MS, cases[i].raised_ms);
	}
}

/* A server that refuses every token must not cause an endless loop. */
static void test_raises_are_bounded(void **state)
{
	struct server_fence fence;
	int raises = 0;

	(void)state;
	server_fence_init(&fence, STARTED_MS);
	while (server_fence_refused(&fence, fence.token) == SERVER_FENCE_RAISED)
		raises++;
	assert_int_equal(raises, 25);
	assert_true(fence.token - STARTED_MS > YEAR_MS);
	assert_true(fence.token - STARTED_MS < 2 * YEAR_MS);
	server_fence_announced(&fence, 100);
	assert_false(server_fence_is_announcement_due(&fence, 1099));
	assert_true(server_fence_is_announcement_due(&fence, 1100));
	server_fence_raise(&fence); /* a restarted server accepts any token */
	server_fence_accepted(&fence, fence.token);
	assert_true(fence.accepted);
}

static void test_announced_until_accepted(void **state)
{
	struct server_fence fence;

	(void)state;
	server_fence_init(&fence, STARTED_MS);
	assert_true(server_fence_is_announcement_due(&fence, 100));
	server_fence_announced(&fence, 100);
	assert_false(server_fence_is_announcement_due(&fence, 119));
	assert_true(server_fence_is_announcement_due(&fence, 120));
	server_fence_refused(&fence, fence.token);
	assert_true(server_fence_is_announcement_due(&fence, 101));
	server_fence_accepted(&fence, fence.token);
	assert_false(server_fence_is_announcement_due(&fence, 1000));
	server_fence_raise(&fence);
	assert_true(server_fence_is_announcement_due(&fence, 1000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_only_the_newest_token_counts),
		cmocka_unit_test(test_raises_are_bounded),
		cmocka_unit_test(test_announced_until_accepted),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
