/*
 * routes_sender: decides which part of the operators' routes a holder is sent
 * next. A holder of a version whose change is still known is sent the change,
 * others the document. Loop thread only; sends nothing itself.
 */
#ifndef COORDINATOR_ROUTES_SENDER_H
#define COORDINATOR_ROUTES_SENDER_H

#include "chervilferry.h"
#include "proto/wire.pb-c.h"

struct routes_sender;

/* A lease waits behind one part at most: 21 ms at 25 Mbit/s. */
#define ROUTES_PART_MAX_BYTES (64U << 10)

/* part_max_bytes: above 0. */
struct routes_sender *routes_sender_create(uint32_t part_max_bytes);
void routes_sender_destroy(struct routes_sender *sender); /* NULL is allowed */
/* Fills in the answer; its version is 0 if there is nothing newer. The data
 * stays valid until the next call, or a change of the configuration. */
void routes_sender_answer(struct routes_sender *sender,
			  const struct cf_config *config,
			  const Cfw__RoutesRequest *request, int64_t now_ms,
			  Cfw__RoutesPart *part);

#endif
