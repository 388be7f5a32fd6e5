/*
 * http_hold: what a request and its answer hold of the intake of their server,
 * on behalf of their connection.
 */
#include "net/http_private.h"

#include "base/clock.h"

void http_hold_drop_body(struct http_request *request)
{
	g_clear_pointer(&request->body, g_byte_array_unref);
}

void http_hold_begin(struct http_request *request)
{
	struct intake *intake = request->server->intake;

	intake_lock(intake);
	request->owner->request = request;
	intake_wait(&request->owner->entry);
	intake_unlock(intake);
}

/* Requires the intake's lock. */
static void refuse_body(struct http_request *request)
{
	request->refused = true;
	http_hold_drop_body(request);
	intake_resize(&request->owner->entry, 0, clock_now_ms());
}

bool http_hold_is_too_large(const struct http_request *request)
{
	return request->received_bytes > request->server->body_max_bytes;
}

void http_hold_body(struct http_request *request, const char *data,
		    size_t size_bytes)
{
	struct intake *intake = request->server->intake;
	struct intake_entry *entry = &request->owner->entry;

	intake_lock(intake);
	if (request->refused || http_hold_is_too_large(request) ||
	    !intake_resize(entry, request->received_bytes, clock_now_ms())) {
		refuse_body(request);
	} else {
		if (!request->body)
			request->body = g_byte_array_new();
		g_byte_array_append(request->body, (const guint8 *)data,
				    (guint)size_bytes);
	}
	intake_unlock(intake);
}

bool http_hold_whole(struct http_request *request)
{
	struct intake *intake = request->server->intake;
	struct intake_entry *entry = &request->owner->entry;
	bool given_up;

	intake_lock(intake);
	given_up = entry->given_up;
	if (!given_up && !request->refused &&
	    !intake_keep(entry, clock_now_ms()))
		refuse_body(request);
	intake_stop_waiting(entry);
	intake_unlock(intake);
	return !given_up;
}

void http_free_body(struct http_request *request)
{
	intake_lock(request->server->intake);
	http_hold_drop_body(request);
	intake_unlock(request->server->intake);
}

bool http_hold_answer(struct http_request *request, size_t size_bytes)
{
	struct intake *intake = request->server->intake;
	struct intake_entry *entry = &request->owner->entry;
	bool has_room;

	intake_lock(intake);
	http_hold_drop_body(request);
	intake_resize(entry, 0, clock_now_ms());
	has_room = intake_resize(entry, size_bytes, clock_now_ms());
	request->owner->in_answer = true;
	intake_wait(entry);
	intake_unlock(intake);
	return has_room;
}

void http_hold_release(struct http_request *request)
{
	struct intake *intake = request->server->intake;
	struct http_connection *owner = request->owner;

	intake_lock(intake);
	http_hold_drop_body(request);
	intake_resize(&owner->entry, 0, clock_now_ms());
	owner->request = NULL;
	owner->in_answer = false;
	intake_wait(&owner->entry);
	intake_unlock(intake);
}
