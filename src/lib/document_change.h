/*
 * document_change: how one version of a document becomes the next, as ranges
 * that are copied and bytes that are inserted. Finds ranges that were moved, so
 * its size is that of what differs. Pure functions, any thread.
 */
#ifndef LIB_DOCUMENT_CHANGE_H
#define LIB_DOCUMENT_CHANGE_H

#include <glib.h>
#include <stdbool.h>

/* A packed DocumentChange. Documents have less than 4 GiB. */
GBytes *document_change_find(GBytes *from, GBytes *to);
/* Returns NULL and sets error if the change is malformed, or isn't for this
 * document. */
GBytes *document_change_apply(GBytes *from, GBytes *change, GError **error);

#endif
