/*
 * agent_trace: see agent_trace.h. Task events are not formatted when no
 * trace file is open.
 */
#include "agent/agent_trace.h"

#include "base/trace_file.h"

#include <inttypes.h>

/* ---- Constants ---- */

#define KEY_INDEX "key=%s index=%u"
#define NOW " now=%" PRId64
#define HEX64 "%016" PRIx64

/* ---- Functions ---- */

void agent_trace_gate(const struct cf_capacity *c, int64_t remember_ms)
{
	trace_event("gate",
		    "slots=%u connections=%u cpu=%u memory=%u "
		    "accelerators=%u remember=%" PRId64,
		    c->slots, c->connections, c->cpu_milli, c->memory_mb,
		    c->accelerators, remember_ms);
}

void agent_trace_offer(const struct cf_task *t, bool gated, bool fifo,
		       bool accepted, int64_t now_ms)
{
	char key[CF_KEY_TEXT_SIZE];

	if (!trace_enabled())
		return;
	cf_key_format(&t->key, key);
	trace_event("offer",
		    KEY_INDEX " job=%" PRIu64 " dispatcher=" HEX64
			      " held=%d fifo=%d accepted=%d cpu=%u memory=%u "
			      "accelerators=%u predicted=%u slack_end=%" PRId64
			      " deadline=%" PRId64 NOW,
		    key, t->index, t->job, t->dispatcher, gated, fifo, accepted,
		    t->cpu_milli, t->memory_mb, t->accelerators,
		    t->predicted_ms, t->slack_end_ms, t->deadline_ms, now_ms);
}

void agent_trace_job(const char *event, const struct cf_key *k,
		     uint64_t dispatcher, uint64_t job, size_t fenced,
		     int64_t now_ms)
{
	char key[CF_KEY_TEXT_SIZE];

	if (!trace_enabled())
		return;
	cf_key_format(k, key);
	trace_event(event,
		    "key=%s dispatcher=" HEX64 " job=%" PRIu64
		    " fenced=%zu" NOW,
		    key, dispatcher, job, fenced, now_ms);
}

void agent_trace_start(const struct cf_task *t, const char *data_centre,
		       uint64_t revision, int64_t now_ms)
{
	char key[CF_KEY_TEXT_SIZE];

	if (!trace_enabled())
		return;
	cf_key_format(&t->key, key);
	trace_event("start",
		    KEY_INDEX " job=%" PRIu64 " dispatcher=" HEX64
			      " dc=%s rev=%" PRIu64 NOW,
		    key, t->index, t->job, t->dispatcher, data_centre, revision,
		    now_ms);
}

void agent_trace_end(const char *event, const struct cf_key *k, uint32_t index,
		     bool ok, int64_t now_ms)
{
	char key[CF_KEY_TEXT_SIZE];

	if (!trace_enabled())
		return;
	cf_key_format(k, key);
	trace_event(event, KEY_INDEX " ok=%d" NOW, key, index, ok, now_ms);
}

void agent_trace_fence(const struct cf_key *k, uint32_t index,
		       const struct cf_gate_permit *permit, int64_t now_ms)
{
	char key[CF_KEY_TEXT_SIZE];

	if (!trace_enabled())
		return;
	cf_key_format(k, key);
	if (permit)
		trace_event("fence",
			    KEY_INDEX
			    " by=gate lease=%d service=%d draining=%d" NOW,
			    key, index, permit->lease_held, permit->in_service,
			    permit->draining, now_ms);
	else
		trace_event("fence", KEY_INDEX " by=message", key, index);
}

void agent_trace_query(const struct cf_key *k, uint32_t index, bool fence,
		       enum cf_task_state state, int64_t now_ms)
{
	char key[CF_KEY_TEXT_SIZE];

	if (!trace_enabled())
		return;
	cf_key_format(k, key);
	trace_event("query", KEY_INDEX " fence=%d state=%d" NOW, key, index,
		    fence, (int)state, now_ms);
}

void agent_trace_seal(const struct cf_key *k, int64_t now_ms)
{
	char key[CF_KEY_TEXT_SIZE];

	if (!trace_enabled())
		return;
	cf_key_format(k, key);
	trace_event("seal", "key=%s" NOW, key, now_ms);
}

void agent_trace_adopt(const struct cf_key *k, uint64_t dispatcher,
		       uint32_t epoch, bool ok, int64_t now_ms)
{
	char key[CF_KEY_TEXT_SIZE];

	if (!trace_enabled())
		return;
	cf_key_format(k, key);
	trace_event("adopt", "key=%s dispatcher=" HEX64 " epoch=%u ok=%d" NOW,
		    key, dispatcher, epoch, ok, now_ms);
}

void agent_trace_fence_dispatcher(uint64_t dispatcher, int64_t now_ms)
{
	trace_event("fence_dispatcher", "dispatcher=" HEX64 NOW, dispatcher,
		    now_ms);
}
