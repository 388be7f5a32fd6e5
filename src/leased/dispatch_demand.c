/*
 * dispatch_demand: records whether the work of this dispatcher finds too
 * little free capacity, which the agents are told.
 */
#include "leased/dispatch_internal.h"

/* ---- Constants ------------------------------------------------------ */

/* Demand ends this long after the last shortage, because shortages often come
 * in series. */
#define DEMAND_HOLD_MS 300

/* ---- Demand --------------------------------------------------------- */

void dispatch_note_demand(struct dispatch *d, int64_t now_ms)
{
	d->last_demand_ms = now_ms;
	if (d->has_demand)
		return;
	d->has_demand = true;
	d->sink->ops->set_demand(d->sink, true);
}

void dispatch_expire_demand(struct dispatch *d, int64_t now_ms)
{
	if (!d->has_demand || now_ms - d->last_demand_ms < DEMAND_HOLD_MS)
		return;
	d->has_demand = false;
	d->sink->ops->set_demand(d->sink, false);
}

bool dispatch_has_demand(const struct dispatch *d)
{
	return d->has_demand;
}
