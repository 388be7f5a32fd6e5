/*
 * settings_table: all settings of all roles. Each line defines a flag, a
 * CHERVILFERRY_* environment variable, its validation, and its line in
 * --help and in "chervilferry settings".
 */
#include "base/settings.h"

/* clang-format off */
#define LEASED (FOR_LEASED_DISPATCHER | FOR_LEASED_AGENT)
#define DAEMONS (FOR_COORDINATOR | FOR_DISPATCHER | FOR_AGENT | LEASED)
#define SERVERS (DAEMONS | FOR_STANDALONE | FOR_BACKEND)
#define ALL (SERVERS | FOR_LOAD | FOR_OPERATOR)
#define PORT_ANY_LOOPBACK "127.0.0.1:0"

const struct setting settings_table[] = {
	/* every process */
	{ "name", SETTING_NAME, DAEMONS | FOR_BACKEND | FOR_LOAD, false, 0, 0, NULL, "node", NULL, "name of this process in logs, traces and status" },
	{ "log-level", SETTING_CHOICE, ALL, false, 0, 0, NULL, "info", "debug|info|warn|error", "least level that is logged" },
	{ "log-format", SETTING_CHOICE, ALL, false, 0, 0, NULL, "text", "text|json", "key=value lines or JSON lines" },
	{ "trace", SETTING_PATH, SERVERS | FOR_LOAD, false, 0, 0, NULL, NULL, NULL, "file for the event trace; none when empty" },
	{ "seed", SETTING_NUMBER, SERVERS | FOR_LOAD, false, 0, INT64_MAX, NULL, "0", NULL, "seed of random choices; 0 takes one from the system" },

	/* coordinator, dispatcher, agent */
	{ "data-centre", SETTING_NAME, DAEMONS, false, 0, 0, NULL, "local", NULL, "data centre that this host stands in" },
	{ "listen", SETTING_ADDRESS, DAEMONS, false, 0, 0, NULL, PORT_ANY_LOOPBACK, NULL, "ip:port for the other processes" },
	{ "advertise", SETTING_ADDRESS, FOR_DISPATCHER | FOR_AGENT | LEASED, false, 0, 0, NULL, NULL, NULL, "ip:port that other processes are told; none: that of listen" },
	{ "admin", SETTING_ADDRESS, DAEMONS, false, 0, 0, NULL, PORT_ANY_LOOPBACK, NULL, "ip:port for health, metrics and operators" },
	{ "heartbeat-ms", SETTING_NUMBER, DAEMONS | FOR_STANDALONE, false, 50, 10000, "ms", "500", NULL, "interval of heartbeats on a connection; three missed ones end it" },
	{ "memory-limit-mb", SETTING_NUMBER, DAEMONS, false, 32, 1048576, "MB", NULL, NULL, "memory that this process may use, from which the bounds on connections follow; none: that of the host, at most 1024" },
	{ "descriptors-limit", SETTING_NUMBER, DAEMONS, false, 128, 10000000, NULL, NULL, NULL, "descriptors that this process may open; none: what the kernel allows it" },
	{ "coordinators", SETTING_ADDRESSES, FOR_DISPATCHER | FOR_AGENT | LEASED, true, 0, 0, NULL, NULL, NULL, "ip:port of the coordinators, comma-separated" },
	{ "coordinators-port", SETTING_NUMBER, LEASED, false, 0, 65535, NULL, "0", NULL, "port that replaces those in coordinators; 0: they stay" },
	{ "stop-wait-ms", SETTING_NUMBER, DAEMONS | FOR_STANDALONE, false, 0, 3600000, "ms", "30000", NULL, "longest wait for what is in progress at a planned stop" },
	{ "lease-ms", SETTING_NUMBER, FOR_COORDINATOR | FOR_STANDALONE, false, 500, 10000, "ms", "2000", NULL, "duration of a lease" },

	{ "control", SETTING_ADDRESS, FOR_COORDINATOR | FOR_LEASED_AGENT, false, 0, 0, NULL, NULL, NULL, "ip:port of the platform's interface for operators and backend servers; none: it is not served" },
	{ "reload-file", SETTING_PATH, LEASED, false, 0, 0, NULL, NULL, NULL, "file of NAME=VALUE lines, read again on SIGHUP and when it changes" },

	/* coordinator */
	{ "id", SETTING_NUMBER, FOR_COORDINATOR, false, 1, 1000000, NULL, NULL, NULL, "member number, never used twice; needed unless seeds are given" },
	{ "data", SETTING_PATH, FOR_COORDINATOR, true, 0, 0, NULL, NULL, NULL, "folder for the log and snapshots" },
	{ "first-members", SETTING_TEXT, FOR_COORDINATOR, false, 0, 0, NULL, NULL, NULL, "ID=IP:PORT/ADMIN-IP:PORT of the first members, comma-separated; same at each of them" },
	{ "join", SETTING_ADDRESSES, FOR_COORDINATOR, false, 0, 0, NULL, NULL, NULL, "ip:port of members, for a member that is being added" },
	{ "seeds", SETTING_ADDRESSES, FOR_COORDINATOR, false, 0, 0, NULL, NULL, NULL, "control ip:port of up to three coordinators: the group forms from them at the first start, and is found through them later" },
	{ "seeds-port", SETTING_NUMBER, FOR_COORDINATOR, false, 1, 65535, NULL, NULL, NULL, "port between processes at the hosts of the seeds" },
	{ "losses-borne", SETTING_NUMBER, FOR_COORDINATOR, false, 0, 3, "coordinators", "1", NULL, "with seeds: twice as many and one vote; further ones follow the log until one is needed" },
	{ "first-start", SETTING_BOOL, FOR_COORDINATOR, false, 0, 0, NULL, "false", NULL, "the whole group starts with empty disks: the seeds are its first members" },
	{ "election-ms", SETTING_NUMBER, FOR_COORDINATOR, false, 100, 60000, "ms", "600", NULL, "a leader that is silent for so long is replaced; heartbeats come six times as often" },
	{ "snapshot-every", SETTING_NUMBER, FOR_COORDINATOR, false, 10, 1000000, "entries", "2000", NULL, "log entries between snapshots" },

	/* dispatcher */
	{ "http", SETTING_ADDRESS, FOR_DISPATCHER | FOR_LEASED_DISPATCHER | FOR_STANDALONE, false, 0, 0, NULL, "127.0.0.1:8200", NULL, "ip:port for callers" },
	{ "http-threads", SETTING_NUMBER, FOR_DISPATCHER | FOR_LEASED_DISPATCHER | FOR_STANDALONE, false, 1, 64, NULL, "2", NULL, "threads that read callers' requests" },
	{ "http-connections", SETTING_NUMBER, FOR_DISPATCHER | FOR_LEASED_DISPATCHER, false, 1, 100000, NULL, "4096", NULL, "callers' connections at once, at most those that memory-limit-mb and descriptors-limit leave for them" },
	{ "job-max-bytes", SETTING_NUMBER, FOR_LEASED_DISPATCHER, false, 1024, 8388608, "bytes", "262144", NULL, "largest request of a caller" },
	{ "containment", SETTING_BOOL, FOR_LEASED_DISPATCHER, false, 0, 0, NULL, "true", NULL, "run classes and tasks that crash backend servers on a third of them only" },
	{ "agents-min", SETTING_NUMBER, FOR_LEASED_DISPATCHER, false, 1, 100000, "agents", "64", NULL, "agents that it keeps connections to, those of its data centre first" },
	{ "agents-max", SETTING_NUMBER, FOR_LEASED_DISPATCHER, false, 1, 100000, "agents", "128", NULL, "the same while it finds too little room; below agents-min: that" },
	{ "body-max-bytes", SETTING_NUMBER, FOR_DISPATCHER, false, 1024, 67108864, "bytes", "4194304", NULL, "largest request" },
	{ "tasks-max", SETTING_NUMBER, FOR_DISPATCHER, false, 1, 4096, NULL, "120", NULL, "tasks of a job" },
	{ "jobs-max", SETTING_NUMBER, FOR_DISPATCHER, false, 1, 1000000, NULL, "20000", NULL, "jobs in progress" },
	{ "remember-ms", SETTING_NUMBER, FOR_DISPATCHER, false, 1000, 3600000, "ms", "600000", NULL, "how long an answer is kept for resubmissions" },
	{ "remember-bytes", SETTING_NUMBER, FOR_DISPATCHER, false, 1048576, 1073741824, "bytes", "50331648", NULL, "memory for kept answers; the oldest go first" },
	{ "deadline-ms", SETTING_NUMBER, FOR_DISPATCHER, false, 10, 3600000, "ms", "30000", NULL, "deadline of a job that names none" },
	{ "placer", SETTING_CHOICE, FOR_DISPATCHER, false, 0, 0, NULL, "finish", "finish|random|round-robin|least", "placement policy; all but finish are baselines" },
	{ "claim", SETTING_CHOICE, FOR_DISPATCHER, false, 0, 0, NULL, "first", "first|along", "claim before tasks are sent, or while they travel" },

	/* agent */
	{ "backend-listen", SETTING_ADDRESS, FOR_AGENT, false, 0, 0, NULL, "127.0.0.1:8301", NULL, "ip:port where the backend server announces itself" },
	{ "rack", SETTING_NAME, FOR_AGENT, false, 0, 0, NULL, "rack", NULL, "rack that this host stands in" },
	{ "queue-max", SETTING_NUMBER, FOR_AGENT, false, 0, 100000, "tasks", "256", NULL, "tasks that may wait here" },
	{ "call-timeout-ms", SETTING_NUMBER, FOR_AGENT, false, 100, 3600000, "ms", "60000", NULL, "longest call to the backend server" },

	/* stand-in backend server */
	{ "serve", SETTING_ADDRESS, FOR_BACKEND, false, 0, 0, NULL, PORT_ANY_LOOPBACK, NULL, "ip:port for tasks" },
	{ "agent", SETTING_ADDRESS, FOR_BACKEND, false, 0, 0, NULL, NULL, NULL, "ip:port of the agent's backend-listen; none: announces nowhere" },
	{ "slots", SETTING_NUMBER, FOR_BACKEND | FOR_STANDALONE, false, 1, 10000, "tasks", "8", NULL, "tasks at once" },
	{ "connections", SETTING_NUMBER, FOR_BACKEND, false, 1, 10000, NULL, "64", NULL, "connections at once" },
	{ "cpu-milli", SETTING_NUMBER, FOR_BACKEND, false, 0, 10000000, "1/1000 core", "0", NULL, "processors; 0 is not counted" },
	{ "memory-mb", SETTING_NUMBER, FOR_BACKEND, false, 0, 100000000, "MB", "0", NULL, "memory; 0 is not counted" },
	{ "accelerators", SETTING_NUMBER, FOR_BACKEND, false, 0, 1000, NULL, "0", NULL, "accelerators" },
	{ "behaviour", SETTING_CHOICE, FOR_BACKEND, false, 0, 0, NULL, "echo", "echo|fail|slow|garbage|never|crossed|late", "what it does with tasks" },
	{ "slowness-milli", SETTING_NUMBER, FOR_BACKEND, false, 1, 1000000, "1/1000", "1000", NULL, "run time beside the one asked for; 5000 is five times" },

	/* load */
	{ "dispatchers", SETTING_ADDRESSES, FOR_LOAD, false, 0, 0, NULL, "127.0.0.1:8200", NULL, "callers' ip:port of the dispatchers" },
	{ "class", SETTING_NAME, FOR_LOAD, false, 0, 0, NULL, "default", NULL, "class of the jobs" },
	{ "rate", SETTING_NUMBER, FOR_LOAD, false, 1, 100000, "jobs/s", "10", NULL, "jobs a second" },
	{ "duration-s", SETTING_NUMBER, FOR_LOAD, false, 1, 86400, "s", "10", NULL, "how long jobs are sent" },
	{ "tasks", SETTING_NUMBER, FOR_LOAD, false, 1, 4096, NULL, "1", NULL, "tasks of a job" },
	{ "run-ms", SETTING_NUMBER, FOR_LOAD, false, 0, 600000, "ms", "20", NULL, "run time of a task" },
	{ "run-spread", SETTING_BOOL, FOR_LOAD, false, 0, 0, NULL, "false", NULL, "spread run times from a half to twice run-ms" },
	{ "job-deadline-ms", SETTING_NUMBER, FOR_LOAD, false, 0, 3600000, "ms", "0", NULL, "deadline_ms of the jobs; 0 names none" },
	{ "play", SETTING_PATH, FOR_LOAD, false, 0, 0, NULL, NULL, NULL, "recorded trace of jobs to play in place of rate, tasks, run-ms" },
	{ "direct", SETTING_ADDRESS, FOR_LOAD, false, 0, 0, NULL, NULL, NULL, "also call this backend server directly, as a baseline" },
	{ "admins", SETTING_ADDRESSES, FOR_LOAD, false, 0, 0, NULL, NULL, NULL, "admin ip:port of processes whose messages are counted" },
	{ "resubmit-milli", SETTING_NUMBER, FOR_LOAD, false, 0, 1000, "1/1000", "0", NULL, "part of the jobs that is sent again to another dispatcher" },
	{ "json", SETTING_BOOL, FOR_LOAD, false, 0, 0, NULL, "false", NULL, "print the report as JSON" },
};
/* clang-format on */

const size_t settings_count =
	sizeof(settings_table) / sizeof(settings_table[0]);
