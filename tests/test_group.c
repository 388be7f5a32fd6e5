/*
 * test_group: three groups with data folders of their own on one loop,
 * their messages passed on through the loop.
 */
#include "store/group.h"
#include "store/store.h"
#include "support/loop_until.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#define SEATS 3
#define SNAPSHOT_EVERY 50
#define VALUES_MAX 512

struct seat {
	struct bench *bench;
	uint32_t id;
	struct group *group; /* NULL: stopped */
	char *folder;
	struct store_ops ops;
	int write_errno; /* of each write from now on, 0 none */
	uint64_t applied;
	bool held[VALUES_MAX]; /* state: the values proposed */
	bool leader;
	char failure[200];
};

struct bench {
	struct loop *loop;
	struct seat seats[SEATS];
	bool refuse_3; /* member 3 has a disk that is not its own */
	bool flushed;
	uint64_t wanted; /* values from 1 to this are to be agreed on */
	uint64_t asked, asked_term; /* proposed so far, in that term */
};

/* A message on its way. */
struct parcel {
	struct bench *bench;
	uint32_t to;
	size_t size_bytes;
	uint8_t *data;
};

/* ---- Handlers ------------------------------------------------------- */

static void apply(void *arg, const struct cf_entry *entry)
{
	struct seat *seat = arg;
	uint64_t value = 0;

	seat->applied = entry->index;
	if (entry->kind != CF_ENTRY_COMMAND)
		return;
	memcpy(&value, g_bytes_get_data(entry->data, NULL), sizeof(value));
	seat->held[value] = true;
}

static GBytes *save(void *arg)
{
	struct seat *seat = arg;

	return g_bytes_new(seat->held, sizeof(seat->held));
}

static bool load(void *arg, GBytes *snapshot, uint64_t index)
{
	struct seat *seat = arg;

	if (g_bytes_get_size(snapshot) != sizeof(seat->held))
		return false;
	memcpy(seat->held, g_bytes_get_data(snapshot, NULL),
	       sizeof(seat->held));
	seat->applied = index;
	return true;
}

static void deliver(void *arg)
{
	struct parcel *parcel = arg;
	struct seat *seat = &parcel->bench->seats[parcel->to - 1];
	Cfw__LogMessage *message = cfw__log_message__unpack(
		NULL, parcel->size_bytes, parcel->data);

	assert_non_null(message);
	if (seat->group)
		group_receive(seat->group, message);
	cfw__log_message__free_unpacked(message, NULL);
	g_free(parcel->data);
	g_free(parcel);
}

static void send_on(void *arg, uint32_t to, const Cfw__LogMessage *message)
{
	struct seat *seat = arg;
	struct parcel *parcel = g_new0(struct parcel, 1);

	parcel->bench = seat->bench;
	parcel->to = to;
	parcel->size_bytes = cfw__log_message__get_packed_size(message);
	parcel->data = g_malloc(parcel->size_bytes + 1);
	cfw__log_message__pack(message, parcel->data);
	loop_post(seat->bench->loop, deliver, parcel);
}

static void tell_role(void *arg, bool leader, uint32_t leader_id, uint64_t term)
{
	(void)leader_id;
	(void)term;
	((struct seat *)arg)->leader = leader;
}

static void tell_failure(void *arg, const char *why)
{
	struct seat *seat = arg;

	g_strlcpy(seat->failure, why, sizeof(seat->failure));
}

static bool accepts(void *arg, uint32_t member,
		    const uint8_t identity[GROUP_IDENTITY_SIZE])
{
	(void)identity;
	return !(((struct seat *)arg)->bench->refuse_3 && member == 3);
}

static ssize_t failing_write(struct store_ops *ops, int fd, const void *data,
			     size_t size_bytes)
{
	struct seat *seat =
		(struct seat *)((char *)ops - offsetof(struct seat, ops));
	int number = g_atomic_int_get(&seat->write_errno);

	if (!number)
		return write(fd, data, size_bytes);
	errno = number;
	return -1;
}

/* ---- Bench ---------------------------------------------------------- */

static void start_seat(struct seat *seat)
{
	static const uint32_t voters[SEATS] = { 1, 2, 3 };
	static const struct group_handlers handlers = {
		.apply = apply,
		.save = save,
		.load = load,
		.send = send_on,
		.role = tell_role,
		.failed = tell_failure,
		.accepts = accepts,
	};
	struct group_options options = { .id = seat->id,
					 .data_folder = seat->folder,
					 .first_voters = voters,
					 .n_first_voters = SEATS,
					 .snapshot_every = SNAPSHOT_EVERY,
					 .seed = seat->id,
					 .ops = &seat->ops };
	GError *error = NULL;

	seat->applied = 0;
	memset(seat->held, 0, sizeof(seat->held));
	seat->failure[0] = '\0';
	seat->group = group_create(seat->bench->loop, &options, &handlers, seat,
				   &error);
	if (error)
		fail_msg("%s", error->message);
}

static void stop_seat(struct seat *seat)
{
	struct group *group = seat->group;

	seat->group = NULL;
	seat->leader = false;
	group_destroy(group);
}

static int set_up(void **state)
{
	struct bench *bench = g_new0(struct bench, 1);

	bench->loop = loop_create(NULL);
	for (uint32_t i = 0; i < SEATS; i++) {
		struct seat *seat = &bench->seats[i];

		seat->bench = bench;
		seat->id = i + 1;
		seat->folder = g_dir_make_tmp("group-XXXXXX", NULL);
		seat->ops = store_system_ops;
		seat->ops.write = failing_write;
		start_seat(seat);
	}
	*state = bench;
	return 0;
}

static void note_flushed(void *arg)
{
	((struct bench *)arg)->flushed = true;
}

static bool is_flushed(void *arg)
{
	return ((struct bench *)arg)->flushed;
}

static void remove_folder(char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	g_rmdir(folder);
	g_free(folder);
}

static int tear_down(void **state)
{
	struct bench *bench = *state;

	for (uint32_t i = 0; i < SEATS; i++)
		stop_seat(&bench->seats[i]);
	loop_post(bench->loop, note_flushed, bench);
	loop_until(bench->loop, is_flushed, bench);
	loop_destroy(bench->loop);
	for (uint32_t i = 0; i < SEATS; i++)
		remove_folder(bench->seats[i].folder);
	g_free(bench);
	return 0;
}

static struct seat *leader_of(struct bench *bench)
{
	for (uint32_t i = 0; i < SEATS; i++)
		if (bench->seats[i].group && bench->seats[i].leader &&
		    group_is_leader(bench->seats[i].group))
			return &bench->seats[i];
	return NULL;
}

static bool has_leader(void *arg)
{
	return leader_of(arg);
}

static bool has_no_leader(void *arg)
{
	return !leader_of(arg);
}

static struct seat *await_leader(struct bench *bench)
{
	struct seat *leader;

	assert_true(loop_until(bench->loop, has_leader, bench));
	leader = leader_of(bench);
	return leader ? leader : &bench->seats[0];
}

/* All that run hold the state of the leader, which holds its whole log. */
static bool is_even(void *arg)
{
	struct bench *bench = arg;
	struct seat *leader = leader_of(bench);

	if (!leader || group_commit(leader->group) != leader->applied)
		return false;
	for (uint32_t i = 0; i < SEATS; i++)
		if (bench->seats[i].group &&
		    group_healthy(bench->seats[i].group) &&
		    bench->seats[i].applied != leader->applied)
			return false;
	return true;
}

static uint64_t propose(struct seat *seat, uint64_t value)
{
	GBytes *data = g_bytes_new(&value, sizeof(value));
	uint64_t index = group_propose(seat->group, data, 1);

	g_bytes_unref(data);
	return index;
}

/* What an earlier leader took may be lost with it: asks each anew. */
static bool has_wanted(void *arg)
{
	struct bench *bench = arg;
	struct seat *leader = leader_of(bench);

	if (!leader)
		return false;
	if (group_term(leader->group) != bench->asked_term)
		bench->asked = 0;
	bench->asked_term = group_term(leader->group);
	while (bench->asked < bench->wanted)
		if (!leader->held[++bench->asked])
			propose(leader, bench->asked);
	for (uint64_t value = 1; value <= bench->wanted; value++)
		if (!leader->held[value])
			return false;
	return is_even(bench);
}

static void agree_on(struct bench *bench, uint64_t wanted)
{
	bench->wanted = wanted;
	assert_true(loop_until(bench->loop, has_wanted, bench));
}

/* ---- Cases ---------------------------------------------------------- */

static void test_agrees_and_catches_up(void **state)
{
	struct bench *bench = *state;
	struct seat *away;

	agree_on(bench, 10);
	away = &bench->seats[await_leader(bench)->id % SEATS];
	stop_seat(away);
	agree_on(bench, 400);
	start_seat(away);
	agree_on(bench, 401);
	for (uint64_t value = 1; value <= 401; value++)
		assert_true(away->held[value]);
}

static void test_all_restart(void **state)
{
	struct bench *bench = *state;
	uint8_t identity[GROUP_IDENTITY_SIZE];
	struct seat *leader;
	uint64_t term;

	agree_on(bench, 120);
	term = group_term(await_leader(bench)->group);
	memcpy(identity, group_identity(bench->seats[0].group),
	       sizeof(identity));
	for (uint32_t i = 0; i < SEATS; i++)
		stop_seat(&bench->seats[i]);
	for (uint32_t i = 0; i < SEATS; i++)
		start_seat(&bench->seats[i]);
	assert_memory_equal(identity, group_identity(bench->seats[0].group),
			    sizeof(identity));
	leader = await_leader(bench);
	assert_true(group_term(leader->group) > term);
	for (uint64_t value = 1; value <= 120; value++)
		assert_true(leader->held[value]);
}

static bool has_failure(void *arg)
{
	return ((struct seat *)arg)->failure[0];
}

/* The write that fails was proposed and sent, so that the others may
 * have it; what was acknowledged before is there whatever happens. */
static void check_failing_leader(struct bench *bench, int number)
{
	uint64_t agreed = bench->wanted + 3;
	struct seat *failing, *next;

	agree_on(bench, agreed);
	failing = await_leader(bench);
	g_atomic_int_set(&failing->write_errno, number);
	propose(failing, agreed + 1);
	assert_true(loop_until(bench->loop, has_failure, failing));
	assert_false(group_healthy(failing->group));
	assert_non_null(strstr(failing->failure, g_strerror(number)));
	assert_int_equal(propose(failing, agreed + 1), 0);
	next = await_leader(bench);
	assert_ptr_not_equal(next, failing);
	for (uint64_t value = 1; value <= agreed; value++)
		assert_true(next->held[value]);
	g_atomic_int_set(&failing->write_errno, 0);
	stop_seat(failing);
	start_seat(failing);
	agree_on(bench, agreed + 1);
}

static void test_failing_disk_of_leader(void **state)
{
	static const int numbers[] = { ENOSPC, EROFS, EIO };

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		check_failing_leader(*state, numbers[i]);
}

/* A member with another disk has no vote and is no part of a quorum. */
static void test_foreign_disk(void **state)
{
	struct bench *bench = *state;
	struct seat *leader = await_leader(bench);

	bench->refuse_3 = true;
	if (leader->id == 3)
		assert_true(loop_until(bench->loop, has_no_leader, bench));
	leader = await_leader(bench);
	assert_int_not_equal(leader->id, 3);
	stop_seat(&bench->seats[2 - leader->id]);
	assert_true(loop_until(bench->loop, has_no_leader, bench));
}

#define CASE(test) cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_agrees_and_catches_up),
		CASE(test_all_restart),
		CASE(test_failing_disk_of_leader),
		CASE(test_foreign_disk),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
