/*
 * agent_trace: records the inputs and decisions of the start gate as trace
 * events, which "trace check" and "trace replay" read.
 */
#ifndef ROLES_AGENT_TRACE_H
#define ROLES_AGENT_TRACE_H

#include "chervilferry.h"

void agent_trace_gate(const struct cf_capacity *capacity, int64_t remember_ms);
void agent_trace_offer(const struct cf_task *task, bool gated, bool fifo,
		       bool accepted, int64_t now_ms);
void agent_trace_job(const char *event, const struct cf_key *key,
		     uint64_t dispatcher, uint64_t job, size_t fenced,
		     int64_t now_ms); /* event: open, cancel */
void agent_trace_start(const struct cf_task *task, const char *data_centre,
		       uint64_t revision, int64_t now_ms);
void agent_trace_end(const char *event, const struct cf_key *key,
		     uint32_t index, bool ok,
		     int64_t now_ms); /* event: end, unstarted */
void agent_trace_fence(const struct cf_key *key, uint32_t index,
		       const struct cf_gate_permit *permit,
		       int64_t now_ms); /* permit NULL: fenced by a message */
void agent_trace_query(const struct cf_key *key, uint32_t index, bool fence,
		       enum cf_task_state state, int64_t now_ms);
void agent_trace_seal(const struct cf_key *key, int64_t now_ms);
void agent_trace_adopt(const struct cf_key *key, uint64_t dispatcher,
		       uint32_t epoch, bool ok, int64_t now_ms);
void agent_trace_fence_dispatcher(uint64_t dispatcher, int64_t now_ms);

#endif
