/*
 * http_gone: see http_gone.h. Uses an epoll set that waits for hang-ups only.
 */
#include "net/http_gone.h"

#include <errno.h>
#include <stdbool.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define EVENTS_PER_WAIT 64
#define STOP_ID 0

struct entry {
	uint64_t id;
	int descriptor;
	void (*fn)(void *arg);
	void *arg;
};

struct http_gone {
	int epoll;
	int stop_event;
	GThread *thread;
	GMutex lock;
	GHashTable *entries; /* by id */
	uint64_t next_id;
};

static void call_entry(struct http_gone *gone, uint64_t id)
{
	struct entry *entry;

	g_mutex_lock(&gone->lock);
	entry = g_hash_table_lookup(gone->entries, &id);
	if (entry && entry->fn) {
		entry->fn(entry->arg);
		entry->fn = NULL;
	}
	g_mutex_unlock(&gone->lock);
}

static gpointer run(gpointer data)
{
	struct http_gone *gone = data;
	struct epoll_event events[EVENTS_PER_WAIT];

	for (;;) {
		int n = epoll_wait(gone->epoll, events, EVENTS_PER_WAIT, -1);

		if (n < 0 && errno != EINTR)
			g_error("epoll_wait: %s", g_strerror(errno));
		for (int i = 0; i < n; i++) {
			if (events[i].data.u64 == STOP_ID)
				return NULL;
			call_entry(gone, events[i].data.u64);
		}
	}
}

struct http_gone *http_gone_create(GError **error)
{
	struct http_gone *gone = g_new0(struct http_gone, 1);
	struct epoll_event stop = { .events = EPOLLIN };

	stop.data.u64 = STOP_ID;
	gone->epoll = epoll_create1(EPOLL_CLOEXEC);
	gone->stop_event = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (gone->epoll < 0 || gone->stop_event < 0 ||
	    epoll_ctl(gone->epoll, EPOLL_CTL_ADD, gone->stop_event, &stop)) {
		g_set_error(error, G_FILE_ERROR,
			    (gint)g_file_error_from_errno(errno), "epoll: %s",
			    g_strerror(errno));
		if (gone->epoll >= 0)
			close(gone->epoll);
		if (gone->stop_event >= 0)
			close(gone->stop_event);
		g_free(gone);
		return NULL;
	}
	g_mutex_init(&gone->lock);
	gone->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	gone->next_id = STOP_ID + 1;
	gone->thread = g_thread_new("http-gone", run, gone);
	return gone;
}

void http_gone_destroy(struct http_gone *gone)
{
	if (!gone)
		return;
	eventfd_write(gone->stop_event, 1);
	g_thread_join(gone->thread);
	close(gone->epoll);
	close(gone->stop_event);
	g_hash_table_destroy(gone->entries);
	g_mutex_clear(&gone->lock);
	g_free(gone);
}

uint64_t http_gone_add(struct http_gone *gone, int descriptor,
		       void (*fn)(void *arg), void *arg)
{
	struct epoll_event event = { .events = EPOLLRDHUP | EPOLLONESHOT };
	struct entry *entry = g_new0(struct entry, 1);
	uint64_t id;

	entry->descriptor = descriptor;
	entry->fn = fn;
	entry->arg = arg;
	g_mutex_lock(&gone->lock);
	id = gone->next_id++;
	entry->id = id;
	event.data.u64 = id;
	g_hash_table_insert(gone->entries, &entry->id, entry);
	epoll_ctl(gone->epoll, EPOLL_CTL_ADD, descriptor, &event);
	g_mutex_unlock(&gone->lock);
	return id;
}

void http_gone_remove(struct http_gone *gone, uint64_t id)
{
	struct entry *entry;

	if (!id)
		return;
	g_mutex_lock(&gone->lock);
	entry = g_hash_table_lookup(gone->entries, &id);
	if (entry) {
		epoll_ctl(gone->epoll, EPOLL_CTL_DEL, entry->descriptor, NULL);
		g_hash_table_remove(gone->entries, &id);
	}
	g_mutex_unlock(&gone->lock);
}
