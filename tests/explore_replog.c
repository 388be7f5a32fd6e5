/*
 * explore_replog: seeded random runs of a replicated log of 3 to 5 voters.
 * The faults are dropped, duplicated, delayed and reordered messages,
 * one-way and two-way network cuts, crashes that lose unsynced writes, and
 * lost disks, whose member is replaced by a learner with a new id. Members
 * also change at random. Then all faults are healed, and the log must make
 * progress without another election.
 *
 * EXPLORE_SEEDS=N (default 10000) and EXPLORE_FIRST=N (default 1) choose the
 * seeds. EXPLORE_LOSE_SYNCED makes crashes lose the last synced write too.
 */
#include "support/lognet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#define THREADS 2
#define SEEDS 10000
#define CHAOS_STEPS 1200 /* 12 s */
#define HEAL_STEPS 1000 /* progress within 10 s */
#define QUIET_STEPS 200 /* no election for 2 s */

struct worker {
	uint64_t first, end, stride;
	uint64_t steps, entries, elections, crashes, disks_lost;
	uint64_t snapshots, changes, failed_seed;
	char fault[200];
};

/* ---- Members -------------------------------------------------------- */

static bool drop_voter(struct cf_members *m, uint32_t id)
{
	for (uint32_t i = 0; i < m->n_voters; i++) {
		if (m->voters[i] != id)
			continue;
		m->voters[i] = m->voters[--m->n_voters];
		return true;
	}
	return false;
}

static void drop_learner(struct cf_members *m, uint32_t at)
{
	m->learners[at] = m->learners[--m->n_learners];
}

/* Picks the next change of members that an operator would make. */
static bool choose_change(struct lognet *net, struct lognet_node *leader,
			  struct cf_members *m)
{
	struct lognet_node *added;

	for (uint32_t i = 0; i < net->n_nodes; i++)
		if (net->nodes[i].lost && drop_voter(m, net->nodes[i].id))
			return true;
	for (uint32_t i = 0; i < m->n_learners; i++) {
		if (net->nodes[m->learners[i] - 1].lost) {
			drop_learner(m, i);
			return true;
		}
		if (m->n_voters < net->options.n_voters &&
		    cf_replog_caught_up(leader->log, m->learners[i])) {
			m->voters[m->n_voters++] = m->learners[i];
			drop_learner(m, i);
			return true;
		}
	}
	if (m->n_voters + m->n_learners < net->options.n_voters) {
		added = lognet_add(net);
		if (added)
			m->learners[m->n_learners++] = added->id;
		return added;
	}
	if (m->n_voters >= 3 && lognet_random(net, 20) == 0)
		return drop_voter(m,
				  m->voters[lognet_random(net, m->n_voters)]);
	return false;
}

static void change_members(struct lognet *net)
{
	struct lognet_node *leader = lognet_leader(net);
	struct cf_members m;

	if (!leader)
		return;
	cf_replog_get_members(leader->log, &m);
	if (choose_change(net, leader, &m))
		net->changes += cf_replog_propose_members(leader->log, &m,
							  net->now_ms,
							  net->now_ms) != 0;
}

/*
 * The group tolerates one lost disk at a time: another may be lost only once
 * no member still counts an earlier lost one as a voter.
 */
static bool may_lose_disk(struct lognet *net)
{
	for (uint32_t i = 0; i < net->n_nodes; i++) {
		struct lognet_node *node = &net->nodes[i];
		struct cf_members m;

		if (node->lost || !node->alive)
			continue;
		cf_replog_get_members(node->log, &m);
		if (m.n_voters && m.n_voters < 3)
			return false;
		for (uint32_t v = 0; v < m.n_voters; v++)
			if (net->nodes[m.voters[v] - 1].lost)
				return false;
	}
	return true;
}

/* ---- Faults --------------------------------------------------------- */

static struct lognet_node *random_node(struct lognet *net)
{
	return &net->nodes[lognet_random(net, net->n_nodes)];
}

static void lose_disk(struct lognet *net)
{
	struct lognet_node *node = random_node(net);

	for (uint32_t i = 0; i < net->n_nodes; i++)
		if (!net->nodes[i].alive && !net->nodes[i].lost)
			return;
	if (!may_lose_disk(net))
		return;
	lognet_crash(net, node);
	net->disks_lost++;
	node->lost = true;
}

static void crash_random_node(struct lognet *net)
{
	struct lognet_node *node = random_node(net);

	lognet_crash(net, node);
	node->restart_ms = net->now_ms + (int64_t)lognet_random(net, 1200);
}

static void cut_random_node(struct lognet *net)
{
	struct lognet_node *node = random_node(net);
	uint64_t direction = lognet_random(net, 3);

	for (uint32_t id = 1; id <= net->n_nodes; id++) {
		if (direction != 1)
			lognet_cut(net, node->id, id, true);
		if (direction != 2)
			lognet_cut(net, id, node->id, true);
	}
}

static void heal_cuts(struct lognet *net)
{
	for (uint32_t a = 1; a <= net->n_nodes; a++)
		for (uint32_t b = 1; b <= net->n_nodes; b++)
			lognet_cut(net, a, b, false);
}

static void crash_all(struct lognet *net)
{
	for (uint32_t i = 0; i < net->n_nodes; i++) {
		lognet_crash(net, &net->nodes[i]);
		net->nodes[i].restart_ms = net->now_ms + 50;
	}
}

static void inject_fault(struct lognet *net)
{
	uint64_t event = lognet_random(net, 1500);

	if (event < 8)
		crash_random_node(net);
	else if (event < 14)
		cut_random_node(net);
	else if (event < 26)
		heal_cuts(net);
	else if (event < 28)
		lose_disk(net);
	else if (event < 29)
		crash_all(net);
}

/* ---- Runs ----------------------------------------------------------- */

static void propose_some(struct lognet *net)
{
	struct lognet_node *node = random_node(net);

	if (node->alive && lognet_random(net, 3) == 0)
		lognet_propose(net, node);
}

static bool makes_progress(struct lognet *net)
{
	struct lognet_node *leader;
	uint64_t before = net->committed->len;

	for (int i = 0; i < HEAL_STEPS && !net->fault[0]; i++) {
		lognet_step(net);
		leader = lognet_leader(net);
		if (leader && i % 20 == 0)
			lognet_propose(net, leader);
		if (i > 300 && lognet_settled(net) &&
		    net->committed->len > before)
			return true;
	}
	return false;
}

static void run_seed(uint64_t seed, struct lognet *net)
{
	uint64_t term;

	for (int i = 0; i < CHAOS_STEPS && !net->fault[0]; i++) {
		lognet_step(net);
		propose_some(net);
		inject_fault(net);
		if (i % 5 == 0)
			change_members(net);
	}
	net->options.drop = 0;
	net->options.duplicate = 0;
	lognet_heal(net);
	if (!makes_progress(net) && !net->fault[0])
		snprintf(net->fault, sizeof(net->fault),
			 "no progress after healing");
	if (net->fault[0])
		return;
	term = cf_replog_term(lognet_leader(net)->log);
	for (int i = 0; i < QUIET_STEPS; i++)
		lognet_step(net);
	if (!net->fault[0] && (!lognet_leader(net) ||
			       cf_replog_term(lognet_leader(net)->log) != term))
		snprintf(net->fault, sizeof(net->fault),
			 "election without a fault, seed %lu",
			 (unsigned long)seed);
}

static void count_run(struct worker *worker, const struct lognet *net)
{
	worker->steps += net->steps;
	worker->entries += net->committed->len - 1;
	worker->elections += g_hash_table_size(net->leaders);
	worker->crashes += net->crashes;
	worker->disks_lost += net->disks_lost;
	worker->snapshots += net->snapshots;
	worker->changes += net->changes;
}

static gpointer run_worker(gpointer arg)
{
	struct worker *worker = arg;

	for (uint64_t seed = worker->first; seed < worker->end;
	     seed += worker->stride) {
		struct lognet_options options = {
			.seed = seed,
			.n_voters = 3 + (uint32_t)(seed % 3),
			.drop = (uint32_t)(seed % 4) * 30,
			.duplicate = (uint32_t)(seed % 5) * 20,
			.delay_ms = 5 + (int64_t)(seed % 7) * 10,
			.disk_ms = (int64_t)(seed % 3) * 15,
			.snapshot_every = seed % 2 ? 20 : 0,
			.lose_synced = getenv("EXPLORE_LOSE_SYNCED") != NULL,
		};
		struct lognet *net = lognet_create(&options);

		run_seed(seed, net);
		count_run(worker, net);
		if (net->fault[0]) {
			worker->failed_seed = seed;
			g_strlcpy(worker->fault, net->fault,
				  sizeof(worker->fault));
		}
		lognet_destroy(net);
		if (worker->failed_seed)
			break;
	}
	return NULL;
}

static void add_counts(struct worker *sum, const struct worker *worker)
{
	sum->steps += worker->steps;
	sum->entries += worker->entries;
	sum->elections += worker->elections;
	sum->crashes += worker->crashes;
	sum->disks_lost += worker->disks_lost;
	sum->snapshots += worker->snapshots;
	sum->changes += worker->changes;
}

static uint64_t env_uint64(const char *name, uint64_t default_value)
{
	const char *text = getenv(name);

	return text ? g_ascii_strtoull(text, NULL, 10) : default_value;
}

static void test_random_faults(void **state)
{
	uint64_t first = env_uint64("EXPLORE_FIRST", 1);
	uint64_t seeds = env_uint64("EXPLORE_SEEDS", SEEDS), failed = 0;
	struct worker workers[THREADS] = { 0 }, sum = { 0 };
	GThread *threads[THREADS];
	int64_t begin_us = g_get_monotonic_time();
	double seconds;

	(void)state;
	for (int i = 0; i < THREADS; i++) {
		workers[i].first = first + (uint64_t)i;
		workers[i].end = first + seeds;
		workers[i].stride = THREADS;
		threads[i] = g_thread_new("explore", run_worker, &workers[i]);
	}
	for (int i = 0; i < THREADS; i++) {
		g_thread_join(threads[i]);
		add_counts(&sum, &workers[i]);
		failed += workers[i].failed_seed != 0;
		if (workers[i].failed_seed)
			fprintf(stderr, "seed %lu: %s\n",
				(unsigned long)workers[i].failed_seed,
				workers[i].fault);
	}
	seconds = (double)(g_get_monotonic_time() - begin_us) / 1e6;
	fprintf(stderr,
		"count: replog seeds=%lu seconds=%.1f seeds_per_s=%.0f "
		"steps_per_s=%.0f entries=%lu elections=%lu crashes=%lu "
		"disks_lost=%lu snapshots=%lu changes=%lu\n",
		(unsigned long)seeds, seconds, (double)seeds / seconds,
		(double)sum.steps / seconds, (unsigned long)sum.entries,
		(unsigned long)sum.elections, (unsigned long)sum.crashes,
		(unsigned long)sum.disks_lost, (unsigned long)sum.snapshots,
		(unsigned long)sum.changes);
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_faults),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
