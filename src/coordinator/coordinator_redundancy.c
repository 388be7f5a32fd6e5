/*
 * coordinator_redundancy: reports how many losses the group still bears. The
 * leader counts voters that could vote now, and every coordinator reports the
 * joiners that asked it. A group with less redundancy than it is meant to have
 * still serves, so nothing else would show it.
 */
#include "coordinator/coordinator.h"

#include "base/logger.h"

/* ---- Constants ----------------------------------------------------- */

/* Ordinary joins and restarts are over before. */
#define REPORT_AFTER_MS 2000
#define REPORT_INTERVAL_MS 5000 /* of each line */
#define UNKNOWN (-1) /* gauges of a member that doesn't lead */

/* ---- Lines ------------------------------------------------------------ */

/* Whether a line about a state that began at since_ms is due; if so, sets the
 * time of the last line. */
static bool is_due(int64_t since_ms, int64_t *reported_ms, int64_t now_ms)
{
	if (now_ms - since_ms < REPORT_AFTER_MS ||
	    (*reported_ms && now_ms - *reported_ms < REPORT_INTERVAL_MS))
		return false;
	*reported_ms = now_ms;
	return true;
}

static void report_joiners(struct coordinator *c, int64_t now_ms)
{
	const struct cf_member *members;
	size_t n = cf_config_members(c->config, &members);

	for (guint i = 0; i < c->joiners->len; i++) {
		struct joiner *joiner =
			&g_array_index(c->joiners, struct joiner, i);

		if (is_due(joiner->first_ms, &joiner->reported_ms, now_ms))
			log_event(LOG_WARN, "joiner_waits",
				  "id=%u address=%s waited_ms=%" G_GINT64_FORMAT
				  " leader=%u members=%zu",
				  joiner->member.id, joiner->member.address,
				  now_ms - joiner->first_ms,
				  group_leader(c->group), n);
	}
	gauge_set(c->counters.joiners, c->joiners->len);
}

static void report_own_wait(struct coordinator *c, int64_t now_ms)
{
	struct redundancy *r = &c->redundancy;

	if (!coordinator_waits_to_join(c)) {
		r->waits_since_ms = 0;
		return;
	}
	if (!r->waits_since_ms)
		r->waits_since_ms = now_ms;
	if (is_due(r->waits_since_ms, &r->wait_reported_ms, now_ms))
		log_event(LOG_WARN, "waits_to_join",
			  "id=%u waited_ms=%" G_GINT64_FORMAT
			  " dialled=%u accepted=%u",
			  c->id, now_ms - r->waits_since_ms, c->peers->len,
			  c->accepted->len);
}

/* ---- Voters (leader) -------------------------------------------------- */

static bool is_present(const struct coordinator *c,
		       const struct cf_member *member)
{
	return member->id == c->id || coordinator_can_vote(c, member);
}

static void log_missing_voter(const struct coordinator *c,
			      const struct cf_member *member)
{
	const char *why = coordinator_link_to(c, member->id)
				  ? "it has not caught up"
				  : "unreachable";

	log_event(LOG_WARN, "voter_missing", "id=%u address=%s why=\"%s\"",
		  member->id, member->address, why);
}

static void log_redundancy(struct coordinator *c, const struct voters *v,
			   bool lines)
{
	const struct cf_member *members;
	size_t n = cf_config_members(c->config, &members);

	log_event(lines ? LOG_WARN : LOG_INFO,
		  lines ? "redundancy_low" : "redundancy_whole",
		  "voters_meant=%u voters=%u present=%u losses_borne=%u",
		  v->meant, v->listed, v->present, v->losses_borne);
	for (size_t i = 0; lines && i < n; i++) {
		if (members[i].voter && !is_present(c, &members[i]))
			log_missing_voter(c, &members[i]);
	}
}

void coordinator_count_voters(const struct coordinator *c, struct voters *v)
{
	const struct cf_member *members;
	size_t n = cf_config_members(c->config, &members);
	uint32_t majority;

	memset(v, 0, sizeof(*v));
	for (size_t i = 0; i < n; i++) {
		if (!members[i].voter)
			continue;
		v->listed++;
		v->present += is_present(c, &members[i]);
	}
	majority = v->listed / 2 + 1;
	v->meant = c->target_voters ? c->target_voters : v->listed;
	v->losses_borne = v->present > majority ? v->present - majority : 0;
}

static void report_voters(struct coordinator *c, int64_t now_ms)
{
	struct redundancy *r = &c->redundancy;
	struct voters v;

	coordinator_count_voters(c, &v);
	gauge_set(c->counters.voters_meant, v.meant);
	gauge_set(c->counters.voters_present, v.present);
	gauge_set(c->counters.losses_borne, v.losses_borne);
	if (v.present >= v.meant) {
		if (r->voters_reported_ms)
			log_redundancy(c, &v, false);
		r->low_since_ms = 0;
		r->voters_reported_ms = 0;
		return;
	}
	if (!r->low_since_ms)
		r->low_since_ms = now_ms;
	if (is_due(r->low_since_ms, &r->voters_reported_ms, now_ms))
		log_redundancy(c, &v, true);
}

void coordinator_report_redundancy(struct coordinator *c, int64_t now_ms)
{
	report_joiners(c, now_ms);
	report_own_wait(c, now_ms);
	if (c->leadership) {
		report_voters(c, now_ms);
		return;
	}
	c->redundancy.low_since_ms = 0;
	c->redundancy.voters_reported_ms = 0;
	gauge_set(c->counters.voters_meant, UNKNOWN);
	gauge_set(c->counters.voters_present, UNKNOWN);
	gauge_set(c->counters.losses_borne, UNKNOWN);
}
