/*
 * member_links: see member_links.h.
 */
#include "roles/member_links.h"

#include "base/counters.h"
#include "base/logger.h"

#include <string.h>

/* A month replaces hundreds of hosts, so spares need a limit: each costs a
 * descriptor and, if nobody listens there, a dial every 0.5 s at most. 16
 * addresses are two groups of the largest size (CF_MEMBERS_MAX) and two more:
 * enough for a group that was replaced as a whole while a redirect chain is
 * followed. */
#define SPARES_MAX 16

struct member_link {
	struct link *link;
	bool is_seed, is_member;
	uint64_t named_seq; /* order in which addresses were last named */
};

struct member_links {
	struct link_hub *hub;
	GArray *entries; /* struct member_link */
	struct link *leader; /* NULL only while there are no entries */
	uint64_t last_named_seq;
	bool full_logged;
	struct counter *n_links, *dropped_gone, *dropped_full;
};

static struct member_link *entry_at(const struct member_links *l, guint i)
{
	return &g_array_index(l->entries, struct member_link, i);
}

static bool is_spare(const struct member_link *entry)
{
	return !entry->is_seed && !entry->is_member;
}

/* ---- Dropping ---- */

/* The link's down handler runs while the entry still exists. */
static void drop_entry(struct member_links *l, guint i, struct counter *count)
{
	link_drop(entry_at(l, i)->link);
	g_array_remove_index(l->entries, i);
	counter_add(count, 1);
	gauge_set(l->n_links, l->entries->len);
}

/* An address may be used again by a process of another role. */
static bool is_connected(const struct link *link)
{
	return link_is_up(link) &&
	       link_peer(link)->role == CFW__ROLE__ROLE_COORDINATOR;
}

void member_links_drop_gone(struct member_links *l)
{
	for (guint i = l->entries->len; i-- > 0;) {
		struct link *link = entry_at(l, i)->link;

		if (!is_spare(entry_at(l, i)) || link == l->leader ||
		    is_connected(link))
			continue;
		log_event(LOG_INFO, "coordinator_link_dropped", "address=%s",
			  link_address(link));
		drop_entry(l, i, l->dropped_gone);
	}
}

static guint count_spares(const struct member_links *l)
{
	guint n = 0;

	for (guint i = 0; i < l->entries->len; i++)
		n += is_spare(entry_at(l, i));
	return n;
}

static bool goes_before(const struct member_link *a,
			const struct member_link *b)
{
	if (is_connected(a->link) != is_connected(b->link))
		return is_connected(b->link);
	return a->named_seq < b->named_seq;
}

/* Unreachable spares go first, the one that was named longest ago before the
 * others. */
static guint find_victim(const struct member_links *l,
			 const struct link *source, const struct link *newest)
{
	guint victim = l->entries->len;

	for (guint i = 0; i < l->entries->len; i++) {
		const struct member_link *entry = entry_at(l, i);

		if (!is_spare(entry) || entry->link == l->leader ||
		    entry->link == source || entry->link == newest)
			continue;
		if (victim == l->entries->len ||
		    goes_before(entry, entry_at(l, victim)))
			victim = i;
	}
	return victim;
}

static void limit_spares(struct member_links *l, const struct link *source,
			 const struct link *newest)
{
	guint n = count_spares(l);

	if (n < SPARES_MAX)
		l->full_logged = false;
	for (; n > SPARES_MAX; n--) {
		guint victim = find_victim(l, source, newest);

		if (!l->full_logged)
			log_event(LOG_WARN, "coordinator_links_full",
				  "spares=%u dropped=%s", n - 1,
				  link_address(entry_at(l, victim)->link));
		l->full_logged = true;
		drop_entry(l, victim, l->dropped_full);
	}
}

/* ---- Adding ---- */

static struct member_link *find_address(const struct member_links *l,
					const char *address)
{
	for (guint i = 0; i < l->entries->len; i++)
		if (!strcmp(link_address(entry_at(l, i)->link), address))
			return entry_at(l, i);
	return NULL;
}

/* Valid until the next change of the entries. */
static struct member_link *get_entry(struct member_links *l,
				     const char *address)
{
	struct member_link *entry = find_address(l, address);

	if (!entry) {
		struct member_link added = { .link = link_dial(l->hub,
							       address) };

		g_array_append_val(l->entries, added);
		gauge_set(l->n_links, l->entries->len);
		entry = entry_at(l, l->entries->len - 1);
		if (!l->leader)
			l->leader = added.link;
	}
	entry->named_seq = ++l->last_named_seq;
	return entry;
}

void member_links_set_seeds(struct member_links *l, char **addresses)
{
	if (!addresses || !addresses[0])
		return;
	for (guint i = 0; i < l->entries->len; i++)
		entry_at(l, i)->is_seed = false;
	for (size_t i = 0; addresses[i]; i++)
		get_entry(l, addresses[i])->is_seed = true;
	limit_spares(l, NULL, NULL);
}

void member_links_set_members(struct member_links *l,
			      Cfw__Member *const *members, size_t n)
{
	for (guint i = 0; i < l->entries->len; i++) {
		struct member_link *entry = entry_at(l, i);

		/* Of the spares, the latest members are the newest. */
		if (entry->is_member)
			entry->named_seq = ++l->last_named_seq;
		entry->is_member = false;
	}
	for (size_t i = 0; i < n; i++)
		if (members[i]->address && *members[i]->address)
			get_entry(l, members[i]->address)->is_member = true;
	limit_spares(l, NULL, NULL);
}

struct link *member_links_add(struct member_links *l, const char *address,
			      const struct link *source)
{
	struct link *link = get_entry(l, address)->link;

	limit_spares(l, source, link);
	return link;
}

/* ---- Leader ---- */

struct link *member_links_leader(const struct member_links *l)
{
	return l->leader;
}

void member_links_set_leader(struct member_links *l, struct link *link)
{
	l->leader = link;
}

static guint find_index(const struct member_links *l, const struct link *link)
{
	guint i = 0;

	while (i < l->entries->len && entry_at(l, i)->link != link)
		i++;
	return i;
}

void member_links_advance(struct member_links *l)
{
	guint n = l->entries->len, from = find_index(l, l->leader);

	if (!n)
		return;
	for (guint i = 1; i < n; i++) {
		struct link *next = entry_at(l, (from + i) % n)->link;

		if (link_is_up(next)) {
			l->leader = next;
			return;
		}
	}
	l->leader = entry_at(l, (from + 1) % n)->link;
}

/* ---- Access ---- */

bool member_links_has(const struct member_links *l, const struct link *link)
{
	return find_index(l, link) < l->entries->len;
}

struct link *member_links_find_member(const struct member_links *l,
				      uint32_t member)
{
	for (guint i = 0; i < l->entries->len; i++) {
		struct link *link = entry_at(l, i)->link;

		if (link_is_up(link) && link_peer(link)->member_id == member)
			return link;
	}
	return NULL;
}

/* Members come first: a list that is cut short leaves out spares. */
size_t member_links_list_up(const struct member_links *l, struct link **up,
			    size_t max)
{
	size_t n = 0;

	for (int members = 1; members >= 0; members--) {
		for (guint i = 0; i < l->entries->len && n < max; i++) {
			const struct member_link *entry = entry_at(l, i);

			if (entry->is_member == members &&
			    link_is_up(entry->link))
				up[n++] = entry->link;
		}
	}
	return n;
}

/* ---- Create and destroy ---- */

struct member_links *member_links_create(struct link_hub *hub)
{
	static const char dropped[] =
		"Links to coordinators that nothing names any more, closed";
	struct member_links *l = g_new0(struct member_links, 1);

	l->hub = hub;
	l->entries = g_array_new(FALSE, FALSE, sizeof(struct member_link));
	l->n_links = gauge_get("coordinator_links", NULL,
			       "Coordinators that are dialled");
	l->dropped_gone = counter_get("coordinator_links_dropped_total",
				      "reason=\"gone\"", dropped);
	l->dropped_full = counter_get("coordinator_links_dropped_total",
				      "reason=\"full\"", dropped);
	return l;
}

void member_links_destroy(struct member_links *l)
{
	g_array_unref(l->entries);
	g_free(l);
}
