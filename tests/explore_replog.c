/*
 * explore_replog: seeded random runs of a replicated log of 3 to 5
 * voters: dropped, doubled, delayed and reordered messages, one-way and
 * two-way cuts, crashes that lose unsynced writes, lost disks whose
 * member is replaced by a learner under a new id, other changes of
 * members. Then all is healed, and the log must move on without another
 * election.
 *
 * EXPLORE_SEEDS=N (10000) and EXPLORE_FIRST=N (1) choose other seeds.
 */
#include "support/replog_cluster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <cmocka.h>

#define THREADS 2
#define SEEDS 10000
#define CHAOS_STEPS 1200 /* 12 s */
#define HEAL_STEPS 1000 /* progress within 10 s */
#define CALM_STEPS 200 /* no election for 2 s */

struct share {
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

/* The first change that is due, as an operator would make it. */
static bool choose_change(struct cluster *cluster, struct cluster_node *leader,
			  struct cf_members *m)
{
	struct cluster_node *added;

	for (uint32_t i = 0; i < cluster->n_nodes; i++)
		if (cluster->nodes[i].lost &&
		    drop_voter(m, cluster->nodes[i].id))
			return true;
	for (uint32_t i = 0; i < m->n_learners; i++) {
		if (cluster->nodes[m->learners[i] - 1].lost) {
			drop_learner(m, i);
			return true;
		}
		if (m->n_voters < cluster->options.n_voters &&
		    cf_replog_caught_up(leader->log, m->learners[i])) {
			m->voters[m->n_voters++] = m->learners[i];
			drop_learner(m, i);
			return true;
		}
	}
	if (m->n_voters + m->n_learners < cluster->options.n_voters) {
		added = cluster_add(cluster);
		if (added)
			m->learners[m->n_learners++] = added->id;
		return added;
	}
	if (m->n_voters >= 3 && cluster_random(cluster, 20) == 0)
		return drop_voter(
			m, m->voters[cluster_random(cluster, m->n_voters)]);
	return false;
}

static void change_members(struct cluster *cluster)
{
	struct cluster_node *leader = cluster_leader(cluster);
	struct cf_members m;

	if (!leader)
		return;
	cf_replog_get_members(leader->log, &m);
	if (choose_change(cluster, leader, &m))
		cluster->changes += cf_replog_propose_members(
					    leader->log, &m, cluster->now_ms,
					    cluster->now_ms) != 0;
}

/* A disk may be lost while no other lost one is still a voter anywhere:
 * that many losses the group promises to bear. */
static bool may_lose_disk(struct cluster *cluster)
{
	for (uint32_t i = 0; i < cluster->n_nodes; i++) {
		struct cluster_node *node = &cluster->nodes[i];
		struct cf_members m;

		if (node->lost || !node->alive)
			continue;
		cf_replog_get_members(node->log, &m);
		if (m.n_voters && m.n_voters < 3)
			return false;
		for (uint32_t v = 0; v < m.n_voters; v++)
			if (cluster->nodes[m.voters[v] - 1].lost)
				return false;
	}
	return true;
}

/* ---- Faults --------------------------------------------------------- */

static struct cluster_node *any_node(struct cluster *cluster)
{
	return &cluster->nodes[cluster_random(cluster, cluster->n_nodes)];
}

static void lose_disk(struct cluster *cluster)
{
	struct cluster_node *node = any_node(cluster);

	for (uint32_t i = 0; i < cluster->n_nodes; i++)
		if (!cluster->nodes[i].alive && !cluster->nodes[i].lost)
			return;
	if (!may_lose_disk(cluster))
		return;
	cluster_crash(cluster, node);
	cluster->disks_lost++;
	node->lost = true;
}

static void crash_any(struct cluster *cluster)
{
	struct cluster_node *node = any_node(cluster);

	cluster_crash(cluster, node);
	node->restart_ms =
		cluster->now_ms + (int64_t)cluster_random(cluster, 1200);
}

static void cut_any(struct cluster *cluster)
{
	struct cluster_node *node = any_node(cluster);
	uint64_t way = cluster_random(cluster, 3);

	for (uint32_t id = 1; id <= cluster->n_nodes; id++) {
		if (way != 1)
			cluster_cut(cluster, node->id, id, true);
		if (way != 2)
			cluster_cut(cluster, id, node->id, true);
	}
}

static void heal_cuts(struct cluster *cluster)
{
	for (uint32_t a = 1; a <= cluster->n_nodes; a++)
		for (uint32_t b = 1; b <= cluster->n_nodes; b++)
			cluster_cut(cluster, a, b, false);
}

static void crash_all(struct cluster *cluster)
{
	for (uint32_t i = 0; i < cluster->n_nodes; i++) {
		cluster_crash(cluster, &cluster->nodes[i]);
		cluster->nodes[i].restart_ms = cluster->now_ms + 50;
	}
}

static void disturb(struct cluster *cluster)
{
	uint64_t event = cluster_random(cluster, 1500);

	if (event < 8)
		crash_any(cluster);
	else if (event < 14)
		cut_any(cluster);
	else if (event < 26)
		heal_cuts(cluster);
	else if (event < 28)
		lose_disk(cluster);
	else if (event < 29)
		crash_all(cluster);
}

/* ---- A run ---------------------------------------------------------- */

static void propose_some(struct cluster *cluster)
{
	struct cluster_node *node = any_node(cluster);

	if (node->alive && cluster_random(cluster, 3) == 0)
		cluster_propose(cluster, node);
}

static bool moves_on(struct cluster *cluster)
{
	struct cluster_node *leader = cluster_leader(cluster);
	uint64_t before = cluster->committed->len;

	for (int i = 0; i < HEAL_STEPS && !cluster->fault[0]; i++) {
		cluster_step(cluster);
		leader = cluster_leader(cluster);
		if (leader && i % 20 == 0)
			cluster_propose(cluster, leader);
		if (i > 300 && cluster_settled(cluster) &&
		    cluster->committed->len > before)
			return true;
	}
	return false;
}

static void run_seed(uint64_t seed, struct cluster *cluster)
{
	uint64_t term;

	for (int i = 0; i < CHAOS_STEPS && !cluster->fault[0]; i++) {
		cluster_step(cluster);
		propose_some(cluster);
		disturb(cluster);
		if (i % 5 == 0)
			change_members(cluster);
	}
	cluster->options.drop = 0;
	cluster->options.duplicate = 0;
	cluster_heal(cluster);
	if (!moves_on(cluster) && !cluster->fault[0])
		snprintf(cluster->fault, sizeof(cluster->fault),
			 "no progress after healing");
	if (cluster->fault[0])
		return;
	term = cf_replog_term(cluster_leader(cluster)->log);
	for (int i = 0; i < CALM_STEPS; i++)
		cluster_step(cluster);
	if (!cluster->fault[0] &&
	    (!cluster_leader(cluster) ||
	     cf_replog_term(cluster_leader(cluster)->log) != term))
		snprintf(cluster->fault, sizeof(cluster->fault),
			 "an election in calm times, seed %lu",
			 (unsigned long)seed);
}

static void count_run(struct share *share, const struct cluster *cluster)
{
	share->steps += cluster->steps;
	share->entries += cluster->committed->len - 1;
	share->elections += g_hash_table_size(cluster->leaders);
	share->crashes += cluster->crashes;
	share->disks_lost += cluster->disks_lost;
	share->snapshots += cluster->snapshots;
	share->changes += cluster->changes;
}

static gpointer run_share(gpointer arg)
{
	struct share *share = arg;

	for (uint64_t seed = share->first; seed < share->end;
	     seed += share->stride) {
		struct cluster_options options = {
			.seed = seed,
			.n_voters = 3 + (uint32_t)(seed % 3),
			.drop = (uint32_t)(seed % 4) * 30,
			.duplicate = (uint32_t)(seed % 5) * 20,
			.delay_ms = 5 + (int64_t)(seed % 7) * 10,
			.disk_ms = (int64_t)(seed % 3) * 15,
			.snapshot_every = seed % 2 ? 20 : 0,
			.lose_synced = getenv("EXPLORE_LOSE_SYNCED") != NULL,
		};
		struct cluster *cluster = cluster_create(&options);

		run_seed(seed, cluster);
		count_run(share, cluster);
		if (cluster->fault[0]) {
			share->failed_seed = seed;
			g_strlcpy(share->fault, cluster->fault,
				  sizeof(share->fault));
		}
		cluster_destroy(cluster);
		if (share->failed_seed)
			break;
	}
	return NULL;
}

static void add_share(struct share *sum, const struct share *share)
{
	sum->steps += share->steps;
	sum->entries += share->entries;
	sum->elections += share->elections;
	sum->crashes += share->crashes;
	sum->disks_lost += share->disks_lost;
	sum->snapshots += share->snapshots;
	sum->changes += share->changes;
}

static uint64_t number_of(const char *name, uint64_t standard)
{
	const char *text = getenv(name);

	return text ? g_ascii_strtoull(text, NULL, 10) : standard;
}

static void test_random_faults(void **state)
{
	uint64_t first = number_of("EXPLORE_FIRST", 1);
	uint64_t seeds = number_of("EXPLORE_SEEDS", SEEDS), failed = 0;
	struct share shares[THREADS] = { 0 }, sum = { 0 };
	GThread *threads[THREADS];
	int64_t begin_us = g_get_monotonic_time();
	double seconds;

	(void)state;
	for (int i = 0; i < THREADS; i++) {
		shares[i].first = first + (uint64_t)i;
		shares[i].end = first + seeds;
		shares[i].stride = THREADS;
		threads[i] = g_thread_new("explore", run_share, &shares[i]);
	}
	for (int i = 0; i < THREADS; i++) {
		g_thread_join(threads[i]);
		add_share(&sum, &shares[i]);
		failed += shares[i].failed_seed != 0;
		if (shares[i].failed_seed)
			fprintf(stderr, "seed %lu: %s\n",
				(unsigned long)shares[i].failed_seed,
				shares[i].fault);
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
