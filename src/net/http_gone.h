/*
 * http_gone: detects when a client closes a suspended connection.
 * libmicrohttpd does not notice this because it does not read from a
 * suspended connection. Each server has one thread for this. Entries may be
 * added and removed from any thread.
 */
#ifndef NET_HTTP_GONE_H
#define NET_HTTP_GONE_H

#include <glib.h>
#include <stdint.h>

struct http_gone;

struct http_gone *http_gone_create(GError **error);
void http_gone_destroy(struct http_gone *gone); /* NULL allowed */
/* Calls fn(arg) once if the peer closes the socket before http_gone_remove.
 * fn must not call into this module, whose lock is held. */
uint64_t http_gone_add(struct http_gone *gone, int descriptor,
		       void (*fn)(void *arg), void *arg);
/* Once this returns, fn is not running and will not be called. An id of 0 is
 * ignored. */
void http_gone_remove(struct http_gone *gone, uint64_t id);

#endif
