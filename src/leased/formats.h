/*
 * formats: what callers, operators and backend servers of a platform
 * say, decoded into types of ours, and what is said to them. One table
 * of functions, given by the adapter; they do no I/O and decide nothing.
 * All functions may be called from any thread.
 */
#ifndef LEASED_FORMATS_H
#define LEASED_FORMATS_H

#include "chervilferry.h"

#define LEASED_JOB_SIZE 24 /* bytes of a job's id with its NUL */
#define LEASED_PATH_SIZE 128 /* bytes of a path prefix with its NUL */

/* ---- Operators ------------------------------------------------------ */

enum control_kind {
	CONTROL_UNKNOWN,
	CONTROL_SET_ROUTES,
	CONTROL_GET_ROUTES,
	CONTROL_DISABLE_DATA_CENTRE, /* a data centre, out of service */
	CONTROL_ENABLE_DATA_CENTRE, /* and in again */
	CONTROL_SERVER_REPORT, /* of a backend server about itself */
	CONTROL_DEREGISTER_SERVER,
};

struct control_request {
	enum control_kind kind;
	char subject[CF_NAME_SIZE]; /* the data centre or server; or empty */
};

struct route {
	char name[CF_NAME_SIZE];
	char host[CF_NAME_SIZE]; /* of the requests, lower case */
	char prefix[LEASED_PATH_SIZE]; /* of their paths */
	char service[CF_NAME_SIZE]; /* whose servers run its tasks */
	uint32_t timeout_ms; /* above 0 */
	uint32_t target_ms; /* added to the stretched run time */
	uint32_t stretch_milli; /* times the longest run time, 1000 is 1 */
	uint32_t priority; /* 0 goes first */
	uint32_t attempts_max; /* runs of a task that may fail */
};

/* ---- Callers -------------------------------------------------------- */

enum job_refusal {
	JOB_ACCEPTED,
	JOB_MALFORMED, /* the message names the field */
	JOB_UNSUPPORTED, /* asks for what isn't built; nothing started */
};

struct job_spec {
	GBytes *spec; /* handed to each task as it is */
	uint32_t n_tasks;
	uint32_t cpu_milli, memory_mb, accelerators; /* of each task */
	uint32_t estimate_ms; /* rough run time of a task, 0 unknown */
};

enum job_state {
	JOB_COMPLETED, /* every task has ended well */
	JOB_FAILED, /* a task failed as often as it may */
};

/* ---- Backend servers ------------------------------------------------ */

struct server_report {
	char name[CF_NAME_SIZE];
	char service[CF_NAME_SIZE];
	char address[CF_NAME_SIZE]; /* ip:port of its calls */
	char data_centre[CF_NAME_SIZE];
	char kind[CF_NAME_SIZE]; /* of its machine */
	int64_t start_time_ms; /* Unix time of its start: tells its lives apart
				*/
	uint64_t seq; /* rises with each report of a life */
	int64_t clock_ms; /* its own steady clock */
	bool draining;
	struct cf_capacity capacity;
};

struct run_name {
	char job[LEASED_JOB_SIZE];
	uint32_t index; /* of the task in its job */
	uint32_t number; /* of this start of the task, from 1 */
};

struct run_call {
	char *path;
	char *body;
	size_t size_bytes;
};

enum run_refusal {
	RUN_ACCEPTED, /* or it is there already */
	RUN_NO_CAPACITY,
	RUN_LEASE_EXPIRED, /* its lease had ended before it came */
	RUN_STALE, /* this or a higher number was stopped or ended there */
	RUN_FENCED, /* a higher fencing token was seen */
	RUN_UNHEALTHY, /* the server refuses work */
	RUN_MALFORMED,
	RUN_OTHER_INCARNATION, /* the server was started anew */
};

enum run_end_status {
	RUN_END_DONE,
	RUN_END_FAILED,
	RUN_END_STOPPED,
	RUN_END_LEASE_EXPIRED, /* its lease ended */
};

struct listed_run_end {
	uint64_t position; /* in the server's list of ends, from 1 */
	struct run_name name;
	enum run_end_status end_status;
};

struct run_lists {
	int64_t clock_ms;
	int64_t start_time_ms; /* 0: not told */
	GArray *running; /* struct run_name */
	GArray *ended; /* struct listed_run_end, by position */
};

/* ---- The table ------------------------------------------------------ */

struct formats {
	/* What a request at the control address asks for. */
	void (*read_control)(const char *method, const char *path,
			     struct control_request *request);
	/* Routes, checked whole: NULL and an error that names the field.
	 * The array holds struct route. */
	GArray *(*read_routes)(const void *data, size_t size_bytes,
			       uint64_t *version, GError **error);
	/* Fills spec, whose bytes the caller releases, only for JOB_ACCEPTED.
	 */
	enum job_refusal (*read_job)(const void *data, size_t size_bytes,
				     struct job_spec *spec, char fault[128]);
	/* Texts to be freed with g_free. */
	char *(*write_job_state)(enum job_state state);
	char *(*write_pending)(uint32_t jobs);
	/* Remaining time that a caller grants, from its header; 0: none. */
	const char *deadline_header;
	bool (*read_server_report)(const char *name, const void *data,
				   size_t size_bytes,
				   struct server_report *report,
				   char fault[128]);
	/* A header that makes a call reach only this life of a server. */
	char *(*write_incarnation_header)(const char *server,
					  int64_t start_time_ms);
	void (*write_start)(const struct run_name *name, GBytes *spec,
			    int64_t lease_end_ms, struct run_call *call);
	void (*write_stop)(const struct run_name *name, struct run_call *call);
	/* lease_end_ms 0: the lease stays as it is. */
	void (*write_poll)(int64_t lease_end_ms, uint64_t acked_position,
			   uint32_t wait_ms, struct run_call *call);
	/* clock_ms stays as it was where the answer has none. */
	enum run_refusal (*read_start)(uint32_t status, const void *data,
				       size_t size_bytes, int64_t *clock_ms);
	bool (*read_lists)(const void *data, size_t size_bytes,
			   struct run_lists *lists);
};

void run_call_clear(struct run_call *call);
void run_lists_clear(struct run_lists *lists);
bool run_name_equal(const struct run_name *a, const struct run_name *b);

#endif
