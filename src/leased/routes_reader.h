/*
 * routes_reader: reads route documents on a thread of its own. A large one
 * takes longer than the loop thread may stand still.
 */
#ifndef LEASED_ROUTES_READER_H
#define LEASED_ROUTES_READER_H

#include "leased/formats.h"
#include "leased/routes.h"
#include "net/loop.h"

struct routes_reader;

/* Called on the loop thread. routes: NULL if error is set; the callee owns it,
 * not the error. */
typedef void routes_read_fn(void *arg, struct routes *routes,
			    const GError *error);

struct routes_reader *routes_reader_create(struct loop *loop,
					   const struct formats *formats,
					   routes_read_fn *fn, void *arg);
/* Waits for the document that is being read. fn isn't called any more; the loop
 * must not run. NULL is allowed. */
void routes_reader_destroy(struct routes_reader *reader);
/* Reads a newer document. One that still waits to be read is left out. Loop
 * thread. */
void routes_reader_read(struct routes_reader *reader, GBytes *document);

#endif
