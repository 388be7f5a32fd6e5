/*
 * formats: the interface to the wire formats of a platform. Messages of
 * callers, operators and backend servers are decoded into the types below,
 * and messages to them are encoded. The platform's adapter provides one table
 * of functions. They only convert: they do no I/O and make no decisions. All
 * functions are thread-safe.
 */
#ifndef LEASED_FORMATS_H
#define LEASED_FORMATS_H

#include "chervilferry.h"

#define LEASED_JOB_SIZE 24 /* bytes of a job id, including the NUL */
#define LEASED_PATH_SIZE 128 /* bytes of a path prefix, including the NUL */

/* ---- Operators ------------------------------------------------------ */

enum control_kind {
	CONTROL_UNKNOWN,
	CONTROL_SET_ROUTES,
	CONTROL_GET_ROUTES,
	CONTROL_DISABLE_DATA_CENTRE, /* take it out of service */
	CONTROL_ENABLE_DATA_CENTRE, /* return it to service */
	CONTROL_SERVER_REPORT, /* from a backend server, about itself */
	CONTROL_DEREGISTER_SERVER,
};

struct control_request {
	enum control_kind kind;
	char subject[CF_NAME_SIZE]; /* data centre or server, or empty */
};

struct route {
	char name[CF_NAME_SIZE];
	char host[CF_NAME_SIZE]; /* of matching requests, in lower case */
	char prefix[LEASED_PATH_SIZE]; /* of the paths of matching requests */
	char service[CF_NAME_SIZE]; /* its servers run the tasks */
	uint32_t timeout_ms; /* above 0 */
	/* The target latency of a job is stretch_milli / 1000 times its longest
	 * run time, plus target_ms. */
	uint32_t target_ms;
	uint32_t stretch_milli;
	uint32_t priority; /* 0 is the highest */
	uint32_t attempts_max; /* the job fails when a task failed this often */
};

/* ---- Callers -------------------------------------------------------- */

enum job_refusal {
	JOB_ACCEPTED,
	JOB_MALFORMED, /* the error text names the field */
	JOB_UNSUPPORTED, /* uses an unimplemented feature; nothing started */
};

struct job_spec {
	GBytes *spec; /* passed unchanged to each task */
	uint32_t n_tasks;
	uint32_t cpu_milli, memory_mb, accelerators; /* of each task */
	uint32_t estimate_ms; /* estimated run time of a task; 0: unknown */
};

enum job_state {
	JOB_COMPLETED, /* all tasks succeeded */
	JOB_FAILED, /* a task failed in all its attempts */
};

/* ---- Backend servers ------------------------------------------------ */

struct server_report {
	char name[CF_NAME_SIZE];
	char service[CF_NAME_SIZE];
	char address[CF_NAME_SIZE]; /* ip:port that takes its calls */
	char data_centre[CF_NAME_SIZE];
	char kind[CF_NAME_SIZE]; /* machine type */
	/* Unix time of the process start; identifies the incarnation. */
	int64_t start_time_ms;
	uint64_t seq; /* increases with each report of an incarnation */
	int64_t clock_ms; /* the server's monotonic clock */
	bool draining;
	struct cf_capacity capacity;
};

/* Identifies a run: one attempt to run a task. */
struct run_name {
	char job[LEASED_JOB_SIZE];
	uint32_t index; /* position of the task in its job */
	uint32_t number; /* of the attempt, from 1 */
};

/* An HTTP request to a backend server. */
struct run_call {
	char *path;
	char *body;
	size_t size_bytes;
};

/* The answer to a start or a stop. */
enum run_refusal {
	RUN_ACCEPTED, /* also if it had been carried out before */
	RUN_NO_CAPACITY,
	RUN_LEASE_EXPIRED, /* the lease had expired when the call arrived */
	RUN_STALE, /* this or a higher number has ended or was stopped */
	RUN_FENCED, /* the server has seen a higher fencing token */
	RUN_UNHEALTHY, /* the server refuses work */
	RUN_MALFORMED,
	RUN_OTHER_INCARNATION, /* the server has been restarted */
};

enum run_end_status {
	RUN_END_DONE,
	RUN_END_FAILED,
	RUN_END_STOPPED,
	RUN_END_LEASE_EXPIRED,
};

struct listed_run_end {
	uint64_t position; /* in the server's list of ended runs, from 1 */
	struct run_name name;
	enum run_end_status end_status;
};

struct run_lists {
	int64_t clock_ms;
	int64_t start_time_ms; /* of the server; 0: not included */
	/* struct run_name; number 0: it can't be read */
	GArray *running;
	GArray *ended; /* struct listed_run_end, by position */
	uint32_t n_unreadable; /* entries left out, as another writer's */
};

/* ---- Table of functions --------------------------------------------- */

struct formats {
	/* Classifies a request that arrived at the control address. */
	void (*read_control)(const char *method, const char *path,
			     struct control_request *request);
	/* Decodes and validates all routes into an array of struct route. If
	 * any is invalid, returns NULL and an error that names the field. */
	GArray *(*read_routes)(const void *data, size_t size_bytes,
			       uint64_t *version, GError **error);
	/* Fills spec only for JOB_ACCEPTED; the caller then releases its
	 * bytes. Otherwise it stores an error text. */
	enum job_refusal (*read_job)(const void *data, size_t size_bytes,
				     struct job_spec *spec,
				     char error_text[128]);
	/* These return strings to be freed with g_free. */
	char *(*write_job_state)(enum job_state state);
	char *(*write_pending)(uint32_t jobs);
	/* Name of the request header with the time in milliseconds until the
	 * caller stops waiting. Without it, or if it is 0, a default is used.
	 */
	const char *deadline_header;
	bool (*read_server_report)(const char *name, const void *data,
				   size_t size_bytes,
				   struct server_report *report,
				   char error_text[128]);
	/* A header that restricts a call to this incarnation of a server. */
	char *(*write_incarnation_header)(const char *server,
					  int64_t start_time_ms);
	/* Calls carry a fencing token (server_fence.h). A start or a stop can't
	 * be written if the platform's format has no way to express the name
	 * or the spec. These functions then return false and leave call empty.
	 */
	bool (*write_start)(const struct run_name *name, GBytes *spec,
			    int64_t lease_end_ms, int64_t fence,
			    struct run_call *call);
	bool (*write_stop)(const struct run_name *name, int64_t fence,
			   struct run_call *call);
	/* lease_end_ms 0 leaves the lease unchanged. */
	void (*write_poll)(int64_t lease_end_ms, int64_t fence,
			   uint64_t acked_position, uint32_t wait_ms,
			   struct run_call *call);
	/* Reads the answer to a start or a stop, or a poll's refusal. Leaves
	 * clock_ms unchanged if the answer doesn't include it. */
	enum run_refusal (*read_start)(uint32_t status, const void *data,
				       size_t size_bytes, int64_t *clock_ms);
	/* Entries that can't be read are left out; the others count. False if
	 * the lists themselves or the server's clock can't be read. */
	bool (*read_lists)(const void *data, size_t size_bytes,
			   struct run_lists *lists);
};

void run_call_clear(struct run_call *call);
void run_lists_clear(struct run_lists *lists);
/* Raises position to that of the newest end listed. Positions too far ahead are
 * an error: the server would forget all ends up to there. */
void run_lists_raise_position(const struct run_lists *lists,
			      uint64_t *position);
bool run_name_equal(const struct run_name *a, const struct run_name *b);

#endif
