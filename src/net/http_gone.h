/*
 * http_gone: tells when the callers of suspended connections close
 * them, which libmicrohttpd doesn't see while it doesn't read. One
 * thread for each server; any thread may add and remove.
 */
#ifndef NET_HTTP_GONE_H
#define NET_HTTP_GONE_H

#include <glib.h>
#include <stdint.h>

struct http_gone;

struct http_gone *http_gone_create(GError **error);
void http_gone_destroy(struct http_gone *gone); /* NULL allowed */
/* Calls fn(arg) once if the other end of the socket closes before
 * http_gone_remove; fn must not call back into this module. */
uint64_t http_gone_add(struct http_gone *gone, int descriptor,
		       void (*fn)(void *arg), void *arg);
/* Afterwards fn is neither called nor running; 0 is ignored. */
void http_gone_remove(struct http_gone *gone, uint64_t id);

#endif
