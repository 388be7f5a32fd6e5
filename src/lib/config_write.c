/*
 * config_write: serialises the configuration as a snapshot of the log's
 * state machine, or in the form that agents and dispatchers receive.
 */
#include "lib/config_state.h"

/* ---- Constants ----------------------------------------------------- */

/* Allocates n messages of a type and the array of pointers to them. The
 * strings in the messages point into the configuration. */
#define NEW_MESSAGES(n, type, pointers)                                        \
	((pointers) = g_new0(struct type *, (n)), g_new0(struct type, (n)))

/* ---- Types --------------------------------------------------------- */

/* The message and the memory that it refers to. */
struct packing {
	struct Cfw__Configuration message;
	struct Cfw__TaskClass *classes;
	struct Cfw__DataCentre *data_centres;
	struct Cfw__Team *teams;
	struct Cfw__Member *members;
	struct Cfw__View *views;
	struct Cfw__Fence *fences;
	struct Cfw__RouteTable routes;
};

/* ---- Functions ----------------------------------------------------- */

static void write_names(struct packing *p, const struct cf_config *config)
{
	struct Cfw__Configuration *m = &p->message;

	m->n_classes = config->classes->len;
	p->classes = NEW_MESSAGES(m->n_classes, Cfw__TaskClass, m->classes);
	for (size_t i = 0; i < m->n_classes; i++) {
		struct cf_class *from =
			&g_array_index(config->classes, struct cf_class, i);

		m->classes[i] = &p->classes[i];
		cfw__task_class__init(m->classes[i]);
		m->classes[i]->name = from->name;
		m->classes[i]->target_ms = from->target_ms;
		m->classes[i]->percentile_milli = from->percentile_milli;
		m->classes[i]->idempotent = from->idempotent;
	}
	m->n_data_centres = config->data_centres->len;
	p->data_centres = NEW_MESSAGES(m->n_data_centres, Cfw__DataCentre,
				       m->data_centres);
	for (size_t i = 0; i < m->n_data_centres; i++) {
		struct cf_data_centre *from = &g_array_index(
			config->data_centres, struct cf_data_centre, i);

		m->data_centres[i] = &p->data_centres[i];
		cfw__data_centre__init(m->data_centres[i]);
		m->data_centres[i]->name = from->name;
		m->data_centres[i]->in_service = from->in_service;
	}
	m->n_teams = config->teams->len;
	p->teams = NEW_MESSAGES(m->n_teams, Cfw__Team, m->teams);
	for (size_t i = 0; i < m->n_teams; i++) {
		struct cf_team *from =
			&g_array_index(config->teams, struct cf_team, i);

		m->teams[i] = &p->teams[i];
		cfw__team__init(m->teams[i]);
		m->teams[i]->name = from->name;
		m->teams[i]->share_milli = from->share_milli;
	}
}

static void write_members(struct packing *p, const struct cf_config *config)
{
	struct Cfw__Configuration *m = &p->message;

	m->n_members = config->members->len;
	p->members = NEW_MESSAGES(m->n_members, Cfw__Member, m->members);
	for (size_t i = 0; i < m->n_members; i++) {
		struct cf_member *from =
			&g_array_index(config->members, struct cf_member, i);
		struct Cfw__Member *to = m->members[i] = &p->members[i];

		cfw__member__init(to);
		to->id = from->id;
		to->address = from->address;
		to->admin_address = from->admin_address;
		to->voter = from->voter;
		to->leaving = from->leaving;
		if (!from->has_identity)
			continue;
		to->identity.data = from->identity;
		to->identity.len = sizeof(from->identity);
	}
}

static void write_views(struct packing *p, const struct cf_config *config)
{
	struct Cfw__Configuration *m = &p->message;

	m->n_views = config->views->len;
	p->views = NEW_MESSAGES(m->n_views, Cfw__View, m->views);
	for (size_t i = 0; i < m->n_views; i++) {
		struct cf_view *from =
			&g_array_index(config->views, struct cf_view, i);
		struct Cfw__View *to = m->views[i] = &p->views[i];

		cfw__view__init(to);
		to->number = from->number;
		to->horizon_ms = from->horizon_ms;
		to->n_voters = from->members.n_voters;
		to->voters = from->members.voters;
		to->n_learners = from->members.n_learners;
		to->learners = from->members.learners;
	}
	m->n_fences = config->fences->len;
	p->fences = NEW_MESSAGES(m->n_fences, Cfw__Fence, m->fences);
	for (size_t i = 0; i < m->n_fences; i++) {
		struct config_fence *from =
			&g_array_index(config->fences, struct config_fence, i);

		m->fences[i] = &p->fences[i];
		cfw__fence__init(m->fences[i]);
		m->fences[i]->incarnation = from->incarnation;
		m->fences[i]->wall_ms = from->wall_ms;
	}
}

static void write_routes(struct packing *p, const struct cf_config *config)
{
	gsize size;

	if (!config->routes)
		return;
	cfw__route_table__init(&p->routes);
	p->routes.version = config->routes_version;
	p->routes.document.data =
		(uint8_t *)g_bytes_get_data(config->routes, &size);
	p->routes.document.len = size;
	p->message.routes = &p->routes;
}

static void packing_begin(struct packing *p, const struct cf_config *config)
{
	cfw__configuration__init(&p->message);
	p->message.revision = config->revision;
	write_names(p, config);
	write_members(p, config);
	write_views(p, config);
}

static void packing_end(struct packing *p)
{
	struct Cfw__Configuration *m = &p->message;
	void *blocks[] = { p->classes, p->data_centres, p->teams,
			   p->members, p->views,        p->fences,
			   m->classes, m->data_centres, m->teams,
			   m->members, m->views,        m->fences };

	for (size_t i = 0; i < G_N_ELEMENTS(blocks); i++)
		g_free(blocks[i]);
}

static GBytes *pack(const struct cf_config *config, bool with_routes)
{
	struct packing p;
	uint8_t *data;
	size_t size;

	packing_begin(&p, config);
	if (with_routes)
		write_routes(&p, config);
	size = cfw__configuration__get_packed_size(&p.message);
	data = g_malloc(size + 1);
	cfw__configuration__pack(&p.message, data);
	packing_end(&p);
	return g_bytes_new_take(data, size);
}

GBytes *cf_config_pack(const struct cf_config *config)
{
	return pack(config, true);
}

GBytes *cf_config_pack_settings(const struct cf_config *config)
{
	return pack(config, false);
}

static struct Cfw__Outcome *write_outcomes(const struct cf_config *config,
					   struct Cfw__ConfigSnapshot *m)
{
	struct Cfw__Outcome *outcomes;
	size_t i = 0;

	m->n_outcomes = config->outcomes.length;
	outcomes = NEW_MESSAGES(m->n_outcomes, Cfw__Outcome, m->outcomes);
	for (GList *l = config->outcomes.head; l; l = l->next, i++) {
		struct config_outcome *from = l->data;

		m->outcomes[i] = &outcomes[i];
		cfw__outcome__init(m->outcomes[i]);
		m->outcomes[i]->command_id.data = from->command_id;
		m->outcomes[i]->command_id.len = CONFIG_COMMAND_ID_SIZE;
		m->outcomes[i]->status = from->result.status;
		m->outcomes[i]->revision = from->result.revision;
		m->outcomes[i]->message = from->result.message;
		m->outcomes[i]->wall_ms = from->wall_ms;
	}
	return outcomes;
}

static struct Cfw__Subject *write_subjects(const struct cf_config *config,
					   struct Cfw__ConfigSnapshot *m)
{
	struct Cfw__Subject *subjects;

	m->n_subjects = config->subjects->len;
	subjects = NEW_MESSAGES(m->n_subjects, Cfw__Subject, m->subjects);
	for (size_t i = 0; i < m->n_subjects; i++) {
		struct config_subject *from = &g_array_index(
			config->subjects, struct config_subject, i);

		m->subjects[i] = &subjects[i];
		cfw__subject__init(m->subjects[i]);
		m->subjects[i]->name = from->name;
		m->subjects[i]->revision = from->revision;
		m->subjects[i]->wall_ms = from->wall_ms;
	}
	return subjects;
}

GBytes *cf_config_save(const struct cf_config *config)
{
	struct Cfw__ConfigSnapshot m = CFW__CONFIG_SNAPSHOT__INIT;
	struct Cfw__Outcome *outcomes = write_outcomes(config, &m);
	struct Cfw__Subject *subjects = write_subjects(config, &m);
	struct packing p;
	uint8_t *data;
	size_t size;

	packing_begin(&p, config);
	write_routes(&p, config);
	m.configuration = &p.message;
	m.forgotten_revision = config->forgotten_revision;
	m.wall_ms = config->wall_ms;
	m.n_retired = config->retired->len;
	m.retired = (uint32_t *)(void *)config->retired->data;
	size = cfw__config_snapshot__get_packed_size(&m);
	data = g_malloc(size + 1);
	cfw__config_snapshot__pack(&m, data);
	packing_end(&p);
	g_free(outcomes);
	g_free(subjects);
	g_free(m.outcomes);
	g_free(m.subjects);
	return g_bytes_new_take(data, size);
}
