/*
 * containment: keeps tasks that crash backend servers on a small part of the
 * servers. Agents report which runs a crash ended soon after their start.
 * Dispatchers compare the crashes, contain the class that explains them, and
 * choose the servers that run contained tasks. The module does no I/O; the
 * present time is an argument. It is not thread-safe.
 *
 * A task that crashes servers does so at about the same age of its run each
 * time. What ran beside it has unrelated ages.
 */
#ifndef LEASED_CONTAINMENT_H
#define LEASED_CONTAINMENT_H

#include "chervilferry.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A class is contained this long after the last crash that it explains. */
#define CONTAIN_MS 10000
/* Part of the hosts of a service that run contained tasks. */
#define CONTAINED_SERVERS_MILLI 333

struct containment;

/* ---- Evidence of one crash ------------------------------------------ */

/* A run that was lost when its server crashed. */
struct lost_run {
	char class_name[CF_NAME_SIZE]; /* empty: unknown */
	uint32_t ran_ms; /* 0: not known to have started */
	uint32_t losses; /* earlier crashes under its task */
	uint32_t lost_after_ms; /* what the last of these ran */
};

/* The youngest lost run of a class. */
struct class_loss {
	char class_name[CF_NAME_SIZE];
	uint32_t ran_ms;
	bool repeats; /* its task had lost a run of that age before */
};

#define CLASS_LOSSES_MAX 8

/* Whether a run was lost so soon after its start that it may be the cause. */
bool loss_is_young(uint32_t ran_ms);
/* Summarises the runs lost in one crash by class. Returns the number of
 * entries; further classes are left out. */
size_t loss_summarize(const struct lost_run *runs, size_t n,
		      struct class_loss losses[CLASS_LOSSES_MAX]);

/* ---- Contained classes ---------------------------------------------- */

struct containment_change {
	char class_name[CF_NAME_SIZE];
	char host[CF_NAME_SIZE]; /* of the last crash that it explains */
	bool contained;
	uint32_t proofs; /* crashes that prove it, in the last CONTAIN_MS */
	uint32_t ran_ms; /* age of its run at the last of them */
	int64_t lasted_ms; /* of a containment that has ended */
};

struct containment *containment_create(void);
void containment_destroy(struct containment *containment);
/* The server on this host crashed at crashed_ms. Reports of the same crash are
 * counted once. Returns whether it proves a class to be the cause. */
bool containment_add_crash(struct containment *containment, const char *host,
			   const struct class_loss *losses, size_t n,
			   int64_t crashed_ms, int64_t now_ms);
/* Begins and ends containments, and appends a struct containment_change for
 * each. At most half of the known classes are contained, those with the most
 * proofs: others were probably lost beside them. */
void containment_tick(struct containment *containment, uint32_t known_classes,
		      int64_t now_ms, GArray *changes);
bool containment_has(const struct containment *containment,
		     const char *class_name);
/* When the containment of the class ends without another proof; 0: it isn't
 * contained. */
int64_t containment_end_ms(const struct containment *containment,
			   const char *class_name);
uint32_t containment_count(const struct containment *containment);
uint64_t containment_proofs(const struct containment *containment);

/* ---- Hosts that run contained tasks --------------------------------- */

struct containment_host {
	const char *name, *service;
	bool chosen;
	void *data; /* the caller's */
};

/* Chooses the same hosts of each service for any order of the list
 * (rendezvous hashing). May reorder it. */
void containment_choose_hosts(struct containment_host *hosts, size_t n);

#endif
