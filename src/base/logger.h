/*
 * logger: structured lines, one for each decision or change of state:
 * time, level, role, event, then key=value fields. Daemons write to
 * standard output, verbs to standard error. Any thread.
 *
 * log_event(LOG_INFO, "lease_lost", "leader=%s age_ms=%d", addr, age);
 */
#ifndef BASE_LOGGER_H
#define BASE_LOGGER_H

#include <stdbool.h>

enum log_level {
	LOG_DEBUG,
	LOG_INFO,
	LOG_WARN,
	LOG_ERROR,
};

enum log_format {
	LOG_FORMAT_TEXT,
	LOG_FORMAT_JSON,
};

void log_configure(const char *role, const char *name, enum log_level level,
		   enum log_format format); /* once, before threads */
/* From here on lines go to standard output by a thread of their own, and
 * nobody who logs waits (base/log_writer.h). Once, before threads. */
void log_start_writer(void);
void log_stop_writer(void); /* the last lines; no other thread logs */
bool log_parse_level(const char *text, enum log_level *level);
bool log_parse_format(const char *text, enum log_format *format);
bool log_enabled(enum log_level level);

/* fields: a printf format that gives "key=value key=value", values
 * with spaces in double quotes; NULL for none. */
void log_event(enum log_level level, const char *event, const char *fields, ...)
	__attribute__((format(printf, 3, 4)));

#endif
