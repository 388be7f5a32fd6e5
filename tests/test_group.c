/*
 * test_group: a cluster of three members on one event loop, each with its
 * own data folder. Messages between members are delivered through the loop.
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

#define NODES 3
#define SNAPSHOT_EVERY 50
#define VALUES_MAX 512

struct node {
	struct fixture *fixture;
	uint32_t id;
	struct group *group; /* NULL: stopped */
	char *folder;
	struct store_ops ops;
	int write_errno; /* makes writes fail; 0: they work */
	uint64_t applied;
	bool has_value[VALUES_MAX]; /* state machine: values applied */
	bool leader;
	char failure[200];
};

struct fixture {
	struct loop *loop;
	struct node nodes[NODES];
	bool reject_member_3; /* as if its disk was replaced */
	bool flushed;
	uint64_t expected_values; /* values 1 to this must be committed */
	uint64_t proposed_values, proposed_term; /* 1 to this, in that term */
};

/* A message in transit. */
struct delivery {
	struct fixture *fixture;
	uint32_t to;
	size_t size_bytes;
	uint8_t *data;
};

/* ---- Handlers ------------------------------------------------------- */

static void apply(void *arg, const struct cf_entry *entry)
{
	struct node *node = arg;
	uint64_t value = 0;

	node->applied = entry->index;
	if (entry->kind != CF_ENTRY_COMMAND)
		return;
	memcpy(&value, g_bytes_get_data(entry->data, NULL), sizeof(value));
	node->has_value[value] = true;
}

static GBytes *save(void *arg)
{
	struct node *node = arg;

	return g_bytes_new(node->has_value, sizeof(node->has_value));
}

static bool load(void *arg, GBytes *snapshot, uint64_t index)
{
	struct node *node = arg;

	if (g_bytes_get_size(snapshot) != sizeof(node->has_value))
		return false;
	memcpy(node->has_value, g_bytes_get_data(snapshot, NULL),
	       sizeof(node->has_value));
	node->applied = index;
	return true;
}

static void deliver(void *arg)
{
	struct delivery *delivery = arg;
	struct node *node = &delivery->fixture->nodes[delivery->to - 1];
	Cfw__LogMessage *message = cfw__log_message__unpack(
		NULL, delivery->size_bytes, delivery->data);

	assert_non_null(message);
	if (node->group)
		group_receive(node->group, message);
	cfw__log_message__free_unpacked(message, NULL);
	g_free(delivery->data);
	g_free(delivery);
}

static void forward_message(void *arg, uint32_t to,
			    const Cfw__LogMessage *message)
{
	struct node *node = arg;
	struct delivery *delivery = g_new0(struct delivery, 1);

	delivery->fixture = node->fixture;
	delivery->to = to;
	delivery->size_bytes = cfw__log_message__get_packed_size(message);
	delivery->data = g_malloc(delivery->size_bytes + 1);
	cfw__log_message__pack(message, delivery->data);
	loop_post(node->fixture->loop, deliver, delivery);
}

static void record_role(void *arg, bool leader, uint32_t leader_id,
			uint64_t term)
{
	(void)leader_id;
	(void)term;
	((struct node *)arg)->leader = leader;
}

static void record_failure(void *arg, const char *reason)
{
	struct node *node = arg;

	g_strlcpy(node->failure, reason, sizeof(node->failure));
}

static bool accepts(void *arg, uint32_t member,
		    const uint8_t identity[GROUP_IDENTITY_SIZE])
{
	(void)identity;
	return !(((struct node *)arg)->fixture->reject_member_3 && member == 3);
}

static ssize_t failing_write(struct store_ops *ops, int fd, const void *data,
			     size_t size_bytes)
{
	struct node *node =
		(struct node *)((char *)ops - offsetof(struct node, ops));
	int error_number = g_atomic_int_get(&node->write_errno);

	if (!error_number)
		return write(fd, data, size_bytes);
	errno = error_number;
	return -1;
}

/* ---- Fixture -------------------------------------------------------- */

static void start_node(struct node *node)
{
	static const uint32_t voters[NODES] = { 1, 2, 3 };
	static const struct group_handlers handlers = {
		.apply = apply,
		.save = save,
		.load = load,
		.send = forward_message,
		.role = record_role,
		.failed = record_failure,
		.accepts = accepts,
	};
	struct group_options options = { .id = node->id,
					 .data_folder = node->folder,
					 .first_voters = voters,
					 .n_first_voters = NODES,
					 .snapshot_every = SNAPSHOT_EVERY,
					 .seed = node->id,
					 .ops = &node->ops };
	GError *error = NULL;

	node->applied = 0;
	memset(node->has_value, 0, sizeof(node->has_value));
	node->failure[0] = '\0';
	node->group = group_create(node->fixture->loop, &options, &handlers,
				   node, &error);
	if (error)
		fail_msg("%s", error->message);
}

static void stop_node(struct node *node)
{
	struct group *group = node->group;

	node->group = NULL;
	node->leader = false;
	group_destroy(group);
}

static int set_up(void **state)
{
	struct fixture *fixture = g_new0(struct fixture, 1);

	fixture->loop = loop_create(NULL);
	for (uint32_t i = 0; i < NODES; i++) {
		struct node *node = &fixture->nodes[i];

		node->fixture = fixture;
		node->id = i + 1;
		node->folder = g_dir_make_tmp("group-XXXXXX", NULL);
		node->ops = store_system_ops;
		node->ops.write = failing_write;
		start_node(node);
	}
	*state = fixture;
	return 0;
}

static void note_flushed(void *arg)
{
	((struct fixture *)arg)->flushed = true;
}

static bool is_flushed(void *arg)
{
	return ((struct fixture *)arg)->flushed;
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
	struct fixture *fixture = *state;

	for (uint32_t i = 0; i < NODES; i++)
		stop_node(&fixture->nodes[i]);
	loop_post(fixture->loop, note_flushed, fixture);
	loop_until(fixture->loop, is_flushed, fixture);
	loop_destroy(fixture->loop);
	for (uint32_t i = 0; i < NODES; i++)
		remove_folder(fixture->nodes[i].folder);
	g_free(fixture);
	return 0;
}

static struct node *leader_of(struct fixture *fixture)
{
	for (uint32_t i = 0; i < NODES; i++)
		if (fixture->nodes[i].group && fixture->nodes[i].leader &&
		    group_is_leader(fixture->nodes[i].group))
			return &fixture->nodes[i];
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

static struct node *wait_for_leader(struct fixture *fixture)
{
	struct node *leader;

	assert_true(loop_until(fixture->loop, has_leader, fixture));
	leader = leader_of(fixture);
	return leader ? leader : &fixture->nodes[0];
}

/* Whether the leader has applied its whole committed log and all running,
 * healthy members have applied as much. */
static bool has_converged(void *arg)
{
	struct fixture *fixture = arg;
	struct node *leader = leader_of(fixture);

	if (!leader || group_commit(leader->group) != leader->applied)
		return false;
	for (uint32_t i = 0; i < NODES; i++)
		if (fixture->nodes[i].group &&
		    group_healthy(fixture->nodes[i].group) &&
		    fixture->nodes[i].applied != leader->applied)
			return false;
	return true;
}

static uint64_t propose(struct node *node, uint64_t value)
{
	GBytes *data = g_bytes_new(&value, sizeof(value));
	uint64_t index = group_propose(node->group, data, 1);

	g_bytes_unref(data);
	return index;
}

/* Proposes the expected values to the leader. Proposals to an earlier leader
 * may be lost, so after a change of term the missing ones are proposed
 * again. */
static bool has_expected_values(void *arg)
{
	struct fixture *fixture = arg;
	struct node *leader = leader_of(fixture);

	if (!leader)
		return false;
	if (group_term(leader->group) != fixture->proposed_term)
		fixture->proposed_values = 0;
	fixture->proposed_term = group_term(leader->group);
	while (fixture->proposed_values < fixture->expected_values)
		if (!leader->has_value[++fixture->proposed_values])
			propose(leader, fixture->proposed_values);
	for (uint64_t value = 1; value <= fixture->expected_values; value++)
		if (!leader->has_value[value])
			return false;
	return has_converged(fixture);
}

static void replicate_values(struct fixture *fixture, uint64_t expected_values)
{
	fixture->expected_values = expected_values;
	assert_true(loop_until(fixture->loop, has_expected_values, fixture));
}

/* ---- Cases ---------------------------------------------------------- */

static void test_replicates_and_catches_up(void **state)
{
	struct fixture *fixture = *state;
	struct node *lagging;

	replicate_values(fixture, 10);
	lagging = &fixture->nodes[wait_for_leader(fixture)->id % NODES];
	stop_node(lagging);
	replicate_values(fixture, 400);
	start_node(lagging);
	replicate_values(fixture, 401);
	for (uint64_t value = 1; value <= 401; value++)
		assert_true(lagging->has_value[value]);
}

static void test_all_restart(void **state)
{
	struct fixture *fixture = *state;
	uint8_t identity[GROUP_IDENTITY_SIZE];
	struct node *leader;
	uint64_t term;

	replicate_values(fixture, 120);
	term = group_term(wait_for_leader(fixture)->group);
	memcpy(identity, group_identity(fixture->nodes[0].group),
	       sizeof(identity));
	for (uint32_t i = 0; i < NODES; i++)
		stop_node(&fixture->nodes[i]);
	for (uint32_t i = 0; i < NODES; i++)
		start_node(&fixture->nodes[i]);
	assert_memory_equal(identity, group_identity(fixture->nodes[0].group),
			    sizeof(identity));
	leader = wait_for_leader(fixture);
	assert_true(group_term(leader->group) > term);
	for (uint64_t value = 1; value <= 120; value++)
		assert_true(leader->has_value[value]);
}

static bool has_failure(void *arg)
{
	return ((struct node *)arg)->failure[0];
}

/* A leader whose disk fails must step down without losing committed values.
 * The value of the failed write may or may not be committed, since it was
 * already sent to the other members. */
static void check_failing_leader(struct fixture *fixture, int error_number)
{
	uint64_t committed_values = fixture->expected_values + 3;
	struct node *failing, *next;

	replicate_values(fixture, committed_values);
	failing = wait_for_leader(fixture);
	g_atomic_int_set(&failing->write_errno, error_number);
	propose(failing, committed_values + 1);
	assert_true(loop_until(fixture->loop, has_failure, failing));
	assert_false(group_healthy(failing->group));
	assert_non_null(strstr(failing->failure, g_strerror(error_number)));
	assert_int_equal(propose(failing, committed_values + 1), 0);
	next = wait_for_leader(fixture);
	assert_ptr_not_equal(next, failing);
	for (uint64_t value = 1; value <= committed_values; value++)
		assert_true(next->has_value[value]);
	g_atomic_int_set(&failing->write_errno, 0);
	stop_node(failing);
	start_node(failing);
	replicate_values(fixture, committed_values + 1);
}

static void test_failing_disk_of_leader(void **state)
{
	static const int numbers[] = { ENOSPC, EROFS, EIO };

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		check_failing_leader(*state, numbers[i]);
}

/* A member with a replaced disk has lost its votes and its log. It must
 * neither lead nor count towards a quorum. */
static void test_replaced_disk(void **state)
{
	struct fixture *fixture = *state;
	struct node *leader = wait_for_leader(fixture);

	fixture->reject_member_3 = true;
	if (leader->id == 3)
		assert_true(loop_until(fixture->loop, has_no_leader, fixture));
	leader = wait_for_leader(fixture);
	assert_int_not_equal(leader->id, 3);
	stop_node(&fixture->nodes[2 - leader->id]);
	assert_true(loop_until(fixture->loop, has_no_leader, fixture));
}

#define CASE(test) cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_replicates_and_catches_up),
		CASE(test_all_restart),
		CASE(test_failing_disk_of_leader),
		CASE(test_replaced_disk),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
