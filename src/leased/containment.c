/*
 * containment: see containment.h.
 */
#include "leased/containment.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* ---- Constants ------------------------------------------------------ */

#define MILLI 1000U
/* Runs that crash their server do so within this time of their start. */
#define YOUNG_LOSS_MS 100
/* The ages of such runs differ by at most this or this part. An agent may
 * notice a crash only with its next call to the server. With 6 ms and errors of
 * up to 20 ms, half as many jobs again of other classes were lost. */
#define AGE_MARGIN_MS 12U
#define AGE_MARGIN_FRACTION 10
/* Crashes in this time are compared. */
#define EVIDENCE_MS 3000
/* Crashes within this time are taken to have one cause outside the tasks, as
 * when a rack loses power. With 50 ms, two crashes of an attack often fell
 * together. */
#define COMMON_CAUSE_MS 20
/* A class is proven by this many crashes of different hosts with a run of the
 * same age. With three, one random crash in 76 proved a class by chance. A task
 * that repeats its loss counts for three crashes. */
#define PROOF_SCORE 4
#define REPEATED_SCORE 3
/* It has to explain this part of all crashes. */
#define EXPLAINED_MILLI 600
/* A class with fewer proofs than this part of the most is taken to have been
 * lost beside that class. */
#define PROOFS_MIN_FRACTION 3
/* Agents repeat a crash with its age, which is inexact by the delay of their
 * messages. A server takes longer than this to come back and crash again. */
#define CRASH_REPEAT_MS 500

/* ---- Evidence of one crash ------------------------------------------ */

bool loss_is_young(uint32_t ran_ms)
{
	return ran_ms > 0 && ran_ms <= YOUNG_LOSS_MS;
}

static bool is_same_age(uint32_t a_ms, uint32_t b_ms)
{
	uint32_t margin_ms =
		MAX(AGE_MARGIN_MS, MAX(a_ms, b_ms) / AGE_MARGIN_FRACTION);

	return MAX(a_ms, b_ms) - MIN(a_ms, b_ms) <= margin_ms;
}

/* Returns the entry of the class, or a new one; NULL if there is no more. */
static struct class_loss *entry_for(struct class_loss *losses, size_t *n,
				    const char *class_name)
{
	for (size_t i = 0; i < *n; i++)
		if (!strcmp(losses[i].class_name, class_name))
			return &losses[i];
	if (*n == CLASS_LOSSES_MAX)
		return NULL;
	memset(&losses[*n], 0, sizeof(losses[*n]));
	g_strlcpy(losses[*n].class_name, class_name, CF_NAME_SIZE);
	return &losses[(*n)++];
}

size_t loss_summarize(const struct lost_run *runs, size_t n,
		      struct class_loss losses[CLASS_LOSSES_MAX])
{
	size_t n_losses = 0;

	for (size_t i = 0; i < n; i++) {
		const struct lost_run *run = &runs[i];
		bool repeats = run->losses &&
			       is_same_age(run->ran_ms, run->lost_after_ms);
		struct class_loss *loss;

		if (!*run->class_name || !loss_is_young(run->ran_ms))
			continue;
		loss = entry_for(losses, &n_losses, run->class_name);
		if (!loss || loss->repeats > repeats)
			continue;
		if (!loss->ran_ms || repeats > loss->repeats ||
		    run->ran_ms < loss->ran_ms)
			loss->ran_ms = run->ran_ms;
		loss->repeats = repeats;
	}
	return n_losses;
}

/* ---- Types ---------------------------------------------------------- */

struct crash {
	char host[CF_NAME_SIZE];
	int64_t crashed_ms;
	struct class_loss losses[CLASS_LOSSES_MAX];
	size_t n_losses;
};

/* A crash of the last CONTAIN_MS that proves a class. */
struct proof {
	char class_name[CF_NAME_SIZE];
	char host[CF_NAME_SIZE];
	int64_t proven_ms;
	uint32_t ran_ms;
};

struct contained_class {
	char name[CF_NAME_SIZE];
	uint32_t ran_ms; /* at the last crash that it explains */
	int64_t began_ms, end_ms;
};

struct containment {
	GArray *crashes; /* struct crash, of the last EVIDENCE_MS */
	GArray *proofs; /* struct proof */
	GArray *contained; /* struct contained_class */
	uint64_t total_proofs;
};

static const struct crash *crash_at(const struct containment *c, guint i)
{
	return &g_array_index(c->crashes, struct crash, i);
}

static const struct proof *proof_at(const struct containment *c, guint i)
{
	return &g_array_index(c->proofs, struct proof, i);
}

static struct contained_class *class_at(const struct containment *c, guint i)
{
	return &g_array_index(c->contained, struct contained_class, i);
}

static struct contained_class *find_class(const struct containment *c,
					  const char *name)
{
	for (guint i = 0; i < c->contained->len; i++)
		if (!strcmp(class_at(c, i)->name, name))
			return class_at(c, i);
	return NULL;
}

/* ---- Lifecycle ------------------------------------------------------ */

struct containment *containment_create(void)
{
	struct containment *c = g_new0(struct containment, 1);

	c->crashes = g_array_new(FALSE, TRUE, sizeof(struct crash));
	c->proofs = g_array_new(FALSE, TRUE, sizeof(struct proof));
	c->contained = g_array_new(FALSE, TRUE, sizeof(struct contained_class));
	return c;
}

void containment_destroy(struct containment *c)
{
	g_array_unref(c->crashes);
	g_array_unref(c->proofs);
	g_array_unref(c->contained);
	g_free(c);
}

/* ---- Proofs --------------------------------------------------------- */

static void drop_expired(struct containment *c, int64_t now_ms)
{
	for (guint i = c->crashes->len; i-- > 0;)
		if (now_ms - crash_at(c, i)->crashed_ms >= EVIDENCE_MS)
			g_array_remove_index(c->crashes, i);
	for (guint i = c->proofs->len; i-- > 0;)
		if (now_ms - proof_at(c, i)->proven_ms >= CONTAIN_MS)
			g_array_remove_index(c->proofs, i);
}

/* Whether an earlier entry of the list stands for this crash: it is of the same
 * host, or it happened at the same time. */
static bool is_counted(const struct containment *c, guint position)
{
	const struct crash *crash = crash_at(c, position);

	for (guint i = 0; i < position; i++)
		if (!strcmp(crash_at(c, i)->host, crash->host) ||
		    ABS(crash_at(c, i)->crashed_ms - crash->crashed_ms) <=
			    COMMON_CAUSE_MS)
			return true;
	return false;
}

/* How much of the crash the class explains with a run of this age. */
static uint32_t score_crash(const struct crash *crash,
			    const struct class_loss *loss)
{
	for (size_t i = 0; i < crash->n_losses; i++) {
		const struct class_loss *other = &crash->losses[i];

		if (!strcmp(other->class_name, loss->class_name) &&
		    is_same_age(other->ran_ms, loss->ran_ms))
			return other->repeats ? REPEATED_SCORE : 1;
	}
	return 0;
}

/* Returns the score of the class if it explains enough of the crashes. */
static uint32_t score_class(const struct containment *c,
			    const struct class_loss *loss)
{
	const struct contained_class *known = find_class(c, loss->class_name);
	uint32_t score = 0, explained = 0, crashes = 0;

	for (guint i = 0; i < c->crashes->len; i++) {
		uint32_t points = score_crash(crash_at(c, i), loss);

		if (is_counted(c, i))
			continue;
		crashes++;
		explained += points > 0;
		score += points;
	}
	if (known && is_same_age(known->ran_ms, loss->ran_ms))
		return MAX(score, PROOF_SCORE);
	return explained * MILLI >= crashes * EXPLAINED_MILLI ? score : 0;
}

static void add_proof(struct containment *c, const struct crash *crash,
		      const struct class_loss *loss)
{
	struct proof proof = { .proven_ms = crash->crashed_ms,
			       .ran_ms = loss->ran_ms };

	g_strlcpy(proof.class_name, loss->class_name, sizeof(proof.class_name));
	g_strlcpy(proof.host, crash->host, sizeof(proof.host));
	g_array_append_val(c->proofs, proof);
	c->total_proofs++;
}

/* The class with the highest score is the cause; with equal scores none is
 * proven. */
static bool judge_crash(struct containment *c, const struct crash *crash)
{
	const struct class_loss *best = NULL;
	uint32_t best_score = PROOF_SCORE - 1;

	for (size_t i = 0; i < crash->n_losses; i++) {
		uint32_t score = score_class(c, &crash->losses[i]);

		if (score == best_score)
			best = NULL;
		if (score <= best_score)
			continue;
		best = &crash->losses[i];
		best_score = score;
	}
	if (best)
		add_proof(c, crash, best);
	return best != NULL;
}

static bool is_known_crash(const struct containment *c, const char *host,
			   int64_t crashed_ms)
{
	for (guint i = 0; i < c->crashes->len; i++)
		if (!strcmp(crash_at(c, i)->host, host) &&
		    ABS(crash_at(c, i)->crashed_ms - crashed_ms) <
			    CRASH_REPEAT_MS)
			return true;
	return false;
}

bool containment_add_crash(struct containment *c, const char *host,
			   const struct class_loss *losses, size_t n,
			   int64_t crashed_ms, int64_t now_ms)
{
	struct crash crash = { .crashed_ms = MIN(crashed_ms, now_ms),
			       .n_losses = MIN(n, CLASS_LOSSES_MAX) };

	drop_expired(c, now_ms);
	if (!n || now_ms - crashed_ms >= EVIDENCE_MS ||
	    is_known_crash(c, host, crashed_ms))
		return false;
	g_strlcpy(crash.host, host, sizeof(crash.host));
	memcpy(crash.losses, losses, crash.n_losses * sizeof(*losses));
	g_array_prepend_val(c->crashes, crash);
	return judge_crash(c, &crash);
}

/* ---- Contained classes ---------------------------------------------- */

/* The proofs of one class. */
struct proof_tally {
	const struct proof *newest;
	uint32_t proofs;
};

static struct proof_tally *find_tally(GArray *tallies, const char *class_name)
{
	for (guint i = 0; i < tallies->len; i++) {
		struct proof_tally *tally =
			&g_array_index(tallies, struct proof_tally, i);

		if (!strcmp(tally->newest->class_name, class_name))
			return tally;
	}
	return NULL;
}

static gint compare_tallies(gconstpointer a, gconstpointer b)
{
	const struct proof_tally *x = a;
	const struct proof_tally *y = b;

	return x->proofs < y->proofs ? 1 : x->proofs > y->proofs ? -1 : 0;
}

/* Counts the proofs of each class, and keeps the classes to contain. */
static GArray *tally_proofs(const struct containment *c, uint32_t known_classes)
{
	GArray *tallies = g_array_new(FALSE, FALSE, sizeof(struct proof_tally));
	guint n = 0;

	for (guint i = 0; i < c->proofs->len; i++) {
		struct proof_tally first = { proof_at(c, i), 1 };
		struct proof_tally *known =
			find_tally(tallies, first.newest->class_name);

		if (!known) {
			g_array_append_val(tallies, first);
			continue;
		}
		known->proofs++;
		if (first.newest->proven_ms > known->newest->proven_ms)
			known->newest = first.newest;
	}
	g_array_sort(tallies, compare_tallies);
	while (n < MIN(tallies->len, known_classes / 2) &&
	       g_array_index(tallies, struct proof_tally, n).proofs *
			       PROOFS_MIN_FRACTION >=
		       g_array_index(tallies, struct proof_tally, 0).proofs)
		n++;
	g_array_set_size(tallies, n);
	return tallies;
}

static void append_change(const struct contained_class *class,
			  const struct proof_tally *tally, int64_t now_ms,
			  GArray *changes)
{
	struct containment_change change = { .contained = tally != NULL };

	g_strlcpy(change.class_name, class->name, sizeof(change.class_name));
	change.lasted_ms = now_ms - class->began_ms;
	if (tally) {
		change.proofs = tally->proofs;
		change.ran_ms = tally->newest->ran_ms;
		g_strlcpy(change.host, tally->newest->host,
			  sizeof(change.host));
	}
	g_array_append_val(changes, change);
}

static void begin_or_extend(struct containment *c,
			    const struct proof_tally *tally, int64_t now_ms,
			    GArray *changes)
{
	const char *name = tally->newest->class_name;
	struct contained_class *known = find_class(c, name);
	struct contained_class class = { .began_ms = now_ms };

	class.end_ms = tally->newest->proven_ms + CONTAIN_MS;
	class.ran_ms = tally->newest->ran_ms;
	if (known) {
		known->end_ms = class.end_ms;
		known->ran_ms = class.ran_ms;
		return;
	}
	g_strlcpy(class.name, name, sizeof(class.name));
	g_array_append_val(c->contained, class);
	append_change(&class, tally, now_ms, changes);
}

void containment_tick(struct containment *c, uint32_t known_classes,
		      int64_t now_ms, GArray *changes)
{
	g_autoptr(GArray) tallies = NULL;

	drop_expired(c, now_ms);
	tallies = tally_proofs(c, known_classes);
	for (guint i = c->contained->len; i-- > 0;) {
		if (find_tally(tallies, class_at(c, i)->name))
			continue;
		append_change(class_at(c, i), NULL, now_ms, changes);
		g_array_remove_index_fast(c->contained, i);
	}
	for (guint i = 0; i < tallies->len; i++)
		begin_or_extend(c,
				&g_array_index(tallies, struct proof_tally, i),
				now_ms, changes);
}

bool containment_has(const struct containment *c, const char *class_name)
{
	return find_class(c, class_name) != NULL;
}

int64_t containment_end_ms(const struct containment *c, const char *class_name)
{
	const struct contained_class *class = find_class(c, class_name);

	return class ? class->end_ms : 0;
}

uint32_t containment_count(const struct containment *c)
{
	return c->contained->len;
}

uint64_t containment_proofs(const struct containment *c)
{
	return c->total_proofs;
}

/* ---- Hosts that run contained tasks --------------------------------- */

static int compare_hosts(const void *a, const void *b)
{
	const struct containment_host *x = a;
	const struct containment_host *y = b;
	int by_service = strcmp(x->service, y->service);
	uint64_t x_rank, y_rank;

	if (by_service)
		return by_service;
	x_rank = XXH64(x->name, strlen(x->name), 0);
	y_rank = XXH64(y->name, strlen(y->name), 0);
	if (x_rank != y_rank)
		return x_rank < y_rank ? -1 : 1;
	return strcmp(x->name, y->name);
}

void containment_choose_hosts(struct containment_host *hosts, size_t n)
{
	size_t first = 0;

	qsort(hosts, n, sizeof(*hosts), compare_hosts);
	while (first < n) {
		size_t end = first, chosen;

		while (end < n &&
		       !strcmp(hosts[end].service, hosts[first].service))
			end++;
		chosen = ((end - first) * CONTAINED_SERVERS_MILLI + MILLI / 2) /
			 MILLI;
		chosen = MAX(chosen, 1);
		for (size_t i = first; i < end; i++)
			hosts[i].chosen = i - first < chosen;
		first = end;
	}
}
