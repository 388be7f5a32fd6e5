/*
 * intake: see intake.h. The connections that wait are a queue, the one that has
 * waited longest first.
 */
#include "net/intake.h"

#include "base/counters.h"
#include "base/logger.h"

/* A request may take one part in so many of what is left. */
#define REQUEST_DIVISOR 4
/* Full doors are logged at most once in this time. */
#define LOG_INTERVAL_MS 1000

struct intake {
	char *door;
	struct intake_limits limits;
	GMutex lock; /* guards the fields below and all entries */
	uint32_t connections;
	uint32_t leaving; /* of them: given up, not closed yet */
	uint64_t bytes;
	uint64_t leaving_bytes; /* of them: of connections that leave */
	uint64_t kept_bytes; /* of them: of requests in progress */
	GQueue waiting; /* struct intake_entry */
	struct counter *given_up_total, *refused_total;
	struct counter *connections_gauge, *bytes_gauge;
	int64_t logged_ms;
	uint32_t given_up, refused; /* since the last line */
};

/* ---- Create and destroy ---- */

static void create_counters(struct intake *intake)
{
	g_autofree char *labels = g_strdup_printf("door=\"%s\"", intake->door);

	intake->given_up_total =
		counter_get("door_given_up_total", labels,
			    "Connections given up for others to be served");
	intake->refused_total = counter_get(
		"door_refused_total", labels,
		"Connections and requests refused because the door is full");
	intake->connections_gauge =
		gauge_get("door_connections", labels, "Open connections");
	intake->bytes_gauge = gauge_get("door_held_bytes", labels,
					"Bytes kept for connections");
}

struct intake *intake_create(const char *door,
			     const struct intake_limits *limits)
{
	struct intake *intake = g_new0(struct intake, 1);

	intake->door = g_strdup(door);
	intake->limits = *limits;
	intake->logged_ms = -LOG_INTERVAL_MS;
	g_mutex_init(&intake->lock);
	g_queue_init(&intake->waiting);
	create_counters(intake);
	return intake;
}

void intake_destroy(struct intake *intake)
{
	if (!intake)
		return;
	g_mutex_clear(&intake->lock);
	g_free(intake->door);
	g_free(intake);
}

void intake_lock(struct intake *intake)
{
	g_mutex_lock(&intake->lock);
}

void intake_unlock(struct intake *intake)
{
	g_mutex_unlock(&intake->lock);
}

uint64_t intake_request_max_bytes(const struct intake *intake)
{
	return intake->limits.bytes_max / REQUEST_DIVISOR;
}

/* ---- Sums ---- */

static void set_bytes(struct intake_entry *entry, uint64_t bytes)
{
	struct intake *intake = entry->intake;

	intake->bytes += bytes - entry->bytes;
	if (entry->given_up)
		intake->leaving_bytes += bytes - entry->bytes;
	if (entry->kept)
		intake->kept_bytes -= entry->bytes;
	entry->kept = false;
	entry->bytes = bytes;
	gauge_set(intake->bytes_gauge, (int64_t)intake->bytes);
}

static void log_full(struct intake *intake, const char *what, int64_t now_ms)
{
	if (now_ms - intake->logged_ms < LOG_INTERVAL_MS)
		return;
	log_event(LOG_WARN, "door_full",
		  "door=%s what=%s given_up=%u refused=%u connections=%u "
		  "connections_max=%u bytes=%" G_GUINT64_FORMAT
		  " in_progress_bytes=%" G_GUINT64_FORMAT
		  " bytes_max=%" G_GUINT64_FORMAT,
		  intake->door, what, intake->given_up, intake->refused,
		  intake->connections, intake->limits.connections_max,
		  intake->bytes, intake->kept_bytes, intake->limits.bytes_max);
	intake->logged_ms = now_ms;
	intake->given_up = 0;
	intake->refused = 0;
}

static void count_refused(struct intake *intake, const char *what,
			  int64_t now_ms)
{
	counter_add(intake->refused_total, 1);
	intake->refused++;
	log_full(intake, what, now_ms);
}

void intake_count_refused(struct intake *intake, const char *what,
			  int64_t now_ms)
{
	intake_lock(intake);
	count_refused(intake, what, now_ms);
	intake_unlock(intake);
}

/* ---- Giving up ---- */

static void give_up(struct intake_entry *entry, const char *what,
		    int64_t now_ms)
{
	struct intake *intake = entry->intake;

	intake_stop_waiting(entry);
	set_bytes(entry, entry->ops->give_up(entry));
	entry->given_up = true;
	intake->leaving++;
	intake->leaving_bytes += entry->bytes;
	counter_add(intake->given_up_total, 1);
	intake->given_up++;
	log_full(intake, what, now_ms);
}

/* Returns false if no connection waits. */
static bool give_up_longest(struct intake *intake, const char *what,
			    int64_t now_ms)
{
	GList *head = intake->waiting.head;

	if (!head)
		return false;
	give_up(head->data, what, now_ms);
	return true;
}

/* ---- Connections ---- */

bool intake_open(struct intake *intake, struct intake_entry *entry,
		 const struct intake_ops *ops, int64_t now_ms)
{
	bool has_room = true;

	*entry = (struct intake_entry){ .ops = ops, .intake = intake };
	entry->link.data = entry;
	while (has_room && intake->connections - intake->leaving >=
				   intake->limits.connections_max)
		has_room = give_up_longest(intake, "connections", now_ms);
	intake->connections++;
	gauge_set(intake->connections_gauge, intake->connections);
	if (!has_room)
		count_refused(intake, "connections", now_ms);
	intake_wait(entry);
	return has_room;
}

void intake_close(struct intake_entry *entry)
{
	struct intake *intake = entry->intake;

	intake_stop_waiting(entry);
	set_bytes(entry, 0);
	if (entry->given_up)
		intake->leaving--;
	intake->connections--;
	gauge_set(intake->connections_gauge, intake->connections);
}

void intake_wait(struct intake_entry *entry)
{
	if (entry->given_up)
		return;
	intake_stop_waiting(entry);
	entry->waits = true;
	g_queue_push_tail_link(&entry->intake->waiting, &entry->link);
}

void intake_stop_waiting(struct intake_entry *entry)
{
	if (entry->waits)
		g_queue_unlink(&entry->intake->waiting, &entry->link);
	entry->waits = false;
}

/* ---- Bytes ---- */

static bool fits(const struct intake_entry *entry, uint64_t bytes)
{
	const struct intake *intake = entry->intake;

	return intake->bytes - intake->leaving_bytes - entry->bytes + bytes <=
	       intake->limits.bytes_max;
}

bool intake_resize(struct intake_entry *entry, uint64_t bytes, int64_t now_ms)
{
	struct intake *intake = entry->intake;

	while (!entry->given_up && bytes > entry->bytes && !fits(entry, bytes))
		if (!give_up_longest(intake, "memory", now_ms)) {
			count_refused(intake, "memory", now_ms);
			return false;
		}
	if (entry->given_up)
		return false;
	set_bytes(entry, bytes);
	return true;
}

bool intake_keep(struct intake_entry *entry, int64_t now_ms)
{
	struct intake *intake = entry->intake;
	uint64_t left_bytes = intake->limits.bytes_max -
			      MIN(intake->kept_bytes, intake->limits.bytes_max);

	if (entry->given_up)
		return false;
	if (entry->bytes > left_bytes / REQUEST_DIVISOR) {
		count_refused(intake, "requests", now_ms);
		return false;
	}
	intake_stop_waiting(entry);
	entry->kept = true;
	intake->kept_bytes += entry->bytes;
	return true;
}
